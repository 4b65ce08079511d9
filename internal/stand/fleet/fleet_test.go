package fleet_test

import (
	"os"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// Guards against AwaitSlotsServed missing slots because KeyPerSlot maps keys to slots unlike the router.
func TestAwaitSlotsServed(t *testing.T) {
	sys := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 1, StockServers: 1}))
	if c := sys.Judge(); c.Slots != fleet.SlotCount {
		t.Errorf("%d slots were served, want %d", c.Slots, fleet.SlotCount)
	}
}
