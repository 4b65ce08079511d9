package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/flow/retry"
)

// Guards against more retries than a tenth of the requests.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retry.Budget
		earned, taken := 0, 0
		for _, earn := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if earn {
				b.Earn()
				earned++
			} else if b.Take() {
				taken++
			}
			if taken*10 > earned {
				t.Fatalf("%d retries of %d requests", taken, earned)
			}
		}
	})
}

// Guards against saving up more than 10 retries, and against ten requests that do not earn one.
func TestBurst(t *testing.T) {
	var b retry.Budget
	for range 10 {
		b.Earn()
	}
	if !b.Take() || b.Take() {
		t.Error("ten requests must earn exactly one retry")
	}
	for range 10000 {
		b.Earn()
	}
	n := 0
	for b.Take() {
		n++
	}
	if n != 10 {
		t.Errorf("%d retries saved up, want 10", n)
	}
}

// Guards against waits outside their bounds, and against different sequences for the same seed.
func TestBackoff(t *testing.T) {
	a, b := retry.NewBackoff(7), retry.NewBackoff(7)
	for i := range 12 {
		d := a.Next(i)
		top := min(200*time.Millisecond, 5*time.Millisecond<<max(i-1, 0))
		if d < top/2 || d > top || d != b.Next(i) {
			t.Errorf("attempt %d: wait %v out of bounds, or different for the same seed", i, d)
		}
	}
}
