// Package assign decides which orders the leader gives to the servers of a keyed pool: grants, renewals and releases. It
// knows for each run of keys until when its owner may hold them at most, whatever became of the calls that were sent,
// and gives keys to another server only after that or after a release. It is pure; all times must come from a clock
// that counts while the instance is suspended.
package assign

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/shift"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// GrantDuration is how long a grant lasts. Keys of a server that falls silent are unserved for so long, and a new leader
	// must renew within it: silence, claim and first grants take some 2 s.
	GrantDuration = 3200 * time.Millisecond
	// renewInterval is the interval of renewals.
	renewInterval = 800 * time.Millisecond
	// maxClockDrift is how much slower than ours a server's clock may run.
	maxClockDrift = 0.02
	// grantMargin covers the way of a grant and the reading of clocks.
	grantMargin = 50 * time.Millisecond
	// retryDelay is the pause after a failed order.
	retryDelay = 250 * time.Millisecond
	// maxOrdersPerServer bounds the orders to one server that are under way. The client has as many connections to each, and an order
	// beyond them fails.
	maxOrdersPerServer = 4
	// maxNonRenewals bounds the first grants and releases that fall due at once. A leader that sent 1,460 of them in one go filled the
	// link between regions for half a second, and its pushes to the relays failed.
	maxNonRenewals = 150
	// announceDelay is how long before a release the instances are told that keys move, so that their requests wait instead of
	// being refused by the old owner. It covers the way between regions and a tick of the leader.
	announceDelay = 130 * time.Millisecond
)

// Kind of an order.
type Kind uint8

// Kinds of orders.
const (
	Grant Kind = iota
	Release
)

// Order is a call to a server.
type Order struct {
	Kind
	spans.Span
	Duration time.Duration
	// Renewal tells that the fence was granted before. Renewals of one server are sent one after the other, and none after
	// one that failed: a new life of the server must not get a used fence.
	Renewal bool
}

// Result is how an order ended. The zero value is a failure without an answer.
type Result uint8

// Results of orders.
const (
	NoAnswer     Result = iota // no answer: the order may be carried out, at once or later
	NotSent                    // certainly not sent
	Accepted                   // accepted
	Fenced                     // the server has seen a higher fence
	Refused                    // the server is no such server
	NotListening               // not sent, and no process listens at the server's address
)

// String returns the form used in logs.
func (k Kind) String() string { return [...]string{"grant", "release"}[k] }

// String returns the form used in logs.
func (r Result) String() string {
	return [...]string{"silent", "unsent", "done", "fenced", "refused", "down"}[r]
}

// rangeState of a piece.
type rangeState uint8

const (
	owned     rangeState = iota // the owner holds the keys or is to get them
	announced                   // the instances are being told that the keys move
	releasing                   // the owner is being asked to stop
	unowned                     // nobody holds the keys after wait
)

// keyRange is a run of keys as the keeper sees it.
type keyRange struct {
	spans.Span
	state         rangeState
	target        spans.Owner // of a move; zero if not chosen yet
	inFlight      bool        // an order is under way
	unrecorded    bool        // the assignment is not recorded yet
	stateSince    time.Time   // of the state
	retryAt       time.Time   // no order before
	renewedAt     time.Time   // start of the last grant that was accepted
	heldUntil     time.Time   // the owner holds the keys at most until then
	lateUntil     time.Time   // a grant of this leader without answer may take effect until then
	earlierUntil  time.Time   // a grant of an earlier leader may take effect until then
	fencesEarlier bool        // the owner has a fence of this leader, so that it refuses grants of earlier ones
	inherited     bool        // from an earlier leader: the owner held the keys when this one began
	lastFailed    bool        // the last order failed
	notListening  bool        // nobody listened at the server's address when the last order to it was sent
	fenceUnused   bool        // no grant with this fence may have reached a server
}

// freeAt returns when no grant for a parted piece may take effect any more.
func (p *keyRange) freeAt() time.Time {
	if p.fencesEarlier {
		return p.lateUntil
	}
	return later(p.lateUntil, p.earlierUntil)
}

// Assigner holds the pieces of one pool. It is not safe for concurrent use.
type Assigner struct {
	// MaxTransit is how long an order may still be on its way when its caller has given it up.
	MaxTransit time.Duration
	// PauseMoves tells that assignments can't be recorded for now. Keys that are released then stay without an owner, so that
	// moves from servers that may keep their keys are not begun.
	PauseMoves bool

	ranges    []*keyRange
	lastFence *uint64
	dirty     bool
}

