// Package lease computes which (term, epoch) pair may control a data centre, until when, and when all grants of
// earlier pairs have expired. It reads no clock; all times are arguments.
package lease

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// ConfirmationValidity (D) is how long a witness's confirmation counts for its pair.
	ConfirmationValidity = time.Second
	// Validity (L) is how long a grant is valid after the server's clock reading, and a lane lease after the heartbeat.
	// It is four intervals, so that two lost rounds in a row do no harm.
	Validity = 1200 * time.Millisecond
	// Interval is the time between grants to a server and between heartbeats of an instance.
	Interval = 300 * time.Millisecond
	// driftPercent is added to every wait that another machine's clock ends. Clock rates differ by under 1 %, and such
	// a wait compares two clocks.
	driftPercent = 2
)

// AddDriftMargin lengthens a wait that ends by another machine's clock.
func AddDriftMargin(d time.Duration) time.Duration { return d + d*driftPercent/100 }

// Pair identifies one holder of the control role of a data centre. The zero value precedes all others.
type Pair struct {
	Term  uint64 // offset of the Term record
	Epoch uint32 // 0 for the instance that claimed the term, 1 and 2 for its successors
}

// Compare orders pairs by term, then epoch.
func (p Pair) Compare(q Pair) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Epoch, q.Epoch))
}

// String returns term and epoch separated by a dot.
func (p Pair) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Epoch) }

// Witness stores the highest pair it was offered. The zero value has seen none. It is not safe for concurrent use.
type Witness struct {
	highest Pair
}

// Offer stores p and returns true, or returns false if a higher pair was offered before.
func (w *Witness) Offer(p Pair) bool {
	if p.Compare(w.highest) < 0 {
		return false
	}
	w.highest = p
	return true
}

// Highest returns the highest pair offered so far.
func (w *Witness) Highest() Pair { return w.highest }
