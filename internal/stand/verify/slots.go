package verify

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

type poolSlot struct {
	pool string
	slot int64
}

// holdInterval is a time during which a process held a slot with one token without a break.
type holdInterval struct {
	process
	token       uint64
	from, to    int64
	first, last *trace.Event // the first and the last grant
}

// holdIntervals returns the intervals in which processes held each slot.
func (h *History) holdIntervals() map[poolSlot][]holdInterval {
	grantsOf := map[process][]*trace.Event{}
	for _, ev := range h.grants {
		p := processOf(ev)
		grantsOf[p] = append(grantsOf[p], ev)
	}
	out := map[poolSlot][]holdInterval{}
	for p, grants := range grantsOf {
		end := h.successorStart(p)
		for i, ev := range grants {
			to := min(ev.Until, end)
			if i+1 < len(grants) {
				to = min(to, grants[i+1].From)
			}
			if to > ev.From {
				addIntervals(out, p, ev, to)
			}
		}
	}
	return out
}

// successorStart returns when the next process of the same server started. The grants of p end then at the latest, since p
// has ended.
func (h *History) successorStart(p process) int64 {
	end := int64(1<<63 - 1)
	start := h.starts[p]
	if start == nil {
		return end
	}
	for q, other := range h.starts {
		if q.server == p.server && q != p && other.From > start.From {
			end = min(end, other.From)
		}
	}
	return end
}

func addIntervals(out map[poolSlot][]holdInterval, p process, ev *trace.Event, to int64) {
	for _, s := range ev.Slots {
		for slot := int64(s.First); slot <= int64(s.Last); slot++ {
			c := poolSlot{s.Pool, slot}
			if n := len(out[c]); n > 0 {
				if l := &out[c][n-1]; l.process == p && l.token == s.Token && l.to >= ev.From {
					l.to, l.last = to, ev
					continue
				}
			}
			out[c] = append(out[c], holdInterval{p, s.Token, ev.From, to, ev, ev})
		}
	}
}

// FindOverlaps finds slots that two servers held at once.
func (h *History) FindOverlaps() []Violation {
	found := map[[2]*trace.Event]*Violation{}
	var out []*Violation
	for _, c := range h.sortedSlots() {
		intervals := slices.Clone(h.intervals[c])
		slices.SortFunc(intervals, func(a, b holdInterval) int { return cmp.Compare(a.from, b.from) })
		for i, a := range intervals {
			for _, b := range intervals[i+1:] {
				if b.from >= a.to {
					break
				}
				key := [2]*trace.Event{a.last, b.first}
				// Two grants can overlap in many slots: report only the first.
				if a.server != b.server && found[key] == nil {
					found[key] = overlapViolation(c, a, b)
					out = append(out, found[key])
				}
			}
		}
	}
	return flatten(out)
}

func overlapViolation(c poolSlot, a, b holdInterval) *Violation {
	evidence := []*trace.Event{a.first, a.last, b.first, b.last}
	return &Violation{
		Rule: "overlap",
		Text: fmt.Sprintf("slot %d of pool %s was held by %s (token %d) until %d and by %s (token %d) from %d",
			c.slot, c.pool, a.server, a.token, a.to, b.server, b.token, b.from),
		Evidence: slices.Compact(evidence),
	}
}

func flatten(in []*Violation) []Violation {
	var out []Violation
	for _, v := range in {
		out = append(out, *v)
	}
	return out
}

func (h *History) sortedSlots() []poolSlot {
	var out []poolSlot
	for c := range h.intervals {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b poolSlot) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.slot, b.slot))
	})
	return out
}

// FindUnfenced finds executions of keyed requests, on servers that check tokens, that began or were committed without a
// valid grant of the slot with the request's token. A grant that lapsed and was renewed with the same token in between is
// no violation: had another server held the slot, the token would be higher.
func (h *History) FindUnfenced() []Violation {
	var out []Violation
	for _, ev := range h.executions {
		start := h.starts[processOf(ev)]
		if start == nil {
			out = append(out, Violation{"unfenced", "execution of an unknown process", []*trace.Event{ev}})
			continue
		}
		if !start.ChecksTokens || ev.Slot == trace.NoSlot {
			continue
		}
		if !h.heldAt(ev, ev.Begin) {
			out = append(out, Violation{"unfenced", "execution began outside a grant", h.evidenceFor(ev)})
		} else if ev.Committed && !h.heldAt(ev, ev.End) {
			out = append(out, Violation{"unfenced", "execution was committed outside a grant", h.evidenceFor(ev)})
		}
	}
	return out
}

func (h *History) heldAt(ev *trace.Event, at int64) bool {
	return slices.ContainsFunc(h.intervals[poolSlot{ev.Pool, ev.Slot}], func(s holdInterval) bool {
		return s.process == processOf(ev) && s.token == ev.Token && s.from <= at && at <= s.to
	})
}

// evidenceFor returns the execution and the grants of its slot to its process.
func (h *History) evidenceFor(ev *trace.Event) []*trace.Event {
	out := []*trace.Event{ev}
	for _, s := range h.intervals[poolSlot{ev.Pool, ev.Slot}] {
		if s.process == processOf(ev) {
			out = append(out, s.first, s.last)
		}
	}
	return slices.Compact(out)
}

// FindConcurrent finds committed executions of one slot on two servers at the same time. It is the only slot rule for
// servers that do not check tokens. The design allows a violation by such a server if it froze while it ran a request
// (residual window): a test of that case has to show that the server was frozen.
func (h *History) FindConcurrent() []Violation {
	bySlot := map[poolSlot][]*trace.Event{}
	for _, ev := range h.executions {
		if ev.Committed && ev.Slot != trace.NoSlot {
			c := poolSlot{ev.Pool, ev.Slot}
			bySlot[c] = append(bySlot[c], ev)
		}
	}
	var out []Violation
	for c, evs := range bySlot {
		slices.SortFunc(evs, func(a, b *trace.Event) int { return cmp.Compare(a.Begin, b.Begin) })
		for i, a := range evs {
			for _, b := range evs[i+1:] {
				if b.Begin >= a.End {
					break
				}
				if a.Server != b.Server {
					text := fmt.Sprintf("slot %d of pool %s executed on %s and %s at once", c.slot, c.pool, a.Server, b.Server)
					out = append(out, Violation{"concurrent", text, []*trace.Event{a, b}})
				}
			}
		}
	}
	return out
}
