package tables

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
)

// shareTolerance absorbs rounding in sums such as 0.5 + 0.3 + 0.2.
const shareTolerance = 1e-9

func (p *parser) readRoutes(root jsonc.Node) {
	o := root.Object("ranks", "routes")
	p.readRanks(o.Required("ranks"))
	seen := make(map[string]bool)
	for _, n := range readBoundedArray(o.Required("routes"), "routes", maxRoutes) {
		if r := n.Object(routeFields...); r.Valid() {
			p.readRoute(r, seen)
		}
	}
}

var routeFields = []string{"name", "methods", "path", "pool", "rank", "tenant", "key", "timeout", "once", "retry"}

func (p *parser) readRanks(list jsonc.Node) {
	seen, sum, overReported := make(map[string]bool), 0.0, false
	for _, n := range readBoundedArray(list, "ranks", maxRanks) {
		o := n.Object("name", "share", "target", "worth")
		r := Rank{
			Name:   readUniqueName(o.Required("name"), "rank", seen),
			Share:  o.Required("share").Number(0, 1),
			Target: o.Required("target").Duration(maxTimeout),
			Worth:  1,
		}
		if o.Has("worth") {
			r.Worth = o.Get("worth").Number(0, math.MaxInt32)
		}
		if sum += r.Share; sum > 1+shareTolerance && !overReported {
			overReported = true
			o.Get("share").AddFault("the shares of the ranks add up to more than 1")
		}
		p.Ranks = append(p.Ranks, r)
	}
	if list.IsKind('[') && len(p.Ranks) == 0 {
		list.AddFault("at least one rank is needed")
	}
}

func (p *parser) readRoute(o jsonc.Object, seen map[string]bool) {
	r := Route{
		Name:    readUniqueName(o.Required("name"), "route", seen),
		Methods: readMethods(o.Get("methods")),
		Path:    readPath(o.Required("path")),
		Pool:    o.Required("pool").Name(),
		Rank:    o.Required("rank").Name(),
		Timeout: defaultTimeout,
		Retry:   o.Get("retry").Bool(),
	}
	if o.Has("tenant") {
		r.Tenant = o.Get("tenant").Name()
	}
	if o.Has("timeout") {
		r.Timeout = o.Get("timeout").Duration(maxTimeout)
	}
	if o.Has("key") {
		r.Key = readKey(o.Get("key"))
	}
	if o.Has("once") {
		r.Once = readOnce(o.Get("once"))
	}
	p.checkReferences(o, &r)
	p.warnShadowed(o.Get("path"), &r)
	p.Routes = append(p.Routes, r)
}

// checkReferences checks the rank, pool and key of a route against the declared ranks and pools.
func (p *parser) checkReferences(o jsonc.Object, r *Route) {
	ranks := make([]string, len(p.Ranks))
	for i := range p.Ranks {
		ranks[i] = p.Ranks[i].Name
	}
	checkKnown(o.Get("rank"), "rank", r.Rank, ranks)
	if !p.poolsRead {
		return
	}
	pools := make([]string, len(p.Pools))
	for i := range p.Pools {
		pools[i] = p.Pools[i].Name
	}
	if !checkKnown(o.Get("pool"), "pool", r.Pool, pools) {
		return
	}
	switch pool := p.Pool(r.Pool); {
	case pool.Keyed && !o.Has("key"):
		o.Get("pool").AddFault("pool %q is keyed, so the route needs a key", r.Pool)
	case !pool.Keyed && o.Has("key"):
		o.Get("key").AddFault("pool %q is not keyed, so the route must have no key", r.Pool)
	}
}

// warnShadowed warns if an earlier route matches all requests of r.
func (p *parser) warnShadowed(n jsonc.Node, r *Route) {
	for i := range p.Routes {
		if earlier := &p.Routes[i]; earlier.coversPath(r.Path) && earlier.coversMethods(r.Methods) {
			n.AddWarning("the route never matches: the earlier route %q matches all its requests", earlier.Name)
			return
		}
	}
}

func (r *Route) coversPath(path string) bool {
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return r.Path == path
}

func (r *Route) coversMethods(methods []string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	return len(methods) > 0 && !slices.ContainsFunc(methods, func(m string) bool { return !slices.Contains(r.Methods, m) })
}

