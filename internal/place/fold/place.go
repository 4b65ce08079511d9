package fold

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// tokenShift leaves room below a log offset for the sequence numbers of moves made without the log.
const tokenShift = 16

// Token returns the fencing token of an assignment recorded at offset. The low bits are free for moves of the
// slot without an append: 4 for the epoch, 12 for a sequence number.
func Token(offset uint64) uint64 { return offset << tokenShift }

// Slot is the assignment of one slot. The zero value is a free slot.
type Slot struct {
	DC    string // home
	Owner string
	Token uint64
}

// Cell is the control state of one data centre.
type Cell struct {
	Term       uint64 // offset of the Term record, 0 if none
	Holder     string
	Successors []string
	Witnesses  []string
	Ready      bool                // Ready was recorded under this term
	Earlier    map[uint64][]string // witness sets, by term, of earlier terms not proven superseded
}

// Place is the fold of the place stream: who controls each data centre and who owns each slot.
// The zero value is the state before the first record. It is not safe for concurrent use.
type Place struct {
	cursor
	cells    map[string]*Cell
	pools    map[string][]Slot
	subjects map[subject]standing
}

// subject is what compare-and-set on assignments applies to.
type subject struct {
	pool, dc string
}

// standing is the state of a subject.
type standing struct {
	version uint64
	yield   time.Duration // 0: the slots cannot be seized
}

// Cell returns the control state of a data centre. The result must not be changed.
func (p *Place) Cell(dc string) Cell {
	if c := p.cells[dc]; c != nil {
		return *c
	}
	return Cell{}
}

// DCs returns the data centres that have a term, sorted.
func (p *Place) DCs() []string { return slices.Sorted(maps.Keys(p.cells)) }

// Slots returns the assignment of all slots of a pool, nil if none was ever assigned. It must not be changed.
func (p *Place) Slots(pool string) []Slot { return p.pools[pool] }

// Version returns the base that the next Assign, Release or Seize of the pool's slots in dc has to name.
func (p *Place) Version(pool, dc string) uint64 { return p.subjects[subject{pool, dc}].version }

// Yield returns how long dc may serve the pool's slots without contact with the log, as it declared in its last
// Assign. 0 means without limit, and that nobody else may take them.
func (p *Place) Yield(pool, dc string) time.Duration { return p.subjects[subject{pool, dc}].yield }

// Apply folds the record at offset. Records at or below the last offset folded are ignored.
func (p *Place) Apply(offset uint64, rec *record.Record) Outcome {
	if !p.advance(offset) {
		return Seen
	}
	switch kind := rec.GetKind().(type) {
	case *record.Record_Term:
		return p.term(offset, kind.Term)
	case *record.Record_Ready:
		return p.ready(kind.Ready)
	case *record.Record_Assign:
		return p.assign(offset, kind.Assign)
	case *record.Record_Release:
		return p.release(offset, kind.Release)
	case *record.Record_Seize:
		return p.seize(offset, kind.Seize)
	default:
		return Ignored
	}
}

func (p *Place) term(offset uint64, t *record.Term) Outcome {
	if t.GetDc() == "" || t.GetHolder() == "" || len(t.GetWitnesses()) == 0 {
		return Invalid
	}
	old := p.Cell(t.GetDc())
	if t.GetBase() != old.Term {
		return Stale
	}
	earlier := maps.Clone(old.Earlier)
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
		Term: offset, Holder: t.GetHolder(), Successors: t.GetSuccessors(), Witnesses: t.GetWitnesses(), Earlier: earlier,
	}
	return Applied
}

func (p *Place) ready(r *record.Ready) Outcome {
	old := p.cells[r.GetDc()]
	if old == nil || old.Term != r.GetTerm() {
		return Stale
	}
	c := *old
	c.Ready, c.Earlier = true, nil
	p.cells[r.GetDc()] = &c
	return Applied
}

// admit checks what Assign and Release have in common.
func (p *Place) admit(dc, pool string, term, base uint64) Outcome {
	c := p.cells[dc]
	if c == nil || c.Term != term || p.Version(pool, dc) != base {
		return Stale
	}
	if !c.Ready {
		return Invalid
	}
	return Applied
}

