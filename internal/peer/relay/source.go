package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
)

// Source is a place to read the stream from.
type Source struct {
	Name  string // stable; failures are counted by it
	IsLog bool   // the log itself, not a relay
	// Read returns records from offset from on, at most limit, and waits up to wait for the first.
	Read func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error)
}

const (
	minRetryPause = 250 * time.Millisecond
	// maxLogRetryPause is short, so that an accepted configuration is in force within 7 s of the log's return.
	maxLogRetryPause = 3 * time.Second
	// maxRelayRetryPause is longer, since each trial of an unreachable relay delays the records by trialTimeout.
	maxRelayRetryPause = 15 * time.Second
	// recoveryTime is how long a source has to serve before its earlier failures no longer count.
	recoveryTime = 30 * time.Second
)

// sourceHealth is the record of one source. The zero value is a source never tried.
type sourceHealth struct {
	pause        time.Duration // after the last failure; doubles
	retryAt      time.Time     // not tried before
	healthySince time.Time     // of the first success after the last failure, zero if none
	lastTried    time.Time     // last tried
}

func (h *sourceHealth) noteSuccess(now time.Time) {
	h.lastTried = now
	if h.healthySince.IsZero() {
		h.healthySince = now
	}
	if now.Sub(h.healthySince) >= recoveryTime {
		h.pause = 0
	}
}

func (h *sourceHealth) noteFailure(now time.Time, isLog bool, rnd *rand.Rand) {
	maxPause := maxRelayRetryPause
	if isLog {
		maxPause = maxLogRetryPause
	}
	h.pause = min(max(2*h.pause, minRetryPause), maxPause)
	h.healthySince, h.lastTried = time.Time{}, now
	// The jitter keeps readers that lost the same relay from returning to it together.
	h.retryAt = now.Add(h.pause + time.Duration(rnd.Int64N(int64(h.pause)/2)))
}

// chooseSource returns the first source that is not resting. If all are, it returns when the first of them may be tried.
func chooseSource(now time.Time, sources []Source, health map[string]*sourceHealth) (src Source, retryAt time.Time, ok bool) {
	for _, s := range sources {
		h := health[s.Name]
		if h == nil || !now.Before(h.retryAt) {
			return s, now, true
		}
		if retryAt.IsZero() || h.retryAt.Before(retryAt) {
			retryAt = h.retryAt
		}
	}
	return Source{}, retryAt, false
}
