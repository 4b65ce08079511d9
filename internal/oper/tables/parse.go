package tables

import (
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
)

// Fault is one error or warning about a table, with the position of the value.
type Fault = jsonc.Fault

// File names used in faults.
const (
	RoutesFile = "routes"
	PoolsFile  = "pools"
)

const (
	defaultSlots   = 1024
	maxSlots       = 65536
	defaultTimeout = 2 * time.Second
	// A slot of a lost server that does not check tokens can move only when its longest request has ended.
	// maxTimeout bounds that outage.
	maxTimeout        = 10 * time.Minute
	defaultOnceWindow = 24 * time.Hour
	maxOnceWindow     = 30 * 24 * time.Hour
	maxYield          = 24 * time.Hour
	maxServerLimit    = 100_000 // concurrent requests or connections of one server
	// Each route is compared with every rank, pool and earlier route, so with unbounded lists one publication
	// could keep all instances busy for minutes.
	maxRanks  = 8
	maxRoutes = 4096
	maxPools  = 1024
)

// parser collects the tables and what the checks across both files need.
type parser struct {
	Tables
	serverNames     map[string]bool // of servers
	checkingServers map[string]int  // number of token-checking servers by data centre
	servedDCs       map[string]bool // data centres that have servers
	regionDCs       map[string]bool // data centres that a region lists
	poolsRead       bool            // the pools file is an object, so routes can be checked against it
}

// Parse reads and checks both tables, given as JSON with comments. It returns all faults, those of routes first;
// the tables are nil unless all faults are warnings. The result depends only on the arguments.
func Parse(routes, pools []byte) (*Tables, []Fault) {
	p := &parser{
		serverNames: make(map[string]bool), checkingServers: make(map[string]int),
		servedDCs: make(map[string]bool), regionDCs: make(map[string]bool),
	}
	poolDoc, root := jsonc.Parse(PoolsFile, pools)
	p.poolsRead = root.IsKind('{')
	p.readPools(root)
	routeDoc, root := jsonc.Parse(RoutesFile, routes)
	p.readRoutes(root)
	faults := slices.Concat(routeDoc.Faults(), poolDoc.Faults())
	if jsonc.HasErrors(faults) {
		return nil, faults
	}
	return &p.Tables, faults
}

// readUniqueName reads a name and adds it to seen; a name already there is a fault.
func readUniqueName(n jsonc.Node, what string, seen map[string]bool) string {
	name := n.Name()
	if name == "" {
		return ""
	}
	if seen[name] {
		n.AddFault("%s %q is declared twice", what, name)
	}
	seen[name] = true
	return name
}

// checkKnown reports whether names contains name. An unknown name is a fault unless empty.
func checkKnown(n jsonc.Node, what, name string, names []string) bool {
	if name == "" || slices.Contains(names, name) {
		return name != ""
	}
	n.AddFault("unknown %s %s%s", what, jsonc.Quote(name), jsonc.Hint(name, names))
	return false
}

// readBoundedArray returns the first limit elements of a list. More elements are a fault.
func readBoundedArray(list jsonc.Node, what string, limit int) []jsonc.Node {
	nodes := list.Array()
	if len(nodes) > limit {
		nodes[limit].AddFault("more than %d %s", limit, what)
		return nodes[:limit]
	}
	return nodes
}
