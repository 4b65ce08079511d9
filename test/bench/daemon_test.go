package bench_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/proxy"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// window is how long idle daemons are watched.
const window = 5 * time.Second

// BenchmarkDaemon measures what idle daemons of one data centre spend on control, as processes: processor time of the
// controller, of the relay and of the others as part of a core, resident memory, and traffic. An iteration takes about half a minute.
func BenchmarkDaemon(b *testing.B) {
	for _, c := range []struct{ instances, servers, slots int }{
		{3, 6, 1024}, {12, 6, 1024}, {43, 6, 1024}, {86, 6, 1024}, {3, 6, 4096}, {3, 6, 16384}, {3, 6, 65536}, {3, 4, 4096}, {3, 12, 4096}, {3, 32, 4096},
	} {
		b.Run(fmt.Sprintf("instances=%d/servers=%d/slots=%d", c.instances, c.servers, c.slots), func(b *testing.B) {
			plan := fleet.Plan(1, fleet.DCSize{Instances: c.instances, StockServers: c.servers, CutServers: 2})
			plan.Pools[0].Slots = c.slots
			for b.Loop() {
				watch(b, plan)
			}
		})
	}
}

func watch(b *testing.B, plan system.Plan) {
	r := fleet.StartSystem(b, plan)
	// Heartbeats with news, the first snapshot and the collection of garbage settle first.
	time.Sleep(window)
	dc := plan.Instances[0].DC
	roles := map[string]string{relayOf(dc, plan.Instances): "relay"}
	roles[r.Controller(dc)] += "controller"
	before := map[string]spent{}
	for _, in := range plan.Instances {
		before[in.Name] = spend(b, r, in.Name)
	}
	grants := granted(r)
	time.Sleep(window)
	var cores, rss, log []float64
	for _, in := range plan.Instances {
		now, was := spend(b, r, in.Name), before[in.Name]
		share := 100 * (now.time - was.time).Seconds() / window.Seconds()
		if role := roles[in.Name]; role != "" {
			b.ReportMetric(share, "%core-"+role)
			b.ReportMetric(now.rss, "MB-"+role)
			b.ReportMetric(float64(now.peer-was.peer)/1e3/window.Seconds(), "kB/s-"+role)
			continue
		}
		cores, rss, log = append(cores, share), append(rss, now.rss), append(log, float64(now.log-was.log)/1e3/window.Seconds())
	}
	b.ReportMetric(float64(granted(r)-grants)/1e3/window.Seconds(), "kB/s-grants")
	for unit, all := range map[string][]float64{"%core": cores, "MB": rss, "kB/s-log": log} {
		if slices.Sort(all); len(all) > 0 {
			b.ReportMetric(all[len(all)/2], unit+"-median")
			b.ReportMetric(all[len(all)-1], unit+"-max")
		}
	}
	for _, in := range plan.Instances {
		r.Kill(in.Name)
	}
}

// relayOf returns the instance that reads the log for the others of its data centre, as package daemon chooses it.
func relayOf(dc string, instances []system.Instance) string {
	best := instances[0].Name
	for _, in := range instances {
		if xxhash.Sum64String(dc+"\x00"+in.Name) > xxhash.Sum64String(dc+"\x00"+best) {
			best = in.Name
		}
	}
	return best
}

// spent is what a daemon has used since its start. Bytes are counted by the proxies, in both directions.
type spent struct {
	time time.Duration
	rss  float64 // MB
	peer int64   // bytes of calls that it served
	log  int64   // bytes of its calls of log and list
}

func spend(b *testing.B, r *system.System, name string) (s spent) {
	s.time, s.rss = used(b, r.Pid(name))
	s.peer = passed(r.SharedProxy(name))
	s.log = passed(r.PairProxy(name, system.LogProcess)) + passed(r.PairProxy(name, system.ListProcess))
	return s
}

func passed(p *proxy.Proxy) int64 {
	return p.BytesPassed(proxy.ToTarget) + p.BytesPassed(proxy.FromTarget)
}

// granted returns the bytes that went between the controller and the servers while there is no load.
func granted(r *system.System) (n int64) {
	for _, s := range r.Plan.Servers {
		n += passed(r.SharedProxy(s.Name))
	}
	return n
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
