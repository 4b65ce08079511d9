package chaos_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/listsv"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/proxy"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

const (
	steps = 12
	most  = 3 // faults at once
	// patience bounds the recovery. A data centre that lost most of its witnesses waits a minute for the list.
	patience = 150 * time.Second
)

// Guards against any broken rule of the judge, a configuration that goes back, and keys that are never served again,
// under faults in random order and combination. CHAOS_SEED runs another seed and CHAOS_STEPS more steps; with CHAOS_LOG set, a
// third of the faults are losses of the log, which comes back from an older copy.
func TestChaos(t *testing.T) {
	t.Parallel()
	seeds := []uint64{1, 2, 3}
	if s, err := strconv.ParseUint(os.Getenv("CHAOS_SEED"), 10, 64); err == nil {
		seeds = []uint64{s}
	}
	n := steps
	if s, err := strconv.Atoi(os.Getenv("CHAOS_STEPS")); err == nil {
		n = s
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed, n)
		})
	}
}

func run(t *testing.T, seed uint64, n int) {
	p := fleet.Plan(2, fleet.DCSize{Instances: 3, StockServers: 2, CutServers: 2, ServerArgs: []string{"--crash-body", "poison"}})
	p.PairProxies = true
	w := &world{T: t, System: fleet.StartSystem(t, p), Rand: rand.New(rand.NewPCG(seed, 0)), versions: map[string]uint64{}, logFaults: os.Getenv("CHAOS_LOG") != ""}
	fleet.AwaitWitnesses(w.System)
	var all []string
	for _, in := range p.Instances {
		all = append(all, in.Name)
	}
	l := fleet.StartLoad(w.System, 10, all, call)
	for range n {
		w.step()
	}
	for len(w.active) > 0 {
		w.end(0)
	}
	w.revive() // a request that a cut held back may have ended one
	for _, in := range []string{"i1", "i4"} {
		w.Await(in+" runs a new order", patience, func() bool { return fleet.HasVerdictRan(w.Call(in, fleet.Order("last "+in))) })
		end := time.Now().Add(patience - fleet.AwaitTimeout)
		w.Await("the rest of a slow recovery is over", patience, func() bool {
			return fleet.HasVerdictRan(w.Call(in, fleet.Lookup(1))) || time.Now().After(end)
		})
		fleet.AwaitSlotsServed(w.System, in)
	}
	l.Stop()
	// After a trim nobody can publish until a controller has written a snapshot.
	w.Await("a publication is in force", patience, func() bool {
		code, _ := w.TryPublish(strings.Replace(fleet.Routes, `"worth": 10`, `"worth": 11`, 1), w.PoolTable())
		return code == 0
	})
	w.observe()
	if c := w.Judge(); c.Slots != fleet.SlotCount || c.Ran < 100 {
		t.Errorf("too little to judge: %+v", c)
	}
}

// call returns call number n of the load: lookups, orders that are sent three times, and notes.
func call(n int) system.Call {
	switch n % 4 {
	case 0:
		return fleet.Order(fmt.Sprint("o", n/12))
	case 1:
		return fleet.Note(fmt.Sprint("note ", n))
	default:
		return fleet.Lookup(n % 200)
	}
}

// fault is one that is in effect.
type fault struct {
	name string
	hits []string // processes that it stops
	heal func()
}

// world is the system and what is wrong with it.
type world struct {
	*testing.T
	*system.System
	*rand.Rand
	active   []fault
	versions map[string]uint64 // configuration in force by process

	logFaults bool
}

// Fatalf is a method of two embedded types.
func (w *world) Fatalf(format string, args ...any) { w.T.Helper(); w.T.Fatalf(format, args...) }

// step ends a fault now and then, makes another one, and lets it last for up to longer than any lease.
func (w *world) step() {
	for len(w.active) >= most || len(w.active) > 0 && w.IntN(3) == 0 {
		w.end(w.IntN(len(w.active)))
	}
	f := w.fault()
	if f.name != "" {
		w.Logf("fault: %s", f.name)
		w.active = append(w.active, f)
	}
	until := time.Now().Add(time.Duration(w.IntN(3500)) * time.Millisecond)
	w.Await("the fault has lasted", patience, func() bool { return time.Now().After(until) })
	w.observe()
}

