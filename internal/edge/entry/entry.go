// Package entry is the HTTP frontend for callers on a platform where each request has an id of its own and is sent to a
// single instance. It matches the route, cancels when the caller closes its connection, and writes the whole answer, or an error
// whose status says whether the request may have run. Requests that a connection brings together are served by package pipe.
package entry

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/accept"
	"github.com/bramleycove/bramleycove/internal/edge/pipe"
	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// Reasons of refusals, as they appear in result.Error.
const (
	ReasonNoTables = "no-tables"
	ReasonNoRoute  = "no-route"
	ReasonPanic    = "internal"
)

const (
	// maxBody and maxHeader, in bytes, are the highest limits that operators publish. Bodies are also checked against the
	// published limit.
	maxBody   = 64 << 20
	maxHeader = 20 << 10
	// readTimeout bounds the reading of a body, and that of a header if operators publish no bound.
	readTimeout = 30 * time.Second
	// headerSlack is added to the published bound on the reading of a header, for delays in the network.
	headerSlack = time.Second
	// overRetryAfter is the Retry-After time of bodies for which there is no memory: bodies that stall are cut within it.
	overRetryAfter = time.Second
	// connBytes is about what an idle connection takes. At most a connMemoryPart-th of the budget is for connections.
	connBytes      = 20 << 10
	connMemoryPart = 2
	// writeTimeout bounds the writing of an answer to a caller that does not read.
	writeTimeout = 30 * time.Second
	// idleTimeout is above every idle timeout that operators publish, so that callers close idle connections first. If the
	// instance did, a request could arrive at the same time.
	idleTimeout = 2 * time.Minute
	// defaultTimeout applies if the route has no timeout.
	defaultTimeout = 10 * time.Second
	// maxStartWait bounds the wait for the first tables and servers, which take half a second when most of 200 instances start at once.
	maxStartWait = 500 * time.Millisecond
	// startWaitPart is the divisor of the caller's remaining time that bounds that wait.
	startWaitPart = 8
	// startRetryAfter is the Retry-After time if they are still missing then.
	startRetryAfter = 500 * time.Millisecond
	// maxConns bounds the connections if the limit of open files is unknown.
	maxConns = 4096
)

// maxPipelined bounds what a connection holds. Callers that send more wait in the buffers of their connection: a few requests
// use the servers as well as many would, and each holds a goroutine.
var maxPipelined = pipe.Limits{Requests: 16, Bytes: 1 << 20}

// maxSpareBytes bounds what all connections hold before they read no further ahead, a twentieth of the memory of the smallest
// instances.
const maxSpareBytes = 9 << 20

// fullAnswer is the answer to a connection beyond the limit. Nothing was read from it, so its request has not run.
const fullAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Config holds the settings and dependencies of a Frontend. All fields are required unless they say otherwise.
type Config struct {
	// MaxConns limits the callers' open connections; 0 means maxConns. The budget limits them too.
	MaxConns int
	// Budget bounds the bytes that callers make the instance hold; nil means intake.Default.
	Budget   *intake.Budget
	Snapshot func() *topo.Snapshot
	// AwaitStart waits until an instance that has just started has tables and servers, or until the given time, and returns the
	// snapshot then.
	AwaitStart  func(until time.Time) *topo.Snapshot
	ReadRequest func(h *fasthttp.Request, r *work.Request, now time.Time)
	WriteAnswer func(h *fasthttp.Response, a *work.Answer, id string)
	Send        func(now time.Time, x *sender.Call) (work.Answer, error)
	// Observe is called after each request. It may be nil.
	Observe func(Outcome)
	// AcceptFailed is called when accepting connections begins to fail, AcceptResumed when it works again. They may be nil.
	AcceptFailed  func(err error)
	AcceptResumed func()
	// Panicked is called when a connection is closed because of a panic. It may be nil.
	Panicked func(err error)
}

// Outcome describes a finished request. Route is nil if none matched, Err is nil if a server answered.
type Outcome struct {
	*sender.Call
	TablesVersion uint64
	Status        int
	Err           *result.Error
	// Duration is the time from reading the request to writing its answer. Behind is the part of it in which the request or
	// its answer waited for earlier ones of the connection.
	Duration, Behind time.Duration
}

// Frontend serves callers. Its methods may be called by many goroutines.
type Frontend struct {
	cfg      Config
	server   *pipe.Server[*call]
	listener accept.Listener
	stopping atomic.Bool
}

// call is a request with what was decided when it was read, and its outcome.
type call struct {
	sender.Call
	tablesVersion uint64
	status        int
	err           error
}

// New returns a frontend that does not listen yet.
func New(cfg Config) *Frontend {
	e := &Frontend{cfg: cfg}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = maxConns
	}
	if cfg.Budget == nil {
		cfg.Budget = intake.Default
	}
	cfg.MaxConns = min(cfg.MaxConns, max(1, int(cfg.Budget.Limit()/connMemoryPart/connBytes)))
	if cfg.Panicked == nil {
		cfg.Panicked = func(error) {}
	}
	e.listener.MaxOpen, e.listener.FullAnswer = cfg.MaxConns, []byte(fullAnswer)
	e.listener.OnFailed, e.listener.OnResumed = cfg.AcceptFailed, cfg.AcceptResumed
	e.server = pipe.New(pipe.Config[*call]{
		Limits: maxPipelined, SpareBytes: maxSpareBytes, ReadBuffer: maxHeader, MaxBody: e.maxBody,
		Budget: cfg.Budget, HeaderTimeout: e.headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout,
		Read: e.read, Answer: e.answer, Malformed: answerMalformed, Done: e.observe, Panicked: cfg.Panicked,
		Write:            func(h *fasthttp.Response, x *call, a *work.Answer) { cfg.WriteAnswer(h, a, x.ID) },
		CloseAfterAnswer: func() bool { return e.stopping.Load() || e.listener.Crowded() },
	})
	return e
}

