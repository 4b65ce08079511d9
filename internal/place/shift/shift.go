// Package shift decides which keys of a pool go to which server, from the load of each key and what each server can
// take. It handles uneven and moving hot keys, servers that join or leave, and servers of different speed. It is pure.
package shift

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// maxImbalance is how far above an even part of the load a server may be before keys move away from it: moves are
	// priced and leave their keys unserved for a fraction of a second.
	maxImbalance = 0.25
	// lowUtilisation is the utilisation below which an uneven load delays nobody.
	lowUtilisation = 0.55
	// targetUtilisation is the utilisation up to which a server's queue hardly delays requests.
	targetUtilisation = 0.6
	// heavyKeyShare is the part of its server's capacity from which on a single key is handled by itself: the other keys leave
	// the server rather than the heavy one.
	heavyKeyShare = 0.4
	// minSpeedUp is how much more capacity a server needs to take a heavy key over. Estimates of capacity differ by less.
	minSpeedUp = 1.35
	// minMoveLimit and movesPerServer bound the moves of one round, so that the next one sees their effect: a number, and a part of the
	// servers. With many servers a fixed number takes seconds to spread busy keys that lie close together.
	minMoveLimit   = 6
	movesPerServer = 0.15
	// maxSpansPerServer is the number of spans a server above which only whole spans move.
	maxSpansPerServer = 10
	// minMoveShare is the part of a server's capacity below which a move isn't worth its pause.
	minMoveShare = 0.08
)

// Server is a candidate. Capacity is the number of requests a second that it can run; AcceptsKeys is false for
// one that gets no new keys and has to lose those it has.
type Server struct {
	spans.Owner
	Capacity    float64
	AcceptsKeys bool
}

// Move gives the keys from First to Last to another owner.
type Move struct {
	First, Last uint16
	To          spans.Owner
}

// Loads is the number of requests a second of each key.
type Loads [spans.Last + 1]float32

// Sum returns the load of the keys from first to last.
func (l *Loads) Sum(first, last uint16) float64 {
	sum := 0.0
	for k := int(first); k <= int(last); k++ {
		sum += float64(l[k])
	}
	return sum
}

// planner keeps load and spans of the servers during a round.
type planner struct {
	loads     *Loads
	servers   []Server
	load      map[spans.Owner]float64
	spanCount map[spans.Owner]int
	keyCount  map[spans.Owner]int
	targets   map[spans.Owner]float64 // the load that each server should have
}

// Plan returns the moves of one round. Keys without an owner that accepts keys are assigned first; spans for which
// frozen reports true are left alone. A round begins with the loads as they are now.
//
// If level is false, only those keys are assigned.
func Plan(m spans.Map, servers []Server, loads *Loads, rebalance bool, frozen func(spans.Span) bool) []Move {
	pl := &planner{
		loads: loads, servers: servers, load: make(map[spans.Owner]float64), spanCount: make(map[spans.Owner]int),
		keyCount: make(map[spans.Owner]int),
	}
	acceptsKeys := make(map[spans.Owner]bool)
	for _, s := range servers {
		acceptsKeys[s.Owner] = s.AcceptsKeys
	}
	if len(m) == 0 {
		return pl.assignAll()
	}
	for _, s := range m {
		pl.addKeys(s.Owner, s.First, s.Last)
	}
	var moves []Move
	for _, s := range append(m.Gaps(), m...) {
		if !acceptsKeys[s.Owner] && !frozen(s) {
			moves = pl.assignSpan(moves, s)
		}
	}
	if len(moves) > 0 || !rebalance {
		return moves
	}
	return pl.balance(m, frozen)
}

func (pl *planner) addKeys(o spans.Owner, first, last uint16) {
	pl.load[o] += pl.loads.Sum(first, last)
	pl.spanCount[o]++
	pl.keyCount[o] += int(last) - int(first) + 1
}

// assignAll splits all keys evenly by capacity.
func (pl *planner) assignAll() []Move {
	var total float64
	for _, s := range pl.servers {
		if s.AcceptsKeys {
			total += s.Capacity
		}
	}
	var moves []Move
	next, sum := 0, 0.0
	for _, s := range pl.servers {
		if !s.AcceptsKeys || total == 0 {
			continue
		}
		sum += s.Capacity
		end := int(math.Round(sum / total * (spans.Last + 1)))
		if end > next {
			moves = append(moves, Move{uint16(next), uint16(end - 1), s.Owner})
		}
		next = max(next, end)
	}
	return moves
}

