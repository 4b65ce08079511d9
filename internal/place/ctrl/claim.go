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
	silence   = lease.Validity         // after which a holder may be replaced
	turn      = 600 * time.Millisecond // delay between candidates
	grace     = 300 * time.Millisecond // delay of the first candidate of a data centre without a term
	surveying = 250 * time.Millisecond // longest wait for answers before a claim
	weakAfter = 10 * time.Second       // after which a holder without authority may be replaced
	unlisted  = 5 * time.Second        // longest wait for the list before the first term is claimed without it
	drifting  = 3 * time.Second        // how long the witness set may differ from what is alive
	logFresh  = 2 * time.Second        // the log is taken for reachable when it answered this recently
	tellEvery = 5 * time.Second        // between log events about witnesses that are missing
	maxNexts  = 2                      // successors of a term
)

// peer is an instance of the data centre as the list names it.
type peer struct {
	addr  netip.AddrPort
	id    string // learned from its answers, "" until then
	asked time.Time
	done  bool // answered the survey, or confirmed the pair
}

// name returns the name part of an instance id.
func name(id string) string {
	n, _, _ := strings.Cut(id, "/")
	return n
}

// present keeps the instances of the list and when each witness was last shown.
func (c *Core) present(now time.Time) {
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
	self := name(c.ID)
	if c.peers[self] == nil {
		c.peers[self] = &peer{}
	}
	c.peers[self].addr, c.peers[self].id = c.Peer, c.ID
	for n := range c.peers {
		if !names[n] && n != self {
			delete(c.peers, n)
		}
	}
	c.depart(now)
	c.missing(now)
}

// missing counts witnesses as gone that the platform has not shown for a minute. A name under which another process
// answers does not show the old one.
func (c *Core) missing(now time.Time) {
	ids := slices.Clone(c.cell.Witnesses)
	for _, set := range c.cell.EarlierWitnesses {
		ids = append(ids, set...)
	}
	gone := c.absent.Update(now, ids, c.shows)
	if !c.Controller() {
		return
	}
	for _, id := range ids {
		if gone[id] {
			c.fence.Confirm(id, now)
		}
		c.quorum.SetGone(id, gone[id])
		if c.next != nil {
			c.next.SetGone(id, gone[id])
		}
	}
}

func (c *Core) shows(id string) bool {
	if !c.listed {
		return true
	}
	if n, ok := fleet.ServerName(id); ok {
		s := c.fleet.Server(n)
		return s != nil && (s.Incarnation == 0 || s.ProcessID() == id)
	}
	if id == c.ID {
		return true
	}
	if name(id) == name(c.ID) {
		return false
	}
	p := c.peers[name(id)]
	return p != nil && (p.id == "" || p.id == id)
}

// due returns when this instance may claim, as far as is known now, and why.
func (c *Core) due(now time.Time) (at time.Time, why string) {
	order := homes.Candidates(c.DC, &c.list, c.cell.Term != 0, name(c.cell.Holder), c.cell.Successors)
	rank := slices.Index(order, name(c.ID))
	if rank < 0 {
		rank = len(order)
	}
	delay := time.Duration(rank) * turn
	if c.high == (lease.Pair{}) {
		if !c.listed {
			delay = unlisted
		}
		return c.Start.Add(grace + delay), "no-term"
	}
	if !c.weak.IsZero() && now.Sub(c.weak) > weakAfter {
		return c.weak.Add(weakAfter + delay), "no-authority"
	}
	if !c.parting.IsZero() {
		return c.parting.Add(delay), "leaving"
	}
	return c.heard.Add(silence + delay), "silent"
}

// depart notes when the holder was first seen leaving, by the list or by its own word.
func (c *Core) depart(now time.Time) {
	left, _ := homes.IsLeaving(&c.list, c.DC, name(c.cell.Holder))
	left = c.holderLeft || (left && c.high == lease.Pair{Term: c.cell.Term})
	switch {
	case !left:
		c.parting = time.Time{}
	case c.parting.IsZero():
		c.parting = now
	}
}

// candidate starts a claim when it is this instance's turn.
func (c *Core) candidate(now time.Time) {
	if c.leaving || c.tables == nil || now.Before(c.backoff) {
		return
	}
	if p := (lease.Pair{Term: c.cell.Term}); c.cell.Holder == c.ID && c.high == p {
		// A claim whose answer was lost has taken effect after all.
		c.begin(now, p, false)
		return
	}
	if c.high != (lease.Pair{}) && c.parting.IsZero() && c.weak.IsZero() && now.Sub(c.heard) < silence {
		return
	}
	at, why := c.due(now)
	if now.Before(at) {
		return
	}
	c.event("candidate", "dc", c.DC, "why", why, "high", c.high)
	c.enter(now, Survey)
	for _, p := range c.peers {
		p.done, p.asked = false, time.Time{}
	}
	c.fleet.ResetSurvey()
	c.survey(now)
}

