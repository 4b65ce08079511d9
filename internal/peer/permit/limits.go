package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// byRank returns the indexes of asks in the order of their ranks.
func byRank(asks []*sitepb.Ask) []int {
	out := make([]int, len(asks))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(asks[a].GetRank(), asks[b].GetRank()) })
	return out
}

// EncodeLimits returns limits with their age at now.
func EncodeLimits(now time.Time, limits map[string]quota.Limit) (out []*sitepb.Limit) {
	for _, id := range slices.Sorted(maps.Keys(limits)) {
		l := limits[id]
		out = append(out, &sitepb.Limit{Server: id, Rate: l.Rate, Ended: l.Ended, AgeMs: now.Sub(l.Seen).Milliseconds()})
	}
	return out
}

// MergeLimits adds limits that another instance sent to b. now is when the message was sent, as far as that is known: the limits
// of a reply count from the start of its call, so that they don't seem newer each time they are passed on.
func MergeLimits(now time.Time, b *quota.Book, limits []*sitepb.Limit) {
	for _, l := range limits {
		b.Merge(now, l.GetServer(), quota.Limit{
			Rate: l.GetRate(), Ended: l.GetEnded(), Seen: now.Add(-time.Duration(max(0, l.GetAgeMs())) * time.Millisecond),
		})
	}
}
