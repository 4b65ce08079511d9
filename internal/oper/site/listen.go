package site

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/accept"
	"github.com/bramleycove/bramleycove/internal/edge/entry"
	"github.com/bramleycove/bramleycove/internal/flow/cold"
	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

const (
	// lingerTime is how long a stopping instance accepts callers: the load balancer checks once a second and stops sending
	// after two failures.
	lingerTime = 3500 * time.Millisecond
	// killMargin is the time between cutting off the remaining requests and the kill by the platform.
	killMargin = 400 * time.Millisecond
	// exitMargin is the part of killMargin that is left for writing the last log lines and exiting.
	exitMargin = 150 * time.Millisecond
)

// serverGroup runs the servers of an instance. close stops all but the one for callers.
type serverGroup struct {
	firstError      chan error
	servers         []*fasthttp.Server
	wg              conc.WaitGroup
	onAcceptFailed  func(err error) // transient error of Accept
	onAcceptResumed func()
}

func (l *serverGroup) listenAndServe(addr string, handler fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	srv := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, MaxRequestBodySize: 64 << 20}
	l.servers = append(l.servers, srv)
	l.runServer(func() error {
		return srv.Serve(&accept.Listener{Listener: ln, OnFailed: l.onAcceptFailed, OnResumed: l.onAcceptResumed})
	})
	return nil
}

func (l *serverGroup) runServer(serve func() error) {
	l.wg.Go(func() {
		if err := serve(); err != nil {
			select {
			case l.firstError <- err:
			default: // the first error ends the instance
			}
		}
	})
}

func (l *serverGroup) close() {
	for _, s := range l.servers {
		_ = s.Shutdown() // the process ends next
	}
	l.wg.Wait()
}

// startServers opens all listeners and serves them.
func (s *Instance) startServers() (*serverGroup, error) {
	l := &serverGroup{firstError: make(chan error, 1), onAcceptFailed: s.logAcceptFailed, onAcceptResumed: s.logAcceptResumed}
	err := errors.CombineErrors(
		l.listenAndServe(s.cfg.Peers.String(), s.coord.Handlers().Handler()),
		l.listenAndServe(s.cfg.Ready.String(), s.handleReady),
	)
	if s.cfg.Metrics.IsValid() {
		err = errors.CombineErrors(err, l.listenAndServe(s.cfg.Metrics.String(), s.handleMetrics))
	}
	ln, lerr := net.Listen("tcp", s.cfg.Callers.String())
	if err = errors.CombineErrors(err, lerr); err != nil {
		return nil, err
	}
	l.runServer(func() error { return s.frontend.Serve(ln) })
	return l, nil
}

func (s *Instance) logAcceptFailed(err error) { s.log.Warn("accept-failed", "error", err) }

func (s *Instance) logAcceptResumed() { s.log.Info("accept-resumed") }

