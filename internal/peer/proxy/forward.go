package proxy

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/lanes"
	"github.com/bramleycove/bramleycove/internal/flow/link"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/view"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/server"
)

// Reasons of failed hops, as they appear in result.Error.
const (
	ReasonPeerUnreachable = "peer-unreachable" // no byte of the request was written
	ReasonPeerLost        = "peer-lost"        // the hop broke after the first byte was written
	ReasonPeerTimeout     = "peer-timeout"
	ReasonCancelled       = "cancelled"
	ReasonBadAnswer       = "peer-answer" // the answer is not one of a dispatcher, or not whole
	ReasonTooManyHops     = "too-many-hops"
	ReasonMalformedHop    = "malformed-hop"
)

const (
	// newTargetTimeout bounds the wait for a newer view after a stale target: heartbeats come every 300 ms.
	newTargetTimeout = 400 * time.Millisecond
	// verdictGrace is how much longer than the dispatcher each sender waits, so that the dispatcher's verdict on a deadline,
	// which is often "not run", arrives instead of being unknown. A round trip between regions takes 40 ms.
	verdictGrace = 100 * time.Millisecond
	// unreachablePeriod is how long a peer that could not be reached is tried after the other candidates.
	unreachablePeriod = 500 * time.Millisecond
	// unreachableRetryAfter is the time to retry after when a dispatcher is lost: it is replaced in less than 3 s.
	unreachableRetryAfter = 2 * time.Second
	// peerIdleTimeout is how long connections to a peer are kept that is not used.
	peerIdleTimeout = time.Minute
)

// Forwarder sends requests to their dispatchers and serves those that other instances send. It may be used by many
// goroutines.
type Forwarder struct {
	view     *view.View
	dispatch func(ctx context.Context, req *work.Request) (work.Answer, error)
	// DialAddr returns the address to dial for an instance. nil means the instance's own address.
	DialAddr func(netip.AddrPort) netip.AddrPort

	linkMu sync.Mutex
	link   *link.Link

	mu          sync.Mutex
	peers       map[netip.AddrPort]*peer
	lastCleanup time.Time
}

type peer struct {
	*conns.Pool
	lastUsed        time.Time
	lastUnreachable atomic.Int64 // when it last could not be reached, in nanoseconds of the Unix time
}

// New returns a Passer. do is the dispatcher stage of this instance; its errors are *result.Error.
func New(v *view.View, dispatch func(context.Context, *work.Request) (work.Answer, error)) *Forwarder {
	return &Forwarder{view: v, dispatch: dispatch, peers: make(map[netip.AddrPort]*peer)}
}

// Send locates the dispatcher of req and sends it there. req.Pool, and req.Key for keyed pools, must be set. Errors
// are *result.Error. A target that proves stale is looked up once more in a newer view. ctx must end at
// req.Deadline or earlier.
func (f *Forwarder) Send(ctx context.Context, req *work.Request) (work.Answer, error) {
	t, err := f.locate(req)
	var a work.Answer
	if err == nil {
		a, err = f.sendToTarget(ctx, req, t)
	}
	switch {
	case err == nil:
		return a, nil
	case isStaleTarget(err):
		newTarget, ok := f.waitForNewTarget(ctx, req, t)
		// An unchanged target is worth another try only if the dispatcher answered: its own lease may have been
		// older than the view of this instance.
		if ok || result.FromError(err).Reason == lanes.ReasonStale && ctx.Err() == nil {
			return f.sendToTarget(ctx, req, newTarget)
		}
	case req.Hops == 0 && isServerUnavailable(err):
		if t, ok := f.view.LocateElsewhere(req.Pool, req.ID); ok {
			return f.sendToTarget(ctx, req, t)
		}
	}
	return a, err
}

func (f *Forwarder) locate(req *work.Request) (view.Target, error) {
	key := req.Key
	if key == "" {
		key = req.ID
	}
	return f.view.Locate(req.Pool, key)
}

// waitForNewTarget waits until the view shows another target than old. It reports false when that does not happen soon.
func (f *Forwarder) waitForNewTarget(ctx context.Context, req *work.Request, old view.Target) (view.Target, bool) {
	timeout := time.NewTimer(newTargetTimeout)
	defer timeout.Stop()
	for {
		changed := f.view.Changed()
		t, err := f.locate(req)
		if err == nil && (t.Dispatcher != old.Dispatcher || t.Lane != old.Lane || t.Token != old.Token) {
			return t, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return old, false
		case <-ctx.Done():
			return old, false
		}
	}
}

// isStaleTarget reports whether a newer view may lead to another result for a request that certainly did not run.
func isStaleTarget(err error) bool {
	e := result.FromError(err)
	if e.Verdict != result.NotRun {
		return false
	}
	return e.Reason == lanes.ReasonStale || e.Reason == ReasonPeerUnreachable || e.Reason == view.ReasonDispatcher
}

