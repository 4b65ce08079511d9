package ctrl_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/fleet"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const slotCount = 48

// simulation runs cores, servers and a log in simulated time, one step every tick.
type simulation struct {
	t               *testing.T
	now             time.Time
	instances       []*instance
	servers         map[string]*server
	log             []*record.Record
	logDown         bool
	delayed         []delayedAction
	tables          *tables.Tables
	list            roster.List
	lostDCs         []string
	rng             *rand.Rand // nil: all messages arrive, at once
	grantsDelivered int
	seed            uint64
}

type delayedAction struct {
	dueAt time.Time
	run   func()
}

type instance struct {
	name, id, dc string
	peer         netip.AddrPort
	core         *ctrl.Core
	placement    fold.Placement
	witness      lease.Witness
	dead, frozen bool
	unreachable  map[string]bool // servers and instances, by name
	cutFromLog   bool            // and from the other data centres
	logContact   time.Time
	lastReply    peerpb.HeartbeatReply
}

type server struct {
	dc            string
	dead          bool
	leaving       bool
	pair          lease.Pair
	held          []grants.Range
	validUntil    uint64
	incarnation   uint64
	highestTokens map[uint32]uint64
}

const tick = 10 * time.Millisecond

// newSimulation starts instances and servers in each data centre.
func newSimulation(t *testing.T, dcs []string, instances, servers int, yield time.Duration) *simulation {
	sim := &simulation{t: t, now: time.Unix(1000, 0), servers: make(map[string]*server)}
	pool := tables.Pool{Name: "p", Keyed: true, Slots: slotCount, Yield: yield}
	for _, dc := range dcs {
		for i := range servers {
			n := fmt.Sprintf("%s-s%d", dc, i)
			pool.Servers = append(pool.Servers, tables.Server{Name: n, DC: dc, Slots: 3, Checks: true})
			sim.servers[n] = &server{dc: dc, incarnation: uint64(len(sim.servers) + 1), highestTokens: make(map[uint32]uint64)}
		}
		for i := range instances {
			n := fmt.Sprintf("%s-i%d", dc, i)
			sim.list.Instances = append(sim.list.Instances, roster.Instance{
				Name: n, DC: dc, Peer: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+len(sim.list.Instances))),
			})
		}
	}
	sim.tables = &tables.Tables{Pools: []tables.Pool{pool}}
	for index := range sim.list.Instances {
		sim.instances = append(sim.instances, nil)
		sim.startInstance(index)
	}
	sim.publish()
	return sim
}

// startInstance starts the instance with that index in the list as a new process.
func (sim *simulation) startInstance(index int) {
	listed := sim.list.Instances[index]
	i := &instance{name: listed.Name, id: fmt.Sprintf("%s/%d", listed.Name, sim.now.UnixMilli()), dc: listed.DC, peer: listed.Peer, unreachable: make(map[string]bool)}
	i.core = ctrl.New(ctrl.Config{ID: i.id, DC: i.dc, PeerAddr: i.peer, StartedAt: sim.now, RemoteContact: func(dc string) time.Time {
		if i.cutFromLog || sim.isDCCutOff(dc) {
			return time.Time{}
		}
		return sim.now
	}})
	i.core.SetTables(sim.tables, sim.lostDCs)
	i.core.SetList(sim.list)
	sim.instances[index] = i
}

func (sim *simulation) publish() {
	for _, i := range sim.instances {
		i.core.SetTables(sim.tables, sim.lostDCs)
		i.core.SetList(sim.list)
	}
}

func (sim *simulation) isDCCutOff(dc string) bool {
	return !slices.ContainsFunc(sim.instances, func(i *instance) bool { return i.dc == dc && !i.cutFromLog && !i.dead })
}

