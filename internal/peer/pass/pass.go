package pass

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
	ReasonUnreachable = "peer-unreachable" // no byte of the request was written
	ReasonLost        = "peer-lost"        // the hop broke after the first byte was written
	ReasonTimeout     = "peer-timeout"
	ReasonCancelled   = "cancelled"
	ReasonAnswer      = "peer-answer" // the answer is not one of a dispatcher, or not whole
	ReasonHops        = "too-many-hops"
	ReasonMalformed   = "malformed-hop"
)

const (
	// viewWait bounds the wait for a newer view after a stale target: heartbeats come every 300 ms.
	viewWait = 400 * time.Millisecond
	// grace is how much longer than the dispatcher each sender waits, so that the dispatcher's verdict on a deadline,
	// which is often "not run", arrives instead of being unknown. A round trip between regions takes 40 ms.
	grace = 100 * time.Millisecond
	// suspectFor is how long a peer that could not be reached is tried after the other candidates.
	suspectFor = 500 * time.Millisecond
	// unreachableRetry is the time to retry after when a dispatcher is lost: it is replaced in less than 3 s.
	unreachableRetry = 2 * time.Second
	// poolIdle is how long connections to a peer are kept that is not used.
	poolIdle = time.Minute
)

// Passer sends requests to their dispatchers and serves those that other instances send. It may be used by many
// goroutines.
type Passer struct {
	view *view.View
	do   func(ctx context.Context, req *work.Request) (work.Answer, error)
	// Via returns the address to dial for an instance. nil means the instance's own address.
	Via func(netip.AddrPort) netip.AddrPort

	metering sync.Mutex
	link     *link.Link

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	swept time.Time
}

type peer struct {
	*conns.Pool
	used   time.Time
	failed atomic.Int64 // when it last could not be reached, in nanoseconds of the Unix time
}

// New returns a Passer. do is the dispatcher stage of this instance; its errors are *result.Error.
func New(v *view.View, do func(context.Context, *work.Request) (work.Answer, error)) *Passer {
	return &Passer{view: v, do: do, peers: make(map[netip.AddrPort]*peer)}
}

// Send locates the dispatcher of req and sends it there. req.Pool, and req.Key for keyed pools, must be set. Errors
// are *result.Error. A target that proves stale is looked up once more in a newer view. ctx must end at
// req.Deadline or earlier.
func (p *Passer) Send(ctx context.Context, req *work.Request) (work.Answer, error) {
	t, err := p.locate(req)
	var a work.Answer
	if err == nil {
		a, err = p.to(ctx, req, t)
	}
	switch {
	case err == nil:
		return a, nil
	case stale(err):
		next, ok := p.relocate(ctx, req, t)
		// An unchanged target is worth another try only if the dispatcher answered: its own lease may have been
		// older than the view of this instance.
		if ok || result.From(err).Reason == lanes.ReasonStale && ctx.Err() == nil {
			return p.to(ctx, req, next)
		}
	case req.Hops == 0 && unserved(err):
		if t, ok := p.view.LocateElsewhere(req.Pool, req.ID); ok {
			return p.to(ctx, req, t)
		}
	}
	return a, err
}

func (p *Passer) locate(req *work.Request) (view.Target, error) {
	key := req.Key
	if key == "" {
		key = req.ID
	}
	return p.view.Locate(req.Pool, key)
}

