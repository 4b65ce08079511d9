package drive_test

import (
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
)

// Guards the whole path with a single instance: claim, fence, Ready record, adoption, grants and lanes.
func TestOneInstanceServesAllSlots(t *testing.T) {
	c := newCluster(t, 1, 4, true)
	c.eventually("all slots served", c.allServed)
}

// backendByName returns the server with this name, or nil.
func (c *cluster) backendByName(name string) *backend {
	for addr, n := range c.serverNames {
		if n == name {
			return c.servers[addr]
		}
	}
	return nil
}

func (b *backend) setDown(down bool) {
	b.mu.Lock()
	b.down = down
	b.mu.Unlock()
}

// recordedSlots returns how many slots server owns in the fold of n.
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

func (c *cluster) cell() fold.Cell {
	n := c.liveNodes()[0]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placement.Cell("east")
}

// newSteadyCluster waits until all slots are served and all processes are witnesses.
func newSteadyCluster(t *testing.T, instances int) *cluster {
	c := newCluster(t, instances, 4, true)
	c.eventually("all slots served", c.allServed)
	c.eventually("witness set complete", func() bool {
		return c.controller() != nil && len(c.cell().Witnesses) == instances+4 && c.cell().Ready
	})
	c.eventually("all slots served", c.allServed)
	return c
}

// Guards failover of a server that stops answering. When it answers again, it becomes a witness again.
func TestSlotsOfLostServerMove(t *testing.T) {
	c := newSteadyCluster(t, 3)
	c.backendByName("s1").setDown(true)
	c.eventually("slots recorded for other servers", func() bool { return c.liveNodes()[0].recordedSlots("s1") == 0 })
	t.Logf("all slots served again after %v", c.eventually("all slots served", c.allServed))
	c.backendByName("s1").setDown(false)
	c.eventually("witness set complete again", func() bool { return len(c.cell().Witnesses) == 7 })
}

// Guards succession after a crash of the controller while the log is up.
func TestControllerCrash(t *testing.T) {
	c := newSteadyCluster(t, 3)
	old := c.controller()
	c.crash(old)
	c.eventually("another controller", func() bool { n := c.controller(); return n != nil && n != old })
	t.Logf("all slots served again after %v", c.eventually("all slots served", c.allServed))
}

// Guards succession by epoch and moves while the log is down. The moves are recorded when it is back.
func TestCrashesWhileLogIsDown(t *testing.T) {
	c := newSteadyCluster(t, 3)
	c.log.setFaults(true, false)
	old := c.controller()
	c.crash(old)
	c.eventually("a successor", func() bool {
		n := c.controller()
		return n != nil && n.driver.Status().Pair.Epoch > 0
	})
	c.eventually("all slots served", c.allServed)
	c.backendByName("s2").setDown(true)
	c.eventually("slots moved without the log", func() bool {
		n := c.controller()
		return n != nil && n.driver.Status().UnloggedMoves > 0
	})
	c.eventually("all slots served", c.allServed)
	c.log.setFaults(false, false)
	c.eventually("moves recorded", func() bool {
		n := c.controller()
		return n != nil && n.driver.Status().UnloggedMoves == 0 && n.recordedSlots("s2") == 0
	})
	c.eventually("all slots served", c.allServed)
}

// Guards a new controller's learning, from the servers, of moves that the log lacks.
func TestUnloggedMovesOutliveTheirController(t *testing.T) {
	c := newSteadyCluster(t, 3)
	c.log.setFaults(true, false)
	c.backendByName("s0").setDown(true)
	c.eventually("slots moved without the log", func() bool { return c.controller() != nil && c.controller().driver.Status().UnloggedMoves > 0 })
	c.eventually("all slots served", c.allServed)
	before := c.slotHolders()
	old := c.controller()
	old.driver.Leave()
	c.eventually("another controller", func() bool { n := c.controller(); return n != nil && n != old })
	c.eventually("all slots served", c.allServed)
	for slot, server := range c.slotHolders() {
		if before[slot] != server {
			t.Errorf("slot %d moved from %s to %s when its controller left", slot, before[slot], server)
		}
	}
}

func (c *cluster) slotHolders() map[uint32]string {
	out := make(map[uint32]string)
	for addr, b := range c.servers {
		b.mu.Lock()
		for _, i := range b.validSlots(time.Now()) {
			out[i] = c.serverNames[addr]
		}
		b.mu.Unlock()
	}
	return out
}

