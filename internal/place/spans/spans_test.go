package spans_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// Guards against keys that change or lose their owner when others are assigned or removed, or the map is split into chunks and
// joined again.
func TestMapMatchesArray(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			m    spans.Map
			want [spans.Last + 1]uint64
		)
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			first := rapid.Uint16().Draw(t, "first")
			b := rapid.Uint16Range(first, spans.Last).Draw(t, "last")
			fence := uint64(0)
			if rapid.Bool().Draw(t, "assign") {
				fence = uint64(i + 1)
				m = m.Assign(spans.Span{First: first, Last: b, Owner: spans.Owner{Server: fmt.Sprint(i % 3)}, Fence: fence})
			} else {
				m = m.Remove(first, b)
			}
			for k := int(first); k <= int(b); k++ {
				want[k] = fence
			}
		}
		var joined spans.Map
		for first := 0; first <= spans.Last; first += 4096 {
			for _, p := range m.Clip(uint16(first), uint16(first+4095)) {
				joined = joined.Append(p)
			}
		}
		for _, k := range append(edges(m), 0, spans.Last) {
			for _, x := range []spans.Map{m, joined} {
				got := uint64(0)
				if p := x.Find(k); p != nil {
					got = p.Fence
				}
				if got != want[k] {
					t.Fatalf("key %d has fence %d, want %d", k, got, want[k])
				}
			}
		}
		covered := 0
		for _, p := range append(m.Gaps(), m...) {
			covered += p.Width()
		}
		if covered != spans.Last+1 {
			t.Fatalf("spans and gaps cover %d keys, want 65536", covered)
		}
	})
}

// edges returns the first and last key of each span and their neighbours.
func edges(m spans.Map) (out []uint16) {
	for _, p := range m {
		out = append(out, p.First, p.Last)
		if p.First > 0 {
			out = append(out, p.First-1)
		}
		if p.Last < spans.Last {
			out = append(out, p.Last+1)
		}
	}
	return out
}
