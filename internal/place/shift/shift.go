// Package shift decides which keys of a pool go to which server, from the load of each key and the capacity of
// each server. It handles uneven and changing loads, servers that join or leave, and servers of different speed. It is pure.
package shift

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// maxImbalance is the part of its target load by which a server may exceed it before keys move away: a move leaves its
	// keys unserved for a fraction of a second.
	maxImbalance = 0.25
	// lowUtilisation is the utilisation below which an uneven load delays no requests.
	lowUtilisation = 0.55
	// targetUtilisation is the utilisation up to which a server's queue hardly delays requests.
	targetUtilisation = 0.6
	// heavyKeyShare is the part of its server's capacity from which on a key counts as heavy: the other keys of an overloaded
	// server move away rather than the heavy one.
	heavyKeyShare = 0.4
	// minSpeedUp is the ratio of capacities from which on a heavy key moves to the faster server. Errors of estimates are smaller.
	minSpeedUp = 1.35
	// A round makes at most minMoveLimit moves, or movesPerServer for each server if that is more, so that the next round sees
	// their effect. With many servers a fixed number takes seconds to spread adjacent busy keys.
	minMoveLimit   = 6
	movesPerServer = 0.15
	// maxSpansPerServer is the number of spans of a server above which only whole spans move away from it.
	maxSpansPerServer = 10
	// minMoveShare is the load, as a part of a server's capacity, below which a move isn't worth its pause.
	minMoveShare = 0.08
)

// Server is a server of the pool. Capacity is the number of requests per second that it can run. If AcceptsKeys is false, it
// gets no keys and loses those it has.
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

// Loads is the number of requests per second of each key.
type Loads [spans.Last + 1]float32

// Sum returns the load of the keys from first to last.
func (l *Loads) Sum(first, last uint16) float64 {
	sum := 0.0
	for k := int(first); k <= int(last); k++ {
		sum += float64(l[k])
	}
	return sum
}

// planner tracks the load, spans and keys of the servers during a round.
type planner struct {
	loads     *Loads
	servers   []Server
	load      map[spans.Owner]float64
	spanCount map[spans.Owner]int
	keyCount  map[spans.Owner]int
	targets   map[spans.Owner]float64 // the load that each server should have
}

// Plan returns the moves of one round, made from the present loads. It first assigns keys whose owner is missing or accepts
// no keys. If there are none and rebalance is true, it evens out the load. Spans for which frozen reports true don't move.
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

// assignAll divides all keys among the servers in proportion to their capacities.
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

// assignSpan assigns the keys of s in parts, each to the least utilised server, and adds the moves to moves.
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

// lastKeyWithin returns the last key, at most last, of the longest range from first with at most the given load and at least
// one key.
func (pl *planner) lastKeyWithin(first, last int, load float64) int {
	sum := 0.0
	for k := first; k <= last; k++ {
		if sum += float64(pl.loads[k]); sum > load && k > first {
			return k - 1
		}
	}
	return last
}

// target returns the load that a server should have. Below targetUtilisation, faster servers get more than in proportion to
// their capacity, since a request takes less time there; towards saturation all have the same utilisation.
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

// spareLoad returns how much more load a server can take, at least minMoveShare of its capacity.
func (pl *planner) spareLoad(s *Server) float64 {
	return max(pl.target(s)-pl.load[s.Owner], minMoveShare*s.Capacity)
}

// leastUtilised returns the server with the lowest utilisation and, among several, the fewest keys, nil if none accepts
// keys.
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

// countingNoise returns the standard deviation of a load that was counted over averagingWindow, in requests per second.
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
		stays, hasHeavy := pl.heaviestKeyOf(s, m)
		for _, span := range m {
			if span.Owner != s.Owner || frozen(span) || moved[span] || !pl.isOverloaded(s) || len(moves) >= maxMoves {
				continue
			}
			if mv, ok := pl.moveHeavyKey(s, span); ok {
				moved[span] = true
				moves = append(moves, mv)
				continue
			}
			parts := []spans.Span{span}
			if hasHeavy && span.First <= stays && stays <= span.Last {
				parts = withoutKey(span, stays)
			}
			for _, part := range parts {
				for more := true; more && pl.isOverloaded(s) && len(moves) < maxMoves; {
					mv, ok := pl.moveLoad(s, part)
					if !ok {
						break
					}
					moved[span] = true
					moves = append(moves, mv)
					part, more = remainder(part, mv)
				}
			}
		}
	}
	return moves
}

// remainder returns what a move from one of its ends leaves of span, and whether that is anything.
func remainder(span spans.Span, mv Move) (rest spans.Span, ok bool) {
	rest = span
	switch {
	case mv.First == span.First && mv.Last == span.Last:
		return rest, false
	case mv.First == span.First:
		rest.First = mv.Last + 1
	default:
		rest.Last = mv.First - 1
	}
	return rest, true
}

// heaviestKey returns the key of span with the highest load and reports whether it is heavy for s.
func (pl *planner) heaviestKey(s *Server, span spans.Span) (key uint16, isHeavy bool) {
	top := int(span.First)
	for k := int(span.First); k <= int(span.Last); k++ {
		if pl.loads[k] > pl.loads[top] {
			top = k
		}
	}
	return uint16(top), float64(pl.loads[top]) >= heavyKeyShare*s.Capacity
}

// heaviestKeyOf returns the heaviest key of all spans of s and reports whether it is heavy. It stays while others move away.
func (pl *planner) heaviestKeyOf(s *Server, m spans.Map) (key uint16, isHeavy bool) {
	for _, span := range m {
		if span.Owner != s.Owner {
			continue
		}
		if k, heavy := pl.heaviestKey(s, span); heavy && (!isHeavy || pl.loads[k] > pl.loads[key]) {
			key, isHeavy = k, true
		}
	}
	return key, isHeavy
}

// withoutKey returns the parts of span on either side of a key.
func withoutKey(span spans.Span, key uint16) (parts []spans.Span) {
	if key > span.First {
		left := span
		left.Last = key - 1
		parts = append(parts, left)
	}
	if key < span.Last {
		right := span
		right.First = key + 1
		parts = append(parts, right)
	}
	return parts
}

// moveHeavyKey moves the heavy key of span, if there is one, to the clearly faster server that would then be least utilised.
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

// isOverloaded reports whether the load of a server is clearly above its target, and high enough to delay requests or
// more than twice the target.
func (pl *planner) isOverloaded(s *Server) bool {
	l := pl.load[s.Owner]
	target := pl.target(s)
	return l > (1+maxImbalance)*target+countingNoise(l) && (l > lowUtilisation*s.Capacity || l > 2*target+minMoveShare*s.Capacity)
}

// moveLoad moves keys from one end of span to the least utilised server.
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

// endWithLoad returns a range at one end of span with a load of about want. It chooses the end that needs
// fewer keys, so that few change owner.
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
