package bench_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/rig"
)

func TestMain(m *testing.M) { os.Exit(proc.Main(m)) }

// window is how long idle daemons are watched.
const window = 5 * time.Second

// BenchmarkDaemon measures what idle daemons of one data centre spend on control, as processes: processor time of the
// controller, of the relay and of the others as part of a core, and resident memory. An iteration takes about half a minute.
func BenchmarkDaemon(b *testing.B) {
	for _, c := range []struct{ instances, servers, slots int }{
		{3, 6, 1024}, {12, 6, 1024}, {43, 6, 1024}, {86, 6, 1024}, {3, 6, 4096}, {3, 6, 16384}, {3, 6, 65536}, {3, 4, 4096}, {3, 12, 4096}, {3, 32, 4096},
	} {
		b.Run(fmt.Sprintf("instances=%d/servers=%d/slots=%d", c.instances, c.servers, c.slots), func(b *testing.B) {
			plan := fleet.Plan(1, fleet.Size{Instances: c.instances, Stock: c.servers, Cut: 2})
			plan.Pools[0].Slots = c.slots
			for b.Loop() {
				watch(b, plan)
			}
		})
	}
}

func watch(b *testing.B, plan rig.Plan) {
	r := fleet.Up(b, plan)
	// Heartbeats with news, the first snapshot and the collection of garbage settle first.
	time.Sleep(window)
	ctrl := r.Controller(plan.Instances[0].DC)
	before := map[string]time.Duration{}
	for _, in := range plan.Instances {
		before[in.Name], _ = used(b, r.Pid(in.Name))
	}
	time.Sleep(window)
	var others []float64
	var rss []float64
	for _, in := range plan.Instances {
		t, mem := used(b, r.Pid(in.Name))
		share := 100 * (t - before[in.Name]).Seconds() / window.Seconds()
		if in.Name == ctrl {
			b.ReportMetric(share, "%core-controller")
			b.ReportMetric(mem, "MB-controller")
			continue
		}
		others, rss = append(others, share), append(rss, mem)
	}
	slices.Sort(others)
	slices.Sort(rss)
	b.ReportMetric(others[len(others)/2], "%core-median")
	b.ReportMetric(others[len(others)-1], "%core-max")
	b.ReportMetric(rss[len(rss)/2], "MB-median")
	b.ReportMetric(rss[len(rss)-1], "MB-max")
	for _, in := range plan.Instances {
		r.Kill(in.Name)
	}
}

// used returns the processor time and the resident memory in MB of a process.
func used(b *testing.B, pid int) (time.Duration, float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The fields after the name of the program, which is in parentheses: 11 and 12 are ticks of 10 ms, 21 is pages.
	f := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	num := func(i int) float64 {
		n, _ := strconv.ParseFloat(f[i], 64)
		return n
	}
	return time.Duration((num(11) + num(12)) * float64(10*time.Millisecond)), num(21) * float64(os.Getpagesize()) / 1e6
}
