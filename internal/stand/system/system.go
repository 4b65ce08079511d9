// Package system runs the system as processes on loopback for integration tests: stand-ins of the platform, backend
// servers and instances, with the fault proxy between any two of them.
package system

import (
	"maps"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/hold"
	"github.com/bramleycove/bramleycove/internal/stand/listsv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/proxy"
	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// The names of the platform's services in Link, Front, Freeze and the like.
const (
	LogProcess  = "log" // the log service
	ListProcess = "list"
)

// operatorName is the name under which publish commands run.
const operatorName = "operator"

// System is one running system. Its methods end the test on failure and must be called by the test's goroutine, except
// for Call, Post and Status.
type System struct {
	Plan Plan

	tb              testing.TB
	dir             string
	programs        proc.Programs
	procs           map[string]*proc.Process
	standinPorts    map[string]*hold.Port // of stand-ins, so that they can restart at the same address
	proxies         map[processPair]*proxy.Proxy
	callJournal     *trace.Writer
	callJournalPath string
	lastID          atomic.Int64
	callClient      *fasthttp.Client
	controlClient   *fasthttp.Client
}

// processPair is a pair of process names. An empty From stands for all processes without a proxy of their own.
type processPair struct{ from, to string }

// New starts the log, the list and the servers of the plan. Instances are started by Start. Everything ends with the
// test.
func New(tb testing.TB, plan Plan) *System {
	tb.Helper()
	bin, err := proc.Build()
	if err != nil {
		tb.Fatal(err)
	}
	r := &System{
		Plan: plan, tb: tb, dir: tb.TempDir(), programs: bin, procs: map[string]*proc.Process{}, standinPorts: map[string]*hold.Port{},
		proxies: map[processPair]*proxy.Proxy{}, callClient: newClient(), controlClient: newClient(),
	}
	tb.Cleanup(r.shutDown)
	r.callJournalPath = filepath.Join(r.dir, "calls.jsonl")
	r.callJournal, err = trace.Open(r.callJournalPath)
	r.check(err)
	r.createProxies()
	r.startStandin(LogProcess, "log", plan.LogArgs)
	r.startStandin(ListProcess, "list", plan.ListArgs)
	for _, s := range plan.Servers {
		r.startServer(s)
	}
	for _, in := range plan.Instances {
		r.addInstance(in)
	}
	r.writeSettings(Instance{Name: operatorName, DC: r.operatorDC(), Region: r.operatorRegion()})
	return r
}

func (r *System) check(err error) {
	r.tb.Helper()
	if err != nil {
		r.tb.Fatal(err)
	}
}

func (r *System) operatorDC() string {
	if len(r.Plan.Instances) > 0 {
		return r.Plan.Instances[0].DC
	}
	return "dk-east-1"
}

func (r *System) operatorRegion() string {
	if len(r.Plan.Instances) > 0 {
		return r.Plan.Instances[0].Region
	}
	return "dk-east"
}

// createProxies makes all proxies. They refuse connections until their target listens.
func (r *System) createProxies() {
	var pairs []processPair
	for _, s := range r.Plan.Servers {
		pairs = append(pairs, processPair{"", s.Name})
	}
	for _, in := range r.Plan.Instances {
		pairs = append(pairs, processPair{"", in.Name}, processPair{in.Name, LogProcess}, processPair{in.Name, ListProcess})
		if !r.Plan.PairProxies {
			continue
		}
		for _, s := range r.Plan.Servers {
			pairs = append(pairs, processPair{in.Name, s.Name})
		}
		for _, other := range r.Plan.Instances {
			if other.Name != in.Name {
				pairs = append(pairs, processPair{in.Name, other.Name})
			}
		}
	}
	pairs = append(pairs, processPair{operatorName, LogProcess}, processPair{operatorName, ListProcess})
	for _, l := range pairs {
		p, err := proxy.New()
		r.check(err)
		r.proxies[l] = p
	}
}

func (r *System) addProcess(name, path string, args ...string) *proc.Process {
	p := &proc.Process{Name: name, ProgramPath: path, Args: args, LogPath: filepath.Join(r.dir, name+".log")}
	r.procs[name] = p
	return p
}

func (r *System) startStandin(name, command string, args []string) {
	r.tb.Helper()
	port, err := hold.Reserve(netip.MustParseAddrPort("127.0.0.1:0"))
	r.check(err)
	r.standinPorts[name] = port
	r.addProcess(name, r.programs.Standin, append([]string{command, "--address", port.Addr.String()}, args...)...)
	r.Start(name)
}

func (r *System) startServer(s Server) {
	r.tb.Helper()
	s.setDefaults()
	pool, err := r.Plan.findPool(s.Pool)
	r.check(err)
	args := []string{
		"--name", s.Name, "--pool", s.Pool, "--list", r.Address(ListProcess, "control").String(),
		"--advertise", r.SharedProxy(s.Name).Address().String(), "--journal", r.journalPath(s.Name),
		"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.Connections),
	}
	if s.Checks {
		args = append(args, "--checks")
	}
	if pool.Keyed {
		args = append(args, "--keyed")
	}
	r.startStandin(s.Name, "server", append(args, s.Args...))
}

func (r *System) journalPath(server string) string { return filepath.Join(r.dir, server+".jsonl") }

func (r *System) addInstance(in Instance) {
	r.tb.Helper()
	r.addProcess(in.Name, r.programs.Daemon, "serve", "--settings", r.writeSettings(in))
}

// writeSettings writes the settings file of an instance and returns its path.
func (r *System) writeSettings(in Instance) string {
	r.tb.Helper()
	const any0 = "127.0.0.1:0"
	set := map[string]any{
		"instance": in.Name, "dc": in.DC, "region": in.Region, "caller": any0, "peer": any0, "admin": any0,
		"log": r.PairProxy(in.Name, LogProcess).Address().String(), "list": r.PairProxy(in.Name, ListProcess).Address().String(),
	}
	seeds, proxies := []string{}, map[string]string{}
	for l, p := range r.proxies {
		switch {
		case l.from == "" && l.to == in.Name:
			set["advertise"] = p.Address().String()
		case l.from == in.Name && l.to != LogProcess && l.to != ListProcess:
			proxies[r.SharedProxy(l.to).Address().String()] = p.Address().String()
		}
	}
	for _, other := range r.Plan.Instances {
		if other.Name != in.Name {
			seeds = append(seeds, r.SharedProxy(other.Name).Address().String())
		}
	}
	set["seeds"] = seeds
	if r.Plan.PairProxies {
		set["proxies"] = proxies
	}
	maps.Copy(set, r.Plan.Settings)
	maps.Copy(set, in.Settings)
	text, err := json.MarshalIndent(set, "", "  ")
	r.check(err)
	path := filepath.Join(r.dir, in.Name+".settings")
	r.check(os.WriteFile(path, text, 0o600))
	return path
}

// PairProxy returns the proxy that only from uses to reach to.
func (r *System) PairProxy(from, to string) *proxy.Proxy {
	r.tb.Helper()
	return r.findProxy(processPair{from, to})
}

// SharedProxy returns the proxy by which everybody reaches a server, or the peer listener of an instance. With Pairs, the
// proxy of each pair is before it.
func (r *System) SharedProxy(to string) *proxy.Proxy {
	r.tb.Helper()
	return r.findProxy(processPair{"", to})
}

func (r *System) findProxy(l processPair) *proxy.Proxy {
	r.tb.Helper()
	p := r.proxies[l]
	if p == nil {
		r.tb.Fatalf("no proxy from %q to %q in this plan", l.from, l.to)
	}
	return p
}

// ProxiesBetween returns the proxies of both directions between two groups of instances, so that a test can part data
// centres. It needs Pairs.
func (r *System) ProxiesBetween(a, b []string) []*proxy.Proxy {
	r.tb.Helper()
	var out []*proxy.Proxy
	for _, x := range a {
		for _, y := range b {
			out = append(out, r.PairProxy(x, y), r.PairProxy(y, x))
		}
	}
	return out
}

// Start starts processes, also again after their end, and waits until they listen. Instances and servers enter the
// list.
func (r *System) Start(names ...string) {
	r.tb.Helper()
	for _, name := range names {
		r.check(r.TryStart(name))
	}
}

// TryStart is Start for one process that may fail to start.
func (r *System) TryStart(name string) error {
	p := r.procs[name]
	if err := p.Start(); err != nil {
		return err
	}
	field := "address"
	if r.isInstance(name) {
		field = "peer"
	}
	target, err := p.Address(field)
	if err != nil {
		return err
	}
	if err := r.retarget(name, target); err != nil {
		return err
	}
	if !r.isInstance(name) {
		return nil
	}
	in := r.Plan.Instances[slices.IndexFunc(r.Plan.Instances, func(in Instance) bool { return in.Name == name })]
	return r.PostCommand(ListProcess, listsv.Command{Put: listsv.List{Instances: []listsv.Instance{{
		ID: in.Name, DC: in.DC, Region: in.Region, Peer: r.proxies[processPair{"", name}].Address().String(),
	}}}}, nil)
}

// retarget directs the proxies of a process to where it listens now.
func (r *System) retarget(name string, target netip.AddrPort) error {
	for l, p := range r.proxies {
		if l.to != name {
			continue
		}
		to := target
		if front := r.proxies[processPair{"", name}]; front != nil && l.from != "" {
			to = front.Address()
		}
		if err := p.SetTarget(to); err != nil {
			return err
		}
	}
	return nil
}

func (r *System) isInstance(name string) bool {
	return slices.ContainsFunc(r.Plan.Instances, func(in Instance) bool { return in.Name == name })
}

// Freeze stops processes with SIGSTOP. Their connections stay open.
func (r *System) Freeze(names ...string) { r.tb.Helper(); r.signal(syscall.SIGSTOP, names) }

// Thaw ends Freeze.
func (r *System) Thaw(names ...string) { r.tb.Helper(); r.signal(syscall.SIGCONT, names) }

// Kill ends processes with SIGKILL. Connections to them are refused from then on.
func (r *System) Kill(names ...string) {
	r.tb.Helper()
	r.signal(syscall.SIGKILL, names)
	for _, name := range names {
		_, err := r.procs[name].Wait(proc.StartTimeout)
		r.check(err)
		r.refuseConnections(name)
	}
}

// Stop tells a process to end with SIGTERM, waits for that, and returns the exit code.
func (r *System) Stop(name string, within time.Duration) int {
	r.tb.Helper()
	r.signal(syscall.SIGTERM, []string{name})
	code, err := r.procs[name].Wait(within)
	r.check(err)
	r.refuseConnections(name)
	return code
}

// Terminate tells processes to end with SIGTERM and does not wait.
func (r *System) Terminate(names ...string) { r.tb.Helper(); r.signal(syscall.SIGTERM, names) }

// Pid returns the id of a process, to read what it uses.
func (r *System) Pid(name string) int { return r.procs[name].Pid() }

// Running tells whether a process has not ended.
func (r *System) Running(name string) bool { return r.procs[name].Running() }

func (r *System) signal(sig syscall.Signal, names []string) {
	r.tb.Helper()
	for _, name := range names {
		r.check(r.procs[name].Signal(sig))
	}
}

// refuseConnections makes the proxies of an ended process refuse connections, as its machine would.
func (r *System) refuseConnections(name string) {
	for l, p := range r.proxies {
		if l.to == name {
			r.check(p.SetRefusing(true))
		}
	}
}

// Address returns an address that a process printed when it began to listen.
func (r *System) Address(name, field string) netip.AddrPort {
	r.tb.Helper()
	addr, err := r.procs[name].Address(field)
	r.check(err)
	return addr
}

// Cleanup calls f at the end of the test, before the processes are stopped.
func (r *System) Cleanup(f func()) { r.tb.Cleanup(f) }

// Fatalf ends the test as failed.
func (r *System) Fatalf(format string, args ...any) {
	r.tb.Helper()
	r.tb.Fatalf(format, args...)
}

// Await polls until done returns true, and fails the test after the given time.
func (r *System) Await(what string, within time.Duration, done func() bool) {
	r.tb.Helper()
	const interval = 10 * time.Millisecond
	for end := time.Now().Add(within); !done(); time.Sleep(interval) {
		if time.Now().After(end) {
			r.tb.Fatalf("not within %v: %s", within, what)
		}
	}
}

// shutDown kills all processes, shows their logs if the test failed, and checks them for data races.
func (r *System) shutDown() {
	r.dumpStacks()
	for _, p := range r.procs {
		if p.Running() {
			_ = p.Signal(syscall.SIGKILL)
			_, _ = p.Wait(proc.StartTimeout)
		}
	}
	for _, p := range r.proxies {
		p.Close()
	}
	for _, port := range r.standinPorts {
		_ = port.Release()
	}
	_ = r.callJournal.Close()
	r.reportFailure()
}
