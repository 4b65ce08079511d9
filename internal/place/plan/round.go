package plan

import (
	"cmp"
	"slices"
	"strings"
)

// node is a usable server and its slots in this round.
type node struct {
	Server
	weight    float64  // weight of its slots
	slots     []uint32 // heaviest first once sorted
	nextSlot  int      // index in slots of the next one to consider in this round
	exhausted bool     // none of its slots is worth moving
}

func (n *node) load() float64 { return n.weight / n.Capacity }

// round is the working state of one decision.
type round struct {
	slots    []Slot
	weights  []float64
	nodes    []*node // by name, so that the order of the argument does not matter
	byName   map[string]*node
	meanLoad float64 // load per capacity if all were balanced
}

func newRound(servers []Server, slots []Slot) *round {
	r := &round{slots: slots, weights: slotWeights(slots), byName: make(map[string]*node)}
	for _, s := range servers {
		if s.Up && !s.Leaving && s.Name != "" && r.byName[s.Name] == nil {
			r.byName[s.Name] = &node{Server: s}
			r.nodes = append(r.nodes, r.byName[s.Name])
		}
	}
	slices.SortFunc(r.nodes, func(a, b *node) int { return strings.Compare(a.Name, b.Name) })
	r.computeMean()
	return r
}

// minCapacity is the least capacity of a server relative to the largest. It keeps loads finite when a server that is up
// has no capacity at the start of its ramp.
const minCapacity = 0.01

func (r *round) computeMean() {
	maxCapacity := 0.0
	for _, n := range r.nodes {
		maxCapacity = max(maxCapacity, n.Capacity)
	}
	if maxCapacity == 0 {
		maxCapacity = 1 / minCapacity
	}
	var total, capacity float64
	for _, n := range r.nodes {
		n.Capacity = max(n.Capacity, maxCapacity*minCapacity)
		capacity += n.Capacity
	}
	for _, w := range r.weights {
		total += w
	}
	r.meanLoad = total / capacity
}

// slotWeights returns the load of each slot plus the base weight; all are 1 if no load is known.
func slotWeights(slots []Slot) []float64 {
	out := make([]float64, len(slots))
	total := 0.0
	for i, s := range slots {
		out[i] = max(s.Load, 0)
		total += out[i]
	}
	base := baseWeight * total / float64(len(slots))
	if total == 0 {
		base = 1
	}
	for i := range out {
		out[i] += base
	}
	return out
}

func (r *round) place(slot uint32, n *node) {
	n.slots = append(n.slots, slot)
	n.weight += r.weights[slot]
}

// moveSlot moves the weight of the slot just picked. The slot stays in the source's list, before nextSlot.
func (r *round) moveSlot(slot uint32, from, to *node) {
	from.weight -= r.weights[slot]
	to.weight += r.weights[slot]
}

// leastLoadedWith returns the server whose load would be lowest with weight w added.
func (r *round) leastLoadedWith(w float64) *node {
	return slices.MinFunc(r.nodes, func(a, b *node) int {
		return cmp.Compare((a.weight+w)/a.Capacity, (b.weight+w)/b.Capacity)
	})
}

// mostLoaded returns the server with the highest load above bound that may still have a slot worth moving, or nil.
func (r *round) mostLoaded(bound float64) *node {
	var out *node
	for _, n := range r.nodes {
		if !n.exhausted && n.load() > bound && (out == nil || n.load() > out.load()) {
			out = n
		}
	}
	return out
}

func (r *round) lowestLoad() float64 {
	return slices.MinFunc(r.nodes, func(a, b *node) int { return cmp.Compare(a.load(), b.load()) }).load()
}

func (r *round) sortSlots() {
	for _, n := range r.nodes {
		slices.SortFunc(n.slots, func(a, b uint32) int {
			return cmp.Or(cmp.Compare(r.weights[b], r.weights[a]), cmp.Compare(a, b))
		})
	}
}
