package coord

import (
	"context"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/peer/permit"
	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/place/accept"
	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/place/load"
	"github.com/bramleycove/bramleycove/internal/place/recall"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// quorumSettleTime is how long a leader waits for replies before it may begin a new term for lack of a quorum.
	quorumSettleTime = 1500 * time.Millisecond
	// grantTimeout bounds the call of a grant; the next grant is due soon after it.
	grantTimeout = 700 * time.Millisecond
	// releaseTimeout bounds the call of a release, which is answered when the work in progress has ended.
	releaseTimeout = 2500 * time.Millisecond
	// quorumLossTimeout is the age of the newest majority of followers at which a leader begins a new term.
	quorumLossTimeout = 2 * elect.QuorumValidity
	// maxStoreSilence is the time without an answer of the store after which a leader begins no moves by load and does not
	// resign. It reads the store each half second; a slow one answers within 0.2 s.
	maxStoreSilence = 800 * time.Millisecond
	// minAppendInterval is the least time between two appends, which cost money; changes in between share one.
	minAppendInterval = 80 * time.Millisecond
	// minSortInterval is the least time between two sorts of the same instances, whose list takes 1.3 KB for 82. A new leader
	// learns their data centres only from their replies.
	minSortInterval = 2 * time.Second
	// quickRetries is the number of pauses of quickRetryDelay after failed appends: six attempts fit between RenewInterval and the
	// age at which the lead is claimed by another instance. Later pauses, of slowRetryDelay, spare a store that is away.
	quickRetries    = 6
	quickRetryDelay = 40 * time.Millisecond
	slowRetryDelay  = 200 * time.Millisecond
	// minShareLatencies is the number of instances from which on the leader passes on answer times: fewer send to each server
	// often enough to know its speed.
	minShareLatencies = 24
	// latencyInterval is the time between two such messages, of some 20 bytes for each server.
	latencyInterval = 1400 * time.Millisecond
	// resigningLeaseAge is the lease age that a resigning leader reports: any at which members take over.
	resigningLeaseAge = time.Minute
)

// leaderState is the state that an instance has only while it leads.
type leaderState struct {
	startedAt        time.Time
	keepers          map[string]*assign.Assigner
	gathers          map[string]*assign.InitialDelay // keyed pools that had no owners yet
	gauge            *load.Estimator
	permits          *quota.Arbiter
	reach            assign.Reachability
	plannedAt        time.Time
	newsNumber       uint64    // rises when members must be told at once
	maxFence         uint64    // highest fence ever used
	recordedEra      uint64    // era of the store in which the owners were last recorded
	sortedPeers      []string  // all instances, in order of their addresses
	peers            []string  // the same, in the order of succession
	sortedAt         time.Time // when that order was last decided
	lastAppend       time.Time
	retryAt          time.Time        // when the next append may begin after one that failed
	failedAppends    int              // since the last successful one
	quorum           *elect.Quorum    // members that follow, unless started during this term
	inheritedUntil   time.Time        // end of earlier leaders' grants; zero until a majority of successionQuorum follows
	successionQuorum *elect.Quorum    // members of the earlier leader that follow this one
	term             uint64           // of the newest confirmed record
	survey           *recall.Survey   // of the earlier leader's moves, if the store may have lost some; nil when it has ended
	earlierRecord    elect.LeadRecord // the lead before this one
	earlierRenewedAt time.Time        // no renewal by the earlier leader began later
	transit          assign.Transit
	identifiedAt     map[spans.Owner]time.Time // when an owner's address was last asked who listens there
	resigning        bool                      // no more orders are sent
	latencies        []*sitepb.Latency
	latenciesAt      time.Time // when they were taken
}

// leaderRound is the leader's round of decisions. While it may not act it only tries to renew the lead and pushes what it
// knows. c.mu is held.
func (c *Coordinator) leaderRound(now time.Time) {
	l := c.leader
	for _, k := range l.keepers {
		k.PauseMoves = c.reader.StoreSilence(now) > maxStoreSilence
		c.setPushNumbers(k)
	}
	if now.Sub(l.plannedAt) >= load.Interval {
		reply := new(sitepb.PushReply)
		c.cfg.FillReport(time.Now(), reply)
		l.gauge.AddReport(reply)
		l.gauge.EndInterval()
		l.permits.Prune(time.Now())
		if c.mayAct(now) {
			c.planMoves(now)
		}
		l.plannedAt = now
	}
	if c.mayAct(now) && !l.resigning {
		c.sendDueOrders(now)
	}
	if !l.resigning {
		c.recordChanges(now)
	}
	c.announceMoves()
	c.updatePeers(now)
	c.updateLatencies(now)
	c.instanceCount.Store(int64(len(l.peers)))
	c.pusher.PushRound(now, l.newsNumber, l.peers)
}