func readMethods(list jsonc.Node) []string {
	if !list.Valid() {
		return nil
	}
	var methods []string
	for _, n := range list.Array() {
		m := n.Text()
		switch {
		case !n.IsKind('"'):
		case m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
			n.AddFault("%s is not a method; methods are in capitals, such as \"GET\"", jsonc.Quote(m))
		case slices.Contains(methods, m):
			n.AddFault("method %s is listed twice", m)
		default:
			methods = append(methods, m)
		}
	}
	if list.IsKind('[') && len(list.Array()) == 0 {
		list.AddFault("the list is empty; leave the field out to match every method")
	}
	return methods
}

func readPath(n jsonc.Node) string {
	path := n.Text()
	switch {
	case !n.IsKind('"'):
	case !strings.HasPrefix(path, "/"):
		n.AddFault("a path must start with \"/\"")
	case strings.ContainsAny(path, "?# \t\r\n"):
		n.AddFault("a path must not contain white space, \"?\" or \"#\"")
	case strings.Contains(strings.TrimSuffix(path, "*"), "*"):
		n.AddFault("\"*\" may stand only at the end of a path")
	}
	return path
}

// maxPathSegment is the highest path segment that may hold the key.
const maxPathSegment = 32

func readKey(n jsonc.Node) KeySource {
	o := n.Object("header", "query", "segment")
	var s KeySource
	if o.Has("header") {
		s.Header = checkHeaderName(o.Get("header"), o.Get("header").Text())
	}
	if o.Has("query") {
		if s.Query = o.Get("query").Text(); s.Query == "" && o.Get("query").IsKind('"') {
			o.Get("query").AddFault("the name of the query parameter is empty")
		}
	}
	if o.Has("segment") {
		s.Segment = o.Get("segment").Int(1, maxPathSegment)
	}
	if o.Valid() && countPresent(o, "header", "query", "segment") != 1 {
		o.AddFault("a key needs exactly one of header, query and segment")
	}
	return s
}

func readOnce(n jsonc.Node) *OnceRule {
	o := n.Object("header", "fields", "window")
	once := &OnceRule{Window: defaultOnceWindow}
	if o.Has("window") {
		once.Window = o.Get("window").Duration(maxOnceWindow)
	}
	if o.Has("header") {
		once.Header = checkHeaderName(o.Get("header"), o.Get("header").Text())
	}
	if o.Has("fields") {
		once.Fields = readFields(o.Get("fields"))
	}
	if o.Valid() && countPresent(o, "header", "fields") != 1 {
		o.AddFault("once needs exactly one of header and fields")
	}
	// With a window below 1 s, a request could be forgotten while it still runs.
	if once.Window > 0 && once.Window < time.Second {
		o.Get("window").AddFault("the window must be at least 1s")
	}
	return once
}

var identityFields = []string{"caller", "method", "path", "query", "body"}

func readFields(list jsonc.Node) []string {
	var fields []string
	nodes := list.Array()
	for _, n := range nodes {
		f := n.Text()
		headerName, isHeader := strings.CutPrefix(f, "header:")
		switch {
		case !n.IsKind('"'):
			continue
		case isHeader:
			checkHeaderName(n, headerName)
		case !checkKnown(n, "field", f, identityFields):
			if f == "" {
				n.AddFault("the field is empty")
			}
			continue
		}
		if slices.Contains(fields, f) {
			n.AddFault("field %s is listed twice", jsonc.Quote(f))
			continue
		}
		fields = append(fields, f)
	}
	if list.IsKind('[') && len(nodes) == 0 {
		list.AddFault("at least one field is needed")
	}
	return fields
}

// checkHeaderName returns name, or "" with a fault at n if it is not a valid header name.
func checkHeaderName(n jsonc.Node, name string) string {
	if !n.IsKind('"') {
		return ""
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`()<>@,;:\"/[]?={}`, c) >= 0 {
			n.AddFault("%s is not a valid header name", jsonc.Quote(name))
			return ""
		}
	}
	if name == "" {
		n.AddFault("the header name is empty")
	}
	return name
}

func countPresent(o jsonc.Object, names ...string) int {
	n := 0
	for _, name := range names {
		if o.Has(name) {
			n++
		}
	}
	return n
}
