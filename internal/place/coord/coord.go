// Package coord coordinates the instances of a deployment. One of them leads: it reads the store for all, assigns keys to
// servers and pushes what it knows. The others, its members, read the store when it is silent, and one succeeds it.
package coord

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/peer/join"
	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/peer/reads"
	"github.com/bramleycove/bramleycove/internal/place/accept"
	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/build"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/place/recall"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// decisionInterval is short compared with renewals and notices of moves, and long compared with a wake-up's cost.
	decisionInterval = 50 * time.Millisecond
	// idlePause is how long a loop sleeps while this instance does not lead.
	idlePause = 100 * time.Millisecond
)

// Config holds the settings and dependencies of a Coordinator. All fields are set.
type Config struct {
	Self    netip.AddrPort // where other instances connect
	DC      string
	Region  map[string]string // by data centre
	Seeds   func() []netip.AddrPort
	Small   bool          // other instances should lead and relay if they can
	MaxHold time.Duration // longest grant that servers accept
	// FirstStart tells that all instances of the deployment start for the first time.
	FirstStart bool
	// Now is a clock that counts while the instance is suspended.
	Now       func() time.Time
	Log       keyed.Log
	SameValue func(topic keyed.Topic, old, value []byte) bool
	build.Decoder
	// Open opens the connection for grants to a server, unless it is open, and returns its session.
	Open func(ctx context.Context, addr netip.AddrPort) (assign.Result, assign.Session)
	// Grant sends a grant in the given session only. It returns the session of the answer.
	Grant   func(ctx context.Context, addr netip.AddrPort, s spans.Span, hold time.Duration, only assign.Session) (assign.Result, assign.Session)
	Release func(ctx context.Context, addr netip.AddrPort, s spans.Span) (assign.Result, string)
	// Identify asks at the address of a server who listens there.
	Identify func(ctx context.Context, s *topo.Server) alive.Evidence
	// FillReport adds what this instance has seen since the last call to an answer for the leader.
	FillReport func(now time.Time, r *sitepb.PushReply)
	// RecentStrikes returns the recent strikes known here, LearnStrikes takes those of others.
	RecentStrikes func(now time.Time) []*sitepb.Strike
	LearnStrikes  func(now time.Time, strikes []*sitepb.Strike)
	// LearnLatencies takes the mean answer times of servers to all instances.
	LearnLatencies func(now time.Time, latencies []*sitepb.Latency)
	// Limits holds the limits that servers have named.
	Limits *quota.Book
	Events *events.Logger
}

// Coordinator is one instance's part in the coordination. Its methods may be called by many goroutines.
type Coordinator struct {
	cfg             Config
	log             *events.Logger
	book            *mirror.Streams
	reader          *reads.Reader
	client          *push.Client
	pusher          *push.Pusher
	relay           *push.Relay
	joiner          *join.Joiner
	backgroundCalls conc.WaitGroup

	snapshot      atomic.Pointer[publishedSnapshot]
	instanceCount atomic.Int64
	stopping      atomic.Bool

	mu         sync.Mutex
	leadership elect.Leadership
	leader     *leaderState // nil unless this instance leads
	member     memberState
	builder    build.Builder
	accepts    accept.Rules
	appending  bool // an append to the place stream is under way
}

// publishedSnapshot is a snapshot and a channel that is closed when the next one is published.
type publishedSnapshot struct {
	*topo.Snapshot
	replaced chan struct{}
}

// memberState is what a member knows of its leader.
type memberState struct {
	heardAt           time.Time // last push, or what counts as one
	restoredAt        time.Time // when the store was last found restored
	toldAt            time.Time // when another instance last sent records of the lead or the owners
	followedAt        time.Time // last push by the leader that it follows, or its start
	followedEarlierAt time.Time // last push by a leader of a lower term, or its start
	leader            string
	term              uint64
	leaseAge          time.Duration // of the leader, as of the newest push
	storeReadAt       time.Time     // last read of the store
	newerTerm         uint64        // newest term above its leader's that it found in the store
	newerTermAt       time.Time     // when it first did
	readingStore      bool
	pushNumber        uint64   // of the newest push
	peers             []string // all instances, in the order of succession
	started           bool     // start has succeeded
	startTerm         uint64   // newest term at that time

	memory      recall.Memory // of the moves of its leader
	reportUntil time.Time     // its report is part of replies until then
}

