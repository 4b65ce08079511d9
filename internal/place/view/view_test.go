package view_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/view"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

var (
	self  = netip.MustParseAddrPort("127.0.0.1:1001")
	other = netip.MustParseAddrPort("127.0.0.1:1002")
	third = netip.MustParseAddrPort("127.0.0.1:1003")
	far   = netip.MustParseAddrPort("127.0.0.1:2001")
)

func newView() *view.View {
	v := view.New("a1", self)
	unkeyed := tables.Pool{Name: "cut", Remote: true}
	for i := range 17 {
		unkeyed.Servers = append(unkeyed.Servers, tables.Server{Name: fmt.Sprintf("c%02d", i), DC: "a1", Slots: 3})
	}
	v.SetTables(&tables.Tables{
		Pools: []tables.Pool{
			{Name: "cat", Keyed: true, Slots: 4},
			unkeyed,
			{Name: "away", Remote: true, Servers: []tables.Server{{Name: "x", DC: "b1"}}},
			{Name: "home", Servers: []tables.Server{{Name: "y", DC: "b1"}}},
		},
		Regions: []tables.Region{{Name: "a", DCs: []string{"a1"}}, {Name: "b", DCs: []string{"b1"}}},
	})
	v.SetSlots("cat", []fold.Slot{{DC: "a1", Owner: "s1", Token: 10}, {DC: "a1", Owner: "s1", Token: 10}, {DC: "b1", Owner: "s9", Token: 20}, {}})
	v.SetList(roster.List{Instances: []roster.Instance{{DC: "b1", Peer: far}, {DC: "b1", Peer: third, Leaving: true}}})
	v.SetMembers([]*peerpb.Member{
		{Peer: self.String(), Lanes: []string{"cat/s1"}},
		{Peer: other.String(), Lanes: []string{"cat/s2", "cut/a1/0"}},
		{Peer: third.String()},
	}, []*peerpb.Owner{
		{Pool: "cat", First: 0, Last: 0, Server: "s2", Token: 9},
		{Pool: "cat", First: 1, Last: 1, Server: "s2", Token: 11},
	})
	return v
}

// keyOf returns a key that belongs to the slot of the pool "cat".
func keyOf(t *testing.T, v *view.View, slot uint32) string {
	t.Helper()
	for i := range 1000 {
		key := fmt.Sprint("k", i)
		if tg, _ := v.Locate("cat", key); tg.Slot == slot {
			return key
		}
	}
	t.Fatal("no key found for the slot")
	return ""
}

// Guards against routing to a stale owner: an unlogged move with a lower token than the recorded assignment must not
// override it, one with a higher token must.
func TestLocateKeyed(t *testing.T) {
	v := newView()
	for _, c := range []struct {
		slot       uint32
		server, dc string
		token      uint64
		to         netip.AddrPort
		local      bool
		reason     string
	}{
		{0, "s1", "a1", 10, self, true, ""},
		{1, "s2", "a1", 11, other, false, ""},
		{2, "s9", "b1", 20, far, false, ""},
		{3, "", "", 0, netip.AddrPort{}, false, view.ReasonOwner},
	} {
		tg, err := v.Locate("cat", keyOf(t, v, c.slot))
		if c.reason != "" {
			if e := result.FromError(err); e.Reason != c.reason || e.Verdict != result.NotRun {
				t.Errorf("slot %d: %v", c.slot, err)
			}
			continue
		}
		if err != nil || tg.Server != c.server || tg.DC != c.dc || tg.Token != c.token || tg.Dispatcher != c.to || tg.Local != c.local {
			t.Errorf("slot %d: %+v, %v", c.slot, tg, err)
		}
	}
}

// Guards against a lane without dispatcher or fallbacks, and against lanes that are not chosen by their number of servers.
func TestLocateUnkeyed(t *testing.T) {
	v := newView()
	count := map[string]int{}
	for i := range 2000 {
		tg, err := v.Locate("cut", fmt.Sprint("id", i))
		if err != nil || len(tg.Fallbacks) != 2 || tg.Fallbacks[0] == tg.Dispatcher || tg.Fallbacks[1] == tg.Dispatcher {
			t.Fatalf("%+v, %v", tg, err)
		}
		if tg.Lane == "cut/a1/0" && tg.Dispatcher != other {
			t.Fatalf("dispatcher %v", tg.Dispatcher)
		}
		count[tg.Lane]++
	}
	// 8 of 17 servers are in the first lane.
	if len(count) != 2 || count["cut/a1/0"] < 840 || count["cut/a1/0"] > 1040 {
		t.Errorf("requests by lane: %v", count)
	}
	if n := len(v.LaneServers("cut/a1/1")); n != 9 {
		t.Errorf("second lane has %d servers, want 9", n)
	}
	if tg, err := v.Locate("away", "id"); err != nil || tg.DC != "b1" || tg.Dispatcher != far || tg.Lane != "" {
		t.Errorf("remote pool: %+v, %v", tg, err)
	}
	if tg, ok := v.LocateElsewhere("cut", "id"); ok {
		t.Errorf("target %+v, but no other data centre has servers", tg)
	}
	if _, err := v.Locate("home", "id"); result.FromError(err).Reason != view.ReasonServers {
		t.Errorf("pool that does not permit another data centre: %v", err)
	}
}

// Guards against a waiter that misses a change.
func TestChanged(t *testing.T) {
	v := view.New("a1", self)
	ch := v.Changed()
	v.SetList(roster.List{})
	<-ch
	if ch == v.Changed() {
		t.Error("the new state has the old channel")
	}
}

// Guards against a change that is ignored because the number of slots is the same, and against readers that are woken
// by each record of another pool.
func TestSetSlots(t *testing.T) {
	v := newView()
	slots := []fold.Slot{{DC: "a1", Owner: "s1", Token: 10}, {}, {}, {}}
	v.SetSlots("cat", slots)
	key, before := keyOf(t, v, 0), v.Changed()
	v.SetSlots("cat", slots)
	if before != v.Changed() {
		t.Error("woken without a change")
	}
	v.SetSlots("cat", []fold.Slot{{DC: "a1", Owner: "s2", Token: 11}, {}, {}, {}})
	if tg, err := v.Locate("cat", key); err != nil || tg.Server != "s2" || before == v.Changed() {
		t.Errorf("%+v, %v", tg, err)
	}
}
