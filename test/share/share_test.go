package share_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// Guards against connections of all instances together above the limit of a server, while instances join and leave.
func TestConnections(t *testing.T) {
	const limit = 12 // two dispatchers that overlap, at twice the three concurrency slots each
	p := fleet.Plan(1, fleet.DCSize{Instances: 3, StockServers: 3, CutServers: 2})
	for i := range p.Servers {
		p.Servers[i].Connections = limit
	}
	r := fleet.StartSystem(t, p)
	l := fleet.StartLoad(r, 24, []string{"i1"}, func(n int) system.Call {
		if n%3 == 0 {
			return fleet.Note(fmt.Sprint("note ", n))
		}
		return fleet.Lookup(n % 100)
	})
	for range 2 {
		for _, name := range []string{"i2", "i3"} {
			if code := r.Stop(name, fleet.AwaitTimeout); code != 0 {
				t.Errorf("%s: exit code %d", name, code)
			}
			ran := l.Count(fleet.HasVerdictRan)
			r.Await("work goes on", fleet.AwaitTimeout, func() bool { return l.Count(fleet.HasVerdictRan) > ran+100 })
			r.Start(name)
		}
	}
	l.Stop()
	for _, s := range p.Servers {
		if st := r.ServerStatus(s.Name); st.PeakConnections > limit || st.Rejected > 0 {
			t.Errorf("%s: %d connections at most, %d rejected, limit %d", s.Name, st.PeakConnections, st.Rejected, limit)
		}
	}
	r.Judge()
}

// Guards against a rank that gets nothing while another one floods in, in both directions. Orders are normal, notes
// are bulk, lookups are urgent; the callers that flood send one request after the other.
func TestNoRankStarves(t *testing.T) {
	p := fleet.Plan(1, fleet.DCSize{Instances: 2, StockServers: 1, CutServers: 1, ServerArgs: []string{"--service", "10ms"}})
	r := fleet.StartSystem(t, p)
	both := []string{"i1", "i2"}
	order := func(n int) system.Call { return fleet.Order(fmt.Sprintf("%s-%d", t.Name(), n)) }
	note := func(n int) system.Call { return fleet.Note(fmt.Sprint("note ", n)) }
	for name, kinds := range map[string][2]func(int) system.Call{
		"bulk floods": {note, order}, "normal floods": {func(n int) system.Call { return order(1_000_000 + n) }, note},
	} {
		flood := fleet.StartLoad(r, 64, both, kinds[0])
		other := fleet.StartLoad(r, 2, both, kinds[1])
		r.Await(name+" and both are served", fleet.AwaitTimeout, func() bool {
			return flood.Count(fleet.HasVerdictRan) > 50 && other.Count(fleet.HasVerdictRan) > 20
		})
		other.Stop()
		flood.Stop()
	}
	r.Judge()
}
