package tables

import (
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
)

// Fault is one thing wrong in a table, with the place of the faulty value.
type Fault = jsonc.Fault

// Names of the two files in faults.
const (
	RoutesFile = "routes"
	PoolsFile  = "pools"
)

const (
	defaultSlots   = 1024
	maxSlots       = 65536
	defaultTimeout = 2 * time.Second
	// maxTimeout bounds how long a slot of a server that does not check tokens stays out of service after a loss:
	// it can move only when the longest request has ended.
	maxTimeout        = 10 * time.Minute
	defaultOnceWindow = 24 * time.Hour
	maxOnceWindow     = 30 * 24 * time.Hour
	maxYield          = 24 * time.Hour
	maxServerLimit    = 100_000 // concurrency slots or connections of one server
	// Each route is compared with every rank, pool and earlier route, so unbounded lists would let one publication
	// occupy all instances for minutes.
	maxRanks  = 8
	maxRoutes = 4096
	maxPools  = 1024
)

// parser holds what checks across the two files need.
type parser struct {
	Tables
	serverNames     map[string]bool // of servers
	checkingServers map[string]int  // number of token-checking servers by data centre
	servedDCs       map[string]bool // data centres with servers
	regionDCs       map[string]bool // data centres in regions
	poolsRead       bool            // the pools file could be read, so routes can be checked against it
}

// Parse reads and checks both tables, as JSON with comments. Every fault found is returned, those of routes first;
// the tables are nil unless all faults are warnings. The result depends on the arguments alone.
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

// readUniqueName reads a name and records it in seen; a second use is a fault.
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

// checkKnown reports whether name is among names, and records a fault if not.
func checkKnown(n jsonc.Node, what, name string, names []string) bool {
	if name == "" || slices.Contains(names, name) {
		return name != ""
	}
	n.AddFault("unknown %s %s%s", what, jsonc.Quote(name), jsonc.Hint(name, names))
	return false
}

// readBoundedArray returns the elements of a list of at most limit elements.
func readBoundedArray(list jsonc.Node, what string, limit int) []jsonc.Node {
	nodes := list.Array()
	if len(nodes) > limit {
		nodes[limit].AddFault("more than %d %s", limit, what)
		return nodes[:limit]
	}
	return nodes
}
