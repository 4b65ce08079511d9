// Package assign decides which grants, renewals and releases the leader sends to the servers of a keyed pool. For each
// range of keys it tracks the latest time until which its owner may hold them, whatever the outcome of the calls, and
// gives the keys to another server only after that time or after a release. It does no I/O and reads no clock; all
// times must come from a clock that also advances while the instance is suspended.
package assign

import (
	"math"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/shift"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// GrantDuration is how long a grant lasts. The keys of a server that stops answering are unserved for that long. A new
	// leader must renew within it: detecting the silence, claiming the lead and the first grants take about 2 s.
	GrantDuration = 3200 * time.Millisecond
	// renewInterval is the time between two grants of the same keys to their owner.
	renewInterval = 800 * time.Millisecond
	// maxClockDrift is the fraction by which a server's clock may run slower than the leader's.
	maxClockDrift = 0.02
	// grantMargin covers the transit of a grant and the reading of clocks.
	grantMargin = 50 * time.Millisecond
	// retryDelay is the pause before an order is repeated after a failure.
	retryDelay = 250 * time.Millisecond
	// maxOrdersPerServer bounds the first grants and releases in flight to one server. The client has that many connections
	// for releases to each server, and an order beyond them fails. Grants wait for one another.
	maxOrdersPerServer = 4
	// maxNonRenewals bounds the first grants and releases that one call of DueOrders returns. A leader that sent 1,460 of
	// them at once saturated the link between regions for half a second, and its pushes to the relays failed.
	maxNonRenewals = 150
	// announceDelay is how long before a release the instances are told that keys move, so that their requests wait instead
	// of being refused by the old owner. It covers the transit between regions and one round of the leader.
	announceDelay = 130 * time.Millisecond
)

// Kind is the kind of an order.
type Kind uint8

// The kinds of orders.
const (
	Grant Kind = iota
	Release
	// Open opens the connection for grants to the owner, unless it is open.
	Open
)

// Session identifies the connection on which a server accepted a grant, among those of this leader to the same address. It ends
// with the server's process at the latest. 0 is none.
type Session uint64

// Order is a grant or release of a range of keys, to be sent to its owner, or opens the connection to an owner.
type Order struct {
	Kind
	spans.Span
	Duration time.Duration // of a grant
	// Renewal is true if a grant with this fence may have been accepted before. Renewals to one server must be sent one by
	// one, stopping at the first failure: a restarted server must not get a fence that its earlier process had.
	Renewal bool
	// Session is where a grant must be sent. For Finish it is where the order was sent, or the connection that is open.
	Session Session
}

// Result is the outcome of an order. The zero value is a failure without an answer.
type Result uint8

// The results of orders.
const (
	NoAnswer     Result = iota // sent without an answer: the server may carry it out, now or later
	NotSent                    // certainly not sent
	Accepted                   // carried out by the server
	Fenced                     // the server has seen a higher fence
	Refused                    // the server answered with another error, such as for a wrong address
	NotListening               // not sent: the connection was refused
	Ended                      // not carried out: a process with another id answered at the server's address
)

// String returns the form used in logs.
func (k Kind) String() string { return [...]string{"grant", "release", "open"}[k] }

// String returns the form used in logs.
func (r Result) String() string {
	return [...]string{"silent", "unsent", "done", "fenced", "refused", "down", "ended"}[r]
}

// rangeState is the state of a range of keys.
type rangeState uint8

const (
	owned     rangeState = iota // the owner holds the keys or is to get them
	announced                   // instances are being told that the keys move; a release follows
	releasing                   // the owner is being asked to release the keys
	unowned                     // nobody holds the keys from freeAt on
)

