package config_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

func up(t *testing.T) *system.System {
	t.Helper()
	return fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 3, StockServers: 1, CutServers: 1}))
}

func version(t *testing.T, r *system.System, instance string) uint64 {
	t.Helper()
	s, err := r.Status(instance)
	if err != nil {
		t.Fatal(err)
	}
	return s.Config
}

// Guards against an invalid table that comes into force, and a publish command that says otherwise than the log.
func TestInvalidTable(t *testing.T) {
	t.Parallel()
	r := up(t)
	before := version(t, r, "i1")
	code, out := r.TryPublish(strings.Replace(fleet.Routes, `"pool": "stock"`, `"pool": "stok"`, 1), r.PoolTable())
	if code == 0 || !strings.Contains(out, "stok") {
		t.Errorf("exit code %d, %s", code, out)
	}
	if got := version(t, r, "i1"); got != before {
		t.Errorf("version %d, was %d", got, before)
	}
}

// Guards against a publication that doubles or is reported wrong when the answer of its append is lost.
func TestPublishAnswerLost(t *testing.T) {
	t.Parallel()
	r := up(t)
	before := version(t, r, "i2")
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Lost, Kind: "append", MaxRequests: 1}})
	r.Publish(strings.Replace(fleet.Routes, `"timeout": "2s"`, `"timeout": "1s"`, 1))
	for _, in := range r.Plan.Instances {
		r.Await("the new version on "+in.Name, fleet.AwaitTimeout, func() bool { return version(t, r, in.Name) > before })
	}
}

// Guards against an instance that starts with an old configuration, or with none, during an outage of the log.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	r := up(t)
	r.Publish(strings.Replace(fleet.Routes, `"timeout": "2s"`, `"timeout": "1s"`, 1))
	want := version(t, r, "i1")
	r.Kill("i3")
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Down}})
	r.Start("i3")
	r.Await("the state of a peer", fleet.AwaitTimeout, func() bool { return version(t, r, "i3") >= want })
	fleet.AwaitSlotsServed(r, "i3")
	r.Judge()
}

// unconfirmed is the exit code of publish for an accepted version that an instance has not confirmed.
const unconfirmed = 4

// inForce is how soon an accepted configuration is in force everywhere (invariant 8).
const inForce = 7 * time.Second

// Guards against more than one winner among racing publishers, and against instances that come to differ, take longer
// than promised, or go back when one of them was cut off from the log and the records that it missed are gone.
func TestRacingPublishers(t *testing.T) {
	t.Parallel()
	r := up(t)
	base := version(t, r, "i1")
	r.PairProxy("i3", system.LogProcess).Cut()
	codes, wg := make([]int, 4), conc.WaitGroup{}
	for n := range codes {
		wg.Go(func() {
			routes := strings.Replace(fleet.Routes, `"worth": 10`, fmt.Sprintf(`"worth": %d`, 20+n), 1)
			codes[n], _ = r.TryPublish(routes, r.PoolTable(), "--base", fmt.Sprint(base))
		})
	}
	wg.Wait()
	won := 0
	for _, code := range codes {
		if code == 0 || code == unconfirmed {
			won++
		}
	}
	if won != 1 {
		t.Errorf("%d publishers won: exit codes %v", won, codes)
	}
	// The instance that is cut off learns of it from others.
	want := version(t, r, "i1")
	r.Await("the version of the winner on i3", inForce, func() bool { return version(t, r, "i3") == want })
	r.CommandLog(logsrv.Command{Trim: &logsrv.Trim{Stream: "config", Below: r.LogCounts().Streams["config"][1]}})
	r.PairProxy("i3", system.LogProcess).Heal()
	for _, in := range r.Plan.Instances {
		r.Await("the version of the winner on "+in.Name, inForce, func() bool { return version(t, r, in.Name) == want })
	}
	if want <= base {
		t.Errorf("version %d after %d", want, base)
	}
}
