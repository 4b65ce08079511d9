// Package verify checks the journals of servers and callers for violations of the system's guarantees. It uses nothing
// that an instance reports about itself.
package verify

import (
	"fmt"
	"strings"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// Violation is a broken rule and the journal events that prove it.
type Violation struct {
	Rule     string
	Text     string
	Evidence []*trace.Event
}

// String returns the violation and its evidence, one line each.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", v.Rule, v.Text)
	for _, ev := range v.Evidence {
		b.WriteString("\n\t" + ev.String())
	}
	return b.String()
}

// History holds the journal events of one run.
type History struct {
	starts          map[process]*trace.Event
	grants          []*trace.Event // those of one process are in the order written
	executions      []*trace.Event
	commitsByMark   map[string][]*trace.Event // committed executions by mark
	calls           []*trace.Event
	marksByIdentity map[string][]string // marks of all calls by the caller's identity
	intervals       map[poolSlot][]holdInterval
}

// process is one run of a server, until it restarts.
type process struct {
	server      string
	incarnation uint64
}

// Load reads the events of server and caller journals that are not later than until, which must not be after the call of
// Load. Journals of running processes are read one after the other. Without the bound, a key that moves meanwhile would
// appear at its new owner, read last, beside a grant of the old owner that has since been replaced. All that precedes an
// event up to until is written before it, so Load reads it.
func Load(until int64, paths ...string) (*History, error) {
	var all []trace.Event
	for _, path := range paths {
		events, err := trace.Read(path)
		if err != nil {
			return nil, err
		}
		for _, ev := range events {
			if max(ev.From, ev.End) <= until {
				all = append(all, ev)
			}
		}
	}
	return New(all), nil
}

// New returns the history of the given events. Events of one process have to be in the order written.
func New(events []trace.Event) *History {
	h := &History{
		starts: map[process]*trace.Event{}, commitsByMark: map[string][]*trace.Event{}, marksByIdentity: map[string][]string{},
	}
	for i := range events {
		h.add(&events[i])
	}
	h.intervals = h.holdIntervals()
	return h
}

func (h *History) add(ev *trace.Event) {
	switch ev.Kind {
	case trace.KindStart:
		h.starts[processOf(ev)] = ev
	case trace.KindGrant:
		h.grants = append(h.grants, ev)
	case trace.KindExec:
		h.executions = append(h.executions, ev)
		if ev.Committed && ev.Mark != "" {
			h.commitsByMark[ev.Mark] = append(h.commitsByMark[ev.Mark], ev)
		}
	case trace.KindCall:
		h.calls = append(h.calls, ev)
		if ev.Identity != "" {
			h.marksByIdentity[ev.Identity] = append(h.marksByIdentity[ev.Identity], ev.Mark)
		}
	}
}

func processOf(ev *trace.Event) process { return process{ev.Server, ev.Incarnation} }

// Counts tells how much a history holds, so that a test can assert that there was something to check.
type Counts struct {
	Grants, Executions, Committed, Calls, Ran, NotRun int
	Slots                                             int // slots with committed work
}

// Counts returns the numbers of events, and of slots with committed work.
func (h *History) Counts() Counts {
	c := Counts{Grants: len(h.grants), Executions: len(h.executions), Calls: len(h.calls)}
	slots := map[poolSlot]bool{}
	for _, ev := range h.executions {
		if ev.Committed {
			c.Committed++
			if ev.Slot != trace.NoSlot {
				slots[poolSlot{ev.Pool, ev.Slot}] = true
			}
		}
	}
	c.Slots = len(slots)
	for _, ev := range h.calls {
		switch {
		case reportedRan(ev):
			c.Ran++
		case ev.Verdict == verdictNotRun:
			c.NotRun++
		}
	}
	return c
}

// Violations returns the violations of all rules.
func (h *History) Violations() []Violation {
	var out []Violation
	for _, rule := range []func() []Violation{
		h.FindOverlaps, h.FindUnfenced, h.FindConcurrent, h.FindRepeats, h.FindFalseNotRun, h.FindDenied, h.FindWrongAnswers,
	} {
		out = append(out, rule()...)
	}
	return out
}
