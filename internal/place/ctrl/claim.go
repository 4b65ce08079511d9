package ctrl

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/fleet"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	holderTimeout        = lease.Validity         // a holder silent for this long may be replaced
	candidateDelay       = 600 * time.Millisecond // additional wait of each further candidate
	firstTermDelay       = 300 * time.Millisecond // wait of the first candidate in a data centre without a term
	surveyTimeout        = 250 * time.Millisecond // longest wait for survey answers before a claim
	noAuthorityTimeout   = 10 * time.Second       // a holder without authority for this long may be replaced
	listTimeout          = 5 * time.Second        // longest wait for the list before the first term is claimed
	renewTermAfter       = 3 * time.Second        // how long the witness set may differ from the live witnesses
	maxLogContactAge     = 2 * time.Second        // the log counts as reachable if it answered this recently
	missingEventInterval = 5 * time.Second        // between log events about missing witnesses
	maxSuccessors        = 2                      // of a term
)

// peer is an instance of the data centre.
type peer struct {
	addr     netip.AddrPort
	id       string    // from its answers, "" until the first one
	askedAt  time.Time // last fence call in this survey or for this pair
	answered bool      // the survey, or confirmed the pair
}

// instanceName returns the name part of an instance id, name/incarnation.
func instanceName(id string) string {
	name, _, _ := strings.Cut(id, "/")
	return name
}

// updatePeers updates the peers from the list, whether the holder is leaving, and which witnesses are gone.
func (c *Core) updatePeers(now time.Time) {
	names := make(map[string]bool)
	for _, i := range c.list.Instances {
		if i.DC != c.DC {
			continue
		}
		names[i.Name] = true
		p := c.peers[i.Name]
		if p == nil {
			p = &peer{}
			c.peers[i.Name] = p
		}
		p.addr = i.Peer
	}
	self := instanceName(c.ID)
	if c.peers[self] == nil {
		c.peers[self] = &peer{}
	}
	c.peers[self].addr, c.peers[self].id = c.PeerAddr, c.ID
	for name := range c.peers {
		if !names[name] && name != self {
			delete(c.peers, name)
		}
	}
	c.updateHolderLeaving(now)
	c.updateGoneWitnesses(now)
}

// updateGoneWitnesses counts witnesses as gone that the list has not shown for a minute.
func (c *Core) updateGoneWitnesses(now time.Time) {
	ids := slices.Clone(c.cell.Witnesses)
	for _, set := range c.cell.EarlierWitnesses {
		ids = append(ids, set...)
	}
	gone := c.absence.Update(now, ids, c.isShown)
	if !c.IsController() {
		return
	}
	for _, id := range ids {
		if gone[id] {
			c.fence.Confirm(id, now)
		}
		c.quorum.SetGone(id, gone[id])
		if c.nextQuorum != nil {
			c.nextQuorum.SetGone(id, gone[id])
		}
	}
}

// isShown reports whether the list shows the witness id. A different process that answers under its name does not count.
func (c *Core) isShown(id string) bool {
	if !c.listReceived {
		return true
	}
	if name, ok := fleet.ServerName(id); ok {
		s := c.fleet.Server(name)
		return s != nil && (s.Incarnation == 0 || s.ProcessID() == id)
	}
	if id == c.ID {
		return true
	}
	if instanceName(id) == instanceName(c.ID) {
		return false
	}
	p := c.peers[instanceName(id)]
	return p != nil && (p.id == "" || p.id == id)
}

// claimTime returns when this instance may claim the role, as far as is known at now, and the reason.
func (c *Core) claimTime(now time.Time) (due time.Time, reason string) {
	order := homes.Candidates(c.DC, &c.list, c.cell.Term != 0, instanceName(c.cell.Holder), c.cell.Successors)
	rank := slices.Index(order, instanceName(c.ID))
	if rank < 0 {
		rank = len(order)
	}
	delay := time.Duration(rank) * candidateDelay
	if c.highestPair == (lease.Pair{}) {
		if !c.listReceived {
			delay = listTimeout
		}
		return c.StartedAt.Add(firstTermDelay + delay), "no-term"
	}
	if !c.noAuthoritySince.IsZero() && now.Sub(c.noAuthoritySince) > noAuthorityTimeout {
		return c.noAuthoritySince.Add(noAuthorityTimeout + delay), "no-authority"
	}
	if !c.holderLeavingSince.IsZero() {
		return c.holderLeavingSince.Add(delay), "leaving"
	}
	return c.holderSeenAt.Add(holderTimeout + delay), "silent"
}

