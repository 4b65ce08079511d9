// Package allow decides whether an instance may send a request to a server now and, if not, until when and why. All that sends
// requests asks it: the choice of a server, the owner of a key, retries, and requests that wait. It reads no clock.
package allow

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/evac"
)

// Reason says why a request may not be sent to a server.
type Reason uint8

// The reasons. None is that of a request that may be sent.
const (
	None      Reason = iota
	Region           // the route is not allowed in the server's region
	Evacuated        // the server's data centre is evacuated
	Leaving          // the server leaves
	AskedAway        // the server has asked to be left alone
	Failing          // the last requests to the server failed
	Cold             // the server is cold and gets as many requests as it takes
	Limit            // the server gets as many requests as it has named as its limit
)

// String returns the form used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"", "region", "evacuated", "leaving", "asked-away", "failing", "cold", "limit"}[r]
}

// Verdict says whether a request may be sent. Until is when a request that may not be sent should be decided on again, zero if
// that depends on more than time.
type Verdict struct {
	Reason
	Until time.Time
}

// OK reports whether the request may be sent.
func (v Verdict) OK() bool { return v.Reason == None }

const (
	// OwnerGrace is how long a registered server that leaves still gets requests for its keys after this instance learns of it. It
	// must get none 2.5 s after it said so; learning of that takes up to 1.9 s while the leader is lost.
	OwnerGrace = 500 * time.Millisecond
	// arrivalMargin is how much earlier than the platform's bound requests to a server that leaves end, for their transit.
	arrivalMargin = 500 * time.Millisecond
	// maxAway bounds the time for which a server may ask to be left alone: longer ones come from faulty servers.
	maxAway = time.Minute
)

// Notices is what a server has said of itself in answers to this instance. The zero value is for one that has said nothing.
type Notices struct {
	leavingAt time.Time // when it first said that it leaves
	awayUntil time.Time
}

// ObserveLeaving takes an answer in which the server says that it leaves.
func (n *Notices) ObserveLeaving(now time.Time) {
	if n.leavingAt.IsZero() {
		n.leavingAt = now
	}
}

// ObserveAway takes a refusal in which the server asks to be left alone for d. A later one replaces it.
func (n *Notices) ObserveAway(now time.Time, d time.Duration) { n.awayUntil = now.Add(min(d, maxAway)) }

// Facts is what decides on a request to a server. Zero times stand for what does not apply.
type Facts struct {
	Notices
	// InRegion tells that the request's route is allowed in the server's region.
	InRegion bool
	// Owner tells that only this server holds the request's key.
	Owner bool
	// EvacuatedSince is when this instance learnt that the server's data centre is evacuated.
	EvacuatedSince time.Time
	// LeavingSince is when this instance learnt from the server's registration that it leaves.
	LeavingSince time.Time
	// HeldUntil is when the server may be tried again after failures.
	HeldUntil time.Time
	// DrainTime is how long a server that says that it leaves in an answer may still get requests.
	DrainTime time.Duration
}

// Check decides on a request. The limits of cold servers and those that servers have named are left to permits, which are asked for
// once a server has been chosen.
func Check(now time.Time, f Facts) Verdict {
	switch {
	case !f.InRegion:
		return Verdict{Reason: Region}
	case !f.EvacuatedSince.IsZero() && (!f.Owner || now.Sub(f.EvacuatedSince) > evac.OwnerGrace):
		return Verdict{Reason: Evacuated}
	case !f.LeavingSince.IsZero() && (!f.Owner || now.Sub(f.LeavingSince) > OwnerGrace),
		!f.leavingAt.IsZero() && (!f.Owner || now.Sub(f.leavingAt) > f.DrainTime-arrivalMargin):
		return Verdict{Reason: Leaving}
	case now.Before(f.awayUntil):
		return Verdict{Reason: AskedAway, Until: f.awayUntil}
	case now.Before(f.HeldUntil):
		return Verdict{Reason: Failing, Until: f.HeldUntil}
	}
	return Verdict{}
}
