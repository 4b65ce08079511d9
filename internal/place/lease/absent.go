package lease

import (
	"maps"
	"slices"
	"time"
)

// goneAfter is how long a witness must be absent from the platform's list before it counts as gone.
const goneAfter = time.Minute

// AbsenceTracker tracks how long witnesses have been absent from the platform's list. The zero value is empty. It is not
// safe for concurrent use.
type AbsenceTracker struct {
	lastShown map[string]time.Time
}

// Update records which of ids are shown at now, and returns those that count as gone. A new id counts as shown; ids that
// are no longer passed are eventually dropped.
func (a *AbsenceTracker) Update(now time.Time, ids []string, shows func(id string) bool) map[string]bool {
	if a.lastShown == nil {
		a.lastShown = make(map[string]time.Time)
	}
	if len(a.lastShown) > 2*len(ids)+64 {
		maps.DeleteFunc(a.lastShown, func(id string, _ time.Time) bool { return !slices.Contains(ids, id) })
	}
	gone := make(map[string]bool)
	for _, id := range ids {
		if last, ok := a.lastShown[id]; !ok || shows(id) {
			a.lastShown[id] = now
		} else if now.Sub(last) >= goneAfter {
			gone[id] = true
		}
	}
	return gone
}
