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

const slots = 48

// world runs cores, servers and a log in invented time, one step every tick.
type world struct {
	t       *testing.T
	now     time.Time
	insts   []*inst
	servers map[string]*server
	log     []*record.Record
	logDown bool
	later   []timed
	tables  *tables.Tables
	list    roster.List
	lost    []string
	rng     *rand.Rand // nil: messages arrive at once
	grants  int
	seed    uint64
}

type timed struct {
	at time.Time
	do func()
}

type inst struct {
	name, id, dc string
	peer         netip.AddrPort
	core         *ctrl.Core
	place        fold.Placement
	witness      lease.Witness
	dead, frozen bool
	cut          map[string]bool // servers and instances that it can't reach
	offlog       bool            // reaches neither the log nor other data centres
	contact      time.Time
	last         peerpb.HeartbeatReply
}

type server struct {
	dc    string
	dead  bool
	leave bool
	pair  lease.Pair
	held  []grants.Range
	until uint64
	inc   uint64
	seen  map[uint32]uint64
}

const tick = 10 * time.Millisecond

// newWorld starts instances and servers in each data centre.
func newWorld(t *testing.T, dcs []string, instances, servers int, yield time.Duration) *world {
	w := &world{t: t, now: time.Unix(1000, 0), servers: make(map[string]*server)}
	pool := tables.Pool{Name: "p", Keyed: true, Slots: slots, Yield: yield}
	for _, dc := range dcs {
		for i := range servers {
			n := fmt.Sprintf("%s-s%d", dc, i)
			pool.Servers = append(pool.Servers, tables.Server{Name: n, DC: dc, Slots: 3, Checks: true})
			w.servers[n] = &server{dc: dc, inc: uint64(len(w.servers) + 1), seen: make(map[uint32]uint64)}
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
		w.insts = append(w.insts, nil)
		w.boot(k)
	}
	w.publish()
	return w
}

// boot starts the instance of that index as a new process.
func (w *world) boot(k int) {
	l := w.list.Instances[k]
	i := &inst{name: l.Name, id: fmt.Sprintf("%s/%d", l.Name, w.now.UnixMilli()), dc: l.DC, peer: l.Peer, cut: make(map[string]bool)}
	i.core = ctrl.New(ctrl.Config{ID: i.id, DC: i.dc, Peer: i.peer, Start: w.now, Remote: func(dc string) time.Time {
		if i.offlog || w.cutDC(dc) {
			return time.Time{}
		}
		return w.now
	}})
	i.core.Tables(w.tables, w.lost)
	i.core.List(w.list)
	w.insts[k] = i
}

func (w *world) publish() {
	for _, i := range w.insts {
		i.core.Tables(w.tables, w.lost)
		i.core.List(w.list)
	}
}

func (w *world) cutDC(dc string) bool {
	return !slices.ContainsFunc(w.insts, func(i *inst) bool { return i.dc == dc && !i.offlog && !i.dead })
}

// step advances the world by one tick and checks that no slot is held twice.
func (w *world) step() {
	w.now = w.now.Add(tick)
	due := w.later
	w.later = nil
	for _, l := range due {
		if w.now.Before(l.at) {
			w.later = append(w.later, l)
		} else {
			l.do()
		}
	}
	for _, i := range w.insts {
		if i.dead || i.frozen {
			continue
		}
		if !w.logDown && !i.offlog {
			for n := int(i.place.Offset()); n < len(w.log); n++ {
				i.place.Apply(uint64(n+1), w.log[n])
			}
			i.contact = w.now
		}
		for _, a := range i.core.Step(w.now, &i.place, i.contact) {
			w.perform(i, a)
		}
		if w.now.UnixMilli()%300 == 0 {
			w.beat(i)
		}
	}
	w.check()
}

func (w *world) perform(i *inst, a ctrl.Action) {
	switch {
	case a.Event != nil && w.t == nil:
	case a.Event != nil:
		w.t.Log(w.now.Sub(time.Unix(1000, 0)), i.name, a.Event.Name, a.Event.Fields)
	case a.Append != nil:
		if !w.logDown && !i.offlog {
			w.after(func() {
				w.log = append(w.log, a.Append.Record)
				if offset := uint64(len(w.log)); !w.loses() {
					w.after(func() { i.core.Appended(a.Append.Tag, offset, false) })
				}
			})
		}
	case a.Grant != nil:
		w.grant(i, a.Grant)
	case a.Fence != nil:
		r := a.Fence.Request
		for _, o := range w.insts {
			if o.peer == a.Fence.Peer && !o.dead && !o.frozen && !i.cut[o.name] && !w.loses() {
				p := lease.Pair{Term: r.Term, Epoch: r.Epoch}
				ok := p.Term != 0 && o.witness.Offer(p)
				if ok {
					o.core.Heard(w.now, p, true, false)
				}
				high := o.witness.Highest()
				i.core.Fenced(w.now, w.now, o.name, p, &peerpb.FenceReply{
					Instance: o.id, Accepted: ok, Term: high.Term, Epoch: high.Epoch,
				})
			}
		}
	}
}

// after does something at once, or later when messages are delayed: mostly soon, sometimes after seconds.
func (w *world) after(do func()) {
	if w.rng == nil {
		do()
		return
	}
	d := w.rng.IntN(30)
	if w.rng.IntN(20) == 0 {
		d = w.rng.IntN(2500)
	}
	w.later = append(w.later, timed{w.now.Add(time.Duration(d) * time.Millisecond), do})
}

func (w *world) loses() bool { return w.rng != nil && w.rng.IntN(30) == 0 }

// grant delivers a grant. The call ends without an answer after an interval, but the grant may arrive later.
func (w *world) grant(i *inst, g *fleet.Call) {
	s, open := w.servers[g.Server], true
	w.later = append(w.later, timed{w.now.Add(lease.Interval), func() {
		if open {
			open = false
			i.core.Answered(w.now, g.Server, g.ID, grants.Reply{}, errors.New("no answer"))
		}
	}})
	if i.cut[g.Server] || w.loses() {
		return
	}
	w.after(func() {
		if s.dead {
			return
		}
		rep := s.grant(w.now, g.Grant)
		w.grants++
		w.after(func() {
			if open && !i.frozen {
				open = false
				i.core.Answered(w.now, g.Server, g.ID, rep, nil)
			}
		})
	})
}

func (s *server) clock(now time.Time) uint64 { return uint64(now.Sub(time.Unix(0, 0))) + s.inc*1e9 }

func (s *server) grant(now time.Time, g grants.Grant) grants.Reply {
	p := lease.Pair{Term: g.Term, Epoch: g.Epoch}
	ok := g.Incarnation == s.inc && p.Compare(s.pair) >= 0
	for _, r := range g.Slots {
		ok = ok && r.Token >= s.seen[r.First]
	}
	if ok {
		s.pair, s.held, s.until = p, g.Slots, g.Until
		for _, r := range g.Slots {
			for i := r.First; i <= r.Last; i++ {
				s.seen[i] = r.Token
			}
		}
	}
	rep := grants.Reply{Incarnation: s.inc, Clock: s.clock(now), Term: s.pair.Term, Epoch: s.pair.Epoch, Accepted: ok, Leaving: s.leave}
	if s.clock(now) < s.until {
		rep.Held = s.held
	}
	return rep
}

// beat sends the heartbeat of an instance to the holder of the highest pair.
func (w *world) beat(i *inst) {
	var to *inst
	for _, o := range w.insts {
		if o.dc == i.dc && !o.dead && !o.frozen && o.core.Controller() && (to == nil || o.core.Pair.Compare(to.core.Pair) > 0) {
			to = o
		}
	}
	if to == nil || i.cut[to.name] || w.loses() {
		return
	}
	high := i.witness.Highest()
	req := &peerpb.HeartbeatRequest{Instance: i.id, Dc: i.dc, Peer: i.peer.String(), Term: high.Term, Epoch: high.Epoch}
	if high == (lease.Pair{Term: i.last.Term, Epoch: i.last.Epoch}) {
		req.Echo, req.Known = i.last.Nonce, i.last.View
	}
	rep := to.core.Heartbeat(w.now, req)
	p := lease.Pair{Term: rep.Term, Epoch: rep.Epoch}
	if rep.Nonce != 0 && i.witness.Offer(p) {
		i.last.Term, i.last.Epoch, i.last.Nonce, i.last.View = rep.Term, rep.Epoch, rep.Nonce, rep.View
		i.core.Heard(w.now, p, rep.Accepted, false)
	}
}

func (w *world) check() (held int) {
	owner := make(map[uint32]string)
	for n, s := range w.servers {
		if s.clock(w.now) >= s.until {
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

// until steps until all slots are held by live servers and ok holds, at most limit.
func (w *world) until(limit time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for w.now.Sub(start) < limit {
		w.step()
		if w.check() == slots && ok() {
			return w.now.Sub(start)
		}
	}
	w.t.Fatalf("seed %d: not reached within %v: %d of %d slots held", w.seed, limit, w.check(), slots)
	return 0
}

// outage runs for d and returns when, counted from now, a slot was last held by no live server.
func (w *world) outage(d time.Duration) (last time.Duration) {
	for start := w.now; w.now.Sub(start) < d; {
		w.step()
		if n := w.check(); n < slots {
			w.t.Log(w.now.Sub(time.Unix(1000, 0)), n)
			last = w.now.Sub(start)
		}
	}
	return last
}

// heldIn returns how many slots live servers of a data centre hold.
func (w *world) heldIn(dc string) (held int) {
	for _, s := range w.servers {
		for _, r := range s.held {
			if s.dc == dc && !s.dead && s.clock(w.now) < s.until {
				held += int(r.Last-r.First) + 1
			}
		}
	}
	return held
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *world) controller(dc string) *inst {
	for _, i := range w.insts {
		if i.dc == dc && !i.dead && !i.frozen && i.core.State == ctrl.Serving && w.now.Before(i.core.Authority) {
			return i
		}
	}
	return nil
}
