package tenure

import (
	"slices"
	"time"
)

// Witnesses keep the lead in force while the store is away: the holder may act while a majority of the members recorded
// with its lead follow it. A successor needs a claim in the store, and knows that the holder has stopped once a majority of
// the same members follow the successor, since two majorities share a member. They store nothing.
type Witnesses struct {
	members []string
	words   map[string]word
}

// word is what a member said in the latest exchange in which it followed. The exchange began at start; the member has followed
// no earlier holder since earlier.
type word struct{ start, earlier time.Time }

// NewWitnesses returns witnesses that were not heard of yet.
func NewWitnesses(members []string) *Witnesses {
	return &Witnesses{members: members, words: make(map[string]word)}
}

// Recorded replaces the members by those that the store has with the lead now.
func (w *Witnesses) Recorded(members []string) { w.members = members }

// Follows notes that an instance followed in an exchange that began at start, and has followed no earlier holder since
// earlier. It counts if it is a member.
func (w *Witnesses) Follows(member string, start, earlier time.Time) {
	if start.After(w.words[member].start) {
		w.words[member] = word{start, earlier}
	}
}

// Majority returns the latest time since which more than half of the members followed. ok is false if so many never did.
func (w *Witnesses) Majority() (since time.Time, ok bool) {
	return w.nth(func(x word) time.Time { return x.start }, func(a, b time.Time) int { return b.Compare(a) })
}

// left returns since when more than half of the members have certainly followed no earlier holder.
func (w *Witnesses) left() (at time.Time, ok bool) {
	return w.nth(func(x word) time.Time { return x.earlier }, time.Time.Compare)
}

// nth returns the time of the member that completes a majority, in the given order.
func (w *Witnesses) nth(of func(word) time.Time, order func(a, b time.Time) int) (at time.Time, ok bool) {
	var times []time.Time
	for _, m := range w.members {
		if x, ok := w.words[m]; ok {
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
