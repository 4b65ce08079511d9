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
	// The slots are gone through every planEvery while something is under way, otherwise every idleEvery, and never
	// more often than planLeast: a pass over 65,536 slots takes milliseconds.
	planLeast = 10 * time.Millisecond
	planEvery = 50 * time.Millisecond
	idleEvery = lease.Interval
	// opening is the longest time that a new holder waits for its first grants before it answers with lanes. Until then
	// members go on with the lanes of the earlier pair, whose slots they would otherwise drop for a moment.
	opening = 200 * time.Millisecond
	// quietFor is how long no slot may have moved before a holder renews its term. It exceeds by far D, which is how
	// long an unnoticed successor of the old term may have had authority, plus the age of reports that it may use.
	quietFor = 2 * (lease.ConfirmationValidity + lease.Validity)
)

func keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// superseded reports whether a later term is in the log. This holder then only renews grants.
func (c *Core) superseded() bool { return c.cell.Term > c.Pair.Term }

// serve holds the role.
func (c *Core) serve(now time.Time) {
	if c.superseded() {
		if c.cell.Holder == c.ID {
			if !c.renewing || c.Pair.Term != c.cell.Term {
				c.begin(now, lease.Pair{Term: c.cell.Term}, c.quorum.Holds(now) && c.quiet(now))
			}
		} else if !c.quorum.Holds(now) {
			c.yieldTo(now, lease.Pair{Term: c.cell.Term}, "superseded")
			return
		}
	}
	if c.renewing {
		c.displace(now)
	}
	if c.State != Serving {
		return
	}
	c.Authority = c.quorum.ValidUntil()
	c.table.RecordContact(now, c.ID, c.Peer.String(), c.leaving)
	c.fleet.UpdateLiveness(now)
	c.dirty = c.fleet.TakeChanged() || c.dirty
	c.refence(now)
	c.fleet.Exposure.Prune(now)
	if since := now.Sub(c.planned); since >= idleEvery || (c.dirty && since >= planLeast) ||
		(c.Moves+c.Unlogged > 0 && since >= planEvery) {
		c.arrange(now)
	}
	c.announce(now)
	c.renewTerm(now)
	c.fleet.SendDue(now, c.authority(now))
}

// refence goes on asking instances that have not confirmed the pair, which also tells them who the controller is.
func (c *Core) refence(now time.Time) {
	for _, n := range keys(c.peers) {
		p := c.peers[n]
		if c.book.IsSilent(now, p.id) && now.Sub(p.asked) >= lease.Interval {
			c.ask(now, n, p, c.request())
		}
	}
}

// arrange goes through all pools and sets the lanes.
func (c *Core) arrange(now time.Time) {
	c.dirty, c.planned = false, now
	pass := slots.Pass{
		Now: now, DC: c.DC, Pair: c.Pair, Cell: c.cell, Placement: c.place, Tables: c.tables, LostDCs: c.lost,
		EarlierLapsed: c.settle, LogContact: c.contact, Fleet: c.fleet, Lanes: c.table, Log: &c.log,
		Event: c.event, RemoteContact: c.Remote, Balance: c.Balance, Frozen: c.superseded() || c.renewing || c.term != nil,
	}
	if !c.drift.IsZero() {
		// Planned moves would put the renewal of the term off.
		pass.Balance = nil
	}
	c.Moves, c.Unlogged = pass.Arrange(c.pools)
	c.LogDown = c.log.LogDown
	c.opened = c.opened || !c.fleet.AnyBehind() || now.Sub(c.since) >= opening
	if c.Moves+c.Unlogged > 0 {
		c.moved = now
	}
}

// Dirty reports whether a holder has to go through its slots again soon.
func (c *Core) Dirty() bool { return c.dirty && c.State == Serving }

// quiet reports whether no slot has moved for so long that a successor of the old term, if there was one unnoticed,
// can have renewed only what this holder also grants.
func (c *Core) quiet(now time.Time) bool { return now.Sub(c.moved) >= quietFor }

