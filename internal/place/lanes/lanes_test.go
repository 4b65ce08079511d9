package lanes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/lanes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

func spec(linger time.Duration, last uint32) []lanes.Spec {
	return []lanes.Spec{{Name: "p/s", Pool: "p", Keyed: true, Linger: linger, Slots: []*peerpb.Range{{First: 0, Last: last}}}}
}

// fill returns the lanes in a reply to a member.
func fill(t *lanes.Table, now time.Time, id string) []*peerpb.Lane {
	rep := &peerpb.HeartbeatReply{}
	t.Fill(now, id, 0, rep)
	return rep.Lanes
}

// Guards a lane against two dispatchers: a new one gets it only when the old one released it or its lease lapsed,
// plus the longest request where nobody checks at the server.
func TestLaneWaitsForOldDispatcher(t *testing.T) {
	for _, linger := range []time.Duration{0, time.Second} {
		for _, release := range []bool{true, false} {
			start := time.Unix(1000, 0)
			tab := lanes.New(lease.Pair{Term: 1})
			tab.Beat(start, "a", "a:1", false)
			tab.Update(spec(linger, 9))
			tab.Elect(start, start.Add(-time.Hour))
			held := fill(tab, start, "a")
			if len(held) != 1 {
				t.Fatal("the only instance has no lane")
			}
			tab.Beat(start, "b", "b:1", false)
			tab.Beat(start, "a", "a:1", true)
			tab.Elect(start, start.Add(-time.Hour))
			if len(fill(tab, start, "a"))+len(fill(tab, start, "b")) != 0 {
				t.Fatal("the lease of a leaving dispatcher was renewed, or the lane given away at once")
			}
			lapse := start.Add(lease.AddDriftMargin(lease.Validity) + linger)
			if release {
				tab.Released("a", "p/s", held[0].Revision)
				lapse = start
			}
			for now := start; !now.After(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
				tab.Beat(now, "b", "b:1", false)
				tab.Elect(now, start.Add(-time.Hour))
				if got := len(fill(tab, now, "b")) == 1; got != (now.After(lapse) || release) {
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
	tab.Beat(now, "a", "a:1", false)
	tab.Update(spec(0, 9))
	tab.Elect(now, now)
	old := fill(tab, now, "a")[0]
	tab.Update(spec(0, 4))
	fill(tab, now, "a")
	if tab.Clear(now, "p/s", 7) {
		t.Error("clear before the release")
	}
	tab.Released("a", "p/s", old.Revision)
	if !tab.Clear(now, "p/s", 7) || tab.Clear(now, "p/s", 3) {
		t.Error("release not counted, or counted for a slot that is still dispatched")
	}
	if late := now.Add(lease.AddDriftMargin(lease.Validity) + 1); !tab.Clear(late, "p/s", 3) {
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
		tab.Beat(now, id, id+":1", false)
	}
	tab.Update(specs)
	tab.Elect(now, now.Add(-time.Hour))
	total := 0
	for _, id := range ids {
		n := len(fill(tab, now, id))
		total += n
		if n > 3 {
			t.Errorf("%s dispatches %d of 12 lanes", id, n)
		}
	}
	if total != 12 {
		t.Errorf("%d of 12 lanes have a dispatcher", total)
	}
}
