package coord

import (
	"context"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/peer/reads"
	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// storeReadInterval is the interval at which a member without a leader reads the store. The bounds on configuration and on
	// leaving servers, 2.5 s and more, hold with a reading every second.
	storeReadInterval = 700 * time.Millisecond
	// firstCandidateDelay is how long the first candidates hear nothing before they look for a renewal that the leader did not tell of: two
	// pushes and their way. One that is seen later counts as a sign of life then, and puts the claim off as much.
	firstCandidateDelay = 800 * time.Millisecond
	// largeReadDelay is how long the members of a large deployment hear nothing before they read the store whether or not it is their
	// turn to succeed the leader. A successor reads it for all by then; the heartbeats alone are megabytes for each of them.
	largeReadDelay = 2200 * time.Millisecond
	// takeoverLeaseAge is the age of the leader's lease from which on members try to take over: one renewal was missed.
	takeoverLeaseAge = 1700 * time.Millisecond
	// newLeaderDelay is how long the members of a large deployment wait for the pushes of a new leader that they read of in the
	// store. These come within 0.3 s, unless the leader spends that time on answering 81 members that introduce themselves.
	newLeaderDelay = 600 * time.Millisecond
	// takeoverRankDelay keeps the members apart that try to replace a leader that lives but can't reach the store: each call
	// is priced, and the store may be away for all.
	takeoverRankDelay = 200 * time.Millisecond
)

