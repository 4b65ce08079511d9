// Package sender takes a request to backend servers: it chooses one, sends, judges the answer, and sends once more where
// the route's kind and the shared budget permit. What may be repeated follows from the route alone.
package sender

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/retry"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

// Reasons of failures, as they appear in result.Error.
const (
	ReasonNoServer      = "no-server"       // no server of the pool can be used
	ReasonNoOwner       = "no-owner"        // no server holds the key at the moment
	ReasonKeyMoving     = "key-moving"      // the key did not reach its next owner in time
	ReasonServerBusy    = "server-busy"     // the servers refused
	ReasonConnectFailed = "server-connect"  // no connection to the server
	ReasonQuarantine    = "quarantine"      // the request has crashed servers
	ReasonBadKey        = "bad-key"         // a keyed pool and no usable key
	ReasonServerLost    = "server-lost"     // the connection broke, and the request may have run
	ReasonAnswerCut     = "answer-cut"      // the answer was not whole, or not to this request
	ReasonTimeout       = "server-timeout"  // no whole answer in time
	ReasonCancelled     = "cancelled"       // the caller has left
	ReasonUnsigned      = "answer-unsigned" // a success without the server's signature
	ReasonNoTimeLeft    = "no-time-left"    // too late to send
)

// Refusal says why a server did not run a request.
type Refusal uint8

// Refusals.
const (
	NotRefused Refusal = iota
	RefusedBusy
	RefusedNotOwner // another server, or one that does not hold the key
)

// Reply is a decoded answer of a server. Signed tells that it bears the server's signature.
type Reply struct {
	work.Answer
	Refusal         Refusal
	Signed, Leaving bool
}

// Config holds the seams of a Carrier. All fields are set.
type Config struct {
	Location topo.Location
	// Snapshot returns what is known now, and a channel that is closed when that changes.
	Snapshot func() (*topo.Snapshot, <-chan struct{})
	// InstanceCount returns how many instances share the servers, at least 1.
	InstanceCount func() int
	WriteRequest  func(h *fasthttp.Request, r *work.Request, server string, left time.Duration)
	ReadReply     func(h *fasthttp.Response) Reply
	ConnOptions   conns.Options
	// RetryRatio and RetrySlack are the budget of second sends of all instances: a part of the first ones, and a number beside.
	RetryRatio, RetrySlack float64
	// Attempt is called after each send, for logs. It may be nil.
	// Struck is called when a request seems to have crashed a server. It may be nil.
	OnStrike  func(fp crash.Fingerprint, s *topo.Server)
	OnAttempt func(r *work.Request, s *topo.Server, out limit.Outcome, took time.Duration, cause error)
}

// Sender sends requests. It may be used by many goroutines.
type Sender struct {
	cfg Config

	mu          sync.Mutex
	rnd         *rand.Rand
	servers     map[string]*serverState
	budgets     map[string]*retry.Budget
	crashes     *crash.Tracker
	keyLoads    map[PoolKey]int
	crashChecks conc.WaitGroup
}

// PoolKey is a key of a pool.
type PoolKey struct {
	Pool string
	Key  uint16
}

// serverState is the state of one incarnation of a backend server.
type serverState struct {
	pick.ServerStats
	pool     *conns.Pool
	addr     netip.AddrPort
	lastUsed time.Time
}

// New returns a carrier without connections.
func New(instance string, cfg Config) *Sender {
	seed := xxhash.Sum64String(instance)
	return &Sender{
		cfg: cfg, rnd: rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))), servers: make(map[string]*serverState),
		budgets: make(map[string]*retry.Budget), crashes: crash.New(instance), keyLoads: make(map[PoolKey]int),
	}
}

// Call is one request on its way.
type Call struct {
	*work.Request
	Route *tables.Route
	// CallerCtx ends when the caller leaves.
	CallerCtx context.Context //nolint:containedctx // lives as long as the call
	// ReceivedAt is when the request came in.
	ReceivedAt time.Time
	// SendCount is how often a server may have got the request so far, Waited the time before the first of these.
	SendCount int
	WaitTime  time.Duration

	poolName string
	tried    map[string]bool
	// serverFull tells that the last server said that it is full.
	serverFull bool
	// loadCounted tells that the request is part of its key's load.
	loadCounted bool
	// mayHaveRun tells that a server may have begun to run the request.
	mayHaveRun bool
}

