package lease

import (
	"slices"
	"time"
)

// SlotRange is the slots First to Last, inclusive, of one pool.
type SlotRange struct {
	Pool        string
	First, Last uint32
}

// holding is a set of slots that a server may serve until expiresAt.
type holding struct {
	id          uint64
	ranges      []SlotRange // sorted by pool and first slot
	wholePool   string      // if not "", every slot of this pool
	expiresAt   time.Time
	replaceable bool // the next accepted grant ends it
}

func (h *holding) covers(pool string, slot uint32) bool {
	if h.wholePool == pool && pool != "" {
		return true
	}
	i, found := slices.BinarySearchFunc(h.ranges, SlotRange{Pool: pool, First: slot}, func(a, b SlotRange) int {
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
	return i >= 0 && h.ranges[i].Pool == pool && h.ranges[i].First <= slot && slot <= h.ranges[i].Last
}

// GrantTracker tracks which servers may still hold a valid grant of a slot. Holders are named by server and incarnation,
// since a new process at an address says nothing about the old one. The zero value is empty. It is not safe for
// concurrent use.
//
// An unanswered grant may arrive after a later one, so only its expiry ends it. An accepted grant also ends when the
// server accepts a later one, which replaces all its slots.
type GrantTracker struct {
	byHolder map[string][]holding
}

func (e *GrantTracker) add(holder string, h holding) {
	if e.byHolder == nil {
		e.byHolder = make(map[string][]holding)
	}
	e.byHolder[holder] = append(e.byHolder[holder], h)
}

// RecordSent records that grant id is about to be sent to holder. ranges are sorted by pool and first slot. A second
// call with the same id changes the expiry. The ids of one holder must ascend.
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

// AssumeHoldsPool records that holder may serve any slot of pool until expiresAt because of grants by earlier pairs.
func (e *GrantTracker) AssumeHoldsPool(holder, pool string, expiresAt time.Time) {
	for i := range e.byHolder[holder] {
		if h := &e.byHolder[holder][i]; h.wholePool == pool {
			if expiresAt.After(h.expiresAt) {
				h.expiresAt = expiresAt
			}
			return
		}
	}
	e.add(holder, holding{wholePool: pool, expiresAt: expiresAt, replaceable: true})
}

// ClearAssumed drops what AssumeHoldsPool recorded for holder, which has confirmed a pair and so given up earlier grants.
func (e *GrantTracker) ClearAssumed(holder string) {
	if e.byHolder[holder] == nil {
		return
	}
	e.byHolder[holder] = slices.DeleteFunc(e.byHolder[holder], func(h holding) bool { return h.wholePool != "" })
}

// RecordAccepted records that holder accepted grant id, which replaces its earlier grants. It does nothing if a later
// grant has been sent, since the two may have arrived in either order.
func (e *GrantTracker) RecordAccepted(holder string, id uint64) {
	holdings := e.byHolder[holder]
	if len(holdings) == 0 || holdings[len(holdings)-1].id != id {
		return
	}
	holdings[len(holdings)-1].replaceable = true
	e.byHolder[holder] = slices.DeleteFunc(holdings, func(h holding) bool { return h.replaceable && h.id != id })
}

// Remove drops grant id, which was released or certainly never takes effect.
func (e *GrantTracker) Remove(holder string, id uint64) {
	e.byHolder[holder] = slices.DeleteFunc(e.byHolder[holder], func(h holding) bool { return h.id == id && h.wholePool == "" })
}

// IsFreeFor reports whether no server other than holder may serve the slot at now.
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

// Prune drops everything that has expired at now.
func (e *GrantTracker) Prune(now time.Time) {
	for name, holdings := range e.byHolder {
		holdings = slices.DeleteFunc(holdings, func(h holding) bool { return !now.Before(h.expiresAt) })
		if len(holdings) == 0 {
			delete(e.byHolder, name)
		} else {
			e.byHolder[name] = holdings
		}
	}
}
