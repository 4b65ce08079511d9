// Package homes decides in which data centre each slot belongs and which servers take slots without a live owner.
// It reads no clock, and instances with the same tables compute the same homes.
package homes

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
)

// Weight is the number of servers that a data centre has in a pool.
type Weight struct {
	DC      string
	Servers int
}

// Weights returns the weights of a pool's data centres, sorted by name, except those in lost and those whose servers are
// all leaving.
func Weights(p *tables.Pool, lost []string) []Weight {
	count := make(map[string]int)
	staying := make(map[string]bool)
	for i := range p.Servers {
		s := &p.Servers[i]
		count[s.DC]++
		if !s.Leaving {
			staying[s.DC] = true
		}
	}
	var out []Weight
	for dc, n := range count {
		if staying[dc] && !slices.Contains(lost, dc) {
			out = append(out, Weight{DC: dc, Servers: n})
		}
	}
	slices.SortFunc(out, func(a, b Weight) int { return strings.Compare(a.DC, b.DC) })
	return out
}

// Home returns the data centre in which a slot belongs, by weighted rendezvous hashing: a change of one weight moves
// only slots from or to its data centre. It is empty without weights.
func Home(pool string, slot uint32, weights []Weight) string {
	best, home := math.Inf(-1), ""
	for _, w := range weights {
		if score := -float64(w.Servers) / math.Log(unitHash(pool, slot, w.DC)); score > best {
			best, home = score, w.DC
		}
	}
	return home
}

// unitHash returns a hash of its arguments between 0 and 1, both exclusive.
func unitHash(pool string, slot uint32, dc string) float64 {
	var b [4]byte
	for i := range b {
		b[i] = byte(slot >> (8 * i))
	}
	h := xxhash.New()
	_, _ = h.WriteString(pool)
	_, _ = h.Write(b[:])
	_, _ = h.WriteString(dc)
	return (float64(h.Sum64()>>11) + 0.5) / (1 << 53)
}

// Rank returns names in the order of rendezvous hashing for a task.
func Rank(task string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		ha, hb := xxhash.Sum64String(task+"\x00"+a), xxhash.Sum64String(task+"\x00"+b)
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return out
}

// IsLeaving reports whether l lists an instance as leaving and whether it lists it at all.
func IsLeaving(l *roster.List, dc, name string) (leaving, listed bool) {
	for _, inst := range l.Instances {
		if inst.DC == dc && inst.Name == name {
			return inst.Leaving, true
		}
	}
	return false, false
}

// Candidates returns the names of the instances in l that may claim the control role of a data centre, in order: first the
// successors of the current term, then the others by rendezvous hashing. The current holder, if any, is omitted.
func Candidates(dc string, l *roster.List, hasHolder bool, holder string, successors []string) []string {
	var out, eligible []string
	for _, inst := range l.Instances {
		if inst.DC == dc && !inst.Leaving && (!hasHolder || inst.Name != holder) {
			eligible = append(eligible, inst.Name)
		}
	}
	for _, id := range successors {
		if n, _, _ := strings.Cut(id, "/"); slices.Contains(eligible, n) && !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	for _, n := range Rank(dc, eligible) {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// Server is a candidate owner of slots. Capacity is relative to that of other servers.
type Server struct {
	Name     string
	Capacity float64
	Up       bool
	Leaving  bool
}

// Slot is the owner and load of a slot.
type Slot struct {
	Owner string
	Load  float64 // requests per second
}

// Move assigns the slot with the index Slot to a server.
type Move struct {
	Slot uint32
	To   string
}

// AssignUnowned assigns every slot whose owner is not up to a server that is up and not leaving, so that the number of
// slots per unit of capacity is as even as possible without other moves.
func AssignUnowned(servers []Server, slots []Slot) []Move {
	slotCount := make(map[string]int)
	up := make(map[string]bool)
	for _, s := range servers {
		up[s.Name] = s.Up
	}
	for _, s := range slots {
		slotCount[s.Owner]++
	}
	var unowned []uint32
	quota := make(map[string]int)
	for i, s := range slots {
		if s.Owner != "" && up[s.Owner] {
			continue
		}
		if to := leastFilled(servers, slotCount); to != "" {
			slotCount[to]++
			quota[to]++
			unowned = append(unowned, uint32(i))
		}
	}
	// Neighbouring slots go to one server, since grants and lanes name ranges.
	var out []Move
	for _, s := range servers {
		n := quota[s.Name]
		for _, i := range unowned[:n] {
			out = append(out, Move{Slot: i, To: s.Name})
		}
		unowned = unowned[n:]
	}
	return out
}

func leastFilled(servers []Server, slotCount map[string]int) string {
	best, name := math.Inf(1), ""
	for _, s := range servers {
		if !s.Up || s.Leaving {
			continue
		}
		if fill := float64(slotCount[s.Name]+1) / max(s.Capacity, 1); fill < best {
			best, name = fill, s.Name
		}
	}
	return name
}