// announce records that earlier terms are displaced, which Assign records require.
func (c *Core) announce(now time.Time) {
	if c.ready != nil {
		done, _ := c.log.Outcome(now, c.ready, c.place.Offset())
		if !done {
			return
		}
		c.ready = nil
		c.retry = now.Add(writes.RetryInterval)
	}
	if c.cell.Ready || c.cell.Term != c.Pair.Term || c.renewing || now.Before(c.retry) {
		return
	}
	c.ready = c.log.Append(now, &record.Record{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: c.DC, Term: c.Pair.Term}}})
}

// renewTerm claims a new term when the witness set has differed from what is alive for some time. Moves that are
// not recorded yet come first, so that the log tells every successor of the old term what the new one builds on.
func (c *Core) renewTerm(now time.Time) {
	if c.term != nil {
		if done, _ := c.log.Outcome(now, c.term, c.place.Offset()); done {
			c.term = nil
			c.drift = now
		}
		return
	}
	if c.superseded() || c.renewing || !c.cell.Ready || c.leaving || c.alike(now) {
		c.drift = time.Time{}
		return
	}
	if c.drift.IsZero() {
		c.drift = now
	}
	if now.Sub(c.drift) < drifting || !c.quiet(now) || !c.authority(now) {
		return
	}
	for _, p := range c.peers {
		p.done = p.id == c.ID || !c.book.IsSilent(now, p.id)
	}
	rec := c.claimRecord()
	c.event("renew-term", "old", len(c.cell.Witnesses), "new", len(rec.GetTerm().GetWitnesses()))
	c.term = c.log.Append(now, rec)
}

// alike reports whether the witness set is what is alive now.
func (c *Core) alike(now time.Time) bool {
	return lease.SameMembers(c.cell.Witnesses, append(c.table.LiveInstances(now), c.fleet.Witnesses(true)...))
}

// Heartbeat answers an instance at now. Without authority the reply is not accepted, but its nonce lets the next
// heartbeat confirm the pair.
func (c *Core) Heartbeat(now time.Time, req *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply {
	seen := lease.Pair{Term: req.GetTerm(), Epoch: req.GetEpoch()}
	if c.Controller() && seen.Compare(c.Pair) > 0 {
		c.yieldTo(now, seen, "heartbeat of "+req.GetInstance())
	}
	if !c.Controller() || req.GetDc() != c.DC {
		return &peerpb.HeartbeatReply{Term: c.high.Term, Epoch: c.high.Epoch}
	}
	id := req.GetInstance()
	if sent, ok := c.book.Observe(now, req); ok && seen == c.Pair {
		c.confirm(now, sent, id)
	}
	c.take(now, req)
	rep := &peerpb.HeartbeatReply{Term: c.Pair.Term, Epoch: c.Pair.Epoch}
	c.book.FillReply(now, id, rep)
	if c.authority(now) && c.opened {
		rep.Accepted, rep.Lease = true, lease.Validity.Milliseconds()
		c.table.FillReply(now, id, req.GetKnown(), rep)
	}
	return rep
}

func (c *Core) take(now time.Time, req *peerpb.HeartbeatRequest) {
	id := req.GetInstance()
	if p := c.peers[name(id)]; p != nil {
		p.id = id
	}
	c.table.RecordContact(now, id, req.GetPeer(), req.GetLeaving())
	for _, r := range req.GetReleases() {
		c.table.RecordRelease(id, r.GetLane(), r.GetRevision())
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

// Strike adds strikes to hand on to the instances of this data centre.
func (c *Core) Strike(now time.Time, list []*peerpb.Strike) { c.book.AddStrikes(now, "", list) }

// Strikes returns the strikes of the last minute, for other data centres.
func (c *Core) Strikes(now time.Time) []*peerpb.Strike { return c.book.RecentStrikes(now) }
