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
	"github.com/bramleycove/bramleycove/internal/plat/heads"
	"github.com/bramleycove/bramleycove/internal/plat/server"
)

// Reasons why a hop failed, as given in result.Error.
const (
	ReasonPeerUnreachable = "peer-unreachable" // no byte of the request was written
	ReasonPeerLost        = "peer-lost"        // the hop broke after the first byte was written
	ReasonPeerTimeout     = "peer-timeout"
	ReasonCancelled       = "cancelled"
	ReasonBadAnswer       = "peer-answer" // the answer is incomplete, malformed or not from a dispatcher
	ReasonTooManyHops     = "too-many-hops"
	ReasonMalformedHop    = "malformed-hop"
)

const (
	// newTargetTimeout bounds the wait for a newer view after a stale target. Heartbeats come every 300 ms.
	newTargetTimeout = 400 * time.Millisecond
	// verdictGrace is how much longer than its receiver a sender waits, to get the dispatcher's verdict on an expired
	// request, often "not run". A round trip between regions takes 40 ms.
	verdictGrace = 100 * time.Millisecond
	// unreachablePeriod is how long an unreachable peer is tried only after the other candidates.
	unreachablePeriod = 500 * time.Millisecond
	// unreachableRetryAfter is the Retry-After for a lost dispatcher, which is replaced in less than 3 s.
	unreachableRetryAfter = 2 * time.Second
	// peerIdleTimeout is how long the connections to an unused peer are kept.
	peerIdleTimeout = time.Minute
)

// Forwarder sends requests to their dispatchers and serves those sent by other instances. It is safe for concurrent use.
type Forwarder struct {
	view     *view.View
	dispatch func(ctx context.Context, req *work.Request) (work.Answer, error)
	// DialAddr returns the address to dial for an instance. If nil, the instance's own address is dialled.
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
	lastUnreachable atomic.Int64 // when it last could not be reached, in Unix nanoseconds
}

// New returns a Forwarder. dispatch runs a request in the dispatcher of this instance; its errors are *result.Error.
func New(v *view.View, dispatch func(context.Context, *work.Request) (work.Answer, error)) *Forwarder {
	return &Forwarder{view: v, dispatch: dispatch, peers: make(map[netip.AddrPort]*peer)}
}

// Send sends req to its dispatcher. req.Pool must be set, and req.Key for keyed pools. A target that proves stale is
// looked up once more in a newer view. ctx must end at req.Deadline or earlier. Errors are *result.Error.
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
		// An unchanged target is tried again only if the dispatcher itself refused: its lease may have been older than
		// this view.
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

// waitForNewTarget waits until the view shows a target other than old. After a timeout it returns old and false.
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

// isStaleTarget reports whether the request did not run and a newer view may show a better target.
func isStaleTarget(err error) bool {
	e := result.FromError(err)
	if e.Verdict != result.NotRun {
		return false
	}
	return e.Reason == lanes.ReasonStale || e.Reason == ReasonPeerUnreachable || e.Reason == view.ReasonDispatcher
}

// isServerUnavailable reports whether the request did not run because the lane's servers were unavailable. A full queue
// does not count, since an overload must not spill over the link between regions.
func isServerUnavailable(err error) bool {
	e := result.FromError(err)
	if e.Verdict != result.NotRun {
		return false
	}
	return e.Reason == lanes.ReasonServers || e.Reason == lanes.ReasonFrozen || e.Reason == server.ReasonConnect
}

// sendToTarget sends req to the target's dispatcher or, if that is unreachable, to the fallbacks in turn. Peers that
// were recently unreachable come last.
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

// sendHop sends req to one instance. If that is this instance, it calls dispatch directly.
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

// withVerdictGrace returns a context that is cancelled with ctx but outlives its deadline by verdictGrace per hop left.
func withVerdictGrace(ctx context.Context, req *work.Request) (context.Context, context.CancelFunc) {
	extra := verdictGrace
	if req.Lane == "" {
		extra = 2 * verdictGrace // an instance of the other data centre forwards once more
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

// recentlyUnreachable returns 1 if the peer was unreachable within unreachablePeriod, else 0.
func (f *Forwarder) recentlyUnreachable(addr netip.AddrPort) int {
	f.mu.Lock()
	q := f.peers[addr]
	f.mu.Unlock()
	if q != nil && time.Now().UnixNano()-q.lastUnreachable.Load() < int64(unreachablePeriod) {
		return 1
	}
	return 0
}

// hopError converts an error of the HTTP exchange to one with a verdict.
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
	case errors.IsAny(err, conns.ErrMismatch, conns.ErrTruncated, conns.ErrNoLength, heads.ErrStatus, heads.ErrMalformed):
		e.Status, e.Reason = fasthttp.StatusBadGateway, ReasonBadAnswer
	}
	return e
}

// openPeer returns the connection pool of a peer, and closes pools that have long been unused.
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

// Close closes the connections to other instances. A connection in use is closed after its request.
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