func (p *Place) assign(offset uint64, a *record.Assign) Outcome {
	if out := p.admit(a.GetDc(), a.GetPool(), a.GetTerm(), a.GetBase()); out != Applied {
		return out
	}
	if a.GetSlots() == 0 || a.GetSlots() > maxSlots || a.GetYield() < 0 || a.GetYield() > maxYield {
		return Invalid
	}
	slots := slices.Clone(p.pools[a.GetPool()])
	if slots == nil {
		if p.total()+int(a.GetSlots()) > maxTotal {
			return Invalid
		}
		slots = make([]Slot, a.GetSlots())
	}
	if len(slots) != int(a.GetSlots()) {
		return Invalid
	}
	for _, ch := range a.GetChanges() {
		if !change(slots, ch, a.GetDc(), offset) {
			return Invalid
		}
	}
	p.commit(a.GetPool(), slots)
	p.stand(a.GetPool(), a.GetDc(), standing{offset, time.Duration(a.GetYield()) * time.Millisecond})
	return Applied
}

// total returns the number of slots of all pools.
func (p *Place) total() int {
	n := 0
	for _, slots := range p.pools {
		n += len(slots)
	}
	return n
}

// change applies ch to slots. It reports false if ch reaches outside them, touches a slot with another home,
// would lower a token, or names a token that a later record of the slot could not exceed.
func change(slots []Slot, ch *record.Change, dc string, offset uint64) bool {
	if ch.GetOwner() == "" || ch.GetFirst() > ch.GetLast() || int(ch.GetLast()) >= len(slots) || ch.GetToken() >= Token(offset) {
		return false
	}
	next := Slot{DC: dc, Owner: ch.GetOwner(), Token: token(ch, offset)}
	for i := ch.GetFirst(); i <= ch.GetLast(); i++ {
		if home := slots[i].DC; (home != "" && home != dc) || slots[i].Token >= next.Token {
			return false
		}
		slots[i] = next
	}
	return true
}

func token(ch *record.Change, offset uint64) uint64 {
	if ch.GetToken() != 0 {
		return ch.GetToken()
	}
	return Token(offset)
}

func (p *Place) release(offset uint64, r *record.Release) Outcome {
	if out := p.admit(r.GetDc(), r.GetPool(), r.GetTerm(), r.GetBase()); out != Applied {
		return out
	}
	slots := slices.Clone(p.pools[r.GetPool()])
	for _, i := range r.GetSlots() {
		if int(i) >= len(slots) || slots[i].DC != r.GetDc() {
			return Invalid
		}
		slots[i] = Slot{Token: slots[i].Token}
	}
	p.commit(r.GetPool(), slots)
	p.stand(r.GetPool(), r.GetDc(), standing{offset, p.Yield(r.GetPool(), r.GetDc())})
	return Applied
}

func (p *Place) seize(offset uint64, s *record.Seize) Outcome {
	from := p.subjects[subject{s.GetPool(), s.GetFrom()}]
	c := p.cells[s.GetDc()]
	if c == nil || c.Term != s.GetTerm() || from.version != s.GetBase() {
		return Stale
	}
	if !c.Ready || s.GetDc() == s.GetFrom() || (from.yield == 0 && !s.GetLost()) {
		return Invalid
	}
	slots := slices.Clone(p.pools[s.GetPool()])
	for i := range slots {
		if slots[i].DC == s.GetFrom() {
			// The owner is cleared: the new home must wait before it assigns one.
			slots[i] = Slot{DC: s.GetDc(), Token: Token(offset)}
		}
	}
	p.commit(s.GetPool(), slots)
	p.stand(s.GetPool(), s.GetDc(), standing{offset, p.Yield(s.GetPool(), s.GetDc())})
	p.stand(s.GetPool(), s.GetFrom(), standing{offset, from.yield})
	return Applied
}

// commit replaces the pool's slots. Earlier results of Slots stay unchanged.
func (p *Place) commit(pool string, slots []Slot) {
	if p.pools == nil {
		p.pools = make(map[string][]Slot)
	}
	p.pools[pool] = slots
}

func (p *Place) stand(pool, dc string, s standing) {
	if p.subjects == nil {
		p.subjects = make(map[subject]standing)
	}
	p.subjects[subject{pool, dc}] = s
}
