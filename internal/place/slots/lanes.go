package slots

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fleet"
	"github.com/bramleycove/bramleycove/internal/place/lanes"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// maxLaneServers is the largest number of servers in a lane of an unkeyed pool.
const maxLaneServers = 16

// Arrange processes all pools: it moves slots, sets what each server may serve, and updates the lanes. pools holds the
// state of the keyed pools; missing ones are added. It returns how many slots are being moved, and how many moves are
// not in the log.
func (c *Pass) Arrange(pools map[string]*Pool) (moves, unlogged int) {
	var specs []lanes.Spec
	var owners []*peerpb.Owner
	for i := range c.Tables.Pools {
		t := &c.Tables.Pools[i]
		if !t.Keyed {
			specs = append(specs, c.unkeyedLanes(t)...)
			continue
		}
		p := pools[t.Name]
		if p == nil {
			p = NewPool()
			pools[t.Name] = p
		}
		c.arrangePool(p, t)
		moves += len(p.moves)
		unlogged += len(p.unlogged)
		specs = append(specs, c.keyedLanes(t, p)...)
		owners = append(owners, p.unloggedOwners(t.Name)...)
	}
	c.Lanes.SetOwners(owners)
	c.Lanes.Update(specs)
	c.Lanes.Elect(c.Now, c.EarlierLapsed)
	return moves, unlogged
}

// ClearHomes makes the next pass recompute the homes, after a change of the tables.
func (p *Pool) ClearHomes() { p.homes = nil }

// SetServerLoad records a server's requests in progress and queued, as reported at now.
func (p *Pool) SetServerLoad(now time.Time, server string, requests float64) {
	p.serverLoads[server] = loadReport{requests, now}
}

// SetSlotLoad records the request rate of a slot, as reported at now.
func (p *Pool) SetSlotLoad(now time.Time, slot uint32, value float64) {
	p.slotLoads[slot] = loadReport{value, now}
}

func (p *Pool) unloggedOwners(n string) []*peerpb.Owner {
	var out []*peerpb.Owner
	for _, i := range slices.Sorted(maps.Keys(p.unlogged)) {
		o := p.unlogged[i]
		if k := len(out) - 1; k >= 0 && out[k].Last+1 == i && out[k].Server == o.Owner && out[k].Token == o.Token {
			out[k].Last = i
			continue
		}
		out = append(out, &peerpb.Owner{Pool: n, First: i, Last: i, Server: o.Owner, Token: o.Token})
	}
	return out
}

// keyedLanes returns one lane for each server, with the slots that the server may serve now.
func (c *Pass) keyedLanes(t *tables.Pool, p *Pool) []lanes.Spec {
	var out []lanes.Spec
	for i := range t.Servers {
		s := c.Fleet.Server(t.Servers[i].Name)
		if s == nil {
			continue
		}
		spec := lanes.Spec{Name: laneName(t.Name, s.Name), Pool: t.Name, Keyed: true, Servers: []*peerpb.Server{s.ToProto()}}
		held := s.Granted
		if !s.Checks {
			held, spec.Linger = s.Servable, max(p.longestTimeout, time.Millisecond)
		}
		for _, r := range held {
			for i := r.First; i <= r.Last; i++ {
				if p.moves[i] == nil && fleet.Contains(s.Servable, i, r.Token) {
					spec.Slots = appendRange(spec.Slots, i, r.Token)
				}
			}
		}
		out = append(out, spec)
	}
	return out
}

func appendRange(list []*peerpb.Range, i uint32, token uint64) []*peerpb.Range {
	if n := len(list); n > 0 && list[n-1].Last+1 == i && list[n-1].Token == token {
		list[n-1].Last = i
		return list
	}
	return append(list, &peerpb.Range{First: i, Last: i, Token: token})
}

// unkeyedLanes returns lanes of at most maxLaneServers servers, of even size.
func (c *Pass) unkeyedLanes(t *tables.Pool) []lanes.Spec {
	var names []string
	for i := range t.Servers {
		if c.Fleet.Server(t.Servers[i].Name) != nil {
			names = append(names, t.Servers[i].Name)
		}
	}
	slices.Sort(names)
	count := (len(names) + maxLaneServers - 1) / maxLaneServers
	out := make([]lanes.Spec, count)
	for k := range out {
		out[k] = lanes.Spec{Name: fmt.Sprintf("%s/%s/%d", t.Name, c.DC, k), Pool: t.Name}
		for _, n := range names[k*len(names)/count : (k+1)*len(names)/count] {
			out[k].Servers = append(out[k].Servers, c.Fleet.Server(n).ToProto())
		}
	}
	return out
}
