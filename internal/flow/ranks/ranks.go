// Package ranks is the queue in front of the servers of a lane. It is pure: it has no clock and no goroutine, and the
// stage around it serialises all calls.
//
// The most urgent rank goes first. Each rank is guaranteed its share of the service time by a deficit counter; what a
// rank does not use is lent to the others.
package ranks

import (
	"time"
)

// Rank is one class of work, most urgent first in the list given to New.
type Rank struct {
	Share  float64       // guaranteed part of the service time, 0 to 1
	Target time.Duration // latency within which an answer is useful; 0 means no bound
}

// Entry is one queued item.
type Entry[T any] struct {
	Value    T
	Deadline time.Time
	pushed   time.Time
	rank     int
	state    state
}

type state uint8

const (
	waiting state = iota
	cancelled
	left // popped or dropped
)

// Rank returns the index of the entry's rank.
func (e *Entry[T]) Rank() int { return e.rank }

// Queue holds entries of all ranks. It is not safe for concurrent use.
type Queue[T any] struct {
	classes  []class[T]
	capacity int // concurrency slots of all servers that can be used now
}

// class is the queue of one rank.
type class[T any] struct {
	Rank
	entries []*Entry[T] // from head on; cancelled ones stay until they are reached
	head    int
	live    int
	deficit float64   // service time that the rank is owed, in seconds
	credit  float64   // share that it did not use while nothing of it waited, in seconds
	cost    float64   // mean service time in seconds
	gap     float64   // mean time between two pops while the rank was waiting, in seconds; 0 if never seen
	popped  time.Time // last pop, zero unless the rank has been waiting since
}

const (
	// initialCost is the assumed service time before the first observation.
	initialCost = 0.01
	// weight is the part of a new observation in the means. About 20 observations replace the old value.
	weight = 0.1
	// headroom is the part of a target up to which the expected answer time may rise. Under a flood every accepted
	// request waits that long; the rest of the target takes up the variance of the service time.
	headroom = 0.7
	// quick is the part of a target up to which the expected answer time may rise when that is long compared with a
	// service. A longer queue serves no more, and a caller that was refused once and sends again would get its answer
	// after the target: under a flood half of the answers came too late with 0.7.
	quick = 0.25
	// minQueue is the expected answer time, in services, that is allowed in any case so that servers stay busy.
	minQueue = 6
	// saved is how many services a rank may save up while it has nothing waiting. Arrivals come in bursts: without it a
	// rank that offers less than its share queues as if its share were a slow server of its own.
	saved = 4
	// patience is the part of its target that a request waits before its rank spends what it saved.
	patience = 0.2
	// gapWeight is smaller: a flood fills the queue up to the shortest gap seen lately, so the mean must be steady.
	gapWeight = 0.02
	// minShare is assumed for a rank without a guaranteed share.
	minShare = 0.01
	// minRetry is the shortest time to retry after that a refusal names.
	minRetry = 100 * time.Millisecond
)

// New returns an empty queue. Ranks whose shares add up to more than 1 are scaled down to 1.
func New[T any](ranks []Rank) *Queue[T] {
	q := &Queue[T]{classes: make([]class[T], len(ranks)), capacity: 1}
	for i := range q.classes {
		q.classes[i].cost = initialCost
	}
	q.SetRanks(ranks)
	return q
}

// SetRanks changes shares and targets. The number of ranks must be that given to New.
func (q *Queue[T]) SetRanks(ranks []Rank) {
	sum := 0.0
	for _, r := range ranks {
		sum += r.Share
	}
	for i, r := range ranks {
		if sum > 1 {
			r.Share /= sum
		}
		q.classes[i].Rank = r
	}
}

// SetCapacity sets how many requests the servers can run at the same time.
func (q *Queue[T]) SetCapacity(n int) { q.capacity = max(1, n) }

// Len returns the number of waiting entries of a rank.
func (q *Queue[T]) Len(rank int) int { return q.classes[rank].live }

// Total returns the number of waiting entries of all ranks.
func (q *Queue[T]) Total() int {
	n := 0
	for i := range q.classes {
		n += q.classes[i].live
	}
	return n
}

// Observe records the time that a request of the rank occupied a slot.
func (q *Queue[T]) Observe(rank int, service time.Duration) {
	c := &q.classes[rank]
	c.cost += weight * (max(service.Seconds(), 1e-5) - c.cost)
}

// Push adds an entry. It refuses, with the time after which to try again, when the entry could not be answered within
// its rank's target or its deadline, given what waits ahead of it.
func (q *Queue[T]) Push(now time.Time, rank int, deadline time.Time, v T) (e *Entry[T], after time.Duration, ok bool) {
	c := &q.classes[rank]
	limit := deadline.Sub(now)
	if c.Target > 0 {
		limit = min(limit, c.bound())
	}
	if over := q.estimate(rank) - limit; over > 0 && c.live > 0 || limit <= 0 {
		return nil, max(over, minRetry), false
	}
	if c.live == 0 {
		c.popped = time.Time{}
	}
	e = &Entry[T]{Value: v, Deadline: deadline, pushed: now, rank: rank}
	c.entries = append(c.entries, e)
	c.live++
	return e, 0, true
}

// bound returns how long the expected answer time of the rank may be.
func (c *class[T]) bound() time.Duration {
	target := c.Target.Seconds()
	return time.Duration(min(headroom*target, max(quick*target, minQueue*c.cost)) * float64(time.Second))
}

