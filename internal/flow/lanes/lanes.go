// Package lanes is the dispatcher stage: it orders the requests of each lane by rank, holds the concurrency limits of
// its servers and sends. All requests to a lane's servers go through the instance that dispatches the lane.
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
	ReasonLapsed   = "lease-lapsed"   // it holds the slot, but its lease has ended
	ReasonQueue    = "queue-full"     // the answer would come too late for the rank
	ReasonDeadline = "deadline"       // the deadline passed in the queue
	ReasonCanceled = "cancelled"      // the caller gave up in the queue
	ReasonFrozen   = "servers-frozen" // no server of the lane has answered lately
	ReasonServers  = "no-servers"     // the lane has no server that takes work
	ReasonHeld     = "servers-held"   // all servers asked to be left alone for longer than the rank's target
	ReasonCrash    = "quarantine"     // the request has crashed servers
	ReasonRank     = "unknown-rank"
)

// Config holds the seams of a Stage. Ranks is required, the others may be nil.
type Config struct {
	// Ranks returns the ranks of the tables in force, most urgent first.
	Ranks func() []tables.Rank
	// Servers returns the servers of an unkeyed lane that this instance serves as a fallback.
	Servers func(lane string) []tables.Server
	// ServerLeaving reports whether a server is leaving by the word of the platform's list.
	ServerLeaving func(server string) bool
	// Admit decides about a request by the servers that were lost while they ran it: it runs as others do, or alone on
	// its server, or is refused for some time.
	Admit func(now time.Time, fingerprint [16]byte) (alone bool, refuse time.Duration)
	// ServerLost records that the server was lost while it ran a request with this fingerprint.
	ServerLost func(now time.Time, server string, fingerprint [16]byte)
	// AloneSucceeded records that a request that ran alone did not harm its server.
	AloneSucceeded func(now time.Time, fingerprint [16]byte)
	// NotifyReleasable is called when Released has something to report, with locks held: it must return at once.
	NotifyReleasable func()
	// DialAddress returns the address to dial for a server. nil means the server's own address.
	DialAddress func(netip.AddrPort) netip.AddrPort
	// Seed of the waits before retries.
	Seed uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Dispatcher dispatches the lanes of one instance. All methods may be called by many goroutines.
type Dispatcher struct {
	cfg     Config
	closing conc.WaitGroup

	mu      sync.RWMutex
	lanes   map[string]*lane
	removed map[string]*lane // removed by the controller, kept until their requests in progress have ended

	resender *resend.Resender
}

// New returns a stage without lanes.
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
	s := &Dispatcher{cfg: cfg, lanes: make(map[string]*lane), removed: make(map[string]*lane)}
	s.resender = resend.New(cfg.Seed, s.sendOnce)
	return s
}

// Update sets the lanes that this instance dispatches until until, a time of the local monotonic clock. A lane that
// is missing is removed: nothing that waits in it is sent any more, and its requests in progress end normally.
func (s *Dispatcher) Update(now time.Time, in []*peerpb.Lane, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(in))
	for _, def := range in {
		present[def.GetName()] = true
		ln := s.lanes[def.GetName()]
		if ln == nil {
			// A lane that returns keeps its requests in progress, whose slots may not have been released yet.
			if ln = s.removed[def.GetName()]; ln == nil {
				ln = newLane(s, def.GetName())
			}
			delete(s.removed, def.GetName())
			s.lanes[def.GetName()] = ln
		}
		ln.apply(now, def, until, false)
	}
	for name, ln := range s.lanes {
		if present[name] || ln.keepFallback(now) {
			continue
		}
		delete(s.lanes, name)
		ln.remove(now)
		s.removed[name] = ln
	}
	for name, ln := range s.removed {
		if ln.canForget() {
			delete(s.removed, name)
			ln.close()
		}
	}
}

// TakeReleased returns the lane revisions that ended since the last call: they were replaced or removed by Update, and no
// request that was sent under them is in progress any more, but for slots that the lane still holds under a later
// revision. Each revision is returned once.
func (s *Dispatcher) TakeReleased() []*peerpb.Release {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []*peerpb.Release
	for _, set := range []map[string]*lane{s.lanes, s.removed} {
		for _, ln := range set {
			for _, rev := range ln.takeReleased() {
				out = append(out, &peerpb.Release{Lane: ln.name, Revision: rev})
			}
		}
	}
	return out
}

// TakeReports returns what was observed of each server since the last call.
func (s *Dispatcher) TakeReports(now time.Time) []*peerpb.ServerReport {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []*peerpb.ServerReport
	for _, ln := range s.lanes {
		// The dispatcher of the lane reports; a fallback sees only a part.
		if !ln.isFallback() {
			out = append(out, ln.takeReports(now)...)
		}
	}
	return out
}

// Lanes returns the names of the lanes that this instance dispatches, fallback lanes included.
func (s *Dispatcher) Lanes() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]string, 0, len(s.lanes))
	for name := range s.lanes {
		out = append(out, name)
	}
	return out
}

// Close closes all connections to servers, those in use after their request.
func (s *Dispatcher) Close() {
	defer s.closing.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, set := range []map[string]*lane{s.lanes, s.removed} {
		for name, ln := range set {
			ln.remove(s.cfg.Now())
			ln.close()
			delete(set, name)
		}
	}
}

// find returns the lane, creating an unkeyed one that this instance may serve as a fallback.
func (s *Dispatcher) find(name string) *lane {
	s.mu.RLock()
	ln := s.lanes[name]
	s.mu.RUnlock()
	if ln != nil || isKeyedLane(name) {
		return ln
	}
	servers := s.cfg.Servers(name)
	if len(servers) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ln = s.lanes[name]; ln == nil {
		ln = newLane(s, name)
		ln.apply(s.cfg.Now(), fallbackDef(name, servers), time.Time{}, true)
		s.lanes[name] = ln
	}
	return ln
}

// isKeyedLane tells the lanes of keyed pools, pool/server, from pool/dc/n.
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

// Do sends req to a server of its lane and returns the whole answer. Errors are *result.Error. It sends again, within
// the route's budget, only when a server has certainly not run the request. ctx must end at req.Deadline or earlier.
func (s *Dispatcher) Do(ctx context.Context, req *work.Request) (work.Answer, error) {
	return s.resender.Do(ctx, req)
}

func (s *Dispatcher) sendOnce(ctx context.Context, req *work.Request) (work.Answer, error) {
	for {
		ln := s.find(req.Lane)
		if ln == nil {
			return work.Answer{}, work.NewRefusal(ReasonStale, staleRetryAfter)
		}
		j := &job{req: req, ctx: ctx, outcomes: make(chan outcome, 1)}
		if err := ln.push(s.cfg.Now(), j); err != nil {
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

// staleRetryAfter is the time to retry after while the views of two instances differ; a heartbeat later they agree.
const staleRetryAfter = 300 * time.Millisecond

// latencyTarget returns the latency within which an answer of the rank is useful, 0 if it is not bounded.
func (s *Dispatcher) latencyTarget(rank int) time.Duration {
	if all := s.cfg.Ranks(); rank < len(all) {
		return all[rank].Target
	}
	return 0
}
