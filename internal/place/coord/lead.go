package coord

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
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

// claim tries to append a claim, and begins to lead if the store accepts it.
func (c *Coordinator) claim(ctx context.Context) {
	c.mu.Lock()
	if c.appending || c.leader != nil {
		c.mu.Unlock()
		return
	}
	c.appending = true
	earlier, known := c.leadership.Record()
	// The store may have lost renewals up to its restoration.
	renewed := later(later(c.leadership.RenewedAt(), c.member.toldAt), c.member.restoredAt)
	// This instance has no quorum until a renewal records its own members. A successor that finds only this claim, whose answer
	// may be lost, waits for the earlier members.
	end, _ := c.book.End(keyed.Place)
	c.leadership.MinTerm = firstNumber(end)
	next := c.leadership.NextRecord(rand.Uint64(), earlier.Members, false)
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
		c.log.Info("claim-failed", "term", next.Term, "at", keyed.FormatPosition(end), "error", err)
		return
	}
	now := c.cfg.Now()
	next.Offset = newEnd - 1
	c.leadership.ConfirmAppend(now, start, next)
	c.log.Info("claimed", "term", next.Term, "at", keyed.FormatPosition(end), "fence", c.builder.HighestFence)
	c.beginLeading(now, earlier, renewed, end)
}

// appendLead appends the lead, and the owners if any, to the place stream if it still ends at at.
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

// beginLeading sets up the leader's state. The earlier leader, whose last renewal began before renewed, may act until its
// members follow this one, and its grants last longer. One that resigned sends no more grants. The place stream ended at end.
// c.mu is held.
func (c *Coordinator) beginLeading(now time.Time, earlier elect.LeadRecord, renewed time.Time, end uint64) {
	inheritedUntil := renewed.Add(elect.MaxUnconfirmed + grantTimeout + c.maxGrantDuration())
	if earlier.Resigned {
		inheritedUntil = now.Add(grantTimeout + c.maxGrantDuration())
	}
	c.leader = &leaderState{
		term: c.currentTerm(), earlierRecord: earlier, earlierRenewedAt: renewed, quorum: elect.NewQuorum(nil), successionQuorum: elect.NewQuorum(earlier.Members),
		startedAt: now, keepers: make(map[string]*assign.Assigner), gathers: make(map[string]*assign.InitialDelay), gauge: load.New(),
		permits:  quota.NewArbiter(c.cfg.Limits),
		maxFence: max(c.builder.HighestFence, firstNumber(end)), recordedEra: keyed.Era(end),
	}
	c.leader.gauge.NamedRate = c.namedRate
	c.leader.successionQuorum.AddAck(c.leadership.Self, now, c.member.followedAt)
	unsure := false
	for pool, m := range c.builder.Owners {
		k := assign.New(m, &c.leader.maxFence, now, inheritedUntil)
		if c.mayLackMoves(pool, end) {
			k.DistrustOwners(now, inheritedUntil)
			c.log.Warn("owners-unsure", "pool", pool, "end", keyed.FormatPosition(end))
			unsure = true
		}
		c.setPushNumbers(k)
		c.leader.keepers[pool] = k
	}
	if unsure {
		c.beginSurvey(now, c.currentTerm())
	}
	c.relay.SetPeers(now, nil)
	// What this instance knew of the others when it last led is so old that they would count as silent.
	c.pusher.SetPeers(now, nil)
	c.pusher.AddMissing(now, c.member.peers)
	// An instance that has just started knows the others only by the earlier lead.
	c.pusher.AddMissing(now, earlier.Members)
	for _, a := range c.cfg.Seeds() {
		c.pusher.AddMissing(now, []string{a.String()})
	}
	// Keep the earlier leader's order of succession until the members have reported their data centres.
	c.leader.sortedPeers, c.leader.sortedAt = c.pusher.AllAddresses(), now
	if c.leader.peers = c.member.peers; !slices.Equal(slices.Sorted(slices.Values(c.leader.peers)), c.leader.sortedPeers) {
		c.leader.peers = c.leader.sortedPeers
	}
}