// keyRange is a range of keys with its owner and the state of the orders for it.
type keyRange struct {
	spans.Span
	state         rangeState
	target        spans.Owner // next owner; zero if there is none or it isn't chosen yet
	inFlight      bool        // an order was sent and its result is not known yet
	unrecorded    bool        // the store does not have owner and fence yet
	stateSince    time.Time   // when the state was entered
	retryAt       time.Time   // no order is sent before then
	renewedAt     time.Time   // start of the last grant that was accepted
	heldUntil     time.Time   // the owner may hold the keys until then at most
	lateUntil     time.Time   // an unanswered grant of this leader may take effect until then
	earlierUntil  time.Time   // a grant of an earlier leader may take effect until then
	fencesEarlier bool        // the owner accepted a fence of this leader, so it refuses grants of earlier ones
	inherited     bool        // the owner got the keys from an earlier leader
	lastFailed    bool        // the last order failed
	fenceUnused   bool        // no server can have accepted a grant with this fence
	session       Session     // on which the owner accepted the fence
	singledAt     time.Time   // when a move for its load left it with a single key
	restarted     bool        // a newer process under the owner's id may hold the keys, and nobody else
	lifeUntil     time.Time   // an earlier process under the owner's id may hold the keys until then
	distrusted    bool        // the owner may not be the latest one
	reassigned    bool        // this leader chose the owner
	movingAfter   uint64      // number of the newest push when the range began to move
}

// freeAt returns the time from which no earlier grant of an unowned range can take effect at another server than the next owner.
func (p *keyRange) freeAt() time.Time {
	if p.restarted && p.target.Server == p.Server && p.target.StartMs > p.StartMs {
		return time.Time{}
	}
	return p.overAt()
}

// overAt returns the time from which no earlier grant of an unowned range can take effect.
func (p *keyRange) overAt() time.Time {
	if p.fencesEarlier {
		return p.lateUntil
	}
	return later(p.lateUntil, p.earlierUntil)
}

// Assigner manages the assignment of one pool's keys. It is not safe for concurrent use.
type Assigner struct {
	// MaxTransit is how long an order may still be in transit after its caller has given up on it.
	MaxTransit time.Duration
	// PauseMoves is set while assignments can't be recorded. Keys released meanwhile would stay without an owner, so no keys
	// are moved from servers that may keep them, and announced moves of such keys are cancelled.
	PauseMoves bool
	// PushNumber is the number of the newest push to the other instances. Later pushes name all ranges that move now.
	PushNumber uint64
	// WitnessedPush is the number of the newest push that a majority of the instances has taken. A range is granted to another
	// server only when such a push has named it: after a restoration of the store nobody else may know of the move. New sets it
	// to the highest number, so that no grant waits.
	WitnessedPush uint64

	ranges    []*keyRange
	lastFence *uint64
	dirty     bool
	lines     lines
	servers   []shift.Server // of the last call of Plan
}

// New returns an assigner that takes over the assignment m. Grants of earlier leaders may be valid until inherited. All
// spans get new fences, so that servers refuse grants of earlier leaders that are still in transit.
//
// fence points to the highest fence ever used. Assigners of several pools may share it.
func New(m spans.Map, fence *uint64, now, inherited time.Time) *Assigner {
	k := &Assigner{lastFence: fence, dirty: true, WitnessedPush: math.MaxUint64}
	for _, s := range m {
		*k.lastFence++
		s.Fence = *k.lastFence
		k.insert(&keyRange{Span: s, unrecorded: true, fenceUnused: true, stateSince: now, heldUntil: inherited, earlierUntil: inherited, inherited: true})
	}
	return k
}

// DistrustOwners notes that the owners which the assigner has taken over may not be the latest ones. Nobody gets keys before the
// grants of earlier leaders have ended, at inherited; then the recorded owners get them back. Keys without an owner wait as well.
func (k *Assigner) DistrustOwners(now, inherited time.Time) {
	var known spans.Map
	for _, p := range k.ranges {
		p.state, p.stateSince, p.target, p.distrusted = unowned, now, p.Owner, true
		known = append(known, p.Span)
	}
	for _, g := range known.Gaps() {
		k.insert(&keyRange{Span: g, state: unowned, stateSince: now, earlierUntil: inherited, inherited: true})
	}
}

