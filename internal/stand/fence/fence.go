// Package fence is the server side of fenced grants: whom a backend server obeys and which slots it holds. It decides
// by the times it is given and has no clock of its own.
package fence

import (
	"sync"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// Request is the body of POST /grant. Until is a time of the server's own clock in nanoseconds.
type Request struct {
	Incarnation uint64            `json:"incarnation"`
	Term        uint64            `json:"term"`
	Epoch       uint64            `json:"epoch"`
	Until       int64             `json:"until"`
	Slots       []trace.SlotRange `json:"slots"`
}

// maxSlots bounds the slots of a pool, so that a malformed grant cannot exhaust the memory.
const maxSlots = 1 << 20

// Valid tells whether every range is in order and within bounds.
func (r Request) Valid() bool {
	for _, s := range r.Slots {
		if s.Last < s.First || s.Last >= maxSlots {
			return false
		}
	}
	return true
}

// Reply is the answer to POST /grant. Held and Until are what the server holds after the call.
type Reply struct {
	Incarnation uint64            `json:"incarnation"`
	Clock       int64             `json:"clock"`
	Term        uint64            `json:"term"`
	Epoch       uint64            `json:"epoch"`
	Accepted    bool              `json:"accepted"`
	Held        []trace.SlotRange `json:"held"`
	Until       int64             `json:"until"`
	Leaving     bool              `json:"leaving"`
}

// State is what a server holds and whom it obeys. Clock arguments return the time of trace.Now. It may be used by many
// goroutines.
type State struct {
	mu            sync.Mutex
	incarnation   uint64
	clockOffset   int64 // the server's own clock is trace.Now plus shift, so that no two servers agree
	term, epoch   uint64
	held          []trace.SlotRange
	until         int64
	highestTokens map[string][]uint64 // highest token of each slot by pool
}

// New returns a state that holds nothing.
func New(incarnation uint64, clockOffset int64) *State {
	return &State{incarnation: incarnation, clockOffset: clockOffset, highestTokens: map[string][]uint64{}}
}

// Apply carries out a valid request. Record is called with the event of an accepted grant before any request can be
// checked against that grant.
//
// The clock is read under the lock that Holds takes too, so that times in the journal have the order of the checks.
func (g *State) Apply(clock func() int64, req Request, record func(*trace.Event)) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock()
	accepted := req.Incarnation == g.incarnation && !g.superseded(req)
	if accepted {
		before := g.heldAt(now)
		g.term, g.epoch = req.Term, req.Epoch
		g.held, g.until = g.acceptTokens(req.Slots), req.Until-g.clockOffset
		record(&trace.Event{
			Kind: trace.KindGrant, Term: g.term, Epoch: g.epoch, From: now, Until: g.until, Slot: trace.NoSlot,
			Slots: g.held, Revoked: subtract(before, g.heldAt(now)),
		})
	}
	reply := Reply{
		Incarnation: g.incarnation, Clock: now + g.clockOffset, Term: g.term, Epoch: g.epoch, Accepted: accepted,
		Held: g.heldAt(now),
	}
	if len(reply.Held) > 0 {
		reply.Until = g.until + g.clockOffset
	}
	return reply
}

func (g *State) superseded(req Request) bool {
	return req.Term < g.term || req.Term == g.term && req.Epoch < g.epoch
}

func (g *State) heldAt(now int64) []trace.SlotRange {
	if now >= g.until {
		return nil
	}
	return g.held
}

// acceptTokens returns the slots whose token is not lower than one seen, and remembers the tokens.
func (g *State) acceptTokens(slots []trace.SlotRange) []trace.SlotRange {
	var out []trace.SlotRange
	for _, r := range slots {
		for int(r.Last) >= len(g.highestTokens[r.Pool]) {
			g.highestTokens[r.Pool] = append(g.highestTokens[r.Pool], make([]uint64, int(r.Last)+1-len(g.highestTokens[r.Pool]))...)
		}
		seen, open := g.highestTokens[r.Pool], false
		for slot := r.First; slot <= r.Last; slot++ {
			if r.Token < seen[slot] {
				open = false
				continue
			}
			seen[slot] = r.Token
			if !open {
				out, open = append(out, trace.SlotRange{Pool: r.Pool, First: slot, Token: r.Token}), true
			}
			out[len(out)-1].Last = slot
		}
	}
	return out
}

// RunIfHeld tells whether the slot is held with exactly this token, and calls commit under the same lock if so: no
// grant can be accepted between the check and the commit.
func (g *State) RunIfHeld(clock func() int64, pool string, slot int64, token uint64, action func(now int64)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock()
	for _, r := range g.heldAt(now) {
		if r.Pool == pool && int64(r.First) <= slot && slot <= int64(r.Last) && r.Token == token {
			action(now)
			return true
		}
	}
	return false
}

// subtract returns the parts of a that are in b with no token.
func subtract(a, b []trace.SlotRange) []trace.SlotRange {
	var out []trace.SlotRange
	for _, r := range a {
		rest := []trace.SlotRange{r}
		for _, s := range b {
			if s.Pool == r.Pool && s.Token == r.Token {
				rest = cutRange(rest, s.First, s.Last)
			}
		}
		out = append(out, rest...)
	}
	return out
}

func cutRange(in []trace.SlotRange, first, last uint32) []trace.SlotRange {
	var out []trace.SlotRange
	for _, r := range in {
		if last < r.First || first > r.Last {
			out = append(out, r)
			continue
		}
		if r.First < first {
			out = append(out, trace.SlotRange{Pool: r.Pool, First: r.First, Last: first - 1, Token: r.Token})
		}
		if r.Last > last {
			out = append(out, trace.SlotRange{Pool: r.Pool, First: last + 1, Last: r.Last, Token: r.Token})
		}
	}
	return out
}
