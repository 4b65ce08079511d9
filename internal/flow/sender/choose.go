package sender

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/allow"
	"github.com/bramleycove/bramleycove/internal/flow/cold"
	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/flow/region"
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
	c.mu.Lock()
	defer c.mu.Unlock()
	var warm, coldOnes []pick.Candidate
	windowFull := false
	regions := region.OfRequest(w, x.Route, x.Host, x.URI)
	f := failure{earliest: &deniedError{}}
	for _, s := range w.Pools[x.poolName] {
		if x.tried[s.Server] {
			continue
		}
		st := c.stateOf(now, s)
		if v := allow.Check(now, c.facts(w, regions, s, st, false)); !v.OK() {
			f.add(v)
			continue
		}
		if e := st.deniedUntil(now, x.Route.Priority); e != nil {
			f.addDenied(e)
			continue
		}
		if c.mustConfirm(now, x, s, st) {
			st.start()
			return &target{Server: s, state: st}, nil
		}
		if !st.window.HasRoom(now, x.Route.Priority) {
			windowFull = true
			continue
		}
		d := pick.Candidate{
			ServerStats: &st.ServerStats, Server: s, Distance: c.cfg.Location.DistanceTo(s.DC), SharedLatency: c.sharedLatency(now, s),
		}
		if _, isCold := cold.Rate(now, w, s); isCold {
			coldOnes = append(coldOnes, d)
		} else {
			warm = append(warm, d)
		}
	}
	t, full := c.pickServer(now, x, warm)
	if t == nil {
		// The few requests that cold servers take are left to callers whom no other server has room for.
		var coldFull bool
		t, coldFull = c.pickServer(now, x, coldOnes)
		full = full || coldFull
	}
	switch {
	case t != nil:
		return t, nil
	case full || windowFull:
		return nil, errServersFull
	}
	return nil, c.failureError(&f)
}

// pickServer picks one of the candidates, or returns nil. full reports whether a ready server had no room. c.mu is held.
func (c *Sender) pickServer(now time.Time, x *Call, candidates []pick.Candidate) (t *target, full bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	choose := pick.Choose
	if pick.MayDraw(candidates) {
		choose = pick.Draw
	}
	i, full := choose(now, c.rnd, x.isUrgent(), candidates)
	if i < 0 {
		return nil, full
	}
	t = &target{Server: candidates[i].Server, state: c.stateOf(now, candidates[i].Server)}
	t.state.start()
	return t, full
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
