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

// simulation runs cores, servers and a log in invented time, one step every tick.
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
	rng             *rand.Rand // nil: messages arrive at once
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
	unreachable  map[string]bool // servers and instances that it can't reach
	cutFromLog   bool            // reaches neither the log nor other data centres
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
	w := &simulation{t: t, now: time.Unix(1000, 0), servers: make(map[string]*server)}
	pool := tables.Pool{Name: "p", Keyed: true, Slots: slotCount, Yield: yield}
	for _, dc := range dcs {
		for i := range servers {
			n := fmt.Sprintf("%s-s%d", dc, i)
			pool.Servers = append(pool.Servers, tables.Server{Name: n, DC: dc, Slots: 3, Checks: true})
			w.servers[n] = &server{dc: dc, incarnation: uint64(len(w.servers) + 1), highestTokens: make(map[uint32]uint64)}
		}
		for i := range instances {
			n := fmt.Sprintf("%s-i%d", dc, i)
			w.list.Instances = append(w.list.Instances, roster.Instance{
				Name: n, DC: dc, Peer: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+len(w.list.Instances))),
			})
		}
	}
	w.tables = &tables.Tables{Pools: []tables.Pool{pool}}
	for k := range w.list.Instances {
		w.instances = append(w.instances, nil)
		w.startInstance(k)
	}
	w.publish()
	return w
}

// startInstance starts the instance of that index as a new process.
func (w *simulation) startInstance(k int) {
	l := w.list.Instances[k]
	i := &instance{name: l.Name, id: fmt.Sprintf("%s/%d", l.Name, w.now.UnixMilli()), dc: l.DC, peer: l.Peer, unreachable: make(map[string]bool)}
	i.core = ctrl.New(ctrl.Config{ID: i.id, DC: i.dc, PeerAddr: i.peer, StartedAt: w.now, RemoteContact: func(dc string) time.Time {
		if i.cutFromLog || w.isDCCutOff(dc) {
			return time.Time{}
		}
		return w.now
	}})
	i.core.SetTables(w.tables, w.lostDCs)
	i.core.SetList(w.list)
	w.instances[k] = i
}

func (w *simulation) publish() {
	for _, i := range w.instances {
		i.core.SetTables(w.tables, w.lostDCs)
		i.core.SetList(w.list)
	}
}

func (w *simulation) isDCCutOff(dc string) bool {
	return !slices.ContainsFunc(w.instances, func(i *instance) bool { return i.dc == dc && !i.cutFromLog && !i.dead })
}

// step advances the world by one tick and checks that no slot is held twice.
func (w *simulation) step() {
	w.now = w.now.Add(tick)
	due := w.delayed
	w.delayed = nil
	for _, l := range due {
		if w.now.Before(l.dueAt) {
			w.delayed = append(w.delayed, l)
		} else {
			l.run()
		}
	}
	for _, i := range w.instances {
		if i.dead || i.frozen {
			continue
		}
		if !w.logDown && !i.cutFromLog {
			for n := int(i.placement.Offset()); n < len(w.log); n++ {
				i.placement.Apply(uint64(n+1), w.log[n])
			}
			i.logContact = w.now
		}
		for _, a := range i.core.Step(w.now, &i.placement, i.logContact) {
			w.perform(i, a)
		}
		if w.now.UnixMilli()%300 == 0 {
			w.sendHeartbeat(i)
		}
	}
	w.checkExclusive()
}

func (w *simulation) perform(i *instance, a ctrl.Action) {
	switch {
	case a.Event != nil && w.t == nil:
	case a.Event != nil:
		w.t.Log(w.now.Sub(time.Unix(1000, 0)), i.name, a.Event.Name, a.Event.Fields)
	case a.Append != nil:
		if !w.logDown && !i.cutFromLog {
			w.deliver(func() {
				w.log = append(w.log, a.Append.Record)
				if offset := uint64(len(w.log)); !w.losesMessage() {
					w.deliver(func() { i.core.HandleAppendResult(a.Append.Tag, offset, false) })
				}
			})
		}
	case a.Grant != nil:
		w.sendGrant(i, a.Grant)
	case a.Fence != nil:
		r := a.Fence.Request
		for _, o := range w.instances {
			if o.peer == a.Fence.PeerAddr && !o.dead && !o.frozen && !i.unreachable[o.name] && !w.losesMessage() {
				p := lease.Pair{Term: r.Term, Epoch: r.Epoch}
				ok := p.Term != 0 && o.witness.Offer(p)
				if ok {
					o.core.ObserveHolder(w.now, p, true, false)
				}
				high := o.witness.Highest()
				i.core.HandleFenceReply(w.now, w.now, o.name, p, &peerpb.FenceReply{
					Instance: o.id, Accepted: ok, Term: high.Term, Epoch: high.Epoch,
				})
			}
		}
	}
}

