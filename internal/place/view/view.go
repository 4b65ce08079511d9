// Package view holds an instance's view of the state that routing needs: the tables, the owners of slots and the
// dispatchers of lanes. Readers never block: each change replaces an immutable state.
package view

import (
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Reasons of refusals by Locate, as they appear in result.Error.
const (
	ReasonPool       = "unknown-pool"
	ReasonOwner      = "no-owner"
	ReasonDispatcher = "no-dispatcher"
	ReasonServers    = "no-servers"
)

// retryAfter is the time after which refused callers may retry while an owner, dispatcher or server is missing. A
// failover takes up to 5 s.
const retryAfter = 2 * time.Second

// maxFallbacks is the number of instances tried after the dispatcher of an unkeyed lane, and after the first
// instance of another data centre.
const maxFallbacks = 2

// Target says where a request goes. If DC is another data centre, Dispatcher is any instance there and Lane is empty,
// since only instances there know the lane.
type Target struct {
	Pool       string
	Keyed      bool
	Slot       uint32
	DC         string
	Server     string // owner, keyed pools only
	Token      uint64
	Lane       string
	Dispatcher netip.AddrPort
	Fallbacks  []netip.AddrPort
	Local      bool // this instance is the dispatcher
}

// View is the routing state of one instance. Its methods are safe for concurrent use.
type View struct {
	dc       string
	peerAddr netip.AddrPort

	mu    sync.Mutex // serialises changes
	state atomic.Pointer[state]
}

type state struct {
	tables         *tables.Tables
	pools          map[string]*pool
	slots          map[string][]fold.Slot
	unlogged       []*peerpb.Owner
	dispatchers    map[string]netip.AddrPort   // dispatcher by lane name
	memberAddrs    []netip.AddrPort            // peers of the own data centre
	leavingServers map[string]bool             // servers that the platform's list shows as leaving
	peersByDC      map[string][]netip.AddrPort // listed instances by data centre; leaving ones only if all are leaving
	meteredDCs     map[string]bool             // data centres of other regions
	changed        chan struct{}               // closed when a newer state is in force
}

// pool is the data of one pool that Locate needs, computed once for each state.
type pool struct {
	*tables.Pool
	slots     []fold.Slot
	unlogged  map[uint32]fold.Slot // slots moved without the log
	servingDC string               // data centre that serves the unkeyed pool for this instance, empty if none
	lanes     []Lane               // lanes of an unkeyed pool in servingDC

	laneTargets map[string]Target // by lane, for the lanes of the own data centre
}

// New returns an empty view for an instance of dc whose peer listener has the address self.
func New(dc string, self netip.AddrPort) *View {
	v := &View{dc: dc, peerAddr: self}
	v.state.Store(&state{changed: make(chan struct{})})
	return v
}

// DC returns the data centre of the instance.
func (v *View) DC() string { return v.dc }

// PeerAddr returns the address of the instance's peer listener.
func (v *View) PeerAddr() netip.AddrPort { return v.peerAddr }

// Tables returns the tables in force, nil before the first.
func (v *View) Tables() *tables.Tables { return v.state.Load().tables }

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} { return v.state.Load().changed }

// update replaces the state by a changed copy.
func (v *View) update(change func(*state)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.state.Load()
	next := *old
	next.changed = make(chan struct{})
	change(&next)
	v.buildPools(&next)
	v.state.Store(&next)
	close(old.changed)
}

// SetTables sets the tables in force. t must not be changed afterwards.
func (v *View) SetTables(t *tables.Tables) {
	v.update(func(s *state) { s.tables = t })
}

// SetSlots sets the recorded assignment of a pool's slots. slots must not be changed afterwards.
func (v *View) SetSlots(name string, slots []fold.Slot) {
	if sameMemory(v.state.Load().slots[name], slots) {
		// Each record of the place stream comes with the slots of all pools and changes those of one.
		return
	}
	v.update(func(s *state) {
		next := make(map[string][]fold.Slot, len(s.slots)+1)
		for k, old := range s.slots {
			next[k] = old
		}
		next[name] = slots
		s.slots = next
	})
}

