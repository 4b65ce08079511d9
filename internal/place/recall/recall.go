// Package recall finds out which recorded owners of keys are still the latest ones after the store was restored from an older
// copy and another instance leads. A leader gives keys to another server only when a majority of its members knows that they
// are moving, and each member remembers a move until it has the record of the new owner. So a majority of the same members
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
	Term   uint64  // newest term of whose leader the instance had all records at some time since its start
}

// Memory is what an instance remembers of its leader's moves. The zero value knows none. It is not safe for concurrent use.
type Memory struct {
	moving       []Range
	completeTerm uint64
	report       Report
	reportedEra  uint64 // era of the leader that report is for; 0 if there is no report
}

// Add takes the ranges that a push names as moving, before its records are applied.
func (m *Memory) Add(moving []Range) {
	m.moving = slices.Clip(m.moving)
	for _, r := range moving {
		if !slices.Contains(m.moving, r) {
			m.moving = append(m.moving, r)
		}
	}
}

// Complete forgets the ranges of earlier pushes: this instance has all records that the leader of a term had made before it named
// these as moving. The leader itself always has.
func (m *Memory) Complete(term uint64, moving []Range) {
	m.moving, m.completeTerm = moving, term
}

// Keep keeps what this instance knows for the leaders of an era of the store, the first of which it follows from now on. fence is the
// highest of the owners recorded in earlier eras.
func (m *Memory) Keep(era, fence uint64) {
	if era > m.reportedEra {
		m.report, m.reportedEra = Report{Fence: fence, Moving: m.moving, Term: m.completeTerm}, era
	}
}

// Report returns what was kept.
func (m *Memory) Report() (r Report, ok bool) { return m.report, m.reportedEra > 0 }

// Survey collects the reports of the earlier leader's members. It is not safe for concurrent use.
type Survey struct {
	members []string
	term    uint64
	own     Report
	reports map[string]Report
}

// NewSurvey returns a survey of the members of the earlier leader, who led in a term, by an instance that knows no more than own.
func NewSurvey(members []string, term uint64, own Report) *Survey {
	return &Survey{members: members, term: term, own: own, reports: make(map[string]Report)}
}

// Add takes the report of an instance that read startTerm at its start. It counts only if the instance is a member and can't have
// forgotten by a restart what the earlier leader relied on: it has run since before that term, or had all records since.
func (s *Survey) Add(instance string, startTerm uint64, r Report) {
	if slices.Contains(s.members, instance) && (startTerm < s.term || r.Term >= s.term) {
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