// New returns a keeper that takes over an assignment. inherited is until when a grant of an earlier leader may hold. All
// spans get new fences, which shut out grants of earlier leaders that are still on their way.
//
// fence is the highest fence ever used. Keepers of several pools may share it.
func New(m spans.Map, fence *uint64, now, inherited time.Time) *Assigner {
	k := &Assigner{lastFence: fence, dirty: true}
	for _, s := range m {
		*k.lastFence++
		s.Fence = *k.lastFence
		k.insert(&keyRange{Span: s, unrecorded: true, fenceUnused: true, stateSince: now, heldUntil: inherited, earlierUntil: inherited, inherited: true})
	}
	return k
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

// LimitInherited lowers the bound on grants of earlier leaders to until.
func (k *Assigner) LimitInherited(until time.Time) {
	for _, p := range k.ranges {
		if !p.inherited {
			continue
		}
		if p.earlierUntil.After(until) {
			p.earlierUntil = until
		}
		if p.renewedAt.IsZero() && !p.lastFailed && p.heldUntil.After(until) {
			p.heldUntil = until
		}
	}
}

// Map returns the assignment, and whether it differs from what was recorded.
func (k *Assigner) Map() (m spans.Map, changed bool) {
	for _, p := range k.ranges {
		if p.Server != "" {
			m = append(m, p.Span)
		}
	}
	return m, k.dirty
}

// BeginRecord notes that the present assignment is being recorded; Recorded is called with its fence once the store has it.
func (k *Assigner) BeginRecord() { k.dirty = false }

// FailRecord notes that the record may not be in the store.
func (k *Assigner) FailRecord() { k.dirty = true }

// ConfirmRecord notes that the store has the assignment with this fence. Grants of spans up to it may be sent.
func (k *Assigner) ConfirmRecord(fence uint64) {
	for _, p := range k.ranges {
		if p.Fence <= fence {
			p.unrecorded = false
		}
	}
}

// MovingRange is a run of keys that change hands. Wait is the time until they are expected to be served again.
type MovingRange struct {
	First, Last uint16
	Wait        time.Duration
}

// maxWaitDifference is how much the waits of neighbouring runs may differ for them to be told as one.
const maxWaitDifference = 50 * time.Millisecond

// usualMoveTime is the time that a move takes if both servers answer.
const usualMoveTime = 150 * time.Millisecond

// MovingRanges returns the keys for which requests should not be sent for now. Neighbours are joined: when keys are first dealt, all
// ranges move, and each push to each instance names them.
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

// Observe adapts the pieces to the servers that are known. live returns the state of an owner; gone is only true if its
// incarnation has certainly ended.
func (k *Assigner) Observe(now time.Time, live func(spans.Owner) (usable, gone bool)) {
	for _, p := range k.ranges {
		usable, gone := true, false
		if p.Server != "" {
			usable, gone = live(p.Owner)
		}
		if p.target.Server != "" {
			if ok, _ := live(p.target); !ok {
				p.target = spans.Owner{}
				if p.state == announced && usable {
					p.state, p.stateSince = owned, now
				}
			}
		}
		switch {
		case p.state == unowned:
		case gone && !p.inFlight:
			k.markUnowned(now, p, "")
			// Its next life knows no fence, and may accept what an earlier leader goes on sending.
			p.fencesEarlier = false
			if p.fenceUnused && p.notListening {
				// No grant was accepted since nobody listened there, so that the grants of before ended with their process.
				p.lateUntil = now
			} else if !p.inherited || !p.renewedAt.IsZero() {
				// The next life at the address may have accepted the last one. What an earlier leader has sent is waited for
				// in any case.
				p.lateUntil = later(p.lateUntil, p.heldUntil)
			}
		case p.state == releasing && !p.inFlight && now.After(p.heldUntil),
			p.state == owned && p.lastFailed && !p.inFlight && now.After(p.heldUntil):
			k.markUnowned(now, p, "")
			p.target = spans.Owner{}
		case p.state == announced && usable && k.PauseMoves:
			p.state, p.stateSince, p.target = owned, now, spans.Owner{}
		case !usable && p.state == owned && !p.unrecorded:
			p.state, p.stateSince, p.target = announced, now, spans.Owner{}
		}
	}
}

// markUnowned notes that the owner of p holds it no longer, except by grants that may still take effect.
func (k *Assigner) markUnowned(now time.Time, p *keyRange, handover string) {
	p.state, p.stateSince, p.Handover, p.inFlight = unowned, now, handover, false
}

// Plan chooses new owners by the load of each key, and returns the moves that it starts. level permits moves by load
// alone, unless the keys are to stay.
func (k *Assigner) Plan(now time.Time, servers []shift.Server, loads *shift.Loads, level bool) []shift.Move {
	moves := shift.Plan(k.plannedMap(), servers, loads, level && !k.PauseMoves, k.isFrozen)
	for _, mv := range moves {
		k.startMove(now, mv)
	}
	return moves
}

// plannedMap returns the assignment as it will be after the moves under way.
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

// startMove starts a move. Keys without an owner get one at once.
func (k *Assigner) startMove(now time.Time, mv shift.Move) {
	for _, p := range k.cutOut(now, mv.First, mv.Last) {
		switch {
		case p.Owner != mv.To || p.state == unowned || p.state == releasing:
			// A server that has lost its keys may be the one to get them again.
			p.target = mv.To
			if p.state == owned {
				p.state, p.stateSince = announced, now
			}
		case p.state == announced:
			p.state, p.stateSince, p.target = owned, now, spans.Owner{}
		}
	}
}

// cutOut cuts the pieces so that some of them cover exactly the keys from first to last, and returns those.
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
				Span: spans.Span{First: max(g.First, first), Last: min(g.Last, last)}, state: unowned, stateSince: now,
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

// splitAt cuts p before key at. A renewal of the whole that is under way counts for both parts.
func (k *Assigner) splitAt(p *keyRange, at uint16) {
	right := *p
	right.First = at
	p.Last = at - 1
	k.insert(&right)
	k.dirty = true
}

// DueOrders returns the orders to send now, with grants for hold.
func (k *Assigner) DueOrders(now time.Time, hold time.Duration) (out []Order) {
	k.assignUnowned(now)
	granting, busy, first := make(map[spans.Owner]bool), make(map[spans.Owner]int), 0
	for _, p := range k.ranges {
		if !p.inFlight {
			continue
		}
		if renewal := p.state != releasing && !p.fenceUnused; renewal {
			granting[p.Owner] = true
		} else {
			busy[p.Owner]++
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
		if !renewal && (busy[p.Owner] >= maxOrdersPerServer || first >= maxNonRenewals) {
			continue
		}
		switch {
		case p.state == releasing:
			p.inFlight = true
			busy[p.Owner]++
			first++
			out = append(out, Order{Kind: Release, Span: p.Span})
		case (p.state == owned || p.state == announced) && !p.unrecorded && now.Sub(p.renewedAt) >= renewInterval && (p.fenceUnused || !granting[p.Owner]):
			p.inFlight = true
			if !renewal {
				busy[p.Owner]++
				first++
			}
			out = append(out, Order{Kind: Grant, Span: p.Span, Duration: hold, Renewal: renewal})
		}
	}
	return out
}

// assignUnowned gives keys that nobody holds to their next owner.
func (k *Assigner) assignUnowned(now time.Time) {
	for _, p := range k.ranges {
		if p.state != unowned || p.target.Server == "" || now.Before(p.freeAt()) {
			continue
		}
		*k.lastFence++
		p.Span = spans.Span{First: p.First, Last: p.Last, Owner: p.target, Fence: *k.lastFence, Handover: p.Handover}
		*p = keyRange{Span: p.Span, unrecorded: true, fenceUnused: true, stateSince: now}
		k.dirty = true
	}
}

// Finish notes how an order ended that began at start. The end counts for how long a grant may hold, since its way to
// the server may have taken that long.
func (k *Assigner) Finish(start, now time.Time, o Order, res Result, handover string) {
	for _, p := range k.ranges {
		// A piece that was split while the order was under way is found by its keys.
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
		if res != NotSent {
			p.notListening = res == NotListening
		}
		// The server may have been restarted under its id, and a new life must not get the fences of the old one.
		if res != Accepted && !p.inFlight && (!p.fenceUnused || res == Fenced) {
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
	lapse := now.Add(time.Duration(float64(o.Duration)*(1+maxClockDrift)) + grantMargin)
	if res == Accepted {
		p.heldUntil = later(p.heldUntil, lapse)
		p.renewedAt, p.lastFailed, p.fenceUnused = start, false, false
		// The fence is above those of all grants without answer and of earlier leaders, so that these are refused now.
		p.lateUntil, p.fencesEarlier = time.Time{}, true
		return
	}
	p.retryAt, p.lastFailed = now.Add(retryDelay), true
	if res == NoAnswer {
		lapse = lapse.Add(k.MaxTransit)
		p.heldUntil, p.lateUntil = later(p.heldUntil, lapse), later(p.lateUntil, lapse)
		p.fenceUnused = false
	}
}

// replaceFence gives a piece a fence that no grant has had. It has to be recorded before the next grant.
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
