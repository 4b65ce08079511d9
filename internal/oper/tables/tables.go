// Package tables reads and checks the two tables that operators publish. The routes table assigns requests to a pool
// and a rank; the pools table describes the backend servers. Routes refer to pools by name.
package tables

import (
	"net/netip"
	"time"
)

// Tables is one checked version of both tables. It is read-only after Parse.
type Tables struct {
	Ranks   []Rank
	Routes  []Route // the first route that matches a request applies
	Pools   []Pool
	Regions []Region
	Lost    []string // data centres that operators declare destroyed
	Limits  Limits   // zero unless the platform publishes limits
}

// Limits bounds what a caller may send. For a zero field the instance's own limit applies.
type Limits struct {
	Header, Body     int // bytes
	HeaderTime, Idle time.Duration
}

// Rank is a priority class of requests. Ranks are listed most urgent first.
type Rank struct {
	Name   string
	Share  float64       // guaranteed part of each server's capacity, 0 to 1; other ranks may use idle parts
	Target time.Duration // latency within which an answer is useful
	Worth  float64       // relative value of one answer within Target
}

// Route selects requests by method and path.
type Route struct {
	Name    string
	Methods []string // empty matches every method
	Path    string   // exact, or a prefix if it ends in "*"
	Pool    string
	Rank    string
	Tenant  string    // label for metrics, may be empty
	Key     KeySource // zero for unkeyed pools
	Timeout time.Duration
	Once    *OnceRule // nil if requests may run more than once
	// Retry permits a second send if the request certainly did not run.
	Retry bool

	// Only some platforms set the fields below.

	Host     string        // empty matches every host
	Split    []PoolShare   // divides requests among these pools, instead of Pool
	Attempts int           // servers that one request may be sent to; 0 means 1, or 2 with Retry
	Target   time.Duration // latency within which an answer has its full value
	Priority int           // 0 is the most urgent
	Regions  []string      // only servers in these regions may get requests; empty means all regions
}

// PoolShare is the relative weight of one pool in a split route.
type PoolShare struct {
	Pool   string
	Weight float64
}

// MayRepeat reports whether requests of the route may run more than once.
func (r *Route) MayRepeat() bool { return r.Once == nil }

// KeySource names the part of a request that holds its key. Exactly one field is set.
type KeySource struct {
	Header  string
	Query   string
	Segment int // index of the path segment, from 1; 0 means unset
}

// OnceRule says how to recognise resends of requests that must not run twice.
type OnceRule struct {
	Header string        // request header that carries the idempotency key
	Fields []string      // otherwise the parts that identify a request: "caller", "method", "path", "query", "body" or "header:NAME"
	Window time.Duration // how long resends are recognised
}

// Pool is a set of servers of one service.
type Pool struct {
	Name    string
	Keyed   bool
	Slots   uint32        // number of slots of a keyed pool
	Yield   time.Duration // time until a cut-off data centre gives up its slots; 0: never
	Remote  bool          // unkeyed pools: other data centres may serve when the local servers cannot
	Servers []Server

	Health      string        // path at which servers say who they are, if the platform has one
	Connections int           // limit of each server over all instances, if the platform sets one
	Warm        time.Duration // how long a key stays slow after it moved without a handover
	ColdStart   time.Duration // how long a server is cold after its start
	ColdRate    float64       // requests per second that a cold server takes from all instances together; 0 means no limit
}

// Server is one backend server.
type Server struct {
	Name        string // unique in all pools
	Address     netip.AddrPort
	DC          string
	Slots       int  // limit of concurrent requests
	Connections int  // connection limit over all instances
	Checks      bool // the server checks tokens and accepts grants
	Leaving     bool
}

// Region is a set of data centres with no metered link between them.
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
