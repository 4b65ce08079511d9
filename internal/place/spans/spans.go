// Package spans maps the keys 0 to 65535 of a pool to their owners, by ranges. It does no I/O.
package spans

import (
	"slices"
	"strconv"
)

// Last is the highest key.
const Last = 65535

// Owner is one incarnation of a backend server. StartMs is its start time in Unix milliseconds and changes with a
// restart under the same id.
type Owner struct {
	Server  string
	StartMs int64
}

// Incarnation returns a name of the incarnation.
func (o Owner) Incarnation() string { return o.Server + "/" + strconv.FormatInt(o.StartMs, 36) }

// Span is a range of keys, First and Last included, with one owner. Fence is the fencing token of its grants. Handover is
// the token, if any, for taking over the state of the previous owner.
type Span struct {
	First, Last uint16
	Owner
	Fence    uint64
	Handover string
}

// Width returns the number of keys in s.
func (s Span) Width() int { return int(s.Last) - int(s.First) + 1 }

// Map is a sorted list of spans that do not overlap. Keys in none of them have no owner.
type Map []Span

// Find returns the span that contains key, nil if there is none.
func (m Map) Find(key uint16) *Span {
	i, _ := slices.BinarySearchFunc(m, key, func(s Span, k uint16) int { return int(s.Last) - int(k) })
	if i < len(m) && m[i].First <= key {
		return &m[i]
	}
	return nil
}

// Gaps returns the ranges of keys without an owner, as spans whose Owner is zero.
func (m Map) Gaps() Map {
	var out Map
	next := 0
	for _, s := range m {
		if int(s.First) > next {
			out = append(out, Span{First: uint16(next), Last: s.First - 1})
		}
		next = int(s.Last) + 1
	}
	if next <= Last {
		out = append(out, Span{First: uint16(next), Last: Last})
	}
	return out
}

// Assign returns a copy of m in which s replaces all spans, or parts of them, on its keys.
func (m Map) Assign(s Span) Map {
	out := m.Remove(s.First, s.Last)
	i, _ := slices.BinarySearchFunc(out, s.First, func(a Span, k uint16) int { return int(a.First) - int(k) })
	return slices.Insert(out, i, s)
}

// Remove returns a copy of m in which the keys from first to last have no owner.
func (m Map) Remove(first, last uint16) Map {
	out := make(Map, 0, len(m)+2)
	for _, s := range m {
		if s.Last < first || s.First > last {
			out = append(out, s)
			continue
		}
		if s.First < first {
			left := s
			left.Last = first - 1
			out = append(out, left)
		}
		if s.Last > last {
			right := s
			right.First = last + 1
			out = append(out, right)
		}
	}
	return out
}

// Clip returns the parts of the spans from first to last.
func (m Map) Clip(first, last uint16) (out Map) {
	for _, s := range m {
		if s.Last < first || s.First > last {
			continue
		}
		s.First, s.Last = max(s.First, first), min(s.Last, last)
		out = append(out, s)
	}
	return out
}

// Append adds s after all spans, or extends the last one in place if s continues it with the same owner and fence.
func (m Map) Append(s Span) Map {
	if n := len(m); n > 0 {
		last := &m[n-1]
		if int(last.Last)+1 == int(s.First) && last.Owner == s.Owner && last.Fence == s.Fence {
			last.Last = s.Last
			return m
		}
	}
	return append(m, s)
}
