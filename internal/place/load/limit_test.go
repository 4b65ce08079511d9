package load_test

import (
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/load"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// Guards against keys that stay with a server that has named a limit far below their load, and against a limit of which half stays
// unused while the other servers are full.
func TestNamedLimitBoundsCapacity(t *testing.T) {
	e := load.New()
	e.NamedRate = func(s *topo.Server) (float64, bool) { return 2, s.Server == "limited" }
	for range 30 {
		e.CountAnswers("limited", 3, 100*time.Millisecond)
		e.CountAnswers("free", 3, 100*time.Millisecond)
		e.EndInterval()
	}
	both := []*topo.Server{server("limited"), server("free")}
	for _, c := range []struct{ load, want int }{{1, 1}, {100, 2}} { // requests in an interval, and the capacity of the limited server
		for range 30 {
			e.CountRequests("", 7, c.load)
			e.EndInterval()
		}
		if servers := e.Capacities(both, acceptAll); servers[0].Capacity != float64(c.want) || servers[1].Capacity < 10 {
			t.Errorf("with %d requests: capacities %+v, want %d for the limited server and over 10 for the other", c.load, servers, c.want)
		}
	}
}
