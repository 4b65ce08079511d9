package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host of all routes.
const host = "jepu9.example"

var zones = []string{"roskilde-a", "koege-b"}

// listen returns a listener on a free loopback port.
func listen() (net.Listener, netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	return ln, netip.MustParseAddrPort(ln.Addr().String()), nil
}

// portBook hands out addresses of free ports, each once.
type portBook struct{ listeners []net.Listener }

// take returns the address of a free port of a loopback host. It stays taken until release.
func (p *portBook) take(host string) (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	p.listeners = append(p.listeners, ln)
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

func (p *portBook) release() {
	for _, ln := range p.listeners {
		_ = ln.Close() // nothing was accepted
	}
}

// Daemon is a process of the product. The platform starts it again when it ends.
type Daemon struct {
	Name                           string
	Callers, Ready, Peers, Metrics netip.AddrPort

	settings, log string
	record        *Record

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	ownEnds  int
	done     chan struct{}
}

// restartDelay is the platform's pause before it starts an ended process again.
const restartDelay = 300 * time.Millisecond

// run keeps the process running until stop.
func (d *Daemon) run(startedOnce chan<- error) {
	defer close(d.done)
	for first := true; ; first = false {
		out, err := os.OpenFile(d.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			startedOnce <- err
			return
		}
		cmd := exec.Command("target/bramleycove", "platform")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYCOVE_NODE_FILE=" + d.settings}
		cmd.Stdout, cmd.Stderr = out, out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		d.mu.Lock()
		if d.stopping {
			d.mu.Unlock()
			return
		}
		err = cmd.Start()
		d.cmd = cmd
		d.mu.Unlock()
		if first {
			startedOnce <- err
		}
		if err != nil {
			return
		}
		d.record.Note("start %s, process %d", d.Name, cmd.Process.Pid)
		err = cmd.Wait()
		_ = out.Close()
		d.mu.Lock()
		stopping := d.stopping
		if !stopping {
			d.ownEnds++
		}
		d.mu.Unlock()
		if stopping {
			return
		}
		d.record.Note("end of %s by itself: %v", d.Name, err)
		time.Sleep(restartDelay)
	}
}

// OwnEnds returns how often the process ended by itself.
func (d *Daemon) OwnEnds() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ownEnds
}

// Pid returns the id of the running process.
func (d *Daemon) Pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// kill ends the running process. It is started again.
func (d *Daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Kill() // it may have ended
}

func (d *Daemon) stop() {
	d.mu.Lock()
	d.stopping = true
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill() // it may have ended
	}
	d.mu.Unlock()
	<-d.done
}

