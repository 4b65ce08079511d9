// Package ranks is the priority queue in front of the servers of a lane. It has no clock and no goroutine; the caller
// serialises all calls.
//
// The most urgent rank goes first. A deficit counter guarantees each rank its share of the service time; other ranks may
// use what a rank leaves.
package ranks

import (
	"time"
)

// Rank is a priority class. New takes a list of them, most urgent first.
type Rank struct {
	Share  float64       // guaranteed part of the service time, 0 to 1
	Target time.Duration // latency within which an answer is useful; 0 means no bound
}

// Entry is an item in the queue.
type Entry[T any] struct {
	Value    T
	Deadline time.Time
	pushedAt time.Time
	rank     int
	state    entryState
}

type entryState uint8

const (
	waiting entryState = iota
	cancelled
	removed // popped, expired or drained
)

// Rank returns the index of the entry's rank.
func (e *Entry[T]) Rank() int { return e.rank }

// Queue holds entries of all ranks. It is not safe for concurrent use.
type Queue[T any] struct {
	queues   []rankQueue[T]
	capacity int // concurrency slots of all servers that can be used now
	maxRate  float64
}

// rankQueue is the queue of one rank.
type rankQueue[T any] struct {
	Rank
	entries     []*Entry[T] // valid from head on; may include cancelled and removed ones
	head        int
	numWaiting  int
	deficit     float64   // service time that the rank is owed, in seconds
	credit      float64   // service time saved up while nothing waited, in seconds
	meanService float64   // in seconds
	meanPopGap  float64   // mean time in seconds between pops while work waited; 0 if not measured yet
	lastPop     time.Time // zero unless work has been waiting since the last pop
}

const (
	// initialService is the assumed service time before the first observation.
	initialService = 0.01
	// serviceWeight is the weight of a new observation in meanService. About 20 observations replace the old value.
	serviceWeight = 0.1
	// maxTargetPart bounds the expected answer time, as a part of the target. Under a flood every accepted request waits
	// that long; the rest of the target allows for the variance of the service time.
	maxTargetPart = 0.7
	// targetPart is the bound for targets that are long compared with the service time. A longer queue doesn't raise the
	// throughput, and a caller that retries after a refusal would get its answer after the target: under a flood half of
	// the answers came too late with 0.7.
	targetPart = 0.25
	// minBoundServices is the bound in service times where targetPart gives less, so that servers stay busy.
	minBoundServices = 6
	// maxCreditServices bounds the credit of a rank, in mean service times. Arrivals come in bursts: without credit, a
	// rank that uses less than its share would queue as if its share were a slow server of its own.
	maxCreditServices = 4
	// creditWaitPart is the part of its target that a request waits before its rank spends credit.
	creditWaitPart = 0.2
	// popGapWeight is small: a flood fills the queue as far as the lowest recent mean permits, so that must be steady.
	popGapWeight = 0.02
	// minShare is the share assumed for a rank that has less.
	minShare = 0.01
	// minRetryAfter is the shortest time to retry after that Push returns.
	minRetryAfter = 100 * time.Millisecond
)

// New returns an empty queue. If the shares add up to more than 1, they are scaled to a sum of 1.
func New[T any](ranks []Rank) *Queue[T] {
	q := &Queue[T]{queues: make([]rankQueue[T], len(ranks)), capacity: 1}
	for i := range q.queues {
		q.queues[i].meanService = initialService
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
		q.queues[i].Rank = r
	}
}

// SetCapacity sets how many requests the servers can run at the same time.
func (q *Queue[T]) SetCapacity(n int) { q.capacity = max(1, n) }

// SetMaxRate sets how many requests per second the servers take, 0 if that is not limited.
func (q *Queue[T]) SetMaxRate(perSecond float64) { q.maxRate = perSecond }

// Len returns the number of waiting entries of a rank.
func (q *Queue[T]) Len(rank int) int { return q.queues[rank].numWaiting }

// Total returns the number of waiting entries of all ranks.
func (q *Queue[T]) Total() int {
	n := 0
	for i := range q.queues {
		n += q.queues[i].numWaiting
	}
	return n
}

// Observe records the time that a request of the rank occupied a slot.
func (q *Queue[T]) Observe(rank int, service time.Duration) {
	c := &q.queues[rank]
	c.meanService += serviceWeight * (max(service.Seconds(), 1e-5) - c.meanService)
}

// Push adds an entry. It returns false and the time to retry after if the entry, behind what waits, could not be answered
// within its rank's target or its deadline.
func (q *Queue[T]) Push(now time.Time, rank int, deadline time.Time, v T) (e *Entry[T], retryAfter time.Duration, ok bool) {
	c := &q.queues[rank]
	limit := deadline.Sub(now)
	if c.Target > 0 {
		limit = min(limit, c.maxAnswerTime())
	}
	if excess := q.expectedAnswerTime(rank) - limit; excess > 0 && c.numWaiting > 0 || limit <= 0 {
		return nil, max(excess, minRetryAfter), false
	}
	if c.numWaiting == 0 {
		c.lastPop = time.Time{}
	}
	e = &Entry[T]{Value: v, Deadline: deadline, pushedAt: now, rank: rank}
	c.entries = append(c.entries, e)
	c.numWaiting++
	return e, 0, true
}

// maxAnswerTime returns the bound of the expected answer time of a rank with a target.
func (c *rankQueue[T]) maxAnswerTime() time.Duration {
	target := c.Target.Seconds()
	return time.Duration(min(maxTargetPart*target, max(targetPart*target, minBoundServices*c.meanService)) * float64(time.Second))
}

