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
	p := fleet.Plan(1, fleet.Size{Instances: 3, Stock: 3, Cut: 2})
	for i := range p.Servers {
		p.Servers[i].Connections = limit
	}
	r := fleet.Up(t, p)
	l := fleet.Start(r, 24, []string{"i1"}, func(n int) system.Call {
		if n%3 == 0 {
			return fleet.Note(fmt.Sprint("note ", n))
		}
		return fleet.Lookup(n % 100)
	})
	for range 2 {
		for _, name := range []string{"i2", "i3"} {
			if code := r.Stop(name, fleet.Patience); code != 0 {
				t.Errorf("%s: exit code %d", name, code)
			}
			ran := l.Count(fleet.Ran)
			r.Await("work goes on", fleet.Patience, func() bool { return l.Count(fleet.Ran) > ran+100 })
			r.Start(name)
		}
	}
	l.Stop()
	for _, s := range p.Servers {
		if st := r.ServerStatus(s.Name); st.MaxConnections > limit || st.Rejected > 0 {
			t.Errorf("%s: %d connections at most, %d rejected, limit %d", s.Name, st.MaxConnections, st.Rejected, limit)
		}
	}
	r.Judge()
}

// Guards against a rank that gets nothing while another one floods in, in both directions. Orders are normal, notes
// are bulk, lookups are urgent; the callers that flood send one request after the other.
func TestNoRankStarves(t *testing.T) {
	p := fleet.Plan(1, fleet.Size{Instances: 2, Stock: 1, Cut: 1, Args: []string{"--service", "10ms"}})
	r := fleet.Up(t, p)
	both := []string{"i1", "i2"}
	order := func(n int) system.Call { return fleet.Order(fmt.Sprintf("%s-%d", t.Name(), n)) }
	note := func(n int) system.Call { return fleet.Note(fmt.Sprint("note ", n)) }
	for name, kinds := range map[string][2]func(int) system.Call{
		"bulk floods": {note, order}, "normal floods": {func(n int) system.Call { return order(1_000_000 + n) }, note},
	} {
		flood := fleet.Start(r, 64, both, kinds[0])
		other := fleet.Start(r, 2, both, kinds[1])
		r.Await(name+" and both are served", fleet.Patience, func() bool {
			return flood.Count(fleet.Ran) > 50 && other.Count(fleet.Ran) > 20
		})
		other.Stop()
		flood.Stop()
	}
	r.Judge()
}
