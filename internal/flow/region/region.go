// Package region decides in which regions the requests of a route may be served. Routes without allowed regions may be served in
// all of them.
package region

import (
	"slices"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// Allows reports whether requests of a route that is allowed in the given regions may be sent to servers of a data centre. One
// whose region is unknown is allowed only by routes without allowed regions.
func Allows(regions []string, l topo.Location, dc string) bool {
	if len(regions) == 0 {
		return true
	}
	r := l.Region[dc]
	return r != "" && slices.Contains(regions, r)
}

// OfRequest returns the regions that the newest tables allow for a request, whose route was found in earlier ones. A change binds
// requests that were read before it.
func OfRequest(w *topo.Snapshot, earlier *tables.Route, host, uri string) []string {
	if newest := w.Routes.Find(host, uri); newest != nil {
		return newest.Regions
	}
	return earlier.Regions
}

// OfPool returns the regions in which the owners of a keyed pool's keys should stand, so that all routes to the pool can be served:
// those that each of its routes allows. It is empty if the routes have no region in common, or allow all.
func OfPool(t *tables.Tables, pool string) (regions []string) {
	restricted := false
	for i := range t.Routes {
		r := &t.Routes[i]
		if len(r.Regions) == 0 || !leadsTo(r, pool) {
			continue
		}
		if !restricted {
			restricted, regions = true, slices.Clone(r.Regions)
			continue
		}
		regions = slices.DeleteFunc(regions, func(name string) bool { return !slices.Contains(r.Regions, name) })
	}
	return regions
}

func leadsTo(r *tables.Route, pool string) bool {
	return r.Pool == pool || slices.ContainsFunc(r.Split, func(p tables.PoolShare) bool { return p.Pool == pool })
}
