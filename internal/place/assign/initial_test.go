package assign_test

import (
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/assign"
)

// Guards against keys that are all assigned to the first server that registers and have to move to the others under load.
func TestInitialDelay(t *testing.T) {
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	var delay assign.InitialDelay
	if delay.Ready(at(0), 0) || delay.Ready(at(5*time.Second), 0) {
		t.Error("ready without servers")
	}
	for i, want := range []bool{false, false, false, false} {
		if got := delay.Ready(at(5*time.Second+time.Duration(i)*500*time.Millisecond), 1+4*i); got != want {
			t.Errorf("step %d: ready %v", i, got)
		}
	}
	if delay.Ready(at(7500*time.Millisecond), 13) || !delay.Ready(at(7800*time.Millisecond), 13) {
		t.Error("not ready 1.2 s after the last server, or ready sooner")
	}
	var joining assign.InitialDelay
	ready := time.Duration(0)
	for d := time.Duration(0); ready == 0 && d < time.Minute; d += 500 * time.Millisecond {
		if joining.Ready(at(d), 1+int(d/time.Second)) {
			ready = d
		}
	}
	if ready < 3*time.Second || ready > 5*time.Second {
		t.Errorf("ready after %v while servers keep joining, want 3 to 5 s", ready)
	}
}