// TrustOwners notes that the owners which DistrustOwners has marked are the latest ones after all, except those of moving ranges.
func (k *Assigner) TrustOwners(now time.Time, moving []spans.Span) {
	if !slices.ContainsFunc(k.ranges, func(p *keyRange) bool { return p.distrusted }) {
		return
	}
	for _, s := range moving {
		k.cutOut(now, s.First, s.Last)
	}
	for _, p := range k.ranges {
		uncertain := slices.ContainsFunc(moving, func(s spans.Span) bool { return p.First <= s.Last && s.First <= p.Last })
		if p.distrusted && !uncertain {
			p.state, p.stateSince, p.target, p.distrusted = owned, now, spans.Owner{}, false
		}
	}
}

func (k *Assigner) insert(p *keyRange) *keyRange {
	i := 0
	for i < len(k.ranges) && k.ranges[i].First < p.First {
		i++
	}
	k.ranges = append(k.ranges, nil)
	copy(k.ranges[i+1:], k.ranges[i:])
	k.ranges[i] = p
	return p
}

// LimitInherited lowers the time until which grants of earlier leaders may be valid to until.
func (k *Assigner) LimitInherited(until time.Time) {
	for _, p := range k.ranges {
		if p.earlierUntil.After(until) {
			p.earlierUntil = until
		}
		// A grant of this leader without an answer may last longer. Other failed orders change nothing.
		if p.inherited && p.renewedAt.IsZero() && p.heldUntil.After(until) {
			p.heldUntil = later(until, p.lateUntil)
		}
	}
}

// Map returns the assignment, and whether it differs from the last one that was recorded or is being recorded.
func (k *Assigner) Map() (m spans.Map, changed bool) {
	for _, p := range k.ranges {
		if p.Server != "" {
			m = append(m, p.Span)
		}
	}
	return m, k.dirty
}

// BeginRecord notes that the current assignment is being recorded from now on. Call ConfirmRecord or FailRecord with the outcome
// before the next call.
func (k *Assigner) BeginRecord(now time.Time) { k.dirty, k.lines.recordBegun = false, now }

// FailRecord notes that the record may not be in the store.
func (k *Assigner) FailRecord() { k.dirty = true }

// ConfirmRecord notes that the store has the assignment up to this fence, so that spans up to it may be granted.
func (k *Assigner) ConfirmRecord(fence uint64) {
	k.lines.soleAt = k.lines.recordBegun
	for _, p := range k.ranges {
		if p.Fence <= fence {
			p.unrecorded = false
		}
	}
}

// MovingRange is a range of keys that change owners. Wait is the time until they are expected to be served again.
type MovingRange struct {
	First, Last uint16
	Wait        time.Duration
}

// maxWaitDifference is how much the waits of adjacent ranges may differ for MovingRanges to join them.
const maxWaitDifference = 50 * time.Millisecond

// usualMoveTime is how long a move takes if both servers answer.
const usualMoveTime = 150 * time.Millisecond

// MovingRanges returns the keys for which no requests should be sent at present. Adjacent ranges are joined: at the first
// assignment all ranges move, and each push to each instance names them.
func (k *Assigner) MovingRanges(now time.Time) (out []MovingRange) {
	for _, p := range k.ranges {
		if p.state == owned && (!p.renewedAt.IsZero() || p.inherited) {
			continue
		}
		wait := usualMoveTime
		switch {
		case p.state == unowned:
			wait += max(0, p.freeAt().Sub(now))
		case p.state == releasing && p.lastFailed:
			wait += max(0, p.heldUntil.Sub(now))
		}
		if n := len(out) - 1; n >= 0 && int(out[n].Last)+1 == int(p.First) && (out[n].Wait-wait).Abs() <= maxWaitDifference {
			out[n].Last, out[n].Wait = p.Last, max(out[n].Wait, wait)
			continue
		}
		out = append(out, MovingRange{p.First, p.Last, wait})
	}
	return out
}

