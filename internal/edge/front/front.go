// Package front is the HTTP frontend for callers. It passes each request through filters (route match, claim, quarantine),
// sends it, and writes the whole answer, or an error that says whether the work may have run.
package front

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/accept"
	"github.com/bramleycove/bramleycove/internal/edge/route"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// Reasons of refusals, as they appear in result.Error.
const (
	ReasonNoTables   = "no-tables"
	ReasonQuarantine = "quarantine"
	ReasonNoLedger   = "no-ledger"
	ReasonPanic      = "internal"
	ReasonBadRequest = "bad-request"
	ReasonMemory     = "memory" // no room for the body
)

// fullAnswer is the answer to a connection beyond the limit. Its request was not read and may be a resend of work that has
// run, so the verdict must not be not-run.
const fullAnswer = "HTTP/1.1 503 Service Unavailable\r\nBramleycove-Verdict: may-have-run\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n\r\n"

// Config holds the limits and dependencies of a Frontend. Tables and Send are required.
type Config struct {
	DC       string
	Instance string // prefix of request ids; must be unique to the process, also after a restart

	// Tables returns the tables in force, nil if there are none yet.
	Tables func() *tables.Tables
	// Send runs a request. Its errors are *result.Error.
	Send func(ctx context.Context, req *work.Request) (work.Answer, error)
	// CheckQuarantine reports whether work with this fingerprint is quarantined, and for how long. It may be nil.
	CheckQuarantine func(now time.Time, fingerprint [16]byte) (wait time.Duration, refused bool)
	// BeginOnce claims work that must not be repeated. If finish is not nil, the claim was won: the work must be run once
	// and finish called with its result. Otherwise answer is that of the first run, or err says why there is none.
	// If BeginOnce is nil, such work is refused.
	BeginOnce func(ctx context.Context, identity [32]byte, window time.Duration) (finish func(work.Answer, error), answer work.Answer, err error)
	// Observe is called after each request. It may be nil.
	Observe func(Outcome)

	// Budget bounds the bytes of bodies and answers that callers make the instance hold; nil means intake.Default.
	Budget      *intake.Budget
	MaxBody     int           // bytes; 0 means 4 MiB
	MaxHeader   int           // bytes; 0 means 16 KiB
	MaxConns    int           // open connections; 0 means 8192
	ReadTimeout time.Duration // for a whole request from its first byte; 0 means 10 s
	IdleTimeout time.Duration // between requests; 0 means 75 s
}

// Outcome describes one finished request for metrics and logs. Err is nil for a whole answer.
type Outcome struct {
	Request  *work.Request // nil if no route matched
	Status   int
	Err      *result.Error
	Duration time.Duration
}

// Frontend serves callers. Its methods may be called by many goroutines.
type Frontend struct {
	cfg      Config
	app      *fiber.App
	filters  []filter
	stopping atomic.Bool
	lastID   atomic.Uint64
}

func (cfg *Config) setDefaults() {
	setDefault(&cfg.Budget, intake.Default)
	setDefault(&cfg.MaxBody, 4<<20)
	setDefault(&cfg.MaxHeader, 16<<10)
	setDefault(&cfg.MaxConns, 8192)
	setDefault(&cfg.ReadTimeout, 10*time.Second)
	setDefault(&cfg.IdleTimeout, 75*time.Second)
}

func setDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}

// New returns a Frontend that does not listen yet.
func New(cfg Config) *Frontend {
	cfg.setDefaults()
	f := &Frontend{cfg: cfg}
	f.filters = []filter{f.matchRoute, f.claimOnce, f.refuseQuarantined}
	f.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, DisableDefaultContentType: true, ErrorHandler: f.answerMalformed,
		// Bodies are read by readBody, which counts what has arrived.
		StreamRequestBody: true, BodyLimit: cfg.MaxBody, ReadBufferSize: cfg.MaxHeader, Concurrency: 2 * cfg.MaxConns,
		ReadTimeout: cfg.ReadTimeout, IdleTimeout: cfg.IdleTimeout, WriteTimeout: cfg.ReadTimeout,
		DisablePreParseMultipartForm: true,
	})
	f.app.Use(f.handle)
	srv := f.app.Server()
	srv.CloseOnShutdown = true
	inner := srv.Handler
	srv.Handler = func(c *fasthttp.RequestCtx) {
		inner(c)
		// Requests that the framework itself refuses never reached a server.
		if len(c.Response.Header.Peek(result.VerdictHeader)) == 0 {
			c.Response.Header.Set(result.VerdictHeader, result.NotRun.String())
		}
	}
	return f
}