// step advances the simulation by one tick and checks that no slot is held twice.
func (sim *simulation) step() {
	sim.now = sim.now.Add(tick)
	due := sim.delayed
	sim.delayed = nil
	for _, action := range due {
		if sim.now.Before(action.dueAt) {
			sim.delayed = append(sim.delayed, action)
		} else {
			action.run()
		}
	}
	for _, i := range sim.instances {
		if i.dead || i.frozen {
			continue
		}
		if !sim.logDown && !i.cutFromLog {
			for n := int(i.placement.Offset()); n < len(sim.log); n++ {
				i.placement.Apply(uint64(n+1), sim.log[n])
			}
			i.logContact = sim.now
		}
		for _, a := range i.core.Step(sim.now, &i.placement, i.logContact) {
			sim.perform(i, a)
		}
		if sim.now.UnixMilli()%300 == 0 {
			sim.sendHeartbeat(i)
		}
	}
	sim.checkExclusive()
}

func (sim *simulation) perform(i *instance, a ctrl.Action) {
	switch {
	case a.Event != nil && sim.t == nil:
	case a.Event != nil:
		sim.t.Log(sim.now.Sub(time.Unix(1000, 0)), i.name, a.Event.Name, a.Event.Fields)
	case a.Append != nil:
		if !sim.logDown && !i.cutFromLog {
			sim.deliver(func() {
				sim.log = append(sim.log, a.Append.Record)
				if offset := uint64(len(sim.log)); !sim.losesMessage() {
					sim.deliver(func() { i.core.HandleAppendResult(a.Append.Tag, offset, false) })
				}
			})
		}
	case a.Grant != nil:
		sim.sendGrant(i, a.Grant)
	case a.Fence != nil:
		r := a.Fence.Request
		for _, o := range sim.instances {
			if o.peer == a.Fence.PeerAddr && !o.dead && !o.frozen && !i.unreachable[o.name] && !sim.losesMessage() {
				p := lease.Pair{Term: r.Term, Epoch: r.Epoch}
				ok := p.Term != 0 && o.witness.Offer(p)
				if ok {
					o.core.ObserveHolder(sim.now, p, true, false)
				}
				high := o.witness.Highest()
				i.core.HandleFenceReply(sim.now, sim.now, o.name, p, &peerpb.FenceReply{
					Instance: o.id, Accepted: ok, Term: high.Term, Epoch: high.Epoch,
				})
			}
		}
	}
}

// deliver runs do at once or, if messages are delayed, after under 30 ms and sometimes up to 2.5 s.
func (sim *simulation) deliver(do func()) {
	if sim.rng == nil {
		do()
		return
	}
	d := sim.rng.IntN(30)
	if sim.rng.IntN(20) == 0 {
		d = sim.rng.IntN(2500)
	}
	sim.delayed = append(sim.delayed, delayedAction{sim.now.Add(time.Duration(d) * time.Millisecond), do})
}

func (sim *simulation) losesMessage() bool { return sim.rng != nil && sim.rng.IntN(30) == 0 }

// sendGrant sends a grant. The call times out after lease.Interval, but the grant may still arrive later.
func (sim *simulation) sendGrant(i *instance, g *fleet.Call) {
	s, open := sim.servers[g.Server], true
	sim.delayed = append(sim.delayed, delayedAction{sim.now.Add(lease.Interval), func() {
		if open {
			open = false
			i.core.HandleGrantReply(sim.now, g.Server, g.ID, grants.Reply{}, errors.New("no answer"))
		}
	}})
	if i.unreachable[g.Server] || sim.losesMessage() {
		return
	}
	sim.deliver(func() {
		if s.dead {
			return
		}
		rep := s.handleGrant(sim.now, g.Grant)
		sim.grantsDelivered++
		sim.deliver(func() {
			if open && !i.frozen {
				open = false
				i.core.HandleGrantReply(sim.now, g.Server, g.ID, rep, nil)
			}
		})
	})
}

func (s *server) readClock(now time.Time) uint64 {
	return uint64(now.Sub(time.Unix(0, 0))) + s.incarnation*1e9
}

func (s *server) handleGrant(now time.Time, g grants.Grant) grants.Reply {
	p := lease.Pair{Term: g.Term, Epoch: g.Epoch}
	ok := g.Incarnation == s.incarnation && p.Compare(s.pair) >= 0
	for _, r := range g.Slots {
		ok = ok && r.Token >= s.highestTokens[r.First]
	}
	if ok {
		s.pair, s.held, s.validUntil = p, g.Slots, g.Until
		for _, r := range g.Slots {
			for i := r.First; i <= r.Last; i++ {
				s.highestTokens[i] = r.Token
			}
		}
	}
	rep := grants.Reply{Incarnation: s.incarnation, Clock: s.readClock(now), Term: s.pair.Term, Epoch: s.pair.Epoch, Accepted: ok, Leaving: s.leaving}
	if s.readClock(now) < s.validUntil {
		rep.Held = s.held
	}
	return rep
}

