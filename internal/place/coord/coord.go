// Package coord coordinates the instances of a deployment. One of them leads: it reads the store for all, gives keys to
// servers and spreads what it knows. The others follow it, read the store by themselves when it is silent, and succeed it.
package coord

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/peer/feed"
	"github.com/bramleycove/bramleycove/internal/peer/join"
	"github.com/bramleycove/bramleycove/internal/peer/reads"
	"github.com/bramleycove/bramleycove/internal/peer/spread"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/build"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/tenure"
	"github.com/bramleycove/bramleycove/internal/place/world"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// tick is the interval of decisions: short against renewals and notices, long against a wake-up's cost.
	tick = 50 * time.Millisecond
	// idlePause is how long a loop sleeps while this instance does not lead.
	idlePause = 100 * time.Millisecond
)

// Config holds what an instance is told and its seams. All fields are set.
type Config struct {
	Self    netip.AddrPort // where other instances connect
	DC      string
	Region  map[string]string // by data centre
	Seeds   func() []netip.AddrPort
	Small   bool          // other instances should lead and relay if they can
	HoldMax time.Duration // longest grant that servers accept
	// Now is a clock that counts while the instance is suspended.
	Now  func() time.Time
	Log  keyed.Log
	Same func(topic keyed.Topic, old, value []byte) bool
	build.Decoder
	Grant   func(ctx context.Context, addr netip.AddrPort, s spans.Span, hold time.Duration, renewal bool) assign.Result
	Release func(ctx context.Context, addr netip.AddrPort, s spans.Span) (assign.Result, string)
	// Report adds what this instance has seen since the last call to an answer for the leader.
	Report func(now time.Time, r *sitepb.PushReply)
	// Strikes returns the recent strikes known here, Learn takes those of others.
	Strikes func(now time.Time) []*sitepb.Strike
	Learn   func(now time.Time, strikes []*sitepb.Strike)
	Events  *events.Logger
}

// Coord is the part of one instance. Its methods may be called by many goroutines.
type Coord struct {
	cfg    Config
	log    *events.Logger
	book   *feed.Book
	reader *reads.Reader
	client *spread.Client
	pusher *spread.Pusher
	relay  *spread.Relay
	joiner *join.Joiner
	calls  conc.WaitGroup

	world    atomic.Pointer[state]
	peers    atomic.Int64 // number of instances
	stopping atomic.Bool

	mu      sync.Mutex
	tenure  tenure.Tenure
	lead    *lead // nil unless this instance leads
	member  member
	build   build.Builder
	pending bool // an append to the place stream is under way
}

// state is a world and the channel that is closed when the next one is published.
type state struct {
	*world.World
	next chan struct{}
}

// member is what a member knows of its leader.
type member struct {
	heard       time.Time // last push
	told        time.Time // last time that another instance told of records of the lead and the owners
	followed    time.Time // last push of the leader that it follows, or its start
	earlier     time.Time // last push of a leader of a lower term, or its start
	leader      string
	term        uint64
	unconfirmed time.Duration // of the leader's lease, at the last push
	asked       time.Time     // last read of the store
	readTerm    uint64        // newest term above its leader's that it read of in the store
	readSince   time.Time     // when it first did
	busy        bool
	number      uint64 // of the newest push
	peers       []string
	started     bool   // the streams were read once
	startTerm   uint64 // newest term at that time
}

