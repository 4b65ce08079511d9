package mirror

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

const (
	// minOutage is how long reads must fail before entries of live servers may have lapsed: three heartbeats of under a
	// second each.
	minOutage = 1500 * time.Millisecond
	// maxFailureAge is how old the latest failure of an outage may be. An instance that needs the store reads it more often;
	// another can't tell whether the outage lasted.
	maxFailureAge = 2 * time.Second
	// ReregisterTime is how long live servers may take to register again; the platform specifies about two seconds.
	ReregisterTime = 2300 * time.Millisecond
)

// RemovalHold delays the removal of entries that may have lapsed only because the store was unavailable. It is not safe
// for concurrent use.
type RemovalHold struct {
	firstFailure time.Time // first failure in a row, zero if the last read succeeded
	lastFailure  time.Time // latest failure
	holdUntil    time.Time // removals are delayed until then
}

// NoteFailure records that a read of the store failed at now.
func (g *RemovalHold) NoteFailure(now time.Time) {
	if g.firstFailure.IsZero() || now.Sub(g.lastFailure) > maxFailureAge {
		g.firstFailure = now
	}
	g.lastFailure = now
}

// NoteSuccess records that the store was read at now.
func (g *RemovalHold) NoteSuccess(now time.Time) {
	if !g.firstFailure.IsZero() && now.Sub(g.firstFailure) > minOutage && now.Sub(g.lastFailure) <= maxFailureAge {
		g.holdUntil = now.Add(ReregisterTime)
	}
	g.firstFailure = time.Time{}
}

// NoteRestored records that the store came back at now from an older copy, which may lack live servers.
func (g *RemovalHold) NoteRestored(now time.Time) { g.holdUntil = now.Add(ReregisterTime) }

// Filter records a successful read at now and returns what of it to apply. While removals are delayed, they are left out
// and the batch ends at the first, so that the next read returns it again.
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
