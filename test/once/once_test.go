package once_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

func up(t *testing.T) *system.System {
	t.Helper()
	return fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 3, StockServers: 1, CutServers: 2}))
}

func (a *attempt) send(r *system.System, instance, id string) {
	a.Answer = r.Call(instance, fleet.Order(id))
	close(a.done)
}

type attempt struct {
	system.Answer
	done chan struct{}
}

// Guards against a resend through another instance that runs the order again or gets another answer.
func TestResend(t *testing.T) {
	t.Parallel()
	r := up(t)
	first := r.Call("i1", fleet.Order("A"))
	second := r.Call("i2", fleet.Order("A"))
	if !fleet.HasVerdictRan(first) || !fleet.HasVerdictRan(second) || !bytes.Equal(first.Body, second.Body) {
		t.Errorf("first %+v, second %+v", first, second)
	}
	if c := r.Judge(); c.Ran < 2 {
		t.Errorf("%+v", c)
	}
}

// Guards against a second run when the instance that claimed the order is killed while a server works on it.
func TestInstanceKilled(t *testing.T) {
	t.Parallel()
	r := up(t)
	for _, c := range []string{"c1", "c2"} {
		r.CommandServer(c, bkend.Command{ServiceTime: "1s"})
	}
	a := &attempt{done: make(chan struct{})}
	go a.send(r, "i1", "A")
	r.Await("the order runs", fleet.AwaitTimeout, func() bool {
		return r.ServerStatus("c1").Running+r.ServerStatus("c2").Running == 1
	})
	r.Kill("i1")
	<-a.done
	if b := r.Call("i2", fleet.Order("A")); b.Err != nil || b.Verdict == "not-run" {
		t.Errorf("resend: %+v", b)
	}
	r.Judge()
}

// Guards against orders that double, or are lost after "ran", when answers of the log are lost.
func TestLogAnswersLost(t *testing.T) {
	t.Parallel()
	r := up(t)
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Lost, Kind: "append", MaxRequests: 20}})
	l := fleet.StartLoad(r, 4, []string{"i1", "i2", "i3"}, func(n int) system.Call { return fleet.Order(fmt.Sprint("o", n/3)) })
	r.Await("orders run", fleet.AwaitTimeout, func() bool { return l.Count(fleet.HasVerdictRan) > 60 })
	l.Stop()
	r.Judge()
}

// Guards against at-most-once work that runs unclaimed while the log is down, or is refused after it returned.
func TestLogDown(t *testing.T) {
	t.Parallel()
	r := up(t)
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Down}})
	if a := r.Call("i1", fleet.Order("A")); a.Status != 503 || a.Verdict != "may-have-run" || a.RetryAfter == "" {
		t.Errorf("while down: %+v", a)
	}
	if a := r.Call("i1", fleet.Lookup(1)); !fleet.HasVerdictRan(a) {
		t.Errorf("lookup while down: %+v", a)
	}
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Up}})
	r.Await("the order runs", fleet.AwaitTimeout, func() bool { return fleet.HasVerdictRan(r.Call("i2", fleet.Order("A"))) })
	r.Judge()
}
