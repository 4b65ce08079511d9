// Package link shares a metered link between regions among ranks. It is pure: the current time is an argument, and the
// caller serialises all calls.
//
// Nothing waits in it: work that finds too little left for its rank is refused, so urgent work is never behind other.
package link

import "time"

const (
	// burstTime is how much of the rate can be saved up.
	burstTime = 200 * time.Millisecond
	// minRetryAfter is the shortest time to retry after that a refusal names.
	minRetryAfter = 100 * time.Millisecond
)

// Link is one instance's part of a link, with a bucket for each direction. It is not safe for concurrent use.
type Link struct {
	rate    float64 // bytes per second and direction
	out     bucket
	in      bucket
	traffic []Traffic
}

// Traffic is the traffic of one rank.
type Traffic struct {
	Out, In int64
}

// bucket holds the bytes that may be sent now. It is negative after an answer that was larger than what was left.
type bucket struct {
	level      float64
	lastRefill time.Time
}

// New returns a full link of rate bytes per second in each direction.
func New(rate int64) *Link {
	l := &Link{rate: float64(max(1, rate))}
	l.out.level, l.in.level = l.bucketSize(), l.bucketSize()
	return l
}

// SetRate changes the rate, for example when the number of instances that share the link has changed.
func (l *Link) SetRate(rate int64) { l.rate = float64(max(1, rate)) }

func (l *Link) bucketSize() float64 { return l.rate * burstTime.Seconds() }

// Take asks to send n bytes of a rank, 0 being the most urgent of ranks. If too little is left for the rank, in either
// direction, it reports false and when to try again.
//
// Each rank leaves a part of the bucket to the more urgent ones: the least urgent stops first, the most urgent last. A
// request larger than what its rank may ever find passes when the bucket is full.
func (l *Link) Take(now time.Time, rank, ranks, n int) (wait time.Duration, ok bool) {
	l.refill(&l.out, now)
	l.refill(&l.in, now)
	reserved := l.bucketSize() * float64(rank) / float64(max(1, ranks))
	need := min(reserved+float64(n), l.bucketSize())
	if short := max(need-l.out.level, reserved-l.in.level); short > 0 {
		return max(minRetryAfter, time.Duration(short/l.rate*float64(time.Second))), false
	}
	l.out.level -= float64(n)
	l.trafficOf(rank).Out += int64(n)
	return 0, true
}

// AddReceived accounts for an answer of n bytes.
func (l *Link) AddReceived(now time.Time, rank, n int) {
	l.refill(&l.in, now)
	l.in.level -= float64(n)
	l.trafficOf(rank).In += int64(n)
}

// TrafficByRank returns the traffic by rank since New.
func (l *Link) TrafficByRank() []Traffic { return append([]Traffic(nil), l.traffic...) }

func (l *Link) trafficOf(rank int) *Traffic {
	for len(l.traffic) <= rank {
		l.traffic = append(l.traffic, Traffic{})
	}
	return &l.traffic[rank]
}

func (l *Link) refill(b *bucket, now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.level += now.Sub(b.lastRefill).Seconds() * l.rate
	}
	b.level = min(b.level, l.bucketSize())
	b.lastRefill = now
}
