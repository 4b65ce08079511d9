// Package system runs the system as processes on loopback for integration tests: stand-ins for platform services and
// backend servers, and instances, connected through fault-injecting proxies.
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

	"github.com/bramleycove/bramleycove/internal/stand/listsv"
	"github.com/bramleycove/bramleycove/internal/stand/ports"
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
	standinPorts    map[string]*ports.Port // reserved, so that stand-ins restart at the same address
	proxies         map[processPair]*proxy.Proxy
	callJournal     *trace.Writer
	callJournalPath string
	lastID          atomic.Int64
	callClient      *fasthttp.Client
	controlClient   *fasthttp.Client
}

// processPair identifies a proxy. An empty from means the proxy shared by all processes.
type processPair struct{ from, to string }

// New starts the log service, the list service and the servers of the plan; Start starts instances. All processes are
// killed when the test ends.
func New(tb testing.TB, plan Plan) *System {
	tb.Helper()
	bin, err := proc.Build()
	if err != nil {
		tb.Fatal(err)
	}
	sys := &System{
		Plan: plan, tb: tb, dir: tb.TempDir(), programs: bin, procs: map[string]*proc.Process{}, standinPorts: map[string]*ports.Port{},
		proxies: map[processPair]*proxy.Proxy{}, callClient: newClient(), controlClient: newClient(),
	}
	tb.Cleanup(sys.shutDown)
	sys.callJournalPath = filepath.Join(sys.dir, "calls.jsonl")
	sys.callJournal, err = trace.Open(sys.callJournalPath)
	sys.check(err)
	sys.createProxies()
	sys.startStandin(LogProcess, "log", plan.LogArgs)
	sys.startStandin(ListProcess, "list", plan.ListArgs)
	for _, s := range plan.Servers {
		sys.startServer(s)
	}
	for _, in := range plan.Instances {
		sys.addInstance(in)
	}
	sys.writeSettings(Instance{Name: operatorName, DC: sys.operatorDC(), Region: sys.operatorRegion()})
	return sys
}

func (sys *System) check(err error) {
	sys.tb.Helper()
	if err != nil {
		sys.tb.Fatal(err)
	}
}

func (sys *System) operatorDC() string {
	if len(sys.Plan.Instances) > 0 {
		return sys.Plan.Instances[0].DC
	}
	return "dk-east-1"
}

func (sys *System) operatorRegion() string {
	if len(sys.Plan.Instances) > 0 {
		return sys.Plan.Instances[0].Region
	}
	return "dk-east"
}

// createProxies creates all proxies. Each refuses connections until its target listens.
func (sys *System) createProxies() {
	var pairs []processPair
	for _, s := range sys.Plan.Servers {
		pairs = append(pairs, processPair{"", s.Name})
	}
	for _, in := range sys.Plan.Instances {
		pairs = append(pairs, processPair{"", in.Name}, processPair{in.Name, LogProcess}, processPair{in.Name, ListProcess})
		if !sys.Plan.PairProxies {
			continue
		}
		for _, s := range sys.Plan.Servers {
			pairs = append(pairs, processPair{in.Name, s.Name})
		}
		for _, other := range sys.Plan.Instances {
			if other.Name != in.Name {
				pairs = append(pairs, processPair{in.Name, other.Name})
			}
		}
	}
	pairs = append(pairs, processPair{operatorName, LogProcess}, processPair{operatorName, ListProcess})
	for _, pair := range pairs {
		p, err := proxy.New()
		sys.check(err)
		sys.proxies[pair] = p
	}
}

func (sys *System) addProcess(name, path string, args ...string) *proc.Process {
	p := &proc.Process{Name: name, ProgramPath: path, Args: args, LogPath: filepath.Join(sys.dir, name+".log")}
	sys.procs[name] = p
	return p
}

func (sys *System) startStandin(name, command string, args []string) {
	sys.tb.Helper()
	port, err := ports.Reserve(netip.MustParseAddrPort("127.0.0.1:0"))
	sys.check(err)
	sys.standinPorts[name] = port
	sys.addProcess(name, sys.programs.Standin, append([]string{command, "--address", port.Addr.String()}, args...)...)
	sys.Start(name)
}