// updateHolderLeaving records since when the holder has been leaving, by the list or its own messages.
func (c *Core) updateHolderLeaving(now time.Time) {
	leaving, _ := homes.IsLeaving(&c.list, c.DC, instanceName(c.cell.Holder))
	leaving = c.holderSaysLeaving || (leaving && c.highestPair == lease.Pair{Term: c.cell.Term})
	switch {
	case !leaving:
		c.holderLeavingSince = time.Time{}
	case c.holderLeavingSince.IsZero():
		c.holderLeavingSince = now
	}
}

// startSurveyIfDue starts a survey when this instance may claim the role.
func (c *Core) startSurveyIfDue(now time.Time) {
	if c.leaving || c.tables == nil || now.Before(c.noClaimBefore) {
		return
	}
	if p := (lease.Pair{Term: c.cell.Term}); c.cell.Holder == c.ID && c.highestPair == p {
		// An earlier claim has taken effect although its answer was lost.
		c.beginPair(now, p, false)
		return
	}
	if c.highestPair != (lease.Pair{}) && c.holderLeavingSince.IsZero() && c.noAuthoritySince.IsZero() && now.Sub(c.holderSeenAt) < holderTimeout {
		return
	}
	due, reason := c.claimTime(now)
	if now.Before(due) {
		return
	}
	c.logEvent("candidate", "dc", c.DC, "why", reason, "high", c.highestPair)
	c.setState(now, Surveying)
	for _, p := range c.peers {
		p.answered, p.askedAt = false, time.Time{}
	}
	c.fleet.ResetSurvey()
	c.survey(now)
}

// survey asks all instances and servers of the data centre for their ids, which a Term record must name.
func (c *Core) survey(now time.Time) {
	waiting := false
	for name, p := range c.peers {
		if name == instanceName(c.ID) || p.answered {
			continue
		}
		waiting = true
		if p.askedAt.IsZero() {
			c.sendFence(now, name, p, &peerpb.FenceRequest{Dc: c.DC})
		}
	}
	waiting = c.fleet.Survey(now) || waiting
	if waiting && now.Sub(c.stateSince) < surveyTimeout {
		return
	}
	if due, _ := c.claimTime(now); now.Before(due) {
		// Another instance took the role during the survey.
		c.setState(now, Idle)
		return
	}
	c.startClaim(now)
}

func (c *Core) sendFence(now time.Time, name string, p *peer, req *peerpb.FenceRequest) {
	p.askedAt = now
	c.queued = append(c.queued, Action{Fence: &FenceCall{Name: name, PeerAddr: p.addr, Request: req}})
}

// startClaim appends a new Term record, or takes the next epoch when the log is known to be unreachable.
func (c *Core) startClaim(now time.Time) {
	if !c.logContact.IsZero() && now.Sub(c.logContact) > maxLogContactAge {
		c.takeNextEpoch(now, "log-unreachable")
		return
	}
	c.setState(now, Claiming)
	c.pendingTerm = c.appends.Append(now, c.newTermRecord())
}

func (c *Core) newTermRecord() *record.Record {
	ids := []string{c.ID}
	var successors []string
	for _, name := range homes.Rank(c.DC, sortedKeys(c.peers)) {
		if p := c.peers[name]; p.answered && p.id != "" && p.id != c.ID {
			ids = append(ids, p.id)
			if len(successors) < maxSuccessors && !c.isLeavingPeer(name) {
				successors = append(successors, p.id)
			}
		}
	}
	ids = append(ids, c.fleet.Witnesses(false)...)
	return &record.Record{Kind: &record.Record_Term{Term: &record.Term{
		Dc: c.DC, Holder: c.ID, Successors: successors, Witnesses: ids, Base: c.cell.Term,
	}}}
}

