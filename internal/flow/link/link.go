// Package link divides the bandwidth of a metered link between regions among ranks. The current time is an argument, and
// the caller serialises all calls.
//
// It has no queue: a request that finds too little left for its rank is refused, so urgent ones never wait for others.
package link

import "time"

const (
	// burstTime is the size of a bucket, as the time in which it fills.
	burstTime = 200 * time.Millisecond
	// minRetryAfter is the shortest time to retry after that Take returns.
	minRetryAfter = 100 * time.Millisecond
)

// Link is one instance's part of a link, with a token bucket for each direction. It is not safe for concurrent use.
type Link struct {
	rate    float64 // bytes per second in each direction
	out     bucket
	in      bucket
	traffic []Traffic
}

// Traffic holds the bytes that one rank has sent and received.
type Traffic struct {
	Out, In int64
}

// bucket is a token bucket of bytes. An answer larger than what was left makes its level negative.
type bucket struct {
	level      float64
	lastRefill time.Time
}

// New returns a link of rate bytes per second in each direction, with full buckets.
func New(rate int64) *Link {
	l := &Link{rate: float64(max(1, rate))}
	l.out.level, l.in.level = l.bucketSize(), l.bucketSize()
	return l
}

// SetRate changes the rate, for example when the number of instances that share the link has changed.
func (l *Link) SetRate(rate int64) { l.rate = float64(max(1, rate)) }

func (l *Link) bucketSize() float64 { return l.rate * burstTime.Seconds() }

// Take takes n bytes to send for a rank, 0 being the most urgent of ranks. If too little is left for the rank, in either
// direction, it returns false and the time to retry after.
//
// Each rank leaves a part of the bucket to the more urgent ones, so the least urgent is refused first. A request too
// large for the part of its rank is accepted when the bucket is full.
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

// AddReceived takes the n bytes of a received answer off the bucket and counts them.
func (l *Link) AddReceived(now time.Time, rank, n int) {
	l.refill(&l.in, now)
	l.in.level -= float64(n)
	l.trafficOf(rank).In += int64(n)
}

// TrafficByRank returns the traffic since New, indexed by rank.
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
