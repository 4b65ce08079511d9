package elect

import (
	"slices"
	"time"
)

// Quorum keep the lead in force while the store is away: the holder may act while a majority of the members recorded
// with its lead follow it. A successor needs a claim in the store, and knows that the holder has stopped once a majority of
// the same members follow the successor, since two majorities share a member. They store nothing.
type Quorum struct {
	members []string
	acks    map[string]ack
}

// ack is what a member said in the latest exchange in which it followed. The exchange began at start; the member has followed
// no earlier holder since earlier.
type ack struct{ start, lastEarlier time.Time }

// NewQuorum returns witnesses that were not heard of yet.
func NewQuorum(members []string) *Quorum {
	return &Quorum{members: members, acks: make(map[string]ack)}
}

// SetMembers replaces the members by those that the store has with the lead now.
func (w *Quorum) SetMembers(members []string) { w.members = members }

// AddAck notes that an instance followed in an exchange that began at start, and has followed no earlier holder since
// earlier. It counts if it is a member.
func (w *Quorum) AddAck(member string, start, earlier time.Time) {
	if start.After(w.acks[member].start) {
		w.acks[member] = ack{start, earlier}
	}
}

// MajoritySince returns the latest time since which more than half of the members followed. ok is false if so many never did.
func (w *Quorum) MajoritySince() (since time.Time, ok bool) {
	return w.majorityTime(func(x ack) time.Time { return x.start }, func(a, b time.Time) int { return b.Compare(a) })
}

// majoritySwitchedAt returns since when more than half of the members have certainly followed no earlier holder.
func (w *Quorum) majoritySwitchedAt() (at time.Time, ok bool) {
	return w.majorityTime(func(x ack) time.Time { return x.lastEarlier }, time.Time.Compare)
}

// majorityTime returns the time of the member that completes a majority, in the given order.
func (w *Quorum) majorityTime(of func(ack) time.Time, order func(a, b time.Time) int) (at time.Time, ok bool) {
	var times []time.Time
	for _, m := range w.members {
		if x, ok := w.acks[m]; ok {
			times = append(times, of(x))
		}
	}
	need := len(w.members)/2 + 1
	if len(times) < need {
		return time.Time{}, false
	}
	slices.SortFunc(times, order)
	return times[need-1], true
}