// relocate waits until the view shows another target than old. It reports false when that does not happen soon.
func (p *Passer) relocate(ctx context.Context, req *work.Request, old view.Target) (view.Target, bool) {
	timeout := time.NewTimer(viewWait)
	defer timeout.Stop()
	for {
		changed := p.view.Changed()
		t, err := p.locate(req)
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

// stale reports whether a newer view may lead to another result for a request that certainly did not run.
func stale(err error) bool {
	e := result.From(err)
	if e.Verdict != result.NotRun {
		return false
	}
	return e.Reason == lanes.ReasonStale || e.Reason == ReasonUnreachable || e.Reason == view.ReasonDispatcher
}

// unserved reports whether the lane's servers could not take work that certainly did not run. A full queue is not
// such a case: a flood must not spill over the link between regions.
func unserved(err error) bool {
	e := result.From(err)
	if e.Verdict != result.NotRun {
		return false
	}
	return e.Reason == lanes.ReasonServers || e.Reason == lanes.ReasonFrozen || e.Reason == server.ReasonConnect
}

// to sends req to the target, and on to its fallbacks while nobody can be reached. Peers that could not be reached
// lately come last.
func (p *Passer) to(ctx context.Context, req *work.Request, t view.Target) (a work.Answer, err error) {
	req.Lane, req.Slot, req.Token = t.Lane, t.Slot, t.Token
	received, err := p.meter(req, t.DC)
	if err != nil {
		return a, err
	}
	all := append([]netip.AddrPort{t.Dispatcher}, t.Fallbacks...)
	if len(all) > 1 {
		slices.SortStableFunc(all, func(a, b netip.AddrPort) int { return p.suspect(a) - p.suspect(b) })
	}
	for _, addr := range all {
		a, err = p.hop(ctx, req, addr)
		if err == nil || result.From(err).Reason != ReasonUnreachable || ctx.Err() != nil {
			break
		}
	}
	received(size(a.Headers, a.Body))
	return a, err
}

// hop sends req to one instance. A hop to itself is a direct call.
func (p *Passer) hop(ctx context.Context, req *work.Request, addr netip.AddrPort) (work.Answer, error) {
	if addr == p.view.PeerAddr() {
		return p.do(ctx, req)
	}
	if req.Hops >= maxHops {
		return work.Answer{}, work.NewRefusal(ReasonHops, time.Second)
	}
	out := *req
	out.Hops++
	ctx, cancel := patient(ctx, req)
	defer cancel()
	h, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(h)
	defer fasthttp.ReleaseResponse(resp)
	encode(h, &out, time.Until(req.Deadline))
	q := p.peer(addr)
	sent, err := q.Do(ctx, h, resp, time.Time{})
	if err != nil {
		e := failure(ctx, sent, err)
		if e.Reason == ReasonUnreachable {
			q.failed.Store(time.Now().UnixNano())
		}
		return work.Answer{}, e
	}
	return decodeAnswer(resp)
}

// patient returns a context that is cancelled with ctx but outlasts its deadline by the grace of the hops ahead.
func patient(ctx context.Context, req *work.Request) (context.Context, context.CancelFunc) {
	extra := grace
	if req.Lane == "" {
		extra = 2 * grace // by way of another instance
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

// suspect returns 1 for a peer that could not be reached lately, else 0.
func (p *Passer) suspect(addr netip.AddrPort) int {
	p.mu.Lock()
	q := p.peers[addr]
	p.mu.Unlock()
	if q != nil && time.Now().UnixNano()-q.failed.Load() < int64(suspectFor) {
		return 1
	}
	return 0
}

// failure maps an error of the exchange to a verdict.
func failure(ctx context.Context, sent bool, err error) *result.Error {
	e := &result.Error{Verdict: result.MayHaveRun, Status: fasthttp.StatusGatewayTimeout, Reason: ReasonLost, Cause: err}
	if !sent {
		e.Verdict, e.Status, e.Reason = result.NotRun, fasthttp.StatusServiceUnavailable, ReasonUnreachable
		e.RetryAfter = unreachableRetry
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = ReasonTimeout
	case ctx.Err() != nil:
		e.Reason = ReasonCancelled
	case errors.IsAny(err, conns.ErrMismatch, conns.ErrTruncated, conns.ErrNoLength):
		e.Status, e.Reason = fasthttp.StatusBadGateway, ReasonAnswer
	}
	return e
}

// peer returns the connections to a peer. Those to peers that have not been used for a while are closed.
func (p *Passer) peer(addr netip.AddrPort) *peer {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.swept) >= poolIdle {
		p.swept = now
		for a, old := range p.peers {
			if now.Sub(old.used) >= poolIdle {
				old.Close()
				delete(p.peers, a)
			}
		}
	}
	q := p.peers[addr]
	if q == nil {
		q = &peer{Pool: conns.New(p.via(addr), 0)}
		p.peers[addr] = q
	}
	q.used = now
	return q
}

// Close closes the connections to other instances, those in use after their request.
func (p *Passer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.peers {
		q.Close()
	}
	clear(p.peers)
}

func (p *Passer) via(addr netip.AddrPort) netip.AddrPort {
	if p.Via == nil {
		return addr
	}
	return p.Via(addr)
}
