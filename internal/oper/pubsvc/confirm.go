package pubsvc

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/bramleycove/bramleycove/internal/oper/opapi"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
)

const (
	// confirmPollInterval limits the polling load. A version is in force within 7 s.
	confirmPollInterval = 250 * time.Millisecond
	// maxConcurrentQueries is the number of instances asked at the same time.
	maxConcurrentQueries = 32
)

// InstanceReport is the status of one instance of the list, or the error of asking for it.
type InstanceReport struct {
	Instance string         `json:"instance"`
	DC       string         `json:"dc"`
	Peer     netip.AddrPort `json:"peer"`
	Leaving  bool           `json:"leaving"`
	Status   *opapi.Status  `json:"status,omitempty"` // nil if the instance did not answer
	Error    string         `json:"error,omitempty"`
}

// QueryAll queries all instances of the list. The error is a *PlatformError if the list cannot be read.
func (s *Service) QueryAll(ctx context.Context) ([]InstanceReport, error) {
	list, err := s.List(ctx)
	if err != nil {
		return nil, &PlatformError{Cause: err}
	}
	return s.Query(ctx, list.Instances), nil
}

// Query asks the instances for their status in parallel and sorts the reports by data centre and name. It ignores
// the end of ctx, since instances without time to answer would look as if they were behind.
func (s *Service) Query(ctx context.Context, instances []roster.Instance) []InstanceReport {
	ctx = context.WithoutCancel(ctx)
	mapper := iter.Mapper[roster.Instance, InstanceReport]{MaxGoroutines: maxConcurrentQueries}
	reports := mapper.Map(instances, func(i *roster.Instance) InstanceReport {
		r := InstanceReport{Instance: i.Name, DC: i.DC, Peer: i.Peer, Leaving: i.Leaving}
		if status, err := s.Status(ctx, i.Peer); err != nil {
			r.Error = err.Error()
		} else {
			r.Status = &status
		}
		return r
	})
	slices.SortStableFunc(reports, func(a, b InstanceReport) int {
		return cmp.Or(cmp.Compare(a.DC, b.DC), cmp.Compare(a.Instance, b.Instance))
	})
	return reports
}

// IsBehind reports whether the instance has not confirmed the version. A leaving instance that does not answer has
// stopped.
func (r *InstanceReport) IsBehind(version uint64) bool {
	if r.Status == nil {
		return !r.Leaving
	}
	return r.Status.ConfigVersion < version
}

// Confirm waits until every instance of the list has the version, or a newer one, in force, or ctx ends. It returns
// the number of instances that are not behind and the reports of the others.
func (s *Service) Confirm(ctx context.Context, version uint64) (confirmed int, behind []InstanceReport, err error) {
	for {
		list, listErr := s.List(ctx)
		if listErr != nil {
			err = &PlatformError{Cause: listErr}
		} else {
			err = nil
			reports := s.Query(ctx, list.Instances)
			behind = slices.DeleteFunc(slices.Clone(reports), func(r InstanceReport) bool { return !r.IsBehind(version) })
			confirmed = len(reports) - len(behind)
			if len(behind) == 0 {
				return confirmed, nil, nil
			}
		}
		if s.Pause(ctx, confirmPollInterval) != nil {
			return confirmed, behind, err
		}
	}
}