func (sys *System) startServer(s Server) {
	sys.tb.Helper()
	s.setDefaults()
	pool, err := sys.Plan.findPool(s.Pool)
	sys.check(err)
	args := []string{
		"--name", s.Name, "--pool", s.Pool, "--list", sys.Address(ListProcess, "control").String(),
		"--advertise", sys.SharedProxy(s.Name).Address().String(), "--journal", sys.journalPath(s.Name),
		"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.Connections),
	}
	if s.Checks {
		args = append(args, "--checks")
	}
	if pool.Keyed {
		args = append(args, "--keyed")
	}
	sys.startStandin(s.Name, "server", append(args, s.Args...))
}

func (sys *System) journalPath(server string) string { return filepath.Join(sys.dir, server+".jsonl") }

func (sys *System) addInstance(in Instance) {
	sys.tb.Helper()
	sys.addProcess(in.Name, sys.programs.Daemon, "serve", "--settings", sys.writeSettings(in))
}

// writeSettings writes the settings file of an instance and returns its path.
func (sys *System) writeSettings(in Instance) string {
	sys.tb.Helper()
	const anyPort = "127.0.0.1:0"
	settings := map[string]any{
		"instance": in.Name, "dc": in.DC, "region": in.Region, "caller": anyPort, "peer": anyPort, "admin": anyPort,
		"log": sys.PairProxy(in.Name, LogProcess).Address().String(), "list": sys.PairProxy(in.Name, ListProcess).Address().String(),
	}
	seeds, proxies := []string{}, map[string]string{}
	for pair, p := range sys.proxies {
		switch {
		case pair.from == "" && pair.to == in.Name:
			settings["advertise"] = p.Address().String()
		case pair.from == in.Name && pair.to != LogProcess && pair.to != ListProcess:
			proxies[sys.SharedProxy(pair.to).Address().String()] = p.Address().String()
		}
	}
	for _, other := range sys.Plan.Instances {
		if other.Name != in.Name {
			seeds = append(seeds, sys.SharedProxy(other.Name).Address().String())
		}
	}
	settings["seeds"] = seeds
	if sys.Plan.PairProxies {
		settings["proxies"] = proxies
	}
	maps.Copy(settings, sys.Plan.Settings)
	maps.Copy(settings, in.Settings)
	text, err := json.MarshalIndent(settings, "", "  ")
	sys.check(err)
	path := filepath.Join(sys.dir, in.Name+".settings")
	sys.check(os.WriteFile(path, text, 0o600))
	return path
}

// PairProxy returns the proxy that only process from uses to reach process to.
func (sys *System) PairProxy(from, to string) *proxy.Proxy {
	sys.tb.Helper()
	return sys.findProxy(processPair{from, to})
}

// SharedProxy returns the proxy through which all reach a server, or the peer listener of an instance. With
// Plan.PairProxies, the pair proxies connect to it.
func (sys *System) SharedProxy(to string) *proxy.Proxy {
	sys.tb.Helper()
	return sys.findProxy(processPair{"", to})
}

func (sys *System) findProxy(pair processPair) *proxy.Proxy {
	sys.tb.Helper()
	p := sys.proxies[pair]
	if p == nil {
		sys.tb.Fatalf("no proxy from %q to %q in this plan", pair.from, pair.to)
	}
	return p
}

// ProxiesBetween returns the proxies in both directions between two groups of instances, for tests that partition data
// centres. It requires Plan.PairProxies.
func (sys *System) ProxiesBetween(a, b []string) []*proxy.Proxy {
	sys.tb.Helper()
	var out []*proxy.Proxy
	for _, x := range a {
		for _, y := range b {
			out = append(out, sys.PairProxy(x, y), sys.PairProxy(y, x))
		}
	}
	return out
}

// Start starts or restarts processes and waits until they listen. Instances and servers are entered into the list.
func (sys *System) Start(names ...string) {
	sys.tb.Helper()
	for _, name := range names {
		sys.check(sys.TryStart(name))
	}
}

// TryStart is like Start for one process, but returns the error.
func (sys *System) TryStart(name string) error {
	p := sys.procs[name]
	if err := p.Start(); err != nil {
		return err
	}
	field := "address"
	if sys.isInstance(name) {
		field = "peer"
	}
	target, err := p.Address(field)
	if err != nil {
		return err
	}
	if err := sys.retarget(name, target); err != nil {
		return err
	}
	if !sys.isInstance(name) {
		return nil
	}
	in := sys.Plan.Instances[slices.IndexFunc(sys.Plan.Instances, func(in Instance) bool { return in.Name == name })]
	return sys.PostCommand(ListProcess, listsv.Command{Put: listsv.List{Instances: []listsv.Instance{{
		ID: in.Name, DC: in.DC, Region: in.Region, Peer: sys.proxies[processPair{"", name}].Address().String(),
	}}}}, nil)
}

