package sender

import (
	"net/netip"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/allow"
	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/load"
	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/flow/window"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

// serverState is the state kept for one incarnation of a backend server.
type serverState struct {
	pick.ServerStats
	allow.Notices
	denial
	window   *window.Window
	pool     *conns.Pool
	addr     netip.AddrPort
	lastUsed time.Time
	// confirmedAt is when a request was last sent to learn whether the server's limit has ended.
	confirmedAt time.Time
}

// stateOf returns the state of a server and updates its share. c.mu is held.
func (c *Sender) stateOf(now time.Time, s *topo.Server) *serverState {
	id := s.Incarnation()
	st := c.servers[id]
	if st == nil || st.addr != s.Address {
		st = &serverState{pool: conns.NewWith(s.Address, c.connShare(s), c.cfg.ConnOptions), addr: s.Address}
		st.window = c.windowOf(s)
		c.servers[id] = st
	}
	st.lastUsed, st.Share = now, requestsPerSlot*float64(s.Slots)/float64(max(1, c.cfg.InstanceCount()))
	return st
}

// requestsPerSlot is how many requests a server takes for each slot: one runs and two wait, which at usual answer times
// still meet their target latency.
const requestsPerSlot = 3

// connShare returns how many connections to s this instance may open: an equal share of what the server accepts, less a
// fifth for connections being closed.
func (c *Sender) connShare(s *topo.Server) int {
	w, _ := c.cfg.Snapshot()
	if w.Tables == nil {
		return s.Slots
	}
	p := w.Tables.Pool(s.Pool)
	if p == nil || p.Connections == 0 {
		return 2 * s.Slots
	}
	return max(2, p.Connections*4/5/max(1, c.cfg.InstanceCount()))
}

// windowKey identifies the servers that share a window.
type windowKey struct{ pool, region string }

// windowOf returns the window that s shares with the other servers of its pool and region. A server of a keyed pool has one of its own,
// which stays without bound: nobody else can serve its keys. c.mu is held.
func (c *Sender) windowOf(s *topo.Server) *window.Window {
	snap, _ := c.cfg.Snapshot()
	if snap.Tables != nil {
		if p := snap.Tables.Pool(s.Pool); p != nil && p.Keyed {
			return new(window.Window)
		}
	}
	k := windowKey{s.Pool, c.cfg.Location.Region[s.DC]}
	w := c.windows[k]
	if w == nil {
		w = new(window.Window)
		c.windows[k] = w
	}
	return w
}

// start records that a request is sent to the server. Sender.mu is held.
func (st *serverState) start() {
	st.Start()
	st.window.Start()
}

// finish records how a request ended. Sender.mu is held.
func (st *serverState) finish(now time.Time, out limit.Outcome, took, objective time.Duration, failure bool) {
	st.Finish(now, out, took, objective, failure)
	st.window.Finish()
}

// observeLoad records the load that the server has reported. Sender.mu is held.
func (st *serverState) observeLoad(now time.Time, keyed bool, r load.Report) {
	st.ObserveLoad(now, r)
	if !keyed {
		st.window.Observe(r)
	}
}