// Observe updates the ranges for the present state of the servers, which status returns: usable if the owner may get or
// keep keys, and the evidence that decides what is known of its process (alive.Decide).
func (k *Assigner) Observe(now time.Time, status func(spans.Owner) (usable bool, by alive.Evidence)) {
	for _, p := range k.ranges {
		usable, by := true, alive.EntryCurrent
		if p.Server != "" {
			usable, by = status(p.Owner)
		}
		if p.target.Server != "" {
			if ok, _ := status(p.target); !ok {
				p.target = spans.Owner{}
				if p.state == announced && usable {
					p.state, p.stateSince = owned, now
				}
			}
		}
		switch {
		case p.state == unowned:
		case by.Proves() == alive.Ended && !p.inFlight:
			k.markUnowned(now, p, "")
			// A restarted server knows no fence and may accept grants that an earlier leader still sends.
			p.fencesEarlier = false
			p.restarted = by.LeavesGrants()
			if !p.restarted {
				p.lateUntil = later(now, p.lifeUntil)
			} else if !p.inherited || !p.renewedAt.IsZero() {
				// The restarted server may have accepted the last grant. Grants of earlier leaders are covered by
				// earlierUntil in any case.
				p.lateUntil = later(p.lateUntil, p.heldUntil)
			}
		case p.state == releasing && !p.inFlight && now.After(p.heldUntil),
			p.state == owned && p.lastFailed && !p.inFlight && now.After(p.heldUntil):
			k.markUnowned(now, p, "")
		case p.state == announced && usable && k.PauseMoves:
			p.state, p.stateSince, p.target = owned, now, spans.Owner{}
		case !usable && p.state == owned && !p.unrecorded:
			k.announce(now, p, spans.Owner{})
		}
	}
}

// announce begins to move p to target, which may not be chosen yet. The instances are told before the release.
func (k *Assigner) announce(now time.Time, p *keyRange, target spans.Owner) {
	p.state, p.stateSince, p.target, p.movingAfter = announced, now, target, k.PushNumber
}

// markUnowned notes that the owner of p no longer holds it, except through grants that may still take effect.
func (k *Assigner) markUnowned(now time.Time, p *keyRange, handover string) {
	if p.state == owned {
		p.movingAfter = k.PushNumber
	}
	p.state, p.stateSince, p.Handover, p.inFlight = unowned, now, handover, false
}

// Plan chooses new owners by the load of each key and returns the moves that it starts. Moves that only balance load are
// made if level is true and PauseMoves is not set.
func (k *Assigner) Plan(now time.Time, servers []shift.Server, loads *shift.Loads, level bool) []shift.Move {
	k.servers = servers
	accepts := make(map[spans.Owner]bool)
	for _, s := range servers {
		accepts[s.Owner] = s.AcceptsKeys
	}
	frozen := func(s spans.Span) bool { return k.isFrozen(s) || accepts[s.Owner] && k.stays(now, s) }
	for _, p := range k.ranges {
		if p.state != unowned || !p.restarted || p.target.Server != "" || !now.Before(p.overAt()) {
			continue
		}
		// Any other server would have to wait.
		if i := slices.IndexFunc(servers, func(s shift.Server) bool { return s.AcceptsKeys && s.Server == p.Server && s.StartMs > p.StartMs }); i >= 0 {
			p.target = servers[i].Owner
		}
	}
	moves := shift.Plan(k.plannedMap(), servers, loads, level && !k.PauseMoves, frozen)
	for _, mv := range moves {
		k.startMove(now, mv)
	}
	return moves
}

// plannedMap returns the assignment as it will be after the moves in progress.
func (k *Assigner) plannedMap() (m spans.Map) {
	for _, p := range k.ranges {
		s := p.Span
		switch {
		case p.target.Server != "":
			s.Owner = p.target
		case p.state == unowned:
			continue
		}
		m = append(m, s)
	}
	return m
}

func (k *Assigner) isFrozen(s spans.Span) bool {
	for _, p := range k.ranges {
		if p.First <= s.Last && s.First <= p.Last && (p.target.Server != "" || p.unrecorded || p.inFlight && p.state == owned && p.renewedAt.IsZero()) {
			return true
		}
	}
	return false
}

// heavyKeyStay is how long a key that was moved alone stays where it is. Its new owner is measured within that time; before, it
// seems slow because of the key itself.
const heavyKeyStay = 6 * time.Second

