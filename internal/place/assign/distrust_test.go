package assign_test

import (
	"testing"
	"time"

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
