package view

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

// MaxLaneServers is the largest number of servers in a lane of an unkeyed pool.
const MaxLaneServers = 16

// Lane is a group of servers of an unkeyed pool that share a dispatcher.
type Lane struct {
	Name    string
	Servers []tables.Server
}

// SplitLanes returns the lanes of an unkeyed pool in dc: its servers there, sorted by name, in lanes of even size with at
// most MaxLaneServers each. The controller uses the same rule, so that fallback instances know the servers of a lane.
func SplitLanes(p *tables.Pool, dc string) []Lane {
	var servers []tables.Server
	for _, s := range p.Servers {
		if s.DC == dc {
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b tables.Server) int { return cmp.Compare(a.Name, b.Name) })
	n := len(servers)
	out := make([]Lane, (n+MaxLaneServers-1)/MaxLaneServers)
	for k := range out {
		out[k] = Lane{
			Name:    p.Name + "/" + dc + "/" + strconv.Itoa(k),
			Servers: servers[k*n/len(out) : (k+1)*n/len(out)],
		}
	}
	return out
}

// servingDC returns the data centre that serves an unkeyed pool for instances of dc: the own one if it has servers,
// else another one if the pool permits it.
func servingDC(t *tables.Tables, p *tables.Pool, dc string, peers map[string][]netip.AddrPort) string {
	switch {
	case hasServers(p, dc):
		return dc
	case p.Remote:
		return otherDC(t, p, dc, peers)
	default:
		return ""
	}
}

func meteredDCs(t *tables.Tables, dc string) map[string]bool {
	out := make(map[string]bool)
	for _, r := range t.Regions {
		if !slices.Contains(r.DCs, dc) {
			for _, name := range r.DCs {
				out[name] = true
			}
		}
	}
	return out
}

// hasServers reports whether the pool has servers in dc that are not leaving by the tables.
func hasServers(p *tables.Pool, dc string) bool {
	return slices.ContainsFunc(p.Servers, func(s tables.Server) bool { return s.DC == dc && !s.Leaving })
}

// otherDC returns another data centre with servers of the pool and instances, in the region of dc if possible.
func otherDC(t *tables.Tables, p *tables.Pool, dc string, peers map[string][]netip.AddrPort) string {
	var near, far string
	for _, r := range t.Regions {
		own := slices.Contains(r.DCs, dc)
		for _, name := range r.DCs {
			if name == dc || !hasServers(p, name) || len(peers[name]) == 0 {
				continue
			}
			if own && near == "" {
				near = name
			}
			if far == "" {
				far = name
			}
		}
	}
	return cmp.Or(near, far)
}

// pickLane chooses a lane for a request id by weighted rendezvous hashing; the weights are the numbers of servers.
func pickLane(lanes []Lane, id string) string {
	if len(lanes) == 1 {
		return lanes[0].Name
	}
	best, name := math.Inf(-1), ""
	for _, c := range lanes {
		if score := -float64(len(c.Servers)) / math.Log(unitHash(c.Name, id)); score > best {
			best, name = score, c.Name
		}
	}
	return name
}

// unitHash returns a number in the open interval (0, 1).
func unitHash(a, b string) float64 {
	return (float64(hash(a, b)>>11) + 0.5) / (1 << 53)
}

func hash(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}

// rankByHash returns up to n addresses in rendezvous order: by their hash with key, highest first.
func rankByHash(addrs []netip.AddrPort, key string, n int) []netip.AddrPort {
	type scored struct {
		addr  netip.AddrPort
		score uint64
	}
	all := make([]scored, len(addrs))
	for i, a := range addrs {
		all[i] = scored{a, hash(a.String(), key)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]netip.AddrPort, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.addr)
	}
	return out
}