// grantDuration returns how long grants last by the server's clock.
func (c *Coordinator) grantDuration() time.Duration { return min(assign.GrantDuration, c.cfg.MaxHold) }

// maxGrantDuration returns how long a grant may last if the server's clock is slow, with a margin.
func (c *Coordinator) maxGrantDuration() time.Duration {
	return c.grantDuration() + c.grantDuration()/20
}

// addFollower takes a member's reply that it followed in an exchange between start and now. c.mu is held.
func (c *Coordinator) addFollower(addr string, start, now time.Time, r *sitepb.PushReply) {
	l := c.leader
	if r.GetStale() || r.GetTerm() != c.currentTerm() {
		return
	}
	c.addReport(now, addr, r)
	l.quorum.AddNumber(addr, pushNumber(r))
	if r.GetStartTerm() < c.currentTerm() {
		l.quorum.AddAck(addr, start, start)
	}
	l.successionQuorum.AddAck(addr, start, now.Add(-time.Duration(r.GetEarlierMs())*time.Millisecond))
	if _, ok := l.successionQuorum.MajoritySince(); !ok {
		return
	}
	// A grant sent by the earlier leader while it could act may arrive until its call times out.
	until := elect.EarlierHolderStopTime(l.earlierRenewedAt, l.successionQuorum).Add(grantTimeout + c.maxGrantDuration())
	if !l.inheritedUntil.IsZero() && l.inheritedUntil.Sub(until) < decisionInterval {
		return
	}
	// Further replies may lower the bound: restarted members report that they followed the earlier leader until their start.
	l.inheritedUntil = until
	for _, k := range l.keepers {
		k.LimitInherited(until)
	}
	c.log.Info("succeeded", "earlier", l.earlierRecord.Term, "term", c.currentTerm(), "wait", until.Sub(l.startedAt))
}

// pushNumber returns the number of the newest push that a member has taken. An older build does not tell, and holds up no moves.
func pushNumber(r *sitepb.PushReply) uint64 {
	if n := r.GetNumber(); n > 0 {
		return n
	}
	return math.MaxUint64
}

// setPushNumbers tells a keeper which moves a majority of the members knows of. c.mu is held.
func (c *Coordinator) setPushNumbers(k *assign.Assigner) {
	c.leader.quorum.AddNumber(c.leadership.Self, math.MaxUint64)
	k.PushNumber, k.WitnessedPush = c.pusher.LastNumber(), c.leader.quorum.MajorityNumber()
}

// mayAct reports whether this instance may send orders. c.mu is held.
func (c *Coordinator) mayAct(now time.Time) bool {
	c.leader.quorum.AddAck(c.leadership.Self, now, now)
	return c.leadership.MayAct(now, c.leader.quorum)
}

// needsNewTerm reports whether too few members count for the quorum, as those started during this term do not. c.mu is held.
func (c *Coordinator) needsNewTerm(now time.Time) bool {
	since, ok := c.leader.quorum.MajoritySince()
	return now.Sub(c.leader.startedAt) > quorumSettleTime && (!ok || now.Sub(since) > quorumLossTimeout) && c.leadership.UnconfirmedFor(now) < elect.LeaseDuration
}

// stopLeading makes this instance a member, after a resignation or another instance's claim. c.mu is held.
func (c *Coordinator) stopLeading(now time.Time) {
	c.log.Warn("lead-lost", "term", c.currentTerm(), "unconfirmed", c.leadership.UnconfirmedFor(now))
	c.member.memory.Complete(c.leader.term, decodeRanges(c.movingRanges(now)))
	c.leader = nil
	c.leadership.MarkLost()
	c.member.followedAt = now // as leader it followed itself
	c.member.heardAt = now.Add(-elect.LeaderTimeout)
	c.setMoving(nil)
}

// currentTerm returns the term of the newest known lead. c.mu is held.
func (c *Coordinator) currentTerm() uint64 {
	l, _ := c.leadership.Record()
	return l.Term
}

