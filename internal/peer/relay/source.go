package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
)

// Source is the log or a relay from which the stream can be read.
type Source struct {
	Name  string // stable; identifies the source's health
	IsLog bool   // the log itself, not a relay
	// Read returns at most limit records, starting at offset from, and waits up to wait for the first one.
	Read func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error)
}

const (
	minRetryPause = 250 * time.Millisecond
	// maxLogRetryPause is short, so that an accepted configuration is in force within 7 s of the log's return.
	maxLogRetryPause = 3 * time.Second
	// maxRelayRetryPause is longer, since each read from an unreachable relay delays the records by trialTimeout.
	maxRelayRetryPause = 15 * time.Second
	// recoveryTime is how long a source must serve without failure before its earlier failures no longer count.
	recoveryTime = 30 * time.Second
)

// sourceHealth tracks the failures of one source. The zero value is for a source that was never tried.
type sourceHealth struct {
	pause        time.Duration // after the last failure; doubles with each
	retryAt      time.Time     // earliest time of the next read
	healthySince time.Time     // first success after the last failure, zero if none
	lastTried    time.Time
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
	// The jitter keeps readers that lost the same relay from returning to it at the same moment.
	h.retryAt = now.Add(h.pause + time.Duration(rnd.Int64N(int64(h.pause)/2)))
}

// chooseSource returns the first source that may be tried now. If there is none, it returns when the next one may be.
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
