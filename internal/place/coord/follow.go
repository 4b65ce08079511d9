package coord

import (
	"context"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/reads"
	"github.com/bramleycove/bramleycove/internal/peer/spread"
	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/place/tenure"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// askEvery is the interval at which a member without a leader reads the store. The bounds on configuration and on
	// leaving servers, 2.5 s and more, hold with a reading every second.
	askEvery = 700 * time.Millisecond
	// glance is how long the first candidates hear nothing before they look for a renewal that the leader did not tell of: two
	// pushes and their way. One that is seen later counts as a sign of life then, and puts the claim off as much.
	glance = 800 * time.Millisecond
	// patience is how long the members of a large deployment hear nothing before they read the store whether or not it is their
	// turn to succeed the leader. A successor reads it for all by then; the heartbeats alone are megabytes for each of them.
	patience = 2200 * time.Millisecond
	// strained is the age of the leader's lease from which on members try to take over: one renewal was missed.
	strained = 1700 * time.Millisecond
	// newerPatience is how long the members of a large deployment wait for the pushes of a new leader that they read of in the
	// store. These come within 0.3 s, unless the leader spends that time on answering 81 members that introduce themselves.
	newerPatience = 600 * time.Millisecond
	// successorStep keeps the members apart that try to replace a leader that lives but can't reach the store: each call
	// is priced, and the store may be away for all.
	successorStep = 200 * time.Millisecond
)

