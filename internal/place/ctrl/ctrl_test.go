package ctrl_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

func noCondition() bool { return true }

// Guards each failure of the design's table against taking longer than it promises, in invented time. At every tick
// no slot may be held by two servers.
func TestFailures(t *testing.T) {
	cases := []struct {
		name  string
		limit time.Duration
		fail  func(w *simulation)
		then  func(w *simulation)
	}{
		{"server killed", 3 * time.Second, func(w *simulation) { w.servers["e-s1"].dead = true }, nil},
		{"server frozen and back", 3 * time.Second, func(w *simulation) { w.servers["e-s1"].dead = true }, func(w *simulation) {
			w.servers["e-s1"].dead = false
			w.waitUntilServed(20*time.Second, func() bool { return len(w.instances[0].placement.Cell("e").Witnesses) == 7 })
		}},
		{"server restarted", 3 * time.Second, func(w *simulation) {
			s := w.servers["e-s1"]
			s.incarnation, s.held, s.validUntil, s.pair.Term = 99, nil, 0, 0
		}, nil},
		{"server has seen higher tokens", 3 * time.Second, func(w *simulation) {
			s := w.servers["e-s1"]
			s.highestTokens[s.held[0].First], s.held, s.validUntil = s.held[0].Token+1, nil, 0
		}, nil},
		{"controller killed", 4 * time.Second, func(w *simulation) { w.controller("e").dead = true }, nil},
		{"controller and server killed", 5 * time.Second, func(w *simulation) {
			w.controller("e").dead = true
			w.servers["e-s2"].dead = true
		}, nil},
		{"controller frozen and back", 4 * time.Second, func(w *simulation) { w.controller("e").frozen = true }, func(w *simulation) {
			for _, i := range w.instances {
				i.frozen = false
			}
			w.waitUntilServed(20*time.Second, func() bool { return len(w.instances[0].placement.Cell("e").Witnesses) == 7 })
		}},
		{"log down and server killed", 3 * time.Second, func(w *simulation) {
			w.logDown = true
			w.servers["e-s0"].dead = true
		}, func(w *simulation) {
			w.runFor(5 * time.Second)
			w.logDown = false
			w.waitUntilServed(10*time.Second, func() bool { c := w.controller("e"); return c != nil && c.core.UnloggedMoves == 0 })
			for slot, s := range w.instances[0].placement.Slots("p") {
				if s.Owner == "e-s0" {
					t.Errorf("move of slot %d was not recorded", slot)
				}
			}
		}},
		{"log down, controller and server killed", 6 * time.Second, func(w *simulation) {
			w.logDown = true
			w.runFor(3 * time.Second)
			w.controller("e").dead = true
			w.servers["e-s0"].dead = true
		}, func(w *simulation) {
			w.logDown = false
			w.waitUntilServed(20*time.Second, func() bool { c := w.controller("e"); return c != nil && c.core.UnloggedMoves == 0 })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newSimulation(t, []string{"e"}, 3, 4, 0)
			w.waitUntilServed(5*time.Second, noCondition)
			w.runFor(5 * time.Second)
			c.fail(w)
			took := w.measureOutage(10 * time.Second)
			t.Logf("served again after %v", took)
			if took == 0 || took > c.limit {
				t.Errorf("a slot was unserved until %v after the failure, the limit is %v", took, c.limit)
			}
			if c.then != nil {
				c.then(w)
			}
			w.waitUntilServed(5*time.Second, noCondition)
		})
	}
}

// Guards the way out when a majority of the witnesses is lost at once: nothing is granted until the list has not
// shown them for a minute.
func TestMajorityOfWitnessesLost(t *testing.T) {
	w := newSimulation(t, []string{"e"}, 4, 2, 0)
	w.waitUntilServed(5*time.Second, noCondition)
	w.runFor(5 * time.Second)
	for _, i := range w.instances[1:] {
		i.dead = true
	}
	w.servers["e-s0"].dead = true
	w.list.Instances = w.list.Instances[:1]
	w.publish()
	w.runFor(50 * time.Second)
	if n := w.checkExclusive(); n != 0 {
		t.Fatalf("%d slots are held without a majority", n)
	}
	w.waitUntilServed(30*time.Second, noCondition)
}

// Guards the homes: every data centre serves its share, and a new one gets its slots from the others.
func TestHomesFollowTables(t *testing.T) {
	w := newSimulation(t, []string{"e", "w"}, 2, 2, 0)
	pool := w.tables.Pools[0]
	pool.Servers = append([]tables.Server(nil), pool.Servers[:2]...)
	full := w.tables
	w.tables = &tables.Tables{Pools: []tables.Pool{pool}}
	w.publish()
	w.waitUntilServed(5*time.Second, noCondition)
	w.tables = full
	w.publish()
	share := func() (n int) {
		for _, s := range w.instances[0].placement.Slots("p") {
			if s.DC == "w" {
				n++
			}
		}
		return n
	}
	w.waitUntilServed(20*time.Second, func() bool { return share() > slotCount/4 && w.heldInDC("w") == share() })
}