// survey asks every instance and server of the data centre for its id, which a Term record has to name.
func (c *Core) survey(now time.Time) {
	waiting := false
	for n, p := range c.peers {
		if n == name(c.ID) || p.done {
			continue
		}
		waiting = true
		if p.asked.IsZero() {
			c.ask(now, n, p, &peerpb.FenceRequest{Dc: c.DC})
		}
	}
	waiting = c.fleet.Survey(now) || waiting
	if waiting && now.Sub(c.since) < surveying {
		return
	}
	if at, _ := c.due(now); now.Before(at) {
		// Another instance took the role during the survey.
		c.enter(now, Idle)
		return
	}
	c.propose(now)
}

func (c *Core) ask(now time.Time, n string, p *peer, req *peerpb.FenceRequest) {
	p.asked = now
	c.out = append(c.out, Action{Fence: &Fence{Name: n, Peer: p.addr, Request: req}})
}

// propose claims a new term, or the next epoch when the log is known to be unreachable.
func (c *Core) propose(now time.Time) {
	if !c.contact.IsZero() && now.Sub(c.contact) > logFresh {
		c.succeed(now, "log-unreachable")
		return
	}
	c.enter(now, Claiming)
	c.term = c.log.Append(now, c.claimRecord())
}

func (c *Core) claimRecord() *record.Record {
	ids := []string{c.ID}
	var next []string
	for _, n := range homes.Rank(c.DC, keys(c.peers)) {
		if p := c.peers[n]; p.done && p.id != "" && p.id != c.ID {
			ids = append(ids, p.id)
			if len(next) < maxNexts && !c.leavingPeer(n) {
				next = append(next, p.id)
			}
		}
	}
	ids = append(ids, c.fleet.Witnesses(false)...)
	return &record.Record{Kind: &record.Record_Term{Term: &record.Term{
		Dc: c.DC, Holder: c.ID, Successors: next, Witnesses: ids, Base: c.cell.Term,
	}}}
}

func (c *Core) leavingPeer(n string) bool {
	leaving, listed := homes.IsLeaving(&c.list, c.DC, n)
	return leaving || !listed
}

// claim waits until the fold shows whose term is in force.
func (c *Core) claim(now time.Time) {
	if c.cell.Holder == c.ID && c.cell.Term >= c.high.Term {
		c.begin(now, lease.Pair{Term: c.cell.Term}, false)
		return
	}
	done, late := c.log.Outcome(now, c.term, c.place.Offset())
	switch {
	case late:
		c.succeed(now, "log-late")
	case done:
		c.event("claim-lost", "holder", c.cell.Holder, "term", c.cell.Term)
		c.enter(now, Idle)
	}
}

// succeed takes the next epoch of the term without the log, if the term names this instance.
func (c *Core) succeed(now time.Time, why string) {
	epoch := uint32(slices.Index(c.cell.Successors, c.ID) + 1)
	p := lease.Pair{Term: c.cell.Term, Epoch: epoch}
	if epoch == 0 || p.Compare(c.high) <= 0 {
		c.backoff = now.Add(time.Second)
		c.enter(now, Idle)
		return
	}
	c.event("succession", "pair", p, "why", why)
	c.begin(now, p, false)
}

// begin starts to displace all earlier pairs. A holder that renews its own term under authority keeps what it knows.
func (c *Core) begin(now time.Time, p lease.Pair, renewing bool) {
	if !renewing {
		c.Pair = p
		c.reset()
		c.table.SetPriorDispatchers(c.roster)
	}
	c.fleet.BeginPair(now, p, renewing)
	c.Pair, c.high, c.heard, c.weak = p, p, now, time.Time{}
	c.table.RaiseRevisions(p)
	c.table.RecordContact(now, c.ID, c.Peer.String(), c.leaving)
	before := make([][]string, 0, len(c.cell.EarlierWitnesses))
	for _, ids := range c.cell.EarlierWitnesses {
		before = append(before, ids)
	}
	c.fence = lease.NewFence(c.cell.Witnesses, before, len(before) == 0 && p.Epoch == 0 && !c.cell.Ready)
	fresh := lease.NewQuorum(c.cell.Witnesses)
	if !renewing {
		c.quorum = fresh
		c.enter(now, Fencing)
	} else {
		c.next = fresh
	}
	c.renewing = renewing
	c.book.VoidNonces()
	for _, peer := range c.peers {
		peer.done, peer.asked = false, time.Time{}
	}
	c.event("fence", "pair", p, "witnesses", len(c.cell.Witnesses), "earlier", len(before), "renewing", renewing)
	c.displace(now)
}

