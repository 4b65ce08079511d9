package assign_test

import (
	"fmt"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/assign"
)

// After a call of 0.4 s, another one may be in transit for longer, as long as the congestion is recent.
func ExampleTransit() {
	var t assign.Transit
	fmt.Println(t.Max(epoch))
	t.Observe(epoch, 400*time.Millisecond)
	for _, d := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second} {
		fmt.Println(t.Max(epoch.Add(d)))
	}
	// Output:
	// 100ms
	// 1.6s
	// 1.6s
	// 100ms
}
