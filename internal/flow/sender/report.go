package sender

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
)

// ServerLatency holds the answers of a server to this instance since the last report.
type ServerLatency struct {
	Server      string
	AnswerCount int
	MeanLatency time.Duration
}

// Report is what one instance tells the leader.
type Report struct {
	KeyLoads  map[PoolKey]int
	Latencies []ServerLatency
	Strikes   []crash.Strike
}

const (
	// maxStrikeAge is how long a strike is included in reports: in a few of them.
	maxStrikeAge = 5 * time.Second
	// maxUnused is how long the connections to a server are kept without requests to it.
	maxUnused = 30 * time.Second
)

// TakeReport returns the report since the last call and drops the state of unused servers.
func (c *Sender) TakeReport(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{KeyLoads: c.keyLoads, Strikes: c.crashes.RecentStrikes(now, maxStrikeAge)}
	c.keyLoads = make(map[PoolKey]int)
	w, _ := c.cfg.Snapshot()
	exists := make(map[string]bool, len(w.Servers))
	for _, s := range w.Servers {
		exists[s.Incarnation()] = true
		st := c.servers[s.Incarnation()]
		if st == nil {
			continue
		}
		if n, mean := st.TakeReport(); n > 0 {
			r.Latencies = append(r.Latencies, ServerLatency{s.Server, n, mean})
		}
	}
	c.cfg.Limits.Prune(now, func(incarnation string) bool { return exists[incarnation] })
	for id, st := range c.servers {
		if st.InFlight() == 0 && now.Sub(st.lastUsed) > maxUnused {
			st.pool.Close()
			delete(c.servers, id)
		}
	}
	return r
}

// RecentStrikes returns the recent strikes known here, for other instances.
func (c *Sender) RecentStrikes(now time.Time) []crash.Strike {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.RecentStrikes(now, maxStrikeAge)
}

// MergeStrikes adds strikes reported by other instances.
func (c *Sender) MergeStrikes(now time.Time, strikes []crash.Strike) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.Merge(now, strikes)
}
