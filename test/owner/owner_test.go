package owner_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/listsv"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/proxy"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

const dc = "dk-east-1"

func lookups(r *system.System, instances ...string) *fleet.Load {
	return fleet.StartLoad(r, 6, instances, func(n int) system.Call { return fleet.Lookup(n % 200) })
}

// settle waits until every key is served through an instance, ends the load, and judges the run.
func settle(t *testing.T, r *system.System, l *fleet.Load, through string) {
	t.Helper()
	fleet.AwaitSlotsServed(r, through)
	before := l.Count(fleet.HasVerdictRan)
	r.Await("the load is served", fleet.AwaitTimeout, func() bool { return l.Count(fleet.HasVerdictRan) > before+100 })
	l.Stop()
	if c := r.Judge(); c.Grants == 0 || c.Ran < 100 {
		t.Errorf("too little to judge: %+v", c)
	}
}

// Guards against two owners of a slot, and unserved keys, after a server is killed or frozen and returns.
func TestServerLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name      string
		lose, ret func(*system.System)
	}{
		{"killed", func(r *system.System) { r.Kill("s1") }, func(r *system.System) { r.Start("s1") }},
		{"frozen", func(r *system.System) { r.Freeze("s1") }, func(r *system.System) { r.Thaw("s1") }},
		{"cut off", func(r *system.System) { r.SharedProxy("s1").Cut() }, func(r *system.System) { r.SharedProxy("s1").Heal() }},
		{"does not hear", func(r *system.System) { r.SharedProxy("s1").Cut(proxy.ToTarget) }, func(r *system.System) { r.SharedProxy("s1").Heal() }},
		{"is not heard", func(r *system.System) { r.SharedProxy("s1").Cut(proxy.FromTarget) }, func(r *system.System) { r.SharedProxy("s1").Heal() }},
		{"address reused at once", func(r *system.System) { r.Kill("s1"); r.Start("s1") }, func(*system.System) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 3, StockServers: 3}))
			l := lookups(r, "i1", "i2", "i3")
			tc.lose(r)
			fleet.AwaitSlotsServed(r, "i1")
			tc.ret(r)
			settle(t, r, l, "i2")
		})
	}
}

// Guards against two controllers that grant at once when a paused or cut-off one returns, with the log up and down.
func TestControllerLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		log  faults.Mode
	}{{"log up", faults.Up}, {"log down", faults.Down}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 4, StockServers: 3}))
			fleet.AwaitWitnesses(r)
			l := lookups(r, "i1", "i2", "i3", "i4")
			r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: tc.log}})
			old := r.Controller(dc)
			r.Freeze(old)
			next := ""
			r.Await("another controller", fleet.AwaitTimeout, func() bool {
				for _, in := range r.Plan.Instances {
					if s, err := r.Status(in.Name); in.Name != old && err == nil && s.Controller {
						next = in.Name
					}
				}
				return next != ""
			})
			r.Kill("s1")
			fleet.AwaitSlotsServed(r, next)
			r.Thaw(old)
			r.Await("the old controller gives up", fleet.AwaitTimeout, func() bool {
				s, err := r.Status(old)
				return err == nil && !s.Controller
			})
			r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Up}})
			settle(t, r, l, old)
		})
	}
}

// Guards against a data centre that goes on with slots another one has taken, or stops serving those it may keep,
// while the two cannot reach each other and one cannot reach the log.
func TestParted(t *testing.T) {
	t.Parallel()
	p := fleet.Plan(2, fleet.DCSize{Instances: 3, StockServers: 2})
	p.PairProxies = true
	r := fleet.StartSystem(t, p)
	east, west := []string{"i1", "i2", "i3"}, []string{"i4", "i5", "i6"}
	l := lookups(r, append(east, west...)...)
	links := r.ProxiesBetween(east, west)
	for _, in := range west {
		links = append(links, r.PairProxy(in, system.LogProcess), r.PairProxy(in, system.ListProcess), r.PairProxy(in, "s1"), r.PairProxy(in, "s2"))
	}
	for _, in := range east {
		links = append(links, r.PairProxy(in, "s3"), r.PairProxy(in, "s4"))
	}
	kept := map[string][]int{"i1": fleet.KeysWithHome(r, "i1", "dk-east-1"), "i4": fleet.KeysWithHome(r, "i1", "dk-east-2")}
	if len(kept["i1"]) == 0 || len(kept["i4"]) == 0 {
		t.Fatalf("keys by data centre: %v", kept)
	}
	for _, link := range links {
		link.Cut()
	}
	for in, keys := range kept {
		fleet.AwaitKeysServed(r, in, keys)
	}
	for _, link := range links {
		link.Heal()
	}
	settle(t, r, l, "i4")
}

