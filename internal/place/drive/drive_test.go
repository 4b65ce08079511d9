package drive_test

import (
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
)

// Guards the whole path: claim, fence, Ready, adoption, grants and lanes, with a single instance.
func TestOneInstanceServesAllSlots(t *testing.T) {
	r := newCluster(t, 1, 4, true)
	r.eventually("all slots served", r.allServed)
}

// backendByName returns the server with that name.
func (r *cluster) backendByName(name string) *backend {
	for addr, n := range r.serverNames {
		if n == name {
			return r.servers[addr]
		}
	}
	return nil
}

func (b *backend) setDown(down bool) {
	b.mu.Lock()
	b.down = down
	b.mu.Unlock()
}

// recordedSlots reports how many slots the fold of n gives to server, and how many unlogged moves it knows.
func (n *node) recordedSlots(server string) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.placement.Slots("stock") {
		if s.Owner == server {
			count++
		}
	}
	return count
}

func (r *cluster) cell() fold.Cell {
	n := r.liveNodes()[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placement.Cell("east")
}

// newSteadyCluster starts a rig and waits until all slots are served.
func newSteadyCluster(t *testing.T, instances int) *cluster {
	r := newCluster(t, instances, 4, true)
	r.eventually("all slots served", r.allServed)
	r.eventually("witness set complete", func() bool {
		return r.controller() != nil && len(r.cell().Witnesses) == instances+4 && r.cell().Ready
	})
	r.eventually("all slots served", r.allServed)
	return r
}

// Guards failover of a server that stops answering: its slots go to others, and it gets none back by itself.
func TestSlotsOfLostServerMove(t *testing.T) {
	r := newSteadyCluster(t, 3)
	r.backendByName("s1").setDown(true)
	r.eventually("slots recorded for other servers", func() bool { return r.liveNodes()[0].recordedSlots("s1") == 0 })
	t.Logf("served again %v later", r.eventually("all slots served", r.allServed))
	r.backendByName("s1").setDown(false)
	r.eventually("witness set complete again", func() bool { return len(r.cell().Witnesses) == 7 })
}

// Guards succession after a crash of the controller, with the log.
func TestControllerCrash(t *testing.T) {
	r := newSteadyCluster(t, 3)
	old := r.controller()
	r.crash(old)
	r.eventually("another controller", func() bool { n := r.controller(); return n != nil && n != old })
	t.Logf("served again %v later", r.eventually("all slots served", r.allServed))
}

// Guards succession by epoch and moves without the log, and that they are recorded when the log returns.
func TestCrashesWhileLogIsDown(t *testing.T) {
	r := newSteadyCluster(t, 3)
	r.log.setFaults(true, false)
	old := r.controller()
	r.crash(old)
	r.eventually("a successor", func() bool {
		n := r.controller()
		return n != nil && n.driver.Status().Pair.Epoch > 0
	})
	r.eventually("all slots served", r.allServed)
	r.backendByName("s2").setDown(true)
	r.eventually("slots moved without the log", func() bool {
		n := r.controller()
		return n != nil && n.driver.Status().UnloggedMoves > 0
	})
	r.eventually("all slots served", r.allServed)
	r.log.setFaults(false, false)
	r.eventually("moves recorded", func() bool {
		n := r.controller()
		return n != nil && n.driver.Status().UnloggedMoves == 0 && n.recordedSlots("s2") == 0
	})
	r.eventually("all slots served", r.allServed)
}

// Guards that a new controller learns moves that are in no log from the servers.
func TestUnloggedMovesOutliveTheirController(t *testing.T) {
	r := newSteadyCluster(t, 3)
	r.log.setFaults(true, false)
	r.backendByName("s0").setDown(true)
	r.eventually("slots moved without the log", func() bool { return r.controller() != nil && r.controller().driver.Status().UnloggedMoves > 0 })
	r.eventually("all slots served", r.allServed)
	before := r.slotHolders()
	old := r.controller()
	old.driver.Leave()
	r.eventually("another controller", func() bool { n := r.controller(); return n != nil && n != old })
	r.eventually("all slots served", r.allServed)
	for slot, server := range r.slotHolders() {
		if before[slot] != server {
			t.Errorf("slot %d moved from %s to %s with its controller", slot, before[slot], server)
		}
	}
}

func (r *cluster) slotHolders() map[uint32]string {
	out := make(map[uint32]string)
	for addr, b := range r.servers {
		b.mu.Lock()
		for _, i := range b.validSlots(time.Now()) {
			out[i] = r.serverNames[addr]
		}
		b.mu.Unlock()
	}
	return out
}

// Guards appends that take effect without an answer.
func TestLostAppendAnswers(t *testing.T) {
	r := newSteadyCluster(t, 3)
	r.log.setFaults(false, true)
	r.backendByName("s3").setDown(true)
	r.eventually("slots moved", func() bool { return r.liveNodes()[0].recordedSlots("s3") == 0 })
	r.eventually("all slots served", r.allServed)
	r.log.setFaults(false, false)
	r.eventually("nothing left unlogged", func() bool { n := r.controller(); return n != nil && n.driver.Status().UnloggedMoves == 0 })
	r.eventually("all slots served", r.allServed)
}

// Guards a controller that is cut off and comes back: it must have stopped granting, and must not disturb the new one.
func TestControllerCutOffAndBack(t *testing.T) {
	r := newSteadyCluster(t, 3)
	old := r.controller()
	old.setCutOff(true)
	r.eventually("another controller", func() bool { n := r.controller(); return n != nil && n != old })
	r.eventually("all slots served", r.allServed)
	old.setCutOff(false)
	r.eventually("old one idle", func() bool { return old.driver.Status().State == ctrl.Idle })
	r.eventually("witness set complete", func() bool { return len(r.cell().Witnesses) == 7 })
	r.eventually("all slots served", r.allServed)
}

// Guards a lost dispatcher: its lanes go to another instance.
func TestDispatcherCrash(t *testing.T) {
	r := newSteadyCluster(t, 3)
	for _, n := range r.liveNodes() {
		if n != r.controller() {
			r.crash(n)
			break
		}
	}
	r.eventually("witness set without it", func() bool { return len(r.cell().Witnesses) == 6 })
	r.eventually("all slots served", r.allServed)
}

// Guards a planned stop of the controller: it hands over while its grants are valid, so that no slot waits for a lapse.
func TestControllerLeaves(t *testing.T) {
	r := newSteadyCluster(t, 3)
	old := r.controller()
	old.driver.Leave()
	var gap, longest time.Duration
	last := time.Now()
	r.eventually("another controller that serves", func() bool {
		now := time.Now()
		gap += now.Sub(last)
		last = now
		if r.allServed() {
			gap = 0
		}
		longest = max(longest, gap)
		n := r.controller()
		return n != nil && n != old && n.driver.Status().State == ctrl.Serving && old.driver.Status().State == ctrl.Idle && gap == 0
	})
	t.Logf("longest time with a slot unserved: %v", longest)
	if longest > lease.Validity {
		t.Errorf("slots waited for a lapse: %v", longest)
	}
}

// Guards servers that don't check tokens: their slots move by the word of dispatchers, and never while an instance may
// still send requests to the old owner.
func TestServersThatDoNotCheck(t *testing.T) {
	r := newCluster(t, 3, 4, false)
	r.eventually("all slots dispatched", r.allServed)
	for _, n := range r.liveNodes() {
		n.mu.Lock()
		n.failingServers = map[string]bool{"s1": true}
		n.mu.Unlock()
	}
	r.eventually("slots recorded for other servers", func() bool { return r.liveNodes()[0].recordedSlots("s1") == 0 })
	r.eventually("all slots dispatched", r.allServed)
	old := r.controller()
	r.crash(old)
	r.eventually("all slots dispatched again", func() bool { n := r.controller(); return n != nil && n != old && r.allServed() })
}

// Guards planned moves: the dispatcher lets go of the slot, the old owner is revoked, then the new one gets it, and all
// other slots are served meanwhile.
func TestPlannedMove(t *testing.T) {
	r := newSteadyCluster(t, 3)
	r.mu.Lock()
	r.planMoves = func(slots []homes.Slot) []homes.Move {
		if slots[7].Owner == "s3" {
			return nil
		}
		return []homes.Move{{Slot: 7, To: "s3"}}
	}
	r.mu.Unlock()
	least := slotCount
	took := r.eventually("slot 7 served by s3", func() bool {
		served := r.checkExclusive()
		least = min(least, served)
		return served == slotCount && r.slotHolders()[7] == "s3"
	})
	if least < slotCount-1 {
		t.Errorf("a planned move of one slot left %d slots unserved", slotCount-least)
	}
	t.Logf("done after %v", took)
}
