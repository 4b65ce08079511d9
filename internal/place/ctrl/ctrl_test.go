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

// Guards against outages longer than the design allows for each kind of failure. At no tick may two servers hold a slot.
func TestFailures(t *testing.T) {
	cases := []struct {
		name  string
		limit time.Duration
		fail  func(sim *simulation)
		then  func(sim *simulation)
	}{
		{"server killed", 3 * time.Second, func(sim *simulation) { sim.servers["e-s1"].dead = true }, nil},
		{"server frozen and back", 3 * time.Second, func(sim *simulation) { sim.servers["e-s1"].dead = true }, func(sim *simulation) {
			sim.servers["e-s1"].dead = false
			sim.waitUntilServed(20*time.Second, func() bool { return len(sim.instances[0].placement.Cell("e").Witnesses) == 7 })
		}},
		{"server restarted", 3 * time.Second, func(sim *simulation) {
			s := sim.servers["e-s1"]
			s.incarnation, s.held, s.validUntil, s.pair.Term = 99, nil, 0, 0
		}, nil},
		{"server has seen higher tokens", 3 * time.Second, func(sim *simulation) {
			s := sim.servers["e-s1"]
			s.highestTokens[s.held[0].First], s.held, s.validUntil = s.held[0].Token+1, nil, 0
		}, nil},
		{"controller killed", 4 * time.Second, func(sim *simulation) { sim.controller("e").dead = true }, nil},
		{"controller and server killed", 5 * time.Second, func(sim *simulation) {
			sim.controller("e").dead = true
			sim.servers["e-s2"].dead = true
		}, nil},
		{"controller frozen and back", 4 * time.Second, func(sim *simulation) { sim.controller("e").frozen = true }, func(sim *simulation) {
			for _, i := range sim.instances {
				i.frozen = false
			}
			sim.waitUntilServed(20*time.Second, func() bool { return len(sim.instances[0].placement.Cell("e").Witnesses) == 7 })
		}},
		{"log down and server killed", 3 * time.Second, func(sim *simulation) {
			sim.logDown = true
			sim.servers["e-s0"].dead = true
		}, func(sim *simulation) {
			sim.runFor(5 * time.Second)
			sim.logDown = false
			sim.waitUntilServed(10*time.Second, func() bool { c := sim.controller("e"); return c != nil && c.core.UnloggedMoves == 0 })
			for slot, s := range sim.instances[0].placement.Slots("p") {
				if s.Owner == "e-s0" {
					t.Errorf("move of slot %d was not recorded", slot)
				}
			}
		}},
		{"log down, controller and server killed", 6 * time.Second, func(sim *simulation) {
			sim.logDown = true
			sim.runFor(3 * time.Second)
			sim.controller("e").dead = true
			sim.servers["e-s0"].dead = true
		}, func(sim *simulation) {
			sim.logDown = false
			sim.waitUntilServed(20*time.Second, func() bool { c := sim.controller("e"); return c != nil && c.core.UnloggedMoves == 0 })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, []string{"e"}, 3, 4, 0)
			sim.waitUntilServed(5*time.Second, noCondition)
			sim.runFor(5 * time.Second)
			c.fail(sim)
			took := sim.measureOutage(10 * time.Second)
			t.Logf("all slots served again after %v", took)
			if took == 0 || took > c.limit {
				t.Errorf("some slot was unserved until %v after the failure, want more than 0 and at most %v", took, c.limit)
			}
			if c.then != nil {
				c.then(sim)
			}
			sim.waitUntilServed(5*time.Second, noCondition)
		})
	}
}

// Guards recovery from the loss of a majority of witnesses: nothing is granted until the list has not shown them for a
// minute.
func TestMajorityOfWitnessesLost(t *testing.T) {
	sim := newSimulation(t, []string{"e"}, 4, 2, 0)
	sim.waitUntilServed(5*time.Second, noCondition)
	sim.runFor(5 * time.Second)
	for _, i := range sim.instances[1:] {
		i.dead = true
	}
	sim.servers["e-s0"].dead = true
	sim.list.Instances = sim.list.Instances[:1]
	sim.publish()
	sim.runFor(50 * time.Second)
	if n := sim.checkExclusive(); n != 0 {
		t.Fatalf("%d slots are held without a majority of witnesses", n)
	}
	sim.waitUntilServed(30*time.Second, noCondition)
}

// Guards the choice of data centres: each serves its share of the slots, and a new one gets its share from the others.
func TestHomesFollowTables(t *testing.T) {
	sim := newSimulation(t, []string{"e", "w"}, 2, 2, 0)
	pool := sim.tables.Pools[0]
	pool.Servers = append([]tables.Server(nil), pool.Servers[:2]...)
	full := sim.tables
	sim.tables = &tables.Tables{Pools: []tables.Pool{pool}}
	sim.publish()
	sim.waitUntilServed(5*time.Second, noCondition)
	sim.tables = full
	sim.publish()
	share := func() (n int) {
		for _, s := range sim.instances[0].placement.Slots("p") {
			if s.DC == "w" {
				n++
			}
		}
		return n
	}
	sim.waitUntilServed(20*time.Second, func() bool { return share() > slotCount/4 && sim.heldInDC("w") == share() })
}

