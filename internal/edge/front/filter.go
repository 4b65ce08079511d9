package front

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/route"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// call is a request that passes through the filters.
type call struct {
	route.Match
	httpCtx *fasthttp.RequestCtx
	id      string
	start   time.Time
	ctx     context.Context //nolint:containedctx // lives as long as the call
}

// filter handles a call or passes it to next.
type filter func(x *call, next func() (work.Answer, error)) (work.Answer, error)

// runFilters passes x through the filters from index i on and then sends it.
func (f *Frontend) runFilters(x *call, i int) (work.Answer, error) {
	if i == len(f.filters) {
		return f.cfg.Send(x.ctx, x.Request)
	}
	return f.filters[i](x, func() (work.Answer, error) { return f.runFilters(x, i+1) })
}

// newID returns a unique request id.
func (f *Frontend) newID() string {
	return f.cfg.Instance + "-" + strconv.FormatUint(f.lastID.Add(1), 36)
}

// matchRoute finds the route and sets the deadline.
func (f *Frontend) matchRoute(x *call, next func() (work.Answer, error)) (work.Answer, error) {
	t := f.cfg.Tables()
	if t == nil {
		// The request may be a resend of work that another instance has run.
		return work.Answer{}, &result.Error{
			Verdict: result.MayHaveRun, Status: fasthttp.StatusServiceUnavailable, Reason: ReasonNoTables, RetryAfter: time.Second,
		}
	}
	var err error
	if x.Match, err = route.Extract(t, &x.httpCtx.Request, callerAddress(x.httpCtx), x.start); err != nil {
		return work.Answer{}, err
	}
	x.Request.ID, x.Request.Origin = x.id, f.cfg.DC
	ctx, cancel := context.WithDeadline(context.Background(), x.Request.Deadline)
	defer cancel()
	x.ctx = ctx
	// Work that must not be repeated continues when its caller is gone: a resend gets the answer of this run.
	if x.Once == nil {
		defer work.WatchClose(x.httpCtx.Conn(), cancel)()
	}
	return next()
}

// refuseQuarantined refuses work that has crashed servers.
func (f *Frontend) refuseQuarantined(x *call, next func() (work.Answer, error)) (work.Answer, error) {
	if f.cfg.CheckQuarantine != nil {
		if wait, refused := f.cfg.CheckQuarantine(x.start, x.Request.Fingerprint); refused {
			return work.Answer{}, work.NewRefusal(ReasonQuarantine, wait)
		}
	}
	return next()
}

// claimOnce claims work that must not be repeated before it is run. It precedes every filter that refuses: only with a
// claim is it known that the work has not run before, so that a refusal may say so.
func (f *Frontend) claimOnce(x *call, next func() (work.Answer, error)) (work.Answer, error) {
	if x.Once == nil {
		return next()
	}
	if f.cfg.BeginOnce == nil {
		return work.Answer{}, work.NewRefusal(ReasonNoLedger, time.Second)
	}
	finish, answer, err := f.cfg.BeginOnce(x.ctx, x.Identity, x.Once.Window)
	if finish == nil || err != nil {
		return answer, err
	}
	// A claim without a result would make each resend wait, so a panic is reported as a result too.
	var a work.Answer
	err = f.recoverPanic(func() (err error) {
		a, err = next()
		return err
	})
	finish(a, err)
	return a, err
}
