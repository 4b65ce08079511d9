// Package fleet starts small systems for integration tests, and generates background load on them.
package fleet

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/stand/system"
)

// DCSize is the size of each data centre of a plan.
type DCSize struct {
	Instances    int
	StockServers int // servers of the keyed pool "stock"; they check tokens
	CutServers   int // servers of the unkeyed pool "cut"; they do not accept grants
	ServerArgs   []string
}

// SlotCount is the number of slots of the keyed pool.
const SlotCount = 64

// Plan returns a system with data centres "dk-east-1" to "dk-east-n" in one region. Numbered across all data centres,
// instances are named i1, i2, ..., servers s1, s2, ... (stock) and c1, c2, ... (cut).
func Plan(dcs int, size DCSize) system.Plan {
	p := system.Plan{
		Regions: []system.Region{{Name: "dk-east"}},
		Pools:   []system.Pool{{Name: "stock", Keyed: true, Slots: SlotCount}, {Name: "cut"}},
	}
	for d := range dcs {
		dc := fmt.Sprintf("dk-east-%d", d+1)
		p.Regions[0].DCs = append(p.Regions[0].DCs, dc)
		for i := range size.Instances {
			name := fmt.Sprintf("i%d", d*size.Instances+i+1)
			p.Instances = append(p.Instances, system.Instance{Name: name, DC: dc, Region: "dk-east"})
		}
		for i := range size.StockServers {
			name := fmt.Sprintf("s%d", d*size.StockServers+i+1)
			p.Servers = append(p.Servers, system.Server{Name: name, Pool: "stock", DC: dc, Checks: true, Args: size.ServerArgs})
		}
		for i := range size.CutServers {
			name := fmt.Sprintf("c%d", d*size.CutServers+i+1)
			p.Servers = append(p.Servers, system.Server{Name: name, Pool: "cut", DC: dc, Args: size.ServerArgs})
		}
	}
	return p
}

// Routes is the route table for Plan. Orders carry an idempotency key; notes do not.
const Routes = `{
  "ranks": [
    {"name": "urgent", "share": 0.5, "target": "500ms", "worth": 10},
    {"name": "normal", "share": 0.3, "target": "1s", "worth": 3},
    {"name": "bulk", "share": 0.1, "target": "2s", "worth": 1},
  ],
  "routes": [
    {"name": "stock", "methods": ["GET"], "path": "/stock/*", "pool": "stock", "rank": "urgent", "tenant": "skygge",
      "key": {"segment": 2}, "timeout": "2s", "retry": true},
    {"name": "orders", "methods": ["POST"], "path": "/orders", "pool": "cut", "rank": "normal", "tenant": "skygge",
      "timeout": "3s", "once": {"header": "X-Order-Id", "window": "24h"}, "retry": true},
    {"name": "notes", "methods": ["POST"], "path": "/notes", "pool": "cut", "rank": "bulk", "tenant": "skygge",
      "timeout": "3s", "retry": true},
  ],
}`

// Lookup returns a GET request for a key of pool "stock".
func Lookup(key int) system.Call { return system.Call{Path: fmt.Sprintf("/stock/k%d", key)} }

// Order returns a request that must not run twice.
func Order(id string) system.Call {
	return system.Call{
		Method: "POST", Path: "/orders", Body: "order " + id, Identity: id, Headers: map[string]string{"X-Order-Id": id},
	}
}

// Note returns a request that its caller may repeat, each time as new work.
func Note(body string) system.Call { return system.Call{Method: "POST", Path: "/notes", Body: body} }

// AwaitTimeout limits waits for states that a healthy system reaches within a few seconds. It is no target.
const AwaitTimeout = 60 * time.Second

// StartSystem starts the system, publishes the tables, and waits until all instances are ready and all slots are served.
func StartSystem(tb testing.TB, p system.Plan) *system.System {
	tb.Helper()
	sys := system.New(tb, p)
	for _, in := range p.Instances {
		sys.Start(in.Name)
	}
	sys.Publish(Routes)
	for _, in := range p.Instances {
		sys.Await(in.Name+" is ready", AwaitTimeout, func() bool {
			s, err := sys.Status(in.Name)
			return err == nil && s.Ready && s.Config > 0
		})
	}
	AwaitSlotsServed(sys, p.Instances[0].Name)
	return sys
}

// KeyPerSlot returns one key for each slot of the keyed pool, indexed by slot.
func KeyPerSlot() []int {
	out, found := make([]int, SlotCount), make([]bool, SlotCount)
	for key, missing := 0, SlotCount; missing > 0; key++ {
		if slot := xxhash.Sum64String(fmt.Sprintf("k%d", key)) % SlotCount; !found[slot] {
			out[slot], found[slot] = key, true
			missing--
		}
	}
	return out
}

// lookupCallers is the number of concurrent callers of AwaitKeysServed.
const lookupCallers = 8

// AwaitWitnesses waits until the term of each data centre has all its instances and checking servers as witnesses. A
// controller that was elected while others were starting renews its term some seconds later. Until then the term has
// few witnesses and perhaps no successor, and does not survive the failures that tests cause.
func AwaitWitnesses(sys *system.System) {
	for _, region := range sys.Plan.Regions {
		for _, dc := range region.DCs {
			want := 0
			for _, in := range sys.Plan.Instances {
				if in.DC == dc {
					want++
				}
			}
			for _, s := range sys.Plan.Servers {
				if s.DC == dc && s.Checks {
					want++
				}
			}
			sys.Await("the term has all witnesses in "+dc, AwaitTimeout, func() bool { return sys.WitnessCount(sys.Controller(dc)) == want })
		}
	}
}

// AwaitSlotsServed waits until an instance has answered a lookup in each slot with status 200.
func AwaitSlotsServed(sys *system.System, instance string) {
	AwaitKeysServed(sys, instance, KeyPerSlot())
}

// AwaitKeysServed waits until an instance has answered a lookup of each key with status 200.
func AwaitKeysServed(sys *system.System, instance string, keys []int) {
	var wg conc.WaitGroup
	var served atomic.Int64
	deadline := time.Now().Add(AwaitTimeout)
	for n := range lookupCallers {
		wg.Go(func() {
			for i := n; i < len(keys); i += lookupCallers {
				for time.Now().Before(deadline) {
					if sys.Call(instance, Lookup(keys[i])).Status == 200 {
						served.Add(1)
						break
					}
					time.Sleep(lookupInterval)
				}
			}
		})
	}
	wg.Wait()
	if n := int(served.Load()); n < len(keys) {
		sys.Fatalf("%d of %d keys are not served through %s within %v", len(keys)-n, len(keys), instance, AwaitTimeout)
	}
}

// KeysWithHome returns the keys of KeyPerSlot whose slot has data centre dc as its home, according to an instance.
func KeysWithHome(sys *system.System, instance, dc string) []int {
	var out []int
	for _, key := range KeyPerSlot() {
		if e, err := sys.Explain(instance, Lookup(key).Path, fmt.Sprint("k", key)); err == nil && e.Home == dc {
			out = append(out, key)
		}
	}
	return out
}

// lookupInterval limits the load by lookups of keys that are not served yet.
const lookupInterval = 10 * time.Millisecond