func (d *Daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.Ready.String() + "/bramleycove/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Fleet is a small deployment.
type Fleet struct {
	Store   *Store
	Record  *Record
	Clients *Clients
	Daemons []*Daemon
	Servers []*Server
	dir     string
}

// NewFleet starts a store. dir is a temporary folder.
func NewFleet(dir string, record *Record) (*Fleet, error) {
	store, err := NewStore()
	return &Fleet{Store: store, Record: record, Clients: &Clients{record: record}, dir: dir}, err
}

// Route is a route of the configuration.
type Route struct {
	Name, Prefix, Service string
	Idempotent            bool
	Timeout               time.Duration
	MaxAttempts           int
}

// Publish writes a configuration. keyed names the services whose requests are routed by key.
func (f *Fleet) Publish(version int, routes []Route, services, keyed []string) error {
	var items []map[string]any
	add := func(kind, name string, spec map[string]any) {
		items = append(items, map[string]any{"record-type": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		kind := "non_idempotent"
		if r.Idempotent {
			kind = "idempotent"
		}
		add("routes", r.Name, map[string]any{
			"host": host, "path-prefix": r.Prefix, "kind": kind, "timeout-s": r.Timeout.Seconds(), "target-latency-s": 0.6, "priority": 1,
			"service": r.Service, "max-attempts": r.MaxAttempts,
		})
	}
	for _, name := range services {
		add("services", name, map[string]any{"health-path": "/health", "max-conns": 130, "protocol": "h1", "tls": false})
	}
	for _, name := range keyed {
		add("services", name, map[string]any{
			"health-path": "/health", "max-conns": 130, "protocol": "h1", "tls": false, "sharded": true, "warm-s": 2.0, "grants": "direct",
		})
	}
	add("limits", "", map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15})
	data, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": items})
	if err == nil {
		f.Store.Put("keyed.op", "config", string(data))
	}
	return err
}

// AddServers starts n servers of a service.
func (f *Fleet) AddServers(n int, service string, work time.Duration) error {
	for i := range n {
		s, err := NewServer(f.Store, f.Record, fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i%len(zones)], work)
		if err != nil {
			return err
		}
		f.Servers = append(f.Servers, s)
	}
	return nil
}

// Start starts n daemons and waits until they are ready.
func (f *Fleet) Start(n int) error {
	var seeds []string
	var ports portBook
	for i := range n {
		// A host of its own for each daemon: connections that others open can't take its ports.
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		d := &Daemon{Name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), record: f.Record, done: make(chan struct{})}
		for _, a := range []*netip.AddrPort{&d.Callers, &d.Ready, &d.Peers, &d.Metrics} {
			var err error
			if *a, err = ports.take(ip); err != nil {
				return err
			}
		}
		if i < 3 {
			seeds = append(seeds, d.Peers.String())
		}
		d.settings, d.log = filepath.Join(f.dir, d.Name+".conf"), filepath.Join(f.dir, d.Name+".log")
		f.Daemons = append(f.Daemons, d)
	}
	ports.release()
	for i, d := range f.Daemons {
		if err := os.WriteFile(d.settings, []byte(f.settings(d, zones[i%len(zones)], seeds)), 0o600); err != nil {
			return err
		}
		started := make(chan error, 1)
		go d.run(started)
		if err := <-started; err != nil {
			return err
		}
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range f.Daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == n {
			return nil
		}
	}
	return errors.New("not all daemons became ready within 25 s")
}

func (f *Fleet) settings(d *Daemon, zone string, seeds []string) string {
	lines := []string{
		"grants=direct", "self.node-name=" + d.Name, "self.role=router", "self.machine-class=front", "self.serves=front,control",
		"self.ip=" + d.Callers.Addr().String(), "self.zone=" + zone, "self.region=dk-east", "self.counts-loss=false", "self.bootstrap=true",
		"self.limits.cpu-share=0.32", "self.limits.cores=1", "self.limits.memory-mb=284", "self.limits.max-fds=4100",
		"self.limits.link-mbps=1000.0", "self.limits.disk-mb=0",
		"network.listen.front=" + d.Callers.String(), "network.listen.ready=" + d.Ready.String(), "network.listen.control=" + d.Peers.String(),
		fmt.Sprintf("network.internal-ports=%d,%d", d.Metrics.Port(), d.Metrics.Port()), "network.seeds=" + strings.Join(seeds, ","),
		"platform.discovery=platform", "platform.entry=vip", "platform.heartbeat-s=0.87",
		"platform.platform.address=" + f.Store.Address.String(), "platform.platform.form=log", "platform.platform.writes-per-s=400",
		"platform.platform.reads-per-s=2000", "platform.platform.parts=12",
		"terms.contracts=base,drain,config,cost,retry,recover,own,platform",
		"terms.bounds.stable-window-s=3", "terms.bounds.drain-s=2.5", "terms.bounds.grace-s=6", "terms.bounds.config-apply-s=2.5",
		"terms.bounds.retry-budget-ratio=0.2", "terms.bounds.budget-window-s=10", "terms.bounds.retry-budget-slack=64",
		"terms.bounds.hold-max-s=10", "terms.bounds.thaw-s=0.3",
	}
	for _, z := range zones {
		lines = append(lines, "network.zones."+z+"=dk-east")
	}
	return strings.Join(lines, "\n") + "\n"
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, d := range f.Daemons {
		d.stop()
	}
}