// Serve serves connections from ln until Stop. It must be called only once.
func (e *Frontend) Serve(ln net.Listener) error {
	e.listener.Listener = ln
	return e.server.Serve(&e.listener)
}

// StopKeepAlive makes every answer from now on close its connection.
func (e *Frontend) StopKeepAlive() { e.stopping.Store(true) }

// InProgress returns the number of requests in progress.
func (e *Frontend) InProgress() int { return e.server.InProgress() }

// HeldBytes returns the bytes of requests and answers that callers' connections hold.
func (e *Frontend) HeldBytes() int64 { return e.server.HeldBytes() }

// Stop closes the listener and idle connections and waits for the requests in progress until ctx ends.
func (e *Frontend) Stop(ctx context.Context) error {
	e.StopKeepAlive()
	return e.server.Stop(ctx)
}

// limits returns the published limits, zero if there are none.
func (e *Frontend) limits() tables.Limits {
	if w := e.cfg.Snapshot(); w != nil && w.Tables != nil {
		return w.Tables.Limits
	}
	return tables.Limits{}
}

// maxBody returns the length of the longest body that a caller may send.
func (e *Frontend) maxBody() int {
	if n := e.limits().Body; n > 0 {
		return min(n, maxBody)
	}
	return maxBody
}

func (e *Frontend) headerTimeout() time.Duration {
	if d := e.limits().HeaderTime; d > 0 {
		return min(d+headerSlack, readTimeout)
	}
	return readTimeout
}

// read decodes a request and matches its route, which tells whether it may run beside others of its connection.
func (e *Frontend) read(h *fasthttp.Request, body []byte, now time.Time) (x *call, once bool, size int) {
	x = &call{Call: sender.Call{Request: &work.Request{Body: body}, ReceivedAt: now}}
	if p := panics.Try(func() { x.err = e.matchRoute(h, x, now) }); p != nil {
		x.err = panicError(p)
	}
	return x, x.err == nil && !x.Route.MayRepeat(), x.Size()
}

func panicError(p *panics.Recovered) error {
	return &result.Error{Verdict: result.MayHaveRun, Status: fasthttp.StatusInternalServerError, Reason: ReasonPanic, Cause: p.AsError()}
}

// startWait returns how long a request waits for the first tables and servers. Callers that are refused come back to instances that may have
// just started too.
func startWait(deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return maxStartWait
	}
	return min(maxStartWait, deadline.Sub(now)/startWaitPart)
}

func (e *Frontend) matchRoute(h *fasthttp.Request, x *call, now time.Time) error {
	e.cfg.ReadRequest(h, x.Request, now)
	w := e.cfg.Snapshot()
	if w.Tables == nil || len(w.Servers) == 0 {
		w = e.cfg.AwaitStart(now.Add(startWait(x.Deadline, now)))
	}
	x.tablesVersion = w.Version
	if w.Tables == nil {
		return work.NewRefusal(ReasonNoTables, startRetryAfter)
	}
	if x.Route = w.Routes.Find(x.Host, x.URI); x.Route == nil {
		return &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusNotFound, Reason: ReasonNoRoute}
	}
	x.Fingerprint = crash.NewFingerprint(x.Method, x.Host+x.URI, x.Body)
	x.Deadline = effectiveDeadline(x.Deadline, now, x.Route)
	return nil
}

// answer sends a request on. The sender refuses one whose deadline passed while it waited for earlier ones.
func (e *Frontend) answer(ctx context.Context, x *call, now time.Time) work.Answer {
	if x.err == nil {
		var a work.Answer
		x.CallerCtx = ctx
		if p := panics.Try(func() { a, x.err = e.cfg.Send(now, &x.Call) }); p != nil {
			x.err = panicError(p)
		}
		if x.err == nil {
			x.status = a.Status
			return a
		}
	}
	err := result.FromError(x.err)
	x.err, x.status = err, err.Status
	return errorAnswer(err)
}

func (e *Frontend) observe(x *call, behind time.Duration, now time.Time) {
	if e.cfg.Observe == nil {
		return
	}
	out := Outcome{Call: &x.Call, TablesVersion: x.tablesVersion, Status: x.status, Duration: now.Sub(x.ReceivedAt), Behind: behind}
	if x.err != nil {
		out.Err = result.FromError(x.err)
	}
	e.cfg.Observe(out)
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
func answerMalformed(h *fasthttp.Response, err error) {
	status := fasthttp.StatusBadRequest
	if _, long := err.(*fasthttp.ErrSmallBuffer); long {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		status = fasthttp.StatusRequestTimeout
	}
	switch err {
	case fasthttp.ErrBodyTooLarge, intake.ErrTooLong:
		status = fasthttp.StatusRequestEntityTooLarge
	case intake.ErrOver:
		status = fasthttp.StatusServiceUnavailable
		h.Header.Set("Retry-After", work.FormatRetryAfter(overRetryAfter))
	}
	h.SetStatusCode(status)
	h.Header.SetNoDefaultContentType(true)
}