// displace asks everybody to confirm the pair until all earlier ones are displaced.
func (c *Core) displace(now time.Time) {
	for _, n := range keys(c.peers) {
		if p := c.peers[n]; !p.done && (p.asked.IsZero() || now.Sub(p.asked) >= lease.Interval) {
			c.ask(now, n, p, c.request())
		}
	}
	c.fleet.SendDue(now, c.authority(now))
	if !c.fence.Complete() {
		if now.Sub(c.told) >= tellEvery && now.Sub(c.since) >= tellEvery {
			c.told = now
			c.event("fence-waits", "pair", c.Pair, "missing", c.fence.Missing())
		}
		if c.renewing && !c.quorum.Holds(now) {
			// Without authority in between, another holder may have granted slots.
			c.begin(now, c.Pair, false)
		}
		return
	}
	if c.renewing {
		if !c.awaitServers(now) {
			c.renewed(now)
		}
		return
	}
	if c.quorum.Holds(now) {
		c.settle = c.fence.EarlierGrantsExpiry()
		c.fleet.ExpireReports(now)
		c.doubt()
		c.event("authority", "pair", c.Pair, "settled", c.settle.Sub(now))
		c.enter(now, Serving)
	}
}

func (c *Core) request() *peerpb.FenceRequest {
	return &peerpb.FenceRequest{
		Dc: c.DC, Term: c.Pair.Term, Epoch: c.Pair.Epoch, Holder: c.ID, Peer: c.Peer.String(),
	}
}

// awaitServers reports whether a renewal should wait for live servers to confirm the new term. Instances alone often
// complete the fence first; every server that has not confirmed by then leaves its pool unserved for D + L.
func (c *Core) awaitServers(now time.Time) bool {
	return c.quorum.ValidUntil().Sub(now) >= lease.Interval && c.fleet.AnyBehind()
}

// renewed switches to the new term of a holder that had authority all along. A successor of the old term that
// displaced it meanwhile did so at most D ago. Until D+L have passed it only renews what servers lately reported to
// it, and since no slot moved for quietFor, that is what this holder grants too. Servers that have not confirmed the
// new term and may have reported then are kept in doubt all the same.
func (c *Core) renewed(now time.Time) {
	if !c.quorum.Holds(now) {
		c.begin(now, c.Pair, false)
		return
	}
	c.fleet.AssumeUnconfirmedHold(now.Add(lease.AddDriftMargin(lease.ConfirmationValidity+lease.Validity)), now.Add(-lease.ConfirmationValidity-fleet.MaxReportAge))
	c.quorum, c.next, c.renewing = c.next, nil, false
	c.event("renewed", "pair", c.Pair)
	c.dirty = true
}

// doubt notes which servers may hold any slot by what earlier pairs granted: those that have not confirmed the pair.
func (c *Core) doubt() {
	c.fleet.AssumeUnconfirmedHold(c.settle, time.Time{})
	c.fleet.AssumeMissingHold(c.settle, c.tables, c.fence.Missing())
	for _, p := range c.tables.Pools {
		for _, s := range c.place.Slots(p.Name) {
			if s.DC == c.DC {
				c.fleet.AssumeOwnerHolds(c.settle, p.Name, s.Owner)
			}
		}
	}
}

// Fenced takes an instance's answer to a Fence that was sent at sent; reply is nil after an error.
func (c *Core) Fenced(now, sent time.Time, n string, asked lease.Pair, reply *peerpb.FenceReply) {
	p := c.peers[n]
	if p == nil || reply == nil {
		return
	}
	p.id = reply.GetInstance()
	seen := lease.Pair{Term: reply.GetTerm(), Epoch: reply.GetEpoch()}
	switch {
	case asked == lease.Pair{}:
		p.done = p.done || c.State == Survey
		if seen.Compare(c.high) > 0 {
			c.high = seen
		}
	case asked != c.Pair || !c.Controller():
	case reply.GetAccepted():
		p.done = true
		c.confirm(now, sent, p.id)
		c.table.RecordContact(now, p.id, p.addr.String(), c.leavingPeer(n))
	case seen.Compare(c.Pair) > 0:
		c.yieldTo(now, seen, "refused by "+p.id)
	}
}

// confirm notes that a witness confirmed the pair after sent.
func (c *Core) confirm(now, sent time.Time, id string) {
	c.fence.Confirm(id, now)
	if c.renewing {
		c.next.Confirm(id, sent)
	} else {
		c.quorum.Confirm(id, sent)
	}
}