// stays reports whether s is a key that was moved alone lately.
func (k *Assigner) stays(now time.Time, s spans.Span) bool {
	p := k.find(s.First)
	return s.First == s.Last && p != nil && !p.singledAt.IsZero() && now.Sub(p.singledAt) < heavyKeyStay
}

// startMove sets the next owner of the keys of mv. Owned keys are announced as moving first.
func (k *Assigner) startMove(now time.Time, mv shift.Move) {
	for _, p := range k.cutOut(now, mv.First, mv.Last) {
		switch {
		case p.Owner != mv.To || p.state == unowned || p.state == releasing:
			// The target may be the server that has just lost the keys.
			p.target = mv.To
			if p.state == owned {
				k.announce(now, p, mv.To)
				if mv.First == mv.Last {
					p.singledAt = now
				}
			}
		case p.state == announced:
			p.state, p.stateSince, p.target = owned, now, spans.Owner{}
		}
	}
}

// cutOut splits ranges so that some of them cover exactly the keys from first to last, and returns those. Keys that are
// in no range yet get an unowned one.
func (k *Assigner) cutOut(now time.Time, first, last uint16) (out []*keyRange) {
	for _, p := range append([]*keyRange(nil), k.ranges...) {
		if p.Last < first || p.First > last {
			continue
		}
		if p.First < first {
			k.splitAt(p, first)
			p = k.find(first)
		}
		if p.Last > last {
			k.splitAt(p, last+1)
		}
		out = append(out, p)
	}
	covered := make(spans.Map, 0, len(out))
	for _, p := range out {
		covered = append(covered, p.Span)
	}
	for _, g := range covered.Gaps() {
		if g.Last >= first && g.First <= last {
			out = append(out, k.insert(&keyRange{
				Span: spans.Span{First: max(g.First, first), Last: min(g.Last, last)}, state: unowned, stateSince: now, movingAfter: k.PushNumber,
			}))
		}
	}
	return out
}

func (k *Assigner) find(key uint16) *keyRange {
	for _, p := range k.ranges {
		if p.First <= key && key <= p.Last {
			return p
		}
	}
	return nil
}

// splitAt splits p before key. A renewal of p that is in flight counts for both parts.
func (k *Assigner) splitAt(p *keyRange, key uint16) {
	right := *p
	right.First = key
	p.Last = key - 1
	k.insert(&right)
	k.dirty = true
}

// DueOrders returns the orders to send now. Grants last for duration. Each order must be followed by Finish.
func (k *Assigner) DueOrders(now time.Time, duration time.Duration) (out []Order) {
	k.assignUnowned(now)
	out = k.dueOpens(now)
	renewing, inFlight, nonRenewals := make(map[spans.Owner]bool), make(map[spans.Owner]int), 0
	for _, p := range k.ranges {
		if !p.inFlight {
			continue
		}
		if renewal := p.state != releasing && !p.fenceUnused; renewal {
			renewing[p.Owner] = true
		} else {
			inFlight[p.Owner]++
		}
	}
	for _, p := range k.ranges {
		if p.state == announced && now.Sub(p.stateSince) >= announceDelay {
			p.state, p.stateSince = releasing, now
		}
		if p.inFlight || now.Before(p.retryAt) || p.Server == "" {
			continue
		}
		renewal := p.state != releasing && !p.fenceUnused
		if !renewal && (inFlight[p.Owner] >= maxOrdersPerServer || nonRenewals >= maxNonRenewals) {
			continue
		}
		switch {
		case p.state == releasing:
			p.inFlight = true
			inFlight[p.Owner]++
			nonRenewals++
			out = append(out, Order{Kind: Release, Span: p.Span})
		case p.reassigned && p.fenceUnused && k.WitnessedPush <= p.movingAfter: // no majority knows of the move yet
		case (p.state == owned || p.state == announced) && !p.unrecorded && now.Sub(p.renewedAt) >= renewInterval && (p.fenceUnused || !renewing[p.Owner]):
			o := Order{Kind: Grant, Span: p.Span, Duration: duration, Renewal: renewal, Session: p.session}
			if !renewal {
				if o.Session = k.lines.usable(p.Owner); o.Session == 0 {
					continue
				}
				inFlight[p.Owner]++
				nonRenewals++
			}
			p.inFlight = true
			out = append(out, o)
		}
	}
	return out
}

