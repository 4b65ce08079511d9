package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/plan"
)

// BenchmarkDecide measures a round without moves, by the number of slots.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{1024, 4096, 16384, 65536} {
		b.Run(fmt.Sprint("slots=", n), func(b *testing.B) {
			var servers []plan.Server
			for i := range 60 {
				servers = append(servers, plan.Server{Name: fmt.Sprint(i), Capacity: 3, Up: true})
			}
			slots := make([]plan.Slot, n)
			var p plan.Planner
			apply(p.Decide(start, servers, slots), slots)
			for i := 0; b.Loop(); i++ {
				p.Decide(start.Add(time.Duration(i+100)*time.Second), servers, slots)
			}
		})
	}
}
