package lanes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/lanes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

func oneLane(linger time.Duration, last uint32) []lanes.Spec {
	return []lanes.Spec{{Name: "p/s", Pool: "p", Keyed: true, Linger: linger, Slots: []*peerpb.Range{{First: 0, Last: last}}}}
}

// fillLanes returns the lanes in a full reply to a member.
func fillLanes(t *lanes.Table, now time.Time, id string) []*peerpb.Lane {
	rep := &peerpb.HeartbeatReply{}
	t.FillReply(now, id, 0, rep)
	return rep.Lanes
}

// Guards against two dispatchers of one lane: a new one gets it only after its release or the old lease's expiry, plus
// the longest request if the server does not check tokens.
func TestLaneWaitsForOldDispatcher(t *testing.T) {
	for _, linger := range []time.Duration{0, time.Second} {
		for _, release := range []bool{true, false} {
			start := time.Unix(1000, 0)
			table := lanes.New(lease.Pair{Term: 1})
			table.RecordContact(start, "a", "a:1", false)
			table.Update(oneLane(linger, 9))
			table.Elect(start, start.Add(-time.Hour))
			held := fillLanes(table, start, "a")
			if len(held) != 1 {
				t.Fatal("the only instance has no lane")
			}
			table.RecordContact(start, "b", "b:1", false)
			table.RecordContact(start, "a", "a:1", true)
			table.Elect(start, start.Add(-time.Hour))
			if len(fillLanes(table, start, "a"))+len(fillLanes(table, start, "b")) != 0 {
				t.Fatal("the lease of a leaving dispatcher was renewed, or another instance got the lane at once")
			}
			expiry := start.Add(lease.AddDriftMargin(lease.Validity) + linger)
			if release {
				table.RecordRelease("a", "p/s", held[0].Revision)
				expiry = start
			}
			for now := start; !now.After(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
				table.RecordContact(now, "b", "b:1", false)
				table.Elect(now, start.Add(-time.Hour))
				if got := len(fillLanes(table, now, "b")) == 1; got != (now.After(expiry) || release) {
					t.Fatalf("linger %v, released %v, %v after the last reply: new dispatcher has the lane: %v", linger, release, now.Sub(start), got)
				}
			}
		}
	}
}

// Guards planned moves: a slot taken from a lane is clear only when its old revision was released or has expired.
func TestSlotIsClearAfterRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	table := lanes.New(lease.Pair{Term: 1})
	table.RecordContact(now, "a", "a:1", false)
	table.Update(oneLane(0, 9))
	table.Elect(now, now)
	old := fillLanes(table, now, "a")[0]
	table.Update(oneLane(0, 4))
	fillLanes(table, now, "a")
	if table.IsClear(now, "p/s", 7) {
		t.Error("slot 7 is clear before the release")
	}
	table.RecordRelease("a", "p/s", old.Revision)
	if !table.IsClear(now, "p/s", 7) || table.IsClear(now, "p/s", 3) {
		t.Error("slot 7 is not clear after the release, or slot 3, which is still dispatched, is clear")
	}
	if late := now.Add(lease.AddDriftMargin(lease.Validity) + 1); !table.IsClear(late, "p/s", 3) {
		t.Error("slot 3 is not clear after the lease has expired")
	}
}

// Guards against an uneven spread of few lanes, as rendezvous hashing alone gives.
func TestLanesAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	table := lanes.New(lease.Pair{Term: 1})
	ids := []string{"a", "b", "c", "d", "e"}
	var specs []lanes.Spec
	for i := range 12 {
		specs = append(specs, lanes.Spec{Name: fmt.Sprintf("p/s%d", i), Pool: "p", Keyed: true})
	}
	for _, id := range ids {
		table.RecordContact(now, id, id+":1", false)
	}
	table.Update(specs)
	table.Elect(now, now.Add(-time.Hour))
	total := 0
	for _, id := range ids {
		n := len(fillLanes(table, now, id))
		total += n
		if n > 3 {
			t.Errorf("%s dispatches %d of 12 lanes", id, n)
		}
	}
	if total != 12 {
		t.Errorf("%d of 12 lanes have a dispatcher", total)
	}
}
