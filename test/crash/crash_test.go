package crash_test

import (
	"os"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// Guards against a request that its caller sends again and again, and that ends more than two servers.
func TestPoison(t *testing.T) {
	t.Parallel()
	servers := []string{"c1", "c2", "c3", "c4"}
	r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{
		Instances: 3, StockServers: 1, CutServers: len(servers), ServerArgs: []string{"--crash-body", "poison"},
	}))
	for n := range 12 {
		r.Call([]string{"i1", "i2", "i3"}[n%3], fleet.Note("poison"))
	}
	lost := 0
	for _, c := range servers {
		if !r.Running(c) {
			lost++
		}
	}
	if lost == 0 || lost > 2 {
		t.Errorf("%d servers lost, want 1 or 2", lost)
	}
	r.Await("other work runs", fleet.AwaitTimeout, func() bool { return fleet.HasVerdictRan(r.Call("i1", fleet.Note("harmless"))) })
	r.Judge()
}

// Guards against strikes that are forgotten, so that more servers are lost, when the controller that spreads them is
// killed and the log is down.
func TestPoisonControllerLost(t *testing.T) {
	t.Parallel()
	servers := []string{"c1", "c2", "c3", "c4"}
	r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{
		Instances: 4, StockServers: 2, CutServers: len(servers), ServerArgs: []string{"--crash-body", "poison"},
	}))
	fleet.AwaitWitnesses(r)
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Down}})
	old := r.Controller("dk-east-1")
	var rest []string
	for _, in := range r.Plan.Instances {
		if in.Name != old {
			rest = append(rest, in.Name)
		}
	}
	for n := range 12 {
		r.Call(rest[n%len(rest)], fleet.Note("poison"))
		if n == 1 {
			r.Kill(old)
		}
	}
	lost := 0
	for _, c := range servers {
		if !r.Running(c) {
			lost++
		}
	}
	if lost == 0 || lost > 2 {
		t.Errorf("%d servers lost, want 1 or 2", lost)
	}
	r.Await("other work runs", fleet.AwaitTimeout, func() bool { return fleet.HasVerdictRan(r.Call(rest[0], fleet.Note("harmless"))) })
	r.Judge()
}