const (
	// maxMoveWait bounds how long a request waits for a key that changes hands: a release ends with the work in progress.
	maxMoveWait = 400 * time.Millisecond
	// maxConnectTries bounds servers tried that can't be reached: such a try costs time and reaches nobody.
	maxConnectTries = 3
	// maxIdleOnce is how long a connection may be idle for a request that must not run twice: a server may have dropped it
	// without notice, and the request would then be lost.
	maxIdleOnce = 700 * time.Millisecond
	// settleTime is how long a new connection is watched at most before a request goes out on it, the way between regions and
	// back: servers reset those beyond their limit, and a request that was sent meanwhile may have run for all one knows.
	settleTime = 45 * time.Millisecond
	// minTimeLeft is the time left below which no server is asked any more.
	minTimeLeft = 20 * time.Millisecond
)

// Send runs a call. Errors are *result.Error.
func (c *Sender) Send(now time.Time, x *Call) (work.Answer, error) {
	if wait, refused := c.quarantineLeft(now, x); refused {
		return work.Answer{}, work.NewRefusal(ReasonQuarantine, wait)
	}
	x.poolName = choosePool(x.Route, x.ID)
	x.tried = make(map[string]bool)
	c.earnRetry(x.poolName)
	var last *result.Error
	for connects := 0; ; {
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
			if connects++; connects >= maxConnectTries {
				return work.Answer{}, c.finalError(x, last)
			}
		}
	}
}

// finalError turns the failure of the last try into that of the request: one that may have run earlier is not called not run.
func (c *Sender) finalError(x *Call, e *result.Error) *result.Error {
	if x.mayHaveRun && e.Verdict == result.NotRun {
		return &result.Error{Verdict: result.MayHaveRun, Status: fasthttp.StatusBadGateway, Reason: e.Reason, Cause: e.Cause}
	}
	return e
}

// abortError returns the final error if the request must not be sent any more.
func (c *Sender) abortError(now time.Time, x *Call, last *result.Error) error {
	reason := ReasonNoTimeLeft
	switch {
	case x.CallerCtx.Err() != nil:
		reason = ReasonCancelled
	case x.Deadline.Sub(now) < minTimeLeft:
	default:
		return nil
	}
	if last != nil {
		return c.finalError(x, last)
	}
	return c.finalError(x, work.NewRefusal(reason, shortRetryAfter))
}

// choosePool returns the pool of a route. Requests are spread over the parts of a split by their id.
func choosePool(r *tables.Route, id string) string {
	var total float64
	for _, p := range r.Split {
		total += p.Weight
	}
	if total <= 0 {
		return r.Pool
	}
	x := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, p := range r.Split {
		if x -= p.Weight; x < 0 {
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

// Pauses that callers are told. A caller keeps to one of up to a third of the time it has left.
const (
	// shortRetryAfter is about the time in which a queue of a few requests shrinks.
	shortRetryAfter = 250 * time.Millisecond
	// busyRetryAfter spreads callers over the time in which a flood of a few seconds gets somewhat smaller; sooner they would
	// only be refused again.
	busyRetryAfter = 600 * time.Millisecond
	// ownerRetryAfter is about the time in which a key gets its next owner.
	ownerRetryAfter = 500 * time.Millisecond
)

// errServersFull says that each server that could run a request has as many as it is given.
var errServersFull = errors.New("servers are full")

const (
	// roomWaitDivisor is the part of a request's objective that it waits for room at a server. A caller that is refused within
	// it has time to come back.
	roomWaitDivisor = 8
	// maxRoomWait bounds the wait of routes with a distant objective or none.
	maxRoomWait = 150 * time.Millisecond
	// roomPollInterval is the interval at which a waiting request looks for room.
	roomPollInterval = 15 * time.Millisecond
)

// isUrgent reports whether the request has the highest priority.
func (x *Call) isUrgent() bool { return x.Route.Priority == 0 }

// waitForServer chooses the server for the next try. It waits a little while the servers are full.
func (c *Sender) waitForServer(now time.Time, x *Call) (*target, error) {
	wait := maxRoomWait
	if x.Route.Target > 0 {
		wait = min(wait, x.Route.Target/roomWaitDivisor)
	}
	for {
		t, err := c.chooseServer(now, x)
		if err != errServersFull { //nolint:errorlint // a mark of this package, never wrapped
			return t, err
		}
		if now.Sub(x.ReceivedAt) >= wait || x.CallerCtx.Err() != nil {
			return nil, c.busyRefusal()
		}
		time.Sleep(roomPollInterval)
		now = time.Now()
	}
}

// chooseServer returns a server with room, or errFull.
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
	for _, s := range servers {
		if !x.tried[s.Server] {
			candidates = append(candidates, pick.Candidate{ServerStats: &c.stateOf(now, s).ServerStats, Server: s, Distance: c.cfg.Location.DistanceTo(s.DC)})
		}
	}
	i, full := pick.Choose(now, c.rnd, x.isUrgent(), candidates)
	if i < 0 && full {
		return nil, errServersFull
	}
	if i < 0 {
		return nil, work.NewRefusal(ReasonNoServer, c.jitter(shortRetryAfter))
	}
	t := &target{Server: candidates[i].Server, state: c.stateOf(now, candidates[i].Server)}
	t.state.Start()
	return t, nil
}

// jitter spreads a pause, so that callers refused together do not return together.
func (c *Sender) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rnd.Int64N(int64(d)))
}

