// Package daemon builds the components of one instance and runs them.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/edge/front"
	"github.com/bramleycove/bramleycove/internal/flow/lanes"
	"github.com/bramleycove/bramleycove/internal/flow/link"
	"github.com/bramleycove/bramleycove/internal/flow/once"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/admin"
	"github.com/bramleycove/bramleycove/internal/oper/config"
	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/oper/meter"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/peer/calls"
	"github.com/bramleycove/bramleycove/internal/peer/folds"
	"github.com/bramleycove/bramleycove/internal/peer/member"
	"github.com/bramleycove/bramleycove/internal/peer/proxy"
	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/drive"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/view"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// daemon is one running instance.
type daemon struct {
	cfg      *config.Config
	id       string // name/incarnation
	peerAddr netip.AddrPort
	log      *events.Logger

	logClient  *logsvc.Client
	listClient *roster.Client
	calls      *calls.Client
	meter      *meter.Meter

	folds      *folds.Folds
	view       *view.View
	driver     *drive.Driver
	member     *member.Member
	dispatcher *lanes.Dispatcher
	ledger     *once.Ledger
	crashes    *crashTracker
	forwarder  *proxy.Forwarder
	front      *front.Frontend
	admin      *admin.Server

	list    atomic.Pointer[roster.List]
	leaving atomic.Bool
	// diverged gets an error when this instance has applied records that the log has lost for good.
	diverged chan error

	mu          sync.Mutex
	lastContact map[string]time.Time // send time of the last answered gossip call to each data centre
}

// Run runs an instance until ctx is done or a listener fails. It returns after the graceful stop.
func Run(ctx context.Context, cfg *config.Config) error {
	l, err := listen(cfg)
	if err != nil {
		return err
	}
	d := newDaemon(cfg, l)
	d.log.Info("listening", "instance", d.id, "dc", cfg.DC, "caller", l.caller.Addr(), "peer", l.peer.Addr(), "admin", l.admin.Addr())

	// After ctx is done the components run until requests in progress are finished.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	var background, servers conc.WaitGroup
	for _, run := range []func(context.Context){d.folds.Run, d.driver.Run, d.member.Run, d.ledger.Run, d.pollList, d.runGossip} {
		background.Go(func() { d.log.Guard(func() { run(componentsCtx) }) })
	}
	peers := d.forwarder.Server(d.peerHandler())
	serveErrors := make(chan error, 3)
	for _, serve := range []func() error{
		func() error { return d.front.Serve(l.caller) },
		func() error { return peers.Serve(l.peer) },
		func() error { return d.admin.Serve(l.admin) },
	} {
		servers.Go(func() { serveErrors <- serve() })
	}
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
	case err = <-d.diverged:
	}
	d.shutdown(peers)
	stopComponents()
	background.Wait()
	servers.Wait()
	d.log.Info("stopped")
	return errors.CombineErrors(err, d.meter.Close())
}

// listeners holds the open listeners. They are opened first, so that a wrong address fails the start at once.
type listeners struct {
	caller, peer, admin net.Listener
}

func listen(cfg *config.Config) (l listeners, err error) {
	for _, listener := range []struct {
		to   *net.Listener
		name string
		addr netip.AddrPort
	}{{&l.caller, "caller", cfg.CallerAddr}, {&l.peer, "peer", cfg.PeerAddr}, {&l.admin, "admin", cfg.AdminAddr}} {
		if *listener.to, err = net.Listen("tcp", listener.addr.String()); err != nil {
			return l, errors.Wrapf(err, "listen for %s", listener.name)
		}
	}
	return l, nil
}

