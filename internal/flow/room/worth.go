package room

import (
	"math"
	"time"
)

// Verdict says what becomes of a request that found no room: it waits, or is refused and its caller should come again after
// RetryAfter, 0 if that is of no use.
type Verdict struct {
	Wait       bool
	RetryAfter time.Duration
}

const (
	// newPatience, resentPatience and returnedPatience are the part of the time left for an answer within the target that a request
	// is expected to wait at most: one that comes for the first time, one that was sent before, and one whose caller was refused
	// before and doesn't come a third time.
	newPatience, resentPatience, returnedPatience = 0.5, 0.1, 0.7
	// latePatience is the divisor of the time left to the deadline that a request may wait if little is left to the target.
	latePatience = 16
	// duePatience is that divisor for a request of a priority that has had too small a share.
	duePatience = 4
	// hopelessFactor is by how much the expected wait of a request must exceed the time left before it is refused. Estimates vary, and
	// those of a request that is close to its turn should not drop it.
	hopelessFactor = 2
	// maxHeld is the part of a request's target that refused requests may have waited on average before fewer wait, and longestHeld
	// bounds that time: a request held long and refused then is worse for its caller than one refused at once.
	maxHeld     = 0.005
	longestHeld = 3 * time.Millisecond
	// heldAllowance is what the first refused requests may have waited in total.
	heldAllowance = 5 * time.Millisecond
	// maxTolerance bounds the tolerance for waits in vain. The estimated wait is longer than its mean by as many standard deviations as
	// the tolerance is less. With a fixed margin of one, instances that see five answers in a second let hardly any request wait.
	maxTolerance = 2
	// maxWaiting bounds the requests ahead of one that waits. Each holds memory.
	maxWaiting = 200
	// firstWait bounds the wait before any answer tells how fast the servers are.
	firstWait = 150 * time.Millisecond
	// leastProgress is the part of the room that a request may expect however much the more urgent ones take: they come in waves.
	leastProgress = 0.03
	// minRetryAfter is the least time after which a refused caller comes again, so that it is recognised by the time that it has left.
	minRetryAfter = 100 * time.Millisecond
	// obeyedPart is the divisor of the remaining time up to which callers obey a Retry-After time.
	obeyedPart = 3
)

// Worth decides on a request that found no room. A refusal is counted.
func (m *Room[T]) Worth(now time.Time, r Request) Verdict {
	w := m.newcomer(now, r)
	if w.returned {
		m.class(r.Priority).returns.add(now, 1, ratePeriod)
	}
	if now.Before(m.lastSend(&r)) && m.mayWait(now, w) {
		return Verdict{Wait: true}
	}
	return Verdict{RetryAfter: m.Refuse(now, r)}
}

// mayWait reports whether the request is likely to be sent in time if it waits.
func (m *Room[T]) mayWait(now time.Time, w *Waiter[T]) bool {
	ahead, due := m.ahead(w), m.isDue(now, w.Priority)
	if due {
		ahead = m.aheadOfClass(w)
	}
	switch {
	case ahead >= maxWaiting:
		return false
	case !m.knowsProgress(&w.Request):
		return len(m.waiting) == 0 && now.Before(w.ReceivedAt.Add(firstWait))
	case m.isFavoured(now, w.Priority):
		return false
	}
	toDeadline := m.lastSend(&w.Request).Sub(now)
	part := newPatience
	switch {
	case w.Sends > 0:
		part = resentPatience
	case w.returned:
		part = returnedPatience
	}
	patience := max(time.Duration(part*float64(w.latest.Sub(now))), toDeadline/latePatience)
	if w.Sends > 0 {
		patience -= now.Sub(w.ReceivedAt)
	}
	tolerance := m.class(w.Priority).tolerance(now)
	if tolerance < 1 && !w.returned && !due && !m.isBehind(now, w.Priority) {
		return false
	}
	patience = time.Duration(float64(patience) * min(1, tolerance))
	if due {
		patience = max(patience, toDeadline/duePatience)
	}
	return m.expectedWait(now, w, ahead, maxTolerance-tolerance) <= patience
}

// Hopeless returns the requests that can no longer be answered in their time, or are no longer expected to be sent in it.
func (m *Room[T]) Hopeless(now time.Time) (out []*Waiter[T]) {
	ahead := 0
	for _, w := range m.Waiting(now) {
		if m.isHopeless(now, w, ahead) {
			out = append(out, w)
		} else {
			ahead++
		}
	}
	return out
}

func (m *Room[T]) isHopeless(now time.Time, w *Waiter[T], ahead int) bool {
	toDeadline := m.lastSend(&w.Request).Sub(now)
	switch {
	case toDeadline <= 0:
		return true
	case !m.knowsProgress(&w.Request):
		return !now.Before(w.ReceivedAt.Add(firstWait))
	}
	return m.meanWait(now, w, ahead) > hopelessFactor*max(w.latest.Sub(now), toDeadline/latePatience)
}

