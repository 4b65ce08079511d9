// Package sender sends requests to backend servers: it chooses a server, sends, classifies the answer, and retries where
// the route and the shared retry budget permit. The route alone decides whether a request is repeatable.
package sender

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/losses"
	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/retry"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

// Reasons of failures, as they appear in result.Error.
const (
	ReasonNoServer      = "no-server"       // no server of the pool is usable
	ReasonNoOwner       = "no-owner"        // no usable server holds the key
	ReasonKeyMoving     = "key-moving"      // the key did not reach its next owner in time
	ReasonServerBusy    = "server-busy"     // the servers are full
	ReasonServerLimit   = "server-limit"    // the servers get as many requests as they have named as their limit
	ReasonConnectFailed = "server-connect"  // could not connect to the server
	ReasonQuarantine    = "quarantine"      // the request has crashed servers
	ReasonBadKey        = "bad-key"         // the pool is keyed, the key missing or invalid
	ReasonServerLost    = "server-lost"     // the connection broke, and the request may have run
	ReasonAnswerCut     = "answer-cut"      // the answer was incomplete or to another request
	ReasonTimeout       = "server-timeout"  // no complete answer before the deadline
	ReasonCancelled     = "cancelled"       // the caller closed its connection
	ReasonUnsigned      = "answer-unsigned" // a success without the server's signature
	ReasonNoTimeLeft    = "no-time-left"    // the deadline is too near to send
	ReasonStopping      = "stopping"        // the instance stops and could be killed before the answer
)

// Refusal says why a server did not run a request.
type Refusal uint8

// Refusals.
const (
	NotRefused Refusal = iota
	RefusedBusy
	RefusedNotOwner // the server is not the one addressed, or does not hold the key
)

// Reply is a decoded answer of a server. Signed tells that it has the server's signature, Leaving that the server is
// leaving.
type Reply struct {
	work.Answer
	Refusal         Refusal
	Signed, Leaving bool
	// Limit is the rate of requests that the server takes from all instances together, if the answer names one.
	Limit quota.Named
}

// Config holds the settings and dependencies of a Sender. All fields are required unless they say otherwise.
type Config struct {
	Location topo.Location
	// Snapshot returns the current snapshot, and a channel that is closed when that changes.
	Snapshot func() (*topo.Snapshot, <-chan struct{})
	// InstanceCount returns how many instances share the servers, at least 1.
	InstanceCount func() int
	WriteRequest  func(h *fasthttp.Request, r *work.Request, server string, left time.Duration)
	ReadReply     func(h *fasthttp.Response) Reply
	ConnOptions   conns.Options
	// RetryRatio is the number of retries per request and RetrySlack the burst beyond it, for all instances together.
	RetryRatio, RetrySlack float64
	// Limits is where the limits that servers name are recorded. It may be nil.
	Limits *quota.Book
	// AskPermit asks to send a request of a rank to a server's incarnation that has named a limit. It may be nil.
	AskPermit func(now time.Time, incarnation string, rank int) quota.Decision
	// OnStrike is called when a request seems to have crashed a server. It may be nil.
	OnStrike func(fp crash.Fingerprint, s *topo.Server)
	// OnAttempt is called after each attempt, for logs. It may be nil.
	OnAttempt func(r *work.Request, s *topo.Server, out limit.Outcome, took time.Duration, cause error)
}

// Sender sends requests. It may be used by many goroutines.
type Sender struct {
	cfg Config

	mu         sync.Mutex
	rnd        *rand.Rand
	servers    map[string]*serverState
	budgets    map[string]*retry.Budget
	crashes    *crash.Tracker
	keyLoads   map[PoolKey]int
	lossChecks *losses.Checker
	stop       atomic.Pointer[stopTimes] // nil unless the instance stops
	// sharedLatencies are the answer times by server that all instances saw, as of sharedAt.
	sharedLatencies map[string]time.Duration
	sharedAt        time.Time
}

