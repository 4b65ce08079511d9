package lease

import (
	"slices"
	"time"
)

// Span is a set of slots of one pool, first to last inclusive.
type Span struct {
	Pool        string
	First, Last uint32
}

// claim is something sent to a server that may let it serve slots.
type claim struct {
	id      uint64
	spans   []Span // sorted by pool and first
	all     string // every slot of this pool
	until   time.Time
	settled bool
}

func (c *claim) covers(pool string, slot uint32) bool {
	if c.all == pool && pool != "" {
		return true
	}
	i, found := slices.BinarySearchFunc(c.spans, Span{Pool: pool, First: slot}, func(a, b Span) int {
		if a.Pool != b.Pool {
			if a.Pool < b.Pool {
				return -1
			}
			return 1
		}
		if a.First == b.First {
			return 0
		}
		if a.First < b.First {
			return -1
		}
		return 1
	})
	if !found {
		i--
	}
	return i >= 0 && c.spans[i].Pool == pool && c.spans[i].First <= slot && slot <= c.spans[i].Last
}

// Exposure knows which servers may still hold a valid grant of a slot. Holders are named by server and incarnation,
// since a new process at a server's address says nothing about the old one. The zero value knows of none. It is not
// safe for concurrent use.
//
// A grant whose answer is missing may still be on its way and may arrive after a later one. Only its own deadline
// ends it; an answered grant is ended by the next accepted one, which replaces the server's whole set.
type Exposure struct {
	holders map[string][]claim
}

func (e *Exposure) add(holder string, c claim) {
	if e.holders == nil {
		e.holders = make(map[string][]claim)
	}
	e.holders[holder] = append(e.holders[holder], c)
}

// Sent notes that grant id with the slots of spans, sorted by pool and first, is about to be sent to holder. It
// lapses at until. Sent again with the same id extends it. Ids of one holder ascend.
func (e *Exposure) Sent(holder string, id uint64, spans []Span, until time.Time) {
	claims := e.holders[holder]
	for i := range claims {
		if claims[i].id == id && claims[i].all == "" {
			claims[i].until = until
			return
		}
	}
	e.add(holder, claim{id: id, spans: spans, until: until})
}

// Unknown notes that holder may serve any slot of pool until the time given, by what earlier pairs granted.
func (e *Exposure) Unknown(holder, pool string, until time.Time) {
	for i := range e.holders[holder] {
		if c := &e.holders[holder][i]; c.all == pool {
			if until.After(c.until) {
				c.until = until
			}
			return
		}
	}
	e.add(holder, claim{all: pool, until: until, settled: true})
}

// Known ends what Unknown noted of holder, since the process has confirmed a pair and dropped all it held before.
func (e *Exposure) Known(holder string) {
	if e.holders[holder] == nil {
		return
	}
	e.holders[holder] = slices.DeleteFunc(e.holders[holder], func(c claim) bool { return c.all != "" })
}

// Accepted notes that holder accepted grant id and dropped what it held before. It changes nothing when a later
// grant was sent meanwhile, since the two may have arrived in either order.
func (e *Exposure) Accepted(holder string, id uint64) {
	claims := e.holders[holder]
	if len(claims) == 0 || claims[len(claims)-1].id != id {
		return
	}
	claims[len(claims)-1].settled = true
	e.holders[holder] = slices.DeleteFunc(claims, func(c claim) bool { return c.settled && c.id != id })
}

// Dropped notes that grant id has had no effect and never will, or that its slots were released.
func (e *Exposure) Dropped(holder string, id uint64) {
	e.holders[holder] = slices.DeleteFunc(e.holders[holder], func(c claim) bool { return c.id == id && c.all == "" })
}

// Free reports whether at now nobody but holder may serve the slot.
func (e *Exposure) Free(pool string, slot uint32, holder string, now time.Time) bool {
	for name, claims := range e.holders {
		if name == holder {
			continue
		}
		for i := range claims {
			if now.Before(claims[i].until) && claims[i].covers(pool, slot) {
				return false
			}
		}
	}
	return true
}

// Prune forgets what has lapsed at now.
func (e *Exposure) Prune(now time.Time) {
	for name, claims := range e.holders {
		claims = slices.DeleteFunc(claims, func(c claim) bool { return !now.Before(c.until) })
		if len(claims) == 0 {
			delete(e.holders, name)
		} else {
			e.holders[name] = claims
		}
	}
}
