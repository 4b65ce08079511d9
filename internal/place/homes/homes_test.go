package homes_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/homes"
)

// Guards against shares that don't follow the weights and a change of one weight that moves slots between other data centres.
func TestHomeFollowsWeights(t *testing.T) {
	weights := []homes.Weight{{DC: "a", Servers: 10}, {DC: "b", Servers: 20}, {DC: "c", Servers: 10}}
	heavierB := []homes.Weight{{DC: "a", Servers: 10}, {DC: "b", Servers: 30}, {DC: "c", Servers: 10}}
	count := make(map[string]int)
	for i := range uint32(4096) {
		home, next := homes.Home("p", i, weights), homes.Home("p", i, heavierB)
		count[home]++
		if home != next && next != "b" {
			t.Fatalf("slot %d moved from %s to %s", i, home, next)
		}
	}
	if count["b"] < 1900 || count["b"] > 2200 || count["a"] < 900 || count["c"] < 900 {
		t.Errorf("slots by data centre: %v, want about 1024, 2048 and 1024", count)
	}
}

var serverLists = rapid.Custom(func(t *rapid.T) []homes.Server {
	n := rapid.IntRange(1, 8).Draw(t, "servers")
	out := make([]homes.Server, n)
	for i := range out {
		out[i] = homes.Server{
			Name: fmt.Sprint("s", i), Capacity: float64(rapid.IntRange(1, 4).Draw(t, "capacity")),
			Up: rapid.Bool().Draw(t, "up"), Leaving: rapid.Bool().Draw(t, "leaving"),
		}
	}
	return out
})

// Guards against moves of slots with a live owner, moves to servers that are down or leaving, and slots left unowned.
func TestAssignUnownedMovesNoOthers(t *testing.T) {
	for seed := range 200 {
		servers := serverLists.Example(seed)
		assignable, up := make(map[string]bool), make(map[string]bool)
		for _, s := range servers {
			assignable[s.Name], up[s.Name] = s.Up && !s.Leaving, s.Up
		}
		slots := make([]homes.Slot, 64)
		for i := range slots {
			if i%5 > 0 {
				slots[i].Owner = servers[i%len(servers)].Name
			}
		}
		for _, m := range homes.AssignUnowned(servers, slots) {
			if !assignable[m.To] || up[slots[m.Slot].Owner] {
				t.Fatalf("seed %d: slot %d of %q moved to %s", seed, m.Slot, slots[m.Slot].Owner, m.To)
			}
			slots[m.Slot].Owner = m.To
		}
		for i, s := range slots {
			if !up[s.Owner] && len(homes.AssignUnowned(servers, slots)) > 0 {
				t.Fatalf("seed %d: slot %d still has no live owner", seed, i)
			}
		}
	}
}
