// Package retry bounds the number of retries and computes the waits before them. The caller serialises all calls.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// defaultRatio is how many retries each request earns. A tenth keeps the added load small if all requests fail.
	defaultRatio = 0.1
	// defaultBurst bounds the retries saved up while few are used.
	defaultBurst = 10
)

// Budget is a token bucket of retries. The zero value is empty. It is not safe for concurrent use.
type Budget struct {
	Ratio float64 // retries that each request earns; 0 means a tenth
	Burst float64 // most retries that can be saved up; 0 means 10

	tokens float64
}

// Earn records the first send of a request.
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

// Take takes one retry from the budget. It returns false if there is none.
func (b *Budget) Take() bool {
	// The tolerance is for rounding: ten tenths make a whole.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// Backoff returns random waits before retries. It is not safe for concurrent use.
type Backoff struct {
	rand *rand.Rand
}

// NewBackoff returns a Backoff whose sequence of waits is the same for equal seeds.
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