// assignSpan assigns the keys of s, which have no owner that may keep them, in parts to the servers with the most room.
func (pl *planner) assignSpan(moves []Move, s spans.Span) []Move {
	first := int(s.First)
	for first <= int(s.Last) {
		to := pl.leastUtilised()
		if to == nil {
			return moves
		}
		last := pl.lastKeyWithin(first, int(s.Last), pl.spareLoad(to))
		pl.addKeys(to.Owner, uint16(first), uint16(last))
		moves = append(moves, Move{uint16(first), uint16(last), to.Owner})
		first = last + 1
	}
	return moves
}

// lastKeyWithin returns the last key of a run that starts at first and has at most the given load, and at least one key.
func (pl *planner) lastKeyWithin(first, last int, load float64) int {
	sum := 0.0
	for k := first; k <= last; k++ {
		if sum += float64(pl.loads[k]); sum > load && k > first {
			return k - 1
		}
	}
	return last
}

// target returns the load that a server should have. Below targetUtilisation the faster servers get more than their part, since the
// same work takes less time there; towards saturation all have the same utilisation.
func (pl *planner) target(s *Server) float64 {
	if pl.targets == nil {
		pl.targets = pl.computeTargets()
	}
	return pl.targets[s.Owner]
}

// computeTargets divides the load in proportion to the squares of the capacities, up to targetUtilisation of each server,
// and the rest in proportion to the capacities.
func (pl *planner) computeTargets() map[spans.Owner]float64 {
	targets := make(map[spans.Owner]float64)
	var remaining, capacity float64
	for _, l := range pl.load {
		remaining += l
	}
	for _, s := range pl.servers {
		if s.AcceptsKeys {
			capacity += s.Capacity
		}
	}
	for remaining > capacity*minMoveShare/100 && capacity > 0 {
		var squares, assigned float64
		for _, s := range pl.servers {
			if s.AcceptsKeys && targets[s.Owner] < targetUtilisation*s.Capacity {
				squares += s.Capacity * s.Capacity
			}
		}
		if squares == 0 {
			break
		}
		for _, s := range pl.servers {
			if s.AcceptsKeys && targets[s.Owner] < targetUtilisation*s.Capacity {
				share := min(remaining*s.Capacity*s.Capacity/squares, targetUtilisation*s.Capacity-targets[s.Owner])
				targets[s.Owner] += share
				assigned += share
			}
		}
		remaining -= assigned
	}
	for _, s := range pl.servers {
		if s.AcceptsKeys && capacity > 0 {
			targets[s.Owner] += max(0, remaining) * s.Capacity / capacity
		}
	}
	return targets
}

// spareLoad returns how much load a server can take beyond what it has.
func (pl *planner) spareLoad(s *Server) float64 {
	return max(pl.target(s)-pl.load[s.Owner], minMoveShare*s.Capacity)
}

// leastUtilised returns the server with the lowest utilisation; among those without load, the one with the fewest keys.
func (pl *planner) leastUtilised() *Server {
	var best *Server
	for i := range pl.servers {
		s := &pl.servers[i]
		if s.AcceptsKeys && s.Capacity > 0 && (best == nil || pl.lessUtilised(s, best)) {
			best = s
		}
	}
	return best
}

func (pl *planner) lessUtilised(s, o *Server) bool {
	if c := cmp.Compare(pl.load[s.Owner]/s.Capacity, pl.load[o.Owner]/o.Capacity); c != 0 {
		return c < 0
	}
	return pl.keyCount[s.Owner] < pl.keyCount[o.Owner]
}

// countingNoise is the standard deviation of a load that was counted over averagingWindow, in requests a second.
func countingNoise(load float64) float64 { return math.Sqrt(load / averagingWindow.Seconds()) }

// averagingWindow is about how long the loads are averaged over.
const averagingWindow = 1500 * time.Millisecond

// balance moves load from servers above their target to those below.
func (pl *planner) balance(m spans.Map, frozen func(spans.Span) bool) []Move {
	byUtilisation := slices.Clone(pl.servers)
	slices.SortFunc(byUtilisation, func(x, y Server) int {
		return cmp.Compare(pl.load[y.Owner]/max(y.Capacity, 1e-9), pl.load[x.Owner]/max(x.Capacity, 1e-9))
	})
	var moves []Move
	maxMoves := max(minMoveLimit, int(movesPerServer*float64(len(pl.servers))))
	moved := make(map[spans.Span]bool)
	for i := range byUtilisation {
		s := &byUtilisation[i]
		if len(moves) >= maxMoves {
			break
		}
		if !s.AcceptsKeys || !pl.isOverloaded(s) {
			continue
		}
		for _, span := range m {
			if span.Owner != s.Owner || frozen(span) || moved[span] || !pl.isOverloaded(s) || len(moves) >= maxMoves {
				continue
			}
			if mv, ok := pl.moveHeavyKey(s, span); ok {
				moved[span] = true
				moves = append(moves, mv)
				continue
			}
			for _, part := range pl.withoutHeavyKey(s, span) {
				if mv, ok := pl.moveLoad(s, part); ok {
					moved[span] = true
					moves = append(moves, mv)
				}
			}
		}
	}
	return moves
}