// updatePeers updates the order of succession of all instances. While these stay the same it waits minSortInterval, as each
// change is sent to all. c.mu is held.
func (c *Coordinator) updatePeers(now time.Time) {
	l := c.leader
	members := c.pusher.AllAddresses()
	if slices.Equal(members, l.sortedPeers) && now.Sub(l.sortedAt) < minSortInterval {
		return
	}
	l.sortedPeers, l.sortedAt = members, now
	candidates := []elect.Candidate{{Address: c.leadership.Self, Fitness: elect.Fitness{Small: c.cfg.Small, Far: c.reader.StoreIsFar()}}}
	for _, m := range c.pusher.Members() {
		sameRegion := m.DC != "" && c.cfg.Region[m.DC] == c.cfg.Region[c.cfg.DC]
		candidates = append(candidates, elect.Candidate{
			Address: m.Address, Fitness: elect.Fitness{Small: m.Small || m.DC == "", Far: sameRegion == c.reader.StoreIsFar()},
		})
	}
	l.peers = elect.SortCandidates(c.currentTerm(), candidates)
}

// planMoves lets each keeper plan moves by load. c.mu is held.
func (c *Coordinator) planMoves(now time.Time) {
	c.openKeepers(now)
	g := c.leader.gauge
	for pool, k := range c.leader.keepers {
		loads := g.KeyLoads(pool)
		candidates := c.builder.PoolServers(pool)
		owned, _ := k.Map()
		w, _ := c.Snapshot()
		servers := g.Capacities(candidates, accept.Accepting(time.Now(), w, candidates, owned, func(s *topo.Server) bool {
			usable, _ := c.ownerStatus(now, pool, s.Owner)
			return usable
		}))
		for _, mv := range k.Plan(now, servers, loads, g.IsReliable()) {
			c.log.Info("move", "pool", pool, "first", int(mv.First), "last", int(mv.Last), "to", mv.To.Server, "load", loads.Sum(mv.First, mv.Last))
		}
	}
}

// sendDueOrders sends the orders that are due, the renewals of each server in sequence. c.mu is held.
func (c *Coordinator) sendDueOrders(now time.Time) {
	hold := c.grantDuration()
	for pool, k := range c.leader.keepers {
		k.Observe(now, func(o spans.Owner) (bool, alive.Evidence) { return c.ownerStatus(now, pool, o) })
		renewals := make(map[spans.Owner][]assign.Order)
		for _, o := range k.DueOrders(now, hold) {
			if o.Renewal {
				renewals[o.Owner] = append(renewals[o.Owner], o)
				continue
			}
			c.sendOrders(pool, k, []assign.Order{o})
		}
		for _, orders := range renewals {
			c.sendOrders(pool, k, orders)
		}
	}
}

// openKeepers creates a keeper for each keyed pool that is ready and has none. c.mu is held.
func (c *Coordinator) openKeepers(now time.Time) {
	if c.builder.Tables == nil {
		return
	}
	for _, p := range c.builder.Tables.Pools {
		if !p.Keyed || c.leader.keepers[p.Name] != nil {
			continue
		}
		g := c.leader.gathers[p.Name]
		if g == nil {
			g = new(assign.InitialDelay)
			c.leader.gathers[p.Name] = g
		}
		if g.Ready(now, len(c.builder.PoolServers(p.Name))) && !c.lostOwnersMayHold(now) {
			k := assign.New(nil, &c.leader.maxFence, now, now)
			c.setPushNumbers(k)
			c.leader.keepers[p.Name] = k
		}
	}
}

// ownerStatus reports whether an owner may get or keep keys, and the evidence that decides what is known of its process. c.mu is held.
func (c *Coordinator) ownerStatus(now time.Time, pool string, o spans.Owner) (usable bool, by alive.Evidence) {
	entry := topo.Evidence(c.builder.Servers, o)
	process, by := c.leader.reach.State(now, o, entry)
	if c.leader.reach.MayHaveEnded(now, o, entry) {
		c.identifyClaimed(now, o)
	}
	srv := c.builder.Server(o)
	if process == alive.Ended || srv == nil || srv.Pool != pool {
		return false, by
	}
	// A server with a long queue may leave orders unanswered while it serves. It keeps its keys until its grants end.
	lost := c.leader.reach.IsLost(now, o, func() []spans.Owner { return c.builder.PoolOwners(pool) }) && !c.leader.gauge.HasRecentAnswers(o.Server)
	w, _ := c.Snapshot()
	return !srv.Leaving && !lost && c.accepts.MayOwn(w, srv), by
}

// sendOrders sends orders to one server in the background, in sequence until one fails. c.mu is held.
func (c *Coordinator) sendOrders(pool string, k *assign.Assigner, orders []assign.Order) {
	srv := c.builder.Server(orders[0].Owner)
	if srv == nil && orders[0].Kind == assign.Release {
		// A grant might reach the next incarnation with the old fence; a release is harmless.
		srv = c.builder.FormerServer(orders[0].Owner)
	}
	l := c.leader
	c.runInBackground(func() {
		failed := srv == nil
		for _, o := range orders {
			start := c.cfg.Now()
			res, handover := assign.NotSent, ""
			if !failed && c.mayOrder(l) {
				res, handover, o.Session = c.callServer(srv, o)
			}
			failed = failed || res != assign.Accepted
			c.finishOrder(l, pool, k, srv, start, o, res, handover)
			if res == assign.Refused {
				// Servers of other pools may know no orders, and refuse them whatever id they are for.
				c.identify(l, srv, o.Owner)
			}
		}
	})
}

