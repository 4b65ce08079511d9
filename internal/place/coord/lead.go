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
	"github.com/bramleycove/bramleycove/internal/place/load"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/tenure"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// claim tries to take the lead over.
func (c *Coord) claim(ctx context.Context) {
	c.mu.Lock()
	if c.pending || c.lead != nil {
		c.mu.Unlock()
		return
	}
	c.pending = true
	earlier, known := c.tenure.Lead()
	renewed := c.tenure.Renewal()
	if c.member.told.After(renewed) {
		renewed = c.member.told
	}
	// Until this instance records its own members it has no witnesses. A successor that finds only this claim, whose answer
	// may be lost, waits for those of the leader before.
	next := c.tenure.Next(rand.Uint64(), earlier.Members, false)
	end, _ := c.book.End(keyed.Place)
	c.mu.Unlock()
	start := c.cfg.Now()
	if !known {
		renewed = start
	}
	newEnd, err := c.append(ctx, end, next, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = false
	if err != nil {
		c.log.Info("claim-failed", "term", next.Term, "at", end, "error", err)
		return
	}
	now := c.cfg.Now()
	next.Offset = newEnd - 1
	c.tenure.Confirmed(now, start, next)
	c.log.Info("claimed", "term", next.Term, "at", end, "fence", c.build.HighestFence)
	c.take(now, earlier, renewed)
}

// append writes the lead, and the owners if any, at the end of the place stream.
func (c *Coord) append(ctx context.Context, at uint64, l tenure.Lead, owners map[string][]byte) (end uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, reads.Timeout)
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

// take begins to lead. The earlier leader, whose last renewal began before renewed, may act until its members follow this
// one, and its grants hold on after that. One that resigned sends no more. c.mu is held.
func (c *Coord) take(now time.Time, earlier tenure.Lead, renewed time.Time) {
	inherited := renewed.Add(tenure.Extension + orderTimeout + c.lasts())
	if earlier.Resigned {
		inherited = now.Add(orderTimeout + c.lasts())
	}
	c.lead = &lead{
		earlier: earlier, renewed: renewed, witnesses: tenure.NewWitnesses(nil), succession: tenure.NewWitnesses(earlier.Members),
		since: now, keepers: make(map[string]*assign.Assigner), gather: make(map[string]*assign.InitialDelay), gauge: load.New(),
		fence: c.build.HighestFence,
	}
	c.lead.succession.Follows(c.tenure.Self, now, c.member.followed)
	for pool, m := range c.build.Owners {
		c.lead.keepers[pool] = assign.New(m, &c.lead.fence, now, inherited)
	}
	c.relay.Only(now, nil)
	// What an earlier lead of this instance knew of the others is too old: it would count as silence.
	c.pusher.Only(now, nil)
	c.pusher.Keep(now, c.member.peers)
	// One that has just started knows the others by the record of the earlier lead alone.
	c.pusher.Keep(now, earlier.Members)
	for _, a := range c.cfg.Seeds() {
		c.pusher.Keep(now, []string{a.String()})
	}
	// The order of the earlier leader holds until the members have said where they are.
	c.lead.members, c.lead.ordered = c.pusher.Peers(), now
	if c.lead.peers = c.member.peers; !slices.Equal(slices.Sorted(slices.Values(c.lead.peers)), c.lead.members) {
		c.lead.peers = c.lead.members
	}
}

// hold returns how long grants last.
func (c *Coord) hold() time.Duration { return min(assign.GrantDuration, c.cfg.HoldMax) }

// lasts returns how long a grant may hold at a server whose clock is slow, with a margin.
func (c *Coord) lasts() time.Duration { return c.hold() + c.hold()/20 }

// follows takes a member's word that it followed in an exchange between start and now. c.mu is held.
func (c *Coord) follows(addr string, start, now time.Time, r *sitepb.PushReply) {
	l := c.lead
	if r.GetStale() || r.GetTerm() != c.term() {
		return
	}
	if r.GetStartTerm() < c.term() {
		l.witnesses.Follows(addr, start, start)
	}
	l.succession.Follows(addr, start, now.Add(-time.Duration(r.GetEarlierMs())*time.Millisecond))
	if _, ok := l.succession.Majority(); !ok {
		return
	}
	// A grant that the earlier leader was permitted to send may arrive until its call is given up.
	until := tenure.Ended(l.renewed, l.succession).Add(orderTimeout + c.lasts())
	if !l.inherited.IsZero() && l.inherited.Sub(until) < tick {
		return
	}
	// Members that answer later may know better: those that were restarted count from their start.
	l.inherited = until
	for _, k := range l.keepers {
		k.LimitInherited(until)
	}
	c.log.Info("succeeded", "earlier", l.earlier.Term, "term", c.term(), "wait", until.Sub(l.since))
}

// acts reports whether this instance may give orders. c.mu is held.
func (c *Coord) acts(now time.Time) bool {
	c.lead.witnesses.Follows(c.tenure.Self, now, now)
	return c.tenure.Holds(now, c.lead.witnesses)
}

// renewTerm reports whether so few members are witnesses of this term, because most were started during it, that a new
// one is needed. c.mu is held.
func (c *Coord) renewTerm(now time.Time) bool {
	since, ok := c.lead.witnesses.Majority()
	return now.Sub(c.lead.since) > settle && (!ok || now.Sub(since) > termPatience) && c.tenure.Unconfirmed(now) < tenure.Lease
}

// resign ends the lead, as another instance has a newer claim. c.mu is held.
func (c *Coord) resign(now time.Time) {
	c.log.Warn("lead-lost", "term", c.term(), "unconfirmed", c.tenure.Unconfirmed(now))
	c.lead = nil
	c.tenure.Lost()
	c.member.followed = now // itself
	c.member.heard = now.Add(-tenure.Silence)
	c.setMoving(nil)
}

// term returns the term of the newest known lead. c.mu is held.
func (c *Coord) term() uint64 {
	l, _ := c.tenure.Lead()
	return l.Term
}

// record writes what changed to the store, and renews the lead. c.mu is held.
func (c *Coord) record(now time.Time) {
	dirty := false
	owners := make(map[string]spans.Map, len(c.lead.keepers))
	for pool, k := range c.lead.keepers {
		m, changed := k.Map()
		owners[pool] = m
		dirty = dirty || changed
	}
	if c.pending || !dirty && !c.tenure.Due(now) || now.Sub(c.lead.tried) < appendPause {
		return
	}
	c.pending, c.lead.tried = true, now
	var msg map[string][]byte
	fence := c.lead.fence
	if dirty {
		var err error
		if msg, err = chunks.Changed(c.build.Chunks, owners, fence); err != nil {
			c.log.Error("owners-unrecorded", "error", err)
			c.pending = false
			return
		}
		for _, k := range c.lead.keepers {
			k.BeginRecord()
		}
	}
	next := c.tenure.Next(rand.Uint64(), c.lead.peers, c.renewTerm(now))
	end, _ := c.book.End(keyed.Place)
	l := c.lead
	c.background(func() { c.write(l, end, next, msg, fence) })
}

// write appends a record and takes the result.
func (c *Coord) write(l *lead, at uint64, next tenure.Lead, msg map[string][]byte, fence uint64) {
	start := c.cfg.Now()
	end, err := c.append(context.Background(), at, next, msg)
	c.reader.Result(keyed.Place, err)
	conflict := new(keyed.ErrConflict)
	if errors.As(err, &conflict) {
		// Another claim, or an append of this instance whose answer was lost.
		c.reader.Read(context.Background(), keyed.Place, 0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = false
	if c.lead != l {
		return
	}
	now := c.cfg.Now()
	if err != nil {
		l.tried = now.Add(failPause - appendPause)
	}
	switch {
	case err == nil:
		next.Offset = end - 1
		c.tenure.Confirmed(now, start, next)
		l.witnesses.Recorded(next.Members)
		// Members that know each renewal at once do not mistake one that they read later for a sign of life.
		l.news++
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

// yield gives the lead up, if this instance has it, and tells the members, so that one of them claims it at once.
func (c *Coord) yield() {
	c.mu.Lock()
	l := c.lead
	if l != nil {
		l.yielding = true
	}
	for c.lead != nil && c.pending {
		// An append is under way and ends within its timeout. No other one begins.
		c.mu.Unlock()
		time.Sleep(tick / 2)
		c.mu.Lock()
	}
	if l == nil || c.lead != l {
		c.mu.Unlock()
		return
	}
	c.pending = true
	next := c.tenure.Next(rand.Uint64(), c.lead.peers, false)
	next.Resigned = true
	end, _ := c.book.End(keyed.Place)
	c.mu.Unlock()
	if _, err := c.append(context.Background(), end, next, nil); err != nil {
		c.log.Warn("resignation-failed", "term", next.Term, "error", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = false
	if c.lead == l {
		l.news++
		c.pusher.Round(c.cfg.Now(), l.news, l.peers)
		c.resign(c.cfg.Now())
	}
}
