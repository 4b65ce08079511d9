// Package keep decides which orders the leader gives to the servers of a keyed pool: grants, renewals and releases. It
// knows for each run of keys until when its owner may hold them at most, whatever became of the calls that were sent,
// and gives keys to another server only after that or after a release. It is pure; all times must come from a clock
// that counts while the instance is suspended.
package keep

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/shift"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// Hold is how long a grant lasts. Keys of a server that falls silent are unserved for so long, and a new leader
	// must renew within it: silence, claim and first grants take some 2 s.
	Hold = 3200 * time.Millisecond
	// renew is the interval of renewals.
	renew = 800 * time.Millisecond
	// drift is how much slower than ours a server's clock may run.
	drift = 0.02
	// margin covers the way of a grant and the reading of clocks.
	margin = 50 * time.Millisecond
	// retryAfter is the pause after a failed order.
	retryAfter = 250 * time.Millisecond
	// ordersEach bounds the orders to one server that are under way. The client has as many connections to each, and an order
	// beyond them fails.
	ordersEach = 4
	// burst bounds the first grants and releases that fall due at once. A leader that sent 1,460 of them in one go filled the
	// link between regions for half a second, and its pushes to the relays failed.
	burst = 150
	// notice is how long before a release the instances are told that keys move, so that their requests wait instead of
	// being refused by the old owner. It covers the way between regions and a tick of the leader.
	notice = 130 * time.Millisecond
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
	Hold time.Duration
	// Renewal tells that the fence was granted before. Renewals of one server are sent one after the other, and none after
	// one that failed: a new life of the server must not get a used fence.
	Renewal bool
}

// Result is how an order ended. The zero value is a failure without an answer.
type Result uint8

// Results of orders.
const (
	Silent  Result = iota // no answer: the order may be carried out, at once or later
	Unsent                // certainly not sent
	Done                  // accepted
	Fenced                // the server has seen a higher fence
	Refused               // the server is no such server
	Down                  // not sent, and no process listens at the server's address
)

// String returns the form used in logs.
func (k Kind) String() string { return [...]string{"grant", "release"}[k] }

// String returns the form used in logs.
func (r Result) String() string {
	return [...]string{"silent", "unsent", "done", "fenced", "refused", "down"}[r]
}

// state of a piece.
type state uint8

const (
	held      state = iota // the owner holds the keys or is to get them
	noticed                // the instances are being told that the keys move
	releasing              // the owner is being asked to stop
	parted                 // nobody holds the keys after wait
)

// piece is a run of keys as the keeper sees it.
type piece struct {
	spans.Span
	state   state
	to      spans.Owner // of a move; zero if not chosen yet
	busy    bool        // an order is under way
	pending bool        // the assignment is not recorded yet
	since   time.Time   // of the state
	retry   time.Time   // no order before
	renewed time.Time   // start of the last grant that was accepted
	bound   time.Time   // the owner holds the keys at most until then
	open    time.Time   // a grant of this leader without answer may take effect until then
	legacy  time.Time   // a grant of an earlier leader may take effect until then
	shut    bool        // the owner has a fence of this leader, so that it refuses grants of earlier ones
	taken   bool        // from an earlier leader: the owner held the keys when this one began
	failed  bool        // the last order failed
	down    bool        // nobody listened at the server's address when the last order to it was sent
	unused  bool        // no grant with this fence may have reached a server
}

// free returns when no grant for a parted piece may take effect any more.
func (p *piece) free() time.Time {
	if p.shut {
		return p.open
	}
	return later(p.open, p.legacy)
}

// Keeper holds the pieces of one pool. It is not safe for concurrent use.
type Keeper struct {
	// Transit is how long an order may still be on its way when its caller has given it up.
	Transit time.Duration
	// Stay tells that assignments can't be recorded for now. Keys that are released then stay without an owner, so that
	// moves from servers that may keep their keys are not begun.
	Stay bool

	pieces []*piece
	fence  *uint64
	dirty  bool
}

