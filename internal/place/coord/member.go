package coord

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/peer/permit"
	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/peer/reads"
	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// storeReadInterval is the interval at which a member without a leader reads the store. A read every second keeps the
	// bounds on configuration and on leaving servers, 2.5 s and more.
	storeReadInterval = 700 * time.Millisecond
	// firstCandidateDelay is how long the leader is silent before candidates of rank 0 look in the store for a renewal that no
	// push reported: two push intervals and their latency. One found later counts from then and delays the claim as much.
	firstCandidateDelay = 800 * time.Millisecond
	// largeReadDelay is how long the leader is silent before members of a large deployment read the store whatever their rank.
	// By then a successor reads it for all; the heartbeats alone are megabytes for each reader.
	largeReadDelay = 2200 * time.Millisecond
	// takeoverLeaseAge is the age of the leader's lease at which members begin to take over: one renewal was missed.
	takeoverLeaseAge = 1700 * time.Millisecond
	// newLeaderDelay is how long members of a large deployment wait for the pushes of a new leader that they found in the
	// store. These come within 0.3 s, unless the leader spends that time answering 81 members that introduce themselves.
	newLeaderDelay = 600 * time.Millisecond
	// takeoverRankDelay is the time between the attempts of successive ranks to replace a leader that is alive but can't reach
	// the store: each call costs money, and the store may be unreachable for all.
	takeoverRankDelay = 200 * time.Millisecond
)

// start obtains all streams, or just the lead record. Until then the instance knows nothing and is not ready.
func (c *Coordinator) start(ctx context.Context) {
	fromLeader := c.cfg.FirstStart && c.startFrom(c.joiner.AwaitFirstLeader(ctx)) || c.startFromLeader(ctx) || c.startFromLeadRecord(ctx)
	done := fromLeader
	for !done && ctx.Err() == nil {
		if done = c.reader.ReadAll(ctx) || c.pullAny(ctx); !done {
			reads.Sleep(ctx, storeReadInterval/2)
		}
	}
	if !fromLeader && c.mayLackOwners() {
		c.pullAll(ctx)
	}
	end, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.started, c.member.startTerm = done, max(c.currentTerm(), lastLostTerm(end))
	c.leadership.MarkStreamsRead(c.cfg.Now())
}

// startFromLeader takes the streams from the leader of a large deployment. It reports false if the leader was succeeded or
// has resigned.
func (c *Coordinator) startFromLeader(ctx context.Context) bool {
	return c.startFrom(c.joiner.LoadFromLeader(ctx))
}

// startFrom finishes a start from a leader whose streams were loaded if ok is set.
func (c *Coordinator) startFrom(leader string, ok bool) bool {
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lead, _ := c.leadership.Record()
	c.log.Info("started-from-leader", "leader", leader, "holder", lead.Holder, "term", lead.Term)
	return lead.Holder == leader && !lead.Resigned
}