func (w *world) end(i int) {
	f := w.active[i]
	w.Logf("end of: %s", f.name)
	w.active = slices.Delete(w.active, i, i+1)
	if f.heal != nil {
		f.heal()
	}
	w.revive()
}

// stopped tells whether a fault stops the process.
func (w *world) stopped(name string) bool {
	return slices.ContainsFunc(w.active, func(f fault) bool { return slices.Contains(f.hits, name) })
}

// observe fails the test if an instance has gone back to an older configuration.
func (w *world) observe() {
	for _, in := range w.Plan.Instances {
		if w.stopped(in.Name) {
			continue
		}
		s, err := w.Status(in.Name)
		if err != nil {
			w.Errorf("status of %s: %v", in.Name, err)
			continue
		}
		if s.Config < w.versions[s.Instance] {
			w.Errorf("%s has version %d after %d", s.Instance, s.Config, w.versions[s.Instance])
		}
		w.versions[s.Instance] = s.Config
	}
}

// pick returns an instance or server that nothing stops yet. No more than one instance of a data centre is stopped at
// once: without most of its witnesses a data centre waits a minute for the list.
func (w *world) pick(names ...string) (string, bool) {
	name := names[w.IntN(len(names))]
	if w.stopped(name) || !w.Running(name) {
		return "", false
	}
	for _, group := range [][]string{{"i1", "i2", "i3"}, {"i4", "i5", "i6"}, {"s1", "s2"}, {"s3", "s4"}} {
		if slices.Contains(group, name) && slices.ContainsFunc(group, w.stopped) {
			return "", false
		}
	}
	return name, true
}

// controller returns the controller of a data centre, if it can be stopped.
func (w *world) controller() (string, bool) {
	group := [][]string{{"i1", "i2", "i3"}, {"i4", "i5", "i6"}}[w.IntN(2)]
	if slices.ContainsFunc(group, w.stopped) {
		return "", false
	}
	for _, in := range group {
		if s, err := w.Status(in); err == nil && s.Controller {
			return in, true
		}
	}
	return "", false
}

var instances = []string{"i1", "i2", "i3", "i4", "i5", "i6"}

// fault makes a random fault. Its name is empty if the one drawn is not possible now.
func (w *world) fault() fault {
	if w.logFaults && w.IntN(3) == 0 {
		return w.log()
	}
	switch w.IntN(16) {
	case 0, 1:
		name, ok := w.pick(append([]string{"s1", "s2", "s3", "s4", "c1", "c3"}, instances...)...)
		return w.stop(ok, []func(...string){w.Kill, w.Freeze}[w.IntN(2)], name)
	case 2, 3:
		name, ok := w.controller()
		return w.stop(ok, []func(...string){w.Kill, w.Freeze}[w.IntN(2)], name)
	case 4:
		name, ok := w.controller()
		server, free := w.pick("s1", "s2", "s3", "s4")
		return w.stop(ok && free, []func(...string){w.Kill, w.Freeze}[w.IntN(2)], name, server)
	case 5:
		return w.cut(instances[w.IntN(6)], system.LogProcess)
	case 6:
		return w.cut(instances[w.IntN(6)], []string{"s1", "s2", "s3", "s4", "c1", "c3"}[w.IntN(6)])
	case 7:
		a := w.IntN(6)
		return w.cut(instances[a], instances[(a+1+w.IntN(5))%6])
	case 8:
		return w.part()
	case 9, 10:
		return w.log()
	case 11:
		return w.list()
	case 12:
		return w.leave()
	case 13:
		return w.poison()
	case 14:
		w.trim()
	case 15:
		name := append([]string{"s1", "s3", "c1", "c3"}, instances...)[w.IntN(10)]
		w.Logf("reset connections of %s", name)
		w.SharedProxy(name).ResetAll()
	}
	return fault{}
}

// stop kills or freezes processes at the same moment, and starts or thaws them at the end.
func (w *world) stop(ok bool, how func(...string), names ...string) fault {
	if !ok {
		return fault{}
	}
	how(names...)
	state := "frozen"
	if !w.Running(names[0]) {
		state = "killed"
	}
	return fault{fmt.Sprint(state, " ", names), names, func() {
		for _, name := range names {
			if state == "frozen" {
				w.Thaw(name)
			} else {
				w.Start(name)
			}
		}
	}}
}