// New returns a keeper that takes over an assignment. inherited is until when a grant of an earlier leader may hold. All
// spans get new fences, which shut out grants of earlier leaders that are still on their way.
//
// fence is the highest fence ever used. Keepers of several pools may share it.
func New(m spans.Map, fence *uint64, now, inherited time.Time) *Keeper {
	k := &Keeper{fence: fence, dirty: true}
	for _, s := range m {
		*k.fence++
		s.Fence = *k.fence
		k.add(&piece{Span: s, pending: true, unused: true, since: now, bound: inherited, legacy: inherited, taken: true})
	}
	return k
}

func (k *Keeper) add(p *piece) *piece {
	i := 0
	for i < len(k.pieces) && k.pieces[i].First < p.First {
		i++
	}
	k.pieces = append(k.pieces, nil)
	copy(k.pieces[i+1:], k.pieces[i:])
	k.pieces[i] = p
	return p
}

// Shorten lowers the bound on grants of earlier leaders to until.
func (k *Keeper) Shorten(until time.Time) {
	for _, p := range k.pieces {
		if !p.taken {
			continue
		}
		if p.legacy.After(until) {
			p.legacy = until
		}
		if p.renewed.IsZero() && !p.failed && p.bound.After(until) {
			p.bound = until
		}
	}
}

// Map returns the assignment, and whether it differs from what was recorded.
func (k *Keeper) Map() (m spans.Map, changed bool) {
	for _, p := range k.pieces {
		if p.Server != "" {
			m = append(m, p.Span)
		}
	}
	return m, k.dirty
}

// Recording notes that the present assignment is being recorded; Recorded is called with its fence once the store has it.
func (k *Keeper) Recording() { k.dirty = false }

// Unrecorded notes that the record may not be in the store.
func (k *Keeper) Unrecorded() { k.dirty = true }

// Recorded notes that the store has the assignment with this fence. Grants of spans up to it may be sent.
func (k *Keeper) Recorded(fence uint64) {
	for _, p := range k.pieces {
		if p.Fence <= fence {
			p.pending = false
		}
	}
}

// Run is a run of keys that change hands. Wait is the time until they are expected to be served again.
type Run struct {
	First, Last uint16
	Wait        time.Duration
}

// sameWait is how much the waits of neighbouring runs may differ for them to be told as one.
const sameWait = 50 * time.Millisecond

// usualMove is the time that a move takes if both servers answer.
const usualMove = 150 * time.Millisecond

// Moving returns the keys for which requests should not be sent for now. Neighbours are joined: when keys are first dealt, all
// ranges move, and each push to each instance names them.
func (k *Keeper) Moving(now time.Time) (out []Run) {
	for _, p := range k.pieces {
		if p.state == held && (!p.renewed.IsZero() || p.taken) {
			continue
		}
		wait := usualMove
		switch {
		case p.state == parted:
			wait += max(0, p.free().Sub(now))
		case p.state == releasing && p.failed:
			wait += max(0, p.bound.Sub(now))
		}
		if n := len(out) - 1; n >= 0 && int(out[n].Last)+1 == int(p.First) && (out[n].Wait-wait).Abs() <= sameWait {
			out[n].Last, out[n].Wait = p.Last, max(out[n].Wait, wait)
			continue
		}
		out = append(out, Run{p.First, p.Last, wait})
	}
	return out
}