// startFromLeadRecord starts with only the lead record and waits for pushes by its holder or a successor. Instances of a large
// deployment do so when no leader answers: most may have been killed together, and if each read all servers, that would fill
// the link to the store. The former holder reads everything and leads again.
func (c *Coordinator) startFromLeadRecord(ctx context.Context) bool {
	l, ok := c.joiner.ReadLead(ctx)
	if !ok || l.Holder == c.leadership.Self || len(l.Members) < push.MinInstancesForRelays {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.leadership.Observe(now, l)
	c.countInstances(len(l.Members))
	if len(c.member.peers) == 0 {
		c.member.peers = l.Members
	}
	// Counts as a push, so that reading all streams is delayed.
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

// pullAny pulls from known instances and seeds until the tables are known.
func (c *Coordinator) pullAny(ctx context.Context) bool {
	for _, a := range c.knownAddresses() {
		if c.pull(ctx, a) {
			return true
		}
	}
	return false
}

// pullAll pulls from all known instances and seeds.
func (c *Coordinator) pullAll(ctx context.Context) {
	var wg conc.WaitGroup
	for _, a := range c.knownAddresses() {
		wg.Go(func() { c.log.Guard(func() { c.pull(ctx, a) }) })
	}
	wg.Wait()
}

// knownAddresses returns the addresses of the other known instances and of the seeds.
func (c *Coordinator) knownAddresses() (addrs []string) {
	c.mu.Lock()
	addrs = append(addrs, c.member.peers...)
	c.mu.Unlock()
	for _, a := range c.cfg.Seeds() {
		addrs = append(addrs, a.String())
	}
	return slices.DeleteFunc(addrs, func(a string) bool { return a == c.leadership.Self })
}

// pull takes the streams of another instance and reports whether the tables are known.
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

// applyStreams takes streams sent by another instance. Their end may lie after a renewal of the lead that they omit.
func (c *Coordinator) applyStreams(r *sitepb.PushRequest) {
	before, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	now, previous := c.cfg.Now(), c.member.toldAt
	c.member.toldAt = now
	c.mu.Unlock()
	if err := stream.Apply(c.book, r.GetStreams()); err != nil {
		c.log.Error("push-unreadable", "from", r.GetFrom(), "error", err)
	}
	after, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteEra(now, before, after)
	// Without new records of the lead or the owners it was told nothing.
	if after == before && c.member.toldAt.Equal(now) {
		c.member.toldAt = previous
	}
}

// handlePush takes a push by the leader. One of an older term, or of the term that this instance leads, is stale.
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
			c.keepReport(now, r.GetTerm())
			c.member.pushNumber, c.member.followedEarlierAt = 0, c.member.followedAt
		}
		c.member.followedAt = now
		c.member.heardAt, c.member.term, c.member.leader = now, r.GetTerm(), r.GetFrom()
		if len(r.GetPeers()) > 0 {
			c.member.peers = r.GetPeers()
		}
		c.instanceCount.Store(int64(max(1, len(c.member.peers))))
		if r.GetNumber() >= c.member.pushNumber {
			// An older push may arrive by a relay after a newer one from the leader itself.
			c.member.pushNumber = r.GetNumber()
			c.member.leaseAge = time.Duration(r.GetUnconfirmedMs()) * time.Millisecond
			c.leadership.ObserveRenewal(now, r.GetFrom(), r.GetTerm(), r.GetLeadOffset())
			c.setMoving(r.GetMoving())
			c.member.memory.Add(decodeRanges(r.GetMoving()))
		}
	}
	peers := c.member.peers
	c.mu.Unlock()
	c.applyStreams(r)
	c.settleMoving(r)
	c.cfg.LearnStrikes(time.Now(), r.GetStrikes())
	permit.MergeLimits(time.Now(), c.cfg.Limits, r.GetLimits())
	if len(r.GetLatencies()) > 0 && !stale {
		c.cfg.LearnLatencies(time.Now(), r.GetLatencies())
	}
	reply := c.newReply(stale)
	reply.Have = stream.Have(c.book)
	if !stale {
		c.relay.Forward(now, r, peers, reply)
		c.cfg.FillReport(time.Now(), reply)
	}
	return reply
}

// newReply returns the reply to a push, without stream offsets and report.
func (c *Coordinator) newReply(stale bool) *sitepb.PushReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &sitepb.PushReply{
		Term: max(c.member.term, c.currentTerm()), Stopping: c.stopping.Load(), Stale: stale, StartTerm: c.member.startTerm,
		Dc: c.cfg.DC, Small: c.cfg.Small, EarlierMs: c.cfg.Now().Sub(c.member.followedEarlierAt).Milliseconds(),
	}
	if !stale {
		r.Number = c.member.pushNumber
	}
	r.Earlier = c.report(c.cfg.Now())
	if !c.member.started {
		// Before a restart it may have followed a newer leader that it has not read of yet.
		r.StartTerm = r.Term
	}
	return r
}

// setMoving publishes which keys are being moved. c.mu is held.
func (c *Coordinator) setMoving(ranges []*sitepb.Range) {
	if len(ranges) == 0 && len(c.builder.MovingRanges) == 0 {
		return
	}
	c.builder.MovingRanges = push.MovingRanges(time.Now(), ranges)
	c.publish()
}