// PoolKey is a key of a pool.
type PoolKey struct {
	Pool string
	Key  uint16
}

// serverState is the state kept for one incarnation of a backend server.
type serverState struct {
	pick.ServerStats
	denial
	pool     *conns.Pool
	addr     netip.AddrPort
	lastUsed time.Time
	// confirmedAt is when a request was last sent to learn whether the server's limit has ended.
	confirmedAt time.Time
}

// New returns a sender without connections.
func New(instance string, cfg Config) *Sender {
	seed := xxhash.Sum64String(instance)
	if cfg.Limits == nil {
		cfg.Limits = new(quota.Book)
	}
	c := &Sender{
		cfg: cfg, rnd: rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))), servers: make(map[string]*serverState),
		budgets: make(map[string]*retry.Budget), crashes: crash.New(instance), keyLoads: make(map[PoolKey]int),
	}
	c.lossChecks = losses.New(cfg.Snapshot, c.recordLoss)
	return c
}

// recordLoss adds a strike to a request that was running when the process of s ended.
func (c *Sender) recordLoss(now time.Time, s *topo.Server, fp crash.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.RecordLoss(now, s.Incarnation(), []crash.Fingerprint{fp})
	if c.cfg.OnStrike != nil {
		c.cfg.OnStrike(fp, s)
	}
}

// Close waits for the checks of lost servers in progress. It closes no connections.
func (c *Sender) Close() { c.lossChecks.Close() }

// Call is a request that is being sent.
type Call struct {
	*work.Request
	Route *tables.Route
	// CallerCtx is cancelled when the caller closes its connection.
	CallerCtx context.Context //nolint:containedctx // lives as long as the call
	// ReceivedAt is when the request came in.
	ReceivedAt time.Time
	// SendCount is how often a server may have got the request, WaitTime the time before the first send.
	SendCount int
	WaitTime  time.Duration

	poolName string
	tried    map[string]bool
	// serverFull tells that the last server tried was full.
	serverFull bool
	// loadCounted tells that the request was counted in its key's load.
	loadCounted bool
	// mayHaveRun tells that a server may have run the request.
	mayHaveRun bool
}

const (
	// maxMoveWait bounds the wait for a key that moves to another owner: a key is released when its work in progress ends.
	maxMoveWait = 400 * time.Millisecond
	// maxConnectTries bounds the attempts that reach no server; each costs time.
	maxConnectTries = 3
	// maxIdleOnce is how long a connection may have been idle for a request that must not run twice: a server may have
	// dropped it without notice, and the request would be lost.
	maxIdleOnce = 700 * time.Millisecond
	// settleTime is how long a new connection is watched before use at most, a round trip between regions: servers reset
	// connections beyond their limit, and it would be unknown whether a request sent before that has run.
	settleTime = 45 * time.Millisecond
	// minTimeLeft is the least time to the deadline with which a request is sent.
	minTimeLeft = 20 * time.Millisecond
)

// Send sends a call until it is answered or fails for good. Errors are *result.Error.
func (c *Sender) Send(now time.Time, x *Call) (work.Answer, error) {
	if wait, refused := c.quarantineLeft(now, x); refused {
		return work.Answer{}, work.NewRefusal(ReasonQuarantine, wait)
	}
	x.poolName = choosePool(x.Route, x.ID)
	x.tried = make(map[string]bool)
	c.earnRetry(x.poolName)
	var last *result.Error
	for failedConnects := 0; ; {
		now = time.Now()
		if err := c.abortError(now, x, last); err != nil {
			return work.Answer{}, err
		}
		s, err := c.waitForServer(now, x)
		if err != nil {
			return work.Answer{}, c.finalError(x, result.FromError(err))
		}
		reply, sent, err := c.attempt(x, s)
		if err == nil {
			return c.retryFailure(x, s, reply).Answer, nil
		}
		last = result.FromError(err)
		x.mayHaveRun = x.mayHaveRun || last.Verdict != result.NotRun
		switch {
		case sent && !c.mayRetry(x, last):
			return work.Answer{}, c.finalError(x, last)
		case !sent:
			if failedConnects++; failedConnects >= maxConnectTries {
				return work.Answer{}, c.finalError(x, last)
			}
		}
	}
}

