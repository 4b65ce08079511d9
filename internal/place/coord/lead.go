package coord

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleycove/bramleycove/internal/peer/reads"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/build"
	"github.com/bramleycove/bramleycove/internal/place/chunks"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/place/load"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// claim tries to take the lead over.
func (c *Coordinator) claim(ctx context.Context) {
	c.mu.Lock()
	if c.appending || c.leader != nil {
		c.mu.Unlock()
		return
	}
	c.appending = true
	earlier, known := c.leadership.Record()
	renewed := c.leadership.RenewedAt()
	if c.member.toldAt.After(renewed) {
		renewed = c.member.toldAt
	}
	// Until this instance records its own members it has no witnesses. A successor that finds only this claim, whose answer
	// may be lost, waits for those of the leader before.
	next := c.leadership.NextRecord(rand.Uint64(), earlier.Members, false)
	end, _ := c.book.End(keyed.Place)
	c.mu.Unlock()
	start := c.cfg.Now()
	if !known {
		renewed = start
	}
	newEnd, err := c.appendLead(ctx, end, next, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appending = false
	if err != nil {
		c.log.Info("claim-failed", "term", next.Term, "at", end, "error", err)
		return
	}
	now := c.cfg.Now()
	next.Offset = newEnd - 1
	c.leadership.ConfirmAppend(now, start, next)
	c.log.Info("claimed", "term", next.Term, "at", end, "fence", c.builder.HighestFence)
	c.beginLeading(now, earlier, renewed)
}

// appendLead writes the lead, and the owners if any, at the end of the place stream.
func (c *Coordinator) appendLead(ctx context.Context, at uint64, l elect.LeadRecord, owners map[string][]byte) (end uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, reads.CallTimeout)
	defer cancel()
	var entries []keyed.Entry
	for key, value := range owners {
		entries = append(entries, keyed.Entry{Key: key, Value: value})
	}
	lead, err := build.EncodeLead(l)
	if err != nil {
		return 0, err
	}
	entries = append(entries, lead)
	end, err = c.cfg.Log.Append(ctx, keyed.Place, int64(at), entries)
	if err != nil {
		return 0, err
	}
	for i := range entries {
		entries[i].Offset = end - uint64(len(entries)) + uint64(i)
	}
	c.book.Apply(keyed.Place, keyed.Batch{Entries: entries, End: end}, false)
	return end, nil
}

// beginLeading begins to lead. The earlier leader, whose last renewal began before renewed, may act until its members follow this
// one, and its grants hold on after that. One that resigned sends no more. c.mu is held.
func (c *Coordinator) beginLeading(now time.Time, earlier elect.LeadRecord, renewed time.Time) {
	inherited := renewed.Add(elect.MaxUnconfirmed + grantTimeout + c.maxGrantDuration())
	if earlier.Resigned {
		inherited = now.Add(grantTimeout + c.maxGrantDuration())
	}
	c.leader = &leaderState{
		earlierRecord: earlier, earlierRenewedAt: renewed, quorum: elect.NewQuorum(nil), successionQuorum: elect.NewQuorum(earlier.Members),
		startedAt: now, keepers: make(map[string]*assign.Assigner), gathers: make(map[string]*assign.InitialDelay), gauge: load.New(),
		maxFence: c.builder.HighestFence,
	}
	c.leader.successionQuorum.AddAck(c.leadership.Self, now, c.member.followedAt)
	for pool, m := range c.builder.Owners {
		c.leader.keepers[pool] = assign.New(m, &c.leader.maxFence, now, inherited)
	}
	c.relay.SetPeers(now, nil)
	// What an earlier lead of this instance knew of the others is too old: it would count as silence.
	c.pusher.SetPeers(now, nil)
	c.pusher.AddMissing(now, c.member.peers)
	// One that has just started knows the others by the record of the earlier lead alone.
	c.pusher.AddMissing(now, earlier.Members)
	for _, a := range c.cfg.Seeds() {
		c.pusher.AddMissing(now, []string{a.String()})
	}
	// The order of the earlier leader holds until the members have said where they are.
	c.leader.sortedPeers, c.leader.sortedAt = c.pusher.AllAddresses(), now
	if c.leader.peers = c.member.peers; !slices.Equal(slices.Sorted(slices.Values(c.leader.peers)), c.leader.sortedPeers) {
		c.leader.peers = c.leader.sortedPeers
	}
}

// grantDuration returns how long grants last.
func (c *Coordinator) grantDuration() time.Duration { return min(assign.GrantDuration, c.cfg.MaxHold) }

// maxGrantDuration returns how long a grant may hold at a server whose clock is slow, with a margin.
func (c *Coordinator) maxGrantDuration() time.Duration {
	return c.grantDuration() + c.grantDuration()/20
}

// addFollower takes a member's word that it followed in an exchange between start and now. c.mu is held.
func (c *Coordinator) addFollower(addr string, start, now time.Time, r *sitepb.PushReply) {
	l := c.leader
	if r.GetStale() || r.GetTerm() != c.currentTerm() {
		return
	}
	if r.GetStartTerm() < c.currentTerm() {
		l.quorum.AddAck(addr, start, start)
	}
	l.successionQuorum.AddAck(addr, start, now.Add(-time.Duration(r.GetEarlierMs())*time.Millisecond))
	if _, ok := l.successionQuorum.MajoritySince(); !ok {
		return
	}
	// A grant that the earlier leader was permitted to send may arrive until its call is given up.
	until := elect.EarlierHolderStopTime(l.earlierRenewedAt, l.successionQuorum).Add(grantTimeout + c.maxGrantDuration())
	if !l.inheritedUntil.IsZero() && l.inheritedUntil.Sub(until) < decisionInterval {
		return
	}
	// Members that answer later may know better: those that were restarted count from their start.
	l.inheritedUntil = until
	for _, k := range l.keepers {
		k.LimitInherited(until)
	}
	c.log.Info("succeeded", "earlier", l.earlierRecord.Term, "term", c.currentTerm(), "wait", until.Sub(l.startedAt))
}

