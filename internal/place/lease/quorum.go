package lease

import (
	"slices"
	"time"
)

// Majority returns how many of n witnesses must confirm a pair for it to have authority.
func Majority(n int) int { return n/2 + 1 }

// SameMembers reports whether two witness sets have the same members.
func SameMembers(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

// Quorum tracks the confirmations of one pair by one witness set. It is not safe for concurrent use.
type Quorum struct {
	confirmedAt map[string]time.Time // zero: never confirmed
	gone        map[string]bool
	cachedUntil time.Time // last result of ValidUntil; later confirmations can only extend it
}

// NewQuorum returns a quorum of the witness set ids without confirmations.
func NewQuorum(ids []string) *Quorum {
	q := &Quorum{confirmedAt: make(map[string]time.Time, len(ids)), gone: make(map[string]bool)}
	for _, id := range ids {
		q.confirmedAt[id] = time.Time{}
	}
	return q
}

// Confirm records that witness id confirmed the pair, no earlier than notBefore. It reports whether id is in the set.
func (q *Quorum) Confirm(id string, notBefore time.Time) bool {
	last, ok := q.confirmedAt[id]
	if ok && notBefore.After(last) {
		q.confirmedAt[id] = notBefore
	}
	return ok
}

// SetGone sets whether witness id no longer exists according to the platform. A gone witness counts as confirming.
func (q *Quorum) SetGone(id string, gone bool) {
	if q.gone[id] == gone {
		return
	}
	q.cachedUntil = time.Time{}
	if gone {
		q.gone[id] = true
	} else {
		delete(q.gone, id)
	}
}

// ValidUntil returns the time at which the pair loses its majority, or the zero time if it never had one.
func (q *Quorum) ValidUntil() time.Time {
	times := make([]time.Time, 0, len(q.confirmedAt))
	need := Majority(len(q.confirmedAt))
	for id, at := range q.confirmedAt {
		if q.gone[id] {
			need--
			continue
		}
		if !at.IsZero() {
			times = append(times, at)
		}
	}
	if len(q.confirmedAt) == 0 || len(times) < max(need, 1) {
		// At least one confirmation is always required: a holder that reaches no witness cannot learn that it was
		// superseded.
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[max(need, 1)-1].Add(ConfirmationValidity)
}

// Holds reports whether the pair has authority at now.
func (q *Quorum) Holds(now time.Time) bool {
	if !now.Before(q.cachedUntil) {
		q.cachedUntil = q.ValidUntil()
	}
	return now.Before(q.cachedUntil)
}
