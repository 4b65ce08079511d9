package coord

import (
	"context"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/permit"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// limitNewsTime is how long pushes carry a limit that has ended: each member gets some of them.
const limitNewsTime = 2 * time.Second

// AskPermits asks the leader for permits to send, or decides if this instance leads.
func (c *Coordinator) AskPermits(ctx context.Context, r *sitepb.PermitRequest) (*sitepb.PermitReply, error) {
	c.mu.Lock()
	leading, leader := c.leader != nil, c.member.leader
	silent := c.cfg.Now().Sub(c.member.heardAt) >= elect.LeaderTimeout
	c.mu.Unlock()
	switch {
	case leading:
		return c.handlePermits(r), nil
	case leader == "" || silent:
		return nil, permit.ErrNoLeader
	}
	return c.client.Permit(ctx, leader, r)
}

// handlePermits decides on the requests of an instance, unless another one may lead.
func (c *Coordinator) handlePermits(r *sitepb.PermitRequest) *sitepb.PermitReply {
	c.mu.Lock()
	l := c.leader
	leading := l != nil && !l.resigning && c.mayAct(c.cfg.Now())
	c.mu.Unlock()
	if !leading {
		return new(sitepb.PermitReply)
	}
	return permit.Answer(time.Now(), l.permits, r)
}

// namedRate returns the limit of a server that has named one or is cold.
func (c *Coordinator) namedRate(s *topo.Server) (rate float64, ok bool) {
	return c.cfg.Limits.Rate(time.Now(), s.Incarnation())
}

// currentLimits returns the limits for a push, so that also members that have just started know them.
func (c *Coordinator) currentLimits(now time.Time) []*sitepb.Limit {
	return permit.EncodeLimits(now, c.cfg.Limits.Current(now.Add(-limitNewsTime)))
}
