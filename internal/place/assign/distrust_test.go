package assign_test

import (
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/shift"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// Guards against keys that a recorded owner gets at once though the store may have lost the record of a later move.
func TestDistrustedOwnersWait(t *testing.T) {
	c := &steadyPool{now: epoch, fence: 5}
	c.Assigner = assign.New(spans.Map{{First: 0, Last: spans.Last, Owner: owner("a"), Fence: 5}}, &c.fence, epoch, epoch.Add(9*time.Second))
	c.DistrustOwners(epoch, epoch.Add(9*time.Second))
	c.LimitInherited(epoch.Add(5 * time.Second))
	servers := []shift.Server{{Owner: owner("a"), Capacity: 10, AcceptsKeys: true}, {Owner: owner("b"), Capacity: 10, AcceptsKeys: true}}
	for len(c.orders) == 0 && c.now.Sub(epoch) < 20*time.Second {
		c.Plan(c.now, servers, new(shift.Loads), true)
		c.run(100*time.Millisecond, accept)
	}
	if wait := c.now.Sub(epoch); wait < 5*time.Second || wait > 6*time.Second {
		t.Errorf("keys were granted after %v, want 5 to 6 s", wait)
	}
	for _, o := range c.orders {
		if o.Server != "a" {
			t.Errorf("keys %d to %d went to %s, want their recorded owner", o.First, o.Last, o.Server)
		}
	}
}

// Guards against keys without a recorded owner that are granted at once: the store may have lost the record of their first owner.
func TestDistrustedGapsWait(t *testing.T) {
	c := &steadyPool{now: epoch, fence: 5}
	c.Assigner = assign.New(spans.Map{{First: 0, Last: 999, Owner: owner("a"), Fence: 5}}, &c.fence, epoch, epoch.Add(9*time.Second))
	c.DistrustOwners(epoch, epoch.Add(9*time.Second))
	c.LimitInherited(epoch.Add(5 * time.Second))
	servers := []shift.Server{{Owner: owner("a"), Capacity: 10, AcceptsKeys: true}, {Owner: owner("b"), Capacity: 10, AcceptsKeys: true}}
	for c.now.Sub(epoch) < 8*time.Second {
		c.Plan(c.now, servers, new(shift.Loads), true)
		before := len(c.orders)
		c.run(100*time.Millisecond, accept)
		if len(c.orders) > before && c.now.Sub(epoch) < 5*time.Second {
			t.Fatalf("orders %v after %v, want none before 5 s", c.orders, c.now.Sub(epoch))
		}
	}
	if m, _ := c.Map(); len(m.Gaps()) > 0 {
		t.Errorf("keys without an owner after 8 s: %v", m.Gaps())
	}
}

// Guards against keys that stay unserved until earlier grants have ended although a majority knows that they were not moving, and
// against moving ones that don't wait.
func TestTrustedOwnersServed(t *testing.T) {
	c := &steadyPool{now: epoch, fence: 5}
	c.Assigner = assign.New(spans.Map{{First: 0, Last: spans.Last, Owner: owner("a"), Fence: 5}}, &c.fence, epoch, epoch.Add(9*time.Second))
	c.DistrustOwners(epoch, epoch.Add(9*time.Second))
	c.TrustOwners(epoch, []spans.Span{{First: 100, Last: 199}})
	servers := []shift.Server{{Owner: owner("a"), Capacity: 10, AcceptsKeys: true}}
	for c.now.Sub(epoch) < 2*time.Second {
		c.Plan(c.now, servers, new(shift.Loads), true)
		c.run(100*time.Millisecond, accept)
	}
	granted := make(map[uint16]bool)
	for _, o := range c.orders {
		if granted[o.First] = true; o.First <= 199 && o.Last >= 100 {
			t.Errorf("keys %d to %d were granted, want none of the moving ones", o.First, o.Last)
		}
	}
	if !granted[0] || !granted[200] {
		t.Errorf("granted from %v, want 0 and 200", granted)
	}
}

// Guards against keys that go back to a server that is gone, when the owners of another pool are found to be the latest ones.
func TestTrustKeepsOthers(t *testing.T) {
	c := &steadyPool{now: epoch, fence: 5}
	c.Assigner = assign.New(spans.Map{{First: 0, Last: spans.Last, Owner: owner("a"), Fence: 5}}, &c.fence, epoch, epoch)
	c.Observe(epoch, endedUnless("", alive.EntryNewer))
	c.TrustOwners(epoch, nil)
	c.run(time.Second, accept)
	if len(c.orders) > 0 {
		t.Errorf("orders %v to a server that is gone", c.orders)
	}
}

// Guards against keys that another server gets before a majority of the instances knows that they move: after a restoration of the
// store nobody would know of it.
func TestMoveWaitsForWitnesses(t *testing.T) {
	c := &steadyPool{now: epoch, fence: 5}
	c.Assigner = assign.New(spans.Map{{First: 0, Last: spans.Last, Owner: owner("a"), Fence: 5}}, &c.fence, epoch, epoch)
	c.PushNumber, c.WitnessedPush = 41, 41
	c.run(time.Second, accept)
	servers := []shift.Server{{Owner: owner("a"), Capacity: 10}, {Owner: owner("b"), Capacity: 10, AcceptsKeys: true}}
	move := func(d time.Duration) (toB int) {
		for end := c.now.Add(d); c.now.Before(end); {
			c.Plan(c.now, servers, new(shift.Loads), true)
			c.run(100*time.Millisecond, accept)
		}
		for _, o := range c.orders {
			if o.Server == "b" {
				toB++
			}
		}
		return toB
	}
	if n := move(2 * time.Second); n > 0 {
		t.Errorf("%d grants to the next owner that no witness knows of", n)
	}
	c.WitnessedPush = 42
	if n := move(time.Second); n == 0 {
		t.Error("no grants to the next owner that witnesses know of")
	}
}
