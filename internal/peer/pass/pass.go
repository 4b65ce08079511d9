package pass

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/lanes"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/view"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
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
	viewWait = 700 * time.Millisecond
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

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
	swept time.Time
}

type peer struct {
	*conns.Pool
	used time.Time
}

// New returns a Passer. do is the dispatcher stage of this instance; its errors are *result.Error.
func New(v *view.View, do func(context.Context, *work.Request) (work.Answer, error)) *Passer {
	return &Passer{view: v, do: do, peers: make(map[netip.AddrPort]*peer)}
}

// Send locates the dispatcher of req and sends it there. req.Pool, and req.Key for keyed pools, must be set. Errors
// are *result.Error. A target that proves stale is looked up once more in a newer view. ctx must end at
// req.Deadline or earlier.
func (p *Passer) Send(ctx context.Context, req *work.Request) (work.Answer, error) {
	changed := p.view.Changed()
	a, err := p.attempt(ctx, req)
	if err == nil || !stale(err) {
		return a, err
	}
	if !wait(ctx, changed) {
		return a, err
	}
	return p.attempt(ctx, req)
}

// stale reports whether a newer view may lead to another result for a request that certainly did not run.
func stale(err error) bool {
	e := result.From(err)
	if e.Verdict != result.NotRun {
		return false
	}
	return e.Reason == lanes.ReasonStale || e.Reason == ReasonUnreachable || e.Reason == view.ReasonDispatcher
}

func wait(ctx context.Context, changed <-chan struct{}) bool {
	t := time.NewTimer(viewWait)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (p *Passer) attempt(ctx context.Context, req *work.Request) (work.Answer, error) {
	key := req.Key
	if key == "" {
		key = req.ID
	}
	t, err := p.view.Locate(req.Pool, key)
	if err != nil {
		return work.Answer{}, err
	}
	a, err := p.to(ctx, req, t)
	if err != nil && req.Hops == 0 && unserved(err) {
		if t, ok := p.view.Elsewhere(req.Pool, key); ok {
			return p.to(ctx, req, t)
		}
	}
	return a, err
}

// unserved reports whether the lane's servers could not take work that certainly did not run. A full queue is not
// such a case: a flood must not spill over the link between regions.
func unserved(err error) bool {
	e := result.From(err)
	return e.Verdict == result.NotRun && (e.Reason == lanes.ReasonServers || e.Reason == lanes.ReasonFrozen)
}

// to sends req to the target, and on to its fallbacks while nobody can be reached.
func (p *Passer) to(ctx context.Context, req *work.Request, t view.Target) (work.Answer, error) {
	req.Lane, req.Slot, req.Token = t.Lane, t.Slot, t.Token
	a, err := p.hop(ctx, req, t.Dispatcher)
	for _, next := range t.Fallbacks {
		if err == nil || result.From(err).Reason != ReasonUnreachable || ctx.Err() != nil {
			break
		}
		a, err = p.hop(ctx, req, next)
	}
	return a, err
}

// hop sends req to one instance. A hop to itself is a direct call.
func (p *Passer) hop(ctx context.Context, req *work.Request, addr netip.AddrPort) (work.Answer, error) {
	if addr == p.view.Self() {
		return p.do(ctx, req)
	}
	if req.Hops >= maxHops {
		return work.Answer{}, work.Refuse(ReasonHops, time.Second)
	}
	out := *req
	out.Hops++
	h, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(h)
	defer fasthttp.ReleaseResponse(resp)
	encode(h, &out, time.Until(req.Deadline))
	sent, err := p.pool(addr).Do(ctx, h, resp, time.Time{})
	if err != nil {
		return work.Answer{}, failure(ctx, sent, err)
	}
	return decodeAnswer(resp)
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
	case errors.IsAny(err, conns.ErrMismatch, conns.ErrCut, conns.ErrLength):
		e.Status, e.Reason = fasthttp.StatusBadGateway, ReasonAnswer
	}
	return e
}

// pool returns the connections to a peer. Those to peers that have not been used for a while are closed.
func (p *Passer) pool(addr netip.AddrPort) *conns.Pool {
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
		q = &peer{Pool: conns.New(addr, 0)}
		p.peers[addr] = q
	}
	q.used = now
	return q.Pool
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
