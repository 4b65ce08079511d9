// Package fence implements the server side of fenced grants: which controller a backend server obeys and which slots it
// holds. Its functions take the clock as an argument.
package fence

import (
	"sync"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// Request is the body of POST /grant. Until is in nanoseconds of the server's own clock.
type Request struct {
	Incarnation uint64            `json:"incarnation"`
	Term        uint64            `json:"term"`
	Epoch       uint64            `json:"epoch"`
	Until       int64             `json:"until"`
	Slots       []trace.SlotRange `json:"slots"`
}

// maxSlots bounds the slots of a pool, so that a malformed grant cannot exhaust the memory.
const maxSlots = 1 << 20

// Valid tells whether the ranges are in order and below maxSlots.
func (r Request) Valid() bool {
	for _, s := range r.Slots {
		if s.Last < s.First || s.Last >= maxSlots {
			return false
		}
	}
	return true
}

// Reply is the answer to POST /grant. Held is what the server holds after the call, until Until.
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

// State is what a server holds and the term and epoch it last accepted. Clock arguments return the time of trace.Now. It
// may be used by many goroutines.
type State struct {
	mu            sync.Mutex
	incarnation   uint64
	clockOffset   int64 // server's own clock minus trace.Now; differs between servers
	term, epoch   uint64
	held          []trace.SlotRange
	until         int64               // when held lapses, by trace.Now
	highestTokens map[string][]uint64 // highest token of each slot by pool
}

// New returns a state that holds no slots.
func New(incarnation uint64, clockOffset int64) *State {
	return &State{incarnation: incarnation, clockOffset: clockOffset, highestTokens: map[string][]uint64{}}
}

// Apply executes a valid request. It calls record for an accepted grant before any request can be checked against it.
//
// The clock is read under the lock that RunIfHeld takes too, so that times in the journal have the order of the checks.
func (s *State) Apply(clock func() int64, req Request, record func(*trace.Event)) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock()
	accepted := req.Incarnation == s.incarnation && !s.superseded(req)
	if accepted {
		before := s.heldAt(now)
		s.term, s.epoch = req.Term, req.Epoch
		s.held, s.until = s.acceptTokens(req.Slots), req.Until-s.clockOffset
		record(&trace.Event{
			Kind: trace.KindGrant, Term: s.term, Epoch: s.epoch, From: now, Until: s.until, Slot: trace.NoSlot,
			Slots: s.held, Revoked: subtract(before, s.heldAt(now)),
		})
	}
	reply := Reply{
		Incarnation: s.incarnation, Clock: now + s.clockOffset, Term: s.term, Epoch: s.epoch, Accepted: accepted,
		Held: s.heldAt(now),
	}
	if len(reply.Held) > 0 {
		reply.Until = s.until + s.clockOffset
	}
	return reply
}

func (s *State) superseded(req Request) bool {
	return req.Term < s.term || req.Term == s.term && req.Epoch < s.epoch
}

func (s *State) heldAt(now int64) []trace.SlotRange {
	if now >= s.until {
		return nil
	}
	return s.held
}

// acceptTokens returns the slots whose token is not lower than their highest so far, and stores the tokens.
func (s *State) acceptTokens(slots []trace.SlotRange) []trace.SlotRange {
	var out []trace.SlotRange
	for _, r := range slots {
		for int(r.Last) >= len(s.highestTokens[r.Pool]) {
			s.highestTokens[r.Pool] = append(s.highestTokens[r.Pool], make([]uint64, int(r.Last)+1-len(s.highestTokens[r.Pool]))...)
		}
		tokens, open := s.highestTokens[r.Pool], false
		for slot := r.First; slot <= r.Last; slot++ {
			if r.Token < tokens[slot] {
				open = false
				continue
			}
			tokens[slot] = r.Token
			if !open {
				out, open = append(out, trace.SlotRange{Pool: r.Pool, First: slot, Token: r.Token}), true
			}
			out[len(out)-1].Last = slot
		}
	}
	return out
}

// RunIfHeld tells whether the slot is held with exactly this token, and calls action under the same lock if so: no
// grant can be accepted between the check and the action.
func (s *State) RunIfHeld(clock func() int64, pool string, slot int64, token uint64, action func(now int64)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock()
	for _, r := range s.heldAt(now) {
		if r.Pool == pool && int64(r.First) <= slot && slot <= int64(r.Last) && r.Token == token {
			action(now)
			return true
		}
	}
	return false
}

// subtract returns the parts of a that b does not hold with the same token.
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
