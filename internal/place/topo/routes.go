package topo

import (
	"strings"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

// Routes finds the route of a request by host and longest path prefix. Prefixes end with a slash.
type Routes map[string]map[string]*tables.Route

// NewRoutes indexes the routes of t.
func NewRoutes(t *tables.Tables) Routes {
	out := make(Routes)
	for i := range t.Routes {
		r := &t.Routes[i]
		if out[r.Host] == nil {
			out[r.Host] = make(map[string]*tables.Route)
		}
		out[r.Host][r.Path] = r
	}
	return out
}

// Find returns the route of a request target, nil if there is none. It ignores the query.
func (rs Routes) Find(host, target string) *tables.Route {
	path, _, _ := strings.Cut(target, "?")
	prefixes := rs[host]
	for i := len(path); i > 0 && prefixes != nil; i = strings.LastIndexByte(path[:i-1], '/') + 1 {
		if path[i-1] != '/' {
			continue
		}
		if r := prefixes[path[:i]]; r != nil {
			return r
		}
	}
	return nil
}
