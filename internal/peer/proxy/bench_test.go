package proxy_test

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/front"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

// BenchmarkPath measures the latency that forwarding adds to a direct call of the backend server, and the requests per
// core with parallel callers. These include the cost of callers and server, which share the process.
func BenchmarkPath(b *testing.B) {
	_, forwarder, dispatcher := newFleet(b)
	t := forwarder.Tables()
	t.Routes = []tables.Route{{Name: "all", Path: "/*", Pool: "cut", Rank: "urgent", Timeout: 10 * time.Second}}
	target := func(in *instance) string {
		ln, addr := listen(b)
		f := front.New(front.Config{DC: "b1", Instance: "i", Tables: in.Tables, Send: in.Send})
		var wg conc.WaitGroup
		wg.Go(func() { _ = f.Serve(ln) })
		b.Cleanup(func() {
			_ = f.Stop(b.Context(), 0)
			wg.Wait()
		})
		return addr.String()
	}
	server := t.Pools[0].Servers[0].Address.String()
	for _, c := range []struct{ name, addr string }{
		{"direct", server}, {"own lane", target(dispatcher)}, {"one hop", target(forwarder)},
	} {
		b.Run(c.name+"/serial", func(b *testing.B) { measure(b, c.addr, 1) })
		b.Run(c.name+"/parallel", func(b *testing.B) { measure(b, c.addr, 3) })
	}
}

// measure sends about b.N requests from the given number of callers and reports latency and requests per core.
func measure(b *testing.B, addr string, callers int) {
	client := &fasthttp.HostClient{Addr: addr, MaxConns: callers}
	latencies := make([][]time.Duration, callers)
	before := cpuTime()
	var wg conc.WaitGroup
	for i := range callers {
		wg.Go(func() {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + addr + "/stock/17")
			req.Header.Set(work.RequestIDHeader, "bench")
			for range b.N/callers + 1 {
				start := time.Now()
				if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
					b.Errorf("%d, %v", resp.StatusCode(), err)
					return
				}
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	wg.Wait()
	used := cpuTime() - before
	all := slices.Sorted(slices.Values(slices.Concat(latencies...)))
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(len(all))/used.Seconds(), "requests/core-s")
}

// cpuTime returns the processor time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
