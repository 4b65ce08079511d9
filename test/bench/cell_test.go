package bench_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/dcsim"
)

// BenchmarkController measures one interval of 300 ms of a controller in a quiet data centre, without the network:
// processor time as part of a core, and the bytes of heartbeats and grants.
func BenchmarkController(b *testing.B) {
	base := dcsim.Size{Members: 86, Servers: 20, Slots: 4096, HotSlots: 8, DCs: 1}

	var sizes []dcsim.Size
	for _, n := range []int{3, 12, 43, 86} {
		sizes = append(sizes, dcsim.Size{Members: n, Servers: base.Servers, Slots: base.Slots, HotSlots: base.HotSlots, Scattered: false, DCs: 0})
	}
	for _, n := range []int{4, 16, 64, 128} {
		sizes = append(sizes, dcsim.Size{Members: base.Members, Servers: n, Slots: base.Slots, HotSlots: base.HotSlots, Scattered: false, DCs: 0})
	}
	for _, n := range []int{1024, 4096, 16384, 65536} {
		sizes = append(sizes, dcsim.Size{Members: base.Members, Servers: base.Servers, Slots: n, HotSlots: base.HotSlots, Scattered: false, DCs: 0})
	}
	for _, n := range []int{0, 2, 4, 8} {
		sizes = append(sizes, dcsim.Size{Members: base.Members, Servers: base.Servers, Slots: base.Slots, HotSlots: n, Scattered: false, DCs: 0})
	}
	for _, n := range []int{1024, 4096, 16384, 65536} {
		sizes = append(sizes, dcsim.Size{Members: base.Members, Servers: base.Servers, Slots: n, HotSlots: base.HotSlots, Scattered: true, DCs: 0})
	}
	sizes = append(sizes, dcsim.Size{Members: base.Members, Servers: 20, Slots: 65536, HotSlots: base.HotSlots, Scattered: false, DCs: dcs}, dcsim.Size{Members: base.Members, Servers: 128, Slots: 65536, HotSlots: base.HotSlots, Scattered: false, DCs: dcs})
	for _, s := range sizes {
		name := fmt.Sprintf("members=%d/servers=%d/slots=%d/hot=%d", s.Members, s.Servers, s.Slots, s.HotSlots)
		if s.DCs > 1 {
			name = "target/" + name
		}
		if s.Scattered {
			name = "scattered/" + name
		}
		b.Run(name, func(b *testing.B) {
			before := heap()
			c := dcsim.New(s)
			if err := c.RunUntilSettled(); err != nil {
				b.Fatal(err)
			}
			grown, full := heap()-before, c.MaxReplyBytes
			c.ResetUsage()
			for b.Loop() {
				c.RunInterval()
			}
			n := float64(b.N)
			b.ReportMetric(float64(grown)/1e6, "MB")
			b.ReportMetric(float64(c.StepTime)/n/3e6, "%core-steps")
			b.ReportMetric(float64(c.HeartbeatTime)/n/3e6, "%core-beats")
			b.ReportMetric(float64(c.RequestBytes)/n/float64(s.Members), "B/request")
			b.ReportMetric(float64(c.ReplyBytes)/n/float64(s.Members), "B/reply")
			b.ReportMetric(float64(full), "B/full-reply")
			b.ReportMetric(float64(c.GrantBytes+c.GrantReplyBytes)/n/0.3/1e3, "grant-kB/s")
			runtime.KeepAlive(c)
		})
	}
}
