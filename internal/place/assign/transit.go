package assign

import "time"

const (
	// transitWindow is how long the time of a call counts: congestion comes and goes within seconds.
	transitWindow = 3 * time.Second
	// transitFactor of the longest recent call bounds the way of one that was given up, whose packets may have waited in
	// the same queues and been repeated.
	transitFactor = 4
	// minTransit covers the way between regions.
	minTransit = 100 * time.Millisecond
	// maxTransit is the longest that full queues of the narrowest links hold.
	maxTransit = 2500 * time.Millisecond
)

// Transit follows how long calls to servers take, to bound how long one that was given up may still be on its way. It
// keeps the longest of the present window and of the one before. The zero value knows no calls.
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

// Observe adds a call that took so long.
func (t *Transit) Observe(now time.Time, took time.Duration) {
	t.roll(now)
	t.current = max(t.current, took)
}

// Max returns how long a call that was given up may still be on its way.
func (t *Transit) Max(now time.Time) time.Duration {
	t.roll(now)
	return min(maxTransit, max(minTransit, transitFactor*max(t.current, t.previous)))
}