// Observe adapts the pieces to the servers that are known. live returns the state of an owner; gone is only true if its
// incarnation has certainly ended.
func (k *Keeper) Observe(now time.Time, live func(spans.Owner) (usable, gone bool)) {
	for _, p := range k.pieces {
		usable, gone := true, false
		if p.Server != "" {
			usable, gone = live(p.Owner)
		}
		if p.to.Server != "" {
			if ok, _ := live(p.to); !ok {
				p.to = spans.Owner{}
				if p.state == noticed && usable {
					p.state, p.since = held, now
				}
			}
		}
		switch {
		case p.state == parted:
		case gone && !p.busy:
			k.part(now, p, "")
			// Its next life knows no fence, and may accept what an earlier leader goes on sending.
			p.shut = false
			if p.unused && p.down {
				// No grant was accepted since nobody listened there, so that the grants of before ended with their process.
				p.open = now
			} else if !p.taken || !p.renewed.IsZero() {
				// The next life at the address may have accepted the last one. What an earlier leader has sent is waited for
				// in any case.
				p.open = later(p.open, p.bound)
			}
		case p.state == releasing && !p.busy && now.After(p.bound),
			p.state == held && p.failed && !p.busy && now.After(p.bound):
			k.part(now, p, "")
			p.to = spans.Owner{}
		case p.state == noticed && usable && k.Stay:
			p.state, p.since, p.to = held, now, spans.Owner{}
		case !usable && p.state == held && !p.pending:
			p.state, p.since, p.to = noticed, now, spans.Owner{}
		}
	}
}

// part notes that the owner of p holds it no longer, except by grants that may still take effect.
func (k *Keeper) part(now time.Time, p *piece, handover string) {
	p.state, p.since, p.Handover, p.busy = parted, now, handover, false
}

// Plan chooses new owners by the load of each key, and returns the moves that it starts. level permits moves by load
// alone, unless the keys are to stay.
func (k *Keeper) Plan(now time.Time, servers []shift.Server, loads *shift.Loads, level bool) []shift.Move {
	moves := shift.Plan(k.settled(), servers, loads, level && !k.Stay, k.unsettled)
	for _, mv := range moves {
		k.move(now, mv)
	}
	return moves
}

// settled returns the assignment as it will be after the moves under way.
func (k *Keeper) settled() (m spans.Map) {
	for _, p := range k.pieces {
		s := p.Span
		switch {
		case p.to.Server != "":
			s.Owner = p.to
		case p.state == parted:
			continue
		}
		m = append(m, s)
	}
	return m
}

func (k *Keeper) unsettled(s spans.Span) bool {
	for _, p := range k.pieces {
		if p.First <= s.Last && s.First <= p.Last && (p.to.Server != "" || p.pending || p.busy && p.state == held && p.renewed.IsZero()) {
			return true
		}
	}
	return false
}

// move starts a move. Keys without an owner get one at once.
func (k *Keeper) move(now time.Time, mv shift.Move) {
	for _, p := range k.slice(now, mv.First, mv.Last) {
		switch {
		case p.Owner != mv.To || p.state == parted || p.state == releasing:
			// A server that has lost its keys may be the one to get them again.
			p.to = mv.To
			if p.state == held {
				p.state, p.since = noticed, now
			}
		case p.state == noticed:
			p.state, p.since, p.to = held, now, spans.Owner{}
		}
	}
}

// slice cuts the pieces so that some of them cover exactly the keys from first to last, and returns those.
func (k *Keeper) slice(now time.Time, first, last uint16) (out []*piece) {
	for _, p := range append([]*piece(nil), k.pieces...) {
		if p.Last < first || p.First > last {
			continue
		}
		if p.First < first {
			k.split(p, first)
			p = k.find(first)
		}
		if p.Last > last {
			k.split(p, last+1)
		}
		out = append(out, p)
	}
	covered := make(spans.Map, 0, len(out))
	for _, p := range out {
		covered = append(covered, p.Span)
	}
	for _, g := range covered.Gaps() {
		if g.Last >= first && g.First <= last {
			out = append(out, k.add(&piece{
				Span: spans.Span{First: max(g.First, first), Last: min(g.Last, last)}, state: parted, since: now,
			}))
		}
	}
	return out
}

func (k *Keeper) find(key uint16) *piece {
	for _, p := range k.pieces {
		if p.First <= key && key <= p.Last {
			return p
		}
	}
	return nil
}

// split cuts p before key at. A renewal of the whole that is under way counts for both parts.
func (k *Keeper) split(p *piece, at uint16) {
	right := *p
	right.First = at
	p.Last = at - 1
	k.add(&right)
	k.dirty = true
}

