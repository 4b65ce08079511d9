// Package audit checks decoded tables before they are published and compares them with the tables in force. Its results
// depend only on the arguments. Messages don't name the kind or field of a value; Finding has them as the fields of
// package tables are called, and the decoder's package replaces them by the names of its documents.
package audit

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

// Kinds of entries, in Finding.Kind and Change.Kind.
const (
	KindRoute  = "route"
	KindPool   = "pool"
	KindLimits = "limits"
)

// Finding is an error or a warning about a document.
type Finding struct {
	Warning bool   `json:"warning"`
	Line    int    `json:"line"`   // from 1; 0 if the finding has no position
	Column  int    `json:"column"` // in bytes, from 1
	Kind    string `json:"kind,omitempty"`
	Name    string `json:"name,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`

	Index int `json:"-"` // of the entry among those of its kind
	Item  int `json:"-"` // number of the element of a list field, from 1; 0 for the whole field
}

// Report is the result of the check of one document.
type Report struct {
	Version  string    `json:"version"`
	InForce  string    `json:"in-force,omitempty"` // version of the document in force, if given
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"` // against the document in force; empty without it or if the document can't be decoded
}

// HasErrors reports whether any finding is not a warning.
func (r *Report) HasErrors() bool {
	return slices.ContainsFunc(r.Findings, func(f Finding) bool { return !f.Warning })
}

// Options holds what is known of the system that gets the tables. Zero fields are unknown, and what depends on them is
// not checked.
type Options struct {
	Regions []string
	Servers int   // of a pool
	Memory  int64 // bytes
}

// checker collects the findings about one set of tables.
type checker struct {
	Options
	tables   *tables.Tables
	findings []Finding
}

// Check returns what is wrong with the tables: routes that never match or are never served, and limits that contradict
// each other.
func Check(t *tables.Tables, o Options) []Finding {
	c := &checker{Options: o, tables: t}
	routes, last := make(map[string]bool), make(map[[2]string]int)
	for i := range t.Routes {
		last[[2]string{t.Routes[i].Host, t.Routes[i].Path}] = i
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		at := Finding{Kind: KindRoute, Name: r.Name, Index: i}
		if c.checkName(at, routes); last[[2]string{r.Host, r.Path}] != i {
			at.Field = "path"
			c.add(at, "never matches: %q has the same host and path", t.Routes[last[[2]string{r.Host, r.Path}]].Name)
		}
		c.checkRoute(at, r)
	}
	pools := make(map[string]bool)
	for i := range t.Pools {
		p := &t.Pools[i]
		at := Finding{Kind: KindPool, Name: p.Name, Index: i}
		c.checkName(at, pools)
		if p.ColdRate > 0 && p.ColdStart <= 0 {
			at.Field = "coldrate"
			c.warn(at, "has no effect, as the time for which a server is cold is not set")
		}
	}
	if o.Memory > 0 && int64(t.Limits.Body) > o.Memory {
		c.add(Finding{Kind: KindLimits, Field: "body"}, "%d bytes exceed the memory of %d bytes", t.Limits.Body, o.Memory)
	}
	return c.findings
}

func (c *checker) add(at Finding, format string, args ...any) {
	at.Message = fmt.Sprintf(format, args...)
	c.findings = append(c.findings, at)
}

func (c *checker) warn(at Finding, format string, args ...any) {
	at.Warning = true
	c.add(at, format, args...)
}

// checkName checks that the entry's name is not empty and not in seen, and adds it there.
func (c *checker) checkName(at Finding, seen map[string]bool) {
	switch at.Field = "name"; {
	case at.Name == "":
		c.add(at, "is missing")
	case seen[at.Name]:
		c.add(at, "%s is declared twice", jsonc.Quote(at.Name))
	}
	seen[at.Name] = true
}

func (c *checker) checkRoute(at Finding, r *tables.Route) {
	// The index of routes finds only prefixes between two slashes of the request's path.
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
		at.Field = "path"
		c.add(at, "never matches: %s does not begin and end with a slash", jsonc.Quote(r.Path))
	}
	if r.Timeout > 0 && r.Timeout < r.Target {
		// Such routes are in use: an answer is in time or does not come.
		at.Field = "timeout"
		c.warn(at, "%s is below the target latency of %s", r.Timeout, r.Target)
	}
	if c.Servers > 0 && r.Attempts > c.Servers {
		at.Field = "attempts"
		c.add(at, "%d attempts exceed the %d servers", r.Attempts, c.Servers)
	}
	c.checkPools(at, r)
	c.checkRegions(at, r)
}

// checkPools checks the pool of a route, or the pools and weights of a split.
func (c *checker) checkPools(at Finding, r *tables.Route) {
	if len(r.Split) == 0 {
		at.Field = "pool"
		c.checkPool(at, r.Pool)
		return
	}
	sum, negative := 0.0, false
	for i, s := range r.Split {
		at.Field, at.Item = "pool", i+1
		c.checkPool(at, s.Pool)
		if s.Weight < 0 {
			negative, at.Field = true, "weight"
			c.add(at, "%g is negative", s.Weight)
		}
		sum += s.Weight
	}
	if sum == 0 && !negative {
		at.Field, at.Item = "split", 0
		c.add(at, "all weights are zero")
	}
}

func (c *checker) checkPool(at Finding, name string) {
	if name == "" {
		c.add(at, "is missing")
		return
	}
	if c.tables.Pool(name) != nil {
		return
	}
	names := make([]string, len(c.tables.Pools))
	for i := range c.tables.Pools {
		names[i] = c.tables.Pools[i].Name
	}
	c.add(at, "%s is not defined%s", jsonc.Quote(name), jsonc.Hint(name, names))
}

// checkRegions warns of each unknown region. If none is known, no server may get the route's requests.
func (c *checker) checkRegions(at Finding, r *tables.Route) {
	if len(c.Regions) == 0 || len(r.Regions) == 0 {
		return
	}
	at.Field = "regions"
	if !slices.ContainsFunc(r.Regions, func(name string) bool { return slices.Contains(c.Regions, name) }) {
		c.add(at, "never served: none of %s is a known region", strings.Join(r.Regions, ", "))
		return
	}
	for i, name := range r.Regions {
		if at.Item = i + 1; !slices.Contains(c.Regions, name) {
			c.warn(at, "unknown region %s%s", jsonc.Quote(name), jsonc.Hint(name, c.Regions))
		}
	}
}