// finalError returns e, with MayHaveRun instead of NotRun if an earlier attempt may have run.
func (c *Sender) finalError(x *Call, e *result.Error) *result.Error {
	if x.mayHaveRun && e.Verdict == result.NotRun {
		return &result.Error{Verdict: result.MayHaveRun, Status: fasthttp.StatusBadGateway, Reason: e.Reason, Cause: e.Cause}
	}
	return e
}

// abortError returns the final error if the caller is gone or the deadline too near, nil if the request may be sent.
func (c *Sender) abortError(now time.Time, x *Call, last *result.Error) error {
	reason, retryAfter := ReasonNoTimeLeft, shortRetryAfter
	switch {
	case x.CallerCtx.Err() != nil:
		reason = ReasonCancelled
	case x.Deadline.Sub(now) < minTimeLeft:
	case c.mayBeCut(now, x.Deadline):
		reason, retryAfter = ReasonStopping, stopRetryAfter
	default:
		return nil
	}
	if last != nil {
		return c.finalError(x, last)
	}
	return c.finalError(x, work.NewRefusal(reason, retryAfter))
}

// choosePool returns the pool of a route. If the route has a split, the request id decides.
func choosePool(r *tables.Route, id string) string {
	var total float64
	for _, p := range r.Split {
		total += p.Weight
	}
	if total <= 0 {
		return r.Pool
	}
	point := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, p := range r.Split {
		if point -= p.Weight; point < 0 {
			return p.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}

func (c *Sender) quarantineLeft(now time.Time, x *Call) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.QuarantineLeft(now, x.Fingerprint)
}

// Retry-After times. A caller obeys one only if it is at most a third of the caller's remaining time.
const (
	// shortRetryAfter is about the time in which a queue of a few requests shrinks.
	shortRetryAfter = 250 * time.Millisecond
	// busyRetryAfter spreads callers over the time in which an overload of a few seconds eases; sooner, they would only be
	// refused again.
	busyRetryAfter = 600 * time.Millisecond
	// stopRetryAfter is short since other instances serve the caller at once.
	stopRetryAfter = 50 * time.Millisecond
	// ownerRetryAfter is about the time in which a key gets its next owner.
	ownerRetryAfter = 500 * time.Millisecond
)

// errServersFull says that each usable server has as many requests as it has room for.
var errServersFull = errors.New("servers are full")

const (
	// A request waits for room at a server for its target latency divided by roomWaitDivisor at most, so that a refused
	// caller has time to retry.
	roomWaitDivisor = 8
	// maxRoomWait bounds that wait, also for routes without a target latency.
	maxRoomWait = 150 * time.Millisecond
	// roomPollInterval is how often a waiting request checks for room.
	roomPollInterval = 15 * time.Millisecond
)

// isUrgent reports whether the request has the highest priority.
func (x *Call) isUrgent() bool { return x.Route.Priority == 0 }

// waitForServer returns the server for the next attempt. While the servers are full or at their limits, it waits for up to
// maxRoomWait.
func (c *Sender) waitForServer(now time.Time, x *Call) (*target, error) {
	wait := maxRoomWait
	if x.Route.Target > 0 {
		wait = min(wait, x.Route.Target/roomWaitDivisor)
	}
	until := x.ReceivedAt.Add(wait)
	for {
		t, err := c.chooseServer(now, x)
		if err == nil && c.takePermit(now, x, t) {
			return t, nil
		}
		now = time.Now()
		denied := new(deniedError)
		retryAt := now
		switch {
		case err == nil: // this server is left out or waited for from now on
		case err == errServersFull: //nolint:errorlint // a sentinel of this package, never wrapped
			if retryAt = now.Add(roomPollInterval); !now.Before(until) || x.CallerCtx.Err() != nil {
				return nil, c.busyRefusal()
			}
		case errors.As(err, &denied):
			if retryAt = denied.until; retryAt.After(until) || x.CallerCtx.Err() != nil {
				return nil, c.limitRefusal(now, denied)
			}
		default:
			return nil, err
		}
		time.Sleep(retryAt.Sub(now))
		now = time.Now()
	}
}

// chooseServer returns a server with room, or errServersFull. For a keyed pool it waits for the owner.
func (c *Sender) chooseServer(now time.Time, x *Call) (*target, error) {
	w, _ := c.cfg.Snapshot()
	if w.Tables == nil {
		return nil, work.NewRefusal(ReasonNoServer, ownerRetryAfter)
	}
	if p := w.Tables.Pool(x.poolName); p != nil && p.Keyed {
		return c.waitForOwner(now, x)
	}
	servers := w.Pools[x.poolName]
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := make([]pick.Candidate, 0, len(servers))
	var denied *deniedError // of the server that may be asked for again first
	for _, s := range servers {
		if x.tried[s.Server] {
			continue
		}
		st := c.stateOf(now, s)
		if e := st.deniedUntil(now, x.Route.Priority); e != nil {
			if denied == nil || e.until.Before(denied.until) {
				denied = e
			}
			continue
		}
		if c.mustConfirm(now, x, s, st) {
			st.Start()
			return &target{Server: s, state: st}, nil
		}
		candidates = append(candidates, pick.Candidate{
			ServerStats: &st.ServerStats, Server: s, Distance: c.cfg.Location.DistanceTo(s.DC), SharedLatency: c.sharedLatency(now, s),
		})
	}
	choose := pick.Choose
	if pick.MayDraw(candidates) {
		choose = pick.Draw
	}
	i, full := choose(now, c.rnd, x.isUrgent(), candidates)
	if i < 0 && full {
		return nil, errServersFull
	}
	if i < 0 && denied != nil {
		return nil, denied
	}
	if i < 0 {
		return nil, work.NewRefusal(ReasonNoServer, c.jitter(shortRetryAfter))
	}
	t := &target{Server: candidates[i].Server, state: c.stateOf(now, candidates[i].Server)}
	t.state.Start()
	return t, nil
}

// maxSharedAge is how long shared answer times are used: without a leader, nobody renews them.
const maxSharedAge = 10 * time.Second

// SetSharedLatencies takes the mean answer times of servers to all instances.
func (c *Sender) SetSharedLatencies(now time.Time, latencies map[string]time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sharedLatencies, c.sharedAt = latencies, now
}

// sharedLatency returns the answer time of s that all instances saw, 0 if it is unknown. c.mu is held.
func (c *Sender) sharedLatency(now time.Time, s *topo.Server) time.Duration {
	if now.Sub(c.sharedAt) > maxSharedAge {
		return 0
	}
	return c.sharedLatencies[s.Server]
}

// jitter returns 0.5 to 1.5 times d, so that callers refused together do not retry together. c.mu is held.
func (c *Sender) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rnd.Int64N(int64(d)))
}

