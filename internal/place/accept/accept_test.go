package accept_test

import (
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/cold"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/accept"
	"github.com/bramleycove/bramleycove/internal/place/evac"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

var (
	now      = time.Unix(1e9, 0)
	location = topo.Location{DC: "n1", Region: map[string]string{"n1": "north", "n2": "north", "s1": "south"}}
)

const coldStart = 3 * time.Second

func newSnapshot(routes ...tables.Route) *topo.Snapshot {
	w := &topo.Snapshot{
		Tables: &tables.Tables{Routes: routes, Pools: []tables.Pool{{Name: "p", Keyed: true, ColdStart: coldStart, ColdRate: 7}}},
		Pools:  make(map[string][]*topo.Server),
	}
	for _, dc := range []string{"n1", "n2", "s1"} {
		w.Pools["p"] = append(w.Pools["p"], &topo.Server{Owner: spans.Owner{Server: dc, StartMs: 1}, Pool: "p", DC: dc})
	}
	return w
}

func always(*topo.Server) bool { return true }

// Guards against keys at servers that the routes to the pool must not reach, and against a pool whose keys nobody may own.
func TestMayOwn(t *testing.T) {
	t.Parallel()
	north, south := tables.Route{Pool: "p", Regions: []string{"north"}}, tables.Route{Pool: "p", Regions: []string{"south"}}
	lost := tables.Route{Split: []tables.PoolShare{{Pool: "p", Weight: 1}}, Regions: []string{"west"}}
	evacuated := newSnapshot()
	evacuated.Evacuations = evacuated.Evacuations.With(now, "n2", true)
	for name, c := range map[string]struct {
		*topo.Snapshot
		owners []bool // of n1, n2, s1
	}{
		"no regions":                {newSnapshot(tables.Route{Pool: "p"}), []bool{true, true, true}},
		"one region":                {newSnapshot(tables.Route{Pool: "p"}, north), []bool{true, true, false}},
		"regions of another pool":   {newSnapshot(tables.Route{Pool: "q", Regions: []string{"south"}}), []bool{true, true, true}},
		"routes without a common":   {newSnapshot(north, south), []bool{true, true, true}},
		"no server in the region":   {newSnapshot(lost), []bool{true, true, true}},
		"a data centre is evacuted": {evacuated, []bool{true, false, true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := accept.Rules{Location: location}
			for i, s := range c.Pools["p"] {
				if r.MayOwn(c.Snapshot, s) != c.owners[i] {
					t.Errorf("the server in %s may own keys: %v, want %v", s.DC, !c.owners[i], c.owners[i])
				}
			}
		})
	}
}

// Guards against keys for servers that have just started, all of whose requests would come at once, and against a pool of cold
// servers only that serves no keys.
func TestColdServersGetNoKeys(t *testing.T) {
	t.Parallel()
	w := newSnapshot()
	servers := w.Pools["p"]
	servers[0].WarmAt, servers[1].WarmAt = now.Add(time.Second), now.Add(time.Second)
	owned := spans.Map{{First: 0, Last: spans.Last, Owner: servers[1].Owner, Fence: 1}}
	accepts := accept.Accepting(now, w, servers, owned, always)
	if accepts(servers[0]) || !accepts(servers[1]) || !accepts(servers[2]) {
		t.Errorf("a cold server accepts keys: %v, with keys: %v, a warm one: %v; want false, true, true",
			accepts(servers[0]), accepts(servers[1]), accepts(servers[2]))
	}
	if accepts = accept.Accepting(now.Add(2*time.Second), w, servers, owned, always); !accepts(servers[0]) {
		t.Error("a server that is warm again accepts no keys")
	}
	servers[2].WarmAt = now.Add(time.Second)
	if accepts = accept.Accepting(now, w, servers, nil, always); !accepts(servers[0]) {
		t.Error("no server accepts keys while all are cold")
	}
}

// Guards against servers that get all of their requests as soon as an evacuation ends, though they are cold then, and against one that
// lasts for ever.
func TestColdAfterEvacuation(t *testing.T) {
	t.Parallel()
	w := newSnapshot()
	s := w.Pools["p"][1]
	for name, c := range map[string]struct {
		state evac.State
		cold  bool
	}{
		"before":          {evac.State{}, false},
		"just evacuated":  {evac.State{}.With(now, "n2", true), true},
		"another one":     {evac.State{}.With(now, "s1", true), false},
		"just returned":   {evac.State{}.With(now.Add(-time.Hour), "n2", true).With(now, "n2", false), true},
		"returned before": {evac.State{}.With(now.Add(-time.Hour), "n2", true).With(now.Add(-coldStart), "n2", false), false},
		"never evacuated": {evac.State{}.With(now, "n2", false), false},
	} {
		v := *w
		v.Evacuations = c.state
		if rate, is := cold.Rate(now, &v, s); is != c.cold || is && rate != 7 {
			t.Errorf("%s: cold %v at a rate of %v, want %v", name, is, rate, c.cold)
		}
	}
	if n := (evac.State{}).With(now, "n2", true).With(now, "s1", true).Evacuated(); n != 2 {
		t.Errorf("%d data centres evacuated, want 2", n)
	}
}
