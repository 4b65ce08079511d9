// Package tables reads and checks the two tables that operators publish: routes, which say which requests go to
// which pool and at what rank, and pools, which describe the backend servers. They are joined by pool name.
package tables

import (
	"net/netip"
	"time"
)

// Tables is one checked version of both tables. It is never changed after Parse.
type Tables struct {
	Ranks   []Rank
	Routes  []Route // in order of precedence: the first match wins
	Pools   []Pool
	Regions []Region
	LostDCs []string // data centres that the operators declare destroyed
	Limits  Limits   // of platforms that publish them; zero otherwise
}

// Limits bound what a caller may send. Zero fields leave the instance's own limits in force.
type Limits struct {
	MaxHeader, MaxBody         int // bytes
	HeaderTimeout, IdleTimeout time.Duration
}

// Rank is a class of work. Ranks are listed most urgent first.
type Rank struct {
	Name   string
	Share  float64       // guaranteed part of each server's capacity, 0 to 1; unused share is lent
	Target time.Duration // latency within which an answer is useful
	Worth  float64       // relative worth of one answer within target
}

// Route selects requests by method and path.
type Route struct {
	Name    string
	Methods []string // empty matches each method
	Path    string   // exact, or a prefix when it ends in "*"
	Pool    string
	Rank    string
	Tenant  string    // label for metrics, may be empty
	Key     KeySource // where the key is found; zero for unkeyed pools
	Timeout time.Duration
	Once    *OnceRule // nil for work that may repeat
	// Retry permits a second send after a certain not-run verdict.
	Retry bool

	// The fields below come from platforms whose routes have them.

	Host     string        // empty matches each host
	Split    []PoolShare   // shares of several pools instead of Pool
	Attempts int           // servers that one request may be sent to; 0 means 1, or 2 with Retry
	Target   time.Duration // latency within which an answer has its full worth
	Priority int           // 0 is the most urgent
}

// PoolShare is the share of a pool in a split route.
type PoolShare struct {
	Pool   string
	Weight float64
}

// MayRepeat reports whether requests of the route may run more than once.
func (r *Route) MayRepeat() bool { return r.Once == nil }

// KeySource names a part of a request. Exactly one field is set.
type KeySource struct {
	Header  string
	Query   string
	Segment int // number of the path segment, from 1; 0 means unset
}

// OnceRule declares work that must not repeat.
type OnceRule struct {
	Header string        // request header that carries the idempotency key
	Fields []string      // otherwise the parts that identify a request: "caller", "method", "path", "query", "body" or "header:NAME"
	Window time.Duration // how long resends are recognised
}

// Pool is a set of servers behind one service.
type Pool struct {
	Name    string
	Keyed   bool
	Slots   uint32        // number of slots of a keyed pool
	Yield   time.Duration // 0: slots stay with a data centre that is cut off
	Remote  bool          // unkeyed pools: other data centres may serve when the local servers cannot
	Servers []Server

	Connections int           // limit of each server over all instances, if the platform states one for the pool
	Warm        time.Duration // how long keys are slow that arrive without a handover
}

// Server is one backend server.
type Server struct {
	Name        string // unique in all pools
	Address     netip.AddrPort
	DC          string
	Slots       int  // concurrent requests
	Connections int  // connection limit over all instances
	Checks      bool // the server checks tokens and accepts grants
	Leaving     bool
}

// Region is a set of data centres without a metered link between them.
type Region struct {
	Name string
	DCs  []string
}

// Pool returns the pool of that name, or nil.
func (t *Tables) Pool(name string) *Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

// Server returns the server of that name, or nil.
func (p *Pool) Server(name string) *Server {
	for i := range p.Servers {
		if p.Servers[i].Name == name {
			return &p.Servers[i]
		}
	}
	return nil
}

// Rank returns the rank of that name and its index, 0 being the most urgent, or nil and -1.
func (t *Tables) Rank(name string) (*Rank, int) {
	for i := range t.Ranks {
		if t.Ranks[i].Name == name {
			return &t.Ranks[i], i
		}
	}
	return nil, -1
}