// target is a server that was chosen for a try.
type target struct {
	*topo.Server
	state       *serverState
	ownershipID string // of the key, if the server was chosen as its owner
}

// waitForOwner returns the server that holds the request's key. It waits while the key changes hands.
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
		span, run := w.Owners[x.poolName].Find(key), w.MovingRangeOf(x.poolName, key)
		if run != nil && run.Until.After(until) {
			// Waiting would not help: the keys are served again when the holder's lease has ended.
			return nil, work.NewRefusal(ReasonKeyMoving, run.Until.Sub(now))
		}
		if span != nil && run == nil {
			s := w.Servers[span.Server]
			usable := s != nil && s.Owner == span.Owner && !leftOwnership(now, s)
			switch tried := usable && x.tried[ownershipID(s, span.Fence)]; {
			case tried && x.serverFull:
				// It holds the key and has no room for more; another owner is not to be expected.
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

// ownershipID names the time in which a server holds a key with one fence.
func ownershipID(s *topo.Server, fence uint64) string {
	return s.Server + strconv.FormatUint(fence, 10)
}

// busyRefusal returns the refusal of a request whose servers are full.
func (c *Sender) busyRefusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return work.NewRefusal(ReasonServerBusy, c.jitter(busyRetryAfter))
}

// leftOwnership reports whether a server leaves and its keys should have another owner by now. It gets no request 2.5 s after it
// said so, of which hearing of it takes up to 1.9 s while the leader is lost.
func leftOwnership(now time.Time, s *topo.Server) bool {
	return s.Leaving && now.Sub(s.LeavingSince) > leaveGrace
}

// leaveGrace is how long requests for its keys go to a server that leaves, as far as this instance knows.
const leaveGrace = 500 * time.Millisecond

// waitForChange returns true when changed is closed, and false at until or when ctx ends.
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

// ownerTarget returns the owner of a key if it can be reached.
func (c *Sender) ownerTarget(now time.Time, x *Call, s *topo.Server, fence uint64) (*target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.stateOf(now, s)
	if !st.Ready(now) {
		return nil, work.NewRefusal(ReasonNoOwner, c.jitter(ownerRetryAfter))
	}
	if !st.HasRoom(now, x.isUrgent()) {
		return nil, errServersFull
	}
	mark := ownershipID(s, fence)
	x.tried[mark] = true
	st.Start()
	return &target{Server: s, state: st, ownershipID: mark}, nil
}

// countLoad notes the load of a key once for each request.
func (c *Sender) countLoad(k PoolKey, x *Call) {
	if x.loadCounted {
		return
	}
	x.loadCounted = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyLoads[k]++
}

// stateOf returns the state of a server. c.mu is held.
func (c *Sender) stateOf(now time.Time, s *topo.Server) *serverState {
	id := incarnationID(s)
	st := c.servers[id]
	if st == nil || st.addr != s.Address {
		st = &serverState{pool: conns.NewWith(s.Address, c.connShare(s), c.cfg.ConnOptions), addr: s.Address}
		c.servers[id] = st
	}
	st.lastUsed, st.Share = now, requestsPerSlot*float64(s.Slots)/float64(max(1, c.cfg.InstanceCount()))
	return st
}

// incarnationID tells the lives of a server apart.
func incarnationID(s *topo.Server) string { return s.Server + "/" + strconv.FormatInt(s.StartMs, 36) }

// requestsPerSlot is how many requests a server has room for by its slots: one that runs and two that wait, which at usual answer
// times still meet their objective.
const requestsPerSlot = 3

// connShare returns how many connections to s this instance may open: an equal part of what the server accepts, with a
// fifth left for those that are being closed.
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
	idle := maxIdleOnce
	if x.Route.MayRepeat() {
		// The work of a caller that has left stops; work that must not be repeated is brought to its end.
		defer context.AfterFunc(x.CallerCtx, cancel)()
		idle = time.Hour
	}
	h, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(h)
	defer fasthttp.ReleaseResponse(resp)
	c.cfg.WriteRequest(h, x.Request, t.Server.Server, x.Deadline.Sub(start))
	sent, err = t.state.pool.DoWith(ctx, h, resp, conns.SendOptions{MaxIdle: idle, SettleTime: settleTime})
	now := time.Now()
	if err == nil {
		r = c.cfg.ReadReply(resp)
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

// classify maps the end of a try to what it says of the server and to an error, nil for a whole answer.
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
		// A server whose queue is long resets new connections.
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

// recordOutcome updates what is known of the server.
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
	case sent && out == limit.Broken && !errors.Is(err, conns.ErrTruncated) && !errors.Is(err, conns.ErrMismatch):
		c.crashChecks.Go(func() { c.checkCrash(t, x.Fingerprint) })
	}
	x.serverFull = out == limit.Shed
	if r.Refusal != RefusedNotOwner && out != limit.Done {
		x.tried[t.Server.Server] = true
	}
	if sent && out == limit.Broken && x.Route.MayRepeat() {
		// The connection was at fault, as far as is known; the owner of a key may answer over another one.
		delete(x.tried, t.ownershipID)
	}
}

