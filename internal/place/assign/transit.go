package assign

import "time"

const (
	// transitWindow is the length of a window of call times. It is short since congestion comes and goes within seconds.
	transitWindow = 3 * time.Second
	// transitFactor times the longest recent call time bounds the transit of an abandoned call, whose packets may have
	// waited in the same queues and been retransmitted.
	transitFactor = 4
	// minTransit covers the transit between regions.
	minTransit = 100 * time.Millisecond
	// maxTransit is the delay of the slowest links with full queues.
	maxTransit = 2500 * time.Millisecond
)

// Transit tracks how long calls to servers take, to bound how long an abandoned call may still be in transit. It keeps
// the longest time of the current and the previous window. The zero value knows no calls.
type Transit struct {
	windowStart       time.Time
	current, previous time.Duration
}

func (t *Transit) roll(now time.Time) {
	switch age := now.Sub(t.windowStart); {
	case age >= 2*transitWindow:
		t.windowStart, t.current, t.previous = now, 0, 0
	case age >= transitWindow:
		t.windowStart, t.current, t.previous = now, 0, t.current
	}
}

// Observe adds the time that a call took.
func (t *Transit) Observe(now time.Time, took time.Duration) {
	t.roll(now)
	t.current = max(t.current, took)
}

// Max returns how long an abandoned call may still be in transit.
func (t *Transit) Max(now time.Time) time.Duration {
	t.roll(now)
	return min(maxTransit, max(minTransit, transitFactor*max(t.current, t.previous)))
}