// Serve serves connections from ln until Stop. It returns nil after Stop.
func (f *Frontend) Serve(ln net.Listener) error {
	limited := &accept.Listener{Listener: ln, MaxOpen: f.cfg.MaxConns, FullAnswer: []byte(fullAnswer)}
	return f.app.Listener(&listener{Listener: limited, budget: f.cfg.Budget})
}

// Stop stops gracefully: for linger, while the load balancer still sends, it accepts requests and answers with
// "Connection: close". Then it closes the listener and returns when all requests are finished or ctx is done.
func (f *Frontend) Stop(ctx context.Context, linger time.Duration) error {
	f.stopping.Store(true)
	t := time.NewTimer(linger)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return f.app.ShutdownWithContext(ctx)
}

func (f *Frontend) handle(c *fiber.Ctx) error {
	release, err := f.readBody(c.Context())
	defer release()
	defer c.Request().ResetBody() // not held while the answer is written
	if err != nil {
		f.refuse(c.Context(), err)
		return nil
	}
	x := &call{httpCtx: c.Context(), start: time.Now(), id: f.newID()}
	var a work.Answer
	err = f.recoverPanic(func() (err error) {
		a, err = f.runFilters(x, 0)
		return err
	})
	f.writeAnswer(x, a, err)
	return nil
}

// recoverPanic turns a panic of run into an error, so that it ends neither the process nor other requests.
func (f *Frontend) recoverPanic(run func() error) (err error) {
	if p := panics.Try(func() { err = run() }); p != nil {
		return &result.Error{Verdict: result.MayHaveRun, Status: 500, Reason: ReasonPanic, Cause: p.AsError()}
	}
	return err
}

func (f *Frontend) writeAnswer(x *call, a work.Answer, err error) {
	h := &x.httpCtx.Response
	out := Outcome{Request: x.Request, Status: a.Status, Duration: time.Since(x.start)}
	if err != nil {
		out.Err = result.FromError(err)
		out.Status = out.Err.Status
		writeError(h, x.id, out.Err)
	} else {
		a.WriteResponse(h)
		if c, ok := x.httpCtx.Conn().(*conn); ok {
			c.beginAnswer(len(a.Body))
		}
	}
	h.Header.Set(work.RequestIDHeader, x.id)
	if f.stopping.Load() {
		h.SetConnectionClose()
	}
	if f.cfg.Observe != nil {
		f.cfg.Observe(out)
	}
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error   string `json:"error"`
	Verdict string `json:"verdict"`
	Request string `json:"request,omitempty"`
}

func writeError(h *fasthttp.Response, id string, e *result.Error) {
	h.SetStatusCode(e.Status)
	h.Header.Set(result.VerdictHeader, e.Verdict.String())
	h.Header.SetContentType("application/json")
	if e.Status == fasthttp.StatusServiceUnavailable {
		h.Header.Set("Retry-After", work.FormatRetryAfter(e.RetryAfter))
	}
	body, _ := json.Marshal(errorBody{Error: e.Reason, Verdict: e.Verdict.String(), Request: id})
	h.SetBodyRaw(body)
}

// answerMalformed answers requests that the HTTP server could not read.
func (f *Frontend) answerMalformed(c *fiber.Ctx, err error) error {
	e := &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusBadRequest, Reason: ReasonBadRequest, Cause: err}
	if fe, ok := err.(*fiber.Error); ok {
		e.Status = fe.Code
	}
	if e.Status == fasthttp.StatusRequestTimeout {
		// Unlike a malformed request, one sent too slowly may be a resend of work that has run.
		e.Verdict = result.MayHaveRun
	}
	writeError(c.Response(), "", e)
	return nil
}

// callerAddress returns the IP address of the caller, not of the load balancer.
func callerAddress(c *fasthttp.RequestCtx) string {
	return route.CallerAddress(&c.Request, c.RemoteIP().String())
}