func (c *Core) isLeavingPeer(name string) bool {
	leaving, listed := homes.IsLeaving(&c.list, c.DC, name)
	return leaving || !listed
}

// awaitClaim waits until the fold shows whose term is the latest.
func (c *Core) awaitClaim(now time.Time) {
	if c.cell.Holder == c.ID && c.cell.Term >= c.highestPair.Term {
		c.beginPair(now, lease.Pair{Term: c.cell.Term}, false)
		return
	}
	done, late := c.appends.Outcome(now, c.pendingTerm, c.placement.Offset())
	switch {
	case late:
		c.takeNextEpoch(now, "log-late")
	case done:
		c.logEvent("claim-lost", "holder", c.cell.Holder, "term", c.cell.Term)
		c.setState(now, Idle)
	}
}

// takeNextEpoch takes this instance's epoch of the term without the log, if the term names it as a successor.
func (c *Core) takeNextEpoch(now time.Time, reason string) {
	epoch := uint32(slices.Index(c.cell.Successors, c.ID) + 1)
	p := lease.Pair{Term: c.cell.Term, Epoch: epoch}
	if epoch == 0 || p.Compare(c.highestPair) <= 0 {
		c.noClaimBefore = now.Add(time.Second)
		c.setState(now, Idle)
		return
	}
	c.logEvent("succession", "pair", p, "why", reason)
	c.beginPair(now, p, false)
}

// beginPair starts to displace all pairs before p. A holder that renews its term with authority keeps its state.
func (c *Core) beginPair(now time.Time, p lease.Pair, renewing bool) {
	if !renewing {
		c.Pair = p
		c.reset()
		c.laneTable.SetPriorDispatchers(c.dispatchers)
	}
	c.fleet.BeginPair(now, p, renewing)
	c.Pair, c.highestPair, c.holderSeenAt, c.noAuthoritySince = p, p, now, time.Time{}
	c.laneTable.RaiseRevisions(p)
	c.laneTable.RecordContact(now, c.ID, c.PeerAddr.String(), c.leaving)
	earlier := make([][]string, 0, len(c.cell.EarlierWitnesses))
	for _, ids := range c.cell.EarlierWitnesses {
		earlier = append(earlier, ids)
	}
	c.fence = lease.NewFence(c.cell.Witnesses, earlier, len(earlier) == 0 && p.Epoch == 0 && !c.cell.Ready)
	fresh := lease.NewQuorum(c.cell.Witnesses)
	if !renewing {
		c.quorum = fresh
		c.setState(now, Fencing)
	} else {
		c.nextQuorum = fresh
	}
	c.renewing = renewing
	c.heartbeats.VoidNonces()
	for _, peer := range c.peers {
		peer.answered, peer.askedAt = false, time.Time{}
	}
	c.logEvent("fence", "pair", p, "witnesses", len(c.cell.Witnesses), "earlier", len(earlier), "renewing", renewing)
	c.displaceEarlierPairs(now)
}

// displaceEarlierPairs asks all instances and servers to confirm the pair until all earlier ones are displaced.
func (c *Core) displaceEarlierPairs(now time.Time) {
	for _, name := range sortedKeys(c.peers) {
		if p := c.peers[name]; !p.answered && (p.askedAt.IsZero() || now.Sub(p.askedAt) >= lease.Interval) {
			c.sendFence(now, name, p, c.fenceRequest())
		}
	}
	c.fleet.SendDue(now, c.hasAuthority(now))
	if !c.fence.Complete() {
		if now.Sub(c.missingEventAt) >= missingEventInterval && now.Sub(c.stateSince) >= missingEventInterval {
			c.missingEventAt = now
			c.logEvent("fence-waits", "pair", c.Pair, "missing", c.fence.Missing())
		}
		if c.renewing && !c.quorum.Holds(now) {
			// Another holder may have granted slots while this one had no authority.
			c.beginPair(now, c.Pair, false)
		}
		return
	}
	if c.renewing {
		if !c.shouldAwaitServers(now) {
			c.finishRenewal(now)
		}
		return
	}
	if c.quorum.Holds(now) {
		c.earlierLapsedAt = c.fence.EarlierGrantsExpiry()
		c.fleet.ExpireReports(now)
		c.assumeEarlierGrants()
		c.logEvent("authority", "pair", c.Pair, "settled", c.earlierLapsedAt.Sub(now))
		c.setState(now, Serving)
	}
}

