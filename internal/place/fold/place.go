package fold

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// tokenShift leaves bits below the log offset for the epoch and sequence number of moves made without the log.
const tokenShift = 16

// TokenFor returns the fencing token of the assignment whose record has a number, the record's offset unless the log was
// restored. Moves of the slot without an append use its low bits: 4 for the epoch, 12 for a sequence number.
func TokenFor(number uint64) uint64 { return number << tokenShift }

// Slot is the assignment of one slot. The zero value is a slot that was never assigned.
type Slot struct {
	DC    string // home data centre, "" if the slot is free
	Owner string
	Token uint64
}

// Cell is the control state of one data centre.
type Cell struct {
	Term             uint64 // number of the Term record, 0 if none
	Holder           string
	Successors       []string
	Witnesses        []string
	Ready            bool                // a Ready record of this term was applied
	EarlierWitnesses map[uint64][]string // by term: witnesses of earlier terms not proven superseded
}

// Placement is the state of the place stream: who controls each data centre and who owns each slot.
// The zero value is the state before the first record. It is not safe for concurrent use.
type Placement struct {
	cursor
	cells   map[string]*Cell
	pools   map[string][]Slot
	poolDCs map[poolDC]poolDCState
}

// poolDC identifies the slots of a pool that are homed in a data centre. They share one version for compare-and-set.
type poolDC struct {
	pool, dc string
}

type poolDCState struct {
	version    uint64
	yieldAfter time.Duration // 0: the slots can be seized only if the data centre is lost
}

// Cell returns the control state of a data centre. The result must not be changed.
func (p *Placement) Cell(dc string) Cell {
	if c := p.cells[dc]; c != nil {
		return *c
	}
	return Cell{}
}

// DCs returns the data centres that have a term, sorted.
func (p *Placement) DCs() []string { return slices.Sorted(maps.Keys(p.cells)) }

// Slots returns the assignment of all slots of a pool, nil before its first Assign. The result must not be changed.
func (p *Placement) Slots(pool string) []Slot { return p.pools[pool] }

// Version returns the version that the next Assign, Release or Seize of the pool's slots in dc must name as its base.
func (p *Placement) Version(pool, dc string) uint64 { return p.poolDCs[poolDC{pool, dc}].version }

// YieldAfter returns how long dc may serve the pool's slots without contact with the log, as declared in its last
// Assign. 0 means without limit: another data centre may then seize the slots only if dc is declared lost.
func (p *Placement) YieldAfter(pool, dc string) time.Duration {
	return p.poolDCs[poolDC{pool, dc}].yieldAfter
}

// Apply applies the record at offset, unless it or a later one was applied before.
func (p *Placement) Apply(offset uint64, rec *record.Record) Outcome {
	if !p.advance(offset) {
		return Seen
	}
	switch kind := rec.GetKind().(type) {
	case *record.Record_Term:
		return p.applyTerm(p.Number(offset), kind.Term)
	case *record.Record_Ready:
		return p.applyReady(kind.Ready)
	case *record.Record_Assign:
		return p.applyAssign(p.Number(offset), kind.Assign)
	case *record.Record_Release:
		return p.applyRelease(p.Number(offset), kind.Release)
	case *record.Record_Seize:
		return p.applySeize(p.Number(offset), kind.Seize)
	case *record.Record_Era:
		return p.beginEra(kind.Era)
	default:
		return Ignored
	}
}

func (p *Placement) applyTerm(number uint64, t *record.Term) Outcome {
	if t.GetDc() == "" || t.GetHolder() == "" || len(t.GetWitnesses()) == 0 {
		return Invalid
	}
	old := p.Cell(t.GetDc())
	if t.GetBase() != old.Term {
		return Stale
	}
	earlier := maps.Clone(old.EarlierWitnesses)
	if old.Term != 0 {
		if earlier == nil {
			earlier = make(map[uint64][]string)
		}
		earlier[old.Term] = old.Witnesses
	}
	if p.cells == nil {
		p.cells = make(map[string]*Cell)
	}
	p.cells[t.GetDc()] = &Cell{
		Term: number, Holder: t.GetHolder(), Successors: t.GetSuccessors(), Witnesses: t.GetWitnesses(), EarlierWitnesses: earlier,
	}
	return Applied
}

func (p *Placement) applyReady(r *record.Ready) Outcome {
	old := p.cells[r.GetDc()]
	if old == nil || old.Term != r.GetTerm() {
		return Stale
	}
	c := *old
	c.Ready, c.EarlierWitnesses = true, nil
	p.cells[r.GetDc()] = &c
	return Applied
}

// checkCurrent checks that the cell is ready and term and base are current. It returns Applied if so.
func (p *Placement) checkCurrent(dc, pool string, term, base uint64) Outcome {
	c := p.cells[dc]
	if c == nil || c.Term != term || p.Version(pool, dc) != base {
		return Stale
	}
	if !c.Ready {
		return Invalid
	}
	return Applied
}