// assignUnowned assigns the ranges that nobody can hold any more to their next owners, with new fences.
func (k *Assigner) assignUnowned(now time.Time) {
	for _, p := range k.ranges {
		if p.state != unowned || p.target.Server == "" || now.Before(p.freeAt()) {
			continue
		}
		*k.lastFence++
		p.Span = spans.Span{First: p.First, Last: p.Last, Owner: p.target, Fence: *k.lastFence, Handover: p.Handover}
		before := *p
		*p = keyRange{
			Span: p.Span, unrecorded: true, fenceUnused: true, stateSince: now, singledAt: p.singledAt, reassigned: true, movingAfter: p.movingAfter,
		}
		if before.restarted {
			// Until the new process accepts the new fence, it may hold the keys by earlier grants.
			p.heldUntil, p.lateUntil, p.earlierUntil = before.lateUntil, before.lateUntil, before.earlierUntil
			p.lifeUntil = before.lateUntil
		}
		k.dirty = true
	}
}

// Finish takes the result of an order that was sent at start and ended at now. The duration of a grant counts from now,
// since the grant may have reached the server that late.
func (k *Assigner) Finish(start, now time.Time, o Order, res Result, handover string) {
	if o.Kind == Open {
		k.finishOpen(now, o, res)
		return
	}
	if o.Kind == Grant && res != Accepted && res != Fenced {
		k.lines.reopen(o.Owner)
	}
	for _, p := range k.ranges {
		// Also finds the parts of a range that was split while the order was in flight.
		if p.First < o.First || p.Last > o.Last || p.Owner != o.Owner || p.Fence != o.Fence {
			continue
		}
		p.inFlight = false
		if o.Kind == Release {
			k.finishRelease(now, p, res, handover)
		} else {
			k.finishGrant(start, now, p, o, res)
		}
	}
	for _, p := range k.ranges {
		if p.Owner != o.Owner || p.state == unowned {
			continue
		}
		// The server may have restarted under its id, and a restarted server must not get a fence of the earlier process.
		if res != Accepted && res != Ended && !p.inFlight && (!p.fenceUnused || res == Fenced) {
			k.replaceFence(p)
		}
	}
}

func (k *Assigner) finishRelease(now time.Time, p *keyRange, res Result, handover string) {
	switch {
	case p.state != releasing:
	case res == Accepted:
		k.markUnowned(now, p, handover)
	case now.After(p.heldUntil):
		k.markUnowned(now, p, "")
	default:
		p.retryAt, p.lastFailed = now.Add(retryDelay), true
	}
}

func (k *Assigner) finishGrant(start, now time.Time, p *keyRange, o Order, res Result) {
	expiry := now.Add(time.Duration(float64(o.Duration)*(1+maxClockDrift)) + grantMargin)
	if res == Accepted {
		p.heldUntil = later(p.heldUntil, expiry)
		p.renewedAt, p.lastFailed, p.fenceUnused, p.session = start, false, false, o.Session
		// The fence is above those of all unanswered grants and of earlier leaders' grants, so the server now refuses them.
		p.lateUntil, p.lifeUntil, p.fencesEarlier = time.Time{}, time.Time{}, true
		return
	}
	p.retryAt, p.lastFailed = now.Add(retryDelay), true
	if res == NoAnswer {
		expiry = expiry.Add(k.MaxTransit)
		p.heldUntil, p.lateUntil = later(p.heldUntil, expiry), later(p.lateUntil, expiry)
		p.fenceUnused = false
	}
}

// replaceFence gives p a new fence, which has to be recorded before the next grant.
func (k *Assigner) replaceFence(p *keyRange) {
	*k.lastFence++
	p.Fence, p.unrecorded, p.fenceUnused, k.dirty = *k.lastFence, true, true, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