// Guards against keys without an owner, and against two owners, after the controller and a server are lost at the same
// moment in an outage of the log.
func TestOutageControllerServerLost(t *testing.T) {
	t.Parallel()
	r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 4, StockServers: 3}))
	fleet.AwaitWitnesses(r)
	l := lookups(r, "i1", "i2", "i3", "i4")
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Down}})
	old := r.Controller(dc)
	r.Freeze(old, "s1")
	through := "i1"
	if old == through {
		through = "i2"
	}
	fleet.AwaitSlotsServed(r, through)
	r.Thaw("s1", old)
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Up}})
	settle(t, r, l, old)
}

// owners returns the owner and the token of a key of each slot, as an instance explains it.
func owners(t *testing.T, r *system.System, instance string) map[uint32]system.Explanation {
	t.Helper()
	out := map[uint32]system.Explanation{}
	for _, key := range fleet.KeyPerSlot() {
		e, err := r.Explain(instance, fleet.Lookup(key).Path, fmt.Sprint("k", key))
		if err != nil || e.Owner == "" {
			t.Fatalf("key %d: %+v, %v", key, e, err)
		}
		out[e.Slot] = e
	}
	return out
}

// Guards against assignments that are lost when retention passes and then all instances are lost at once.
func TestAssignmentsSurvive(t *testing.T) {
	t.Parallel()
	r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 3, StockServers: 3}))
	// With a server leaving, the owners differ from those that a controller without a state would choose.
	r.CommandServer("s1", bkend.Command{Drain: true})
	r.Await("the leaving server owns nothing", fleet.AwaitTimeout, func() bool {
		for _, e := range owners(t, r, "i1") {
			if e.Owner == "s1" {
				return false
			}
		}
		return true
	})
	before := owners(t, r, "i1")
	for stream, bounds := range r.LogCounts().Streams {
		if stream != "ledger" {
			r.CommandLog(logsrv.Command{Trim: &logsrv.Trim{Stream: stream, Below: bounds[1]}})
		}
	}
	written := regexp.MustCompile(`event=snapshot-written .*stream=(config|place) .*error=(""|<nil>|null)`)
	r.Await("snapshots cover what was trimmed", fleet.AwaitTimeout, func() bool {
		streams := map[string]bool{}
		for _, in := range r.Plan.Instances {
			for _, found := range written.FindAllStringSubmatch(r.Output(in.Name), -1) {
				streams[found[1]] = true
			}
		}
		return len(streams) == 2
	})
	r.Kill("i1", "i2", "i3")
	r.Start("i1", "i2", "i3")
	fleet.AwaitSlotsServed(r, "i1")
	moved := 0
	for slot, now := range owners(t, r, "i1") {
		was := before[slot]
		if now.Token < was.Token || now.Owner != was.Owner && now.Token == was.Token {
			t.Errorf("slot %d was %+v and is %+v", slot, was, now)
		}
		if now.Owner != was.Owner {
			moved++
		}
	}
	if moved > fleet.SlotCount/8 {
		t.Errorf("%d of %d slots have another owner, more than the balancer moves in this time", moved, fleet.SlotCount)
	}
	r.Judge()
}

// Guards against a data centre that goes on with slots that another one has seized, and against slots that nobody
// serves because their data centre yields and is cut off.
func TestYield(t *testing.T) {
	t.Parallel()
	p := fleet.Plan(2, fleet.DCSize{Instances: 3, StockServers: 2})
	p.PairProxies = true
	p.Pools[0].Cutoff = map[string]string{"yield": "3s"}
	r := fleet.StartSystem(t, p)
	l := lookups(r, "i1", "i2", "i3", "i4", "i5", "i6")
	links := r.ProxiesBetween([]string{"i1", "i2", "i3"}, []string{"i4", "i5", "i6"})
	for _, in := range []string{"i4", "i5", "i6"} {
		links = append(links, r.PairProxy(in, system.LogProcess), r.PairProxy(in, system.ListProcess))
	}
	for _, link := range links {
		link.Cut()
	}
	fleet.AwaitSlotsServed(r, "i1")
	for _, link := range links {
		link.Heal()
	}
	settle(t, r, l, "i4")
}

// Guards against slots of a destroyed data centre that stay unserved after its operators have declared it lost.
func TestLost(t *testing.T) {
	t.Parallel()
	r := fleet.StartSystem(t, fleet.Plan(2, fleet.DCSize{Instances: 3, StockServers: 2}))
	r.Kill("i4", "i5", "i6", "s3", "s4")
	r.CommandList(listsv.Command{Remove: []string{"i4", "i5", "i6", "s3", "s4"}})
	if code, out := r.TryPublish(fleet.Routes, r.PoolTable("dk-east-2")); code != 0 {
		t.Fatalf("publish: exit code %d\n%s", code, out)
	}
	fleet.AwaitSlotsServed(r, "i1")
	r.Judge()
}
