package assign_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// Guards against a leader of 300 instances and 1,600 servers that forgets in each round which connections it has opened, and never sends a
// first grant.
func TestManyServersGranted(t *testing.T) {
	const ranges = 1600
	fence := uint64(0)
	var m spans.Map
	for i := range ranges {
		m = append(m, spans.Span{First: uint16(i), Last: uint16(i), Owner: spans.Owner{Server: fmt.Sprint("s", i)}})
	}
	k := assign.New(m, &fence, epoch, epoch)
	granted := make(map[uint16]bool)
	for round := range 40 { // of 50 ms
		now := epoch.Add(time.Duration(round) * 50 * time.Millisecond)
		for _, o := range due(k, now, &fence) {
			granted[o.First] = true
			k.Finish(now, now, o, assign.Accepted, "")
		}
	}
	if len(granted) != ranges {
		t.Errorf("%d of %d ranges granted after 2 s", len(granted), ranges)
	}
}