// handlePull returns the leader, the peers and, unless the request is brief, all streams. If this instance leads, it pushes to
// the caller from now on.
func (c *Coordinator) handlePull(r *sitepb.PullRequest) *sitepb.PushRequest {
	c.mu.Lock()
	leading := c.leader != nil
	out := &sitepb.PushRequest{}
	switch {
	case leading:
		out.From, out.Peers = c.leadership.Self, c.leader.peers
	case c.cfg.Now().Sub(c.member.heardAt) < elect.LeaderTimeout:
		out.From, out.Peers = c.member.leader, c.member.peers
	}
	c.mu.Unlock()
	if leading {
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

// memberRound is a member's round of decisions: if the leader is silent or its lease old, it reads the store, and claims the
// lead if it was not renewed there. c.mu is held.
func (c *Coordinator) memberRound(now time.Time) {
	silence := now.Sub(c.member.heardAt)
	c.relay.Repeat(now, c.member.peers)
	if !c.member.started {
		return
	}
	// The leader's lease also ages between its pushes.
	leaseAge := c.member.leaseAge + silence
	if silence < firstCandidateDelay && leaseAge < takeoverLeaseAge || c.member.readingStore || c.appending || c.stopping.Load() {
		return
	}
	if len(c.builder.MovingRanges) > 0 && silence >= elect.LeaderTimeout {
		// The leader will not report the end of these moves.
		c.setMoving(nil)
	}
	lead, _ := c.leadership.Record()
	rank := c.candidateRank(lead.Term)
	takeoverAge := takeoverLeaseAge + time.Duration(rank)*takeoverRankDelay
	// Keys of a server that was lost with the leader stay unserved until the claim.
	due := c.leadership.ShouldClaim(now, rank) && !c.leadership.ShouldClaim(c.member.storeReadAt, rank)
	if waits := c.isLargeDeployment() && rank > 0 && silence >= elect.LeaderTimeout && silence < largeReadDelay; !waits {
		due = due || now.Sub(c.member.storeReadAt) >= storeReadInterval
	}
	if !due || silence < elect.LeaderTimeout && leaseAge < takeoverAge && !(rank == 0 && silence >= firstCandidateDelay) {
		return
	}
	c.member.storeReadAt, c.member.readingStore = now, true
	c.runInBackground(c.readStore)
}

// isLargeDeployment reports whether the instances are too many to call the store or the leader at once. c.mu is held.
func (c *Coordinator) isLargeDeployment() bool {
	return len(c.member.peers) >= push.MinInstancesForRelays
}

// candidateRank returns this instance's rank among the candidates after a term. c.mu is held.
func (c *Coordinator) candidateRank(term uint64) int {
	if n, ok := elect.ListedRank(c.leadership.Self, c.member.leader, c.member.peers); ok {
		return n
	}
	return elect.Rank(c.leadership.Self, term, elect.Fitness{Small: c.cfg.Small, Far: c.reader.StoreIsFar()})
}

// readStore reads the lead from the store. It may then claim it, or read more and introduce this instance to the holder.
func (c *Coordinator) readStore() {
	defer func() {
		c.mu.Lock()
		c.member.readingStore = false
		c.mu.Unlock()
	}()
	ctx := context.Background()
	before, _ := c.book.End(keyed.Place)
	if !c.reader.Read(ctx, keyed.Place, 0) {
		return
	}
	after, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	now := c.cfg.Now()
	c.noteEra(now, before, after)
	lead, known := c.leadership.Record()
	shouldClaim := c.leadership.ShouldClaim(now, c.candidateRank(lead.Term))
	silence, large := now.Sub(c.member.heardAt), c.isLargeDeployment()
	newer := lead.Term > c.member.term
	if newer && lead.Term != c.member.newerTerm {
		c.member.newerTerm, c.member.newerTermAt = lead.Term, now
	}
	// Later, the newer leader may be unable to reach this instance over the connections that it has.
	awaitPush := newer && large && now.Sub(c.member.newerTermAt) < newLeaderDelay
	c.mu.Unlock()
	if shouldClaim {
		c.claim(ctx)
		return
	}
	if awaitPush || silence < elect.LeaderTimeout && !newer {
		return
	}
	c.reader.Read(ctx, keyed.Config, 0)
	if !large || silence >= largeReadDelay {
		c.reader.ReadServers(ctx)
	}
	if known && !lead.Resigned && lead.Holder != c.leadership.Self {
		c.introduce(ctx, lead.Holder)
	}
}

// introduce makes this instance known to the leader, which may have started after it or forgotten it.
func (c *Coordinator) introduce(ctx context.Context, leader string) {
	if r, err := c.client.Pull(ctx, leader, c.leadership.Self); err == nil {
		c.applyStreams(r)
	}
}
