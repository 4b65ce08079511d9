// Package accept decides which servers of a keyed pool may own keys: none of an evacuated data centre, those in the regions that the
// routes to the pool allow, and cold ones only if nobody else can. It reads no clock.
package accept

import (
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/cold"
	"github.com/bramleycove/bramleycove/internal/flow/region"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// Rules is what decides besides the snapshot. It is not safe for concurrent use.
type Rules struct {
	topo.Location

	tables  *tables.Tables      // of regions
	regions map[string][]string // by pool, kept since the tables may have thousands of routes
}

// MayOwn reports whether s may keep its keys.
func (r *Rules) MayOwn(w *topo.Snapshot, s *topo.Server) bool {
	if _, evacuated := w.Evacuations.Since(s.DC); evacuated {
		return false
	}
	regions := r.poolRegions(w.Tables, s.Pool)
	if region.Allows(regions, r.Location, s.DC) {
		return true
	}
	// Other routes to the pool can be served anywhere.
	return !slices.ContainsFunc(w.Pools[s.Pool], func(o *topo.Server) bool { return region.Allows(regions, r.Location, o.DC) })
}

func (r *Rules) poolRegions(t *tables.Tables, pool string) []string {
	if t == nil {
		return nil
	}
	if r.tables != t {
		r.tables, r.regions = t, make(map[string][]string)
	}
	regions, known := r.regions[pool]
	if !known {
		regions = region.OfPool(t, pool)
		r.regions[pool] = regions
	}
	return regions
}

// Accepting returns which of a pool's servers may get keys, out of those that usable reports. A cold server gets none while a warm
// one may, as all keys of a server get requests at once; it keeps those that it has.
func Accepting(now time.Time, w *topo.Snapshot, servers []*topo.Server, owned spans.Map, usable func(*topo.Server) bool) func(*topo.Server) bool {
	isCold := func(s *topo.Server) bool {
		_, is := cold.Rate(now, w, s)
		return is
	}
	if !slices.ContainsFunc(servers, func(s *topo.Server) bool { return !isCold(s) && usable(s) }) {
		return usable
	}
	return func(s *topo.Server) bool {
		return usable(s) && (!isCold(s) || slices.ContainsFunc(owned, func(sp spans.Span) bool { return sp.Owner == s.Owner }))
	}
}