// cut cuts one or both directions of a link.
func (w *world) cut(from, to string) fault {
	if slices.ContainsFunc(w.active, func(f fault) bool { return strings.HasPrefix(f.name, "cut") }) {
		return fault{}
	}
	link := w.PairProxy(from, to)
	ways := [][]proxy.Direction{{proxy.ToTarget}, {proxy.FromTarget}, {proxy.ToTarget, proxy.FromTarget}}[w.IntN(3)]
	link.Cut(ways...)
	return fault{fmt.Sprint("cut ", from, " ", to, " ", ways), nil, link.Heal}
}

// part cuts the data centres from each other, and sometimes one also from the log.
func (w *world) part() fault {
	if slices.ContainsFunc(w.active, func(f fault) bool { return strings.HasPrefix(f.name, "cut") }) {
		return fault{}
	}
	links := w.ProxiesBetween(instances[:3], instances[3:])
	log := w.IntN(2) == 0
	if log {
		for _, in := range instances[3:] {
			links = append(links, w.PairProxy(in, system.LogProcess))
		}
	}
	for _, l := range links {
		l.Cut()
	}
	return fault{fmt.Sprint("cut of the data centres, log too: ", log), nil, func() {
		for _, l := range links {
			l.Heal()
		}
	}}
}

// log makes the log unreachable or slow, or loses answers of appends. An unreachable one may come back from a copy some seconds old.
func (w *world) log() fault {
	if slices.ContainsFunc(w.active, func(f fault) bool { return strings.HasPrefix(f.name, "log") }) {
		return fault{}
	}
	kind := w.IntN(4)
	if w.logFaults {
		kind = 0
	}
	order := []faults.Fault{
		{Mode: faults.Down}, {Mode: faults.Hang}, {Mode: faults.Slow, Delay: "700ms"}, {Mode: faults.Lost, Kind: "append"},
	}[kind]
	ago := int64(0) // of the copy
	if order.Mode == faults.Down {
		ago = int64(w.IntN(4)) * 2000
		if w.logFaults {
			ago += 2000
		}
	}
	w.CommandLog(logsrv.Command{Fault: order})
	return fault{fmt.Sprint("log ", order.Mode, ", copy of ", ago, " ms"), nil, func() {
		w.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Up}, Restore: ago})
	}}
}

// list makes the list lag or unreachable.
func (w *world) list() fault {
	if slices.ContainsFunc(w.active, func(f fault) bool { return strings.HasPrefix(f.name, "list") }) {
		return fault{}
	}
	cmd := []listsv.Command{{Lag: "5s"}, {Fault: faults.Fault{Mode: faults.Down}}}[w.IntN(2)]
	w.CommandList(cmd)
	return fault{fmt.Sprint("list ", cmd.Lag, cmd.Mode), nil, func() {
		w.CommandList(listsv.Command{Lag: "0s", Fault: faults.Fault{Mode: faults.Up}})
	}}
}

// leave stops an instance or a server in the planned way.
func (w *world) leave() fault {
	name, ok := w.pick(append([]string{"s1", "s2", "s3", "s4", "c1", "c3"}, instances...)...)
	if !ok {
		return fault{}
	}
	w.Terminate(name)
	return fault{"stop of " + name, []string{name}, func() {
		w.Await(name+" has ended", patience, func() bool { return !w.Running(name) })
		w.Start(name)
	}}
}

// poison sends a request that ends each server that runs it, through several instances.
func (w *world) poison() fault {
	if slices.ContainsFunc(w.active, func(f fault) bool { return slices.Contains(f.hits, "c1") || slices.Contains(f.hits, "c3") }) {
		return fault{}
	}
	for _, in := range instances {
		if !w.stopped(in) {
			w.Call(in, fleet.Note("poison"))
		}
	}
	return fault{"poison", []string{"c1", "c2", "c3", "c4"}, nil}
}

// revive starts the servers that a request has ended.
func (w *world) revive() {
	for _, c := range []string{"c1", "c2", "c3", "c4"} {
		if !w.Running(c) && !w.stopped(c) {
			w.Start(c)
		}
	}
}

// trim drops all records of the streams with lasting state, as when retention passes.
func (w *world) trim() {
	for stream, bounds := range w.LogCounts().Streams {
		if stream != "ledger" {
			w.Logf("trim %s below %d", stream, bounds[1])
			w.CommandLog(logsrv.Command{Trim: &logsrv.Trim{Stream: stream, Below: bounds[1]}})
		}
	}
}
