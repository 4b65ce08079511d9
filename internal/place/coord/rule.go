package coord

import (
	"context"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/spread"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/load"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/tenure"
	"github.com/bramleycove/bramleycove/internal/place/world"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// settle is how long a leader waits for its members' word before it looks whether too few of them are witnesses.
	settle = 1500 * time.Millisecond
	// orderTimeout bounds a grant; the next one is due soon after it.
	orderTimeout = 700 * time.Millisecond
	// releaseTimeout bounds a release, which is answered when the work in progress has ended.
	releaseTimeout = 2500 * time.Millisecond
	// termPatience is how long a leader goes without a majority of witnesses before it begins a new term.
	termPatience = 2 * tenure.Fresh
	// recordable is how long after an answer of the store moves by load are begun. The leader reads it each half second; a slow
	// one answers within 0.2 s.
	recordable = 800 * time.Millisecond
	// appendPause is the least time between two appends, which are priced; the changes of that time share one.
	appendPause = 80 * time.Millisecond
	// orderEvery is the least time between two orders of the same instances. A new leader does not know where they are before
	// they have answered; their list takes 1.3 KB for 82.
	orderEvery = 2 * time.Second
	// failPause is the pause after an append that failed.
	failPause = 350 * time.Millisecond
	// resigned is the age of its lease that a leader states when it leaves: any above the bound at which members act.
	resigned = time.Minute
)

// lead is what an instance holds only while it leads.
type lead struct {
	since      time.Time
	keepers    map[string]*assign.Assigner
	gather     map[string]*assign.InitialDelay // pools without owners
	gauge      *load.Estimator
	reach      assign.Reachability
	planned    time.Time
	news       uint64
	fence      uint64            // highest ever used
	members    []string          // all instances, in order of their addresses
	peers      []string          // the same, in the order of succession
	ordered    time.Time         // when that was last decided
	tried      time.Time         // last append
	witnesses  *tenure.Witnesses // members that follow, with what is needed for them to keep the lead in force
	inherited  time.Time         // grants of earlier leads have ended then; zero until a majority of the succession follows
	succession *tenure.Witnesses // members of the earlier lead that follow this one
	earlier    tenure.Lead       // the lead before this one
	renewed    time.Time         // no renewal of the earlier lead began later
	transit    assign.Transit
	yielding   bool // the lead is being given up: no more orders
}

// rule is the leader's round. Without a right to act it only tries to get that back, and goes on to spread what it
// knows. c.mu is held.
func (c *Coord) rule(now time.Time) {
	l := c.lead
	for _, k := range l.keepers {
		k.PauseMoves = c.reader.Unanswered(now) > recordable
	}
	if now.Sub(l.planned) >= load.Interval {
		reply := new(sitepb.PushReply)
		c.cfg.Report(time.Now(), reply)
		l.gauge.AddReport(reply)
		l.gauge.EndInterval()
		if c.acts(now) {
			c.plan(now)
		}
		l.planned = now
	}
	if c.acts(now) && !l.yielding {
		c.govern(now)
	}
	if !l.yielding {
		c.record(now)
	}
	c.announce()
	c.arrange(now)
	c.peers.Store(int64(len(l.peers)))
	c.pusher.Round(now, l.news, l.peers)
}

// arrange brings the list of all instances up to date, which gives the order of succession. Without changes of its members it
// stays as it is for a while, as each change of it is sent to all. c.mu is held.
func (c *Coord) arrange(now time.Time) {
	l := c.lead
	members := c.pusher.Peers()
	if slices.Equal(members, l.members) && now.Sub(l.ordered) < orderEvery {
		return
	}
	l.members, l.ordered = members, now
	candidates := []tenure.Candidate{{Address: c.tenure.Self, Fitness: tenure.Fitness{Small: c.cfg.Small, Far: c.reader.Far()}}}
	for _, m := range c.pusher.Members() {
		here := m.DC != "" && c.cfg.Region[m.DC] == c.cfg.Region[c.cfg.DC]
		candidates = append(candidates, tenure.Candidate{
			Address: m.Address, Fitness: tenure.Fitness{Small: m.Small || m.DC == "", Far: here == c.reader.Far()},
		})
	}
	l.peers = tenure.Order(c.term(), candidates)
}

// plan considers moves. c.mu is held.
func (c *Coord) plan(now time.Time) {
	c.openKeepers(now)
	g := c.lead.gauge
	for pool, k := range c.lead.keepers {
		loads := g.KeyLoads(pool)
		servers := g.Capacities(c.build.PoolServers(pool), func(s *world.Server) bool {
			usable, _ := c.live(now, pool, s.Owner)
			return usable
		})
		for _, mv := range k.Plan(now, servers, loads, g.IsReliable()) {
			c.log.Info("move", "pool", pool, "first", int(mv.First), "last", int(mv.Last), "to", mv.To.Server, "load", loads.Sum(mv.First, mv.Last))
		}
	}
}

// govern gives the orders that are due. c.mu is held.
func (c *Coord) govern(now time.Time) {
	hold := c.hold()
	for pool, k := range c.lead.keepers {
		k.Observe(now, func(o spans.Owner) (bool, bool) { return c.live(now, pool, o) })
		renewals := make(map[spans.Owner][]assign.Order)
		for _, o := range k.DueOrders(now, hold) {
			if o.Renewal {
				renewals[o.Owner] = append(renewals[o.Owner], o)
				continue
			}
			c.order(pool, k, []assign.Order{o})
		}
		for _, orders := range renewals {
			c.order(pool, k, orders)
		}
	}
}

