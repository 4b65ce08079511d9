// Package system runs the whole system as processes on loopback for integration tests: stand-ins for the platform
// services and backend servers, and instances, connected through fault-injecting proxies.
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

// Process names of the platform services, as methods of System take them.
const (
	LogProcess  = "log"
	ListProcess = "list"
)

// operatorName stands for operator commands in settings and proxies.
const operatorName = "operator"

// System is one running system. Its methods end the test on failure and must be called from the test's goroutine,
// except for Call, PostCommand and Status.
type System struct {
	Plan Plan

	tb              testing.TB
	dir             string
	programs        proc.Programs
	procs           map[string]*proc.Process
	standinPorts    map[string]*hold.Port // reserved, so that stand-ins restart at the same address
	proxies         map[processPair]*proxy.Proxy
	callJournal     *trace.Writer
	callJournalPath string
	lastID          atomic.Int64
	callClient      *fasthttp.Client
	controlClient   *fasthttp.Client
}

// processPair identifies a proxy. An empty from means the proxy shared by all processes.
type processPair struct{ from, to string }

// New starts the log service, the list service and the servers of the plan, but no instances: use Start for them. All
// processes are killed when the test ends.
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

// createProxies creates all proxies. Each refuses connections until its target listens.
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
	for _, pair := range pairs {
		p, err := proxy.New()
		r.check(err)
		r.proxies[pair] = p
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
	const anyPort = "127.0.0.1:0"
	settings := map[string]any{
		"instance": in.Name, "dc": in.DC, "region": in.Region, "caller": anyPort, "peer": anyPort, "admin": anyPort,
		"log": r.PairProxy(in.Name, LogProcess).Address().String(), "list": r.PairProxy(in.Name, ListProcess).Address().String(),
	}
	seeds, proxies := []string{}, map[string]string{}
	for pair, p := range r.proxies {
		switch {
		case pair.from == "" && pair.to == in.Name:
			settings["advertise"] = p.Address().String()
		case pair.from == in.Name && pair.to != LogProcess && pair.to != ListProcess:
			proxies[r.SharedProxy(pair.to).Address().String()] = p.Address().String()
		}
	}
	for _, other := range r.Plan.Instances {
		if other.Name != in.Name {
			seeds = append(seeds, r.SharedProxy(other.Name).Address().String())
		}
	}
	settings["seeds"] = seeds
	if r.Plan.PairProxies {
		settings["proxies"] = proxies
	}
	maps.Copy(settings, r.Plan.Settings)
	maps.Copy(settings, in.Settings)
	text, err := json.MarshalIndent(settings, "", "  ")
	r.check(err)
	path := filepath.Join(r.dir, in.Name+".settings")
	r.check(os.WriteFile(path, text, 0o600))
	return path
}

// PairProxy returns the proxy that only process from uses to reach process to.
func (r *System) PairProxy(from, to string) *proxy.Proxy {
	r.tb.Helper()
	return r.findProxy(processPair{from, to})
}

// SharedProxy returns the proxy through which all reach a server, or the peer listener of an instance. With
// Plan.PairProxies, the pair proxies connect to it.
func (r *System) SharedProxy(to string) *proxy.Proxy {
	r.tb.Helper()
	return r.findProxy(processPair{"", to})
}

func (r *System) findProxy(pair processPair) *proxy.Proxy {
	r.tb.Helper()
	p := r.proxies[pair]
	if p == nil {
		r.tb.Fatalf("no proxy from %q to %q in this plan", pair.from, pair.to)
	}
	return p
}

// ProxiesBetween returns the proxies in both directions between two groups of instances, for tests that partition data
// centres. It requires Plan.PairProxies.
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

// Start starts or restarts processes and waits until they listen. Instances and servers are entered into the list.
func (r *System) Start(names ...string) {
	r.tb.Helper()
	for _, name := range names {
		r.check(r.TryStart(name))
	}
}

// TryStart is like Start for one process, but returns the error.
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

// retarget points the proxies of a process to its current address; pair proxies go through the shared proxy.
func (r *System) retarget(name string, target netip.AddrPort) error {
	for pair, p := range r.proxies {
		if pair.to != name {
			continue
		}
		to := target
		if shared := r.proxies[processPair{"", name}]; shared != nil && pair.from != "" {
			to = shared.Address()
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

// Freeze suspends processes with SIGSTOP. Their connections stay open.
func (r *System) Freeze(names ...string) { r.tb.Helper(); r.signal(syscall.SIGSTOP, names) }

// Thaw resumes frozen processes.
func (r *System) Thaw(names ...string) { r.tb.Helper(); r.signal(syscall.SIGCONT, names) }

// Kill ends processes with SIGKILL. Their proxies refuse connections from then on.
func (r *System) Kill(names ...string) {
	r.tb.Helper()
	r.signal(syscall.SIGKILL, names)
	for _, name := range names {
		_, err := r.procs[name].Wait(proc.StartTimeout)
		r.check(err)
		r.refuseConnections(name)
	}
}

// Stop sends SIGTERM to a process, waits until it has ended, and returns its exit code.
func (r *System) Stop(name string, within time.Duration) int {
	r.tb.Helper()
	r.signal(syscall.SIGTERM, []string{name})
	code, err := r.procs[name].Wait(within)
	r.check(err)
	r.refuseConnections(name)
	return code
}

// Terminate sends SIGTERM to processes without waiting for their end.
func (r *System) Terminate(names ...string) { r.tb.Helper(); r.signal(syscall.SIGTERM, names) }

// Pid returns the process id, for reading resource usage.
func (r *System) Pid(name string) int { return r.procs[name].Pid() }

// Running reports whether a process was started and has not ended.
func (r *System) Running(name string) bool { return r.procs[name].Running() }

func (r *System) signal(sig syscall.Signal, names []string) {
	r.tb.Helper()
	for _, name := range names {
		r.check(r.procs[name].Signal(sig))
	}
}

// refuseConnections makes the proxies of an ended process refuse connections, as its host would.
func (r *System) refuseConnections(name string) {
	for pair, p := range r.proxies {
		if pair.to == name {
			r.check(p.SetRefusing(true))
		}
	}
}

// Address returns an address that a process printed under field when it began to listen.
func (r *System) Address(name, field string) netip.AddrPort {
	r.tb.Helper()
	addr, err := r.procs[name].Address(field)
	r.check(err)
	return addr
}

// Cleanup calls f at the end of the test, before the processes are killed.
func (r *System) Cleanup(f func()) { r.tb.Cleanup(f) }

// Fatalf fails the test and ends it.
func (r *System) Fatalf(format string, args ...any) {
	r.tb.Helper()
	r.tb.Fatalf(format, args...)
}

// Await polls until done returns true, and ends the test as failed if that takes longer than within.
func (r *System) Await(what string, within time.Duration, done func() bool) {
	r.tb.Helper()
	const interval = 10 * time.Millisecond
	for end := time.Now().Add(within); !done(); time.Sleep(interval) {
		if time.Now().After(end) {
			r.tb.Fatalf("not within %v: %s", within, what)
		}
	}
}

// shutDown kills all processes, checks their logs for data races, and prints the logs if the test failed.
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
