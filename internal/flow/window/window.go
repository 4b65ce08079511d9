// Package window bounds how many requests an instance has in flight at the servers of a pool in one region, by how full these say that
// they are. With many instances, each sees a given server too rarely to know its queue, but a few answers of any of them show how full
// the pool is. A full server rejects requests by closing their connections, which leaves unknown whether they ran. The package reads
// no clock.
package window

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/load"
)

const (
	// maxFill is the number of requests at a server, running and waiting, for each of its slots, above which the window shrinks. Servers
	// reject at a fill that they don't tell; those that are known to do so, at 5. Below 3, slots were idle at times under 2.4 times the
	// load that the servers can run, as instances see only a sample.
	maxFill = 3.6
	// gain is the part of a relative deviation from maxFill by which an answer changes the window, maxRaise and maxLower the bounds of
	// the change. An instance that gets ten answers a second halves its window in half a second.
	gain     = 0.25
	maxRaise = 0.1
	maxLower = 0.2
	// rejectFactor applies when a request seems to have been rejected, at most once in rejectPause: a server that rejects one
	// closes several connections at once.
	rejectFactor = 0.8
	rejectPause  = 100 * time.Millisecond
	// minLimit keeps single requests going, whose answers show that there is room again.
	minLimit = 0.5
	// spareFactor and spareRequests bound the window by the most requests lately in flight: one that is not used says nothing about the
	// servers. peakDecay is the factor by which an answer lowers that peak.
	spareFactor, spareRequests = 2, 6
	peakDecay                  = 0.97
	// urgentFactor and urgentExtra are the room beyond the window for requests of which less urgent ones are sent too. They
	// fill the servers, whose reports then shrink the window for the others.
	urgentFactor, urgentExtra = 1.5, 1
	// rankMemory is how long after a request of a priority others count as more urgent than those sent too.
	rankMemory = 2 * time.Second
)

// Window is the bound for one pool and region. The zero value has no bound until a server reports its load. It is not safe for
// concurrent use.
type Window struct {
	limit      float64 // 0 means none
	inFlight   int
	peak       float64 // of requests lately in flight
	rejectedAt time.Time
	lowest     int // least urgent priority sent or asked for lately
	lowestAt   time.Time
}

// HasRoom reports whether a request of a priority, 0 being the most urgent, may be sent.
func (w *Window) HasRoom(now time.Time, priority int) bool {
	if priority >= w.lowest || now.Sub(w.lowestAt) > rankMemory {
		w.lowest, w.lowestAt = priority, now
	}
	if w.limit == 0 {
		return true
	}
	limit := max(1, w.limit)
	if priority < w.lowest {
		limit = limit*urgentFactor + urgentExtra
	}
	return float64(w.inFlight) < limit
}

// Start records that a request is sent.
func (w *Window) Start() {
	w.inFlight++
	w.peak = max(w.peak, float64(w.inFlight))
}

// Finish records that a request has ended.
func (w *Window) Finish() { w.inFlight-- }

// Observe takes the load that a server has reported with an answer.
func (w *Window) Observe(r load.Report) {
	w.peak = max(float64(w.inFlight), w.peak*peakDecay)
	highest := w.peak*spareFactor + spareRequests
	if w.limit == 0 {
		w.limit = highest
	}
	fill := float64(r.Running+r.Waiting) / float64(r.Slots)
	w.limit *= 1 + min(max(gain*(1-fill/maxFill), -maxLower), maxRaise)
	w.limit = max(minLimit, min(w.limit, highest))
}

// Reject records that a connection broke before the answer, which may be due to a full server.
func (w *Window) Reject(now time.Time) {
	if w.limit == 0 || now.Sub(w.rejectedAt) < rejectPause {
		return
	}
	w.rejectedAt = now
	w.limit = max(minLimit, w.limit*rejectFactor)
}
