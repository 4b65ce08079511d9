package verify

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// The verdicts that callers see.
const (
	verdictRan    = "ran"
	verdictNotRun = "not-run"
)

// reportedRan tells whether the caller was given an answer as that of its work.
func reportedRan(call *trace.Event) bool {
	return call.Verdict == verdictRan || call.Verdict == "" && call.Status == 200
}

// FindRepeats finds work that was committed more than once: by the identity that the instance sent to the servers, by
// the identity that callers used, and by the mark of a single call.
func (r *History) FindRepeats() []Violation {
	work := map[string][]*trace.Event{}
	for _, ev := range r.executions {
		if ev.Committed && ev.Identity != "" {
			key := fmt.Sprintf("identity %q", ev.Identity)
			work[key] = append(work[key], ev)
		}
	}
	for id := range r.marksByIdentity {
		work[fmt.Sprintf("caller's identity %q", id)] = r.committedWork(id, "")
	}
	for mark, evs := range r.commitsByMark {
		work[fmt.Sprintf("call %q", mark)] = evs
	}
	var out []Violation
	for _, key := range slices.Sorted(maps.Keys(work)) {
		if evs := work[key]; len(evs) > 1 {
			out = append(out, Violation{"repeat", fmt.Sprintf("%s was committed %d times", key, len(evs)), evs})
		}
	}
	return out
}

// committedWork returns the committed executions of a call's mark, and those of all calls with the same identity if it has one.
func (r *History) committedWork(identity, mark string) []*trace.Event {
	marks := []string{mark}
	if identity != "" {
		marks = append(marks, r.marksByIdentity[identity]...)
		slices.Sort(marks)
		marks = slices.Compact(marks)
	}
	var out []*trace.Event
	for _, m := range marks {
		out = append(out, r.commitsByMark[m]...)
	}
	return out
}

// FindFalseNotRun finds calls that were told that their work did not run although it was committed.
func (r *History) FindFalseNotRun() []Violation {
	var out []Violation
	for _, call := range r.calls {
		if evs := r.commitsByMark[call.Mark]; call.Verdict == verdictNotRun && len(evs) > 0 {
			text := fmt.Sprintf("call %q was told not-run and was committed", call.Mark)
			out = append(out, Violation{"not-run", text, append([]*trace.Event{call}, evs...)})
		}
	}
	return out
}

// FindDenied finds calls that were told not-run although work with the same identity was committed whose execution had begun
// before the call was sent. It is stricter than FalseNotRun: the call itself did not run, but the work that it names did.
// An execution that began later is that of a resend after the refusal was decided, while the refusal was on its way.
func (r *History) FindDenied() []Violation {
	var out []Violation
	for _, call := range r.calls {
		if call.Verdict != verdictNotRun || call.Identity == "" {
			continue
		}
		for _, ev := range r.committedWork(call.Identity, call.Mark) {
			if ev.Begin <= call.Begin {
				text := fmt.Sprintf("call %q was told not-run after its identity %q began to run", call.Mark, call.Identity)
				out = append(out, Violation{"denied", text, []*trace.Event{call, ev}})
			}
		}
	}
	return out
}

// FindWrongAnswers finds calls whose answer is not, byte for byte, that of a committed execution of their work.
func (r *History) FindWrongAnswers() []Violation {
	var out []Violation
	for _, call := range r.calls {
		if !reportedRan(call) {
			continue
		}
		evs := r.committedWork(call.Identity, call.Mark)
		same := func(ev *trace.Event) bool { return bytes.Equal(ev.Body, call.Body) }
		switch {
		case len(evs) == 0:
			text := fmt.Sprintf("call %q has an answer and no committed execution", call.Mark)
			out = append(out, Violation{"answer", text, []*trace.Event{call}})
		case !slices.ContainsFunc(evs, same):
			text := fmt.Sprintf("the answer to call %q is not the one in the journal", call.Mark)
			out = append(out, Violation{"answer", text, append([]*trace.Event{call}, evs...)})
		}
	}
	return out
}
