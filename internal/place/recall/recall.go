// Package recall finds out which recorded owners of keys are still the latest ones after the store was restored from an older
// copy and another instance leads. A leader gives keys to another server only when a majority of its members know that they
// are moving, and each member knows of a move until it has the record of the new owner. So a majority of the same members
// knows all moves that the store may have lost. The package does no I/O.
package recall

import "slices"

// Range is a range of keys of a pool, First and Last included.
type Range struct {
	Pool        string
	First, Last uint16
}

// Report is what an instance knows of the owners that were recorded before the store was restored.
type Report struct {
	Fence  uint64  // highest fence of the records
	Moving []Range // that changed hands, as far as the instance was told
}

// Survey collects the reports of the earlier leader's members. It is not safe for concurrent use.
type Survey struct {
	members []string
	own     Report
	reports map[string]Report
}

// New returns a survey of members for an instance that knows no more than own.
func New(members []string, own Report) *Survey {
	return &Survey{members: members, own: own, reports: make(map[string]Report)}
}

// Add takes a report. It counts only if the instance is a member. It must not have forgotten by a restart what it had told the
// earlier leader to know.
func (s *Survey) Add(instance string, r Report) {
	if slices.Contains(s.members, instance) {
		s.reports[instance] = r
	}
}

// Result returns the ranges whose latest owners are not known, once a majority of the members has reported. ok is false if one of
// these knows records that this instance lacks, so that no owner is certain.
func (s *Survey) Result() (moving []Range, ok, complete bool) {
	if len(s.reports) < len(s.members)/2+1 {
		return nil, false, false
	}
	moving, ok = s.own.Moving, true
	for _, r := range s.reports {
		moving = append(moving[:len(moving):len(moving)], r.Moving...)
		ok = ok && r.Fence <= s.own.Fence
	}
	return moving, ok, true
}
