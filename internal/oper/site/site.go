// Package site runs one instance on a platform whose servers track the leases of their keys themselves and whose store
// keeps the newest record of each key. It connects listeners, request handling and coordination.
package site

import (
	"context"
	"encoding/hex"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/entry"
	"github.com/bramleycove/bramleycove/internal/flow/cold"
	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/losses"
	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/clock"
	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/oper/meter"
	"github.com/bramleycove/bramleycove/internal/peer/permit"
	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/build"
	"github.com/bramleycove/bramleycove/internal/place/coord"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

// callerConnShare is the share of the file descriptors that callers' connections may use. The rest is for connections to
// servers, the store and other instances: without them no request is served, and the lead and its grants are lost.
const callerConnShare = 0.5

// Config holds the settings of an instance and its adapters to the platform. All fields are required unless their comment
// says otherwise.
type Config struct {
	Instance               string
	Location               topo.Location
	Callers, Ready, Peers  netip.AddrPort // listen addresses
	Metrics                netip.AddrPort // may be zero
	Seeds                  []netip.AddrPort
	LowCapacity            bool          // other instances should lead and relay if they can
	Grace                  time.Duration // from the stop signal until the platform kills the process
	FirstStart             bool          // all instances of the deployment start for the first time
	MaxHold                time.Duration // longest grant that servers accept
	DrainTime              time.Duration // in which a server that says that it leaves may still get requests
	MaxOpenFiles           int           // limit of file descriptors; 0 if unknown
	RetryRatio, RetrySlack float64
	// Budget counts what callers and servers make the instance hold.
	Budget *intake.Budget

	build.Decoder
	Log               keyed.Log
	IsSameServer      func(old, value []byte) bool
	ReadRequest       func(h *fasthttp.Request, r *work.Request, now time.Time)
	WriteRequest      func(h *fasthttp.Request, r *work.Request, server string, left time.Duration)
	ReadAnswer        func(h *fasthttp.Response) sender.Reply
	WriteAnswer       func(h *fasthttp.Response, a *work.Answer, id string)
	ServerConnOptions conns.Options
	// Identify asks at the address of a server, by its pool's path, who listens there.
	Identify func(ctx context.Context, s *topo.Server, path string) alive.Evidence
	Open     func(ctx context.Context, addr netip.AddrPort) (assign.Result, assign.Session)
	Grant    func(ctx context.Context, addr netip.AddrPort, s spans.Span, hold time.Duration, renewal assign.Session) (assign.Result, assign.Session)
	Release  func(ctx context.Context, addr netip.AddrPort, s spans.Span) (assign.Result, string)
	Logger   *events.Logger
}

// Instance is a running instance.
type Instance struct {
	cfg      Config
	log      *events.Logger
	meter    *meter.Meter
	sender   *sender.Sender
	frontend *entry.Frontend
	coord    *coord.Coordinator
	limits   *quota.Book // that servers have named
	permits  *permit.Asker
	stopping atomic.Bool
	// startedAt is when New was called.
	startedAt time.Time

	mu    sync.Mutex // guards seeds and grace
	seeds []netip.AddrPort
	grace time.Duration
}

// New returns an instance that starts with Run.
func New(cfg Config) *Instance {
	s := &Instance{cfg: cfg, log: cfg.Logger, meter: meter.New(), seeds: cfg.Seeds, grace: cfg.Grace, startedAt: time.Now()}
	s.limits = &quota.Book{OnChange: s.logLimit, ColdRate: s.coldRate}
	s.coord = coord.New(coord.Config{
		Self: cfg.Peers, DC: cfg.Location.DC, Region: cfg.Location.Region, Seeds: s.currentSeeds, Small: cfg.LowCapacity, FirstStart: cfg.FirstStart, MaxHold: cfg.MaxHold, Now: clock.Now, Log: cfg.Log,
		SameValue: func(topic keyed.Topic, old, value []byte) bool {
			return topic == keyed.Servers && cfg.IsSameServer(old, value)
		},
		Decoder: cfg.Decoder, Open: cfg.Open, Grant: cfg.Grant, Release: cfg.Release, Identify: s.identify,
		FillReport: s.fillReport, RecentStrikes: s.recentStrikes, LearnStrikes: s.learnStrikes, LearnLatencies: s.learnLatencies, Limits: s.limits, Events: cfg.Logger,
	})
	s.permits = &permit.Asker{
		Limits: s.limits, InstanceCount: s.coord.InstanceCount, Call: s.coord.AskPermits, OnDecision: s.countPermit,
		Background: func(part func()) { go s.log.Guard(part) },
	}
	s.sender = sender.New(cfg.Instance, sender.Config{
		Location: cfg.Location, Snapshot: s.coord.Snapshot, InstanceCount: s.coord.InstanceCount,
		WriteRequest: cfg.WriteRequest, ReadReply: cfg.ReadAnswer, ConnOptions: cfg.ServerConnOptions,
		RetryRatio: cfg.RetryRatio, RetrySlack: cfg.RetrySlack, DrainTime: cfg.DrainTime, Limits: s.limits, AskPermit: s.permits.Ask, OnAttempt: s.recordAttempt,
		Identify: s.identify,
		OnStrike: func(fp crash.Fingerprint, srv *topo.Server) {
			s.log.Warn("strike", "print", hex.EncodeToString(fp[:]), "server", srv.Server)
		},
	})
	s.frontend = entry.New(entry.Config{
		MaxConns: int(float64(cfg.MaxOpenFiles) * callerConnShare), Budget: cfg.Budget,
		Snapshot: s.snapshot, AwaitStart: s.awaitStart, ReadRequest: cfg.ReadRequest, WriteAnswer: cfg.WriteAnswer, Send: s.sender.Send, Observe: s.recordOutcome,
		AcceptFailed: s.logAcceptFailed, AcceptResumed: s.logAcceptResumed,
		Panicked: func(err error) { s.log.Error("connection-failed", "error", err) },
	})
	return s
}

// coldRate returns the rate that an incarnation of a server takes while it is cold, and false for a warm one.
func (s *Instance) coldRate(now time.Time, incarnation string) (rate float64, limited bool) {
	w := s.snapshot()
	i := strings.LastIndexByte(incarnation, '/')
	if srv := w.Servers[incarnation[:max(0, i)]]; srv != nil && srv.Incarnation() == incarnation {
		return cold.Rate(now, w, srv)
	}
	return 0, false
}

// identify asks at the address of srv who listens there.
func (s *Instance) identify(ctx context.Context, srv *topo.Server) alive.Evidence {
	if t := s.snapshot().Tables; t != nil {
		if p := t.Pool(srv.Pool); p != nil && p.Health != "" {
			return s.cfg.Identify(ctx, srv, p.Health)
		}
	}
	return losses.Connect(ctx, srv)
}

func (s *Instance) snapshot() *topo.Snapshot {
	snap, _ := s.coord.Snapshot()
	return snap
}

// startPhase is how long after its start an instance may lack tables and servers that others have.
const startPhase = 3 * time.Second

// awaitStart waits until the instance has tables and servers, until the given time or until startPhase has passed.
func (s *Instance) awaitStart(until time.Time) *topo.Snapshot {
	if end := s.startedAt.Add(startPhase); end.Before(until) {
		until = end
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		snap, replaced := s.coord.Snapshot()
		if snap.Tables != nil && len(snap.Servers) > 0 {
			return snap
		}
		select {
		case <-replaced:
		case <-timer.C:
			return snap
		}
	}
}

func (s *Instance) currentSeeds() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seeds
}