func (c *Core) fenceRequest() *peerpb.FenceRequest {
	return &peerpb.FenceRequest{
		Dc: c.DC, Term: c.Pair.Term, Epoch: c.Pair.Epoch, Holder: c.ID, Peer: c.PeerAddr.String(),
	}
}

// shouldAwaitServers reports whether a renewal should wait for live servers to confirm the new term. Instances often
// complete the fence before them, and then each server that has not confirmed leaves its pool unserved for D + L.
func (c *Core) shouldAwaitServers(now time.Time) bool {
	return c.quorum.ValidUntil().Sub(now) >= lease.Interval && c.fleet.AnyBehind()
}

// finishRenewal switches to the new term if the holder kept its authority throughout. A successor of the old term can
// have displaced it at most D ago. For D+L it grants only what servers recently reported to it, and since no slot moved
// for renewalQuietTime, this holder grants the same. Servers that have not confirmed the new term and may have reported
// then are still assumed to hold any slot.
func (c *Core) finishRenewal(now time.Time) {
	if !c.quorum.Holds(now) {
		c.beginPair(now, c.Pair, false)
		return
	}
	c.fleet.AssumeUnconfirmedHold(now.Add(lease.AddDriftMargin(lease.ConfirmationValidity+lease.Validity)), now.Add(-lease.ConfirmationValidity-fleet.MaxReportAge))
	c.quorum, c.nextQuorum, c.renewing = c.nextQuorum, nil, false
	c.logEvent("renewed", "pair", c.Pair)
	c.dirty = true
}

// assumeEarlierGrants records that servers which have not confirmed the pair may hold any slot by earlier grants.
func (c *Core) assumeEarlierGrants() {
	c.fleet.AssumeUnconfirmedHold(c.earlierLapsedAt, time.Time{})
	c.fleet.AssumeMissingHold(c.earlierLapsedAt, c.tables, c.fence.Missing())
	for _, p := range c.tables.Pools {
		for _, s := range c.placement.Slots(p.Name) {
			if s.DC == c.DC {
				c.fleet.AssumeOwnerHolds(c.earlierLapsedAt, p.Name, s.Owner)
			}
		}
	}
}

// HandleFenceReply handles the named instance's answer to a FenceCall for askedPair. reply is nil after an error.
func (c *Core) HandleFenceReply(now, sentAt time.Time, name string, askedPair lease.Pair, reply *peerpb.FenceReply) {
	p := c.peers[name]
	if p == nil || reply == nil {
		return
	}
	p.id = reply.GetInstance()
	seen := lease.Pair{Term: reply.GetTerm(), Epoch: reply.GetEpoch()}
	switch {
	case askedPair == lease.Pair{}:
		p.answered = p.answered || c.State == Surveying
		if seen.Compare(c.highestPair) > 0 {
			c.highestPair = seen
		}
	case askedPair != c.Pair || !c.IsController():
	case reply.GetAccepted():
		p.answered = true
		c.recordConfirmation(now, sentAt, p.id)
		c.laneTable.RecordContact(now, p.id, p.addr.String(), c.isLeavingPeer(name))
	case seen.Compare(c.Pair) > 0:
		c.yieldTo(now, seen, "refused by "+p.id)
	}
}

// recordConfirmation records that witness id confirmed the pair after sentAt.
func (c *Core) recordConfirmation(now, sentAt time.Time, id string) {
	c.fence.Confirm(id, now)
	if c.renewing {
		c.nextQuorum.Confirm(id, sentAt)
	} else {
		c.quorum.Confirm(id, sentAt)
	}
}