// sameMemory reports whether a and b share their memory. They are equal then, since their elements never change.
func sameMemory(a, b []fold.Slot) bool { return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) }

// SetMembers sets the live instances of the own data centre with the lanes that they dispatch, and the slots that were
// moved without the log. An entry counts when its token is higher than the recorded one.
func (v *View) SetMembers(members []*peerpb.Member, owners []*peerpb.Owner) {
	lanes := make(map[string]netip.AddrPort)
	var addrs []netip.AddrPort
	for _, m := range members {
		addr, err := netip.ParseAddrPort(m.GetPeer())
		if err != nil {
			continue
		}
		addrs = append(addrs, addr)
		for _, name := range m.GetLanes() {
			lanes[name] = addr
		}
	}
	v.update(func(s *state) { s.memberAddrs, s.dispatchers, s.unlogged = addrs, lanes, owners })
}

// SetList sets the platform's list of instances and servers.
func (v *View) SetList(l roster.List) {
	peers := make(map[string][]netip.AddrPort)
	leaving := make(map[string][]netip.AddrPort)
	for _, in := range l.Instances {
		if in.Leaving {
			leaving[in.DC] = append(leaving[in.DC], in.Peer)
			continue
		}
		peers[in.DC] = append(peers[in.DC], in.Peer)
	}
	for dc, addrs := range leaving {
		if len(peers[dc]) == 0 {
			peers[dc] = addrs
		}
	}
	servers := make(map[string]bool)
	for _, sv := range l.Servers {
		if sv.Leaving {
			servers[sv.Name] = true
		}
	}
	v.update(func(s *state) { s.peersByDC, s.leavingServers = peers, servers })
}

func (v *View) buildPools(s *state) {
	s.pools = make(map[string]*pool)
	if s.tables == nil {
		return
	}
	s.meteredDCs = meteredDCs(s.tables, v.dc)
	for i := range s.tables.Pools {
		t := &s.tables.Pools[i]
		p := &pool{Pool: t, slots: s.slots[t.Name]}
		if t.Keyed {
			p.unlogged = unloggedMoves(t.Name, p.slots, s.unlogged, v.dc)
		} else {
			p.servingDC = servingDC(s.tables, t, v.dc, s.peersByDC)
			p.lanes = SplitLanes(t, p.servingDC)
			p.laneTargets = make(map[string]Target, len(p.lanes))
			for _, c := range p.lanes {
				p.laneTargets[c.Name] = v.laneTarget(s, p, c.Name)
			}
		}
		s.pools[t.Name] = p
	}
}

func unloggedMoves(name string, slots []fold.Slot, owners []*peerpb.Owner, dc string) map[uint32]fold.Slot {
	out := make(map[uint32]fold.Slot)
	for _, o := range owners {
		if o.GetPool() != name {
			continue
		}
		for i := o.GetFirst(); i <= o.GetLast() && int(i) < len(slots); i++ {
			if o.GetToken() > slots[i].Token {
				out[i] = fold.Slot{DC: dc, Owner: o.GetServer(), Token: o.GetToken()}
			}
		}
	}
	return out
}

// Locate returns the target of a request. key is the request's key for a keyed pool and its id for an unkeyed one.
// Errors are *result.Error with the verdict NotRun.
func (v *View) Locate(name, key string) (Target, error) {
	s := v.state.Load()
	p := s.pools[name]
	if p == nil {
		return Target{}, &result.Error{Verdict: result.NotRun, Status: 404, Reason: ReasonPool}
	}
	if p.Keyed {
		n := uint64(p.slotCount())
		if n == 0 {
			return Target{}, work.NewRefusal(ReasonOwner, retryAfter)
		}
		return v.locateKeyed(s, p, uint32(xxhash.Sum64String(key)%n), key)
	}
	return v.locateUnkeyed(s, p, key)
}

// slotCount returns the number of slots: the recorded one if there is one, since later tables cannot change it.
func (p *pool) slotCount() int {
	if len(p.slots) > 0 {
		return len(p.slots)
	}
	return int(p.Slots)
}