// isServerUnavailable reports whether the lane's servers could not take work that certainly did not run. A full queue is not
// such a case: a flood must not spill over the link between regions.
func isServerUnavailable(err error) bool {
	e := result.FromError(err)
	if e.Verdict != result.NotRun {
		return false
	}
	return e.Reason == lanes.ReasonServers || e.Reason == lanes.ReasonFrozen || e.Reason == server.ReasonConnect
}

// sendToTarget sends req to the target, and on to its fallbacks while nobody can be reached. Peers that could not be reached
// lately come last.
func (f *Forwarder) sendToTarget(ctx context.Context, req *work.Request, t view.Target) (a work.Answer, err error) {
	req.Lane, req.Slot, req.Token = t.Lane, t.Slot, t.Token
	addReceived, err := f.takeLinkBudget(req, t.DC)
	if err != nil {
		return a, err
	}
	addrs := append([]netip.AddrPort{t.Dispatcher}, t.Fallbacks...)
	if len(addrs) > 1 {
		slices.SortStableFunc(addrs, func(a, b netip.AddrPort) int { return f.recentlyUnreachable(a) - f.recentlyUnreachable(b) })
	}
	for _, addr := range addrs {
		a, err = f.sendHop(ctx, req, addr)
		if err == nil || result.FromError(err).Reason != ReasonPeerUnreachable || ctx.Err() != nil {
			break
		}
	}
	addReceived(messageBytes(a.Headers, a.Body))
	return a, err
}

// sendHop sends req to one instance. A hop to itself is a direct call.
func (f *Forwarder) sendHop(ctx context.Context, req *work.Request, addr netip.AddrPort) (work.Answer, error) {
	if addr == f.view.PeerAddr() {
		return f.dispatch(ctx, req)
	}
	if req.Hops >= maxHops {
		return work.Answer{}, work.NewRefusal(ReasonTooManyHops, time.Second)
	}
	out := *req
	out.Hops++
	ctx, cancel := withVerdictGrace(ctx, req)
	defer cancel()
	httpReq, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(resp)
	encodeRequest(httpReq, &out, time.Until(req.Deadline))
	peer := f.openPeer(addr)
	sent, err := peer.Do(ctx, httpReq, resp, time.Time{})
	if err != nil {
		e := hopError(ctx, sent, err)
		if e.Reason == ReasonPeerUnreachable {
			peer.lastUnreachable.Store(time.Now().UnixNano())
		}
		return work.Answer{}, e
	}
	return decodeAnswer(resp)
}

// withVerdictGrace returns a context that is cancelled with ctx but outlasts its deadline by the grace of the hops ahead.
func withVerdictGrace(ctx context.Context, req *work.Request) (context.Context, context.CancelFunc) {
	extra := verdictGrace
	if req.Lane == "" {
		extra = 2 * verdictGrace // by way of another instance
	}
	out, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline.Add(extra))
	stop := context.AfterFunc(ctx, func() {
		if ctx.Err() == context.Canceled {
			cancel()
		}
	})
	return out, func() {
		stop()
		cancel()
	}
}

// recentlyUnreachable returns 1 for a peer that could not be reached lately, else 0.
func (f *Forwarder) recentlyUnreachable(addr netip.AddrPort) int {
	f.mu.Lock()
	q := f.peers[addr]
	f.mu.Unlock()
	if q != nil && time.Now().UnixNano()-q.lastUnreachable.Load() < int64(unreachablePeriod) {
		return 1
	}
	return 0
}

// hopError maps an error of the exchange to a verdict.
func hopError(ctx context.Context, sent bool, err error) *result.Error {
	e := &result.Error{Verdict: result.MayHaveRun, Status: fasthttp.StatusGatewayTimeout, Reason: ReasonPeerLost, Cause: err}
	if !sent {
		e.Verdict, e.Status, e.Reason = result.NotRun, fasthttp.StatusServiceUnavailable, ReasonPeerUnreachable
		e.RetryAfter = unreachableRetryAfter
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = ReasonPeerTimeout
	case ctx.Err() != nil:
		e.Reason = ReasonCancelled
	case errors.IsAny(err, conns.ErrMismatch, conns.ErrTruncated, conns.ErrNoLength):
		e.Status, e.Reason = fasthttp.StatusBadGateway, ReasonBadAnswer
	}
	return e
}

// openPeer returns the connections to a peer. Those to peers that have not been used for a while are closed.
func (f *Forwarder) openPeer(addr netip.AddrPort) *peer {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastCleanup) >= peerIdleTimeout {
		f.lastCleanup = now
		for a, old := range f.peers {
			if now.Sub(old.lastUsed) >= peerIdleTimeout {
				old.Close()
				delete(f.peers, a)
			}
		}
	}
	q := f.peers[addr]
	if q == nil {
		q = &peer{Pool: conns.New(f.dialAddr(addr), 0)}
		f.peers[addr] = q
	}
	q.lastUsed = now
	return q
}

// Close closes the connections to other instances, those in use after their request.
func (f *Forwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.peers {
		q.Close()
	}
	clear(f.peers)
}

func (f *Forwarder) dialAddr(addr netip.AddrPort) netip.AddrPort {
	if f.DialAddr == nil {
		return addr
	}
	return f.DialAddr(addr)
}
