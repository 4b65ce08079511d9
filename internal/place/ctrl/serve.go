package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/place/slots"
	"github.com/bramleycove/bramleycove/internal/place/writes"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	// A pass over the slots is made every busyPlanInterval during moves, otherwise every idlePlanInterval or after a
	// change, and never more often than minPlanInterval: a pass over 65,536 slots takes milliseconds.
	minPlanInterval  = 10 * time.Millisecond
	busyPlanInterval = 50 * time.Millisecond
	idlePlanInterval = lease.Interval
	// maxLaneDelay is how long a new holder's replies may lack lanes while it waits for its first grants. Until then
	// members keep the lanes of the earlier pair, whose slots they would otherwise drop for a moment.
	maxLaneDelay = 200 * time.Millisecond
	// renewalQuietTime is how long no slot may have moved when a holder renews its term. A successor of the old term may
	// have had authority unnoticed for D, and may use older reports; their age plus D is far shorter than this time.
	renewalQuietTime = 2 * (lease.ConfirmationValidity + lease.Validity)
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// isSuperseded reports whether the log has a later term. This holder then only renews grants.
func (c *Core) isSuperseded() bool { return c.cell.Term > c.Pair.Term }

// serve does one step of an instance that holds the role.
func (c *Core) serve(now time.Time) {
	if c.isSuperseded() {
		if c.cell.Holder == c.ID {
			if !c.renewing || c.Pair.Term != c.cell.Term {
				c.beginPair(now, lease.Pair{Term: c.cell.Term}, c.quorum.Holds(now) && c.isQuiet(now))
			}
		} else if !c.quorum.Holds(now) {
			c.yieldTo(now, lease.Pair{Term: c.cell.Term}, "superseded")
			return
		}
	}
	if c.renewing {
		c.displaceEarlierPairs(now)
	}
	if c.State != Serving {
		return
	}
	c.AuthorityUntil = c.quorum.ValidUntil()
	c.laneTable.RecordContact(now, c.ID, c.PeerAddr.String(), c.leaving)
	c.fleet.UpdateLiveness(now)
	c.dirty = c.fleet.TakeChanged() || c.dirty
	c.askSilentPeers(now)
	c.fleet.Exposure.Prune(now)
	if since := now.Sub(c.plannedAt); since >= idlePlanInterval || (c.dirty && since >= minPlanInterval) ||
		(c.MovingSlots+c.UnloggedMoves > 0 && since >= busyPlanInterval) {
		c.arrangeSlots(now)
	}
	c.appendReady(now)
	c.renewTermIfNeeded(now)
	c.fleet.SendDue(now, c.hasAuthority(now))
}

// askSilentPeers asks instances without heartbeats to confirm the pair, which also tells them who the controller is.
func (c *Core) askSilentPeers(now time.Time) {
	for _, n := range sortedKeys(c.peers) {
		p := c.peers[n]
		if c.heartbeats.IsSilent(now, p.id) && now.Sub(p.askedAt) >= lease.Interval {
			c.sendFence(now, n, p, c.fenceRequest())
		}
	}
}

// arrangeSlots makes a pass over the slots of all pools and updates the lanes.
func (c *Core) arrangeSlots(now time.Time) {
	c.dirty, c.plannedAt = false, now
	pass := slots.Pass{
		Now: now, DC: c.DC, Pair: c.Pair, Cell: c.cell, Placement: c.placement, Tables: c.tables, LostDCs: c.lostDCs,
		EarlierLapsed: c.earlierLapsedAt, LogContact: c.logContact, Fleet: c.fleet, Lanes: c.laneTable, Log: &c.appends,
		Event: c.logEvent, RemoteContact: c.RemoteContact, Balance: c.Balance, Frozen: c.isSuperseded() || c.renewing || c.pendingTerm != nil,
	}
	if !c.driftSince.IsZero() {
		// Planned moves would delay the renewal of the term.
		pass.Balance = nil
	}
	c.MovingSlots, c.UnloggedMoves = pass.Arrange(c.pools)
	c.LogDown = c.appends.LogDown
	c.answersWithLanes = c.answersWithLanes || !c.fleet.AnyBehind() || now.Sub(c.stateSince) >= maxLaneDelay
	if c.MovingSlots+c.UnloggedMoves > 0 {
		c.lastMoveAt = now
	}
}

// NeedsStepSoon reports whether a holder of the role has to make a pass over its slots soon.
func (c *Core) NeedsStepSoon() bool { return c.dirty && c.State == Serving }

// isQuiet reports whether no slot has moved for so long that an unnoticed successor of the old term, if there is one,
// can have granted only what this holder grants too.
func (c *Core) isQuiet(now time.Time) bool { return now.Sub(c.lastMoveAt) >= renewalQuietTime }