// mayAct reports whether this instance may give orders. c.mu is held.
func (c *Coordinator) mayAct(now time.Time) bool {
	c.leader.quorum.AddAck(c.leadership.Self, now, now)
	return c.leadership.MayAct(now, c.leader.quorum)
}

// needsNewTerm reports whether so few members are witnesses of this term, because most were started during it, that a new
// one is needed. c.mu is held.
func (c *Coordinator) needsNewTerm(now time.Time) bool {
	since, ok := c.leader.quorum.MajoritySince()
	return now.Sub(c.leader.startedAt) > quorumSettleTime && (!ok || now.Sub(since) > quorumLossTimeout) && c.leadership.UnconfirmedFor(now) < elect.LeaseDuration
}

// stopLeading ends the lead, as another instance has a newer claim. c.mu is held.
func (c *Coordinator) stopLeading(now time.Time) {
	c.log.Warn("lead-lost", "term", c.currentTerm(), "unconfirmed", c.leadership.UnconfirmedFor(now))
	c.leader = nil
	c.leadership.MarkLost()
	c.member.followedAt = now // itself
	c.member.heardAt = now.Add(-elect.LeaderTimeout)
	c.setMoving(nil)
}

// currentTerm returns the term of the newest known lead. c.mu is held.
func (c *Coordinator) currentTerm() uint64 {
	l, _ := c.leadership.Record()
	return l.Term
}

// recordChanges writes what changed to the store, and renews the lead. c.mu is held.
func (c *Coordinator) recordChanges(now time.Time) {
	dirty := false
	owners := make(map[string]spans.Map, len(c.leader.keepers))
	for pool, k := range c.leader.keepers {
		m, changed := k.Map()
		owners[pool] = m
		dirty = dirty || changed
	}
	if c.appending || !dirty && !c.leadership.RenewalDue(now) || now.Sub(c.leader.lastAppend) < minAppendInterval {
		return
	}
	c.appending, c.leader.lastAppend = true, now
	var msg map[string][]byte
	fence := c.leader.maxFence
	if dirty {
		var err error
		if msg, err = chunks.EncodeChanged(c.builder.Chunks, owners, fence); err != nil {
			c.log.Error("owners-unrecorded", "error", err)
			c.appending = false
			return
		}
		for _, k := range c.leader.keepers {
			k.BeginRecord()
		}
	}
	next := c.leadership.NextRecord(rand.Uint64(), c.leader.peers, c.needsNewTerm(now))
	end, _ := c.book.End(keyed.Place)
	l := c.leader
	c.runInBackground(func() { c.writeRecord(l, end, next, msg, fence) })
}

// writeRecord appends a record and takes the result.
func (c *Coordinator) writeRecord(l *leaderState, at uint64, next elect.LeadRecord, msg map[string][]byte, fence uint64) {
	start := c.cfg.Now()
	end, err := c.appendLead(context.Background(), at, next, msg)
	c.reader.NoteResult(keyed.Place, err)
	conflict := new(keyed.ConflictError)
	if errors.As(err, &conflict) {
		// Another claim, or an append of this instance whose answer was lost.
		c.reader.Read(context.Background(), keyed.Place, 0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appending = false
	if c.leader != l {
		return
	}
	now := c.cfg.Now()
	if err != nil {
		l.lastAppend = now.Add(appendRetryDelay - minAppendInterval)
	}
	switch {
	case err == nil:
		next.Offset = end - 1
		c.leadership.ConfirmAppend(now, start, next)
		l.quorum.SetMembers(next.Members)
		// Members that know each renewal at once do not mistake one that they read later for a sign of life.
		l.newsNumber++
		if msg != nil {
			for _, k := range l.keepers {
				k.ConfirmRecord(fence)
			}
		}
	case msg != nil:
		for _, k := range l.keepers {
			k.FailRecord()
		}
	}
}

// resignLead gives the lead up, if this instance has it, and tells the members, so that one of them claims it at once.
func (c *Coordinator) resignLead() {
	c.mu.Lock()
	l := c.leader
	if l != nil {
		l.resigning = true
	}
	for c.leader != nil && c.appending {
		// An append is under way and ends within its timeout. No other one begins.
		c.mu.Unlock()
		time.Sleep(decisionInterval / 2)
		c.mu.Lock()
	}
	if l == nil || c.leader != l {
		c.mu.Unlock()
		return
	}
	c.appending = true
	next := c.leadership.NextRecord(rand.Uint64(), c.leader.peers, false)
	next.Resigned = true
	end, _ := c.book.End(keyed.Place)
	c.mu.Unlock()
	if _, err := c.appendLead(context.Background(), end, next, nil); err != nil {
		c.log.Warn("resignation-failed", "term", next.Term, "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appending = false
	if c.leader == l {
		l.newsNumber++
		c.pusher.PushRound(c.cfg.Now(), l.newsNumber, l.peers)
		c.stopLeading(c.cfg.Now())
	}
}
