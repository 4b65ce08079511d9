// Package lanes dispatches requests to servers: it queues the requests of each lane by rank, keeps to the concurrency
// limits of its servers and sends. All requests to a lane's servers go through the instance that dispatches the lane.
package lanes

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/flow/resend"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Reasons of refusals, as they appear in result.Error. All of them mean that the request did not run.
const (
	ReasonStale    = "stale-target"   // this instance does not hold the lane, slot or token
	ReasonLapsed   = "lease-lapsed"   // this instance holds the slot, but its lease has ended
	ReasonQueue    = "queue-full"     // the answer would come too late, or too many requests wait to run alone
	ReasonDeadline = "deadline"       // the deadline passed before the request was sent
	ReasonCanceled = "cancelled"      // the caller gave up in the queue
	ReasonFrozen   = "servers-frozen" // all servers are frozen, and no trial has room in time
	ReasonServers  = "no-servers"     // the lane has no server that takes work
	ReasonHeld     = "servers-held"   // all servers are held back for longer than the rank's target
	ReasonCrash    = "quarantine"     // the request has crashed servers
	ReasonRank     = "unknown-rank"
)

// Config holds the settings and callbacks of a Dispatcher. Ranks is required, the others may be nil.
type Config struct {
	// Ranks returns the ranks of the tables in force, most urgent first.
	Ranks func() []tables.Rank
	// Servers returns the servers of an unkeyed lane that this instance serves as a fallback.
	Servers func(lane string) []tables.Server
	// ServerLeaving reports whether the platform's list says that a server is leaving.
	ServerLeaving func(server string) bool
	// Admit decides by the servers lost to requests with this fingerprint: a request runs like any other, or alone on its
	// server, or is refused for the time returned.
	Admit func(now time.Time, fingerprint [16]byte) (alone bool, refuse time.Duration)
	// ServerLost records that a process of a server was lost while it ran a request with this fingerprint.
	ServerLost func(now time.Time, server string, fingerprint [16]byte)
	// AloneSucceeded records that a request that ran alone was answered.
	AloneSucceeded func(now time.Time, fingerprint [16]byte)
	// Instances returns the number of instances, each of which may serve an unkeyed lane as a fallback.
	Instances func() int
	// NotifyReleasable is called when TakeReleased has something to return, with locks held: it must not block.
	NotifyReleasable func()
	// DialAddress returns the address to dial for a server. nil means the server's own address.
	DialAddress func(netip.AddrPort) netip.AddrPort
	// Seed seeds the random waits before retries.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Dispatcher dispatches the lanes of one instance. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	closing conc.WaitGroup

	mu      sync.RWMutex
	lanes   map[string]*lane
	removed map[string]*lane // no longer dispatched, kept until their requests have ended and are released

	resender *resend.Resender
}

// New returns a Dispatcher without lanes.
func New(cfg Config) *Dispatcher {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Servers == nil {
		cfg.Servers = func(string) []tables.Server { return nil }
	}
	if cfg.DialAddress == nil {
		cfg.DialAddress = func(a netip.AddrPort) netip.AddrPort { return a }
	}
	if cfg.ServerLeaving == nil {
		cfg.ServerLeaving = func(string) bool { return false }
	}
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	if cfg.Admit == nil {
		cfg.Admit = func(time.Time, [16]byte) (bool, time.Duration) { return false, 0 }
	}
	if cfg.ServerLost == nil {
		cfg.ServerLost = func(time.Time, string, [16]byte) {}
	}
	if cfg.AloneSucceeded == nil {
		cfg.AloneSucceeded = func(time.Time, [16]byte) {}
	}
	if cfg.NotifyReleasable == nil {
		cfg.NotifyReleasable = func() {}
	}
	d := &Dispatcher{cfg: cfg, lanes: make(map[string]*lane), removed: make(map[string]*lane)}
	d.resender = resend.New(cfg.Seed, d.sendOnce)
	return d
}

// Update sets the lanes that this instance dispatches and the end of its lease on the local monotonic clock. Lanes
// missing from defs are removed: requests that wait in them are refused, those in progress end normally.
func (d *Dispatcher) Update(now time.Time, defs []*peerpb.Lane, leaseEnd time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[string]bool, len(defs))
	for _, def := range defs {
		present[def.GetName()] = true
		ln := d.lanes[def.GetName()]
		if ln == nil {
			// A lane that is assigned again keeps its requests in progress, whose slots may not have been released yet.
			if ln = d.removed[def.GetName()]; ln == nil {
				ln = newLane(d, def.GetName())
			}
			delete(d.removed, def.GetName())
			d.lanes[def.GetName()] = ln
		}
		ln.apply(now, def, leaseEnd, false)
	}
	for name, ln := range d.lanes {
		if present[name] || ln.keepFallback(now) {
			continue
		}
		delete(d.lanes, name)
		ln.remove(now)
		d.removed[name] = ln
	}
	for name, ln := range d.removed {
		if ln.canForget() {
			delete(d.removed, name)
			ln.close()
		}
	}
}

