package keep

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// unreachable is how long a server may leave grants unanswered before its keys are given to others.
	unreachable = 1500 * time.Millisecond
	// confirm is the least time between two orders that found nobody listening at a server's address before its process counts
	// as ended: one alone may have met a process that was just starting.
	confirm = 200 * time.Millisecond
	// endedPause is how long such a server gets no keys. By then the store has dropped its entry, unless it lives.
	endedPause = 5 * time.Second
	// secludedPart is the part of a pool's servers that may be unreachable at once by faults of their own.
	secludedPart = 0.4
)

// Reach follows which servers answer the leader. The zero value knows of no failures.
type Reach struct {
	failing map[spans.Owner]time.Time // start of the first failure in a row
	deaf    map[spans.Owner]deaf
}

// deaf is a server at whose address nobody listened for the last orders.
type deaf struct{ first, last time.Time }

// Note takes the result of an order that began at start.
func (r *Reach) Note(o Order, res Result, start time.Time) {
	if r.failing == nil {
		r.failing, r.deaf = make(map[spans.Owner]time.Time), make(map[spans.Owner]deaf)
	}
	switch d, known := r.deaf[o.Owner]; {
	case res == Down && known:
		r.deaf[o.Owner] = deaf{d.first, start}
	case res == Down:
		r.deaf[o.Owner] = deaf{start, start}
	case res != Unsent:
		delete(r.deaf, o.Owner)
	}
	switch _, failing := r.failing[o.Owner]; {
	case res == Done || res == Fenced:
		delete(r.failing, o.Owner)
	case o.Kind == Grant && !failing:
		r.failing[o.Owner] = start
	}
}

// Lost reports whether a server has not answered for so long that its keys should go to others. It does not while so many
// of its pool, which pool returns, seem lost that the fault is likely the leader's or its link's: dealing their keys anew would only add to it.
func (r *Reach) Lost(now time.Time, o spans.Owner, pool func() []spans.Owner) bool {
	if !r.silent(now, o) {
		return false
	}
	n, all := 0, pool()
	for _, x := range all {
		if r.silent(now, x) {
			n++
		}
	}
	return float64(n) <= secludedPart*float64(len(all))
}

// Ended reports whether the process of a server has ended, and with it what it held: nobody listens at its address.
func (r *Reach) Ended(now time.Time, o spans.Owner) bool {
	d, known := r.deaf[o]
	return known && d.last.Sub(d.first) >= confirm && now.Sub(d.last) < endedPause
}

func (r *Reach) silent(now time.Time, o spans.Owner) bool {
	at, failing := r.failing[o]
	return failing && now.Sub(at) > unreachable
}