// target is a server chosen for an attempt.
type target struct {
	*topo.Server
	state       *serverState
	ownershipID string // empty unless the server was chosen as the key's owner
}

// waitForOwner returns the server that holds the request's key. It waits while the key moves or has no usable owner.
func (c *Sender) waitForOwner(now time.Time, x *Call) (*target, error) {
	n, err := strconv.ParseUint(x.Key, 10, 16)
	if err != nil {
		return nil, &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusBadRequest, Reason: ReasonBadKey}
	}
	key := uint16(n)
	c.countLoad(PoolKey{x.poolName, key}, x)
	until := now.Add(maxMoveWait)
	if limit := x.Deadline.Add(-minTimeLeft); limit.Before(until) {
		until = limit
	}
	for {
		w, changed := c.cfg.Snapshot()
		span, moving := w.Owners[x.poolName].Find(key), w.MovingRangeOf(x.poolName, key)
		if moving != nil && moving.Until.After(until) {
			// Don't wait: the keys are served again only when the holder's lease has ended.
			return nil, work.NewRefusal(ReasonKeyMoving, moving.Until.Sub(now))
		}
		if span != nil && moving == nil {
			s := w.Servers[span.Server]
			usable := s != nil && s.Owner == span.Owner && !leftOwnership(now, s)
			switch tried := usable && x.tried[ownershipID(s, span.Fence)]; {
			case tried && x.serverFull:
				// The owner is full, and no other owner is expected.
				return nil, c.busyRefusal()
			case usable && !tried:
				return c.ownerTarget(now, x, s, span.Fence)
			}
		}
		if !waitForChange(x.CallerCtx, changed, until) {
			reason := ReasonKeyMoving
			if span == nil {
				reason = ReasonNoOwner
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			return nil, work.NewRefusal(reason, c.jitter(ownerRetryAfter))
		}
	}
}

