package assign_test

import (
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/shift"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// Guards against keys that stay on a server that does not answer, and against a leader with a broken link that reassigns
// the keys of all servers.
func TestReachability(t *testing.T) {
	pool := []spans.Owner{owner("a"), owner("b"), owner("c"), owner("d"), owner("e")}
	all := func() []spans.Owner { return pool }
	var r assign.Reachability
	fail := func(o spans.Owner) {
		r.Observe(assign.Order{Kind: assign.Grant, Span: spans.Span{Owner: o}}, assign.NoAnswer, epoch)
	}
	late := epoch.Add(2 * time.Second)
	fail(pool[0])
	fail(pool[1])
	if !r.IsLost(late, pool[0], all) || r.IsLost(epoch.Add(time.Second), pool[0], all) || r.IsLost(late, pool[2], all) {
		t.Error("want two of five servers lost after 2 s without an answer, no others and none sooner")
	}
	fail(pool[2])
	if r.IsLost(late, pool[0], all) {
		t.Error("a server counts as lost while three of five do not answer")
	}
	r.Observe(assign.Order{Kind: assign.Grant, Span: spans.Span{Owner: pool[0]}}, assign.Accepted, late)
	if r.IsLost(late, pool[0], all) {
		t.Error("a server that answered counts as lost")
	}
}

// Guards against a server that counts as ended after one refused connection though it is just starting, and against a
// server that never gets keys again.
func TestEnded(t *testing.T) {
	var r assign.Reachability
	o := owner("a")
	note := func(res assign.Result, after time.Duration) {
		r.Observe(assign.Order{Kind: assign.Grant, Span: spans.Span{Owner: o}}, res, epoch.Add(after))
	}
	note(assign.NotListening, 0)
	note(assign.NotSent, 50*time.Millisecond)
	note(assign.NotListening, 100*time.Millisecond)
	if r.HasEnded(epoch.Add(time.Second), o) {
		t.Error("a server counts as ended after 0.1 s")
	}
	note(assign.NotListening, 250*time.Millisecond)
	if !r.HasEnded(epoch.Add(time.Second), o) {
		t.Error("a server whose address was not listening twice, 0.25 s apart, does not count as ended")
	}
	if r.HasEnded(epoch.Add(10*time.Second), o) {
		t.Error("a server still counts as ended ten seconds after the last order")
	}
	note(assign.Accepted, 300*time.Millisecond)
	if r.HasEnded(epoch.Add(time.Second), o) {
		t.Error("a server that accepted an order counts as ended")
	}
}

// Guards against keys that stay unserved until the last grant of a server expires though another process has its address, and against a
// new owner beside one whose orders have only got no answer.
func TestOtherProcessAtAddress(t *testing.T) {
	for _, kind := range []assign.Kind{assign.Grant, assign.Release} {
		for res, atOnce := range map[assign.Result]bool{assign.Ended: true, assign.NoAnswer: false} {
			c := &steadyPool{now: epoch}
			c.Assigner = assign.New(nil, &c.fence, c.now, c.now)
			a, b := shift.Server{Owner: owner("a"), Capacity: 10, AcceptsKeys: true}, shift.Server{Owner: owner("b"), Capacity: 10, AcceptsKeys: true}
			c.Plan(c.now, []shift.Server{a}, new(shift.Loads), true)
			c.run(time.Second, accept)
			var r assign.Reachability
			at, moved := c.now, time.Duration(0)
			for c.now.Before(at.Add(8*time.Second)) && moved == 0 {
				c.Observe(c.now, func(o spans.Owner) (bool, bool) {
					gone := r.HasEnded(c.now, o)
					return o != a.Owner || kind == assign.Grant && !gone, gone
				})
				c.Plan(c.now, []shift.Server{{Owner: a.Owner, Capacity: 10, AcceptsKeys: kind == assign.Grant && !r.HasEnded(c.now, a.Owner)}, b}, new(shift.Loads), true)
				c.run(50*time.Millisecond, func(o assign.Order) assign.Result {
					if o.Server == "b" {
						if o.First == 0 {
							moved = c.now.Sub(at)
						}
						return assign.Accepted
					}
					r.Observe(o, res, c.now)
					return res
				})
			}
			if soon := moved > 0 && moved < 1500*time.Millisecond; soon != atOnce {
				t.Errorf("%v: keys went to the next server %v after its first order ended as %v", kind, moved, res)
			}
		}
	}
}

// Guards against keys that stay unserved until the last grant of a crashed server expires, 3.3 s, though nothing listens at
// its address, so the process that held them has ended.
func TestCrashedServer(t *testing.T) {
	c := &steadyPool{now: epoch}
	c.Assigner = assign.New(nil, &c.fence, c.now, c.now)
	a, b := shift.Server{Owner: owner("a"), Capacity: 10, AcceptsKeys: true}, shift.Server{Owner: owner("b"), Capacity: 10, AcceptsKeys: true}
	c.Plan(c.now, []shift.Server{a}, new(shift.Loads), true)
	c.run(time.Second, accept)
	var r assign.Reachability
	result := func(o assign.Order) assign.Result {
		res := assign.Accepted
		if o.Server == "a" {
			res = assign.NotListening
		}
		r.Observe(o, res, c.now)
		return res
	}
	crash := c.now
	c.orders = nil
	served := func() bool {
		for _, o := range c.orders {
			if o.Server == "b" {
				return true
			}
		}
		return false
	}
	for !served() && c.now.Sub(crash) < 10*time.Second {
		c.run(100*time.Millisecond, result)
		c.Observe(c.now, func(o spans.Owner) (bool, bool) { ended := r.HasEnded(c.now, o); return !ended, ended })
		if r.HasEnded(c.now, owner("a")) {
			c.Plan(c.now, []shift.Server{b}, new(shift.Loads), true)
		}
	}
	if wait := c.now.Sub(crash); wait > 1500*time.Millisecond {
		t.Errorf("keys went to another server after %v", wait)
	}
}
