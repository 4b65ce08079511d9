package quota

import (
	"math"
	"time"
)

const (
	// minBurst is how many requests may be sent at once after a pause, whatever the rate. With two, one can be kept for more
	// urgent requests.
	minBurst = 2
	// burstTime bounds the burst of a high rate: as many requests as the rate allows in it.
	burstTime = 500 * time.Millisecond
	// MinRate is the rate, in requests per second, that is used for lower rates, which would never show that the limit has ended.
	MinRate = 0.1
	// rankMemory is how long after a request of a rank one place is kept for the next of that rank.
	rankMemory = time.Second
	// maxReturn bounds the time after which a refused caller is asked to return. Later callers are spread over its second half.
	maxReturn = 3 * time.Second
)

// Decision says whether a request may be sent to a server with a limit.
type Decision struct {
	OK bool
	// Wait is how long no request of the same or a lower rank can be permitted.
	Wait time.Duration
	// Return is when the refused caller should come again.
	Return time.Duration
}

// Bucket keeps requests to a rate. A new bucket is empty, so that one that replaces a lost bucket repeats nothing that was
// permitted before. It is not safe for concurrent use.
type Bucket struct {
	rate     float64
	level    float64 // requests that may be sent at once
	filledAt time.Time
	askedAt  map[int]time.Time // last request of each rank
	returnAt time.Time         // when the caller that was refused last should come again
}

// NewBucket returns an empty bucket for a rate of requests per second.
func NewBucket(now time.Time, rate float64) *Bucket {
	return &Bucket{rate: max(rate, MinRate), filledAt: now, askedAt: make(map[int]time.Time)}
}

// Take asks to send a request of a rank, of which 0 is the most urgent. The rate may have changed since the last call.
func (b *Bucket) Take(now time.Time, rate float64, rank int) Decision {
	b.fill(now, rate)
	b.askedAt[rank] = now
	need := 1.0
	for other, at := range b.askedAt {
		if other < rank && now.Sub(at) < rankMemory {
			need = 2
		}
	}
	if b.level >= need {
		b.level--
		return Decision{OK: true}
	}
	wait := seconds((need - b.level) / b.rate)
	return Decision{Wait: wait, Return: b.scheduleReturn(now, wait)}
}

// Wait returns how long no request of the most urgent rank would be permitted.
func (b *Bucket) Wait(now time.Time, rate float64) time.Duration {
	b.fill(now, rate)
	return max(0, seconds((1-b.level)/b.rate))
}

// fill adds what the rate has allowed since the last call.
func (b *Bucket) fill(now time.Time, rate float64) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.level += d.Seconds() * b.rate
		b.filledAt = now
	}
	b.rate = max(rate, MinRate)
	b.level = min(b.level, max(minBurst, b.rate*burstTime.Seconds()))
}

// scheduleReturn returns when a refused caller should come again: one after the other at the rate of the bucket.
func (b *Bucket) scheduleReturn(now time.Time, wait time.Duration) time.Duration {
	if earliest := now.Add(wait); b.returnAt.Before(earliest) {
		b.returnAt = earliest
	}
	after := b.returnAt.Sub(now)
	b.returnAt = b.returnAt.Add(seconds(1 / b.rate))
	if latest := now.Add(maxReturn); b.returnAt.After(latest) {
		b.returnAt = latest.Add(-maxReturn / 2)
	}
	return after
}

func seconds(s float64) time.Duration { return time.Duration(math.Ceil(s * float64(time.Second))) }
