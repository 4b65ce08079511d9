package fold

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// State returns the state for a snapshot. Equal states yield equal messages.
func (p *Place) State() *record.Place {
	s := new(record.Place)
	for _, dc := range p.DCs() {
		s.Cells = append(s.Cells, cellState(dc, p.cells[dc]))
	}
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		s.Pools = append(s.Pools, &record.Pool{Name: name, Runs: runs(p.pools[name]), Versions: p.poolVersions(name)})
	}
	return s
}

func cellState(dc string, c *Cell) *record.Cell {
	s := &record.Cell{
		Dc: dc, Term: c.Term, Holder: c.Holder, Successors: c.Successors, Witnesses: c.Witnesses, Ready: c.Ready,
	}
	for _, term := range slices.Sorted(maps.Keys(c.Earlier)) {
		s.Earlier = append(s.Earlier, &record.Witnesses{Term: term, Ids: c.Earlier[term]})
	}
	return s
}

// runs joins neighbouring slots of equal assignment.
func runs(slots []Slot) []*record.Run {
	var out []*record.Run
	for i, s := range slots {
		if i > 0 && s == slots[i-1] {
			out[len(out)-1].Last = uint32(i)
			continue
		}
		out = append(out, &record.Run{
			First: uint32(i), Last: uint32(i), Dc: s.DC, Owner: s.Owner, Token: s.Token,
		})
	}
	return out
}

func (p *Place) poolVersions(pool string) []*record.Version {
	var out []*record.Version
	for sub, v := range p.subjects {
		if sub.pool == pool {
			out = append(out, &record.Version{Dc: sub.dc, Version: v.version, Yield: v.yield.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b *record.Version) int { return strings.Compare(a.GetDc(), b.GetDc()) })
	return out
}

// maxSlots bounds the memory that a damaged record can ask for.
const maxSlots = 1 << 20

// Adopt replaces the state by s, the fold of all records up to asof. It reports false, and changes nothing,
// when the fold has already passed asof or s is damaged.
func (p *Place) Adopt(asof uint64, s *record.Place) bool {
	next := Place{cells: make(map[string]*Cell), pools: make(map[string][]Slot), subjects: make(map[subject]standing)}
	for _, c := range s.GetCells() {
		cell := &Cell{
			Term: c.GetTerm(), Holder: c.GetHolder(), Successors: c.GetSuccessors(), Witnesses: c.GetWitnesses(), Ready: c.GetReady(),
		}
		for _, w := range c.GetEarlier() {
			if cell.Earlier == nil {
				cell.Earlier = make(map[uint64][]string)
			}
			cell.Earlier[w.GetTerm()] = w.GetIds()
		}
		next.cells[c.GetDc()] = cell
	}
	for _, pool := range s.GetPools() {
		slots, ok := expand(pool.GetRuns())
		if !ok {
			return false
		}
		next.pools[pool.GetName()] = slots
		for _, v := range pool.GetVersions() {
			next.subjects[subject{pool.GetName(), v.GetDc()}] = standing{
				v.GetVersion(), time.Duration(v.GetYield()) * time.Millisecond,
			}
		}
	}
	if !p.jump(asof) {
		return false
	}
	p.cells, p.pools, p.subjects = next.cells, next.pools, next.subjects
	return true
}

func expand(in []*record.Run) ([]Slot, bool) {
	var slots []Slot
	for _, r := range in {
		if int(r.GetFirst()) != len(slots) || r.GetLast() < r.GetFirst() || r.GetLast() >= maxSlots {
			return nil, false
		}
		for i := r.GetFirst(); i <= r.GetLast(); i++ {
			slots = append(slots, Slot{DC: r.GetDc(), Owner: r.GetOwner(), Token: r.GetToken()})
		}
	}
	return slots, true
}
