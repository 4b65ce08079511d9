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
	// pollPause keeps the load of waiting low against the 7 s within which a version is in force.
	pollPause = 250 * time.Millisecond
	// maxAsked bounds the instances asked at a time.
	maxAsked = 32
)

// Report is what one instance of the list says of itself.
type Report struct {
	Instance string         `json:"instance"`
	DC       string         `json:"dc"`
	Peer     netip.AddrPort `json:"peer"`
	Leaving  bool           `json:"leaving"`
	Status   *opapi.Status  `json:"status,omitempty"` // nil if it did not answer
	Error    string         `json:"error,omitempty"`
}

// Reports asks all instances of the list, sorted by data centre and name. The error is an *ErrPlatform when there
// is no list.
func (s *Service) Reports(ctx context.Context) ([]Report, error) {
	list, err := s.List(ctx)
	if err != nil {
		return nil, &ErrPlatform{Cause: err}
	}
	return s.Ask(ctx, list.Instances), nil
}

// Ask asks the instances at the same time. The end of ctx does not cut it short, since instances that had no time to
// answer would look as if they were behind.
func (s *Service) Ask(ctx context.Context, instances []roster.Instance) []Report {
	ctx = context.WithoutCancel(ctx)
	mapper := iter.Mapper[roster.Instance, Report]{MaxGoroutines: maxAsked}
	reports := mapper.Map(instances, func(i *roster.Instance) Report {
		r := Report{Instance: i.Name, DC: i.DC, Peer: i.Peer, Leaving: i.Leaving}
		if status, err := s.Status(ctx, i.Peer); err != nil {
			r.Error = err.Error()
		} else {
			r.Status = &status
		}
		return r
	})
	slices.SortStableFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.DC, b.DC), cmp.Compare(a.Instance, b.Instance))
	})
	return reports
}

// Behind reports whether the instance has not confirmed the version. An instance that leaves and does not answer
// has stopped.
func (r *Report) Behind(version uint64) bool {
	if r.Status == nil {
		return !r.Leaving
	}
	return r.Status.ConfigVersion < version
}

// Confirm waits until every instance of the list has the version, or a newer one, in force, or ctx ends. It
// returns the number of instances that have it and reports of those that do not.
func (s *Service) Confirm(ctx context.Context, version uint64) (confirmed int, behind []Report, err error) {
	for {
		list, failed := s.List(ctx)
		if failed != nil {
			err = &ErrPlatform{Cause: failed}
		} else {
			err = nil
			reports := s.Ask(ctx, list.Instances)
			behind = slices.DeleteFunc(slices.Clone(reports), func(r Report) bool { return !r.Behind(version) })
			confirmed = len(reports) - len(behind)
			if len(behind) == 0 {
				return confirmed, nil, nil
			}
		}
		if s.Pause(ctx, pollPause) != nil {
			return confirmed, behind, err
		}
	}
}
