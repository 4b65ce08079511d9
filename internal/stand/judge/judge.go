// Package judge proves from the journals of servers and callers that a run kept the guarantees of the system. It
// believes nothing that an instance says about itself.
package judge

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

// Record holds the journals of one run.
type Record struct {
	starts  map[process]*trace.Event
	grants  []*trace.Event // in the order of each process
	execs   []*trace.Event
	commits map[string][]*trace.Event // committed executions by mark
	calls   []*trace.Event
	marks   map[string][]string // marks of all calls by the identity that the caller used
	spans   map[cell][]span
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
func Load(until int64, paths ...string) (*Record, error) {
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
func New(events []trace.Event) *Record {
	r := &Record{
		starts: map[process]*trace.Event{}, commits: map[string][]*trace.Event{}, marks: map[string][]string{},
	}
	for i := range events {
		r.add(&events[i])
	}
	r.spans = r.hold()
	return r
}

func (r *Record) add(ev *trace.Event) {
	switch ev.Kind {
	case trace.Start:
		r.starts[processOf(ev)] = ev
	case trace.Grant:
		r.grants = append(r.grants, ev)
	case trace.Exec:
		r.execs = append(r.execs, ev)
		if ev.Committed && ev.Mark != "" {
			r.commits[ev.Mark] = append(r.commits[ev.Mark], ev)
		}
	case trace.Call:
		r.calls = append(r.calls, ev)
		if ev.Identity != "" {
			r.marks[ev.Identity] = append(r.marks[ev.Identity], ev.Mark)
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
func (r *Record) Counts() Counts {
	c := Counts{Grants: len(r.grants), Executions: len(r.execs), Calls: len(r.calls)}
	slots := map[cell]bool{}
	for _, ev := range r.execs {
		if ev.Committed {
			c.Committed++
			if ev.Slot != trace.NoSlot {
				slots[cell{ev.Pool, ev.Slot}] = true
			}
		}
	}
	c.Slots = len(slots)
	for _, ev := range r.calls {
		switch {
		case ran(ev):
			c.Ran++
		case ev.Verdict == notRun:
			c.NotRun++
		}
	}
	return c
}

// All returns the violations of all rules.
func (r *Record) All() []Violation {
	var out []Violation
	for _, rule := range []func() []Violation{
		r.Overlaps, r.Unfenced, r.Concurrent, r.Repeats, r.FalseNotRun, r.Denied, r.Answers,
	} {
		out = append(out, rule()...)
	}
	return out
}
