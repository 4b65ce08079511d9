// Package retry bounds how much work is sent a second time. It is pure; the caller serialises all calls.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultRatio is how many retries each request earns. A tenth keeps the added load small when everything fails.
	defaultRatio = 0.1
	// defaultBurst bounds what a quiet time can save up.
	defaultBurst = 10
)

// Budget is the token bucket of one route. The zero value is empty. It is not safe for concurrent use.
type Budget struct {
	Ratio float64 // what each request earns; 0 means a tenth
	Burst float64 // the most that a quiet time saves up; 0 means 10

	tokens float64
}

// Earn records a first send.
func (b *Budget) Earn() {
	earned, limit := b.Ratio, b.Burst
	if earned == 0 {
		earned = defaultRatio
	}
	if limit == 0 {
		limit = defaultBurst
	}
	b.tokens = min(limit, b.tokens+earned)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	// The tolerance makes ten tenths a whole.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Backoff is a source of waits before retries. It is not safe for concurrent use.
type Backoff struct {
	rand *rand.Rand
}

// NewBackoff returns a source with a fixed sequence for each seed.
func NewBackoff(seed uint64) *Backoff {
	return &Backoff{rand: rand.New(rand.NewPCG(seed, seed))}
}

const (
	baseBackoff = 5 * time.Millisecond
	maxBackoff  = 200 * time.Millisecond
)

// Next returns the wait before retry number attempt, counted from 1: between half and all of a time that doubles with
// each attempt.
func (p *Backoff) Next(attempt int) time.Duration {
	d := min(maxBackoff, baseBackoff<<min(max(attempt-1, 0), 10))
	return d/2 + time.Duration(p.rand.Int64N(int64(d/2)+1))
}