// deliver does something at once, or later when messages are delayed: mostly soon, sometimes after seconds.
func (w *simulation) deliver(do func()) {
	if w.rng == nil {
		do()
		return
	}
	d := w.rng.IntN(30)
	if w.rng.IntN(20) == 0 {
		d = w.rng.IntN(2500)
	}
	w.delayed = append(w.delayed, delayedAction{w.now.Add(time.Duration(d) * time.Millisecond), do})
}

func (w *simulation) losesMessage() bool { return w.rng != nil && w.rng.IntN(30) == 0 }

// sendGrant delivers a grant. The call ends without an answer after an interval, but the grant may arrive later.
func (w *simulation) sendGrant(i *instance, g *fleet.Call) {
	s, open := w.servers[g.Server], true
	w.delayed = append(w.delayed, delayedAction{w.now.Add(lease.Interval), func() {
		if open {
			open = false
			i.core.HandleGrantReply(w.now, g.Server, g.ID, grants.Reply{}, errors.New("no answer"))
		}
	}})
	if i.unreachable[g.Server] || w.losesMessage() {
		return
	}
	w.deliver(func() {
		if s.dead {
			return
		}
		rep := s.handleGrant(w.now, g.Grant)
		w.grantsDelivered++
		w.deliver(func() {
			if open && !i.frozen {
				open = false
				i.core.HandleGrantReply(w.now, g.Server, g.ID, rep, nil)
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
func (w *simulation) sendHeartbeat(i *instance) {
	var to *instance
	for _, o := range w.instances {
		if o.dc == i.dc && !o.dead && !o.frozen && o.core.IsController() && (to == nil || o.core.Pair.Compare(to.core.Pair) > 0) {
			to = o
		}
	}
	if to == nil || i.unreachable[to.name] || w.losesMessage() {
		return
	}
	high := i.witness.Highest()
	req := &peerpb.HeartbeatRequest{Instance: i.id, Dc: i.dc, Peer: i.peer.String(), Term: high.Term, Epoch: high.Epoch}
	if high == (lease.Pair{Term: i.lastReply.Term, Epoch: i.lastReply.Epoch}) {
		req.Echo, req.Known = i.lastReply.Nonce, i.lastReply.View
	}
	rep := to.core.HandleHeartbeat(w.now, req)
	p := lease.Pair{Term: rep.Term, Epoch: rep.Epoch}
	if rep.Nonce != 0 && i.witness.Offer(p) {
		i.lastReply.Term, i.lastReply.Epoch, i.lastReply.Nonce, i.lastReply.View = rep.Term, rep.Epoch, rep.Nonce, rep.View
		i.core.ObserveHolder(w.now, p, rep.Accepted, false)
	}
}

func (w *simulation) checkExclusive() (held int) {
	owner := make(map[uint32]string)
	for n, s := range w.servers {
		if s.readClock(w.now) >= s.validUntil {
			continue
		}
		for _, r := range s.held {
			for i := r.First; i <= r.Last; i++ {
				if o := owner[i]; o != "" {
					w.t.Fatalf("seed %d, %v: slot %d is held by %s and %s", w.seed, w.now.Sub(time.Unix(1000, 0)), i, o, n)
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

// waitUntilServed steps until all slots are held by live servers and ok holds, at most limit.
func (w *simulation) waitUntilServed(limit time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for w.now.Sub(start) < limit {
		w.step()
		if w.checkExclusive() == slotCount && ok() {
			return w.now.Sub(start)
		}
	}
	w.t.Fatalf("seed %d: not reached within %v: %d of %d slots held", w.seed, limit, w.checkExclusive(), slotCount)
	return 0
}

// measureOutage runs for d and returns when, counted from now, a slot was last held by no live server.
func (w *simulation) measureOutage(d time.Duration) (last time.Duration) {
	for start := w.now; w.now.Sub(start) < d; {
		w.step()
		if n := w.checkExclusive(); n < slotCount {
			w.t.Log(w.now.Sub(time.Unix(1000, 0)), n)
			last = w.now.Sub(start)
		}
	}
	return last
}

// heldInDC returns how many slots live servers of a data centre hold.
func (w *simulation) heldInDC(dc string) (held int) {
	for _, s := range w.servers {
		for _, r := range s.held {
			if s.dc == dc && !s.dead && s.readClock(w.now) < s.validUntil {
				held += int(r.Last-r.First) + 1
			}
		}
	}
	return held
}

func (w *simulation) runFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *simulation) controller(dc string) *instance {
	for _, i := range w.instances {
		if i.dc == dc && !i.dead && !i.frozen && i.core.State == ctrl.Serving && w.now.Before(i.core.AuthorityUntil) {
			return i
		}
	}
	return nil
}