// estimate returns the expected time until a new entry of the rank is answered.
func (q *Queue[T]) estimate(rank int) time.Duration {
	c := &q.classes[rank]
	each := c.cost / float64(q.capacity)
	gap := c.gap
	if gap == 0 {
		gap = each / q.share(rank)
	}
	// The measured gap may stem from a time when no server answered. Usable servers give a rank at least its share.
	gap = min(max(gap, each), each/max(c.Share, minShare))
	return time.Duration((float64(c.live)*gap + c.cost) * float64(time.Second))
}

// share returns the part of the service time that a rank can expect now: its own share, and the shares of ranks that
// have nothing waiting. What no rank is guaranteed goes to the most urgent.
func (q *Queue[T]) share(rank int) float64 {
	rest, s := 1.0, q.classes[rank].Share
	urgent := true
	for i := range q.classes {
		rest -= q.classes[i].Share
		if i == rank {
			continue
		}
		if q.classes[i].live == 0 {
			s += q.classes[i].Share
		} else if i < rank {
			urgent = false
		}
	}
	if urgent {
		s += max(0, rest)
	}
	return max(s, minShare)
}

// Cancel removes a waiting entry. It reports false if the entry has left the queue already.
func (q *Queue[T]) Cancel(e *Entry[T]) bool {
	if e.state != waiting {
		return false
	}
	e.state = cancelled
	c := &q.classes[e.rank]
	c.live--
	c.sweep()
	return true
}

// Pop removes the entry that is to be served next, nil if none waits. Entries whose deadline has passed are removed
// and returned in expired.
func (q *Queue[T]) Pop(now time.Time) (e *Entry[T], expired []*Entry[T]) {
	for i := range q.classes {
		expired = q.classes[i].clean(now, expired)
	}
	rank := q.next(now)
	if rank < 0 {
		return nil, expired
	}
	c := &q.classes[rank]
	q.charge(rank)
	e = c.entries[c.head]
	e.state = left
	c.entries[c.head] = nil
	c.head++
	c.live--
	c.pace(now)
	return e, expired
}

// next returns the most urgent rank with work, unless a less urgent one is owed a whole service. Credit counts only
// once the head of the queue has waited for a part of its target: short waits of patient work must not delay urgent work.
func (q *Queue[T]) next(now time.Time) int {
	first, owed := -1, -1
	most := 0.0
	for i := range q.classes {
		c := &q.classes[i]
		if c.live == 0 {
			c.deficit = 0 // credit holds what was not used
			continue
		}
		if first < 0 {
			first = i
		}
		owing := c.deficit
		if c.Target > 0 && now.Sub(c.entries[c.head].pushed).Seconds() >= patience*c.Target.Seconds() {
			owing += c.credit
		}
		if over := owing - c.cost; over >= -1e-9 && (owed < 0 || over > most) {
			owed, most = i, over
		}
	}
	if owed >= 0 {
		return owed
	}
	return first
}

// charge accounts for a service of the rank: each rank earns its share of it.
func (q *Queue[T]) charge(rank int) {
	cost := q.classes[rank].cost
	for i := range q.classes {
		c := &q.classes[i]
		if c.live > 0 {
			c.deficit += c.Share * cost
		} else {
			c.credit = min(c.credit+c.Share*cost, saved*c.cost)
		}
	}
	c := &q.classes[rank]
	c.deficit -= cost
	if c.deficit < 0 {
		c.credit = max(0, c.credit+c.deficit)
		c.deficit = 0
	}
}

// pace updates the mean time between pops.
func (c *class[T]) pace(now time.Time) {
	if !c.popped.IsZero() {
		gap := now.Sub(c.popped).Seconds()
		if c.gap == 0 {
			c.gap = gap
		}
		c.gap += gapWeight * (gap - c.gap)
	}
	c.popped = now
	if c.live == 0 {
		c.popped = time.Time{}
	}
}

// clean removes cancelled and expired entries at the head.
func (c *class[T]) clean(now time.Time, expired []*Entry[T]) []*Entry[T] {
	for c.head < len(c.entries) {
		e := c.entries[c.head]
		if e.state == waiting && now.Before(e.Deadline) {
			break
		}
		if e.state == waiting {
			e.state = left
			c.live--
			expired = append(expired, e)
		}
		c.entries[c.head] = nil
		c.head++
	}
	c.compact()
	return expired
}

// sweep removes what has left the queue when that is most of it, so that cancelled entries do not pile up while no
// server takes work.
func (c *class[T]) sweep() {
	if len(c.entries)-c.head <= 2*c.live+16 {
		return
	}
	kept := c.entries[:0]
	for _, e := range c.entries[c.head:] {
		if e.state == waiting {
			kept = append(kept, e)
		}
	}
	clear(c.entries[len(kept):])
	c.entries, c.head = kept, 0
}

func (c *class[T]) compact() {
	if c.head == len(c.entries) {
		c.entries, c.head = c.entries[:0], 0
		return
	}
	if c.head > 64 && c.head > len(c.entries)/2 {
		n := copy(c.entries, c.entries[c.head:])
		clear(c.entries[n:])
		c.entries, c.head = c.entries[:n], 0
	}
}

// Drain removes and returns all waiting entries that match.
func (q *Queue[T]) Drain(match func(T) bool) []*Entry[T] {
	var out []*Entry[T]
	for i := range q.classes {
		c := &q.classes[i]
		for _, e := range c.entries[c.head:] {
			if e.state == waiting && match(e.Value) {
				e.state = left
				c.live--
				out = append(out, e)
			}
		}
	}
	return out
}
