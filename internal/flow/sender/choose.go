package sender

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// chooseServer returns a server with room, or errServersFull. For a keyed pool it waits for the owner.
func (c *Sender) chooseServer(now time.Time, x *Call) (*target, error) {
	w, _ := c.cfg.Snapshot()
	if w.Tables == nil {
		return nil, work.NewRefusal(ReasonNoServer, ownerRetryAfter)
	}
	if p := w.Tables.Pool(x.poolName); p != nil && p.Keyed {
		return c.waitForOwner(now, x)
	}
	servers := w.Pools[x.poolName]
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := make([]pick.Candidate, 0, len(servers))
	var denied *deniedError // of the server that may be asked for again first
	for _, s := range servers {
		if x.tried[s.Server] {
			continue
		}
		st := c.stateOf(now, s)
		if e := st.deniedUntil(now, x.Route.Priority); e != nil {
			if denied == nil || e.until.Before(denied.until) {
				denied = e
			}
			continue
		}
		if c.mustConfirm(now, x, s, st) {
			st.Start()
			return &target{Server: s, state: st}, nil
		}
		candidates = append(candidates, pick.Candidate{
			ServerStats: &st.ServerStats, Server: s, Distance: c.cfg.Location.DistanceTo(s.DC), SharedLatency: c.sharedLatency(now, s),
		})
	}
	choose := pick.Choose
	if pick.MayDraw(candidates) {
		choose = pick.Draw
	}
	i, full := choose(now, c.rnd, x.isUrgent(), candidates)
	if i < 0 && full {
		return nil, errServersFull
	}
	if i < 0 && denied != nil {
		return nil, denied
	}
	if i < 0 {
		return nil, work.NewRefusal(ReasonNoServer, c.jitter(shortRetryAfter))
	}
	t := &target{Server: candidates[i].Server, state: c.stateOf(now, candidates[i].Server)}
	t.state.Start()
	return t, nil
}

// maxSharedAge is how long shared answer times are used: without a leader, nobody renews them.
const maxSharedAge = 10 * time.Second

// SetSharedLatencies takes the mean answer times of servers to all instances.
func (c *Sender) SetSharedLatencies(now time.Time, latencies map[string]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharedLatencies, c.sharedAt = latencies, now
}

// sharedLatency returns the answer time of s that all instances saw, 0 if it is unknown. c.mu is held.
func (c *Sender) sharedLatency(now time.Time, s *topo.Server) time.Duration {
	if now.Sub(c.sharedAt) > maxSharedAge {
		return 0
	}
	return c.sharedLatencies[s.Server]
}

// target is a server chosen for an attempt.
type target struct {
	*topo.Server
	state       *serverState
	ownershipID string // empty unless the server was chosen as the key's owner
}
