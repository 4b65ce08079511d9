// Package room decides what becomes of requests that find the servers of a pool full: which wait, in which order they are sent when
// room frees up, and which are refused, with the time after which their callers should come again. It reads no clock and holds no
// lock. A Room belongs to one instance and to one pool, or to one server of a keyed pool.
package room

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Request describes a request to a Room.
type Request struct {
	Route    string
	Priority int // 0 is the most urgent
	// ReceivedAt is when the request came in, Deadline when its caller stops waiting.
	ReceivedAt, Deadline time.Time
	// Target is the time in which an answer has its full value, 0 if the route has none.
	Target time.Duration
	// Sends is the number of attempts already made.
	Sends int
	// Waited tells that the latest attempt followed a wait, and was counted when Fill sent it.
	Waited bool
	// MayUse reports whether the request may go to servers of a place. nil means all places.
	MayUse func(place string) bool
}

// Answer describes the end of an attempt.
type Answer struct {
	Request
	Place string        // of the server
	Took  time.Duration // from send to answer
	OK    bool          // whether a whole answer came
}

// Waiter is a request that waits. Value is the caller's own.
type Waiter[T any] struct {
	Request
	Value T

	returned bool // it was refused or sent before
	due      bool // its priority has had too small a share
	latest   time.Time
}

// Due reports whether the request's priority has had too small a share. It goes first then and may use room kept for urgent ones.
func (w *Waiter[T]) Due() bool { return w.due }

// tier returns 1 for a request that was refused or sent before, 0 for others.
func (w *Waiter[T]) tier() int {
	if w.returned {
		return 1
	}
	return 0
}

// Room holds the requests that wait and what is known of the servers. It is not safe for concurrent use.
type Room[T any] struct {
	rnd     *rand.Rand
	routes  map[string]*route
	places  map[string]*counter // answers
	classes map[int]*class
	waiting []*Waiter[T]
}

// New returns a Room without requests. rnd spreads the times at which callers come again.
func New[T any](rnd *rand.Rand) *Room[T] {
	return &Room[T]{rnd: rnd, routes: make(map[string]*route), places: make(map[string]*counter), classes: make(map[int]*class)}
}

// Len returns the number of requests that wait.
func (m *Room[T]) Len() int { return len(m.waiting) }

// Observe learns from the end of an attempt.
func (m *Room[T]) Observe(now time.Time, a Answer) {
	m.route(a.Route).observeWork(a.Took, a.OK)
	c := m.class(a.Priority)
	switch {
	case a.Waited && !a.OK:
		c.served.add(now, -1, sharePeriod)
		return
	case !a.OK:
		return
	case !a.Waited:
		m.countSent(now, &a.Request)
	}
	tier := 0
	if m.hasLessTime(&a.Request) {
		tier = 1
	}
	c.answered[tier].add(now, 1, ratePeriod)
	p := m.places[a.Place]
	if p == nil {
		p = new(counter)
		m.places[a.Place] = p
	}
	p.add(now, 1, ratePeriod)
}

// countSent counts a request that was sent.
func (m *Room[T]) countSent(now time.Time, r *Request) {
	m.class(r.Priority).served.add(now, 1, sharePeriod)
	m.countOffer(now, r)
}

// countOffer counts a request that was sent or refused, unless it was counted when it was refused before.
func (m *Room[T]) countOffer(now time.Time, r *Request) (returned bool) {
	c := m.class(r.Priority)
	if returned = m.cameBefore(now, r); returned {
		c.awaited.add(now, -1, awaitedPeriod)
	} else {
		c.offered.add(now, 1, sharePeriod)
	}
	m.route(r.Route).observeLeft(r.Deadline.Sub(r.ReceivedAt))
	return returned
}

// cameBefore reports whether the request seems to have been refused before: it has less time left than usual, and no more requests
// are taken for such than have been refused.
func (m *Room[T]) cameBefore(now time.Time, r *Request) bool {
	return m.hasLessTime(r) && m.class(r.Priority).awaited.value(now, awaitedPeriod) > 0.5
}

func (m *Room[T]) hasLessTime(r *Request) bool {
	return m.route(r.Route).spent(r.Deadline.Sub(r.ReceivedAt)) > returnMargin
}

func (m *Room[T]) route(name string) *route {
	r := m.routes[name]
	if r == nil {
		r = new(route)
		m.routes[name] = r
	}
	return r
}

func (m *Room[T]) class(priority int) *class {
	c := m.classes[priority]
	if c == nil {
		c = new(class)
		m.classes[priority] = c
	}
	return c
}

// Join adds a request that waits.
func (m *Room[T]) Join(now time.Time, w *Waiter[T]) {
	m.rank(now, w)
	m.class(w.Priority).joined[w.tier()].add(now, 1, ratePeriod)
	m.waiting = append(m.waiting, w)
}

