// Package plan decides which backend server should own which slot of one pool in one data centre. It reads no clock
// and sends nothing; the controller carries out its moves.
package plan

import (
	"cmp"
	"slices"
	"time"
)

// Server is a backend server that may own slots.
type Server struct {
	Name     string
	Capacity float64 // relative: concurrency slots times ramp
	Up       bool
	Leaving  bool
}

// Slot is the current owner and load of a slot. Its number is its index in the argument of Decide.
type Slot struct {
	Owner string  // empty if nobody owns it
	Load  float64 // requests per second, 0 if unknown
}

// Move gives a slot to another server.
type Move struct {
	Slot uint32
	To   string
}

const (
	// startRatio is the ratio of a server's load to the mean above which balancing starts.
	startRatio = 1.2
	// stopRatio is lower, so that balancing that has started leaves a margin before it starts again.
	stopRatio = 1.1
	// idleRatio is the ratio to the mean load below which a server, such as one that has returned, gets slots of servers
	// above the mean although none of those reaches startRatio. It gets slots until it reaches filledRatio.
	idleRatio   = 0.5
	filledRatio = 0.8
	// roundDivisor limits the balancing moves of a round to one in roundDivisor of all slots.
	roundDivisor = 50
	// roundInterval is the least time between rounds that balance, so that the number of moves does not depend on how
	// often the controller calls Decide.
	roundInterval = 2 * time.Second
	// coolDown is how long a moved slot stays where it is unless its server is lost.
	coolDown = time.Minute
	// pendingTime is how long a move counts as done while its slot still has the old owner, since a planned move waits for
	// the requests in progress. Otherwise each round would repeat the moves of the previous one.
	pendingTime = 10 * time.Second
	// baseWeight is added to each slot's load, in units of the mean slot load, so that slots without load spread evenly.
	baseWeight = 0.1
	// minGain is the least part of the excess load that a round of moves must be able to remove. Moving all other slots
	// off a server with a single hot slot gains nothing.
	minGain = 0.01
	// swapMargin is the part of the excess load by which the target must stay below the source's load before the move.
	swapMargin = 0.25
)

// Planner decides about one pool in one data centre and remembers its recent moves. The zero value is ready for use.
// It is not safe for concurrent use.
type Planner struct {
	balancing   bool      // balancing started at startRatio and has not yet reached stopRatio
	filling     bool      // a server below idleRatio has not yet reached filledRatio
	lastRound   time.Time // time of the last round with a balancing move
	recentMoves map[uint32]recentMove
}

type recentMove struct {
	to string
	at time.Time
}

// Decide returns the moves of one round. Slots whose owner is gone, down or leaving come first and are always moved,
// again in each round until the slot shows its new owner. When no server is usable there are no moves.
func (p *Planner) Decide(now time.Time, servers []Server, slots []Slot) []Move {
	p.pruneRecent(now, len(slots))
	r := newRound(servers, slots)
	if len(r.nodes) == 0 {
		return nil
	}
	out := p.placeSlots(now, r)
	if !p.lastRound.IsZero() && now.Sub(p.lastRound) < roundInterval {
		return out
	}
	return p.balance(now, r, out)
}

func (p *Planner) pruneRecent(now time.Time, slots int) {
	for slot, m := range p.recentMoves {
		if now.Sub(m.at) >= coolDown || int(slot) >= slots {
			delete(p.recentMoves, slot)
		}
	}
}

func (p *Planner) addRecent(now time.Time, slot uint32, to string) {
	if p.recentMoves == nil {
		p.recentMoves = make(map[uint32]recentMove)
	}
	p.recentMoves[slot] = recentMove{to: to, at: now}
}

// placeSlots adds each slot to its usable owner or the target of its recent move, and moves the others.
func (p *Planner) placeSlots(now time.Time, r *round) []Move {
	var out []Move
	var unowned []uint32
	for i, s := range r.slots {
		slot := uint32(i)
		m, recent := p.recentMoves[slot]
		target, usable := r.byName[m.to]
		owner, owned := r.byName[s.Owner]
		switch {
		case recent && usable && (!owned || now.Sub(m.at) < pendingTime):
			// The move of an earlier round is still pending, or was carried out less than pendingTime after it.
			r.place(slot, target)
			if !owned {
				out = append(out, Move{Slot: slot, To: m.to})
			}
		case owned:
			r.place(slot, owner)
		default:
			unowned = append(unowned, slot)
		}
	}
	slices.SortStableFunc(unowned, func(a, b uint32) int { return cmp.Compare(r.weights[b], r.weights[a]) })
	for _, slot := range unowned {
		to := r.leastLoadedWith(r.weights[slot])
		r.place(slot, to)
		p.addRecent(now, slot, to.Name)
		out = append(out, Move{Slot: slot, To: to.Name})
	}
	return out
}

// balance moves slots off servers whose load exceeds the bound, the most loaded server and slot first.
func (p *Planner) balance(now time.Time, r *round, out []Move) []Move {
	bound := startRatio
	if p.balancing {
		bound = stopRatio
	}
	floor := idleRatio
	if p.filling {
		floor = filledRatio
	}
	if p.filling = r.lowestLoad() < floor*r.meanLoad; p.filling {
		bound = 1
	}
	bound *= r.meanLoad
	p.balancing = false
	if r.mostLoaded(bound) == nil {
		return out
	}
	r.sortSlots()
	budget := max(1, len(r.slots)/roundDivisor)
	for movesLeft := budget; movesLeft > 0; {
		src := r.mostLoaded(bound)
		if src == nil {
			break
		}
		slot, to := p.pickMove(r, src, budget)
		if to == nil {
			src.exhausted = true
			continue
		}
		r.moveSlot(slot, src, to)
		p.addRecent(now, slot, to.Name)
		out = append(out, Move{Slot: slot, To: to.Name})
		p.balancing, p.lastRound = true, now
		if !p.filling {
			bound = stopRatio * r.meanLoad
		}
		movesLeft--
	}
	return out
}

// pickMove returns the heaviest slot of src whose move reduces the imbalance, and its new server, nil if there is none.
func (p *Planner) pickMove(r *round, src *node, budget int) (uint32, *node) {
	excess := src.load() - r.meanLoad
	for src.nextSlot < len(src.slots) {
		slot := src.slots[src.nextSlot]
		src.nextSlot++
		w := r.weights[slot]
		if w/src.Capacity*float64(budget) < minGain*excess {
			break // the slots after it are no heavier
		}
		if _, recent := p.recentMoves[slot]; recent {
			continue
		}
		to := r.leastLoadedWith(w)
		if to != src && (to.weight+w)/to.Capacity <= src.load()-swapMargin*excess {
			return slot, to
		}
	}
	return 0, nil
}
