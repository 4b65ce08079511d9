package verify

import (
	"bytes"
	"fmt"
	"maps"
	"slices"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// The verdicts that callers receive.
const (
	verdictRan    = "ran"
	verdictNotRun = "not-run"
)

// reportedRan tells whether the caller was told that its work ran.
func reportedRan(call *trace.Event) bool {
	return call.Verdict == verdictRan || call.Verdict == "" && call.Status == 200
}

// FindRepeats finds work that was committed more than once for one identity that instances sent to servers, for one
// identity that callers used, or for the mark of one call.
func (h *History) FindRepeats() []Violation {
	work := map[string][]*trace.Event{}
	for _, ev := range h.executions {
		if ev.Committed && ev.Identity != "" {
			key := fmt.Sprintf("identity %q", ev.Identity)
			work[key] = append(work[key], ev)
		}
	}
	for id := range h.marksByIdentity {
		work[fmt.Sprintf("caller's identity %q", id)] = h.committedWork(id, "")
	}
	for mark, evs := range h.commitsByMark {
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

// committedWork returns the committed executions of the mark and, unless identity is empty, of all calls with that identity.
func (h *History) committedWork(identity, mark string) []*trace.Event {
	marks := []string{mark}
	if identity != "" {
		marks = append(marks, h.marksByIdentity[identity]...)
		slices.Sort(marks)
		marks = slices.Compact(marks)
	}
	var out []*trace.Event
	for _, m := range marks {
		out = append(out, h.commitsByMark[m]...)
	}
	return out
}

// FindFalseNotRun finds calls that received the verdict not-run although their work was committed.
func (h *History) FindFalseNotRun() []Violation {
	var out []Violation
	for _, call := range h.calls {
		if evs := h.commitsByMark[call.Mark]; call.Verdict == verdictNotRun && len(evs) > 0 {
			text := fmt.Sprintf("call %q was told not-run and was committed", call.Mark)
			out = append(out, Violation{"not-run", text, append([]*trace.Event{call}, evs...)})
		}
	}
	return out
}

// FindDenied finds calls that received the verdict not-run although committed work with the same identity had begun before
// the call was sent. It is stricter than FindFalseNotRun: the call itself did not run, but the work that it names did. An
// execution that began later comes from a resend after the refusal was decided, while the refusal was on its way.
func (h *History) FindDenied() []Violation {
	var out []Violation
	for _, call := range h.calls {
		if call.Verdict != verdictNotRun || call.Identity == "" {
			continue
		}
		for _, ev := range h.committedWork(call.Identity, call.Mark) {
			if ev.Begin <= call.Begin {
				text := fmt.Sprintf("call %q was told not-run after its identity %q began to run", call.Mark, call.Identity)
				out = append(out, Violation{"denied", text, []*trace.Event{call, ev}})
			}
		}
	}
	return out
}

// FindWrongAnswers finds calls whose answer is not byte for byte that of a committed execution of their work.
func (h *History) FindWrongAnswers() []Violation {
	var out []Violation
	for _, call := range h.calls {
		if !reportedRan(call) {
			continue
		}
		evs := h.committedWork(call.Identity, call.Mark)
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