// ownershipID identifies a server's ownership of keys under one fence.
func ownershipID(s *topo.Server, fence uint64) string {
	return s.Server + strconv.FormatUint(fence, 10)
}

// busyRefusal returns the error for a request whose servers are full.
func (c *Sender) busyRefusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return work.NewRefusal(ReasonServerBusy, c.jitter(busyRetryAfter))
}

// leftOwnership reports whether s is leaving and its keys should have another owner by now. It must get no request 2.5 s
// after it said so; learning of that takes up to 1.9 s while the leader is lost.
func leftOwnership(now time.Time, s *topo.Server) bool {
	return s.Leaving && now.Sub(s.LeavingSince) > leaveGrace
}

// leaveGrace is how long a leaving server still gets requests for its keys after this instance learns that it leaves.
const leaveGrace = 500 * time.Millisecond

// waitForChange returns true when changed is closed, and false at until or when ctx is done.
func waitForChange(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return false
}

// ownerTarget returns s, the owner of the key, as target if it is ready and has room.
func (c *Sender) ownerTarget(now time.Time, x *Call, s *topo.Server, fence uint64) (*target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.stateOf(now, s)
	if !st.Ready(now) {
		return nil, work.NewRefusal(ReasonNoOwner, c.jitter(ownerRetryAfter))
	}
	if e := st.deniedUntil(now, x.Route.Priority); e != nil {
		return nil, e
	}
	if !st.HasRoom(now, x.isUrgent()) {
		return nil, errServersFull
	}
	ownership := ownershipID(s, fence)
	x.tried[ownership] = true
	st.Start()
	return &target{Server: s, state: st, ownershipID: ownership}, nil
}

// countLoad counts the request once in the load of its key.
func (c *Sender) countLoad(k PoolKey, x *Call) {
	if x.loadCounted {
		return
	}
	x.loadCounted = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyLoads[k]++
}

// stateOf returns the state of a server and updates its share. c.mu is held.
func (c *Sender) stateOf(now time.Time, s *topo.Server) *serverState {
	id := s.Incarnation()
	st := c.servers[id]
	if st == nil || st.addr != s.Address {
		st = &serverState{pool: conns.NewWith(s.Address, c.connShare(s), c.cfg.ConnOptions), addr: s.Address}
		c.servers[id] = st
	}
	st.lastUsed, st.Share = now, requestsPerSlot*float64(s.Slots)/float64(max(1, c.cfg.InstanceCount()))
	return st
}

// requestsPerSlot is how many requests a server takes for each slot: one runs and two wait, which at usual answer times
// still meet their target latency.
const requestsPerSlot = 3

