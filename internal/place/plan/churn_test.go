package plan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/plan"
)

// runUntilStable applies rounds every 2 s until a minute passes without moves. It returns the number of moves and when
// the last one was made, from the start.
func runUntilStable(p *plan.Planner, now *time.Time, servers []plan.Server, slots []plan.Slot) (moves int, took time.Duration) {
	begin, last := *now, *now
	for now.Sub(last) < time.Minute {
		out := p.Decide(*now, servers, slots)
		if len(out) > 0 {
			last = *now
		}
		moves += len(out)
		apply(out, slots)
		*now = now.Add(2 * time.Second)
	}
	return moves, last.Sub(begin)
}

// imbalance returns the ratio of the largest load of a server to the mean.
func imbalance(servers []plan.Server, slots []plan.Slot) float64 {
	load := make(map[string]float64)
	total, n := 0.0, 0
	for _, s := range slots {
		load[s.Owner] += s.Load
		total += s.Load
	}
	largest := 0.0
	for _, s := range servers {
		if s.Up && !s.Leaving {
			n++
			largest = max(largest, load[s.Name])
		}
	}
	return largest * float64(n) / total
}

// BenchmarkChurn reports, for 20 servers and 1,024 slots, the share of slots that change their owner and the ratio of the
// largest load to the mean afterwards: when a server leaves, when it returns, and when one slot becomes hot.
func BenchmarkChurn(b *testing.B) {
	for b.Loop() {
		servers := make([]plan.Server, 20)
		for i := range servers {
			servers[i] = plan.Server{Name: fmt.Sprintf("s%d", i), Capacity: 3, Up: true}
		}
		slots := make([]plan.Slot, 1024)
		for i := range slots {
			slots[i].Load = 1
		}
		p, now := new(plan.Planner), start
		runUntilStable(p, &now, servers, slots)
		report := func(what string) {
			moves, took := runUntilStable(p, &now, servers, slots)
			b.ReportMetric(100*float64(moves)/float64(len(slots)), what+"-churn-%")
			b.ReportMetric(imbalance(servers, slots), what+"-max/mean")
			b.ReportMetric(took.Seconds(), what+"-s")
		}
		servers[3].Leaving = true
		report("leaves")
		servers[3].Leaving = false
		report("returns")
		// A hot slot as large as three quarters of a server's fair load, beside 51 others on that server.
		hot := slices.IndexFunc(slots, func(s plan.Slot) bool { return s.Owner == "s7" })
		slots[hot].Load = 40
		report("hot")
	}
}
