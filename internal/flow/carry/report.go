package carry

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
)

// Seen is what the instance observed of a server since the last report.
type Seen struct {
	Server  string
	Answers int
	Mean    time.Duration
}

// Report is what one instance tells the leader.
type Report struct {
	Loads   map[Key]int
	Seen    []Seen
	Strikes []crash.Strike
}

const (
	// strikeAge is how long a strike is passed on: a few reports.
	strikeAge = 5 * time.Second
	// unused is how long the connections to a server are kept that no request was sent to.
	unused = 30 * time.Second
)

// Report returns what happened since the last call and forgets servers that are not used any more.
func (c *Carrier) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Loads: c.loads, Strikes: c.strikes.Recent(now, strikeAge)}
	c.loads = make(map[Key]int)
	w, _ := c.cfg.World()
	for _, s := range w.Servers {
		st := c.servers[stateID(s)]
		if st == nil {
			continue
		}
		if n, mean := st.TakeReport(); n > 0 {
			r.Seen = append(r.Seen, Seen{s.Server, n, mean})
		}
	}
	for id, st := range c.servers {
		if st.InFlight() == 0 && now.Sub(st.used) > unused {
			st.pool.Close()
			delete(c.servers, id)
		}
	}
	return r
}

// Strikes returns the recent strikes known here, for other instances.
func (c *Carrier) Strikes(now time.Time) []crash.Strike {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.strikes.Recent(now, strikeAge)
}

// Learn adds strikes that other instances know.
func (c *Carrier) Learn(now time.Time, strikes []crash.Strike) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strikes.Merge(now, strikes)
}
