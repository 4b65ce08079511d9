// Package link shares a metered link between regions among ranks. It is pure: the current time is an argument, and the
// caller serialises all calls.
//
// Nothing waits in it: work that finds too little left for its rank is refused, so urgent work is never behind other.
package link

import "time"

const (
	// burst is how much of the rate can be saved up.
	burst = 200 * time.Millisecond
	// minWait is the shortest time to retry after that a refusal names.
	minWait = 100 * time.Millisecond
)

// Link is one instance's part of a link, with a bucket for each direction. It is not safe for concurrent use.
type Link struct {
	rate  float64 // bytes per second and direction
	out   bucket
	in    bucket
	bytes []Bytes
}

// Bytes is the traffic of one rank.
type Bytes struct {
	Out, In int64
}

// bucket holds the bytes that may be sent now. It is negative after an answer that was larger than what was left.
type bucket struct {
	level float64
	last  time.Time
}

// New returns a full link of rate bytes per second in each direction.
func New(rate int64) *Link {
	l := &Link{rate: float64(max(1, rate))}
	l.out.level, l.in.level = l.size(), l.size()
	return l
}

// SetRate changes the rate, for example when the number of instances that share the link has changed.
func (l *Link) SetRate(rate int64) { l.rate = float64(max(1, rate)) }

func (l *Link) size() float64 { return l.rate * burst.Seconds() }

// Take asks to send n bytes of a rank, 0 being the most urgent of ranks. If too little is left for the rank, in either
// direction, it reports false and when to try again.
//
// Each rank leaves a part of the bucket to the more urgent ones: the least urgent stops first, the most urgent last. A
// request larger than what its rank may ever find passes when the bucket is full.
func (l *Link) Take(now time.Time, rank, ranks, n int) (wait time.Duration, ok bool) {
	l.fill(&l.out, now)
	l.fill(&l.in, now)
	keep := l.size() * float64(rank) / float64(max(1, ranks))
	need := min(keep+float64(n), l.size())
	if short := max(need-l.out.level, keep-l.in.level); short > 0 {
		return max(minWait, time.Duration(short/l.rate*float64(time.Second))), false
	}
	l.out.level -= float64(n)
	l.count(rank).Out += int64(n)
	return 0, true
}

// Received accounts for an answer of n bytes.
func (l *Link) Received(now time.Time, rank, n int) {
	l.fill(&l.in, now)
	l.in.level -= float64(n)
	l.count(rank).In += int64(n)
}

// Used returns the traffic by rank since New.
func (l *Link) Used() []Bytes { return append([]Bytes(nil), l.bytes...) }

func (l *Link) count(rank int) *Bytes {
	for len(l.bytes) <= rank {
		l.bytes = append(l.bytes, Bytes{})
	}
	return &l.bytes[rank]
}

func (l *Link) fill(b *bucket, now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.level += now.Sub(b.last).Seconds() * l.rate
	}
	b.level = min(b.level, l.size())
	b.last = now
}
