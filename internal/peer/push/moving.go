package push

import (
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// MovingRanges returns the ranges of keys that are changing owners, by pool.
func MovingRanges(now time.Time, ranges []*sitepb.Range) map[string][]topo.MovingRange {
	out := make(map[string][]topo.MovingRange)
	for _, r := range ranges {
		out[r.GetPool()] = append(out[r.GetPool()], topo.MovingRange{
			First: uint16(r.GetFirst()), Last: uint16(r.GetLast()), Until: now.Add(time.Duration(r.GetWaitMs()) * time.Millisecond),
		})
	}
	return out
}

// SameMovingRanges reports whether the members already know the ranges. A wait that only shrinks as time passes is the same.
func SameMovingRanges(now time.Time, ranges []*sitepb.Range, have map[string][]topo.MovingRange) bool {
	n := 0
	for _, m := range have {
		n += len(m)
	}
	if n != len(ranges) {
		return false
	}
	for _, r := range ranges {
		wait := now.Add(time.Duration(r.GetWaitMs()) * time.Millisecond)
		if !slices.ContainsFunc(have[r.GetPool()], func(h topo.MovingRange) bool {
			return uint32(h.First) == r.GetFirst() && uint32(h.Last) == r.GetLast() && wait.Sub(h.Until).Abs() < waitTolerance
		}) {
			return false
		}
	}
	return true
}

// waitTolerance is how far the expected end of a move may shift before the members are told.
const waitTolerance = 300 * time.Millisecond