// finishOrder handles the result of an order to srv whose call began at start. srv is nil if none was sent.
func (c *Coordinator) finishOrder(l *leaderState, pool string, k *assign.Assigner, srv *topo.Server, start time.Time, o assign.Order, res assign.Result, handover string) {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k.Finish(start, now, o, res, handover)
	if c.leader != l {
		return
	}
	if res == assign.Accepted && o.Kind == assign.Grant {
		l.transit.Observe(now, now.Sub(start))
	}
	k.MaxTransit = l.transit.Max(now)
	l.reach.Observe(o, res, addressOf(srv), start)
	if res != assign.Accepted {
		c.log.Warn("order-failed", "kind", o.Kind, "pool", pool, "server", o.Server, "first", int(o.First), "last", int(o.Last),
			"fence", o.Fence, "result", res, "took", now.Sub(start))
	}
}

// mayOrder reports whether this instance still leads with l and may send orders.
func (c *Coordinator) mayOrder(l *leaderState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader == l && !l.resigning && c.mayAct(c.cfg.Now())
}

func (c *Coordinator) callServer(srv *topo.Server, o assign.Order) (res assign.Result, handover string, s assign.Session) {
	timeout := grantTimeout
	if o.Kind == assign.Release {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	switch o.Kind {
	case assign.Release:
		res, handover = c.cfg.Release(ctx, srv.Address, o.Span)
	case assign.Open:
		res, s = c.cfg.Open(ctx, srv.Address)
	default:
		res, s = c.cfg.Grant(ctx, srv.Address, o.Span, o.Duration, o.Session)
	}
	return res, handover, s
}

// announceMoves updates which keys are being moved and tells the members if that has changed. c.mu is held.
func (c *Coordinator) announceMoves() {
	ranges := c.movingRanges(c.cfg.Now())
	if !push.SameMovingRanges(time.Now(), ranges, c.builder.MovingRanges) {
		c.setMoving(ranges)
		c.leader.newsNumber++
	}
}

// movingRanges returns the ranges of keys that are being moved. c.mu is held.
func (c *Coordinator) movingRanges(now time.Time) (out []*sitepb.Range) {
	for pool, k := range c.leader.keepers {
		for _, p := range k.MovingRanges(now) {
			out = append(out, &sitepb.Range{Pool: pool, First: uint32(p.First), Last: uint32(p.Last), WaitMs: p.Wait.Milliseconds()})
		}
	}
	return out
}

// newPush returns a push without streams. The pusher calls it during the leader's round, with c.mu held.
func (c *Coordinator) newPush(now time.Time) *sitepb.PushRequest {
	l, _ := c.leadership.Record()
	r := &sitepb.PushRequest{
		From: c.leadership.Self, Term: l.Term, LeadOffset: l.Offset, UnconfirmedMs: c.leadership.UnconfirmedFor(now).Milliseconds(), Moving: c.movingRanges(now),
	}
	if c.leader.resigning {
		r.UnconfirmedMs = resigningLeaseAge.Milliseconds()
	}
	r.Strikes, r.Limits = c.cfg.RecentStrikes(time.Now()), c.currentLimits(time.Now())
	if len(c.leader.peers) >= minShareLatencies && now.Sub(c.leader.latenciesAt) < push.Interval {
		r.Latencies = c.leader.latencies
	}
	return r
}

// updateLatencies takes the answer times that the pushes of the next push.Interval carry, in which each member gets one. c.mu is
// held.
func (c *Coordinator) updateLatencies(now time.Time) {
	l := c.leader
	if c.builder.Tables == nil || len(l.peers) < minShareLatencies || now.Sub(l.latenciesAt) < latencyInterval {
		return
	}
	l.latenciesAt, l.latencies = now, nil
	for _, p := range c.builder.Tables.Pools {
		if !p.Keyed {
			l.latencies = append(l.latencies, l.gauge.MeanLatencies(c.builder.PoolServers(p.Name))...)
		}
	}
	c.cfg.LearnLatencies(time.Now(), l.latencies)
}

// handleReply takes a member's reply to a push whose exchange began at start.
func (c *Coordinator) handleReply(start time.Time, addr string, r *sitepb.PushReply) {
	c.cfg.LearnStrikes(time.Now(), r.GetStrikes())
	permit.MergeLimits(time.Now(), c.cfg.Limits, r.GetLimits())
	c.mu.Lock()
	defer c.mu.Unlock()
	switch now := c.cfg.Now(); {
	case c.leader == nil:
	case r.GetTerm() > c.currentTerm():
		c.log.Info("newer-leader", "peer", addr, "term", r.GetTerm())
		c.stopLeading(now)
	default:
		c.addFollower(addr, start, now, r)
		c.leader.gauge.AddReport(r)
	}
}
