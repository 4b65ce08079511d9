package bench_test

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/view"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/stand/dcsim"
	"github.com/bramleycove/bramleycove/internal/stand/listsv"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

const dcs = 14

// published returns tables with servers in each of 14 data centres, spread over pools, half of which are keyed.
func published(servers, pools, slots int) (routes, pool []byte) {
	r := &strings.Builder{}
	r.WriteString(`{"ranks": [{"name": "urgent", "share": 0.5, "target": "500ms"}], "routes": [`)
	p := &strings.Builder{}
	p.WriteString(`{"regions": [{"name": "r", "dcs": [`)
	for d := range dcs {
		fmt.Fprintf(p, `"dc-%d",`, d)
	}
	p.WriteString(`]}], "pools": [`)
	for i := range pools {
		keyed := i%2 == 0
		key := ""
		if keyed {
			key = `, "key": {"segment": 2}`
		}
		fmt.Fprintf(r, `{"name": "route-%d", "path": "/p%d/*", "pool": "pool-%d", "rank": "urgent", "tenant": "t"%s},`, i, i, i, key)
		fmt.Fprintf(p, `{"name": "pool-%d", "keyed": %v,`, i, keyed)
		if keyed {
			fmt.Fprintf(p, `"slots": %d,`, slots)
		}
		p.WriteString(`"servers": [`)
		for d := range dcs {
			for s := range servers / pools {
				n := (i*dcs+d)*(servers/pools) + s
				fmt.Fprintf(p, `{"name": "server-%d", "address": "10.%d.%d.%d:9000", "dc": "dc-%d", "slots": 3, "connections": 130, "checks": %v},`,
					n, n>>16, n>>8&255, n&255, d, keyed)
			}
		}
		p.WriteString("]},")
	}
	r.WriteString("]}")
	p.WriteString("]}")
	return []byte(r.String()), []byte(p.String())
}

// BenchmarkPublish measures what one configuration change costs each instance: parsing and checking the tables and
// putting them in force, and the memory that they keep.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{4, 16, 64, 128} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			routes, pools := published(n, 4, 1024)
			before := heap()
			v := view.New("dc-0", dcsim.Addr(0))
			for b.Loop() {
				t, faults := tables.Parse(routes, pools)
				if t == nil {
					b.Fatal(faults)
				}
				v.SetTables(t)
			}
			b.ReportMetric(float64(len(routes)+len(pools)), "B/publication")
			b.ReportMetric(float64(heap()-before), "B-kept")
			runtime.KeepAlive(v)
		})
	}
}

// BenchmarkPlaced measures what one record of the place stream costs the view of each instance, which is told of the
// slots of all keyed pools, and the memory of the view, by the number of pools.
func BenchmarkPlaced(b *testing.B) {
	for _, c := range []struct{ pools, slots int }{{2, 4096}, {8, 4096}, {32, 4096}, {128, 4096}, {8, 1024}, {8, 16384}, {8, 65536}} {
		b.Run(fmt.Sprintf("pools=%d/slots=%d", c.pools, c.slots), func(b *testing.B) {
			t, faults := tables.Parse(published(c.pools, c.pools, c.slots))
			if t == nil {
				b.Fatal(faults)
			}
			before := heap()
			v := view.New("dc-0", dcsim.Addr(0))
			v.SetTables(t)
			slots := make(map[string][]fold.Slot)
			for i := range t.Pools {
				if p := &t.Pools[i]; p.Keyed {
					slots[p.Name] = make([]fold.Slot, c.slots)
					for k := range slots[p.Name] {
						slots[p.Name][k] = fold.Slot{DC: "dc-0", Owner: p.Servers[0].Name, Token: 1}
					}
				}
			}
			v.SetMembers([]*peerpb.Member{{Instance: "i", Peer: dcsim.Addr(0).String()}}, nil)
			for b.Loop() {
				slots["pool-0"] = slices.Clone(slots["pool-0"])
				for name, s := range slots {
					v.SetSlots(name, s)
				}
			}
			b.ReportMetric(float64(heap()-before)/1e6, "MB")
			runtime.KeepAlive(v)
			runtime.KeepAlive(slots)
		})
	}
}

// BenchmarkList measures the platform's list, which every instance fetches once a second, by the number of instances:
// its size, the time to decode it and to put it in force, and the bytes of a fetch of an unchanged list.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{3, 12, 43, 86} {
		cmd := listed(n * dcs)
		b.Run(fmt.Sprintf("decode/instances=%d", n*dcs), func(b *testing.B) {
			data, err := json.Marshal(cmd.Put)
			if err != nil {
				b.Fatal(err)
			}
			v := view.New("dc-0", dcsim.Addr(0))
			t, _ := tables.Parse(published(64, 8, 1024))
			v.SetTables(t)
			for b.Loop() {
				var out roster.List
				if err := json.Unmarshal(data, &out); err != nil {
					b.Fatal(err)
				}
				v.SetList(out)
			}
			b.ReportMetric(float64(len(data)), "B/list")
		})
		b.Run(fmt.Sprintf("fetch/instances=%d", n*dcs), func(b *testing.B) {
			s := listsv.New(0)
			count := new(counter)
			loopback := netip.MustParseAddrPort("127.0.0.1:0")
			if err := s.Listen(loopback, loopback, func(ln net.Listener) net.Listener {
				count.Listener = ln
				return count
			}); err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			s.Apply(time.Now(), cmd)
			client := roster.New(s.Address())
			fetch := func() {
				if l, err := client.Fetch(b.Context()); err != nil || len(l.Instances) != n*dcs {
					b.Fatal(err)
				}
			}
			fetch()
			before, begin := count.out.Load(), cpu()
			for b.Loop() {
				fetch()
			}
			b.ReportMetric(float64(count.out.Load()-before)/float64(b.N), "B/fetch")
			b.ReportMetric(float64((cpu()-begin).Microseconds())/float64(b.N), "cpu-µs/fetch")
		})
	}
}

// listed returns a list of instances and 20 servers in each data centre.
func listed(instances int) (cmd listsv.Command) {
	for i := range instances {
		cmd.Put.Instances = append(cmd.Put.Instances, listsv.Instance{
			ID: fmt.Sprintf("dk-east-1-%04d", i), DC: fmt.Sprintf("dc-%d", i%dcs), Region: "dk-east", Peer: dcsim.Addr(i).String(), State: listsv.Live,
		})
	}
	for i := range 20 * dcs {
		cmd.Put.Servers = append(cmd.Put.Servers, listsv.Server{
			Pool: "stock", Name: fmt.Sprintf("server-%04d", i), Address: dcsim.Addr(i).String(), State: listsv.Live,
		})
	}
	return cmd
}
