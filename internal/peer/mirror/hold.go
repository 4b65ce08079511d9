package mirror

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

const (
	// minOutage is how long reads fail before entries may have lapsed without a fault of their server: three heartbeats of
	// under a second each.
	minOutage = 1500 * time.Millisecond
	// maxFailureAge is how old the latest failure of an outage may be: an instance that needs the store tries it more often, and
	// one that does not knows nothing of the time since.
	maxFailureAge = 2 * time.Second
	// reregisterTime is how long after an outage live servers may take to register again; the platform states about two seconds.
	reregisterTime = 2300 * time.Millisecond
)

// RemovalHold holds back the removal of entries that may have lapsed only because the store was away. It is not safe for
// concurrent use.
type RemovalHold struct {
	firstFailure time.Time // start of the failures, zero if the last read succeeded
	lastFailure  time.Time // latest failure
	holdUntil    time.Time // removals are held back until then
}

// NoteFailure notes that the store could not be read at now.
func (g *RemovalHold) NoteFailure(now time.Time) {
	if g.firstFailure.IsZero() || now.Sub(g.lastFailure) > maxFailureAge {
		g.firstFailure = now
	}
	g.lastFailure = now
}

// NoteSuccess notes that the store was read at now.
func (g *RemovalHold) NoteSuccess(now time.Time) {
	if !g.firstFailure.IsZero() && now.Sub(g.firstFailure) > minOutage && now.Sub(g.lastFailure) <= maxFailureAge {
		g.holdUntil = now.Add(reregisterTime)
	}
	g.firstFailure = time.Time{}
}

// Filter notes a successful read at now and returns what of it to apply: while removals are held back, only the records
// before the first one, so that the next read brings it again.
func (g *RemovalHold) Filter(now time.Time, b keyed.Batch) keyed.Batch {
	g.NoteSuccess(now)
	if !now.Before(g.holdUntil) {
		return b
	}
	out := keyed.Batch{End: b.End}
	for _, e := range b.Entries {
		if len(e.Value) == 0 {
			out.End = min(out.End, e.Offset)
			continue
		}
		out.Entries = append(out.Entries, e)
	}
	return out
}
