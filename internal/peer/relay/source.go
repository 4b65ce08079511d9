package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
)

// Source is a place to read the stream from.
type Source struct {
	Name string // stable; failures are counted by it
	Log  bool   // the log itself, not a relay
	// Read returns records from offset from on, at most limit, and waits up to wait for the first.
	Read func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error)
}

const (
	firstRest = 250 * time.Millisecond
	// restMaxLog is short, so that an accepted configuration is in force within 7 s of the log's return.
	restMaxLog = 3 * time.Second
	// restMaxRelay is longer, since each trial of an unreachable relay delays the records by trialTimeout.
	restMaxRelay = 15 * time.Second
	// forgive is how long a source has to serve before its earlier failures no longer count.
	forgive = 30 * time.Second
)

// health is the record of one source. The zero value is a source never tried.
type health struct {
	rest    time.Duration // after the last failure; doubles
	until   time.Time     // not tried before
	healthy time.Time     // of the first success after the last failure, zero if none
	seen    time.Time     // last tried
}

func (h *health) succeed(now time.Time) {
	h.seen = now
	if h.healthy.IsZero() {
		h.healthy = now
	}
	if now.Sub(h.healthy) >= forgive {
		h.rest = 0
	}
}

func (h *health) fail(now time.Time, log bool, rnd *rand.Rand) {
	limit := restMaxRelay
	if log {
		limit = restMaxLog
	}
	h.rest = min(max(2*h.rest, firstRest), limit)
	h.healthy, h.seen = time.Time{}, now
	// The jitter keeps readers that lost the same relay from returning to it together.
	h.until = now.Add(h.rest + time.Duration(rnd.Int64N(int64(h.rest)/2)))
}

// choose returns the first source that is not resting. If all are, it returns when the first of them may be tried.
func choose(now time.Time, sources []Source, known map[string]*health) (src Source, retry time.Time, ok bool) {
	for _, s := range sources {
		h := known[s.Name]
		if h == nil || !now.Before(h.until) {
			return s, now, true
		}
		if retry.IsZero() || h.until.Before(retry) {
			retry = h.until
		}
	}
	return Source{}, retry, false
}
