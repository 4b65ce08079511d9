// Package quota keeps the requests to a server within the rate that the server names in its answers. All instances share
// that rate: the leader hands it out one request at a time. It reads no clock.
package quota

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Named is what an answer says about the rate of requests that its server takes from all instances together.
type Named struct {
	Rate float64 // requests per second
	Set  bool    // false if the answer names no rate
}

// ParseNamed parses the value of an answer's header. One that is no rate counts as none.
func ParseNamed(value []byte) Named {
	rate, err := strconv.ParseFloat(strings.TrimSpace(string(value)), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Named{}
	}
	return Named{Rate: rate, Set: true}
}

// Limit is the newest known limit of a server's incarnation.
type Limit struct {
	Rate  float64   // requests per second; 0 permits only the few that show whether the limit still holds
	Ended bool      // the server names no limit any more
	Seen  time.Time // when an instance last read so in an answer
}

// endedKept is how long an ended limit is remembered, so that older reports of other instances don't restore it.
const endedKept = 30 * time.Second

// Book holds the limits that are known to an instance. The zero value is empty. It may be used by many goroutines.
type Book struct {
	// OnChange is called when a limit is learnt, changes or ends, with the book locked. It may be nil.
	OnChange func(incarnation string, l Limit)
	// ColdRate returns the rate that a server takes while it is cold, and false for a warm one. It may be nil.
	ColdRate func(now time.Time, incarnation string) (rate float64, limited bool)

	mu      sync.Mutex
	limits  map[string]*bookEntry
	inForce atomic.Int32 // limits that have not ended
}

type bookEntry struct {
	Limit
	observed  bool // in an answer to this instance
	changedAt time.Time
}

// Observe takes an answer of a server's incarnation to a request that was sent at sent. ran tells that the server ran it and did
// not fail: other answers don't show that a limit has ended.
func (b *Book) Observe(now, sent time.Time, incarnation string, named Named, ran bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limits[incarnation]
	switch {
	case named.Set:
		b.set(now, incarnation, Limit{Rate: named.Rate, Seen: now}, true)
	case e == nil || e.Ended || !ran:
	case sent.After(e.Seen): // an earlier request may have been answered before the server named its limit
		b.set(now, incarnation, Limit{Ended: true, Seen: now}, true)
	}
}

// mergeTolerance is how much newer the same limit has to be to be taken from another instance. The time that messages take
// would otherwise make it seem newer each time it is passed on, and an answer that ends it too old.
const mergeTolerance = time.Second

// Merge takes what another instance knows. The newest of both counts.
func (b *Book) Merge(now time.Time, incarnation string, l Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limits[incarnation]
	if e == nil || l.Seen.After(e.Seen) && (l.Rate != e.Rate || l.Ended != e.Ended || l.Seen.Sub(e.Seen) > mergeTolerance) {
		b.set(now, incarnation, l, false)
	}
}

// set replaces an entry. b.mu is held.
func (b *Book) set(now time.Time, incarnation string, l Limit, observed bool) {
	if b.limits == nil {
		b.limits = make(map[string]*bookEntry)
	}
	old := b.limits[incarnation]
	e := &bookEntry{Limit: l, observed: observed, changedAt: now}
	b.limits[incarnation] = e
	b.countInForce(e, 1)
	b.countInForce(old, -1)
	switch {
	case old == nil && l.Ended:
	case old != nil && old.Rate == l.Rate && old.Ended == l.Ended:
		e.changedAt = old.changedAt
	case b.OnChange != nil:
		b.OnChange(incarnation, l)
	}
}

func (b *Book) countInForce(e *bookEntry, n int32) {
	if e != nil && !e.Ended {
		b.inForce.Add(n)
	}
}

// Limit returns the limit in force of a server's incarnation.
func (b *Book) Limit(incarnation string) (l Limit, ok bool) {
	if b.inForce.Load() == 0 {
		return Limit{}, false
	}
	l, ok = b.Known(incarnation)
	return l, ok && !l.Ended
}

// Rate returns how many requests per second a server's incarnation takes at now from all instances together: the lower of the limit
// that it has named and what it takes while it is cold.
func (b *Book) Rate(now time.Time, incarnation string) (rate float64, limited bool) {
	l, limited := b.Limit(incarnation)
	rate = l.Rate
	if b.ColdRate == nil {
		return rate, limited
	}
	if cold, isCold := b.ColdRate(now, incarnation); isCold && (!limited || cold < rate) {
		return cold, true
	}
	return rate, limited
}

// Known returns what is known of a server's incarnation, also if its limit has ended.
func (b *Book) Known(incarnation string) (l Limit, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limits[incarnation]
	if e == nil {
		return Limit{}, false
	}
	return e.Limit, true
}

// Observed returns what this instance itself has seen in answers after since, ended limits included.
func (b *Book) Observed(since time.Time) map[string]Limit {
	return b.find(func(e *bookEntry) bool { return e.observed && e.Seen.After(since) })
}

// Current returns the limits in force, and those that have ended after since.
func (b *Book) Current(since time.Time) map[string]Limit {
	return b.find(func(e *bookEntry) bool { return !e.Ended || e.changedAt.After(since) })
}

func (b *Book) find(matches func(*bookEntry) bool) map[string]Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Limit)
	for id, e := range b.limits {
		if matches(e) {
			out[id] = e.Limit
		}
	}
	return out
}

// Prune forgets incarnations that are gone, and limits that have ended long ago.
func (b *Book) Prune(now time.Time, exists func(incarnation string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, e := range b.limits {
		if !exists(id) || e.Ended && now.Sub(e.Seen) > endedKept {
			b.countInForce(e, -1)
			delete(b.limits, id)
		}
	}
}