// TakeReleased returns, once each, the lane revisions that Update replaced or removed and that no request in progress
// needs. A request whose slot the lane still holds under a later revision doesn't need its own.
func (d *Dispatcher) TakeReleased() []*peerpb.Release {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []*peerpb.Release
	for _, set := range []map[string]*lane{d.lanes, d.removed} {
		for _, ln := range set {
			for _, rev := range ln.takeReleased() {
				out = append(out, &peerpb.Release{Lane: ln.name, Revision: rev})
			}
		}
	}
	return out
}

// TakeReports returns what was observed of each server since the last call.
func (d *Dispatcher) TakeReports(now time.Time) []*peerpb.ServerReport {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var out []*peerpb.ServerReport
	for _, ln := range d.lanes {
		// The instance that is assigned the lane reports; a fallback sees only a part of the requests.
		if !ln.isFallback() {
			out = append(out, ln.takeReports(now)...)
		}
	}
	return out
}

// Lanes returns the names of the lanes that this instance dispatches, fallback lanes included.
func (d *Dispatcher) Lanes() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]string, 0, len(d.lanes))
	for name := range d.lanes {
		out = append(out, name)
	}
	return out
}

// Close removes all lanes and closes the connections to their servers, those in use after their request.
func (d *Dispatcher) Close() {
	defer d.closing.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, set := range []map[string]*lane{d.lanes, d.removed} {
		for name, ln := range set {
			ln.remove(d.cfg.Now())
			ln.close()
			delete(set, name)
		}
	}
}

// find returns the lane, or nil. It creates an unkeyed lane that this instance may serve as a fallback.
func (d *Dispatcher) find(name string) *lane {
	d.mu.RLock()
	ln := d.lanes[name]
	d.mu.RUnlock()
	if ln != nil || isKeyedLane(name) {
		return ln
	}
	servers := d.cfg.Servers(name)
	if len(servers) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if ln = d.lanes[name]; ln == nil {
		ln = newLane(d, name)
		ln.apply(d.cfg.Now(), fallbackDef(name, servers), time.Time{}, true)
		d.lanes[name] = ln
	}
	return ln
}

// isKeyedLane reports whether a lane belongs to a keyed pool: its name is pool/server, not pool/dc/n.
func isKeyedLane(name string) bool { return strings.Count(name, "/") == 1 }

func fallbackDef(name string, servers []tables.Server) *peerpb.Lane {
	pool, _, _ := strings.Cut(name, "/")
	def := &peerpb.Lane{Name: name, Pool: pool}
	for _, sv := range servers {
		// One connection each: several fallbacks and the dispatcher together stay within the server's limits.
		def.Servers = append(def.Servers, &peerpb.Server{
			Name: sv.Name, Address: sv.Address.String(), Leaving: sv.Leaving, Slots: 1, Connections: 1,
		})
	}
	return def
}

// Do sends req to a server of its lane and returns the whole answer. Errors are *result.Error. It retries only within
// the route's budget and only if no server has run the request. ctx must end at req.Deadline or earlier.
func (d *Dispatcher) Do(ctx context.Context, req *work.Request) (work.Answer, error) {
	return d.resender.Do(ctx, req)
}

func (d *Dispatcher) sendOnce(ctx context.Context, req *work.Request) (work.Answer, error) {
	for {
		ln := d.find(req.Lane)
		if ln == nil {
			return work.Answer{}, work.NewRefusal(ReasonStale, staleRetryAfter)
		}
		j := &job{req: req, ctx: ctx, outcomes: make(chan outcome, 1)}
		if err := ln.push(d.cfg.Now(), j); err != nil {
			return work.Answer{}, err
		}
		out := ln.awaitOutcome(j)
		switch {
		case out.requeue:
			continue
		case out.err != nil:
			return work.Answer{}, out.err
		}
		return ln.send(j, out.server)
	}
}

// staleRetryAfter is the time to retry after when two instances disagree about a lane; a heartbeat later they agree.
const staleRetryAfter = 300 * time.Millisecond

// latencyTarget returns the latency within which an answer of the rank is useful, 0 if it has no bound.
func (d *Dispatcher) latencyTarget(rank int) time.Duration {
	if all := d.cfg.Ranks(); rank < len(all) {
		return all[rank].Target
	}
	return 0
}