// connShare returns how many connections to s this instance may open: an equal share of what the server accepts, less a
// fifth for connections being closed.
func (c *Sender) connShare(s *topo.Server) int {
	w, _ := c.cfg.Snapshot()
	if w.Tables == nil {
		return s.Slots
	}
	p := w.Tables.Pool(s.Pool)
	if p == nil || p.Connections == 0 {
		return 2 * s.Slots
	}
	return max(2, p.Connections*4/5/max(1, c.cfg.InstanceCount()))
}

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
	case errors.Is(err, conns.ErrTruncated), errors.Is(err, conns.ErrMismatch), errors.Is(err, conns.ErrNoLength):
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonAnswerCut)
	default:
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonServerLost)
	}
}

// recordOutcome updates the state of the server, the strikes and the servers tried.
func (c *Sender) recordOutcome(now time.Time, x *Call, t *target, out limit.Outcome, took time.Duration, r Reply, sent bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.state.Finish(now, out, took, x.Route.Target, r.Status >= 500)
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
	if r.Refusal != RefusedNotOwner && out != limit.Done {
		x.tried[t.Server.Server] = true
	}
	if sent && out == limit.Broken && x.Route.MayRepeat() {
		// Only the connection may be broken: the key's owner may answer over another one.
		delete(x.tried, t.ownershipID)
	}
}

// shouldRetryFailure reports whether r is a server error that may be retried, and then charges the retry budget.
func (c *Sender) shouldRetryFailure(x *Call, r Reply) bool {
	return r.Status >= 500 && x.Route.MayRepeat() && time.Until(x.Deadline) > minTimeLeft && x.SendCount < 2 && x.SendCount < max(2, x.Route.Attempts) && c.takeRetry(x.poolName)
}

// retryFailure retries if r is a server error that may be retried, and returns the better answer.
func (c *Sender) retryFailure(x *Call, first *target, r Reply) Reply {
	if !c.shouldRetryFailure(x, r) {
		return r
	}
	t, err := c.secondServer(time.Now(), x, first)
	if err != nil {
		return r
	}
	second, _, err := c.attempt(x, t)
	if err != nil || second.Status >= 500 {
		return r
	}
	return second
}

// secondServer returns the server for a second attempt: another one, or in a keyed pool the same one.
func (c *Sender) secondServer(now time.Time, x *Call, first *target) (*target, error) {
	w, _ := c.cfg.Snapshot()
	if p := w.Tables.Pool(x.poolName); p != nil && p.Keyed {
		c.mu.Lock()
		first.state.Start()
		c.mu.Unlock()
		if !c.takePermit(now, x, first) {
			return nil, work.NewRefusal(ReasonServerLimit, shortRetryAfter)
		}
		return first, nil
	}
	x.tried[first.Server.Server] = true
	return c.waitForServer(now, x)
}

// mayRetry reports whether the request may be sent again after e, and then charges the retry budget.
func (c *Sender) mayRetry(x *Call, e *result.Error) bool {
	if e.Verdict != result.NotRun && !x.Route.MayRepeat() {
		return false
	}
	if e.Reason == ReasonCancelled || e.Reason == ReasonTimeout {
		return false
	}
	return x.SendCount < max(1, x.Route.Attempts) && c.takeRetry(x.poolName)
}

func (c *Sender) retryBudget(pool string) *retry.Budget {
	b := c.budgets[pool]
	if b == nil {
		n := float64(max(1, c.cfg.InstanceCount()))
		b = &retry.Budget{Ratio: c.cfg.RetryRatio * budgetShareUsed, Burst: max(1, c.cfg.RetrySlack*budgetShareUsed/n)}
		c.budgets[pool] = b
	}
	return b
}

// budgetShareUsed is the part of the shared budget that is used. The rest covers requests that change pools with the
// configuration, and instances that come and go.
const budgetShareUsed = 0.7

func (c *Sender) earnRetry(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryBudget(pool).Earn()
}

func (c *Sender) takeRetry(pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryBudget(pool).Take()
}