// lastSend returns the latest time at which an answer to a request may still come before its deadline.
func (m *Room[T]) lastSend(r *Request) time.Time { return r.Deadline.Add(-m.route(r.Route).least()) }

// lastFull returns the latest time at which an answer is likely to come within the target, counted from when the caller first sent
// the request.
func (m *Room[T]) lastFull(w *Waiter[T]) time.Time {
	if w.Target <= 0 {
		return m.lastSend(&w.Request)
	}
	t, begun := m.route(w.Route), w.ReceivedAt
	if w.returned {
		begun = begun.Add(-t.spent(w.Deadline.Sub(w.ReceivedAt)))
	}
	return begun.Add(w.Target - t.likely())
}

// knowsProgress reports whether a server that the request may use has answered.
func (m *Room[T]) knowsProgress(r *Request) bool {
	for place := range m.places {
		if r.MayUse == nil || r.MayUse(place) {
			return true
		}
	}
	return false
}

// rate returns the rate at which the servers that a request may use make room.
func (m *Room[T]) rate(now time.Time, r *Request) (rate float64) {
	for place, c := range m.places {
		if r.MayUse == nil || r.MayUse(place) {
			rate += c.currentRate(now, ratePeriod)
		}
	}
	return rate
}

// progress returns the part of the rate of room that is left for a request and those that go after it.
func (m *Room[T]) progress(now time.Time, w *Waiter[T], rate float64) float64 {
	left := rate
	for p, c := range m.classes {
		switch {
		case p < w.Priority:
			left -= c.flow(now, 0) + c.flow(now, 1)
		case p == w.Priority && !w.returned:
			left -= c.returnFlow(now)
		}
	}
	if m.isDue(now, w.Priority) {
		c := m.class(w.Priority)
		due := minShare * m.share(now) * c.offered.perSecond(now, sharePeriod)
		if !w.returned {
			due -= c.returnFlow(now)
		}
		left = max(left, min(due, rate))
	}
	return max(0, left)
}

// expectedWait returns how long a request is likely to wait with a number of others ahead of it, which is a number of standard
// deviations longer than the mean if room frees up at random.
func (m *Room[T]) expectedWait(now time.Time, w *Waiter[T], ahead int, deviations float64) time.Duration {
	n := float64(ahead + 1)
	return waitFor(n+deviations*math.Sqrt(n), m.progress(now, w, m.rate(now, &w.Request)))
}

// meanWait returns how long a request waits on average with a number of others ahead of it.
func (m *Room[T]) meanWait(now time.Time, w *Waiter[T], ahead int) time.Duration {
	rate := m.rate(now, &w.Request)
	return waitFor(float64(ahead+1), max(leastProgress*rate, m.progress(now, w, rate)))
}

func waitFor(n, rate float64) time.Duration {
	return seconds(min(maxExpected, n/max(rate, 1/maxExpected)))
}

// maxExpected bounds expected waits, in seconds.
const maxExpected = 3600

// Refuse counts a refused request and returns the time after which its caller should come again: when room is expected beyond what
// those need that wait or were told to come again earlier, and soon enough to be answered then. It is a third of the time left at
// most, and 0 if none is left.
func (m *Room[T]) Refuse(now time.Time, r Request) time.Duration {
	// When it comes again, the request goes before those that come for the first time.
	w := m.newcomer(now, r)
	toTarget := m.lastFull(w).Sub(now)
	w.returned = true
	c := m.class(r.Priority)
	mayHold := longestHeld
	if r.Target > 0 {
		mayHold = min(mayHold, time.Duration(maxHeld*float64(r.Target)))
	}
	c.held.add(now, now.Sub(r.ReceivedAt).Seconds(), sharePeriod)
	c.mayHold.add(now, mayHold.Seconds(), sharePeriod)
	if returned := m.countOffer(now, &r); !returned {
		c.awaited.add(now, 1, awaitedPeriod)
	}
	longest := r.Deadline.Sub(now) / obeyedPart
	if toTarget > 0 {
		longest = min(longest, max(toTarget/2, minRetryAfter))
	}
	if longest <= 0 {
		return 0
	}
	ahead := 0
	for _, other := range m.waiting {
		if other.Priority <= r.Priority {
			ahead++
		}
	}
	first := min(longest/2, max(minRetryAfter, m.meanWait(now, w, ahead)))
	step := min(longest-first, m.meanWait(now, w, 0))
	if c.nextReturn.Before(now.Add(first)) || c.nextReturn.After(now.Add(longest-step)) {
		// The callers told to come again need all the room that is expected by then. This one shares it with those told first.
		c.nextReturn = now.Add(first)
	}
	at := c.nextReturn.Add(time.Duration(m.rnd.Float64() * float64(step)))
	c.nextReturn = c.nextReturn.Add(step)
	return at.Sub(now)
}
