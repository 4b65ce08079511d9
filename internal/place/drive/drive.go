// Package drive runs a ctrl.Core: it performs the core's appends, grants and fence calls, each with a timeout, and
// returns the results. One lock guards the core; no network call is made under it.
package drive

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/fleet"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/place/writes"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Config is the fixed configuration of a Driver. Append, Grant and Fence may block until their context ends.
type Config struct {
	ctrl.Config
	// ViewPlacement calls f with the fold of the place stream, which f only reads and must not keep.
	ViewPlacement func(f func(*fold.Placement))
	LogContact    func() time.Time // when the log itself, not a relay, last answered
	Append        func(ctx context.Context, rec *record.Record) (offset uint64, err error)
	Grant         func(ctx context.Context, addr netip.AddrPort, g grants.Grant) (grants.Reply, error)
	Fence         func(ctx context.Context, peer netip.AddrPort, req *peerpb.FenceRequest) (*peerpb.FenceReply, error)
	LogEvent      func(name string, fields ...any) // nil: events are dropped
}

// Driver runs the controller or candidate of one instance. It is safe for concurrent use.
type Driver struct {
	Config

	mu   sync.Mutex
	core *ctrl.Core
	wake chan struct{}
}

const (
	stepInterval     = 50 * time.Millisecond
	soonStepInterval = 10 * time.Millisecond // while the core needs a step soon
	appendTimeout    = 2 * time.Second       // longer than the core waits, since a late answer still shows that the log is back
	callTimeout      = lease.Interval
)

// New returns a driver that does nothing until Run.
func New(cfg Config) *Driver {
	return &Driver{Config: cfg, core: ctrl.New(cfg.Config), wake: make(chan struct{}, 1)}
}

// SetTables replaces the tables. lostDCs are the data centres that operators have declared destroyed.
func (d *Driver) SetTables(t *tables.Tables, lostDCs []string) {
	d.withLock(func() { d.core.SetTables(t, lostDCs) })
}

// SetList replaces the platform's list.
func (d *Driver) SetList(l roster.List) { d.withLock(func() { d.core.SetList(l) }) }

// SetDispatchers sets which instance dispatches which lane, as last learned. A new controller leaves the lanes with them.
func (d *Driver) SetDispatchers(members []*peerpb.Member) {
	d.withLock(func() { d.core.SetDispatchers(members) })
}

// Leave makes this instance hand over the role for good.
func (d *Driver) Leave() { d.withLock(d.core.Leave) }

// ObserveHolder records a message from the holder of p, received at now.
func (d *Driver) ObserveHolder(now time.Time, p lease.Pair, authority, leaving bool) {
	d.withLock(func() { d.core.ObserveHolder(now, p, authority, leaving) })
}

// AddStrikes adds strikes to pass on to the instances.
func (d *Driver) AddStrikes(now time.Time, list []*peerpb.Strike) {
	d.withLock(func() { d.core.AddStrikes(now, list) })
}

// RecentStrikes returns the strikes of the last minute, for other data centres.
func (d *Driver) RecentStrikes(now time.Time) []*peerpb.Strike {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.RecentStrikes(now)
}

// IsController reports whether this instance holds the role or is displacing earlier pairs to take it.
func (d *Driver) IsController() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.IsController()
}

// Status returns what operators see.
func (d *Driver) Status() ctrl.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Status
}

// HandleHeartbeat answers the heartbeat of an instance.
func (d *Driver) HandleHeartbeat(now time.Time, req *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	rep := d.core.HandleHeartbeat(now, req)
	if len(req.GetReleases()) > 0 {
		d.Wake()
	}
	return rep
}

// Wake makes the next step due at once, for example after a change of the fold.
func (d *Driver) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// withLock runs f under the lock, then wakes the driver.
func (d *Driver) withLock(f func()) {
	d.mu.Lock()
	f()
	d.mu.Unlock()
	d.Wake()
}

// Run steps the core until ctx ends, then waits for its calls.
func (d *Driver) Run(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		actions, soon := d.step()
		for _, a := range actions {
			d.perform(ctx, &calls, a)
		}
		timer.Reset(stepInterval)
		if soon {
			timer.Reset(soonStepInterval)
		}
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.wake:
		}
	}
}

func (d *Driver) step() (actions []ctrl.Action, soon bool) {
	logContact := time.Time{}
	if d.LogContact != nil {
		logContact = d.LogContact()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ViewPlacement(func(p *fold.Placement) { actions = d.core.Step(time.Now(), p, logContact) })
	return actions, d.core.NeedsStepSoon()
}

func (d *Driver) perform(ctx context.Context, calls *conc.WaitGroup, a ctrl.Action) {
	switch {
	case a.Event != nil:
		if d.LogEvent != nil {
			d.LogEvent(a.Event.Name, a.Event.Fields...)
		}
	case a.Append != nil:
		calls.Go(func() { d.append(ctx, a.Append) })
	case a.Grant != nil:
		calls.Go(func() { d.grant(ctx, a.Grant) })
	case a.Fence != nil:
		calls.Go(func() { d.fence(ctx, a.Fence) })
	}
}

func (d *Driver) append(ctx context.Context, a *writes.Append) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := d.Append(ctx, a.Record)
	var status *logsvc.StatusError
	failed := errors.As(err, &status)
	d.withLock(func() { d.core.HandleAppendResult(a.Tag, offset, failed) })
}

func (d *Driver) grant(ctx context.Context, g *fleet.Call) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := d.Grant(ctx, g.Addr, g.Grant)
	d.withLock(func() { d.core.HandleGrantReply(time.Now(), g.Server, g.ID, reply, err) })
}

func (d *Driver) fence(ctx context.Context, f *ctrl.FenceCall) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	reply, err := d.Fence(ctx, f.PeerAddr, f.Request)
	if err != nil {
		return
	}
	askedPair := lease.Pair{Term: f.Request.GetTerm(), Epoch: f.Request.GetEpoch()}
	d.withLock(func() { d.core.HandleFenceReply(time.Now(), sentAt, f.Name, askedPair, reply) })
}