// Guards against moves that stay unlogged when appends take effect without an answer.
func TestLostAppendAnswers(t *testing.T) {
	c := newSteadyCluster(t, 3)
	c.log.setFaults(false, true)
	c.backendByName("s3").setDown(true)
	c.eventually("slots moved", func() bool { return c.liveNodes()[0].recordedSlots("s3") == 0 })
	c.eventually("all slots served", c.allServed)
	c.log.setFaults(false, false)
	c.eventually("all moves logged", func() bool { n := c.controller(); return n != nil && n.driver.Status().UnloggedMoves == 0 })
	c.eventually("all slots served", c.allServed)
}

// Guards against a controller that keeps granting while cut off, or disturbs its successor when it is back.
func TestControllerCutOffAndBack(t *testing.T) {
	c := newSteadyCluster(t, 3)
	old := c.controller()
	old.setCutOff(true)
	c.eventually("another controller", func() bool { n := c.controller(); return n != nil && n != old })
	c.eventually("all slots served", c.allServed)
	old.setCutOff(false)
	c.eventually("old controller idle", func() bool { return old.driver.Status().State == ctrl.Idle })
	c.eventually("witness set complete", func() bool { return len(c.cell().Witnesses) == 7 })
	c.eventually("all slots served", c.allServed)
}

// Guards against lanes that stay with a crashed dispatcher.
func TestDispatcherCrash(t *testing.T) {
	c := newSteadyCluster(t, 3)
	for _, n := range c.liveNodes() {
		if n != c.controller() {
			c.crash(n)
			break
		}
	}
	c.eventually("witness set without the crashed instance", func() bool { return len(c.cell().Witnesses) == 6 })
	c.eventually("all slots served", c.allServed)
}

// Guards a planned stop of the controller: it hands over while its grants are valid, so no slot waits for expiry.
func TestControllerLeaves(t *testing.T) {
	c := newSteadyCluster(t, 3)
	old := c.controller()
	old.driver.Leave()
	var unserved, longest time.Duration
	last := time.Now()
	c.eventually("another controller that serves", func() bool {
		now := time.Now()
		unserved += now.Sub(last)
		last = now
		if c.allServed() {
			unserved = 0
		}
		longest = max(longest, unserved)
		n := c.controller()
		return n != nil && n != old && n.driver.Status().State == ctrl.Serving && old.driver.Status().State == ctrl.Idle && unserved == 0
	})
	t.Logf("longest time with a slot unserved: %v", longest)
	if longest > lease.Validity {
		t.Errorf("a slot was unserved for %v, as if it waited for a grant to expire", longest)
	}
}

// Guards servers that do not check tokens: slots move when dispatchers report failures, and never while an instance may
// still send requests to the old owner.
func TestServersThatDoNotCheck(t *testing.T) {
	c := newCluster(t, 3, 4, false)
	c.eventually("all slots dispatched", c.allServed)
	for _, n := range c.liveNodes() {
		n.mu.Lock()
		n.failingServers = map[string]bool{"s1": true}
		n.mu.Unlock()
	}
	c.eventually("slots recorded for other servers", func() bool { return c.liveNodes()[0].recordedSlots("s1") == 0 })
	c.eventually("all slots dispatched", c.allServed)
	old := c.controller()
	c.crash(old)
	c.eventually("all slots dispatched again", func() bool { n := c.controller(); return n != nil && n != old && c.allServed() })
}

// Guards planned moves: the dispatcher releases the slot, the old owner's grant is revoked, then the new owner gets it.
// All other slots stay served.
func TestPlannedMove(t *testing.T) {
	c := newSteadyCluster(t, 3)
	c.mu.Lock()
	c.planMoves = func(slots []homes.Slot) []homes.Move {
		if slots[7].Owner == "s3" {
			return nil
		}
		return []homes.Move{{Slot: 7, To: "s3"}}
	}
	c.mu.Unlock()
	fewestServed := slotCount
	took := c.eventually("slot 7 served by s3", func() bool {
		served := c.checkExclusive()
		fewestServed = min(fewestServed, served)
		return served == slotCount && c.slotHolders()[7] == "s3"
	})
	if fewestServed < slotCount-1 {
		t.Errorf("a planned move of one slot left %d slots unserved", slotCount-fewestServed)
	}
	t.Logf("slot 7 moved within %v", took)
}