// expectedAnswerTime returns the expected time until a new entry of the rank is answered.
func (q *Queue[T]) expectedAnswerTime(rank int) time.Duration {
	c := &q.queues[rank]
	perService := c.meanService / float64(q.capacity)
	gap := c.meanPopGap
	if gap == 0 {
		gap = perService / q.expectedShare(rank)
	}
	// The measured gap may date from when no server answered. Working servers give a rank at least its share.
	gap = min(max(gap, perService), perService/max(c.Share, minShare))
	wait := float64(c.numWaiting) * gap
	if q.maxRate > 0 {
		wait = max(wait, float64(q.waitingBefore(rank)+1)/q.maxRate)
	}
	return time.Duration((wait + c.meanService) * float64(time.Second))
}

// waitingBefore returns the number of waiting entries of a rank and the more urgent ones.
func (q *Queue[T]) waitingBefore(rank int) (n int) {
	for i := range rank + 1 {
		n += q.queues[i].numWaiting
	}
	return n
}

// expectedShare returns the part of the service time that a rank can expect now: its own share and those of ranks that
// have nothing waiting. Time that is no rank's share goes to the most urgent rank with work.
func (q *Queue[T]) expectedShare(rank int) float64 {
	unassigned, share := 1.0, q.queues[rank].Share
	mostUrgent := true
	for i := range q.queues {
		unassigned -= q.queues[i].Share
		if i == rank {
			continue
		}
		if q.queues[i].numWaiting == 0 {
			share += q.queues[i].Share
		} else if i < rank {
			mostUrgent = false
		}
	}
	if mostUrgent {
		share += max(0, unassigned)
	}
	return max(share, minShare)
}

// Cancel removes a waiting entry. It returns false if the entry is no longer in the queue.
func (q *Queue[T]) Cancel(e *Entry[T]) bool {
	if e.state != waiting {
		return false
	}
	e.state = cancelled
	c := &q.queues[e.rank]
	c.numWaiting--
	c.dropRemoved()
	return true
}

// Pop removes and returns the entry to serve next, nil if none waits. It also removes the entries at the heads whose
// deadline has passed, and returns them in expired.
func (q *Queue[T]) Pop(now time.Time) (e *Entry[T], expired []*Entry[T]) {
	for i := range q.queues {
		expired = q.queues[i].trimHead(now, expired)
	}
	rank := q.nextRank(now)
	if rank < 0 {
		return nil, expired
	}
	c := &q.queues[rank]
	q.charge(rank)
	e = c.entries[c.head]
	e.state = removed
	c.entries[c.head] = nil
	c.head++
	c.numWaiting--
	c.recordPop(now)
	return e, expired
}

// nextRank returns the most urgent rank with work, unless another is owed a whole service, or -1. Credit counts only once
// the first entry has waited for creditWaitPart of its target: short waits of patient work must not delay urgent work.
func (q *Queue[T]) nextRank(now time.Time) int {
	mostUrgent, mostOwed := -1, -1
	mostExcess := 0.0
	for i := range q.queues {
		c := &q.queues[i]
		if c.numWaiting == 0 {
			c.deficit = 0 // a rank earns credit instead while nothing waits
			continue
		}
		if mostUrgent < 0 {
			mostUrgent = i
		}
		owedService := c.deficit
		if c.Target > 0 && now.Sub(c.entries[c.head].pushedAt).Seconds() >= creditWaitPart*c.Target.Seconds() {
			owedService += c.credit
		}
		if excess := owedService - c.meanService; excess >= -1e-9 && (mostOwed < 0 || excess > mostExcess) {
			mostOwed, mostExcess = i, excess
		}
	}
	if mostOwed >= 0 {
		return mostOwed
	}
	return mostUrgent
}

// charge charges the rank for one service, of which each rank earns its share.
func (q *Queue[T]) charge(rank int) {
	cost := q.queues[rank].meanService
	for i := range q.queues {
		c := &q.queues[i]
		if c.numWaiting > 0 {
			c.deficit += c.Share * cost
		} else {
			c.credit = min(c.credit+c.Share*cost, maxCreditServices*c.meanService)
		}
	}
	c := &q.queues[rank]
	c.deficit -= cost
	if c.deficit < 0 {
		c.credit = max(0, c.credit+c.deficit)
		c.deficit = 0
	}
}

// recordPop updates the mean time between pops.
func (c *rankQueue[T]) recordPop(now time.Time) {
	if !c.lastPop.IsZero() {
		gap := now.Sub(c.lastPop).Seconds()
		if c.meanPopGap == 0 {
			c.meanPopGap = gap
		}
		c.meanPopGap += popGapWeight * (gap - c.meanPopGap)
	}
	c.lastPop = now
	if c.numWaiting == 0 {
		c.lastPop = time.Time{}
	}
}

// trimHead drops cancelled, removed and expired entries at the head.
func (c *rankQueue[T]) trimHead(now time.Time, expired []*Entry[T]) []*Entry[T] {
	for c.head < len(c.entries) {
		e := c.entries[c.head]
		if e.state == waiting && now.Before(e.Deadline) {
			break
		}
		if e.state == waiting {
			e.state = removed
			c.numWaiting--
			expired = append(expired, e)
		}
		c.entries[c.head] = nil
		c.head++
	}
	c.compact()
	return expired
}

// dropRemoved drops cancelled and removed entries once they are most of the queue, so that they don't pile up while no
// server takes work.
func (c *rankQueue[T]) dropRemoved() {
	if len(c.entries)-c.head <= 2*c.numWaiting+16 {
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

func (c *rankQueue[T]) compact() {
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
	for i := range q.queues {
		c := &q.queues[i]
		for _, e := range c.entries[c.head:] {
			if e.state == waiting && match(e.Value) {
				e.state = removed
				c.numWaiting--
				out = append(out, e)
			}
		}
	}
	return out
}