// Guards cutoff: a pool with a yield time is served elsewhere after its data centre was cut off, never at the same
// time; without one it stays until operators declare the data centre lost.
func TestDataCentreCutOff(t *testing.T) {
	cut := func(w *simulation) {
		for _, i := range w.instances {
			i.cutFromLog = i.dc == "w"
		}
	}
	t.Run("yield", func(t *testing.T) {
		w := newSimulation(t, []string{"e", "w"}, 2, 2, 2*time.Second)
		w.waitUntilServed(5*time.Second, noCondition)
		w.runFor(2 * time.Second)
		cut(w)
		w.waitUntilServed(12*time.Second, func() bool { return w.heldInDC("e") == slotCount })
		for _, i := range w.instances {
			i.cutFromLog = false
		}
		w.waitUntilServed(20*time.Second, func() bool { return w.heldInDC("w") > 0 })
	})
	t.Run("stay", func(t *testing.T) {
		w := newSimulation(t, []string{"e", "w"}, 2, 2, 0)
		w.waitUntilServed(5*time.Second, noCondition)
		w.runFor(2 * time.Second)
		cut(w)
		if gap := w.measureOutage(20 * time.Second); gap > 0 || w.heldInDC("w") == 0 {
			t.Errorf("a data centre that stays stopped serving: %v", gap)
		}
		for _, i := range w.instances {
			i.dead = i.dc == "w"
		}
		for _, s := range w.servers {
			s.dead = s.dc == "w"
		}
		w.lostDCs = []string{"w"}
		w.publish()
		w.waitUntilServed(10*time.Second, func() bool { return w.heldInDC("e") == slotCount })
	})
}

// injectFault breaks or repairs something.
func (w *simulation) injectFault() {
	k := w.rng.IntN(len(w.instances))
	i := w.instances[k]
	var names []string
	for _, row := range w.tables.Pools[0].Servers {
		names = append(names, row.Name)
	}
	s := w.servers[names[w.rng.IntN(len(names))]]
	switch w.rng.IntN(12) {
	case 0, 1:
		s.dead = !s.dead
	case 2:
		s.incarnation, s.held, s.validUntil, s.pair, s.highestTokens = s.incarnation+100, nil, 0, lease.Pair{}, make(map[uint32]uint64)
	case 3, 4:
		i.frozen = !i.frozen
	case 5:
		w.startInstance(k)
	case 6:
		w.logDown = !w.logDown
	case 7:
		i.cutFromLog = !i.cutFromLog
	case 8, 9, 10:
		w.partition(names)
	case 11:
		for _, n := range names {
			i.unreachable[n] = w.rng.IntN(2) == 0
		}
		for _, o := range w.instances {
			i.unreachable[o.name] = w.rng.IntN(2) == 0
		}
	}
}

// partition partitions servers and instances into two sides.
func (w *simulation) partition(names []string) {
	side := make(map[string]bool)
	for _, n := range names {
		side[n] = w.rng.IntN(2) == 0
	}
	for _, i := range w.instances {
		side[i.name] = w.rng.IntN(2) == 0
	}
	for _, i := range w.instances {
		for n, s := range side {
			i.unreachable[n] = s != side[i.name]
		}
	}
}

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.logDown = false
	for _, i := range w.instances {
		i.frozen, i.cutFromLog = false, false
		clear(i.unreachable)
	}
	for _, s := range w.servers {
		s.dead = false
	}
}

// Guards invariant 1 and recovery: random faults at random times, with delayed, lost and reordered messages, never let
// two servers hold a slot, and when they end all slots are served again.
func TestRandomFaults(t *testing.T) {
	grants := 0
	for seed := range uint64(16) {
		yield := time.Duration(seed%3) * time.Second
		w := newSimulation(t, []string{"e", "w"}[:1+seed%2], 3, 3, yield)
		w.rng, w.seed = rand.New(rand.NewPCG(seed, 7)), seed
		for range 60 {
			w.runFor(time.Duration(w.rng.IntN(2000)) * time.Millisecond)
			w.injectFault()
		}
		w.endFaults()
		w.waitUntilServed(2*time.Minute, noCondition)
		grants += w.grantsDelivered
	}
	t.Logf("seeds 0 to 15, %d grants arrived", grants)
}

// Guards a server that leaves: within a few seconds it holds nothing, and it lets go of a slot only for another owner.
func TestLeavingServer(t *testing.T) {
	w := newSimulation(t, []string{"e"}, 3, 4, 0)
	w.waitUntilServed(5*time.Second, noCondition)
	w.servers["e-s1"].leaving = true
	w.waitUntilServed(5*time.Second, func() bool { return len(w.servers["e-s1"].held) == 0 })
}

// Guards against moves that leave slots unserved for an uneven load that delays nobody, and against a busy server whose
// load the balancer is not shown.
func TestBalanceByLoadOnlyWhenBusy(t *testing.T) {
	w := newSimulation(t, []string{"e"}, 3, 4, 0)
	w.waitUntilServed(5*time.Second, noCondition)
	holder := w.controller("e")
	var shown float64
	holder.core.Balance = func(_ string, _ time.Time, _ []homes.Server, list []homes.Slot) []homes.Move {
		shown = 0
		for _, s := range list {
			shown = max(shown, s.Load)
		}
		return nil
	}
	for _, c := range []struct{ inProgress, want float64 }{{0.5, 0}, {2.5, 90}, {1.2, 90}, {0.5, 0}} {
		for range 400 {
			holder.core.HandleHeartbeat(w.now, &peerpb.HeartbeatRequest{
				Instance: holder.id, Dc: "e", Peer: holder.peer.String(), Servers: []*peerpb.ServerReport{{
					Name: "e-s1", Load: c.inProgress, Slots: []*peerpb.SlotLoad{{Slot: 1, Rate: 90}, {Slot: 2, Rate: 90}},
				}},
			})
			w.step()
		}
		if shown != c.want {
			t.Errorf("%.1f requests in progress: the balancer saw %.0f/s for a slot, want %.0f", c.inProgress, shown, c.want)
		}
	}
}
