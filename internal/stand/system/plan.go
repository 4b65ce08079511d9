package system

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/goccy/go-json"
)

// Plan describes the system under test.
type Plan struct {
	Regions   []Region
	Instances []Instance
	Pools     []Pool
	Servers   []Server
	LogArgs   []string // further arguments of "standin log"
	ListArgs  []string // further arguments of "standin list"
	// PairProxies gives each instance a separate proxy to each server and each other instance, named in the setting
	// "proxies". Otherwise all instances share one proxy for each server and each peer listener.
	PairProxies bool
	Settings    map[string]any // settings for all instances
}

// Region is a region of the pool table.
type Region struct {
	Name string   `json:"name"`
	DCs  []string `json:"dcs"`
}

// Instance is one instance of the router. Its Settings override those of the plan.
type Instance struct {
	Name, DC, Region string
	Settings         map[string]any
}

// Pool is a pool of the pool table. Cutoff is "stay" or {"yield": "20s"}.
type Pool struct {
	Name   string
	Keyed  bool
	Slots  int
	Cutoff any
	Remote bool
}

// Server is one backend server. If 0, Slots means 3 and Connections 130.
type Server struct {
	Name, Pool, DC string
	Checks         bool // accepts grants, and checks tokens if the pool is keyed
	Leaving        bool // in the pool table
	Slots          int
	Connections    int
	Args           []string // further arguments of "standin server"
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

// poolTable returns the pool table of the plan as JSON, with server addresses from address.
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
