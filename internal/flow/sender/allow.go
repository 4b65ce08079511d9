package sender

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/allow"
	"github.com/bramleycove/bramleycove/internal/flow/region"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// regionRetryAfter is the Retry-After time of requests that no server in their regions may get. An evacuation takes seconds, and
// callers obey a third of their remaining time at most.
const regionRetryAfter = time.Second

// facts returns what decides on a request that is allowed in the given regions to a server with the state st. owner tells that only
// this server holds the request's key. c.mu is held.
func (c *Sender) facts(w *topo.Snapshot, regions []string, s *topo.Server, st *serverState, owner bool) allow.Facts {
	f := allow.Facts{
		Notices: st.Notices, Owner: owner, HeldUntil: st.HeldUntil(), DrainTime: c.cfg.DrainTime,
		InRegion: region.Allows(regions, c.cfg.Location, s.DC),
	}
	f.EvacuatedSince, _ = w.Evacuations.Since(s.DC)
	if s.Leaving {
		f.LeavingSince = s.LeavingSince
	}
	return f
}

// failure collects why servers may not get a request.
type failure struct {
	earliest *deniedError // of the server that may be asked for again first; its time is zero if there is none
	reason   allow.Reason // of the last server that may not get it whatever the time
}

func (f *failure) add(v allow.Verdict) {
	if v.Reason == allow.AskedAway {
		f.addDenied(&deniedError{denial{until: v.Until, returnAt: v.Until, reason: ReasonAskedAway}})
		return
	}
	f.reason = max(f.reason, v.Reason)
}

func (f *failure) addDenied(e *deniedError) {
	if f.earliest.until.IsZero() || e.until.Before(f.earliest.until) {
		f.earliest = e
	}
}

// failureError returns the error for a request that no server may get. c.mu is held.
func (c *Sender) failureError(f *failure) error {
	switch {
	case !f.earliest.until.IsZero():
		return f.earliest
	case f.reason == allow.Region:
		return work.NewRefusal(ReasonRegion, c.jitter(regionRetryAfter))
	}
	return work.NewRefusal(ReasonNoServer, c.jitter(shortRetryAfter))
}

// verdictError returns the error for a request whose only server may not get it. c.mu is held.
func (c *Sender) verdictError(v allow.Verdict) error {
	f := failure{earliest: &deniedError{}}
	if f.add(v); v.Reason == allow.Region || v.Reason == allow.AskedAway {
		return c.failureError(&f)
	}
	return work.NewRefusal(ReasonNoOwner, c.jitter(ownerRetryAfter))
}
