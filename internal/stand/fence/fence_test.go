package fence_test

import (
	"reflect"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/fence"
	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

const incarnation = 77

func slotRanges(first, last uint32, token uint64) []trace.SlotRange {
	return []trace.SlotRange{{Pool: "p", First: first, Last: last, Token: token}}
}

// Guards the rules of the grant protocol: incarnation, order of (term, epoch), replacement of all slots, tokens and expiry.
func TestApply(t *testing.T) {
	const clockOffset = 1000
	g := fence.New(incarnation, clockOffset)
	for _, step := range []struct {
		name     string
		now      int64
		req      fence.Request
		accepted bool
		held     []trace.SlotRange
		revoked  []trace.SlotRange
	}{
		{"no incarnation", 10, fence.Request{Slots: slotRanges(0, 9, 5), Until: 2000}, false, nil, nil},
		{"another incarnation", 10, fence.Request{Incarnation: 78, Term: 1, Slots: slotRanges(0, 9, 5), Until: 2000}, false, nil, nil},
		{"first", 10, fence.Request{Incarnation: incarnation, Term: 4, Epoch: 1, Slots: slotRanges(0, 9, 5), Until: 1100}, true, slotRanges(0, 9, 5), nil},
		{"lower term", 20, fence.Request{Incarnation: incarnation, Term: 3, Epoch: 9, Until: 2000}, false, slotRanges(0, 9, 5), nil},
		{"lower epoch", 20, fence.Request{Incarnation: incarnation, Term: 4, Until: 2000}, false, slotRanges(0, 9, 5), nil},
		{"all slots replaced", 20, fence.Request{Incarnation: incarnation, Term: 4, Epoch: 1, Slots: slotRanges(4, 9, 5), Until: 1100}, true, slotRanges(4, 9, 5), slotRanges(0, 3, 5)},
		{"higher token", 30, fence.Request{Incarnation: incarnation, Term: 5, Slots: slotRanges(6, 6, 8), Until: 1100}, true, slotRanges(6, 6, 8), slotRanges(4, 9, 5)},
		{"lower token", 40, fence.Request{Incarnation: incarnation, Term: 5, Slots: slotRanges(5, 6, 5), Until: 1100}, true, slotRanges(5, 5, 5), slotRanges(6, 6, 8)},
		{"lapsed on arrival", 200, fence.Request{Incarnation: incarnation, Term: 6, Slots: slotRanges(0, 9, 9), Until: 1100}, true, nil, nil},
		{"lower term after lapse", 200, fence.Request{Incarnation: incarnation, Term: 5, Slots: slotRanges(0, 9, 9), Until: 9000}, false, nil, nil},
	} {
		var revoked []trace.SlotRange
		reply := g.Apply(func() int64 { return step.now }, step.req, func(ev *trace.Event) { revoked = ev.Revoked })
		if reply.Accepted != step.accepted || !reflect.DeepEqual(reply.Held, step.held) || !reflect.DeepEqual(revoked, step.revoked) {
			t.Errorf("%s: %+v, revoked %v", step.name, reply, revoked)
		}
		if reply.Clock != step.now+clockOffset || reply.Incarnation != incarnation || (reply.Until == 0) != (step.held == nil) {
			t.Errorf("%s: %+v", step.name, reply)
		}
	}
}

// Guards against treating a slot as held with another token, in another pool, or from the time at which the grant lapses.
func TestRunIfHeld(t *testing.T) {
	g := fence.New(incarnation, 0)
	g.Apply(func() int64 { return 0 }, fence.Request{Incarnation: incarnation, Term: 1, Slots: slotRanges(2, 3, 7), Until: 100}, func(*trace.Event) {})
	for _, tc := range []struct {
		now   int64
		pool  string
		slot  int64
		token uint64
		want  bool
	}{
		{99, "p", 2, 7, true},
		{100, "p", 2, 7, false},
		{99, "q", 2, 7, false},
		{99, "p", 4, 7, false},
		{99, "p", 2, 6, false},
		{99, "p", 2, 8, false},
		{99, "p", trace.NoSlot, 7, false},
	} {
		committed := false
		got := g.RunIfHeld(func() int64 { return tc.now }, tc.pool, tc.slot, tc.token, func(int64) { committed = true })
		if got != tc.want || committed != tc.want {
			t.Errorf("%+v: %v, committed %v", tc, got, committed)
		}
	}
}
