// Package verify proves from the journals of servers and callers that a run kept the guarantees of the system. It
// believes nothing that an instance says about itself.
package verify

import (
	"fmt"
	"strings"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// Violation is a broken rule with the journal lines that show it.
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

// History holds the journals of one run.
type History struct {
	starts          map[process]*trace.Event
	grants          []*trace.Event // in the order of each process
	executions      []*trace.Event
	commitsByMark   map[string][]*trace.Event // committed executions by mark
	calls           []*trace.Event
	marksByIdentity map[string][]string // marks of all calls by the identity that the caller used
	intervals       map[poolSlot][]holdInterval
}

// process is one life of a server.
type process struct {
	server      string
	incarnation uint64
}

// Load reads journals of servers and callers up to the time given, which must not be later than the beginning of the call.
// Journals of processes that run are read one after the other: without that bound a key that moves meanwhile appears at its
// new owner, read last, beside a grant of the earlier one that has been replaced since. Whatever preceded an event up to
// that time was written before it, and is read.
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

// New returns the record of the given events. Events of one process have to be in the order written.
func New(events []trace.Event) *History {
	r := &History{
		starts: map[process]*trace.Event{}, commitsByMark: map[string][]*trace.Event{}, marksByIdentity: map[string][]string{},
	}
	for i := range events {
		r.add(&events[i])
	}
	r.intervals = r.holdIntervals()
	return r
}

func (r *History) add(ev *trace.Event) {
	switch ev.Kind {
	case trace.KindStart:
		r.starts[processOf(ev)] = ev
	case trace.KindGrant:
		r.grants = append(r.grants, ev)
	case trace.KindExec:
		r.executions = append(r.executions, ev)
		if ev.Committed && ev.Mark != "" {
			r.commitsByMark[ev.Mark] = append(r.commitsByMark[ev.Mark], ev)
		}
	case trace.KindCall:
		r.calls = append(r.calls, ev)
		if ev.Identity != "" {
			r.marksByIdentity[ev.Identity] = append(r.marksByIdentity[ev.Identity], ev.Mark)
		}
	}
}

func processOf(ev *trace.Event) process { return process{ev.Server, ev.Incarnation} }

// Counts tells how much a record holds, so that a test can make sure that it judged something.
type Counts struct {
	Grants, Executions, Committed, Calls, Ran, NotRun int
	Slots                                             int // in which something was committed
}

// Counts returns the numbers of events.
func (r *History) Counts() Counts {
	c := Counts{Grants: len(r.grants), Executions: len(r.executions), Calls: len(r.calls)}
	slots := map[poolSlot]bool{}
	for _, ev := range r.executions {
		if ev.Committed {
			c.Committed++
			if ev.Slot != trace.NoSlot {
				slots[poolSlot{ev.Pool, ev.Slot}] = true
			}
		}
	}
	c.Slots = len(slots)
	for _, ev := range r.calls {
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
func (r *History) Violations() []Violation {
	var out []Violation
	for _, rule := range []func() []Violation{
		r.FindOverlaps, r.FindUnfenced, r.FindConcurrent, r.FindRepeats, r.FindFalseNotRun, r.FindDenied, r.FindWrongAnswers,
	} {
		out = append(out, rule()...)
	}
	return out
}
