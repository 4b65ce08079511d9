package lease

import (
	"maps"
	"slices"
	"time"
)

// goneAfter is how long the platform must not have shown a witness before it counts as gone.
const goneAfter = time.Minute

// AbsenceTracker tracks since when the platform has not shown witnesses. The zero value has seen none. It is not safe for
// concurrent use.
type AbsenceTracker struct {
	lastShown map[string]time.Time
}

// Update notes at now which of ids are shown, and returns those that count as gone. Ids that are not named any more
// are forgotten.
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
