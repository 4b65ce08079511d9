package elect

import (
	"slices"
	"time"
)

// Quorum tracks which members follow a leader. While the store is unreachable, a holder may act as long as a majority of the
// members in its lead record follow it. A successor needs a claim in the store, and knows that the holder has stopped once a
// majority of the same members follow the successor, since two majorities share a member. Members store nothing.
type Quorum struct {
	members []string
	acks    map[string]ack
	numbers map[string]uint64 // of the newest push that each instance has taken
}

// ack is the latest exchange in which a member followed the leader. It began at start; after lastEarlier the member has
// followed no earlier holder.
type ack struct{ start, lastEarlier time.Time }

// NewQuorum returns a quorum of members that have not acknowledged the leader yet.
func NewQuorum(members []string) *Quorum {
	return &Quorum{members: members, acks: make(map[string]ack), numbers: make(map[string]uint64)}
}

// SetMembers replaces the members by those of the newest lead record.
func (q *Quorum) SetMembers(members []string) { q.members = members }

// AddAck notes that an instance followed in an exchange that began at start, and has followed no earlier holder after
// lastEarlier. It counts only while the instance is a member.
func (q *Quorum) AddAck(member string, start, lastEarlier time.Time) {
	if start.After(q.acks[member].start) {
		q.acks[member] = ack{start, lastEarlier}
	}
}

// AddNumber notes the number of the newest push that an instance has taken.
func (q *Quorum) AddNumber(member string, number uint64) {
	q.numbers[member] = max(q.numbers[member], number)
}

// MajorityNumber returns the highest number of which a majority of the members has taken the push, or a later one. It is 0 if there is
// none.
func (q *Quorum) MajorityNumber() uint64 {
	var numbers []uint64
	for _, m := range q.members {
		if n := q.numbers[m]; n > 0 {
			numbers = append(numbers, n)
		}
	}
	need := len(q.members)/2 + 1
	if len(numbers) < need {
		return 0
	}
	slices.Sort(numbers)
	return numbers[len(numbers)-need]
}

// MajoritySince returns the latest time since which a majority of the members began exchanges in which they followed. ok is
// false if fewer ever followed.
func (q *Quorum) MajoritySince() (since time.Time, ok bool) {
	return q.majorityTime(func(x ack) time.Time { return x.start }, func(a, b time.Time) int { return b.Compare(a) })
}

// majoritySwitchedAt returns the time after which a majority of the members have certainly followed no earlier holder.
func (q *Quorum) majoritySwitchedAt() (at time.Time, ok bool) {
	return q.majorityTime(func(x ack) time.Time { return x.lastEarlier }, time.Time.Compare)
}

// majorityTime sorts the times of the members' acks by compare and returns the one that completes a majority.
func (q *Quorum) majorityTime(timeOf func(ack) time.Time, compare func(a, b time.Time) int) (at time.Time, ok bool) {
	var times []time.Time
	for _, m := range q.members {
		if x, ok := q.acks[m]; ok {
			times = append(times, timeOf(x))
		}
	}
	need := len(q.members)/2 + 1
	if len(times) < need {
		return time.Time{}, false
	}
	slices.SortFunc(times, compare)
	return times[need-1], true
}