// New returns a part that does nothing before Run.
func New(cfg Config) *Coord {
	c := &Coord{cfg: cfg, log: cfg.Events, client: spread.NewClient()}
	c.world.Store(&state{World: new(world.World), next: make(chan struct{})})
	c.peers.Store(1)
	c.tenure.Self = cfg.Self.String()
	// An earlier life of this instance may have followed until it ended.
	c.member.followed, c.member.earlier = cfg.Now(), cfg.Now()
	c.member.heard = c.member.followed.Add(-tenure.Silence)
	c.build = build.Builder{
		Decoder: cfg.Decoder, Log: cfg.Events, OnLead: func(l tenure.Lead) { c.tenure.Observe(cfg.Now(), l) },
	}
	c.book = &feed.Book{Changed: c.changed, Same: cfg.Same, Quiet: build.IsLeadRenewal}
	c.reader = &reads.Reader{Log: cfg.Log, Book: c.book, Events: cfg.Events, Now: cfg.Now}
	c.pusher = &spread.Pusher{Self: c.tenure.Self, Client: c.client, Book: c.book, Base: c.push, Heard: c.reported, Failed: c.unpushed, Guard: c.log.Guard}
	c.relay = spread.NewRelay(c.pusher, cfg.Now, func(s []*sitepb.Strike) { cfg.Learn(time.Now(), s) })
	c.joiner = &join.Joiner{
		Self: c.tenure.Self, Seeds: cfg.Seeds, Client: c.client, Log: cfg.Log, Reader: c.reader, Book: c.book, Events: c.log, Now: cfg.Now,
	}
	return c
}

// background runs a call beside the decisions.
func (c *Coord) background(call func()) {
	c.calls.Go(func() { c.log.Guard(call) })
}

// unpushed notes a push that was not answered.
func (c *Coord) unpushed(addr string, err error) {
	c.log.Warn("push-failed", "peer", addr, "error", err)
}

// World returns what is known now, and a channel that is closed when that changes.
func (c *Coord) World() (*world.World, <-chan struct{}) {
	st := c.world.Load()
	return st.World, st.next
}

// Instances returns the number of instances that are known, at least 1.
func (c *Coord) Instances() int { return int(c.peers.Load()) }

// Handlers returns what answers the calls of other instances.
func (c *Coord) Handlers() *spread.Handlers {
	return &spread.Handlers{OnPush: c.pushed, OnPull: c.pulled}
}

// Run takes part until ctx ends.
func (c *Coord) Run(ctx context.Context) {
	var wg conc.WaitGroup
	for _, part := range []func(){
		func() { c.start(ctx) },
		func() { c.whileLeading(ctx, c.reader.Tables) },
		func() { c.whileLeading(ctx, c.reader.Poll) },
		func() { c.decide(ctx) },
	} {
		wg.Go(func() { c.log.Guard(part) })
	}
	wg.Wait()
	c.calls.Wait()
	c.pusher.Wait()
	c.relay.Wait()
}

// Leave gives the lead up, if this instance has it, and keeps it from claiming it again. While the store is away nobody
// could succeed it, so that it leads on until then or until the time given.
func (c *Coord) Leave(until time.Time) {
	c.stopping.Store(true)
	for c.leads() && c.reader.Unanswered(c.cfg.Now()) > recordable {
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(tick)
	}
	c.yield()
}

func (c *Coord) leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lead != nil
}

// changed takes new entries of a stream. The book calls it in order.
func (c *Coord) changed(topic keyed.Topic, entries []keyed.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.build.Apply(time.Now(), topic, entries)
	c.publish()
}

// publish makes what the records show the world of all requests from now on. c.mu is held.
func (c *Coord) publish() {
	old := c.world.Swap(&state{World: c.build.World(), next: make(chan struct{})})
	close(old.next)
}

// decide runs the leader's and the member's decisions.
func (c *Coord) decide(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.step(c.cfg.Now())
		}
	}
}

// step is one round of decisions at now.
func (c *Coord) step(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lead != nil && !c.tenure.Leads():
		c.resign(now)
	case c.lead != nil:
		c.rule(now)
	default:
		c.follow(now)
	}
}

// whileLeading calls read again and again while this instance leads.
func (c *Coord) whileLeading(ctx context.Context, read func(context.Context)) {
	for ctx.Err() == nil {
		if c.leads() {
			read(ctx)
		} else {
			reads.Sleep(ctx, idlePause)
		}
	}
}