// start learns all streams. Until that succeeds the instance knows nothing and is not ready.
func (c *Coordinator) start(ctx context.Context) {
	done := c.startFromLeader(ctx) || c.startFromLeadRecord(ctx)
	for !done && ctx.Err() == nil {
		if done = c.reader.ReadAll(ctx) || c.pullAny(ctx); !done {
			reads.Sleep(ctx, storeReadInterval/2)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.started, c.member.startTerm = done, c.currentTerm()
	c.leadership.MarkStreamsRead(c.cfg.Now())
}

// startFromLeader learns the state from the leader of a large deployment. That of a leader that has been succeeded does not
// count.
func (c *Coordinator) startFromLeader(ctx context.Context) bool {
	leader, ok := c.joiner.LoadFromLeader(ctx)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lead, _ := c.leadership.Record()
	c.log.Info("started-from-leader", "leader", leader, "holder", lead.Holder, "term", lead.Term)
	return lead.Holder == leader && !lead.Resigned
}

// startFromLeadRecord begins with nothing but the record of the lead, and waits for the pushes of its holder or a successor. An
// instance of a large deployment starts so when no leader answers: most of them may have been killed together, and their
// reading all servers would fill the link to the store. The former holder itself reads all, and leads again.
func (c *Coordinator) startFromLeadRecord(ctx context.Context) bool {
	l, ok := c.joiner.ReadLead(ctx)
	if !ok || l.Holder == c.leadership.Self || len(l.Members) < push.MinInstancesForRelays {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.leadership.Observe(now, l)
	if len(c.member.peers) == 0 {
		c.member.peers = l.Members
	}
	// This counts as a sign of the leader, so that reading everything is put off.
	c.member.heardAt = later(c.member.heardAt, now)
	c.log.Info("started-from-lead", "holder", l.Holder, "term", l.Term, "members", len(l.Members))
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pullAny asks the seeds and the known instances for their state until one answers with tables.
func (c *Coordinator) pullAny(ctx context.Context) bool {
	c.mu.Lock()
	addrs := append([]string(nil), c.member.peers...)
	c.mu.Unlock()
	for _, a := range c.cfg.Seeds() {
		addrs = append(addrs, a.String())
	}
	for _, a := range addrs {
		if a != c.leadership.Self && c.pull(ctx, a) {
			return true
		}
	}
	return false
}

// pull takes the state of another instance.
func (c *Coordinator) pull(ctx context.Context, addr string) bool {
	r, err := c.client.Pull(ctx, addr, c.leadership.Self)
	if err != nil {
		c.log.Warn("pull-failed", "peer", addr, "error", err)
		return false
	}
	c.applyStreams(r)
	_, known := c.book.End(keyed.Config)
	return known
}

// applyStreams takes the streams of another instance. They may end behind a renewal of the lead that is not among them.
func (c *Coordinator) applyStreams(r *sitepb.PushRequest) {
	before, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	now, told := c.cfg.Now(), c.member.toldAt
	c.member.toldAt = now
	c.mu.Unlock()
	if err := stream.Apply(c.book, r.GetStreams()); err != nil {
		c.log.Error("push-unreadable", "from", r.GetFrom(), "error", err)
	}
	if after, _ := c.book.End(keyed.Place); after != before {
		return
	}
	// Nothing was told of the lead, so that the time of before holds.
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.member.toldAt.Equal(now) {
		c.member.toldAt = told
	}
}

// handlePush takes the news of the leader.
func (c *Coordinator) handlePush(r *sitepb.PushRequest) *sitepb.PushReply {
	now := c.cfg.Now()
	c.mu.Lock()
	stale := r.GetTerm() < max(c.member.term, c.currentTerm()) || c.leader != nil && r.GetTerm() == c.currentTerm()
	if !stale {
		if c.leader != nil {
			c.stopLeading(now)
		}
		if r.GetTerm() > c.member.term {
			c.log.Info("leader", "leader", r.GetFrom(), "term", r.GetTerm())
			c.member.pushNumber, c.member.followedEarlierAt = 0, c.member.followedAt
		}
		c.member.followedAt = now
		c.member.heardAt, c.member.term, c.member.leader = now, r.GetTerm(), r.GetFrom()
		if len(r.GetPeers()) > 0 {
			c.member.peers = r.GetPeers()
		}
		c.instanceCount.Store(int64(max(1, len(c.member.peers))))
		if r.GetNumber() >= c.member.pushNumber {
			// An older push may arrive over a relay after a newer one of the leader itself.
			c.member.pushNumber = r.GetNumber()
			c.member.leaseAge = time.Duration(r.GetUnconfirmedMs()) * time.Millisecond
			c.leadership.ObserveRenewal(now, r.GetFrom(), r.GetTerm(), r.GetLeadOffset())
			c.setMoving(r.GetMoving())
		}
	}
	peers := c.member.peers
	c.mu.Unlock()
	c.applyStreams(r)
	c.cfg.LearnStrikes(time.Now(), r.GetStrikes())
	reply := c.newReply(stale)
	reply.Have = stream.Have(c.book)
	if !stale {
		c.relay.Forward(now, r, peers, reply)
		c.cfg.FillReport(time.Now(), reply)
	}
	return reply
}

// newReply returns the part of an answer to a push that concerns the lead.
func (c *Coordinator) newReply(stale bool) *sitepb.PushReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &sitepb.PushReply{
		Term: max(c.member.term, c.currentTerm()), Stopping: c.stopping.Load(), Stale: stale, StartTerm: c.member.startTerm,
		Dc: c.cfg.DC, Small: c.cfg.Small, EarlierMs: c.cfg.Now().Sub(c.member.followedEarlierAt).Milliseconds(),
	}
	if !c.member.started {
		// It may have followed a newer leader in its life before, and has not read of it yet.
		r.StartTerm = r.Term
	}
	return r
}

// setMoving notes which keys change hands. c.mu is held.
func (c *Coordinator) setMoving(ranges []*sitepb.Range) {
	if len(ranges) == 0 && len(c.builder.MovingRanges) == 0 {
		return
	}
	c.builder.MovingRanges = push.MovingRanges(time.Now(), ranges)
	c.publish()
}

// handlePull answers an instance that asks for everything. If this one leads, it pushes to that one from now on.
func (c *Coordinator) handlePull(r *sitepb.PullRequest) *sitepb.PushRequest {
	c.mu.Lock()
	leads := c.leader != nil
	out := &sitepb.PushRequest{}
	switch {
	case leads:
		out.From, out.Peers = c.leadership.Self, c.leader.peers
	case c.cfg.Now().Sub(c.member.heardAt) < elect.LeaderTimeout:
		out.From, out.Peers = c.member.leader, c.member.peers
	}
	c.mu.Unlock()
	if leads {
		c.pusher.AddPeer(c.cfg.Now(), r.GetFrom())
	}
	if r.GetBrief() {
		return out
	}
	for t := range keyed.TopicCount {
		if _, known := c.book.End(t); known {
			batch, _ := c.book.ChangesAfter(t, 0)
			out.Streams = append(out.Streams, stream.Encode(t, batch, true))
		}
	}
	return out
}

// memberRound is a member's round: without news from a leader it reads the store, and claims the lead when its holder is
// silent there as well. c.mu is held.
func (c *Coordinator) memberRound(now time.Time) {
	silent := now.Sub(c.member.heardAt)
	c.relay.Repeat(now, c.member.peers)
	if !c.member.started {
		return
	}
	// The age of the leader's lease goes on growing between its pushes.
	unconfirmed := c.member.leaseAge + silent
	if silent < firstCandidateDelay && unconfirmed < takeoverLeaseAge || c.member.readingStore || c.appending || c.stopping.Load() {
		return
	}
	if len(c.builder.MovingRanges) > 0 && silent >= elect.LeaderTimeout {
		// The leader's next word on these keys will not come.
		c.setMoving(nil)
	}
	lead, _ := c.leadership.Record()
	rank := c.candidateRank(lead.Term)
	turn := takeoverLeaseAge + time.Duration(rank)*takeoverRankDelay
	// Keys of a server that is lost with the leader wait for the claim.
	due := c.leadership.ShouldClaim(now, rank) && !c.leadership.ShouldClaim(c.member.storeReadAt, rank)
	if waits := c.isLargeDeployment() && rank > 0 && silent >= elect.LeaderTimeout && silent < largeReadDelay; !waits {
		due = due || now.Sub(c.member.storeReadAt) >= storeReadInterval
	}
	if !due || silent < elect.LeaderTimeout && unconfirmed < turn && !(rank == 0 && silent >= firstCandidateDelay) {
		return
	}
	c.member.storeReadAt, c.member.readingStore = now, true
	c.runInBackground(c.readStore)
}

// isLargeDeployment reports whether there are so many instances that they must not all turn to the store or the leader at once. c.mu is
// held.
func (c *Coordinator) isLargeDeployment() bool {
	return len(c.member.peers) >= push.MinInstancesForRelays
}

// candidateRank returns the place of this instance among the candidates for the lead after a term. c.mu is held.
func (c *Coordinator) candidateRank(term uint64) int {
	if n, ok := elect.ListedRank(c.leadership.Self, c.member.leader, c.member.peers); ok {
		return n
	}
	return elect.Rank(c.leadership.Self, term, elect.Fitness{Small: c.cfg.Small, Far: c.reader.StoreIsFar()})
}

// readStore reads the store and decides about the lead.
func (c *Coordinator) readStore() {
	defer func() {
		c.mu.Lock()
		c.member.readingStore = false
		c.mu.Unlock()
	}()
	ctx := context.Background()
	if !c.reader.Read(ctx, keyed.Place, 0) {
		return
	}
	c.mu.Lock()
	now := c.cfg.Now()
	lead, known := c.leadership.Record()
	claim := c.leadership.ShouldClaim(now, c.candidateRank(lead.Term))
	silent, large := now.Sub(c.member.heardAt), c.isLargeDeployment()
	newer := lead.Term > c.member.term
	if newer && lead.Term != c.member.newerTerm {
		c.member.newerTerm, c.member.newerTermAt = lead.Term, now
	}
	// A newer leader that goes on being silent may not reach this instance over the connections that it has.
	expected := newer && large && now.Sub(c.member.newerTermAt) < newLeaderDelay
	c.mu.Unlock()
	if claim {
		c.claim(ctx)
		return
	}
	if expected || silent < elect.LeaderTimeout && !newer {
		return
	}
	c.reader.Read(ctx, keyed.Config, 0)
	if !large || silent >= largeReadDelay {
		c.reader.ReadServers(ctx)
	}
	if known && !lead.Resigned && lead.Holder != c.leadership.Self {
		c.introduce(ctx, lead.Holder)
	}
}

// introduce makes this instance known to the leader, which may have started after it or lost sight of it.
func (c *Coordinator) introduce(ctx context.Context, leader string) {
	if r, err := c.client.Pull(ctx, leader, c.leadership.Self); err == nil {
		c.applyStreams(r)
	}
}
