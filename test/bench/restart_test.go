package bench_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proxy"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

// BenchmarkRestart kills all instances of a data centre at once and starts as many new ones, one after the other, while
// three instances of another data centre go on. It measures the time until all are ready, the time until the keys are
// served again, and what the start costs. An iteration takes up to two minutes.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{3, 12, 43, 86} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			for b.Loop() {
				restart(b, n)
			}
		})
	}
}

const (
	renewal = 15 * time.Second
	// patience exceeds the minute after which the platform's list tells that the old instances are gone.
	patience = 3 * time.Minute
)

func restart(b *testing.B, n int) {
	const others = 3
	plan := fleet.Plan(2, fleet.DCSize{Instances: n, StockServers: 6, CutServers: 2})
	plan.Pools[0].Slots = 4096
	plan.Instances = plan.Instances[:n+others]
	r := fleet.StartSystem(b, plan)
	// The first term names the instances that were there when it was claimed. One with all of them follows when the
	// slots have rested for a while.
	time.Sleep(renewal)
	var names, rest []string
	for i, in := range plan.Instances {
		if i < n {
			names = append(names, in.Name)
		} else {
			rest = append(rest, in.Name)
		}
	}
	r.Kill(names...)
	log, peers := sent(r, names, system.LogProcess), answered(r, rest)
	begin := time.Now()
	r.Start(names...)
	started := time.Since(begin)
	for _, name := range names {
		r.Await(name+" is ready", fleet.AwaitTimeout, func() bool {
			s, err := r.Status(name)
			return err == nil && s.Ready
		})
	}
	ready := time.Since(begin)
	for key := range 2 * fleet.SlotCount {
		r.Await(fmt.Sprintf("key %d is served", key), patience, func() bool { return r.Call(names[0], fleet.Lookup(key)).Status == 200 })
	}
	served := time.Since(begin)
	var cores, mem []float64
	for _, name := range names {
		t, rss := used(b, r.Pid(name))
		cores, mem = append(cores, 100*t.Seconds()/served.Seconds()), append(mem, rss)
	}
	slices.Sort(cores)
	slices.Sort(mem)
	b.ReportMetric(started.Seconds(), "s-started")
	b.ReportMetric(ready.Seconds(), "s-ready")
	b.ReportMetric(served.Seconds(), "s-served")
	b.ReportMetric(cores[len(cores)/2], "%core-median")
	b.ReportMetric(cores[len(cores)-1], "%core-max")
	b.ReportMetric(mem[len(mem)-1], "MB-max")
	b.ReportMetric(float64(sent(r, names, system.LogProcess)-log)/1e3/float64(n), "kB-log/instance")
	b.ReportMetric(float64(answered(r, rest)-peers)/1e3/float64(n), "kB-peers/instance")
}

// sent returns the bytes that a service has sent to instances.
func sent(r *system.System, names []string, service string) (n int64) {
	for _, name := range names {
		n += r.PairProxy(name, service).BytesPassed(proxy.FromTarget)
	}
	return n
}

// answered returns the bytes that instances have answered to others.
func answered(r *system.System, names []string) (n int64) {
	for _, name := range names {
		n += r.SharedProxy(name).BytesPassed(proxy.FromTarget)
	}
	return n
}