// retarget points the proxies of a process to its current address, pair proxies to its shared proxy.
func (sys *System) retarget(name string, target netip.AddrPort) error {
	for pair, p := range sys.proxies {
		if pair.to != name {
			continue
		}
		to := target
		if shared := sys.proxies[processPair{"", name}]; shared != nil && pair.from != "" {
			to = shared.Address()
		}
		if err := p.SetTarget(to); err != nil {
			return err
		}
	}
	return nil
}

func (sys *System) isInstance(name string) bool {
	return slices.ContainsFunc(sys.Plan.Instances, func(in Instance) bool { return in.Name == name })
}

// Freeze suspends processes with SIGSTOP. Their connections stay open.
func (sys *System) Freeze(names ...string) { sys.tb.Helper(); sys.signal(syscall.SIGSTOP, names) }

// Thaw resumes frozen processes.
func (sys *System) Thaw(names ...string) { sys.tb.Helper(); sys.signal(syscall.SIGCONT, names) }

// Kill ends processes with SIGKILL. Their proxies refuse connections from then on.
func (sys *System) Kill(names ...string) {
	sys.tb.Helper()
	sys.signal(syscall.SIGKILL, names)
	for _, name := range names {
		_, err := sys.procs[name].Wait(proc.StartTimeout)
		sys.check(err)
		sys.refuseConnections(name)
	}
}

// Stop sends SIGTERM to a process, waits until it has ended, and returns its exit code.
func (sys *System) Stop(name string, within time.Duration) int {
	sys.tb.Helper()
	sys.signal(syscall.SIGTERM, []string{name})
	code, err := sys.procs[name].Wait(within)
	sys.check(err)
	sys.refuseConnections(name)
	return code
}

// Terminate sends SIGTERM to processes without waiting for their end.
func (sys *System) Terminate(names ...string) { sys.tb.Helper(); sys.signal(syscall.SIGTERM, names) }

// Pid returns the process id, for reading resource usage.
func (sys *System) Pid(name string) int { return sys.procs[name].Pid() }

// Running reports whether a process was started and has not ended.
func (sys *System) Running(name string) bool { return sys.procs[name].Running() }

func (sys *System) signal(sig syscall.Signal, names []string) {
	sys.tb.Helper()
	for _, name := range names {
		sys.check(sys.procs[name].Signal(sig))
	}
}

// refuseConnections makes the proxies of an ended process refuse connections, as its host would.
func (sys *System) refuseConnections(name string) {
	for pair, p := range sys.proxies {
		if pair.to == name {
			sys.check(p.SetRefusing(true))
		}
	}
}

// Address returns an address that a process printed under field when it began to listen.
func (sys *System) Address(name, field string) netip.AddrPort {
	sys.tb.Helper()
	addr, err := sys.procs[name].Address(field)
	sys.check(err)
	return addr
}

// Cleanup calls f at the end of the test, before the processes are killed.
func (sys *System) Cleanup(f func()) { sys.tb.Cleanup(f) }

// Fatalf fails the test and ends it.
func (sys *System) Fatalf(format string, args ...any) {
	sys.tb.Helper()
	sys.tb.Fatalf(format, args...)
}

// Await polls until done returns true, and fails the test after the given time.
func (sys *System) Await(what string, within time.Duration, done func() bool) {
	sys.tb.Helper()
	const interval = 10 * time.Millisecond
	for end := time.Now().Add(within); !done(); time.Sleep(interval) {
		if time.Now().After(end) {
			sys.tb.Fatalf("not within %v: %s", within, what)
		}
	}
}

// shutDown kills all processes, checks their logs for data races, and prints the logs if the test failed.
func (sys *System) shutDown() {
	sys.dumpStacks()
	for _, p := range sys.procs {
		if p.Running() {
			_ = p.Signal(syscall.SIGKILL)
			_, _ = p.Wait(proc.StartTimeout)
		}
	}
	for _, p := range sys.proxies {
		p.Close()
	}
	for _, port := range sys.standinPorts {
		_ = port.Release()
	}
	_ = sys.callJournal.Close()
	sys.reportFailure()
}