// start learns all streams. Until that succeeds the instance knows nothing and is not ready.
func (c *Coord) start(ctx context.Context) {
	done := c.startFromLeader(ctx) || c.startFromLead(ctx)
	for !done && ctx.Err() == nil {
		if done = c.reader.All(ctx) || c.pullAny(ctx); !done {
			reads.Sleep(ctx, askEvery/2)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.member.started, c.member.startTerm = done, c.term()
	c.tenure.Start(c.cfg.Now())
}

// startFromLeader learns the state from the leader of a large deployment. That of a leader that has been succeeded does not
// count.
func (c *Coord) startFromLeader(ctx context.Context) bool {
	leader, ok := c.joiner.FromLeader(ctx)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	lead, _ := c.tenure.Lead()
	c.log.Info("started-from-leader", "leader", leader, "holder", lead.Holder, "term", lead.Term)
	return lead.Holder == leader && !lead.Resigned
}

// startFromLead begins with nothing but the record of the lead, and waits for the pushes of its holder or a successor. An
// instance of a large deployment starts so when no leader answers: most of them may have been killed together, and their
// reading all servers would fill the link to the store. The former holder itself reads all, and leads again.
func (c *Coord) startFromLead(ctx context.Context) bool {
	l, ok := c.joiner.Lead(ctx)
	if !ok || l.Holder == c.tenure.Self || len(l.Members) < spread.RelayFrom {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.tenure.Observe(now, l)
	if len(c.member.peers) == 0 {
		c.member.peers = l.Members
	}
	// This counts as a sign of the leader, so that reading everything is put off.
	c.member.heard = later(c.member.heard, now)
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
func (c *Coord) pullAny(ctx context.Context) bool {
	c.mu.Lock()
	addrs := append([]string(nil), c.member.peers...)
	c.mu.Unlock()
	for _, a := range c.cfg.Seeds() {
		addrs = append(addrs, a.String())
	}
	for _, a := range addrs {
		if a != c.tenure.Self && c.pull(ctx, a) {
			return true
		}
	}
	return false
}

// pull takes the state of another instance.
func (c *Coord) pull(ctx context.Context, addr string) bool {
	r, err := c.client.Pull(ctx, addr, c.tenure.Self)
	if err != nil {
		c.log.Warn("pull-failed", "peer", addr, "error", err)
		return false
	}
	c.apply(r)
	_, known := c.book.End(keyed.Config)
	return known
}

// apply takes the streams of another instance. They may end behind a renewal of the lead that is not among them.
func (c *Coord) apply(r *sitepb.PushRequest) {
	before, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	now, told := c.cfg.Now(), c.member.told
	c.member.told = now
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
	if c.member.told.Equal(now) {
		c.member.told = told
	}
}

// pushed takes the news of the leader.
func (c *Coord) pushed(r *sitepb.PushRequest) *sitepb.PushReply {
	now := c.cfg.Now()
	c.mu.Lock()
	stale := r.GetTerm() < max(c.member.term, c.term()) || c.lead != nil && r.GetTerm() == c.term()
	if !stale {
		if c.lead != nil {
			c.resign(now)
		}
		if r.GetTerm() > c.member.term {
			c.log.Info("leader", "leader", r.GetFrom(), "term", r.GetTerm())
			c.member.number, c.member.earlier = 0, c.member.followed
		}
		c.member.followed = now
		c.member.heard, c.member.term, c.member.leader = now, r.GetTerm(), r.GetFrom()
		if len(r.GetPeers()) > 0 {
			c.member.peers = r.GetPeers()
		}
		c.peers.Store(int64(max(1, len(c.member.peers))))
		if r.GetNumber() >= c.member.number {
			// An older push may arrive over a relay after a newer one of the leader itself.
			c.member.number = r.GetNumber()
			c.member.unconfirmed = time.Duration(r.GetUnconfirmedMs()) * time.Millisecond
			c.tenure.Renewed(now, r.GetFrom(), r.GetTerm(), r.GetLeadOffset())
			c.setMoving(r.GetMoving())
		}
	}
	peers := c.member.peers
	c.mu.Unlock()
	c.apply(r)
	c.cfg.Learn(time.Now(), r.GetStrikes())
	reply := c.reply(stale)
	reply.Have = stream.Have(c.book)
	if !stale {
		c.relay.Pass(now, r, peers, reply)
		c.cfg.Report(time.Now(), reply)
	}
	return reply
}

// reply returns the part of an answer to a push that concerns the lead.
func (c *Coord) reply(stale bool) *sitepb.PushReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &sitepb.PushReply{
		Term: max(c.member.term, c.term()), Stopping: c.stopping.Load(), Stale: stale, StartTerm: c.member.startTerm,
		Dc: c.cfg.DC, Small: c.cfg.Small, EarlierMs: c.cfg.Now().Sub(c.member.earlier).Milliseconds(),
	}
	if !c.member.started {
		// It may have followed a newer leader in its life before, and has not read of it yet.
		r.StartTerm = r.Term
	}
	return r
}

// setMoving notes which keys change hands. c.mu is held.
func (c *Coord) setMoving(ranges []*sitepb.Range) {
	if len(ranges) == 0 && len(c.build.MovingRanges) == 0 {
		return
	}
	c.build.MovingRanges = spread.Runs(time.Now(), ranges)
	c.publish()
}

// pulled answers an instance that asks for everything. If this one leads, it pushes to that one from now on.
func (c *Coord) pulled(r *sitepb.PullRequest) *sitepb.PushRequest {
	c.mu.Lock()
	leads := c.lead != nil
	out := &sitepb.PushRequest{}
	switch {
	case leads:
		out.From, out.Peers = c.tenure.Self, c.lead.peers
	case c.cfg.Now().Sub(c.member.heard) < tenure.Silence:
		out.From, out.Peers = c.member.leader, c.member.peers
	}
	c.mu.Unlock()
	if leads {
		c.pusher.Meet(c.cfg.Now(), r.GetFrom())
	}
	if r.GetBrief() {
		return out
	}
	for t := range keyed.Count {
		if _, known := c.book.End(t); known {
			batch, _ := c.book.Since(t, 0)
			out.Streams = append(out.Streams, stream.Encode(t, batch, true))
		}
	}
	return out
}

// follow is a member's round: without news from a leader it reads the store, and claims the lead when its holder is
// silent there as well. c.mu is held.
func (c *Coord) follow(now time.Time) {
	silent := now.Sub(c.member.heard)
	c.relay.Again(now, c.member.peers)
	if !c.member.started {
		return
	}
	// The age of the leader's lease goes on growing between its pushes.
	unconfirmed := c.member.unconfirmed + silent
	if silent < glance && unconfirmed < strained || c.member.busy || c.pending || c.stopping.Load() {
		return
	}
	if len(c.build.MovingRanges) > 0 && silent >= tenure.Silence {
		// The leader's next word on these keys will not come.
		c.setMoving(nil)
	}
	lead, _ := c.tenure.Lead()
	rank := c.rank(lead.Term)
	turn := strained + time.Duration(rank)*successorStep
	// Keys of a server that is lost with the leader wait for the claim.
	due := c.tenure.Claimable(now, rank) && !c.tenure.Claimable(c.member.asked, rank)
	if waits := c.large() && rank > 0 && silent >= tenure.Silence && silent < patience; !waits {
		due = due || now.Sub(c.member.asked) >= askEvery
	}
	if !due || silent < tenure.Silence && unconfirmed < turn && !(rank == 0 && silent >= glance) {
		return
	}
	c.member.asked, c.member.busy = now, true
	c.background(c.ask)
}

// large reports whether there are so many instances that they must not all turn to the store or the leader at once. c.mu is
// held.
func (c *Coord) large() bool { return len(c.member.peers) >= spread.RelayFrom }

// rank returns the place of this instance among the candidates for the lead after a term. c.mu is held.
func (c *Coord) rank(term uint64) int {
	if n, ok := tenure.Turn(c.tenure.Self, c.member.leader, c.member.peers); ok {
		return n
	}
	return tenure.Rank(c.tenure.Self, term, tenure.Fitness{Small: c.cfg.Small, Far: c.reader.Far()})
}

// ask reads the store and decides about the lead.
func (c *Coord) ask() {
	defer func() {
		c.mu.Lock()
		c.member.busy = false
		c.mu.Unlock()
	}()
	ctx := context.Background()
	if !c.reader.Read(ctx, keyed.Place, 0) {
		return
	}
	c.mu.Lock()
	now := c.cfg.Now()
	lead, known := c.tenure.Lead()
	claim := c.tenure.Claimable(now, c.rank(lead.Term))
	silent, large := now.Sub(c.member.heard), c.large()
	newer := lead.Term > c.member.term
	if newer && lead.Term != c.member.readTerm {
		c.member.readTerm, c.member.readSince = lead.Term, now
	}
	// A newer leader that goes on being silent may not reach this instance over the connections that it has.
	expected := newer && large && now.Sub(c.member.readSince) < newerPatience
	c.mu.Unlock()
	if claim {
		c.claim(ctx)
		return
	}
	if expected || silent < tenure.Silence && !newer {
		return
	}
	c.reader.Read(ctx, keyed.Config, 0)
	if !large || silent >= patience {
		c.reader.Servers(ctx)
	}
	if known && !lead.Resigned && lead.Holder != c.tenure.Self {
		c.introduce(ctx, lead.Holder)
	}
}

// introduce makes this instance known to the leader, which may have started after it or lost sight of it.
func (c *Coord) introduce(ctx context.Context, leader string) {
	if r, err := c.client.Pull(ctx, leader, c.tenure.Self); err == nil {
		c.apply(r)
	}
}