func (p *Placement) applyAssign(number uint64, a *record.Assign) Outcome {
	if out := p.checkCurrent(a.GetDc(), a.GetPool(), a.GetTerm(), a.GetBase()); out != Applied {
		return out
	}
	if a.GetSlots() == 0 || a.GetSlots() > maxPoolSlots || a.GetYield() < 0 || a.GetYield() > maxYieldMillis {
		return Invalid
	}
	slots := slices.Clone(p.pools[a.GetPool()])
	if slots == nil {
		if p.totalSlots()+int(a.GetSlots()) > maxTotalSlots {
			return Invalid
		}
		slots = make([]Slot, a.GetSlots())
	}
	if len(slots) != int(a.GetSlots()) {
		return Invalid
	}
	for _, ch := range a.GetChanges() {
		if !applyChange(slots, ch, a.GetDc(), number) {
			return Invalid
		}
	}
	p.setSlots(a.GetPool(), slots)
	p.setPoolDC(a.GetPool(), a.GetDc(), poolDCState{number, time.Duration(a.GetYield()) * time.Millisecond})
	return Applied
}

func (p *Placement) totalSlots() int {
	n := 0
	for _, slots := range p.pools {
		n += len(slots)
	}
	return n
}

// applyChange applies ch to slots. It reports false if ch has no owner, exceeds the slots, affects one with another home,
// would not raise a token, or names a token that later records of the slot could not exceed.
func applyChange(slots []Slot, ch *record.Change, dc string, number uint64) bool {
	if ch.GetOwner() == "" || ch.GetFirst() > ch.GetLast() || int(ch.GetLast()) >= len(slots) || ch.GetToken() >= TokenFor(number) {
		return false
	}
	next := Slot{DC: dc, Owner: ch.GetOwner(), Token: changeToken(ch, number)}
	for i := ch.GetFirst(); i <= ch.GetLast(); i++ {
		if home := slots[i].DC; (home != "" && home != dc) || slots[i].Token >= next.Token {
			return false
		}
		slots[i] = next
	}
	return true
}

func changeToken(ch *record.Change, number uint64) uint64 {
	if ch.GetToken() != 0 {
		return ch.GetToken()
	}
	return TokenFor(number)
}

func (p *Placement) applyRelease(number uint64, r *record.Release) Outcome {
	if out := p.checkCurrent(r.GetDc(), r.GetPool(), r.GetTerm(), r.GetBase()); out != Applied {
		return out
	}
	slots := slices.Clone(p.pools[r.GetPool()])
	for _, i := range r.GetSlots() {
		if int(i) >= len(slots) || slots[i].DC != r.GetDc() {
			return Invalid
		}
		slots[i] = Slot{Token: slots[i].Token}
	}
	p.setSlots(r.GetPool(), slots)
	p.setPoolDC(r.GetPool(), r.GetDc(), poolDCState{number, p.YieldAfter(r.GetPool(), r.GetDc())})
	return Applied
}

func (p *Placement) applySeize(number uint64, s *record.Seize) Outcome {
	fromState := p.poolDCs[poolDC{s.GetPool(), s.GetFrom()}]
	c := p.cells[s.GetDc()]
	if c == nil || c.Term != s.GetTerm() || fromState.version != s.GetBase() {
		return Stale
	}
	if !c.Ready || s.GetDc() == s.GetFrom() || (fromState.yieldAfter == 0 && !s.GetLost()) {
		return Invalid
	}
	slots := slices.Clone(p.pools[s.GetPool()])
	for i := range slots {
		if slots[i].DC == s.GetFrom() {
			// There is no owner yet: the new home must wait before it assigns one.
			slots[i] = Slot{DC: s.GetDc(), Token: TokenFor(number)}
		}
	}
	p.setSlots(s.GetPool(), slots)
	p.setPoolDC(s.GetPool(), s.GetDc(), poolDCState{number, p.YieldAfter(s.GetPool(), s.GetDc())})
	p.setPoolDC(s.GetPool(), s.GetFrom(), poolDCState{number, fromState.yieldAfter})
	return Applied
}

// setSlots replaces the pool's slots by a new slice, so that earlier results of Slots never change.
func (p *Placement) setSlots(pool string, slots []Slot) {
	if p.pools == nil {
		p.pools = make(map[string][]Slot)
	}
	p.pools[pool] = slots
}

func (p *Placement) setPoolDC(pool, dc string, s poolDCState) {
	if p.poolDCs == nil {
		p.poolDCs = make(map[poolDC]poolDCState)
	}
	p.poolDCs[poolDC{pool, dc}] = s
}