// heaviestKey returns the key of p with the highest load, and whether it is heavy for s.
func (pl *planner) heaviestKey(s *Server, span spans.Span) (key uint16, isHeavy bool) {
	top := int(span.First)
	for k := int(span.First); k <= int(span.Last); k++ {
		if pl.loads[k] > pl.loads[top] {
			top = k
		}
	}
	return uint16(top), float64(pl.loads[top]) >= heavyKeyShare*s.Capacity
}

// withoutHeavyKey returns the parts of p on either side of its heaviest key if that key is heavy, and p otherwise.
func (pl *planner) withoutHeavyKey(s *Server, span spans.Span) (parts []spans.Span) {
	top, isHeavy := pl.heaviestKey(s, span)
	if !isHeavy {
		return []spans.Span{span}
	}
	if top > span.First {
		left := span
		left.Last = top - 1
		parts = append(parts, left)
	}
	if top < span.Last {
		right := span
		right.First = top + 1
		parts = append(parts, right)
	}
	return parts
}

// moveHeavyKey gives the heavy key of p to the server that it would load least, if that one is clearly faster.
func (pl *planner) moveHeavyKey(s *Server, span spans.Span) (Move, bool) {
	key, isHeavy := pl.heaviestKey(s, span)
	if !isHeavy {
		return Move{}, false
	}
	load := float64(pl.loads[key])
	var best *Server
	for i := range pl.servers {
		to := &pl.servers[i]
		if !to.AcceptsKeys || to.Owner == s.Owner || to.Capacity < minSpeedUp*s.Capacity {
			continue
		}
		if best == nil || (pl.load[to.Owner]+load)/to.Capacity < (pl.load[best.Owner]+load)/best.Capacity {
			best = to
		}
	}
	if best == nil || (pl.load[best.Owner]+load)/best.Capacity > pl.load[s.Owner]/s.Capacity {
		return Move{}, false
	}
	pl.load[s.Owner] -= load
	pl.addKeys(best.Owner, key, key)
	return Move{key, key, best.Owner}, true
}

// isOverloaded reports whether a server has clearly more than an even part, and enough for that to delay requests.
func (pl *planner) isOverloaded(s *Server) bool {
	l := pl.load[s.Owner]
	target := pl.target(s)
	return l > (1+maxImbalance)*target+countingNoise(l) && (l > lowUtilisation*s.Capacity || l > 2*target+minMoveShare*s.Capacity)
}

// moveLoad takes keys from one end of p and gives them to the least utilised server.
func (pl *planner) moveLoad(s *Server, span spans.Span) (Move, bool) {
	to := pl.leastUtilised()
	if to == nil || to.Owner == s.Owner {
		return Move{}, false
	}
	want := min(pl.load[s.Owner]-pl.target(s), pl.spareLoad(to))
	if want < minMoveShare*s.Capacity {
		return Move{}, false
	}
	first, last := pl.endWithLoad(span, want)
	moved := pl.loads.Sum(first, last)
	// A move has to leave the higher of the two utilisations lower than it was.
	if moved < want/4 || (pl.load[to.Owner]+moved)/to.Capacity > pl.load[s.Owner]/s.Capacity {
		return Move{}, false
	}
	if pl.spanCount[s.Owner] >= maxSpansPerServer && (first != span.First || last != span.Last) {
		first, last = span.First, span.Last
		if moved = pl.loads.Sum(first, last); (pl.load[to.Owner]+moved)/to.Capacity > pl.load[s.Owner]/s.Capacity {
			return Move{}, false
		}
	}
	pl.load[s.Owner] -= moved
	pl.addKeys(to.Owner, first, last)
	return Move{first, last, to.Owner}, true
}

// endWithLoad returns a run of keys at one end of p with a load of about want: at the end where it needs fewer keys, so that
// as few keys as possible change hands.
func (pl *planner) endWithLoad(span spans.Span, want float64) (first, last uint16) {
	sum, lo := 0.0, int(span.First)
	for ; lo < int(span.Last); lo++ {
		if sum += float64(pl.loads[lo]); sum >= want {
			break
		}
	}
	sum = 0
	hi := int(span.Last)
	for ; hi > int(span.First); hi-- {
		if sum += float64(pl.loads[hi]); sum >= want {
			break
		}
	}
	if lo-int(span.First) <= int(span.Last)-hi {
		return span.First, uint16(lo)
	}
	return uint16(hi), span.Last
}
