// Package site runs one instance on a platform whose servers count the leases of keys by themselves and whose store
// keeps the newest record of each key: the listeners, the path of requests, and the part in the coordination.
package site

import (
	"context"
	"encoding/hex"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/entry"
	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/clock"
	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/oper/meter"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/build"
	"github.com/bramleycove/bramleycove/internal/place/coord"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

// callersPart is the part of the descriptors that callers' connections may take. The others serve connections to servers,
// the store and other instances: without these no request is served, and the lead and its grants are lost.
const callersPart = 0.5

// Config is what an instance is told and the seams to its platform. All fields are set unless they say otherwise.
type Config struct {
	Instance               string
	Place                  topo.Location
	Callers, Ready, Peers  netip.AddrPort
	Metrics                netip.AddrPort // may be zero
	Seeds                  []netip.AddrPort
	Small                  bool          // other instances should lead if they can
	Grace                  time.Duration // from the signal to stop to the end
	HoldMax                time.Duration // longest grant that servers accept
	Descriptors            int           // that the process may have open; 0 if not known
	RetryRatio, RetrySlack float64

	build.Decoder
	Log          keyed.Log
	SameServer   func(old, value []byte) bool
	ReadRequest  func(h *fasthttp.Request, r *work.Request, now time.Time)
	WriteRequest func(h *fasthttp.Request, r *work.Request, server string, left time.Duration)
	ReadAnswer   func(h *fasthttp.Response) sender.Reply
	WriteAnswer  func(h *fasthttp.Response, a *work.Answer, id string)
	Servers      conns.Options
	Grant        func(ctx context.Context, addr netip.AddrPort, s spans.Span, hold time.Duration, renewal bool) assign.Result
	Release      func(ctx context.Context, addr netip.AddrPort, s spans.Span) (assign.Result, string)
	Events       *events.Logger
}

// Site is a running instance.
type Site struct {
	cfg      Config
	log      *events.Logger
	meter    *meter.Meter
	carrier  *sender.Sender
	entry    *entry.Frontend
	coord    *coord.Coordinator
	stopping atomic.Bool

	mu    sync.Mutex // of what Reload changes
	seeds []netip.AddrPort
	grace time.Duration
}

// New returns an instance that does nothing yet.
func New(cfg Config) *Site {
	s := &Site{cfg: cfg, log: cfg.Events, meter: meter.New(), seeds: cfg.Seeds, grace: cfg.Grace}
	s.coord = coord.New(coord.Config{
		Self: cfg.Peers, DC: cfg.Place.DC, Region: cfg.Place.Region, Seeds: s.currentSeeds, Small: cfg.Small, MaxHold: cfg.HoldMax, Now: clock.Now, Log: cfg.Log,
		SameValue: func(topic keyed.Topic, old, value []byte) bool {
			return topic == keyed.Servers && cfg.SameServer(old, value)
		},
		Decoder: cfg.Decoder, Grant: cfg.Grant, Release: cfg.Release,
		FillReport: s.report, RecentStrikes: s.strikes, LearnStrikes: s.learn, Events: cfg.Events,
	})
	s.carrier = sender.New(cfg.Instance, sender.Config{
		Location: cfg.Place, Snapshot: s.coord.Snapshot, InstanceCount: s.coord.InstanceCount,
		WriteRequest: cfg.WriteRequest, ReadReply: cfg.ReadAnswer, ConnOptions: cfg.Servers,
		RetryRatio: cfg.RetryRatio, RetrySlack: cfg.RetrySlack, OnAttempt: s.attempted,
		OnStrike: func(fp crash.Fingerprint, srv *topo.Server) {
			s.log.Warn("strike", "print", hex.EncodeToString(fp[:]), "server", srv.Server)
		},
	})
	s.entry = entry.New(entry.Config{
		MaxConns: int(float64(cfg.Descriptors) * callersPart),
		Snapshot: s.world, ReadRequest: cfg.ReadRequest, WriteAnswer: cfg.WriteAnswer, Send: s.carrier.Send, Observe: s.observed,
		AcceptFailed: s.acceptFailed, AcceptResumed: s.acceptResumed,
	})
	return s
}

func (s *Site) world() *topo.Snapshot {
	w, _ := s.coord.Snapshot()
	return w
}

func (s *Site) currentSeeds() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seeds
}

func (s *Site) currentGrace() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grace
}

// Reload takes settings that may change while the instance runs.
func (s *Site) Reload(seeds []netip.AddrPort, grace time.Duration) {
	s.mu.Lock()
	s.seeds, s.grace = seeds, grace
	s.mu.Unlock()
	s.log.Info("reloaded", "seeds", seeds, "grace", grace)
}

// Run serves until ctx ends and then stops gracefully.
func (s *Site) Run(ctx context.Context) error {
	s.log.Info("started", "instance", s.cfg.Instance, "dc", s.cfg.Place.DC, "callers", s.cfg.Callers, "peers", s.cfg.Peers)
	servers, err := s.listen()
	if err != nil {
		return err
	}
	s.log.Info("listening", "callers", s.cfg.Callers, "peers", s.cfg.Peers, "ready", s.cfg.Ready, "metrics", s.cfg.Metrics)
	part, end := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { s.log.Guard(func() { s.coord.Run(part) }) })
	select {
	case <-ctx.Done():
	case err = <-servers.failed:
		s.log.Error("listener-failed", "error", err)
	}
	killed := s.stop()
	end()
	done := make(chan struct{})
	go s.log.Guard(func() {
		defer close(done)
		wg.Wait()
		s.carrier.Close()
		servers.close()
	})
	select {
	case <-done:
	case <-time.After(time.Until(killed) - exitTime):
		// Nobody waits for the calls that are still under way.
		s.log.Warn("calls-abandoned", "instance", s.cfg.Instance)
	}
	s.log.Info("stopped", "instance", s.cfg.Instance)
	return err
}

// ready reports whether this instance should get requests.
func (s *Site) ready() bool {
	w := s.world()
	if s.stopping.Load() || w.Tables == nil || len(w.Servers) == 0 {
		return false
	}
	for _, p := range w.Tables.Pools {
		if p.Keyed && len(w.Pools[p.Name]) > 0 && len(w.Owners[p.Name]) == 0 {
			return false
		}
	}
	return true
}
