package assign

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// maxSilence is how long a server may leave grants unanswered before its keys are given to others.
	maxSilence = 1500 * time.Millisecond
	// minNotListening is the least time between two orders that found nobody listening at a server's address before its process counts
	// as ended: one alone may have met a process that was just starting.
	minNotListening = 200 * time.Millisecond
	// endedValidity is how long such a server gets no keys. By then the store has dropped its entry, unless it lives.
	endedValidity = 5 * time.Second
	// maxLostShare is the part of a pool's servers that may be unreachable at once by faults of their own.
	maxLostShare = 0.4
)

// Reachability follows which servers answer the leader. The zero value knows of no failures.
type Reachability struct {
	failingSince map[spans.Owner]time.Time // start of the first failure in a row
	notListening map[spans.Owner]refusals
}

// refusals is a server at whose address nobody listened for the last orders.
type refusals struct{ first, last time.Time }

// Observe takes the result of an order that began at start.
func (r *Reachability) Observe(o Order, res Result, start time.Time) {
	if r.failingSince == nil {
		r.failingSince, r.notListening = make(map[spans.Owner]time.Time), make(map[spans.Owner]refusals)
	}
	switch d, known := r.notListening[o.Owner]; {
	case res == NotListening && known:
		r.notListening[o.Owner] = refusals{d.first, start}
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

// IsLost reports whether a server has not answered for so long that its keys should go to others. It does not while so many
// of its pool, which pool returns, seem lost that the fault is likely the leader's or its link's: dealing their keys anew would only add to it.
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

// HasEnded reports whether the process of a server has ended, and with it what it held: nobody listens at its address.
func (r *Reachability) HasEnded(now time.Time, o spans.Owner) bool {
	d, known := r.notListening[o]
	return known && d.last.Sub(d.first) >= minNotListening && now.Sub(d.last) < endedValidity
}

func (r *Reachability) isSilent(now time.Time, o spans.Owner) bool {
	at, failing := r.failingSince[o]
	return failing && now.Sub(at) > maxSilence
}
