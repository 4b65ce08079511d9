package drain_test

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// handover is the time after which a leaving server must receive no new work.
const handover = 5 * time.Second

// Guards against new work for a leaving server, and against requests that fail because one leaves.
func TestServerLeaves(t *testing.T) {
	t.Parallel()
	r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 2, StockServers: 3, CutServers: 2, ServerArgs: []string{"--grace", "60s"}}))
	l := fleet.StartLoad(r, 4, []string{"i1", "i2"}, func(n int) system.Call { return fleet.Lookup(n % 100) })
	r.CommandServer("s1", bkend.Command{Drain: true})
	end := time.Now().Add(handover)
	r.Await("the time for the handover is over", fleet.AwaitTimeout, func() bool { return time.Now().After(end) })
	received := func() int64 {
		s := r.ServerStatus("s1")
		return s.Committed + s.Refused + s.Running
	}
	before, ran := received(), l.Count(fleet.HasVerdictRan)
	r.Await("work goes on", fleet.AwaitTimeout, func() bool { return l.Count(fleet.HasVerdictRan) > ran+200 })
	if got := received(); got > before {
		t.Errorf("a leaving server received %d requests", got-before)
	}
	for _, a := range l.Stop() {
		if a.Err != nil || a.Verdict == "may-have-run" {
			t.Errorf("a leaving server cut off %+v", a)
		}
	}
	r.Judge()
}

// Guards against requests that fail because a server is stopped.
func TestServerStops(t *testing.T) {
	t.Parallel()
	r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 2, StockServers: 3, CutServers: 2}))
	l := fleet.StartLoad(r, 4, []string{"i1", "i2"}, func(n int) system.Call { return fleet.Lookup(n % 100) })
	if code := r.Stop("s1", fleet.AwaitTimeout); code != 0 {
		t.Errorf("server: exit code %d", code)
	}
	fleet.AwaitSlotsServed(r, "i1")
	for _, a := range l.Stop() {
		if a.Err != nil || a.Verdict == "may-have-run" {
			t.Errorf("a planned stop of a server cut off %+v", a)
		}
	}
	r.Judge()
}

// Guards against a planned stop of an instance that cuts off a request that it accepted.
func TestInstanceStops(t *testing.T) {
	t.Parallel()
	p := fleet.Plan(1, fleet.DCSize{Instances: 3, StockServers: 2, CutServers: 2})
	p.Settings = map[string]any{"linger": "500ms"}
	r := fleet.StartSystem(t, p)
	l := fleet.StartLoad(r, 6, []string{"i1", "i2", "i3"}, func(n int) system.Call { return fleet.Lookup(n % 100) })
	if code := r.Stop("i1", fleet.AwaitTimeout); code != 0 {
		t.Errorf("instance: exit code %d", code)
	}
	fleet.AwaitSlotsServed(r, "i2")
	for _, a := range l.Stop() {
		// After the linger time the balancer no longer sends, and the port refuses.
		if a.Err != nil && !errors.Is(a.Err, syscall.ECONNREFUSED) || a.Verdict == "may-have-run" {
			t.Errorf("a planned stop of an instance cut off %+v", a)
		}
	}
	r.Judge()
}
