// Package entry is the HTTP frontend for callers on a platform where each request has an id of its own and is sent to a
// single instance. It matches the route, cancels when the caller closes its connection, and writes the whole answer, or an error
// whose status says whether the request may have run.
package entry

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/accept"
	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// Reasons of refusals, as they appear in result.Error.
const (
	ReasonNoTables = "no-tables"
	ReasonNoRoute  = "no-route"
	ReasonPanic    = "internal"
)

const (
	// maxBody and maxHeader, in bytes, are the highest limits that operators publish. Callers' requests are checked against
	// the published limits.
	maxBody   = 64 << 20
	maxHeader = 20 << 10
	// readTimeout bounds the reading of a request, from its first byte.
	readTimeout = 30 * time.Second
	// idleTimeout is above every idle timeout that operators publish, so that callers close idle connections first. If the
	// instance did, a request could arrive at the same time.
	idleTimeout = 2 * time.Minute
	// defaultTimeout applies if the route has no timeout.
	defaultTimeout = 10 * time.Second
	// startRetryAfter is the Retry-After time while the instance has no tables yet.
	startRetryAfter = 500 * time.Millisecond
	// maxInProgress bounds the requests in progress, each of which holds a goroutine and buffers.
	maxInProgress = 4096
)

// fullAnswer is the answer to a connection beyond the limit. Nothing was read from it, so its request has not run.
const fullAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Config holds the settings and dependencies of a Frontend. All fields are required unless they say otherwise.
type Config struct {
	// MaxConns limits the callers' open connections; 0 means no limit.
	MaxConns    int
	Snapshot    func() *topo.Snapshot
	ReadRequest func(h *fasthttp.Request, r *work.Request, now time.Time)
	WriteAnswer func(h *fasthttp.Response, a *work.Answer, id string)
	Send        func(now time.Time, x *sender.Call) (work.Answer, error)
	// Observe is called after each request. It may be nil.
	Observe func(Outcome)
	// AcceptFailed is called when accepting connections begins to fail, AcceptResumed when it works again. They may be nil.
	AcceptFailed  func(err error)
	AcceptResumed func()
}

// Outcome describes a finished request. Route is nil if none matched, Err is nil if a server answered.
type Outcome struct {
	*sender.Call
	TablesVersion uint64
	Status        int
	Err           *result.Error
	Duration      time.Duration
}

// Frontend serves callers. Its methods may be called by many goroutines.
type Frontend struct {
	cfg        Config
	httpServer *fasthttp.Server
	listener   accept.Listener
	stopping   atomic.Bool
	inProgress atomic.Int64
}

// New returns a frontend that does not listen yet.
func New(cfg Config) *Frontend {
	e := &Frontend{cfg: cfg}
	e.listener.MaxOpen, e.listener.FullAnswer = cfg.MaxConns, []byte(fullAnswer)
	e.listener.OnFailed, e.listener.OnResumed = cfg.AcceptFailed, cfg.AcceptResumed
	e.httpServer = &fasthttp.Server{
		Handler: e.handle, ErrorHandler: e.answerMalformed, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		MaxRequestBodySize: maxBody, ReadBufferSize: maxHeader, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Concurrency: maxInProgress, DisablePreParseMultipartForm: true, CloseOnShutdown: true,
	}
	return e
}

// Serve serves connections from ln until Stop. It must be called only once.
func (e *Frontend) Serve(ln net.Listener) error {
	e.listener.Listener = ln
	return e.httpServer.Serve(&e.listener)
}

// StopKeepAlive makes every answer from now on close its connection.
func (e *Frontend) StopKeepAlive() { e.stopping.Store(true) }

// InProgress returns the number of requests in progress.
func (e *Frontend) InProgress() int { return int(e.inProgress.Load()) }

// Stop closes the listener and idle connections and waits for the requests in progress until ctx ends.
func (e *Frontend) Stop(ctx context.Context) error {
	e.StopKeepAlive()
	return e.httpServer.ShutdownWithContext(ctx)
}

func (e *Frontend) handle(h *fasthttp.RequestCtx) {
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	start := time.Now()
	x := &sender.Call{Request: new(work.Request), ReceivedAt: start}
	var (
		a   work.Answer
		err error
	)
	w := e.cfg.Snapshot()
	if p := panics.Try(func() { a, err = e.routeAndSend(h, w, x, start) }); p != nil {
		err = &result.Error{Verdict: result.MayHaveRun, Status: fasthttp.StatusInternalServerError, Reason: ReasonPanic, Cause: p.AsError()}
	}
	out := Outcome{Call: x, TablesVersion: w.Version, Status: a.Status, Duration: time.Since(start)}
	if err != nil {
		out.Err = result.FromError(err)
		out.Status = out.Err.Status
		a = errorAnswer(out.Err)
	}
	e.cfg.WriteAnswer(&h.Response, &a, x.ID)
	if e.stopping.Load() || e.listener.Crowded() {
		h.SetConnectionClose()
	}
	if e.cfg.Observe != nil {
		e.cfg.Observe(out)
	}
}

func (e *Frontend) routeAndSend(h *fasthttp.RequestCtx, w *topo.Snapshot, x *sender.Call, start time.Time) (work.Answer, error) {
	e.cfg.ReadRequest(&h.Request, x.Request, start)
	if w.Tables == nil {
		return work.Answer{}, work.NewRefusal(ReasonNoTables, startRetryAfter)
	}
	if x.Route = w.Routes.Find(x.Host, x.URI); x.Route == nil {
		return work.Answer{}, &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusNotFound, Reason: ReasonNoRoute}
	}
	x.Fingerprint = crash.NewFingerprint(x.Method, x.Host+x.URI, x.Body)
	x.Deadline = effectiveDeadline(x.Deadline, start, x.Route)
	gone, leave := context.WithCancel(context.Background())
	defer leave()
	x.CallerCtx = gone
	defer work.WatchClose(h.Conn(), leave)()
	return e.cfg.Send(start, x)
}

// effectiveDeadline returns the earlier of the caller's deadline, if stated, and the route's timeout.
func effectiveDeadline(stated, start time.Time, r *tables.Route) time.Time {
	d := start.Add(defaultTimeout)
	if r.Timeout > 0 {
		d = start.Add(r.Timeout)
	}
	if !stated.IsZero() && stated.Before(d) {
		return stated
	}
	return d
}

// errorAnswer returns the answer for a failed request.
func errorAnswer(err *result.Error) work.Answer {
	a := work.Answer{Status: err.Status, Body: []byte(err.Reason + "\n"), Headers: []work.Header{{Name: "Content-Type", Value: "text/plain"}}}
	if err.Verdict == result.NotRun && err.RetryAfter > 0 {
		a.Headers = append(a.Headers, work.Header{Name: "Retry-After", Value: strconv.FormatFloat(err.RetryAfter.Seconds(), 'f', 3, 64)})
	}
	return a
}

// answerMalformed answers requests that could not be read.
func (e *Frontend) answerMalformed(h *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	switch err.(type) {
	case *fasthttp.ErrSmallBuffer:
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case *net.OpError:
		status = fasthttp.StatusRequestTimeout
	}
	if err == fasthttp.ErrBodyTooLarge {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	h.Response.Reset()
	h.SetStatusCode(status)
	h.SetConnectionClose()
}
