// Package bench plays load scenarios on a whole system of processes on loopback, and measures what each kind of work
// keeps. The system has the pools, ranks and routes of one of the example deployments.
package bench

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/stand/load"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

// Settings of a run, which are its flags.
type Settings struct {
	Scenario  string        `enum:"steady,flood-low,flood-urgent,loss,hot-key,cold" default:"steady" help:"steady, flood-low, flood-urgent, loss (a fifth of the servers is killed), hot-key (the hottest keys change) or cold (all servers restart cold). The event begins after a third of the run."`
	Profile   string        `enum:"skyggevaev,association" default:"skyggevaev" help:"Example deployment."`
	Scale     float64       `default:"0.2" help:"Part of the deployment's servers and instances."`
	Duration  time.Duration `default:"15s" help:"Time in which requests arrive."`
	Service   time.Duration `default:"50ms" help:"Mean service time of the servers."`
	Factor    float64       `default:"10" help:"Arrivals of the kind that floods, as a multiple of its servers' capacity."`
	Tries     int           `default:"4" help:"Times that a caller sends a request at most."`
	Instances int           `default:"10" help:"Instances at scale 1. At least two run."`
	Seed      uint64        `default:"1" help:"Seed of arrivals, keys and choices."`
	Out       string        `type:"path" required:"" help:"Directory for NAME.json, NAME.txt and NAME.svg."`
	Root      string        `kong:"-"` // of the module, which holds the examples
}

const (
	slots = 256 // of a keyed pool, so that small fleets have more than 64 for each server
	cold  = 3 * time.Second
)

// tables returns the tables of the example, and the text of its routes.
func (s *Settings) tables() (*tables.Tables, string, error) {
	read := func(name string) ([]byte, error) {
		return os.ReadFile(filepath.Join(s.Root, "examples", s.Profile, name))
	}
	routes, err := read("routes.jsonc")
	if err != nil {
		return nil, "", err
	}
	pools, err := read("pools.jsonc")
	if err != nil {
		return nil, "", err
	}
	t, faults := tables.Parse(routes, pools)
	if t == nil {
		return nil, "", fmt.Errorf("example %s: %v", s.Profile, faults)
	}
	return t, string(routes), nil
}

// plan scales an example down to one data centre.
func (s *Settings) plan(t *tables.Tables) system.Plan {
	region := t.Regions[0]
	dc := region.DCs[0]
	p := system.Plan{Regions: []system.Region{{Name: region.Name, DCs: []string{dc}}}}
	for i := range max(2, int(math.Round(s.Scale*float64(s.Instances)))) {
		p.Instances = append(p.Instances, system.Instance{Name: fmt.Sprintf("i%d", i+1), DC: dc, Region: region.Name})
	}
	args := []string{"--service", s.Service.String(), "--jitter", (s.Service / 4).String()}
	if s.Scenario == "cold" {
		args = append(args, "--cold", cold.String())
	}
	for _, pool := range t.Pools {
		p.Pools = append(p.Pools, system.Pool{Name: pool.Name, Keyed: pool.Keyed, Slots: slots})
		for _, sv := range pool.Servers[:s.servers(len(pool.Servers))] {
			p.Servers = append(p.Servers, system.Server{
				Name: sv.Name, Pool: pool.Name, DC: dc, Checks: sv.Checks, Slots: sv.Slots, Connections: sv.Connections, Args: args,
			})
		}
	}
	return p
}

func (s *Settings) servers(n int) int { return max(1, int(math.Ceil(s.Scale*float64(n)-1e-9))) }

// start runs the system and waits until each kind of work is served through each instance.
func (s *Settings) start(tb testing.TB, p system.Plan, routes string) *system.System {
	tb.Helper()
	r := system.New(tb, p)
	for _, in := range p.Instances {
		r.Start(in.Name)
	}
	r.Publish(routes)
	for i, in := range p.Instances {
		for _, k := range load.Kinds(s.Profile) {
			for key := range s.probes(i, k) {
				path := fmt.Sprint(k.Path, key)
				r.Await(path+" is served through "+in.Name, patience, func() bool {
					return r.Call(in.Name, system.Call{Path: path}).Status == 200
				})
			}
		}
	}
	return r
}

// patience bounds the start, which takes a few seconds.
const patience = 60 * time.Second

// probes returns how many keys of a kind to look up before the run: enough for each server to be warm.
func (s *Settings) probes(instance int, k load.Kind) int {
	switch {
	case k.Method != "GET":
		return 0
	case instance == 0:
		return 100
	}
	return 10
}
