package sender

import (
	"net/netip"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/allow"
	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

// serverState is the state kept for one incarnation of a backend server.
type serverState struct {
	pick.ServerStats
	allow.Notices
	denial
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
