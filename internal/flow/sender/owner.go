package sender

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/allow"
	"github.com/bramleycove/bramleycove/internal/flow/region"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// waitForOwner returns the server that holds the request's key. It waits while the key moves or has no usable owner.
func (c *Sender) waitForOwner(now time.Time, x *Call) (*target, error) {
	n, err := strconv.ParseUint(x.Key, 10, 16)
	if err != nil {
		return nil, &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusBadRequest, Reason: ReasonBadKey}
	}
	key := uint16(n)
	c.countLoad(PoolKey{x.poolName, key}, x)
	until := now.Add(maxMoveWait)
	if limit := x.Deadline.Add(-minTimeLeft); limit.Before(until) {
		until = limit
	}
	for {
		w, changed := c.cfg.Snapshot()
		span, moving := w.Owners[x.poolName].Find(key), w.MovingRangeOf(x.poolName, key)
		if moving != nil && moving.Until.After(until) {
			// Don't wait: the keys are served again only when the holder's lease has ended.
			return nil, work.NewRefusal(ReasonKeyMoving, moving.Until.Sub(now))
		}
		if span != nil && moving == nil {
			s := w.Servers[span.Server]
			usable := s != nil && s.Owner == span.Owner && !c.leftOwnership(now, w, s)
			switch tried := usable && x.tried[ownershipID(s, span.Fence)]; {
			case tried && x.serverFull:
				// The owner is full, and no other owner is expected.
				return nil, c.busyRefusal(now, x)
			case usable && !tried:
				return c.ownerTarget(now, x, s, span.Fence)
			}
		}
		if !waitForChange(x.CallerCtx, changed, until) {
			reason := ReasonKeyMoving
			if span == nil {
				reason = ReasonNoOwner
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			return nil, work.NewRefusal(reason, c.jitter(ownerRetryAfter))
		}
	}
}

// ownershipID identifies a server's ownership of keys under one fence.
func ownershipID(s *topo.Server, fence uint64) string {
	return s.Server + strconv.FormatUint(fence, 10)
}

// leftOwnership reports whether the keys of s should have another owner by now, for which requests wait.
func (c *Sender) leftOwnership(now time.Time, w *topo.Snapshot, s *topo.Server) bool {
	f := allow.Facts{Owner: true, InRegion: true}
	f.EvacuatedSince, _ = w.Evacuations.Since(s.DC)
	if s.Leaving {
		f.LeavingSince = s.LeavingSince
	}
	return !allow.Check(now, f).OK()
}

// waitForChange returns true when changed is closed, and false at until or when ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// ownerTarget returns s, the owner of the key, as target if it is ready and has room.
func (c *Sender) ownerTarget(now time.Time, x *Call, s *topo.Server, fence uint64) (*target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.stateOf(now, s)
	w, _ := c.cfg.Snapshot()
	if v := allow.Check(now, c.facts(w, region.OfRequest(w, x.Route, x.Host, x.URI), s, st, true)); !v.OK() {
		return nil, c.verdictError(v)
	}
	if e := st.deniedUntil(now, x.Route.Priority); e != nil {
		return nil, e
	}
	if !st.HasRoom(now, x.isUrgent()) {
		return nil, errServersFull
	}
	ownership := ownershipID(s, fence)
	x.tried[ownership] = true
	st.start()
	return &target{Server: s, state: st, ownershipID: ownership}, nil
}

// countLoad counts the request once in the load of its key.
func (c *Sender) countLoad(k PoolKey, x *Call) {
	if x.loadCounted {
		return
	}
	x.loadCounted = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyLoads[k]++
}
