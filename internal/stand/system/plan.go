package system

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/goccy/go-json"
)

// Plan is the platform and the fleet of a test.
type Plan struct {
	Regions   []Region
	Instances []Instance
	Pools     []Pool
	Servers   []Server
	LogArgs   []string // arguments of standin log
	ListArgs  []string // arguments of standin list
	// PairProxies puts a proxy of its own between each instance and each server and other instance, and names it in the
	// setting "proxies". Without it all instances share one proxy before each server and each peer listener.
	PairProxies bool
	Settings    map[string]any // additional settings of all instances
}

// Region is a region in the pool table.
type Region struct {
	Name string   `json:"name"`
	DCs  []string `json:"dcs"`
}

// Instance is one entry instance. Settings come on top of those of the plan.
type Instance struct {
	Name, DC, Region string
	Settings         map[string]any
}

// Pool is a pool in the pool table. Cutoff is "stay" or {"yield": "20s"}.
type Pool struct {
	Name   string
	Keyed  bool
	Slots  int
	Cutoff any
	Remote bool
}

// Server is one backend server. Slots and Connections are 3 and 130 if 0.
type Server struct {
	Name, Pool, DC string
	Checks         bool
	Leaving        bool // in the pool table
	Slots          int
	Connections    int
	Args           []string // further arguments of standin server
}

const (
	defaultSlots       = 3
	defaultConnections = 130
)

func (p *Plan) findPool(name string) (Pool, error) {
	i := slices.IndexFunc(p.Pools, func(q Pool) bool { return q.Name == name })
	if i < 0 {
		return Pool{}, fmt.Errorf("the plan has no pool %q", name)
	}
	return p.Pools[i], nil
}

func (s *Server) setDefaults() {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Connections == 0 {
		s.Connections = defaultConnections
	}
}

// poolTable returns the pool table of the plan. Address tells how a server is reached.
func (p *Plan) poolTable(lost []string, address func(name string) netip.AddrPort) ([]byte, error) {
	type object = map[string]any
	pools := []object{}
	for _, pool := range p.Pools {
		servers := []object{}
		for _, s := range p.Servers {
			if s.Pool != pool.Name {
				continue
			}
			s.setDefaults()
			servers = append(servers, object{
				"name": s.Name, "address": address(s.Name).String(), "dc": s.DC, "slots": s.Slots,
				"connections": s.Connections, "checks": s.Checks, "leaving": s.Leaving,
			})
		}
		entry := object{"name": pool.Name, "keyed": pool.Keyed, "servers": servers}
		if pool.Keyed {
			entry["slots"] = pool.Slots
		}
		if pool.Cutoff != nil {
			entry["cutoff"] = pool.Cutoff
		}
		if pool.Remote {
			entry["remote"] = true
		}
		pools = append(pools, entry)
	}
	if lost == nil {
		lost = []string{}
	}
	return json.MarshalIndent(object{"regions": p.Regions, "lost": lost, "pools": pools}, "", "  ")
}
