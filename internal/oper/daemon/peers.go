package daemon

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/peer/calls"
	"github.com/bramleycove/bramleycove/internal/peer/folds"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

const (
	listInterval   = time.Second
	gossipInterval = time.Second
	// maxStatePeers bounds the listed instances that a starting instance asks for state.
	maxStatePeers = 8
)

func seedFromID(id string) uint64 { return xxhash.Sum64String(id) }

// peerHandler serves calls of other instances and, on the same port, the operator interface.
func (d *daemon) peerHandler() fasthttp.RequestHandler {
	handlers := &calls.Handlers{
		OnHeartbeat: d.member.HandleHeartbeat,
		OnFence:     d.member.HandleFence,
		OnState:     func(context.Context) (*peerpb.StateReply, error) { return d.folds.ServeState(d.id) },
		OnRead:      d.folds.ServeRead,
		OnGossip:    d.onGossip,
	}
	control, operators := handlers.Handler(), d.admin.Handler()
	return func(ctx *fasthttp.RequestCtx) {
		if strings.HasPrefix(string(ctx.Path()), "/twirp/") {
			control(ctx)
			return
		}
		operators(ctx)
	}
}

// pollList polls the platform's list until ctx is done. While the list service is down, the last list stays in use.
func (d *daemon) pollList(ctx context.Context) {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for failing := false; ; {
		l, err := d.listClient.Fetch(ctx)
		if err == nil {
			d.list.Store(&l)
			d.view.SetList(l)
			d.driver.SetList(l)
			d.forwarder.SetLinkRate(int64(d.cfg.LinkBytesPerSec / d.regionInstanceCount()))
		} else if !failing {
			d.log.Warn("list-unreachable", "error", err)
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// serverLeaving reports whether the platform's list marks a backend server as leaving.
func (d *daemon) serverLeaving(name string) bool {
	for _, s := range d.list.Load().Servers {
		if s.Name == name {
			return s.Leaving
		}
	}
	return false
}

// regionInstanceCount returns how many instances, including this one, share the region's link. Any of them may receive
// the requests, so each gets an equal share.
func (d *daemon) regionInstanceCount() int {
	n := 1
	for _, i := range d.otherInstances() {
		if i.Region == d.cfg.Region {
			n++
		}
	}
	return n
}

// otherInstances returns the listed instances that are not leaving, without this one.
func (d *daemon) otherInstances() []roster.Instance {
	var out []roster.Instance
	for _, i := range d.list.Load().Instances {
		if i.Name != d.cfg.Instance && !i.Leaving {
			out = append(out, i)
		}
	}
	return out
}

func (d *daemon) foldsPeer(name string, addr netip.AddrPort) folds.Peer {
	return folds.Peer{
		Name:  name,
		State: func(ctx context.Context) (*peerpb.StateReply, error) { return d.calls.State(ctx, addr) },
		Read: func(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
			return d.calls.Read(ctx, addr, req)
		},
	}
}

// statePeers returns the instances to load state from: the listed ones, nearest first, then the seeds.
func (d *daemon) statePeers() []folds.Peer {
	list := d.otherInstances()
	slices.SortStableFunc(list, func(a, b roster.Instance) int { return d.distance(a) - d.distance(b) })
	var out []folds.Peer
	for _, i := range list[:min(len(list), maxStatePeers)] {
		out = append(out, d.foldsPeer(i.Name, i.Peer))
	}
	for _, addr := range d.cfg.Seeds {
		if addr != d.peerAddr {
			out = append(out, d.foldsPeer(addr.String(), addr))
		}
	}
	return out
}

// distance returns 0 for an instance in the same data centre, 1 in the same region, 2 elsewhere.
func (d *daemon) distance(i roster.Instance) int {
	switch {
	case i.DC == d.cfg.DC:
		return 0
	case i.Region == d.cfg.Region:
		return 1
	default:
		return 2
	}
}

// relays returns the instance to read the log through: the data centre's relay or, on that relay, the region's. The
// region's relay reads the log itself, so control traffic crosses a region's link once.
func (d *daemon) relays() []folds.Peer {
	var out []folds.Peer
	for maxDistance := range 2 {
		relay, addr := d.relayWithin(maxDistance)
		if relay == d.cfg.Instance {
			continue
		}
		if maxDistance == 0 || d.isRelay(0) {
			out = append(out, d.foldsPeer(relay, addr))
		}
	}
	if name, _ := d.relayWithin(1); name == d.cfg.Instance {
		return nil
	}
	return out
}

// maxFallbacks bounds the instances that are asked for records when neither a relay nor the log answers.
const maxFallbacks = 2

// fallbacks returns the nearest instances that are not a relay of this one. A relay that alone is cut off from the log
// can read only from these; the instances that usually read from it have switched to the log by then.
func (d *daemon) fallbacks() []folds.Peer {
	relays, list := d.relays(), d.otherInstances()
	slices.SortStableFunc(list, func(a, b roster.Instance) int { return d.distance(a) - d.distance(b) })
	var out []folds.Peer
	for _, i := range list {
		if len(out) < maxFallbacks && !slices.ContainsFunc(relays, func(p folds.Peer) bool { return p.Name == i.Name }) {
			out = append(out, d.foldsPeer(i.Name, i.Peer))
		}
	}
	return out
}

// isRelay reports whether this instance is the relay of its data centre (0) or region (1).
func (d *daemon) isRelay(maxDistance int) bool {
	name, _ := d.relayWithin(maxDistance)
	return name == d.cfg.Instance
}

// relayWithin selects the relay among the instances up to maxDistance, including this one, by rendezvous hashing.
func (d *daemon) relayWithin(maxDistance int) (string, netip.AddrPort) {
	scope := [...]string{d.cfg.DC, d.cfg.Region}[maxDistance]
	name, addr, bestHash := d.cfg.Instance, d.peerAddr, xxhash.Sum64String(scope+"\x00"+d.cfg.Instance)
	for _, i := range d.otherInstances() {
		if d.distance(i) > maxDistance {
			continue
		}
		if h := xxhash.Sum64String(scope + "\x00" + i.Name); h > bestHash {
			name, addr, bestHash = i.Name, i.Peer, h
		}
	}
	return name, addr
}

// runGossip exchanges strikes with one instance of each other data centre while this instance is the controller, and
// records which data centres answer.
func (d *daemon) runGossip(ctx context.Context) {
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !d.driver.IsController() {
			continue
		}
		dcs := make(map[string][]roster.Instance)
		for _, i := range d.otherInstances() {
			if i.DC != d.cfg.DC {
				dcs[i.DC] = append(dcs[i.DC], i)
			}
		}
		for dc, instances := range dcs {
			d.exchangeStrikes(ctx, dc, instances[round%len(instances)].Peer)
		}
	}
}

func (d *daemon) exchangeStrikes(ctx context.Context, dc string, addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, gossipInterval/2)
	defer cancel()
	now := time.Now()
	reply, err := d.calls.Gossip(ctx, addr, &peerpb.GossipRequest{Instance: d.id, Dc: d.cfg.DC, Strikes: d.driver.RecentStrikes(now)})
	if err != nil {
		return
	}
	d.mu.Lock()
	d.lastContact[dc] = now
	d.mu.Unlock()
	d.driver.AddStrikes(now, reply.GetStrikes())
}

func (d *daemon) onGossip(_ context.Context, req *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	now := time.Now()
	d.driver.AddStrikes(now, req.GetStrikes())
	// An instance that is not the controller forwards the strikes with its heartbeats.
	d.crashes.mergeStrikes(now, req.GetStrikes())
	if !d.driver.IsController() {
		return &peerpb.GossipReply{Strikes: d.crashes.recentStrikes(now)}, nil
	}
	return &peerpb.GossipReply{Strikes: d.driver.RecentStrikes(now)}, nil
}

// remoteContact returns the send time of the last answered gossip call to a data centre, zero if none.
func (d *daemon) remoteContact(dc string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastContact[dc]
}