// recordChanges appends changed owners and renews the lead. c.mu is held.
func (c *Coordinator) recordChanges(now time.Time) {
	dirty := false
	owners := make(map[string]spans.Map, len(c.leader.keepers))
	for pool, k := range c.leader.keepers {
		m, changed := k.Map()
		owners[pool] = m
		dirty = dirty || changed
	}
	end, _ := c.book.End(keyed.Place)
	rewrite := keyed.Era(end) != c.leader.recordedEra
	dirty = dirty || rewrite
	if c.appending || !dirty && !c.leadership.RenewalDue(now) || !c.mayAppend(now) {
		return
	}
	c.appending, c.leader.lastAppend = true, now
	var ownerRecords map[string][]byte
	recorded := c.builder.Chunks
	if rewrite {
		recorded, c.leader.maxFence = nil, max(c.leader.maxFence, firstNumber(end))
	}
	fence := c.leader.maxFence
	if dirty {
		var err error
		if ownerRecords, err = chunks.EncodeChanged(recorded, owners, fence); err != nil {
			c.log.Error("owners-unrecorded", "error", err)
			c.appending = false
			return
		}
		for _, k := range c.leader.keepers {
			k.BeginRecord(now)
		}
	}
	c.leadership.MinTerm = firstNumber(end)
	next := c.leadership.NextRecord(rand.Uint64(), c.leader.peers, c.needsNewTerm(now))
	c.leadership.BeginAppend(now, next)
	l := c.leader
	c.runInBackground(func() { c.writeRecord(l, end, next, ownerRecords, fence) })
}

// mayAppend reports whether the last append is long enough ago. c.mu is held.
func (c *Coordinator) mayAppend(now time.Time) bool {
	if c.leader.failedAppends > 0 {
		return !now.Before(c.leader.retryAt)
	}
	return now.Sub(c.leader.lastAppend) >= minAppendInterval
}

// noteAppend notes how an append ended.
func (l *leaderState) noteAppend(now time.Time, err error) {
	if err == nil {
		l.failedAppends = 0
		return
	}
	l.failedAppends++
	l.retryAt = now.Add(slowRetryDelay)
	if l.failedAppends <= quickRetries {
		l.retryAt = now.Add(quickRetryDelay)
	}
}

// writeRecord appends a lead record, with owners if any, and handles the result.
func (c *Coordinator) writeRecord(l *leaderState, at uint64, next elect.LeadRecord, ownerRecords map[string][]byte, fence uint64) {
	start := c.cfg.Now()
	end, err := c.appendLead(context.Background(), at, next, ownerRecords)
	c.reader.NoteResult(keyed.Place, err)
	conflict := new(keyed.ConflictError)
	if errors.As(err, &conflict) {
		// Another instance's claim, or an append of this instance whose answer was lost.
		c.reader.Read(context.Background(), keyed.Place, 0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appending = false
	if c.leader != l {
		return
	}
	now := c.cfg.Now()
	l.noteAppend(now, err)
	switch {
	case err == nil:
		next.Offset = end - 1
		c.leadership.ConfirmAppend(now, start, next)
		l.term = next.Term
		l.quorum.SetMembers(next.Members)
		// Members that learn of a renewal at once do not take it for a new sign of life when they read it later.
		l.newsNumber++
		if ownerRecords != nil {
			l.recordedEra = keyed.Era(end)
			for _, k := range l.keepers {
				k.ConfirmRecord(fence)
			}
		}
	case ownerRecords != nil:
		for _, k := range l.keepers {
			k.FailRecord()
		}
	}
}

// resignLead resigns the lead, if this instance holds it, and tells the members, so that one of them claims it at once.
func (c *Coordinator) resignLead() {
	c.mu.Lock()
	l := c.leader
	if l != nil {
		l.resigning = true
	}
	for c.leader != nil && c.appending {
		// Wait for the current append, which ends within its timeout. No other one begins.
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