// New returns a coordinator that does nothing until Run is called.
func New(cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, log: cfg.Events, client: push.NewClient()}
	c.snapshot.Store(&publishedSnapshot{Snapshot: new(topo.Snapshot), replaced: make(chan struct{})})
	c.instanceCount.Store(1)
	c.leadership.Self = cfg.Self.String()
	// Before a restart, this instance may have followed a leader until just now.
	c.member.followedAt, c.member.followedEarlierAt = cfg.Now(), cfg.Now()
	c.member.heardAt = c.member.followedAt.Add(-elect.LeaderTimeout)
	c.accepts.Location = topo.Location{DC: cfg.DC, Region: cfg.Region}
	c.builder = build.Builder{
		Decoder: cfg.Decoder, Log: cfg.Events, OnLead: c.observeLead,
	}
	c.book = &mirror.Streams{OnChange: c.applyEntries, SameValue: cfg.SameValue, OmitFromPushes: build.IsLeadRenewal, IsStale: cfg.Decoder.IsStale}
	c.reader = &reads.Reader{Log: cfg.Log, Streams: c.book, Events: cfg.Events, Now: cfg.Now}
	c.pusher = &push.Pusher{Self: c.leadership.Self, Client: c.client, Streams: c.book, NewRequest: c.newPush, OnReply: c.handleReply, OnFailure: c.logPushFailure, CrashOnPanic: c.log.Guard}
	c.relay = push.NewRelay(c.pusher, cfg.Now, func(s []*sitepb.Strike) { cfg.LearnStrikes(time.Now(), s) })
	c.joiner = &join.Joiner{
		Self: c.leadership.Self, Seeds: cfg.Seeds, Client: c.client, Log: cfg.Log, Reader: c.reader, Streams: c.book, Events: c.log, Now: cfg.Now,
	}
	return c
}

// observeLead takes a lead record of the place stream. c.mu is held.
func (c *Coordinator) observeLead(l elect.LeadRecord) {
	if c.leadership.Observe(c.cfg.Now(), l) && c.leader != nil {
		c.leader.quorum.SetMembers(l.Members)
	}
	c.countInstances(len(l.Members))
}

// countInstances takes the number of instances that a record of the lead names, unless a push has named them. An instance that took
// itself for the only one would use all of what servers take from all instances together.
func (c *Coordinator) countInstances(n int) {
	if len(c.member.peers) == 0 && c.leader == nil && n > int(c.instanceCount.Load()) {
		c.instanceCount.Store(int64(n))
	}
}

// runInBackground starts a goroutine that Run waits for.
func (c *Coordinator) runInBackground(call func()) {
	c.backgroundCalls.Go(func() { c.log.Guard(call) })
}

// logPushFailure logs a push that was not answered.
func (c *Coordinator) logPushFailure(addr string, err error) {
	c.log.Warn("push-failed", "peer", addr, "error", err)
}

// Snapshot returns the current snapshot, and a channel that is closed when it is replaced.
func (c *Coordinator) Snapshot() (*topo.Snapshot, <-chan struct{}) {
	p := c.snapshot.Load()
	return p.Snapshot, p.replaced
}

// InstanceCount returns the number of known instances, at least 1.
func (c *Coordinator) InstanceCount() int { return int(c.instanceCount.Load()) }

// Handlers returns the handlers for calls by other instances.
func (c *Coordinator) Handlers() *push.Handlers {
	return &push.Handlers{OnPush: c.handlePush, OnPull: c.handlePull, OnPermit: c.handlePermits}
}

// Run takes part in the coordination until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for _, part := range []func(){
		func() { c.start(ctx) },
		func() { c.whileLeading(ctx, c.reader.AwaitTables) },
		func() { c.whileLeading(ctx, c.reader.PollServers) },
		func() { c.runDecisions(ctx) },
	} {
		wg.Go(func() { c.log.Guard(part) })
	}
	wg.Wait()
	c.backgroundCalls.Wait()
	c.pusher.Wait()
	c.relay.Wait()
}

// Leave resigns the lead, if this instance holds it, and rules out further claims. While the store is unreachable no
// other instance could claim it, so that this one goes on leading until the store answers or the given time.
func (c *Coordinator) Leave(until time.Time) {
	c.stopping.Store(true)
	for c.isLeading() && c.reader.StoreSilence(c.cfg.Now()) > maxStoreSilence {
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(decisionInterval)
	}
	c.resignLead()
}

func (c *Coordinator) isLeading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != nil
}

// applyEntries publishes new entries of a stream. The book calls it in their order.
func (c *Coordinator) applyEntries(topic keyed.Topic, entries []keyed.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.builder.Apply(time.Now(), topic, entries)
	c.publish()
}

// publish makes a snapshot of the records, by which requests are routed from now on. c.mu is held.
func (c *Coordinator) publish() {
	old := c.snapshot.Swap(&publishedSnapshot{Snapshot: c.builder.Snapshot(), replaced: make(chan struct{})})
	close(old.replaced)
}

// runDecisions calls decide regularly until ctx ends.
func (c *Coordinator) runDecisions(ctx context.Context) {
	t := time.NewTicker(decisionInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.decide(c.cfg.Now())
		}
	}
}

// decide runs one round of the leader or of a member.
func (c *Coordinator) decide(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.leader != nil && (!c.leadership.IsHolder() || c.mayHaveLostSuccessor(now)):
		c.stopLeading(now)
	case c.leader != nil:
		c.leaderRound(now)
	default:
		c.memberRound(now)
	}
}

// whileLeading calls read again and again while this instance leads.
func (c *Coordinator) whileLeading(ctx context.Context, read func(context.Context)) {
	for ctx.Err() == nil {
		if c.isLeading() {
			read(ctx)
		} else {
			reads.Sleep(ctx, idlePause)
		}
	}
}
