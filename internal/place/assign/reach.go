package assign

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// maxSilence is how long grants to a server may fail before its keys are given to others.
	maxSilence = 1500 * time.Millisecond
	// minNotListening is the least time between the first and last order that found a server's address not listening for its
	// process to count as ended. A single order may have met a process that was just starting.
	minNotListening = 200 * time.Millisecond
	// endedValidity is how long after the last such order the server counts as ended. By then the store has removed its
	// entry, unless it runs.
	endedValidity = 5 * time.Second
	// maxLostShare is the largest fraction of a pool's servers that may count as lost at the same time.
	maxLostShare = 0.4
)

// Reachability tracks which servers answer the leader's orders. The zero value knows of no failures.
type Reachability struct {
	failingSince map[spans.Owner]time.Time // start of the first of the latest consecutive failures
	notListening map[spans.Owner]refusals
	endedAt      map[spans.Owner]time.Time // start of the last order that another process at the address refused
}

// refusals holds the start of the first and the last of consecutive orders that found an address not listening.
type refusals struct{ first, last time.Time }

// Observe takes the result of an order that was sent at start.
func (r *Reachability) Observe(o Order, res Result, start time.Time) {
	if r.failingSince == nil {
		r.failingSince, r.notListening = make(map[spans.Owner]time.Time), make(map[spans.Owner]refusals)
		r.endedAt = make(map[spans.Owner]time.Time)
	}
	switch res {
	case Ended:
		r.endedAt[o.Owner] = start
	case Accepted, Fenced:
		delete(r.endedAt, o.Owner)
	}
	switch seen, known := r.notListening[o.Owner]; {
	case res == NotListening && known:
		r.notListening[o.Owner] = refusals{seen.first, start}
	case res == NotListening:
		r.notListening[o.Owner] = refusals{start, start}
	case res != NotSent:
		delete(r.notListening, o.Owner)
	}
	switch _, failing := r.failingSince[o.Owner]; {
	case res == Accepted || res == Fenced:
		delete(r.failingSince, o.Owner)
	case o.Kind == Grant && !failing:
		r.failingSince[o.Owner] = start
	}
}

// IsLost reports whether orders to a server have failed for so long that its keys should go to others. It is false while so
// many servers of the pool fail that the fault likely lies with the leader or its link: reassigning their keys would only
// add to it. pool returns all servers of the pool.
func (r *Reachability) IsLost(now time.Time, o spans.Owner, pool func() []spans.Owner) bool {
	if !r.isSilent(now, o) {
		return false
	}
	n, all := 0, pool()
	for _, x := range all {
		if r.isSilent(now, x) {
			n++
		}
	}
	return float64(n) <= maxLostShare*float64(len(all))
}

// HasEnded reports whether a server's process has ended, and with it all its grants, since nothing listens at its address or
// another process does.
func (r *Reachability) HasEnded(now time.Time, o spans.Owner) bool {
	if at, known := r.endedAt[o]; known && now.Sub(at) < endedValidity {
		return true
	}
	seen, known := r.notListening[o]
	return known && seen.last.Sub(seen.first) >= minNotListening && now.Sub(seen.last) < endedValidity
}

func (r *Reachability) isSilent(now time.Time, o spans.Owner) bool {
	since, failing := r.failingSince[o]
	return failing && now.Sub(since) > maxSilence
}
