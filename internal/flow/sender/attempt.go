package sender

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/heads"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// attempt sends the request once. sent tells whether the server may have got it.
func (c *Sender) attempt(x *Call, t *target) (r Reply, sent bool, err error) {
	start := time.Now()
	if x.SendCount == 0 {
		x.WaitTime = start.Sub(x.ReceivedAt)
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	defer cancel()
	maxIdle := maxIdleOnce
	if x.Route.MayRepeat() {
		// Repeatable work stops when the caller is gone; other work is completed.
		defer context.AfterFunc(x.CallerCtx, cancel)()
		maxIdle = time.Hour
	}
	h, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(h)
	defer fasthttp.ReleaseResponse(resp)
	c.cfg.WriteRequest(h, x.Request, t.Server.Server, x.Deadline.Sub(start))
	sent, err = t.state.pool.DoWith(ctx, h, resp, conns.SendOptions{MaxIdle: maxIdle, SettleTime: settleTime})
	now := time.Now()
	if err == nil {
		r = c.cfg.ReadReply(resp)
		c.cfg.Limits.Observe(now, start, t.Server.Incarnation(), r.Limit, r.Signed && r.Refusal == NotRefused && r.Status < 500)
	}
	out, verdict := classify(ctx, x, r, sent, err)
	if sent {
		x.SendCount++
	}
	c.recordOutcome(now, x, t, out, now.Sub(start), r, sent, err)
	if c.cfg.OnAttempt != nil {
		c.cfg.OnAttempt(x.Request, t.Server, out, now.Sub(start), err)
	}
	return r, sent, verdict
}

// classify returns the outcome of an attempt for the server's limit, and its error, nil for a complete answer.
func classify(ctx context.Context, x *Call, r Reply, sent bool, err error) (limit.Outcome, error) {
	fail := func(v result.Verdict, status int, reason string) error {
		return &result.Error{Verdict: v, Status: status, Reason: reason, RetryAfter: shortRetryAfter, Cause: err}
	}
	switch {
	case err == nil && r.Refusal == RefusedBusy:
		return limit.Shed, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonServerBusy)
	case err == nil && r.Refusal == RefusedNotOwner:
		return limit.Neutral, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonNoOwner)
	case err == nil && r.Unclear:
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonUnclear)
	case err == nil && !r.Signed && r.Status < 300:
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonUnsigned)
	case err == nil:
		return limit.Done, nil
	case !sent && (errors.Is(err, conns.ErrReset) || errors.Is(err, syscall.ECONNRESET)):
		// A server with a long queue resets new connections.
		return limit.Shed, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonServerBusy)
	case errors.Is(err, conns.ErrLimit):
		return limit.Neutral, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonServerBusy)
	case !sent && ctx.Err() == nil:
		return limit.Broken, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonConnectFailed)
	case x.CallerCtx.Err() != nil && ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		v := result.MayHaveRun
		if !sent {
			v = result.NotRun
		}
		return limit.Abandoned, fail(v, fasthttp.StatusServiceUnavailable, ReasonCancelled)
	case !sent:
		return limit.Timeout, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonConnectFailed)
	case ctx.Err() != nil:
		return limit.Timeout, fail(result.MayHaveRun, fasthttp.StatusGatewayTimeout, ReasonTimeout)
	case errors.Is(err, intake.ErrOver):
		// The instance has no memory for the answer; the server is sound.
		return limit.Neutral, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonAnswerCut)
	case errors.Is(err, conns.ErrRepeated):
		// A sound server may refuse the same request twice.
		return limit.Neutral, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonUnclear)
	case errors.IsAny(err, conns.ErrTruncated, conns.ErrMismatch, conns.ErrNoLength, heads.ErrStatus, heads.ErrMalformed):
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonAnswerCut)
	default:
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonServerLost)
	}
}

// recordOutcome updates the state of the server, the strikes and the servers tried.
func (c *Sender) recordOutcome(now time.Time, x *Call, t *target, out limit.Outcome, took time.Duration, r Reply, sent bool, err error) {
	defer c.recordRoom(now, x, t, out, took)
	c.mu.Lock()
	defer c.mu.Unlock()
	t.state.finish(now, out, took, x.Route.Target, r.Status >= 500)
	if sent && out == limit.Broken {
		t.state.window.Reject(now)
	}
	if r.HasLoad && r.Refusal == NotRefused {
		// A refusal may come from another process at the address, or from an idle server that refuses all requests.
		t.state.observeLoad(now, t.ownershipID != "", r.Load)
	}
	if r.Leaving {
		t.state.ObserveLeaving(now)
	}
	if r.Away > 0 {
		t.state.ObserveAway(now, r.Away)
	}
	if out == limit.Broken && errors.Is(err, syscall.ECONNREFUSED) {
		t.state.RecordConnRefused(now)
	}
	switch {
	case out == limit.Done:
		c.crashes.RecordSuccess(now, x.Fingerprint)
	case sent && out == limit.Broken && !errors.Is(err, conns.ErrMismatch):
		// A process may also crash while it sends the answer, which is then cut short.
		c.lossChecks.Begin(t.Server, t.state.pool, x.Fingerprint)
	}
	x.serverFull = out == limit.Shed
	if (r.Refusal != RefusedNotOwner || t.ownershipID == "") && out != limit.Done {
		x.tried[t.Server.Server] = true
	}
	if sent && out == limit.Broken && x.Route.MayRepeat() {
		// Only the connection may be broken: the key's owner may answer over another one.
		delete(x.tried, t.ownershipID)
	}
}
