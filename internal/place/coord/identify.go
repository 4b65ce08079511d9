package coord

import (
	"context"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// identifyInterval is the least time between two questions who listens at the address of an owner that another id claims.
const identifyInterval = 250 * time.Millisecond

// addressOf returns where srv is called, nothing if that is nil.
func addressOf(srv *topo.Server) alive.Address {
	if srv == nil {
		return alive.Address{}
	}
	return alive.Address{AddrPort: srv.Address, Disputed: srv.AddressDisputed}
}

// identifyClaimed asks who listens at the address of an owner that does not answer if another id is registered there. Its answer comes
// sooner than that to the next order, which may wait for a record or for the end of an earlier call. c.mu is held.
func (c *Coordinator) identifyClaimed(now time.Time, o spans.Owner) {
	l := c.leader
	if now.Sub(l.identifiedAt[o]) < identifyInterval {
		return
	}
	srv := c.builder.ClaimedServer(o)
	if srv == nil {
		return
	}
	if l.identifiedAt == nil || len(l.identifiedAt) > maxIdentified {
		l.identifiedAt = make(map[spans.Owner]time.Time)
	}
	l.identifiedAt[o] = now
	c.runInBackground(func() { c.identify(l, srv, o) })
}

// maxIdentified bounds memory: beyond so many owners that were asked for, all times are forgotten.
const maxIdentified = 1000

// identify asks who listens at the address of srv, and notes whether the process of o has ended.
func (c *Coordinator) identify(l *leaderState, srv *topo.Server, o spans.Owner) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	start := c.cfg.Now()
	e := c.cfg.Identify(ctx, srv)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == l && e.Proves() == alive.Ended {
		c.log.Warn("process-replaced", "server", o.Server, "start", o.StartMs, "address", srv.Address)
		l.reach.Note(o, e, addressOf(srv), start)
	}
}
