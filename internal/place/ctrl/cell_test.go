package ctrl_test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/ctrl"
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
}

type timed struct {
	at time.Time
	do func()
}

type inst struct {
	name, id, dc string
	peer         netip.AddrPort
	core         *ctrl.Core
	place        fold.Place
	witness      lease.Witness
	dead, frozen bool
	offlog       bool // reaches neither the log nor other data centres
	contact      time.Time
	last         peerpb.HeartbeatReply
}

type server struct {
	dc    string
	dead  bool
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
	for _, l := range w.list.Instances {
		i := &inst{name: l.Name, id: l.Name + "/1", dc: l.DC, peer: l.Peer}
		i.core = ctrl.New(ctrl.Config{ID: i.id, DC: i.dc, Peer: i.peer, Start: w.now, Remote: func(dc string) time.Time {
			if i.offlog || w.cutDC(dc) {
				return time.Time{}
			}
			return w.now
		}})
		w.insts = append(w.insts, i)
	}
	w.publish()
	return w
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
	var later []timed
	for _, l := range w.later {
		if w.now.Before(l.at) {
			later = append(later, l)
		} else {
			l.do()
		}
	}
	w.later = later
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
	case a.Event != nil:
		w.t.Log(w.now.Sub(time.Unix(1000, 0)), i.name, a.Event.Name, a.Event.Fields)
	case a.Append != nil:
		if !w.logDown && !i.offlog {
			w.log = append(w.log, a.Append.Record)
			i.core.Appended(a.Append.Tag, uint64(len(w.log)), false)
		}
	case a.Grant != nil:
		g := a.Grant
		if s := w.servers[g.Server]; !s.dead {
			i.core.Answered(w.now, g.Server, g.ID, s.grant(w.now, g.Grant), nil)
			return
		}
		w.later = append(w.later, timed{w.now.Add(lease.Interval), func() {
			i.core.Answered(w.now, g.Server, g.ID, grants.Reply{}, errors.New("no answer"))
		}})
	case a.Fence != nil:
		r := a.Fence.Request
		for _, o := range w.insts {
			if o.peer == a.Fence.Peer && !o.dead && !o.frozen {
				p := lease.Pair{Term: r.Term, Epoch: r.Epoch}
				ok := p.Term != 0 && o.witness.Offer(p)
				if ok {
					o.core.Heard(w.now, p, false, false)
				}
				high := o.witness.High()
				i.core.Fenced(w.now, w.now, o.name, p, &peerpb.FenceReply{
					Instance: o.id, Accepted: ok, Term: high.Term, Epoch: high.Epoch,
				})
			}
		}
	}
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
	rep := grants.Reply{Incarnation: s.inc, Clock: s.clock(now), Term: s.pair.Term, Epoch: s.pair.Epoch, Accepted: ok}
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
	if to == nil {
		return
	}
	high := i.witness.High()
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
					w.t.Fatalf("slot %d is held by %s and %s", i, o, n)
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
	w.t.Fatalf("not reached within %v: %d of %d slots held", limit, w.check(), slots)
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