func (s *Instance) handleReady(h *fasthttp.RequestCtx) {
	if !s.isReady() {
		h.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Instance) handleMetrics(h *fasthttp.RequestCtx) {
	s.meter.Gauge("held_bytes", nil).Update(float64(s.frontend.HeldBytes()))
	s.meter.RecordBudget(s.cfg.Budget)
	now, snap, coldServers := time.Now(), s.snapshot(), 0
	for _, srv := range snap.Servers {
		if _, isCold := cold.Rate(now, snap, srv); isCold {
			coldServers++
		}
	}
	s.meter.Gauge("cold_servers", nil).Update(float64(coldServers))
	s.meter.Gauge("evacuated_dcs", nil).Update(float64(snap.Evacuations.Evacuated()))
	text, err := s.meter.Text()
	if err != nil {
		s.log.Warn("metrics-incomplete", "error", err)
	}
	h.SetContentType("text/plain; version=0.0.4")
	h.SetBody(text)
}

// stop stops serving: the readiness check fails, requests are served until the load balancer has noticed, and those in
// progress are finished. A leader resigns first, so that keys are not without one for long. It returns the time
// when the platform kills the process.
func (s *Instance) stop() (killTime time.Time) {
	start := time.Now()
	s.stopping.Store(true)
	s.log.Info("stopping", "active", s.frontend.InProgress())
	s.frontend.StopKeepAlive()
	grace := s.currentGrace()
	killTime = start.Add(grace)
	cutoff := killTime.Add(-killMargin)
	linger := min(lingerTime, grace/2)
	s.sender.BeginStop(start.Add(linger), cutoff)
	var leaving conc.WaitGroup
	defer leaving.Wait()
	leaving.Go(func() { s.coord.Leave(cutoff) })
	time.Sleep(time.Until(start.Add(linger)))
	ctx, cancel := context.WithDeadline(context.Background(), cutoff)
	defer cancel()
	if err := s.frontend.Stop(ctx); err != nil {
		s.log.Warn("cut", "active", s.frontend.InProgress(), "error", err)
	}
	return killTime
}

// recordAttempt counts each send to a server and logs those that fail.
func (s *Instance) recordAttempt(r *work.Request, srv *topo.Server, out limit.Outcome, took time.Duration, cause error) {
	s.meter.Counter("sends_total", map[string]string{"pool": srv.Pool, "outcome": outcomeNames[out]}).Inc(1)
	if out != limit.Done {
		s.log.Info("send", "request", r.ID, "server", srv.Server, "pool", srv.Pool, "key", r.Key, "outcome", outcomeNames[out], "took", took, "cause", cause)
	}
}

var outcomeNames = [...]string{"done", "shed", "timeout", "broken", "abandoned", "neutral"}

// minBehind is the least time behind earlier requests that is counted: most requests have none before them.
const minBehind = time.Millisecond

// recordOutcome records the metrics of a finished request and logs it if it failed or was late.
func (s *Instance) recordOutcome(o entry.Outcome) {
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
	// One series for each pool and rank, because there may be thousands of routes.
	series := s.meter.Series(pool, rank)
	series.RecordAnswer(o.Duration, verdict)
	if o.Behind >= minBehind {
		series.RecordBehind(o.Behind)
	}
	if o.RoomWait > 0 {
		series.RecordWait(o.RoomWait)
	}
	s.recordRoom(o, reason)
	if o.Err == nil && o.Route != nil && o.Route.Target > 0 && o.Duration > o.Route.Target {
		s.log.Info("late", "request", o.ID, "route", name, "rank", rank, "key", o.Key, "version", o.TablesVersion, "status", o.Status,
			"target", o.Route.Target, "took", o.Duration, "behind", o.Behind, "waited", o.WaitTime, "roomwait", o.RoomWait, "sends", o.SendCount)
	}
	if o.Err != nil {
		s.meter.Counter("failures_total", map[string]string{"reason": reason, "verdict": verdict.String()}).Inc(1)
		s.log.Info("request", "request", o.ID, "route", name, "rank", rank, "key", o.Key, "version", o.TablesVersion, "status", o.Status,
			"verdict", verdict, "reason", reason, "wait", o.Err.RetryAfter, "took", o.Duration, "behind", o.Behind, "roomwait", o.RoomWait, "sends", o.SendCount, "cause", o.Err.Cause)
	}
}

// recordRoom counts, by priority, the requests that found their servers full: those sent after a wait, and those refused at once or
// after a wait.
func (s *Instance) recordRoom(o entry.Outcome, reason string) {
	if o.Route == nil {
		return
	}
	outcome := ""
	switch {
	case reason == sender.ReasonServerBusy && o.RoomWait > 0:
		outcome = "refused-waiting"
	case reason == sender.ReasonServerBusy:
		outcome = "refused"
	case o.RoomWait > 0:
		outcome = "waited"
	default:
		return
	}
	s.meter.Counter("room_requests_total", map[string]string{"priority": strconv.Itoa(o.Route.Priority), "outcome": outcome}).Inc(1)
}
