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

// call is one request on its way through the filters.
type call struct {
	route.Match
	http  *fasthttp.RequestCtx
	id    string
	start time.Time
	ctx   context.Context //nolint:containedctx // lives as long as the call
}

// filter handles a call or passes it to next.
type filter func(x *call, next func() (work.Answer, error)) (work.Answer, error)

// run passes x through the filters from number i on, and then sends it.
func (f *Front) run(x *call, i int) (work.Answer, error) {
	if i == len(f.filters) {
		return f.cfg.Send(x.ctx, x.Request)
	}
	return f.filters[i](x, func() (work.Answer, error) { return f.run(x, i+1) })
}

// newID returns a request id that no other request has.
func (f *Front) newID() string {
	return f.cfg.Instance + "-" + strconv.FormatUint(f.ids.Add(1), 36)
}

// match finds the route and sets the deadline.
func (f *Front) match(x *call, next func() (work.Answer, error)) (work.Answer, error) {
	t := f.cfg.Tables()
	if t == nil {
		// The request may be a resend of work that another instance has run.
		return work.Answer{}, &result.Error{
			Verdict: result.MayHaveRun, Status: fasthttp.StatusServiceUnavailable, Reason: ReasonTables, RetryAfter: time.Second,
		}
	}
	var err error
	if x.Match, err = route.Extract(t, &x.http.Request, caller(x.http), x.start); err != nil {
		return work.Answer{}, err
	}
	x.Request.ID, x.Request.Origin = x.id, f.cfg.DC
	ctx, cancel := context.WithDeadline(context.Background(), x.Request.Deadline)
	defer cancel()
	x.ctx = ctx
	// Work that must not repeat goes on when its caller is gone: the caller comes back for the answer of this run.
	if x.Once == nil {
		defer work.WatchClose(x.http.Conn(), cancel)()
	}
	return next()
}

// quarantine refuses work that has crashed servers.
func (f *Front) quarantine(x *call, next func() (work.Answer, error)) (work.Answer, error) {
	if f.cfg.Check != nil {
		if wait, refused := f.cfg.Check(x.start, x.Request.Fingerprint); refused {
			return work.Answer{}, work.NewRefusal(ReasonQuarantine, wait)
		}
	}
	return next()
}

// ledger claims work that must not repeat before it is run. It comes before every filter that refuses: only a claim
// tells whether an earlier try of the same work has run, so that a refusal may say that it has not.
func (f *Front) ledger(x *call, next func() (work.Answer, error)) (work.Answer, error) {
	if x.Once == nil {
		return next()
	}
	if f.cfg.Begin == nil {
		return work.Answer{}, work.NewRefusal(ReasonLedger, time.Second)
	}
	finish, answer, err := f.cfg.Begin(x.ctx, x.Identity, x.Once.Window)
	if finish == nil || err != nil {
		return answer, err
	}
	// A claim without a result would make each resend wait, so a panic is a result too.
	var a work.Answer
	err = f.guard(func() (err error) {
		a, err = next()
		return err
	})
	finish(a, err)
	return a, err
}