// Leave removes a request, whatever became of it.
func (m *Room[T]) Leave(w *Waiter[T]) {
	if i := slices.Index(m.waiting, w); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
	}
}

// Before reports whether a request that has just come goes before all that wait.
func (m *Room[T]) Before(now time.Time, r Request) bool { return m.ahead(m.newcomer(now, r)) == 0 }

// Waiting returns the requests that wait, the next to be sent first.
func (m *Room[T]) Waiting(now time.Time) []*Waiter[T] {
	for _, w := range m.waiting {
		w.due = false
		m.rank(now, w)
	}
	slices.SortStableFunc(m.waiting, compare)
	// One request of a priority goes first at a time, as it is counted only when it is sent.
	for i, w := range m.waiting {
		if (i == 0 || m.waiting[i-1].Priority != w.Priority) && m.isDue(now, w.Priority) {
			w.due = true
		}
	}
	slices.SortStableFunc(m.waiting, compare)
	return slices.Clone(m.waiting)
}

// newcomer returns the request as it would wait.
func (m *Room[T]) newcomer(now time.Time, r Request) *Waiter[T] {
	w := &Waiter[T]{Request: r}
	m.rank(now, w)
	w.due = m.isDue(now, r.Priority) && !slices.ContainsFunc(m.waiting, func(other *Waiter[T]) bool { return other.Priority == r.Priority })
	return w
}

// rank sets what the order of w depends on.
func (m *Room[T]) rank(now time.Time, w *Waiter[T]) {
	w.returned = w.returned || w.Sends > 0 || m.cameBefore(now, &w.Request)
	w.latest = m.lastFull(w)
}

// compare orders by priority, then puts requests first that were refused or sent before, and then those that must be sent sooner.
func compare[T any](a, b *Waiter[T]) int {
	return cmp.Or(compareBool(a.due, b.due), cmp.Compare(a.Priority, b.Priority), compareBool(a.returned, b.returned), a.latest.Compare(b.latest))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// ahead returns how many requests that wait go before w.
func (m *Room[T]) ahead(w *Waiter[T]) (n int) {
	for _, other := range m.waiting {
		if compare(other, w) <= 0 {
			n++
		}
	}
	return n
}

// aheadOfClass returns how many requests that wait and have the priority of w go before it.
func (m *Room[T]) aheadOfClass(w *Waiter[T]) (n int) {
	for _, other := range m.waiting {
		if other.Priority == w.Priority && compare(other, w) <= 0 {
			n++
		}
	}
	return n
}

// isDue reports whether requests of a priority have had too small a share of room.
func (m *Room[T]) isDue(now time.Time, priority int) bool {
	mostUrgent := true
	for p := range m.classes {
		mostUrgent = mostUrgent && p >= priority
	}
	c := m.class(priority)
	return !mostUrgent && c.offered.value(now, sharePeriod) >= minOffered && c.share(now) < minShare*m.share(now)
}

// share returns the part of all requests that were sent.
func (m *Room[T]) share(now time.Time) float64 {
	offered, served := 0.0, 0.0
	for _, c := range m.classes {
		offered += c.offered.value(now, sharePeriod)
		served += c.served.value(now, sharePeriod)
	}
	return min(1, served/max(1, offered))
}

// isBehind reports whether requests of a less urgent priority have had nearly as great a share of room, or a greater one.
func (m *Room[T]) isBehind(now time.Time, priority int) bool {
	own := m.class(priority).share(now)
	for p, c := range m.classes {
		if p > priority && own < c.share(now)+shareLead {
			return true
		}
	}
	return false
}

// isFavoured reports whether requests of a more urgent priority have had a smaller share of room.
func (m *Room[T]) isFavoured(now time.Time, priority int) bool {
	own := m.class(priority).share(now)
	for p, c := range m.classes {
		if p < priority && own > c.share(now) {
			return true
		}
	}
	return false
}

// Turn says what became of a request that was offered room.
type Turn uint8

// Turns.
const (
	Full Turn = iota // it still finds no room
	Sent
	Gone // it waits no longer, though it was not sent
)

// Fill offers room to the requests that wait, the next first, and removes those that are sent or gone. When a request finds none, the
// others of its route are left out, unless it was sent before and may use fewer servers than they.
func (m *Room[T]) Fill(now time.Time, offer func(w *Waiter[T]) Turn) {
	full := make(map[string]bool)
	for _, w := range m.Waiting(now) {
		if full[w.Route] {
			continue
		}
		switch offer(w) {
		case Full:
			full[w.Route] = w.Sends == 0
		case Sent:
			m.countSent(now, &w.Request)
			m.Leave(w)
		case Gone:
			m.Leave(w)
		}
	}
}
