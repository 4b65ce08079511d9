package assign

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

const (
	// maxSilence is how long grants to a server may fail before its keys are given to others.
	maxSilence = 1500 * time.Millisecond
	// maxLostShare is the largest fraction of a pool's servers that may count as lost at the same time.
	maxLostShare = 0.4
)

// evidence holds what the results of orders show of the process for which they were meant. The others show nothing.
var evidence = map[Result]alive.Evidence{
	Accepted: alive.Named, Fenced: alive.Named, Ended: alive.OtherID, NotListening: alive.Refused, NoAnswer: alive.NoAnswer,
}

// Reachability tracks which servers answer the leader's orders, and what these show of their processes. The zero value knows of no
// failures.
type Reachability struct {
	alive.Book
	failingSince map[spans.Owner]time.Time // start of the first of the latest consecutive failures
	refusing     map[spans.Owner]bool      // the last order that was sent found connections refused
}

// Observe takes the result of an order that was sent to an address at start.
func (r *Reachability) Observe(o Order, res Result, at alive.Address, start time.Time) {
	if r.failingSince == nil {
		r.failingSince, r.refusing = make(map[spans.Owner]time.Time), make(map[spans.Owner]bool)
	}
	if o.Kind == Open && res == Accepted {
		// The kernel of a suspended process accepts connections as well, so that this ends only refusals.
		if r.refusing[o.Owner] {
			delete(r.failingSince, o.Owner)
			delete(r.refusing, o.Owner)
		}
		return
	}
	if res == NotListening {
		r.refusing[o.Owner] = true
	} else if res != NotSent {
		delete(r.refusing, o.Owner)
	}
	if e, ok := evidence[res]; ok {
		r.Note(o.Owner, e, at, start)
	}
	switch _, failing := r.failingSince[o.Owner]; {
	case res == Accepted || res == Fenced:
		delete(r.failingSince, o.Owner)
	case o.Kind != Release && !failing:
		r.failingSince[o.Owner] = start
	}
}

// IsLost reports whether orders to a server have failed for so long that its keys should go to others. It is false while so
// many servers of the pool fail that the fault likely lies with the leader or its link: reassigning their keys would only
// add to it. Servers that refuse connections for longer than grants last hold nothing, and don't count. pool returns all servers of the
// pool.
func (r *Reachability) IsLost(now time.Time, o spans.Owner, pool func() []spans.Owner) bool {
	if !r.isSilent(now, o) {
		return false
	}
	if r.holdsNothing(now, o) {
		return true
	}
	silent, all := 0, 0
	for _, x := range pool() {
		if r.holdsNothing(now, x) {
			continue
		}
		if all++; r.isSilent(now, x) {
			silent++
		}
	}
	return float64(silent) <= maxLostShare*float64(all)
}

func (r *Reachability) holdsNothing(now time.Time, o spans.Owner) bool {
	since, failing := r.failingSince[o]
	return failing && r.refusing[o] && now.Sub(since) > GrantDuration+GrantDuration/20
}

// MayHaveEnded reports whether the last order to a server failed, and nothing proves that its process has ended. An order that could not
// be sent, as the connection was closed, leaves the process alive by its latest answer.
func (r *Reachability) MayHaveEnded(now time.Time, o spans.Owner, entries ...alive.Evidence) bool {
	_, failing := r.failingSince[o]
	s, _ := r.State(now, o, entries...)
	return failing && s != alive.Ended
}

func (r *Reachability) isSilent(now time.Time, o spans.Owner) bool {
	since, failing := r.failingSince[o]
	return failing && now.Sub(since) > maxSilence
}
