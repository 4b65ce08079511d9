package site

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/accept"
	"github.com/bramleycove/bramleycove/internal/edge/entry"
	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

const (
	// linger is how long a stopping instance accepts callers: the load balancer asks once a second and stops sending
	// after two misses.
	linger = 3500 * time.Millisecond
	// lastWords is kept of the time until the platform kills the process.
	lastWords = 400 * time.Millisecond
	// exitTime is kept for the end of the process itself: the last lines of the log.
	exitTime = 150 * time.Millisecond
)

// listeners are the servers of an instance besides the one for callers.
type listeners struct {
	failed chan error
	all    []*fasthttp.Server
	wg     conc.WaitGroup
	lost   func(err error) // connections can't be accepted for now
	back   func()
}

func (l *listeners) serve(addr string, handler fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, MaxRequestBodySize: 64 << 20}
	l.all = append(l.all, srv)
	l.run(func() error { return srv.Serve(&accept.Listener{Listener: ln, OnFailed: l.lost, OnResumed: l.back}) })
	return nil
}

func (l *listeners) run(serve func() error) {
	l.wg.Go(func() {
		if err := serve(); err != nil {
			select {
			case l.failed <- err:
			default: // the first failure ends the instance
			}
		}
	})
}

func (l *listeners) close() {
	for _, s := range l.all {
		_ = s.Shutdown() // the process ends next
	}
	l.wg.Wait()
}

// listen opens all listeners.
func (s *Site) listen() (*listeners, error) {
	l := &listeners{failed: make(chan error, 1), lost: s.acceptFailed, back: s.acceptResumed}
	err := errors.CombineErrors(
		l.serve(s.cfg.Peers.String(), s.coord.Handlers().Handler()),
		l.serve(s.cfg.Ready.String(), s.answerReady),
	)
	if s.cfg.Metrics.IsValid() {
		err = errors.CombineErrors(err, l.serve(s.cfg.Metrics.String(), s.answerMetrics))
	}
	ln, lerr := net.Listen("tcp", s.cfg.Callers.String())
	if err = errors.CombineErrors(err, lerr); err != nil {
		return nil, err
	}
	l.run(func() error { return s.entry.Serve(ln) })
	return l, nil
}

func (s *Site) acceptFailed(err error) { s.log.Warn("accept-failed", "error", err) }

func (s *Site) acceptResumed() { s.log.Info("accept-resumed") }

func (s *Site) answerReady(h *fasthttp.RequestCtx) {
	if !s.ready() {
		h.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Site) answerMetrics(h *fasthttp.RequestCtx) {
	text, err := s.meter.Text()
	if err != nil {
		s.log.Warn("metrics-incomplete", "error", err)
	}
	h.SetContentType("text/plain; version=0.0.4")
	h.SetBody(text)
}

// stop ends gracefully: the balancer is told first, requests go on until it has noticed, and what is in progress is
// finished. A leader leaves its role first, so that keys are not without one for long. It returns when the platform kills
// the process.
func (s *Site) stop() (killed time.Time) {
	begin := time.Now()
	s.stopping.Store(true)
	s.log.Info("stopping", "active", s.entry.InProgress())
	s.entry.StopKeepAlive()
	grace := s.currentGrace()
	killed = begin.Add(grace)
	last := killed.Add(-lastWords)
	var leaving conc.WaitGroup
	defer leaving.Wait()
	leaving.Go(func() { s.coord.Leave(last) })
	time.Sleep(min(linger, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), last)
	defer cancel()
	if err := s.entry.Stop(ctx); err != nil {
		s.log.Warn("cut", "active", s.entry.InProgress(), "error", err)
	}
	return killed
}

// attempted counts each send and logs those that fail.
func (s *Site) attempted(r *work.Request, srv *topo.Server, out limit.Outcome, took time.Duration, cause error) {
	s.meter.Counter("sends_total", map[string]string{"pool": srv.Pool, "outcome": outcomes[out]}).Inc(1)
	if out != limit.Done {
		s.log.Info("send", "request", r.ID, "server", srv.Server, "pool", srv.Pool, "key", r.Key, "outcome", outcomes[out], "took", took, "cause", cause)
	}
}

var outcomes = [...]string{"done", "shed", "timeout", "broken", "abandoned", "neutral"}

// observed measures a request and logs one that was not answered by a server.
func (s *Site) observed(o entry.Outcome) {
	verdict, reason := result.Ran, ""
	if o.Err != nil {
		verdict, reason = o.Err.Verdict, o.Err.Reason
	}
	name, pool, rank := "none", "none", "none"
	if o.Route != nil {
		name, pool, rank = o.Route.Name, o.Route.Pool, o.Route.Rank
		if pool == "" {
			pool = "split"
		}
	}
	// Routes may be thousands; a series for each pool and rank stays small.
	s.meter.Series(pool, rank).Answered(o.Duration, verdict)
	if o.Err == nil && o.Route != nil && o.Route.Target > 0 && o.Duration > o.Route.Target {
		s.log.Info("late", "request", o.ID, "route", name, "rank", rank, "key", o.Key, "version", o.TablesVersion, "status", o.Status,
			"target", o.Route.Target, "took", o.Duration, "waited", o.WaitTime, "sends", o.SendCount)
	}
	if o.Err != nil {
		s.log.Info("request", "request", o.ID, "route", name, "rank", rank, "key", o.Key, "version", o.TablesVersion, "status", o.Status,
			"verdict", verdict, "reason", reason, "wait", o.Err.RetryAfter, "took", o.Duration, "sends", o.SendCount, "cause", o.Err.Cause)
	}
}
