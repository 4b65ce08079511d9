// Package lease holds the arithmetic of control: which (term, epoch) pair has authority, until when, and when
// everything that earlier pairs granted has lapsed. It reads no clock; all times are arguments.
package lease

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// D is how long a witness's confirmation supports its pair.
	ConfirmationValidity = time.Second
	// L is the validity of a grant, from the server's clock reading, and of a lane lease, from the heartbeat. It is
	// four intervals, so that two lost rounds in a row cost nothing.
	Validity = 1200 * time.Millisecond
	// Interval is the time between grants to a server and between heartbeats of an instance.
	Interval = 300 * time.Millisecond
	// driftPercent is the extra part of every wait for another machine's clock, in percent. Rates differ by under 1 %, and
	// a wait compares two clocks.
	driftPercent = 2
)

// AddDriftMargin lengthens a wait for something that another machine's clock ends.
func AddDriftMargin(d time.Duration) time.Duration { return d + d*driftPercent/100 }

// Pair names one holder of the control role of a data centre. The zero value precedes all others.
type Pair struct {
	Term  uint64 // offset of the Term record
	Epoch uint32 // 0 for the claimant, 1 and 2 for its successors
}

// Compare orders pairs by term, then epoch.
func (p Pair) Compare(q Pair) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Epoch, q.Epoch))
}

// String returns term and epoch separated by a dot.
func (p Pair) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Epoch) }

// Witness remembers the highest pair seen. The zero value has seen none. It is not safe for concurrent use.
type Witness struct {
	highest Pair
}

// Offer records p and reports true unless a higher pair was seen before.
func (w *Witness) Offer(p Pair) bool {
	if p.Compare(w.highest) < 0 {
		return false
	}
	w.highest = p
	return true
}

// Highest returns the highest pair seen.
func (w *Witness) Highest() Pair { return w.highest }