const (
	// crashCheckDelay is how long after a lost connection a server is asked whether it is there: a process that crashes needs
	// a moment to end.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds that question.
	crashCheckTimeout = 300 * time.Millisecond
)

// checkCrash notes a strike against a request whose connection broke if its server accepts no connection any more.
func (c *Sender) checkCrash(t *target, fp crash.Fingerprint) {
	time.Sleep(crashCheckDelay)
	conn, err := net.DialTimeout("tcp", t.Address.String(), crashCheckTimeout)
	if err == nil {
		_ = conn.Close() // only whether it opens was asked
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.RecordLoss(now, t.Server.Server, []crash.Fingerprint{fp})
	if c.cfg.OnStrike != nil {
		c.cfg.OnStrike(fp, t.Server)
	}
}

// Close waits for what is under way beside requests.
func (c *Sender) Close() { c.crashChecks.Wait() }

// shouldRetryFailure reports whether a whole answer is a failure that another try may mend.
func (c *Sender) shouldRetryFailure(x *Call, r Reply) bool {
	return r.Status >= 500 && x.Route.MayRepeat() && time.Until(x.Deadline) > minTimeLeft && x.SendCount < 2 && x.SendCount < max(2, x.Route.Attempts) && c.takeRetry(x.poolName)
}

// retryFailure returns the answer of a second try if r is a failure that it may mend and does, and r otherwise.
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

// secondServer returns the server for a second try: another one, or the owner once more for a key.
func (c *Sender) secondServer(now time.Time, x *Call, first *target) (*target, error) {
	w, _ := c.cfg.Snapshot()
	if p := w.Tables.Pool(x.poolName); p != nil && p.Keyed {
		c.mu.Lock()
		defer c.mu.Unlock()
		first.state.Start()
		return first, nil
	}
	x.tried[first.Server.Server] = true
	return c.waitForServer(now, x)
}

// mayRetry reports whether the request may be sent to a server once more after e.
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

// budgetShareUsed is the part of the shared budget that is used. The rest covers requests that go to another pool in one
// configuration than in the next, and instances that come and go.
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
