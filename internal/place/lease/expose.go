package lease

import (
	"slices"
	"time"
)

// SlotRange is a set of slots of one pool, first to last inclusive.
type SlotRange struct {
	Pool        string
	First, Last uint32
}

// holding is something sent to a server that may let it serve slots.
type holding struct {
	id          uint64
	ranges      []SlotRange // sorted by pool and first
	wholePool   string      // every slot of this pool
	expiresAt   time.Time
	replaceable bool
}

func (c *holding) covers(pool string, slot uint32) bool {
	if c.wholePool == pool && pool != "" {
		return true
	}
	i, found := slices.BinarySearchFunc(c.ranges, SlotRange{Pool: pool, First: slot}, func(a, b SlotRange) int {
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
	return i >= 0 && c.ranges[i].Pool == pool && c.ranges[i].First <= slot && slot <= c.ranges[i].Last
}

// GrantTracker knows which servers may still hold a valid grant of a slot. Holders are named by server and incarnation,
// since a new process at a server's address says nothing about the old one. The zero value knows of none. It is not
// safe for concurrent use.
//
// A grant whose answer is missing may still be on its way and may arrive after a later one. Only its own deadline
// ends it; an answered grant is ended by the next accepted one, which replaces the server's whole set.
type GrantTracker struct {
	byHolder map[string][]holding
}

func (e *GrantTracker) add(holder string, h holding) {
	if e.byHolder == nil {
		e.byHolder = make(map[string][]holding)
	}
	e.byHolder[holder] = append(e.byHolder[holder], h)
}

// RecordSent notes that grant id with the slots of spans, sorted by pool and first, is about to be sent to holder. It
// lapses at until. Sent again with the same id extends it. Ids of one holder ascend.
func (e *GrantTracker) RecordSent(holder string, id uint64, ranges []SlotRange, expiresAt time.Time) {
	holdings := e.byHolder[holder]
	for i := range holdings {
		if holdings[i].id == id && holdings[i].wholePool == "" {
			holdings[i].expiresAt = expiresAt
			return
		}
	}
	e.add(holder, holding{id: id, ranges: ranges, expiresAt: expiresAt})
}

// AssumeHoldsPool notes that holder may serve any slot of pool until the time given, by what earlier pairs granted.
func (e *GrantTracker) AssumeHoldsPool(holder, pool string, expiresAt time.Time) {
	for i := range e.byHolder[holder] {
		if c := &e.byHolder[holder][i]; c.wholePool == pool {
			if expiresAt.After(c.expiresAt) {
				c.expiresAt = expiresAt
			}
			return
		}
	}
	e.add(holder, holding{wholePool: pool, expiresAt: expiresAt, replaceable: true})
}

// ClearAssumed ends what Unknown noted of holder, since the process has confirmed a pair and dropped all it held before.
func (e *GrantTracker) ClearAssumed(holder string) {
	if e.byHolder[holder] == nil {
		return
	}
	e.byHolder[holder] = slices.DeleteFunc(e.byHolder[holder], func(c holding) bool { return c.wholePool != "" })
}

// RecordAccepted notes that holder accepted grant id and dropped what it held before. It changes nothing when a later
// grant was sent meanwhile, since the two may have arrived in either order.
func (e *GrantTracker) RecordAccepted(holder string, id uint64) {
	holdings := e.byHolder[holder]
	if len(holdings) == 0 || holdings[len(holdings)-1].id != id {
		return
	}
	holdings[len(holdings)-1].replaceable = true
	e.byHolder[holder] = slices.DeleteFunc(holdings, func(c holding) bool { return c.replaceable && c.id != id })
}

// Remove notes that grant id has had no effect and never will, or that its slots were released.
func (e *GrantTracker) Remove(holder string, id uint64) {
	e.byHolder[holder] = slices.DeleteFunc(e.byHolder[holder], func(c holding) bool { return c.id == id && c.wholePool == "" })
}

// IsFreeFor reports whether at now nobody but holder may serve the slot.
func (e *GrantTracker) IsFreeFor(pool string, slot uint32, holder string, now time.Time) bool {
	for name, holdings := range e.byHolder {
		if name == holder {
			continue
		}
		for i := range holdings {
			if now.Before(holdings[i].expiresAt) && holdings[i].covers(pool, slot) {
				return false
			}
		}
	}
	return true
}

// Prune forgets what has lapsed at now.
func (e *GrantTracker) Prune(now time.Time) {
	for name, holdings := range e.byHolder {
		holdings = slices.DeleteFunc(holdings, func(c holding) bool { return !now.Before(c.expiresAt) })
		if len(holdings) == 0 {
			delete(e.byHolder, name)
		} else {
			e.byHolder[name] = holdings
		}
	}
}
