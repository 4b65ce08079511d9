package keep

import "time"

const (
	// gathered is how long no server has registered before the keys of a pool are dealt for the first time: longer than the
	// interval of heartbeats, at which servers that start together are seen.
	gathered = 1200 * time.Millisecond
	// gatherMost bounds that wait where servers go on joining.
	gatherMost = 4 * time.Second
)

// Gather decides when the keys of a pool without owners are dealt: keys that a few early servers get have to be moved under
// load. The zero value knows no servers.
type Gather struct {
	servers      int
	first, since time.Time // first server, latest change
}

// Ready reports whether the keys should be dealt to the servers that are known.
func (g *Gather) Ready(now time.Time, servers int) bool {
	if servers != g.servers {
		g.servers, g.since = servers, now
		if g.first.IsZero() {
			g.first = now
		}
	}
	return servers > 0 && (now.Sub(g.since) >= gathered || now.Sub(g.first) >= gatherMost)
}
