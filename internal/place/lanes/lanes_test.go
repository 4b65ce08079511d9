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

// fillLanes returns the lanes in a reply to a member.
func fillLanes(t *lanes.Table, now time.Time, id string) []*peerpb.Lane {
	rep := &peerpb.HeartbeatReply{}
	t.FillReply(now, id, 0, rep)
	return rep.Lanes
}

// Guards a lane against two dispatchers: a new one gets it only when the old one released it or its lease lapsed,
// plus the longest request where nobody checks at the server.
func TestLaneWaitsForOldDispatcher(t *testing.T) {
	for _, linger := range []time.Duration{0, time.Second} {
		for _, release := range []bool{true, false} {
			start := time.Unix(1000, 0)
			tab := lanes.New(lease.Pair{Term: 1})
			tab.RecordContact(start, "a", "a:1", false)
			tab.Update(oneLane(linger, 9))
			tab.Elect(start, start.Add(-time.Hour))
			held := fillLanes(tab, start, "a")
			if len(held) != 1 {
				t.Fatal("the only instance has no lane")
			}
			tab.RecordContact(start, "b", "b:1", false)
			tab.RecordContact(start, "a", "a:1", true)
			tab.Elect(start, start.Add(-time.Hour))
			if len(fillLanes(tab, start, "a"))+len(fillLanes(tab, start, "b")) != 0 {
				t.Fatal("the lease of a leaving dispatcher was renewed, or the lane given away at once")
			}
			lapse := start.Add(lease.AddDriftMargin(lease.Validity) + linger)
			if release {
				tab.RecordRelease("a", "p/s", held[0].Revision)
				lapse = start
			}
			for now := start; !now.After(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
				tab.RecordContact(now, "b", "b:1", false)
				tab.Elect(now, start.Add(-time.Hour))
				if got := len(fillLanes(tab, now, "b")) == 1; got != (now.After(lapse) || release) {
					t.Fatalf("linger %v, released %v, %v after the last reply: given %v", linger, release, now.Sub(start), got)
				}
			}
		}
	}
}

// Guards planned moves: a slot taken from a lane is clear only when the revision that had it was released or lapsed.
func TestSlotIsClearAfterRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := lanes.New(lease.Pair{Term: 1})
	tab.RecordContact(now, "a", "a:1", false)
	tab.Update(oneLane(0, 9))
	tab.Elect(now, now)
	old := fillLanes(tab, now, "a")[0]
	tab.Update(oneLane(0, 4))
	fillLanes(tab, now, "a")
	if tab.IsClear(now, "p/s", 7) {
		t.Error("clear before the release")
	}
	tab.RecordRelease("a", "p/s", old.Revision)
	if !tab.IsClear(now, "p/s", 7) || tab.IsClear(now, "p/s", 3) {
		t.Error("release not counted, or counted for a slot that is still dispatched")
	}
	if late := now.Add(lease.AddDriftMargin(lease.Validity) + 1); !tab.IsClear(late, "p/s", 3) {
		t.Error("not clear after the lapse")
	}
}

// Guards against instances without lanes beside others with several, as rendezvous hashing alone gives with few lanes.
func TestLanesAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := lanes.New(lease.Pair{Term: 1})
	ids := []string{"a", "b", "c", "d", "e"}
	var specs []lanes.Spec
	for i := range 12 {
		specs = append(specs, lanes.Spec{Name: fmt.Sprintf("p/s%d", i), Pool: "p", Keyed: true})
	}
	for _, id := range ids {
		tab.RecordContact(now, id, id+":1", false)
	}
	tab.Update(specs)
	tab.Elect(now, now.Add(-time.Hour))
	total := 0
	for _, id := range ids {
		n := len(fillLanes(tab, now, id))
		total += n
		if n > 3 {
			t.Errorf("%s dispatches %d of 12 lanes", id, n)
		}
	}
	if total != 12 {
		t.Errorf("%d of 12 lanes have a dispatcher", total)
	}
}
