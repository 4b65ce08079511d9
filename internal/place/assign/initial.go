package assign

import "time"

const (
	// initialQuiet is how long no server has registered before the keys of a pool are dealt for the first time: longer than the
	// interval of heartbeats, at which servers that start together are seen.
	initialQuiet = 1200 * time.Millisecond
	// maxInitialDelay bounds that wait where servers go on joining.
	maxInitialDelay = 4 * time.Second
)

// InitialDelay decides when the keys of a pool without owners are dealt: keys that a few early servers get have to be moved under
// load. The zero value knows no servers.
type InitialDelay struct {
	count              int
	firstAt, changedAt time.Time // first server, latest change
}

// Ready reports whether the keys should be dealt to the servers that are known.
func (g *InitialDelay) Ready(now time.Time, servers int) bool {
	if servers != g.count {
		g.count, g.changedAt = servers, now
		if g.firstAt.IsZero() {
			g.firstAt = now
		}
	}
	return servers > 0 && (now.Sub(g.changedAt) >= initialQuiet || now.Sub(g.firstAt) >= maxInitialDelay)
}