// incarnation returns a random suffix that distinguishes processes with the same instance name.
func incarnation() string {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

func newDaemon(cfg *config.Config, l listeners) *daemon {
	d := &daemon{
		cfg: cfg, id: cfg.Instance + "/" + incarnation(), peerAddr: cfg.AdvertisedAddr,
		log:       events.New(os.Stderr, time.Now, cfg.DebugSubsystems),
		logClient: logsvc.New(cfg.LogAddr), listClient: roster.New(cfg.ListAddr), calls: calls.NewClient(), meter: meter.New(),
		lastContact: make(map[string]time.Time), diverged: make(chan error, 1),
	}
	if !d.peerAddr.IsValid() {
		d.peerAddr = l.peer.Addr().(*net.TCPAddr).AddrPort()
	}
	d.calls.DialAddr = d.dialAddr
	d.list.Store(new(roster.List))
	d.view = view.New(cfg.DC, d.peerAddr)
	d.crashes = newCrashTracker(d.id, d.log.For("flow"))
	d.ledger = once.New(d.ledgerConfig())
	d.folds = folds.New(d.foldsConfig())
	d.driver = drive.New(d.driverConfig())
	d.dispatcher = lanes.New(d.dispatcherConfig())
	d.forwarder = proxy.New(d.view, d.dispatcher.Do)
	d.forwarder.DialAddr = d.dialAddr
	d.forwarder.SetLink(link.New(int64(cfg.LinkBytesPerSec)))
	d.member = member.New(d.memberConfig())
	if n := cfg.Limits.Memory; n > 0 {
		// The garbage collector works harder before the process exceeds its memory.
		debug.SetMemoryLimit(n * 3 / 4)
		intake.Default.SetLimit(intake.ForMemory(n))
	}
	d.front = front.New(d.frontConfig())
	d.admin = admin.New(admin.Sources{Status: d.status, Explain: d.explainRoute, Metrics: d.metrics})
	return d
}

func (d *daemon) metrics() ([]byte, error) {
	d.meter.RecordBudget(intake.Default)
	return d.meter.Text()
}

func (d *daemon) foldsConfig() folds.Config {
	log := d.log.For("plat")
	return folds.Config{
		Read: d.logClient.Read, Append: d.logClient.Append, AppendAgain: d.logClient.AppendAgain,
		BeginEra: d.logClient.BeginEra, OnEra: d.logClient.NoteEntered, OnDiverged: d.stopDiverged,
		Peers: d.statePeers, Relays: d.relays, Fallbacks: d.fallbacks,
		NeedsContact:    d.needsLogContact,
		WritesSnapshots: func() bool { return d.driver.IsController() },
		DC:              d.cfg.DC, Seed: seedFromID(d.id),
		OnTables: d.onTables, OnPlacement: d.onPlacement, OnLedgerRecord: d.ledger.Apply,
		LogEvent: log.Info,
	}
}

// stopDiverged makes this instance stop as planned: the others have gone on without records of the log that it has acted by. A new
// process begins with what the log holds now.
func (d *daemon) stopDiverged(stream string, offset uint64) {
	select {
	case d.diverged <- errors.Newf("stream %q was restored and differs from offset %d on from what this instance has applied", stream, offset):
	default:
	}
}

func (d *daemon) driverConfig() drive.Config {
	client := grants.New()
	return drive.Config{
		Config: ctrl.Config{
			ID: d.id, DC: d.cfg.DC, PeerAddr: d.peerAddr, StartedAt: time.Now(),
			RemoteContact: d.remoteContact, Balance: newBalancer(),
		},
		ViewPlacement: d.folds.ViewPlacement, LogContact: d.folds.LastContact,
		Append: func(ctx context.Context, rec *record.Record) (uint64, error) {
			data, err := proto.Marshal(rec)
			if err != nil {
				return 0, err
			}
			return d.logClient.Append(ctx, folds.PlaceStream, data)
		},
		Grant: func(ctx context.Context, addr netip.AddrPort, g grants.Grant) (grants.Reply, error) {
			return client.Send(ctx, d.dialAddr(addr), g)
		},
		Fence:    d.calls.Fence,
		LogEvent: d.log.For("place").Info,
	}
}

func (d *daemon) memberConfig() member.Config {
	return member.Config{
		ID: d.id, DC: d.cfg.DC, PeerAddr: d.peerAddr,
		Cell:          func() fold.Cell { return d.folds.Cell(d.cfg.DC) },
		List:          func() roster.List { return *d.list.Load() },
		IsLeaving:     d.leaving.Load,
		SendHeartbeat: d.calls.Heartbeat, AnswerHeartbeat: d.driver.HandleHeartbeat, OnHolder: d.driver.ObserveHolder,
		OnLanes: d.dispatcher.Update, TakeReleases: d.dispatcher.TakeReleased, ServerReports: d.dispatcher.TakeReports,
		RecentStrikes: func() []*peerpb.Strike { return d.crashes.recentStrikes(time.Now()) },
		OnMembers: func(members []*peerpb.Member, owners []*peerpb.Owner) {
			d.view.SetMembers(members, owners)
			d.driver.SetDispatchers(members)
		},
		OnStrikes: func(list []*peerpb.Strike) { d.crashes.mergeStrikes(time.Now(), list) },
	}
}

func (d *daemon) frontConfig() front.Config {
	limits := d.cfg.Limits
	return front.Config{
		DC: d.cfg.DC, Instance: d.id, Tables: d.view.Tables, Send: d.forwarder.Send, Observe: d.recordOutcome,
		CheckQuarantine: d.crashes.quarantineLeft, BeginOnce: d.beginOnce,
		MaxBody: limits.MaxBody, MaxHeader: limits.MaxHeader, MaxConns: limits.MaxConnections,
		ReadTimeout: limits.ReadTimeout, IdleTimeout: limits.IdleTimeout,
	}
}

func (d *daemon) ledgerConfig() once.Config {
	return once.Config{
		Instance: d.id,
		Append: func(ctx context.Context, data []byte) (uint64, error) {
			return d.logClient.Append(ctx, folds.LedgerStream, data)
		},
		Ready:         func() bool { return d.folds.HasReadLedger() },
		LiveInstances: func() int { return len(d.otherInstances()) + 1 },
		Now:           time.Now, AppendBudget: float64(d.cfg.AppendsPerSec),
	}
}

func (d *daemon) dispatcherConfig() lanes.Config {
	return lanes.Config{
		Ranks: d.ranks, Servers: d.view.LaneServers, ServerLeaving: d.serverLeaving,
		Admit: d.crashes.admit, ServerLost: d.crashes.recordLoss, AloneSucceeded: d.crashes.recordSuccess,
		Instances:        func() int { return len(d.otherInstances()) + 1 },
		NotifyReleasable: func() { d.member.HeartbeatNow() }, DialAddress: d.dialAddr, Seed: seedFromID(d.id),
	}
}

// dialAddr returns the proxy configured for an address of the list or pool table, or the address itself.
func (d *daemon) dialAddr(addr netip.AddrPort) netip.AddrPort {
	if proxy, ok := d.cfg.Proxies[addr]; ok {
		return proxy
	}
	return addr
}

// beginOnce claims a request that must not run twice. It returns a function that records its result, or the answer of an
// earlier run.
func (d *daemon) beginOnce(ctx context.Context, id [32]byte, window time.Duration) (func(work.Answer, error), work.Answer, error) {
	ticket, kept, err := d.ledger.Begin(ctx, id, window)
	if err != nil {
		return nil, work.Answer{}, err
	}
	if ticket == nil {
		return nil, work.FromRecord(kept), nil
	}
	return func(a work.Answer, err error) {
		if err != nil {
			ticket.Finish(result.FromError(err).Verdict, nil)
			return
		}
		ticket.Finish(result.Ran, a.ToRecord())
	}, work.Answer{}, nil
}

func (d *daemon) ranks() []tables.Rank {
	if t := d.view.Tables(); t != nil {
		return t.Ranks
	}
	return nil
}

// onTables applies a new version of the tables.
func (d *daemon) onTables(version uint64, t *tables.Tables) {
	d.view.SetTables(t)
	d.driver.SetTables(t, t.Lost)
	d.onPlacement()
	d.log.Info("tables-in-force", "version", version, "routes", len(t.Routes), "pools", len(t.Pools))
}

// onPlacement updates the view after a change of the placement and wakes the driver.
func (d *daemon) onPlacement() {
	if t := d.view.Tables(); t != nil {
		d.folds.ViewPlacement(func(p *fold.Placement) {
			for i := range t.Pools {
				if t.Pools[i].Keyed {
					d.view.SetSlots(t.Pools[i].Name, p.Slots(t.Pools[i].Name))
				}
			}
		})
	}
	d.driver.Wake()
}

// needsLogContact reports whether contact with the log itself must be tracked: on a controller, if a pool sets Yield.
func (d *daemon) needsLogContact() bool {
	t := d.view.Tables()
	if t == nil || !d.driver.IsController() {
		return false
	}
	for i := range t.Pools {
		if t.Pools[i].Yield > 0 {
			return true
		}
	}
	return false
}

// isHandoverPending reports whether lanes remain that another instance of the data centre can take over.
func (d *daemon) isHandoverPending() bool {
	return len(d.dispatcher.Lanes()) > 0 &&
		slices.ContainsFunc(d.otherInstances(), func(i roster.Instance) bool { return i.DC == d.cfg.DC })
}

const (
	// handoverTimeout bounds the wait for other instances to take the lanes over.
	handoverTimeout      = 10 * time.Second
	finishTimeout        = 60 * time.Second
	handoverPollInterval = 20 * time.Millisecond
)

// shutdown stops the instance without cutting off requests: it hands over its lanes while it still accepts callers, and
// serves other instances longest.
func (d *daemon) shutdown(peers *fasthttp.Server) {
	d.log.Info("stopping", "linger", d.cfg.Linger)
	d.leaving.Store(true)
	d.driver.Leave()
	d.member.HeartbeatNow()
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := d.front.Stop(ctx, d.cfg.Linger); err != nil {
		d.log.Error("callers-cut-off", "error", err)
	}
	for end := time.Now().Add(handoverTimeout); d.isHandoverPending() && time.Now().Before(end); {
		time.Sleep(handoverPollInterval)
	}
	if err := peers.ShutdownWithContext(ctx); err != nil {
		d.log.Error("peers-cut-off", "error", err)
	}
	if err := d.admin.Shutdown(ctx); err != nil {
		d.log.Warn("operators-cut-off", "error", err)
	}
	d.forwarder.Close()
	d.dispatcher.Close()
	d.calls.Close()
}
