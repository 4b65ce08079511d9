// Package quota keeps the requests to a server within the rate that the server names in its answers. All instances share
// that rate: the leader hands it out one request at a time. It reads no clock.
package quota

import (
	"math"
	"strconv"
	"strings"
	"sync"
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

const (
	// endingAnswers is how many answers in a row without a limit end it: answers of one server may arrive out of order.
	endingAnswers = 2
	// endedKept is how long an ended limit is remembered, so that older reports of other instances don't restore it.
	endedKept = 30 * time.Second
)

// Book holds the limits that are known to an instance. The zero value is empty. It may be used by many goroutines.
type Book struct {
	// OnChange is called when a limit is learnt, changes or ends, with the book locked. It may be nil.
	OnChange func(incarnation string, l Limit)

	mu     sync.Mutex
	limits map[string]*bookEntry
}

type bookEntry struct {
	Limit
	unnamed int // answers without a limit since the last one with it
}

// Observe takes an answer of a server's incarnation. ran tells that it is the answer to a request that the server ran: a
// refusal or a failure on the way says nothing about the end of a limit.
func (b *Book) Observe(now time.Time, incarnation string, named Named, ran bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limits[incarnation]
	switch {
	case named.Set:
		b.set(incarnation, Limit{Rate: named.Rate, Seen: now})
	case e == nil || e.Ended || !ran:
	default:
		if e.unnamed++; e.unnamed >= endingAnswers {
			b.set(incarnation, Limit{Ended: true, Seen: now})
		}
	}
}

// Merge takes what another instance knows. The newest of both counts.
func (b *Book) Merge(incarnation string, l Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.limits[incarnation]; e == nil || l.Seen.After(e.Seen) {
		b.set(incarnation, l)
	}
}

// set replaces an entry. b.mu is held.
func (b *Book) set(incarnation string, l Limit) {
	if b.limits == nil {
		b.limits = make(map[string]*bookEntry)
	}
	old := b.limits[incarnation]
	b.limits[incarnation] = &bookEntry{Limit: l}
	changed := old == nil && !l.Ended || old != nil && (old.Rate != l.Rate || old.Ended != l.Ended)
	if changed && b.OnChange != nil {
		b.OnChange(incarnation, l)
	}
}

// Limit returns the limit in force of a server's incarnation.
func (b *Book) Limit(incarnation string) (l Limit, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.limits[incarnation]
	if e == nil || e.Ended {
		return Limit{}, false
	}
	return e.Limit, true
}

// Known returns the limits, ended ones included, that were seen after since.
func (b *Book) Known(since time.Time) map[string]Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Limit)
	for id, e := range b.limits {
		if e.Seen.After(since) {
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
			delete(b.limits, id)
		}
	}
}
