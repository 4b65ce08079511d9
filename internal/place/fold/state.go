package fold

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// State returns the state for a snapshot. Equal states yield equal messages.
func (p *Placement) State() *record.Place {
	s := &record.Place{Era: p.era}
	for _, dc := range p.DCs() {
		s.Cells = append(s.Cells, cellRecord(dc, p.cells[dc]))
	}
	for _, name := range slices.Sorted(maps.Keys(p.pools)) {
		s.Pools = append(s.Pools, &record.Pool{Name: name, Runs: slotRuns(p.pools[name]), Versions: p.poolVersions(name)})
	}
	return s
}

func cellRecord(dc string, c *Cell) *record.Cell {
	s := &record.Cell{
		Dc: dc, Term: c.Term, Holder: c.Holder, Successors: c.Successors, Witnesses: c.Witnesses, Ready: c.Ready,
	}
	for _, term := range slices.Sorted(maps.Keys(c.EarlierWitnesses)) {
		s.Earlier = append(s.Earlier, &record.Witnesses{Term: term, Ids: c.EarlierWitnesses[term]})
	}
	return s
}

// slotRuns joins neighbouring slots with equal assignments into runs.
func slotRuns(slots []Slot) []*record.Run {
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

func (p *Placement) poolVersions(pool string) []*record.Version {
	var out []*record.Version
	for sub, v := range p.poolDCs {
		if sub.pool == pool {
			out = append(out, &record.Version{Dc: sub.dc, Version: v.version, Yield: v.yieldAfter.Milliseconds()})
		}
	}
	slices.SortFunc(out, func(a, b *record.Version) int { return strings.Compare(a.GetDc(), b.GetDc()) })
	return out
}

const (
	// maxPoolSlots, of one pool, and maxTotalSlots, of all, bound the memory that a damaged record can request.
	maxPoolSlots  = 1 << 20
	maxTotalSlots = 1 << 23
	// maxYieldMillis keeps a yield time within time.Duration. One that overflows may be negative.
	maxYieldMillis = int64(365 * 24 * time.Hour / time.Millisecond)
)

// Restore replaces the state by s, the state after the record at asof. It reports false, and changes nothing, if later
// records were already applied or if s is nil, damaged or older than the present state.
func (p *Placement) Restore(asof uint64, s *record.Place) bool {
	next := Placement{cells: make(map[string]*Cell), pools: make(map[string][]Slot), poolDCs: make(map[poolDC]poolDCState)}
	next.offset, next.era = asof, s.GetEra()
	highest := next.Number(asof)
	if s == nil || !next.load(highest, s) || !next.follows(p) || !p.restoreCursor(asof, s.GetEra(), highest) {
		return false
	}
	p.cells, p.pools, p.poolDCs = next.cells, next.pools, next.poolDCs
	return true
}

// load fills p from s. It reports false if records up to the one numbered highest cannot have produced s.
func (p *Placement) load(highest uint64, s *record.Place) bool {
	for _, c := range s.GetCells() {
		if c.GetTerm() == 0 || c.GetTerm() > highest {
			return false
		}
		p.cells[c.GetDc()] = loadCell(c)
	}
	total := 0
	for _, pool := range s.GetPools() {
		slots, ok := expandRuns(pool.GetRuns(), highest, maxTotalSlots-total)
		if !ok {
			return false
		}
		total += len(slots)
		p.pools[pool.GetName()] = slots
		for _, v := range pool.GetVersions() {
			if v.GetVersion() > highest || v.GetYield() < 0 || v.GetYield() > maxYieldMillis {
				return false
			}
			p.poolDCs[poolDC{pool.GetName(), v.GetDc()}] = poolDCState{
				v.GetVersion(), time.Duration(v.GetYield()) * time.Millisecond,
			}
		}
	}
	return true
}

func loadCell(c *record.Cell) *Cell {
	cell := &Cell{
		Term: c.GetTerm(), Holder: c.GetHolder(), Successors: c.GetSuccessors(), Witnesses: c.GetWitnesses(), Ready: c.GetReady(),
	}
	for _, w := range c.GetEarlier() {
		if cell.EarlierWitnesses == nil {
			cell.EarlierWitnesses = make(map[uint64][]string)
		}
		cell.EarlierWitnesses[w.GetTerm()] = w.GetIds()
	}
	return cell
}

// follows reports whether p can be a later state than old: no term, version or token is lower, and each pool has the
// same number of slots.
func (p *Placement) follows(old *Placement) bool {
	for dc, c := range old.cells {
		if p.Cell(dc).Term < c.Term {
			return false
		}
	}
	for sub, v := range old.poolDCs {
		if p.poolDCs[sub].version < v.version {
			return false
		}
	}
	for name, slots := range old.pools {
		next := p.pools[name]
		if len(slots) > 0 && len(slots) != len(next) {
			return false
		}
		for i := range slots {
			if next[i].Token < slots[i].Token {
				return false
			}
		}
	}
	return true
}

// expandRuns returns the slots that runs describe. It reports false if these exceed limit, if the runs have gaps or
// overlap, or if a token is above that of the record numbered highest.
func expandRuns(runs []*record.Run, highest uint64, limit int) ([]Slot, bool) {
	if len(runs) == 0 {
		return nil, true
	}
	n := runs[len(runs)-1].GetLast()
	if n >= maxPoolSlots || int(n) >= limit {
		return nil, false
	}
	slots := make([]Slot, 0, n+1)
	for _, r := range runs {
		if int(r.GetFirst()) != len(slots) || r.GetLast() < r.GetFirst() || r.GetLast() > n || r.GetToken() > TokenFor(highest) {
			return nil, false
		}
		for range r.GetLast() - r.GetFirst() + 1 {
			slots = append(slots, Slot{DC: r.GetDc(), Owner: r.GetOwner(), Token: r.GetToken()})
		}
	}
	return slots, true
}
