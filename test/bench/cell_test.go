package bench_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/cell"
)

// BenchmarkController measures one interval of 300 ms of a controller in a quiet data centre, without the network:
// processor time as part of a core, and the bytes of heartbeats and grants.
func BenchmarkController(b *testing.B) {
	base := cell.Size{Members: 86, Servers: 20, Slots: 4096, Hot: 8, DCs: 1}

	var sizes []cell.Size
	for _, n := range []int{3, 12, 43, 86} {
		sizes = append(sizes, cell.Size{Members: n, Servers: base.Servers, Slots: base.Slots, Hot: base.Hot, Scattered: false, DCs: 0})
	}
	for _, n := range []int{4, 16, 64, 128} {
		sizes = append(sizes, cell.Size{Members: base.Members, Servers: n, Slots: base.Slots, Hot: base.Hot, Scattered: false, DCs: 0})
	}
	for _, n := range []int{1024, 4096, 16384, 65536} {
		sizes = append(sizes, cell.Size{Members: base.Members, Servers: base.Servers, Slots: n, Hot: base.Hot, Scattered: false, DCs: 0})
	}
	for _, n := range []int{0, 2, 4, 8} {
		sizes = append(sizes, cell.Size{Members: base.Members, Servers: base.Servers, Slots: base.Slots, Hot: n, Scattered: false, DCs: 0})
	}
	for _, n := range []int{1024, 4096, 16384, 65536} {
		sizes = append(sizes, cell.Size{Members: base.Members, Servers: base.Servers, Slots: n, Hot: base.Hot, Scattered: true, DCs: 0})
	}
	sizes = append(sizes, cell.Size{Members: base.Members, Servers: 20, Slots: 65536, Hot: base.Hot, Scattered: false, DCs: dcs}, cell.Size{Members: base.Members, Servers: 128, Slots: 65536, Hot: base.Hot, Scattered: false, DCs: dcs})
	for _, s := range sizes {
		name := fmt.Sprintf("members=%d/servers=%d/slots=%d/hot=%d", s.Members, s.Servers, s.Slots, s.Hot)
		if s.DCs > 1 {
			name = "target/" + name
		}
		if s.Scattered {
			name = "scattered/" + name
		}
		b.Run(name, func(b *testing.B) {
			before := heap()
			c := cell.New(s)
			if err := c.Settle(); err != nil {
				b.Fatal(err)
			}
			grown, full := heap()-before, c.Full
			c.Reset()
			for b.Loop() {
				c.Interval()
			}
			n := float64(b.N)
			b.ReportMetric(float64(grown)/1e6, "MB")
			b.ReportMetric(float64(c.Steps)/n/3e6, "%core-steps")
			b.ReportMetric(float64(c.Beats)/n/3e6, "%core-beats")
			b.ReportMetric(float64(c.Request)/n/float64(s.Members), "B/request")
			b.ReportMetric(float64(c.Reply)/n/float64(s.Members), "B/reply")
			b.ReportMetric(float64(full), "B/full-reply")
			b.ReportMetric(float64(c.Grant+c.Held)/n/0.3/1e3, "grant-kB/s")
			runtime.KeepAlive(c)
		})
	}
}