// Guards cutoff of a data centre: with a yield time, other data centres take its slots over, never at the same time;
// without one, the slots stay until operators declare it lost.
func TestDataCentreCutOff(t *testing.T) {
	cut := func(sim *simulation) {
		for _, i := range sim.instances {
			i.cutFromLog = i.dc == "w"
		}
	}
	t.Run("yield", func(t *testing.T) {
		sim := newSimulation(t, []string{"e", "w"}, 2, 2, 2*time.Second)
		sim.waitUntilServed(5*time.Second, noCondition)
		sim.runFor(2 * time.Second)
		cut(sim)
		sim.waitUntilServed(12*time.Second, func() bool { return sim.heldInDC("e") == slotCount })
		for _, i := range sim.instances {
			i.cutFromLog = false
		}
		sim.waitUntilServed(20*time.Second, func() bool { return sim.heldInDC("w") > 0 })
	})
	t.Run("stay", func(t *testing.T) {
		sim := newSimulation(t, []string{"e", "w"}, 2, 2, 0)
		sim.waitUntilServed(5*time.Second, noCondition)
		sim.runFor(2 * time.Second)
		cut(sim)
		if outage := sim.measureOutage(20 * time.Second); outage > 0 || sim.heldInDC("w") == 0 {
			t.Errorf("a cut-off data centre without a yield time stopped serving: outage until %v", outage)
		}
		for _, i := range sim.instances {
			i.dead = i.dc == "w"
		}
		for _, s := range sim.servers {
			s.dead = s.dc == "w"
		}
		sim.lostDCs = []string{"w"}
		sim.publish()
		sim.waitUntilServed(10*time.Second, func() bool { return sim.heldInDC("e") == slotCount })
	})
}

// injectFault starts or ends a random fault.
func (sim *simulation) injectFault() {
	index := sim.rng.IntN(len(sim.instances))
	i := sim.instances[index]
	var names []string
	for _, row := range sim.tables.Pools[0].Servers {
		names = append(names, row.Name)
	}
	s := sim.servers[names[sim.rng.IntN(len(names))]]
	switch sim.rng.IntN(12) {
	case 0, 1:
		s.dead = !s.dead
	case 2:
		s.incarnation, s.held, s.validUntil, s.pair, s.highestTokens = s.incarnation+100, nil, 0, lease.Pair{}, make(map[uint32]uint64)
	case 3, 4:
		i.frozen = !i.frozen
	case 5:
		sim.startInstance(index)
	case 6:
		sim.logDown = !sim.logDown
	case 7:
		i.cutFromLog = !i.cutFromLog
	case 8, 9, 10:
		sim.partition(names)
	case 11:
		for _, n := range names {
			i.unreachable[n] = sim.rng.IntN(2) == 0
		}
		for _, o := range sim.instances {
			i.unreachable[o.name] = sim.rng.IntN(2) == 0
		}
	}
}

// partition splits servers and instances into two sides that cannot reach each other.
func (sim *simulation) partition(names []string) {
	side := make(map[string]bool)
	for _, n := range names {
		side[n] = sim.rng.IntN(2) == 0
	}
	for _, i := range sim.instances {
		side[i.name] = sim.rng.IntN(2) == 0
	}
	for _, i := range sim.instances {
		for n, s := range side {
			i.unreachable[n] = s != side[i.name]
		}
	}
}

// endFaults ends all lasting faults.
func (sim *simulation) endFaults() {
	sim.logDown = false
	for _, i := range sim.instances {
		i.frozen, i.cutFromLog = false, false
		clear(i.unreachable)
	}
	for _, s := range sim.servers {
		s.dead = false
	}
}

// Guards against two servers that hold one slot (invariant 1) during random faults, with delayed, lost and reordered
// messages, and against slots left unserved after them.
func TestRandomFaults(t *testing.T) {
	grants := 0
	for seed := range uint64(16) {
		yield := time.Duration(seed%3) * time.Second
		sim := newSimulation(t, []string{"e", "w"}[:1+seed%2], 3, 3, yield)
		sim.rng, sim.seed = rand.New(rand.NewPCG(seed, 7)), seed
		for range 60 {
			sim.runFor(time.Duration(sim.rng.IntN(2000)) * time.Millisecond)
			sim.injectFault()
		}
		sim.endFaults()
		sim.waitUntilServed(2*time.Minute, noCondition)
		grants += sim.grantsDelivered
	}
	t.Logf("seeds 0 to 15: %d grants delivered", grants)
}

// Guards against a leaving server that keeps slots for more than a few seconds, or gives one up without a new owner.
func TestLeavingServer(t *testing.T) {
	sim := newSimulation(t, []string{"e"}, 3, 4, 0)
	sim.waitUntilServed(5*time.Second, noCondition)
	sim.servers["e-s1"].leaving = true
	sim.waitUntilServed(5*time.Second, func() bool { return len(sim.servers["e-s1"].held) == 0 })
}

// Guards against moves, which leave slots unserved, for an uneven load that delays no request, and against a balancer
// that does not see a busy server's load.
func TestBalanceByLoadOnlyWhenBusy(t *testing.T) {
	sim := newSimulation(t, []string{"e"}, 3, 4, 0)
	sim.waitUntilServed(5*time.Second, noCondition)
	holder := sim.controller("e")
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
			holder.core.HandleHeartbeat(sim.now, &peerpb.HeartbeatRequest{
				Instance: holder.id, Dc: "e", Peer: holder.peer.String(), Servers: []*peerpb.ServerReport{{
					Name: "e-s1", Load: c.inProgress, Slots: []*peerpb.SlotLoad{{Slot: 1, Rate: 90}, {Slot: 2, Rate: 90}},
				}},
			})
			sim.step()
		}
		if shown != c.want {
			t.Errorf("%.1f requests in progress: the balancer saw %.0f/s for a slot, want %.0f", c.inProgress, shown, c.want)
		}
	}
}