func (v *View) locateKeyed(s *state, p *pool, slot uint32, key string) (Target, error) {
	t := Target{Pool: p.Name, Keyed: true, Slot: slot}
	a, ok := p.unlogged[slot]
	if !ok && int(slot) < len(p.slots) {
		a = p.slots[slot]
	}
	if a.DC == "" || (a.Owner == "" && a.DC == v.dc) {
		return t, work.NewRefusal(ReasonOwner, retryAfter)
	}
	t.DC, t.Server, t.Token = a.DC, a.Owner, a.Token
	if t.DC != v.dc {
		return v.locateRemote(s, t, key)
	}
	t.Lane = p.Name + "/" + a.Owner
	if t.Dispatcher, ok = s.dispatchers[t.Lane]; !ok {
		return t, work.NewRefusal(ReasonDispatcher, retryAfter)
	}
	t.Local = t.Dispatcher == v.peerAddr
	return t, nil
}

// locateRemote picks instances of another data centre. Any of them can take the request; the key spreads the load.
func (v *View) locateRemote(s *state, t Target, key string) (Target, error) {
	peers := s.peersByDC[t.DC]
	n := min(len(peers), maxFallbacks+1)
	if n == 0 {
		return t, work.NewRefusal(ReasonDispatcher, retryAfter)
	}
	first := int(xxhash.Sum64String(key) >> 32 % uint64(len(peers)))
	order := make([]netip.AddrPort, n)
	for i := range order {
		order[i] = peers[(first+i)%len(peers)]
	}
	t.Dispatcher, t.Fallbacks = order[0], order[1:]
	return t, nil
}

func (v *View) locateUnkeyed(s *state, p *pool, id string) (Target, error) {
	if p.servingDC == "" {
		return Target{Pool: p.Name}, work.NewRefusal(ReasonServers, retryAfter)
	}
	if p.servingDC != v.dc {
		return v.locateRemote(s, Target{Pool: p.Name, DC: p.servingDC}, id)
	}
	return p.laneTargets[pickLane(p.lanes, id)], nil
}

// LocateElsewhere returns a target in another data centre for a request to an unkeyed pool whose local servers cannot take
// it. ok is false if the pool does not permit that or no other data centre serves it.
func (v *View) LocateElsewhere(name, id string) (t Target, ok bool) {
	s := v.state.Load()
	p := s.pools[name]
	if p == nil || p.Keyed || !p.Remote || p.servingDC != v.dc {
		return t, false
	}
	dc := otherDC(s.tables, p.Pool, v.dc, s.peersByDC)
	if dc == "" {
		return t, false
	}
	t, err := v.locateRemote(s, Target{Pool: name, DC: dc}, id)
	return t, err == nil
}

// laneTarget returns the target of a lane of an unkeyed pool in the own data centre.
func (v *View) laneTarget(s *state, p *pool, lane string) Target {
	order := rankByHash(s.memberAddrs, lane, maxFallbacks+1)
	holder, ok := s.dispatchers[lane]
	if !ok {
		if len(order) == 0 {
			order = []netip.AddrPort{v.peerAddr}
		}
		holder = order[0]
	}
	order = slices.DeleteFunc(order, func(a netip.AddrPort) bool { return a == holder })
	return Target{
		Pool: p.Name, DC: p.servingDC, Lane: lane, Dispatcher: holder, Fallbacks: order[:min(len(order), maxFallbacks)],
		Local: holder == v.peerAddr,
	}
}

// IsLeaving reports whether the platform's list shows the server as leaving.
func (v *View) IsLeaving(server string) bool { return v.state.Load().leavingServers[server] }

// IsMetered reports whether traffic to dc crosses the link between regions.
func (v *View) IsMetered(dc string) bool { return v.state.Load().meteredDCs[dc] }

// LaneServers returns the servers of a lane of an unkeyed pool in the own data centre by the tables in force, nil if
// there is no such lane. Fallback instances use it, since the controller does not tell them about the lane.
func (v *View) LaneServers(lane string) []tables.Server {
	name, _, _ := strings.Cut(lane, "/")
	p := v.state.Load().pools[name]
	if p == nil || p.servingDC != v.dc {
		return nil
	}
	for _, c := range p.lanes {
		if c.Name == lane {
			return c.Servers
		}
	}
	return nil
}
