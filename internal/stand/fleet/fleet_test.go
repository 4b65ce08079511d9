package fleet_test

import (
	"os"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// Guards against a wait for all slots that leaves slots out, because keys are mapped to slots in another way.
func TestServed(t *testing.T) {
	r := fleet.Up(t, fleet.Plan(1, fleet.Size{Instances: 1, Stock: 1}))
	if c := r.Judge(); c.Slots != fleet.Slots {
		t.Errorf("%d slots were served, want %d", c.Slots, fleet.Slots)
	}
}