// appendReady appends a Ready record, which says that earlier terms are displaced. Assign records require it.
func (c *Core) appendReady(now time.Time) {
	if c.pendingReady != nil {
		done, _ := c.appends.Outcome(now, c.pendingReady, c.placement.Offset())
		if !done {
			return
		}
		c.pendingReady = nil
		c.readyRetryAt = now.Add(writes.RetryInterval)
	}
	if c.cell.Ready || c.cell.Term != c.Pair.Term || c.renewing || now.Before(c.readyRetryAt) {
		return
	}
	c.pendingReady = c.appends.Append(now, &record.Record{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: c.DC, Term: c.Pair.Term}}})
}

// renewTermIfNeeded claims a new term when the witness set has differed from the live witnesses for renewTermAfter.
// Unrecorded moves come first, so that the log tells every successor of the old term what the new one builds on.
func (c *Core) renewTermIfNeeded(now time.Time) {
	if c.pendingTerm != nil {
		if done, _ := c.appends.Outcome(now, c.pendingTerm, c.placement.Offset()); done {
			c.pendingTerm = nil
			c.driftSince = now
		}
		return
	}
	if c.isSuperseded() || c.renewing || !c.cell.Ready || c.leaving || c.witnessesMatchLive(now) {
		c.driftSince = time.Time{}
		return
	}
	if c.driftSince.IsZero() {
		c.driftSince = now
	}
	if now.Sub(c.driftSince) < renewTermAfter || !c.isQuiet(now) || !c.hasAuthority(now) {
		return
	}
	for _, p := range c.peers {
		p.answered = p.id == c.ID || !c.heartbeats.IsSilent(now, p.id)
	}
	rec := c.newTermRecord()
	c.logEvent("renew-term", "old", len(c.cell.Witnesses), "new", len(rec.GetTerm().GetWitnesses()))
	c.pendingTerm = c.appends.Append(now, rec)
}

// witnessesMatchLive reports whether the witness set consists of the instances and confirmed servers alive at now.
func (c *Core) witnessesMatchLive(now time.Time) bool {
	return lease.SameMembers(c.cell.Witnesses, append(c.laneTable.LiveInstances(now), c.fleet.Witnesses(true)...))
}

// HandleHeartbeat answers an instance at now. Without authority the reply is not accepted, but the next heartbeat confirms
// the pair by its nonce.
func (c *Core) HandleHeartbeat(now time.Time, req *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply {
	seen := lease.Pair{Term: req.GetTerm(), Epoch: req.GetEpoch()}
	if c.IsController() && seen.Compare(c.Pair) > 0 {
		c.yieldTo(now, seen, "heartbeat of "+req.GetInstance())
	}
	if !c.IsController() || req.GetDc() != c.DC {
		return &peerpb.HeartbeatReply{Term: c.highestPair.Term, Epoch: c.highestPair.Epoch}
	}
	id := req.GetInstance()
	if sentAt, ok := c.heartbeats.Observe(now, req); ok && seen == c.Pair {
		c.recordConfirmation(now, sentAt, id)
	}
	c.applyHeartbeat(now, req)
	rep := &peerpb.HeartbeatReply{Term: c.Pair.Term, Epoch: c.Pair.Epoch}
	c.heartbeats.FillReply(now, id, rep)
	if c.hasAuthority(now) && c.answersWithLanes {
		rep.Accepted, rep.Lease = true, lease.Validity.Milliseconds()
		c.laneTable.FillReply(now, id, req.GetKnown(), rep)
	}
	return rep
}

func (c *Core) applyHeartbeat(now time.Time, req *peerpb.HeartbeatRequest) {
	id := req.GetInstance()
	if p := c.peers[instanceName(id)]; p != nil {
		p.id = id
	}
	c.laneTable.RecordContact(now, id, req.GetPeer(), req.GetLeaving())
	for _, r := range req.GetReleases() {
		c.laneTable.RecordRelease(id, r.GetLane(), r.GetRevision())
		c.dirty = true
	}
	for _, r := range req.GetServers() {
		if s := c.fleet.ApplyReport(r); s != nil && c.pools[s.Pool] != nil {
			c.pools[s.Pool].SetServerLoad(now, r.GetName(), r.GetLoad())
			for _, l := range r.GetSlots() {
				c.pools[s.Pool].SetSlotLoad(now, l.GetSlot(), l.GetRate())
			}
		}
	}
}

// AddStrikes adds strikes to pass on to the instances.
func (c *Core) AddStrikes(now time.Time, list []*peerpb.Strike) {
	c.heartbeats.AddStrikes(now, "", list)
}

// RecentStrikes returns the strikes of the last minute, for other data centres.
func (c *Core) RecentStrikes(now time.Time) []*peerpb.Strike { return c.heartbeats.RecentStrikes(now) }