// openKeepers starts a keeper for each keyed pool that has none. c.mu is held.
func (c *Coord) openKeepers(now time.Time) {
	if c.build.Tables == nil {
		return
	}
	for _, p := range c.build.Tables.Pools {
		if !p.Keyed || c.lead.keepers[p.Name] != nil {
			continue
		}
		g := c.lead.gather[p.Name]
		if g == nil {
			g = new(assign.InitialDelay)
			c.lead.gather[p.Name] = g
		}
		if g.Ready(now, len(c.build.PoolServers(p.Name))) {
			c.lead.keepers[p.Name] = assign.New(nil, &c.lead.fence, now, now)
		}
	}
}

// live tells whether an owner may get keys or keep them, and whether its incarnation has certainly ended. c.mu is held.
func (c *Coord) live(now time.Time, pool string, o spans.Owner) (usable, gone bool) {
	srv := c.build.Servers[o.Server]
	if srv == nil || srv.Pool != pool {
		return false, srv != nil
	}
	if srv.Owner != o {
		return false, true
	}
	if c.lead.reach.HasEnded(now, o) {
		return false, true
	}
	// One with a long queue may leave orders unanswered while it serves. Its keys are better there until its grants end.
	lost := c.lead.reach.IsLost(now, o, func() []spans.Owner { return c.build.PoolOwners(pool) }) && !c.lead.gauge.HasRecentAnswers(o.Server)
	return !srv.Leaving && !lost, false
}

// order carries out orders to one server, one after the other. After one that failed the rest is not sent. c.mu is held.
func (c *Coord) order(pool string, k *assign.Assigner, orders []assign.Order) {
	srv := c.build.Server(orders[0].Owner)
	if srv == nil && orders[0].Kind == assign.Release {
		// A grant might reach a new life with the fence of the old one; a release harms nobody.
		srv = c.build.FormerServer(orders[0].Owner)
	}
	l := c.lead
	c.background(func() {
		failed := srv == nil
		for _, o := range orders {
			start := c.cfg.Now()
			res, handover := assign.NotSent, ""
			if !failed && c.mayOrder(l) {
				res, handover = c.call(srv, o)
			}
			failed = failed || res != assign.Accepted
			c.finish(l, pool, k, start, o, res, handover)
		}
	})
}

// finish takes the result of an order that began at start.
func (c *Coord) finish(l *lead, pool string, k *assign.Assigner, start time.Time, o assign.Order, res assign.Result, handover string) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k.Finish(start, now, o, res, handover)
	if c.lead != l {
		return
	}
	if res == assign.Accepted && o.Kind == assign.Grant {
		l.transit.Observe(now, now.Sub(start))
	}
	k.MaxTransit = l.transit.Max(now)
	l.reach.Observe(o, res, start)
	if res != assign.Accepted {
		c.log.Warn("order-failed", "kind", o.Kind, "pool", pool, "server", o.Server, "first", int(o.First), "last", int(o.Last),
			"fence", o.Fence, "result", res, "took", now.Sub(start))
	}
}

// mayOrder reports whether this instance still leads at the moment of a call.
func (c *Coord) mayOrder(l *lead) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lead == l && !l.yielding && c.acts(c.cfg.Now())
}

func (c *Coord) call(srv *world.Server, o assign.Order) (assign.Result, string) {
	if o.Kind == assign.Release {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		return c.cfg.Release(ctx, srv.Address, o.Span)
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return c.cfg.Grant(ctx, srv.Address, o.Span, o.Duration, o.Renewal), ""
}

// announce notes which keys move and tells the members if that has changed. c.mu is held.
func (c *Coord) announce() {
	ranges := c.moving(c.cfg.Now())
	if !spread.SameRanges(time.Now(), ranges, c.build.MovingRanges) {
		c.setMoving(ranges)
		c.lead.news++
	}
}

// moving returns the keys that change hands. c.mu is held.
func (c *Coord) moving(now time.Time) (out []*sitepb.Range) {
	for pool, k := range c.lead.keepers {
		for _, p := range k.MovingRanges(now) {
			out = append(out, &sitepb.Range{Pool: pool, First: uint32(p.First), Last: uint32(p.Last), WaitMs: p.Wait.Milliseconds()})
		}
	}
	return out
}

// push returns the leader's news without streams. The pusher calls it during the leader's round, with c.mu held.
func (c *Coord) push(now time.Time) *sitepb.PushRequest {
	l, _ := c.tenure.Lead()
	r := &sitepb.PushRequest{
		From: c.tenure.Self, Term: l.Term, LeadOffset: l.Offset, UnconfirmedMs: c.tenure.Unconfirmed(now).Milliseconds(), Moving: c.moving(now),
	}
	if c.lead.yielding {
		r.UnconfirmedMs = resigned.Milliseconds()
	}
	r.Strikes = c.cfg.Strikes(time.Now())
	return r
}

// reported takes the answer of a member.
func (c *Coord) reported(start time.Time, addr string, r *sitepb.PushReply) {
	c.cfg.Learn(time.Now(), r.GetStrikes())
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now := c.cfg.Now(); {
	case c.lead == nil:
	case r.GetTerm() > c.term():
		c.log.Info("newer-leader", "peer", addr, "term", r.GetTerm())
		c.resign(now)
	default:
		c.follows(addr, start, now, r)
		c.lead.gauge.AddReport(r)
	}
}
