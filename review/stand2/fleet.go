package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

// The zones of the small deployment and their regions.
var regions = map[string]string{"east-a": "east", "west-b": "west"}

var zones = []string{"east-a", "west-b"}

// daemon is one process of the system.
type daemon struct {
	proc.Process
	zone                 string
	front, ready         string
	control, metricsPort string
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir     string
	store   *store
	journal *journal
	servers []*server
	daemons []*daemon
}

// Ports of daemons lie below the range from which the kernel takes those of outgoing connections.
const firstPort, lastPort = 12000, 32000

// givenPorts are the ports that freePort has returned.
var givenPorts = make(map[int]bool)

// freePort returns an address on which nothing listens, another one each time.
func freePort() (string, error) {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if givenPorts[port] {
			continue
		}
		if ln, err := net.Listen("tcp", addr); err == nil {
			givenPorts[port] = true
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

// newFleet writes the settings of n daemons, which it does not start.
func newFleet(dir string, n int) (*fleet, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: st, journal: new(journal)}
	var seeds []string
	for i := range n {
		d := &daemon{zone: zones[i%len(zones)]}
		for _, a := range []*string{&d.front, &d.ready, &d.control, &d.metricsPort} {
			addr, err := freePort()
			if err != nil {
				return nil, err
			}
			*a = addr
		}
		d.Name, d.ProgramPath, d.Args = fmt.Sprint("front-", i+1), "target/bramleycove", []string{"platform"}
		d.LogPath = filepath.Join(dir, d.Name+".log")
		f.daemons = append(f.daemons, d)
		if i < 3 {
			seeds = append(seeds, d.control)
		}
	}
	for _, d := range f.daemons {
		path := filepath.Join(dir, d.Name+".conf")
		d.ExtraEnv = []string{"BRAMLEYCOVE_NODE_FILE=" + path}
		if err := os.WriteFile(path, []byte(f.settings(d, seeds)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) settings(d *daemon, seeds []string) string {
	_, metrics, _ := strings.Cut(d.metricsPort, ":")
	lines := []string{
		"grants=direct", "self.node-name=" + d.Name, "self.role=router", "self.machine-class=front", "self.serves=front,control", "self.ip=127.0.0.1",
		"self.zone=" + d.zone, "self.region=" + regions[d.zone], "self.bootstrap=true", "self.limits.cpu-share=0.32", "self.limits.cores=1",
		"self.limits.memory-mb=284", "self.limits.max-fds=4100", "self.limits.link-mbps=1000.0", "network.listen.front=" + d.front,
		"network.listen.ready=" + d.ready, "network.listen.control=" + d.control, "network.internal-ports=" + metrics + "," + metrics,
		"network.seeds=" + strings.Join(seeds, ","), "platform.discovery=platform", "platform.entry=vip",
		fmt.Sprintf("platform.heartbeat-s=%.2f", heartbeat.Seconds()), "platform.platform.address=" + f.store.addr, "platform.platform.form=log",
		"platform.platform.writes-per-s=400", "platform.platform.reads-per-s=2000", "terms.contracts=base,drain,config,cost,retry,recover,own,platform",
		"terms.bounds.drain-s=2.5", "terms.bounds.grace-s=6", "terms.bounds.config-apply-s=2.5", "terms.bounds.retry-budget-ratio=0.2",
		"terms.bounds.retry-budget-slack=64", "terms.bounds.hold-max-s=10", "terms.bounds.thaw-s=0.3",
	}
	for zone, region := range regions {
		lines = append(lines, "network.zones."+zone+"="+region)
	}
	return strings.Join(lines, "\n") + "\n"
}

// addServers starts n servers of a service.
func (f *fleet) addServers(service string, n int) error {
	for i := range n {
		s, err := newServer(f.store, f.journal, fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i%len(zones)])
		if err != nil {
			return err
		}
		f.servers = append(f.servers, s)
	}
	return nil
}

// start starts the daemons side by side and waits until they are ready.
func (f *fleet) start() error {
	errs := make(chan error, len(f.daemons))
	for _, d := range f.daemons {
		go func() { errs <- d.Start() }()
	}
	var all error
	for range f.daemons {
		all = errors.Join(all, <-errs)
	}
	if all != nil {
		return all
	}
	for _, d := range f.daemons {
		if !await(15*time.Second, d.isReady) {
			return fmt.Errorf("%s is not ready", d.Name)
		}
	}
	return nil
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + d.ready + "/bramleycove/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// await waits until cond holds and reports whether it did within d.
func await(d time.Duration, cond func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}

// stop ends the daemons.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		if d.Running() {
			_ = d.Signal(syscall.SIGKILL)
			_, _ = d.Wait(5 * time.Second)
		}
	}
}