func (s *Instance) currentGrace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grace
}

// Reload applies the settings that may change while the instance runs.
func (s *Instance) Reload(seeds []netip.AddrPort, grace time.Duration) {
	s.mu.Lock()
	s.seeds, s.grace = seeds, grace
	s.mu.Unlock()
	s.log.Info("reloaded", "seeds", seeds, "grace", grace)
}

// Run serves until ctx is done or a listener fails, then stops gracefully.
func (s *Instance) Run(ctx context.Context) error {
	s.log.Info("started", "instance", s.cfg.Instance, "dc", s.cfg.Location.DC, "callers", s.cfg.Callers, "peers", s.cfg.Peers)
	servers, err := s.startServers()
	if err != nil {
		return err
	}
	s.log.Info("listening", "callers", s.cfg.Callers, "peers", s.cfg.Peers, "ready", s.cfg.Ready, "metrics", s.cfg.Metrics)
	coordCtx, stopCoord := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { s.log.Guard(func() { s.coord.Run(coordCtx) }) })
	select {
	case <-ctx.Done():
	case err = <-servers.firstError:
		s.log.Error("listener-failed", "error", err)
	}
	killTime := s.stop()
	stopCoord()
	done := make(chan struct{})
	go s.log.Guard(func() {
		defer close(done)
		wg.Wait()
		s.sender.Close()
		servers.close()
	})
	select {
	case <-done:
	case <-time.After(time.Until(killTime) - exitMargin):
		// The process exits without waiting for calls still in progress.
		s.log.Warn("calls-abandoned", "instance", s.cfg.Instance)
	}
	s.log.Info("stopped", "instance", s.cfg.Instance)
	return err
}

// isReady reports whether the load balancer should send requests to this instance.
func (s *Instance) isReady() bool {
	snap := s.snapshot()
	if s.stopping.Load() || snap.Tables == nil || len(snap.Servers) == 0 {
		return false
	}
	for _, p := range snap.Tables.Pools {
		if p.Keyed && len(snap.Pools[p.Name]) > 0 && len(snap.Owners[p.Name]) == 0 {
			return false
		}
	}
	return true
}