// sendHeartbeat sends the heartbeat of an instance to the holder of the highest pair.
func (sim *simulation) sendHeartbeat(i *instance) {
	var holder *instance
	for _, o := range sim.instances {
		if o.dc == i.dc && !o.dead && !o.frozen && o.core.IsController() && (holder == nil || o.core.Pair.Compare(holder.core.Pair) > 0) {
			holder = o
		}
	}
	if holder == nil || i.unreachable[holder.name] || sim.losesMessage() {
		return
	}
	high := i.witness.Highest()
	req := &peerpb.HeartbeatRequest{Instance: i.id, Dc: i.dc, Peer: i.peer.String(), Term: high.Term, Epoch: high.Epoch}
	if high == (lease.Pair{Term: i.lastReply.Term, Epoch: i.lastReply.Epoch}) {
		req.Echo, req.Known = i.lastReply.Nonce, i.lastReply.View
	}
	rep := holder.core.HandleHeartbeat(sim.now, req)
	p := lease.Pair{Term: rep.Term, Epoch: rep.Epoch}
	if rep.Nonce != 0 && i.witness.Offer(p) {
		i.lastReply.Term, i.lastReply.Epoch, i.lastReply.Nonce, i.lastReply.View = rep.Term, rep.Epoch, rep.Nonce, rep.View
		i.core.ObserveHolder(sim.now, p, rep.Accepted, false)
	}
}

// checkExclusive fails the test if two servers hold one slot, and returns how many slots live servers hold.
func (sim *simulation) checkExclusive() (held int) {
	owner := make(map[uint32]string)
	for n, s := range sim.servers {
		if s.readClock(sim.now) >= s.validUntil {
			continue
		}
		for _, r := range s.held {
			for i := r.First; i <= r.Last; i++ {
				if o := owner[i]; o != "" {
					sim.t.Fatalf("seed %d, %v: slot %d is held by %s and %s", sim.seed, sim.now.Sub(time.Unix(1000, 0)), i, o, n)
				}
				owner[i] = n
				if !s.dead {
					held++
				}
			}
		}
	}
	return held
}

// waitUntilServed steps until live servers hold all slots and ok returns true, at most for limit.
func (sim *simulation) waitUntilServed(limit time.Duration, ok func() bool) time.Duration {
	sim.t.Helper()
	start := sim.now
	for sim.now.Sub(start) < limit {
		sim.step()
		if sim.checkExclusive() == slotCount && ok() {
			return sim.now.Sub(start)
		}
	}
	sim.t.Fatalf("seed %d: condition not met within %v: %d of %d slots held", sim.seed, limit, sim.checkExclusive(), slotCount)
	return 0
}

// measureOutage runs for d and returns the last time, from its start, at which some slot had no live server.
func (sim *simulation) measureOutage(d time.Duration) (last time.Duration) {
	for start := sim.now; sim.now.Sub(start) < d; {
		sim.step()
		if n := sim.checkExclusive(); n < slotCount {
			sim.t.Log(sim.now.Sub(time.Unix(1000, 0)), n)
			last = sim.now.Sub(start)
		}
	}
	return last
}

// heldInDC returns how many slots the live servers of a data centre hold.
func (sim *simulation) heldInDC(dc string) (held int) {
	for _, s := range sim.servers {
		for _, r := range s.held {
			if s.dc == dc && !s.dead && s.readClock(sim.now) < s.validUntil {
				held += int(r.Last-r.First) + 1
			}
		}
	}
	return held
}

func (sim *simulation) runFor(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.step()
	}
}

func (sim *simulation) controller(dc string) *instance {
	for _, i := range sim.instances {
		if i.dc == dc && !i.dead && !i.frozen && i.core.State == ctrl.Serving && sim.now.Before(i.core.AuthorityUntil) {
			return i
		}
	}
	return nil
}