// Due returns the orders to send now, with grants for hold.
func (k *Keeper) Due(now time.Time, hold time.Duration) (out []Order) {
	k.assign(now)
	granting, busy, first := make(map[spans.Owner]bool), make(map[spans.Owner]int), 0
	for _, p := range k.pieces {
		if !p.busy {
			continue
		}
		if renewal := p.state != releasing && !p.unused; renewal {
			granting[p.Owner] = true
		} else {
			busy[p.Owner]++
		}
	}
	for _, p := range k.pieces {
		if p.state == noticed && now.Sub(p.since) >= notice {
			p.state, p.since = releasing, now
		}
		if p.busy || now.Before(p.retry) || p.Server == "" {
			continue
		}
		renewal := p.state != releasing && !p.unused
		if !renewal && (busy[p.Owner] >= ordersEach || first >= burst) {
			continue
		}
		switch {
		case p.state == releasing:
			p.busy = true
			busy[p.Owner]++
			first++
			out = append(out, Order{Kind: Release, Span: p.Span})
		case (p.state == held || p.state == noticed) && !p.pending && now.Sub(p.renewed) >= renew && (p.unused || !granting[p.Owner]):
			p.busy = true
			if !renewal {
				busy[p.Owner]++
				first++
			}
			out = append(out, Order{Kind: Grant, Span: p.Span, Hold: hold, Renewal: renewal})
		}
	}
	return out
}

// assign gives keys that nobody holds to their next owner.
func (k *Keeper) assign(now time.Time) {
	for _, p := range k.pieces {
		if p.state != parted || p.to.Server == "" || now.Before(p.free()) {
			continue
		}
		*k.fence++
		p.Span = spans.Span{First: p.First, Last: p.Last, Owner: p.to, Fence: *k.fence, Handover: p.Handover}
		*p = piece{Span: p.Span, pending: true, unused: true, since: now}
		k.dirty = true
	}
}

// Finish notes how an order ended that began at start. The end counts for how long a grant may hold, since its way to
// the server may have taken that long.
func (k *Keeper) Finish(start, now time.Time, o Order, res Result, handover string) {
	for _, p := range k.pieces {
		// A piece that was split while the order was under way is found by its keys.
		if p.First < o.First || p.Last > o.Last || p.Owner != o.Owner || p.Fence != o.Fence {
			continue
		}
		p.busy = false
		if o.Kind == Release {
			k.released(now, p, res, handover)
		} else {
			k.granted(start, now, p, o, res)
		}
	}
	for _, p := range k.pieces {
		if p.Owner != o.Owner || p.state == parted {
			continue
		}
		if res != Unsent {
			p.down = res == Down
		}
		// The server may have been restarted under its id, and a new life must not get the fences of the old one.
		if res != Done && !p.busy && (!p.unused || res == Fenced) {
			k.refence(p)
		}
	}
}

func (k *Keeper) released(now time.Time, p *piece, res Result, handover string) {
	switch {
	case p.state != releasing:
	case res == Done:
		k.part(now, p, handover)
	case now.After(p.bound):
		k.part(now, p, "")
	default:
		p.retry, p.failed = now.Add(retryAfter), true
	}
}

func (k *Keeper) granted(start, now time.Time, p *piece, o Order, res Result) {
	lapse := now.Add(time.Duration(float64(o.Hold)*(1+drift)) + margin)
	if res == Done {
		p.bound = later(p.bound, lapse)
		p.renewed, p.failed, p.unused = start, false, false
		// The fence is above those of all grants without answer and of earlier leaders, so that these are refused now.
		p.open, p.shut = time.Time{}, true
		return
	}
	p.retry, p.failed = now.Add(retryAfter), true
	if res == Silent {
		lapse = lapse.Add(k.Transit)
		p.bound, p.open = later(p.bound, lapse), later(p.open, lapse)
		p.unused = false
	}
}

// refence gives a piece a fence that no grant has had. It has to be recorded before the next grant.
func (k *Keeper) refence(p *piece) {
	*k.fence++
	p.Fence, p.pending, p.unused, k.dirty = *k.fence, true, true, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
