// Package carry takes a request to backend servers: it chooses one, sends, judges the answer, and sends once more where
// the route's kind and the shared budget permit. What may be repeated follows from the route alone.
package carry

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
	ReasonPool      = "no-server"       // no server of the pool can be used
	ReasonOwner     = "no-owner"        // no server holds the key at the moment
	ReasonMoving    = "key-moving"      // the key did not reach its next owner in time
	ReasonBusy      = "server-busy"     // the servers refused
	ReasonConnect   = "server-connect"  // no connection to the server
	ReasonCrash     = "quarantine"      // the request has crashed servers
	ReasonKey       = "bad-key"         // a keyed pool and no usable key
	ReasonLost      = "server-lost"     // the connection broke, and the request may have run
	ReasonCut       = "answer-cut"      // the answer was not whole, or not to this request
	ReasonTimeout   = "server-timeout"  // no whole answer in time
	ReasonCancelled = "cancelled"       // the caller has left
	ReasonUnsigned  = "answer-unsigned" // a success without the server's signature
	ReasonLate      = "no-time-left"    // too late to send
)

// Refusal says why a server did not run a request.
type Refusal uint8

// Refusals.
const (
	Accepted Refusal = iota
	Busy
	NotOwner // another server, or one that does not hold the key
)

// Reply is a decoded answer of a server. Signed tells that it bears the server's signature.
type Reply struct {
	work.Answer
	Refused         Refusal
	Signed, Leaving bool
}

// Config holds the seams of a Carrier. All fields are set.
type Config struct {
	Place topo.Location
	// World returns what is known now, and a channel that is closed when that changes.
	World func() (*topo.Snapshot, <-chan struct{})
	// Instances returns how many instances share the servers, at least 1.
	Instances func() int
	Write     func(h *fasthttp.Request, r *work.Request, server string, left time.Duration)
	Read      func(h *fasthttp.Response) Reply
	Options   conns.Options
	// RetryRatio and RetrySlack are the budget of second sends of all instances: a part of the first ones, and a number beside.
	RetryRatio, RetrySlack float64
	// Attempt is called after each send, for logs. It may be nil.
	// Struck is called when a request seems to have crashed a server. It may be nil.
	Struck  func(fp crash.Fingerprint, s *topo.Server)
	Attempt func(r *work.Request, s *topo.Server, out limit.Outcome, took time.Duration, cause error)
}

// Carrier sends requests. It may be used by many goroutines.
type Carrier struct {
	cfg Config

	mu      sync.Mutex
	rnd     *rand.Rand
	servers map[string]*server
	budgets map[string]*retry.Budget
	strikes *crash.Tracker
	loads   map[Key]int
	checks  conc.WaitGroup
}

// Key is a key of a pool.
type Key struct {
	Pool string
	Key  uint16
}

// server is the state of one incarnation of a backend server.
type server struct {
	pick.ServerStats
	pool *conns.Pool
	addr netip.AddrPort
	used time.Time
}

// New returns a carrier without connections.
func New(instance string, cfg Config) *Carrier {
	seed := xxhash.Sum64String(instance)
	return &Carrier{
		cfg: cfg, rnd: rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))), servers: make(map[string]*server),
		budgets: make(map[string]*retry.Budget), strikes: crash.New(instance), loads: make(map[Key]int),
	}
}

// Call is one request on its way.
type Call struct {
	*work.Request
	Route *tables.Route
	// Gone ends when the caller leaves.
	Gone context.Context //nolint:containedctx // lives as long as the call
	// Begun is when the request came in.
	Begun time.Time
	// Sends is how often a server may have got the request so far, Waited the time before the first of these.
	Sends  int
	Waited time.Duration

	pool  string
	tried map[string]bool
	// full tells that the last server said that it is full.
	full bool
	// counted tells that the request is part of its key's load.
	counted bool
	// ran tells that a server may have begun to run the request.
	ran bool
}

const (
	// moveWait bounds how long a request waits for a key that changes hands: a release ends with the work in progress.
	moveWait = 400 * time.Millisecond
	// connectTries bounds servers tried that can't be reached: such a try costs time and reaches nobody.
	connectTries = 3
	// freshOnce is how long a connection may be idle for a request that must not run twice: a server may have dropped it
	// without notice, and the request would then be lost.
	freshOnce = 700 * time.Millisecond
	// settle is how long a new connection is watched at most before a request goes out on it, the way between regions and
	// back: servers reset those beyond their limit, and a request that was sent meanwhile may have run for all one knows.
	settle = 45 * time.Millisecond
	// leastTime is the time left below which no server is asked any more.
	leastTime = 20 * time.Millisecond
)

// Send runs a call. Errors are *result.Error.
func (c *Carrier) Send(now time.Time, x *Call) (work.Answer, error) {
	if wait, refused := c.refused(now, x); refused {
		return work.Answer{}, work.NewRefusal(ReasonCrash, wait)
	}
	x.pool = choosePool(x.Route, x.ID)
	x.tried = make(map[string]bool)
	c.earn(x.pool)
	var last *result.Error
	for connects := 0; ; {
		now = time.Now()
		if err := c.mayGoOn(now, x, last); err != nil {
			return work.Answer{}, err
		}
		s, err := c.next(now, x)
		if err != nil {
			return work.Answer{}, c.final(x, result.From(err))
		}
		reply, sent, err := c.try(x, s)
		if err == nil {
			return c.better(x, s, reply).Answer, nil
		}
		last = result.From(err)
		x.ran = x.ran || last.Verdict != result.NotRun
		switch {
		case sent && !c.mayRetry(x, last):
			return work.Answer{}, c.final(x, last)
		case !sent:
			if connects++; connects >= connectTries {
				return work.Answer{}, c.final(x, last)
			}
		}
	}
}

// final turns the failure of the last try into that of the request: one that may have run earlier is not called not run.
func (c *Carrier) final(x *Call, e *result.Error) *result.Error {
	if x.ran && e.Verdict == result.NotRun {
		return &result.Error{Verdict: result.MayHaveRun, Status: fasthttp.StatusBadGateway, Reason: e.Reason, Cause: e.Cause}
	}
	return e
}

// mayGoOn returns the final error if the request must not be sent any more.
func (c *Carrier) mayGoOn(now time.Time, x *Call, last *result.Error) error {
	reason := ReasonLate
	switch {
	case x.Gone.Err() != nil:
		reason = ReasonCancelled
	case x.Deadline.Sub(now) < leastTime:
	default:
		return nil
	}
	if last != nil {
		return c.final(x, last)
	}
	return c.final(x, work.NewRefusal(reason, shortWait))
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

func (c *Carrier) refused(now time.Time, x *Call) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.strikes.Refused(now, x.Fingerprint)
}

// Pauses that callers are told. A caller keeps to one of up to a third of the time it has left.
const (
	// shortWait is about the time in which a queue of a few requests shrinks.
	shortWait = 250 * time.Millisecond
	// busyWait spreads callers over the time in which a flood of a few seconds gets somewhat smaller; sooner they would
	// only be refused again.
	busyWait = 600 * time.Millisecond
	// ownerWait is about the time in which a key gets its next owner.
	ownerWait = 500 * time.Millisecond
)

// errFull says that each server that could run a request has as many as it is given.
var errFull = errors.New("servers are full")

const (
	// patience is the part of a request's objective that it waits for room at a server. A caller that is refused within
	// it has time to come back.
	patience = 8
	// longest bounds the wait of routes with a distant objective or none.
	longest = 150 * time.Millisecond
	// look is the interval at which a waiting request looks for room.
	look = 15 * time.Millisecond
)

// urgent reports whether the request has the highest priority.
func (x *Call) urgent() bool { return x.Route.Priority == 0 }

// next chooses the server for the next try. It waits a little while the servers are full.
func (c *Carrier) next(now time.Time, x *Call) (*target, error) {
	wait := longest
	if x.Route.Target > 0 {
		wait = min(wait, x.Route.Target/patience)
	}
	for {
		t, err := c.choose(now, x)
		if err != errFull { //nolint:errorlint // a mark of this package, never wrapped
			return t, err
		}
		if now.Sub(x.Begun) >= wait || x.Gone.Err() != nil {
			return nil, c.busy()
		}
		time.Sleep(look)
		now = time.Now()
	}
}

// choose returns a server with room, or errFull.
func (c *Carrier) choose(now time.Time, x *Call) (*target, error) {
	w, _ := c.cfg.World()
	if w.Tables == nil {
		return nil, work.NewRefusal(ReasonPool, ownerWait)
	}
	if p := w.Tables.Pool(x.pool); p != nil && p.Keyed {
		return c.owner(now, x)
	}
	servers := w.Pools[x.pool]
	c.mu.Lock()
	defer c.mu.Unlock()
	candidates := make([]pick.Candidate, 0, len(servers))
	for _, s := range servers {
		if !x.tried[s.Server] {
			candidates = append(candidates, pick.Candidate{ServerStats: &c.state(now, s).ServerStats, Server: s, Distance: c.cfg.Place.DistanceTo(s.DC)})
		}
	}
	i, full := pick.Choose(now, c.rnd, x.urgent(), candidates)
	if i < 0 && full {
		return nil, errFull
	}
	if i < 0 {
		return nil, work.NewRefusal(ReasonPool, c.jittered(shortWait))
	}
	t := &target{Server: candidates[i].Server, server: c.state(now, candidates[i].Server)}
	t.server.Start()
	return t, nil
}

// jittered spreads a pause, so that callers refused together do not return together.
func (c *Carrier) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rnd.Int64N(int64(d)))
}

// target is a server that was chosen for a try.
type target struct {
	*topo.Server
	server  *server
	tenancy string // of the key, if the server was chosen as its owner
}

// owner returns the server that holds the request's key. It waits while the key changes hands.
func (c *Carrier) owner(now time.Time, x *Call) (*target, error) {
	n, err := strconv.ParseUint(x.Key, 10, 16)
	if err != nil {
		return nil, &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusBadRequest, Reason: ReasonKey}
	}
	key := uint16(n)
	c.count(Key{x.pool, key}, x)
	until := now.Add(moveWait)
	if limit := x.Deadline.Add(-leastTime); limit.Before(until) {
		until = limit
	}
	for {
		w, changed := c.cfg.World()
		span, run := w.Owners[x.pool].Find(key), w.MovingRangeOf(x.pool, key)
		if run != nil && run.Until.After(until) {
			// Waiting would not help: the keys are served again when the holder's lease has ended.
			return nil, work.NewRefusal(ReasonMoving, run.Until.Sub(now))
		}
		if span != nil && run == nil {
			s := w.Servers[span.Server]
			usable := s != nil && s.Owner == span.Owner && !left(now, s)
			switch tried := usable && x.tried[tenancy(s, span.Fence)]; {
			case tried && x.full:
				// It holds the key and has no room for more; another owner is not to be expected.
				return nil, c.busy()
			case usable && !tried:
				return c.keyed(now, x, s, span.Fence)
			}
		}
		if !wait(x.Gone, changed, until) {
			reason := ReasonMoving
			if span == nil {
				reason = ReasonOwner
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			return nil, work.NewRefusal(reason, c.jittered(ownerWait))
		}
	}
}

// tenancy names the time in which a server holds a key with one fence.
func tenancy(s *topo.Server, fence uint64) string { return s.Server + strconv.FormatUint(fence, 10) }

// busy returns the refusal of a request whose servers are full.
func (c *Carrier) busy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return work.NewRefusal(ReasonBusy, c.jittered(busyWait))
}

// left reports whether a server leaves and its keys should have another owner by now. It gets no request 2.5 s after it
// said so, of which hearing of it takes up to 1.9 s while the leader is lost.
func left(now time.Time, s *topo.Server) bool {
	return s.Leaving && now.Sub(s.LeavingSince) > leaveTime
}

// leaveTime is how long requests for its keys go to a server that leaves, as far as this instance knows.
const leaveTime = 500 * time.Millisecond

// wait returns true when changed is closed, and false at until or when ctx ends.
func wait(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
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

// keyed returns the owner of a key if it can be reached.
func (c *Carrier) keyed(now time.Time, x *Call, s *topo.Server, fence uint64) (*target, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.state(now, s)
	if !st.Ready(now) {
		return nil, work.NewRefusal(ReasonOwner, c.jittered(ownerWait))
	}
	if !st.HasRoom(now, x.urgent()) {
		return nil, errFull
	}
	mark := tenancy(s, fence)
	x.tried[mark] = true
	st.Start()
	return &target{Server: s, server: st, tenancy: mark}, nil
}

// count notes the load of a key once for each request.
func (c *Carrier) count(k Key, x *Call) {
	if x.counted {
		return
	}
	x.counted = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[k]++
}

// state returns the state of a server. c.mu is held.
func (c *Carrier) state(now time.Time, s *topo.Server) *server {
	id := stateID(s)
	st := c.servers[id]
	if st == nil || st.addr != s.Address {
		st = &server{pool: conns.NewWith(s.Address, c.share(s), c.cfg.Options), addr: s.Address}
		c.servers[id] = st
	}
	st.used, st.Share = now, roomEach*float64(s.Slots)/float64(max(1, c.cfg.Instances()))
	return st
}

// stateID tells the lives of a server apart.
func stateID(s *topo.Server) string { return s.Server + "/" + strconv.FormatInt(s.StartMs, 36) }

// roomEach is how many requests a server has room for by its slots: one that runs and two that wait, which at usual answer
// times still meet their objective.
const roomEach = 3

// share returns how many connections to s this instance may open: an equal part of what the server accepts, with a
// fifth left for those that are being closed.
func (c *Carrier) share(s *topo.Server) int {
	w, _ := c.cfg.World()
	if w.Tables == nil {
		return s.Slots
	}
	p := w.Tables.Pool(s.Pool)
	if p == nil || p.Connections == 0 {
		return 2 * s.Slots
	}
	return max(2, p.Connections*4/5/max(1, c.cfg.Instances()))
}

// try sends the request once. sent tells whether the server may have got it.
func (c *Carrier) try(x *Call, t *target) (r Reply, sent bool, err error) {
	start := time.Now()
	if x.Sends == 0 {
		x.Waited = start.Sub(x.Begun)
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	defer cancel()
	idle := freshOnce
	if x.Route.Repeats() {
		// The work of a caller that has left stops; work that must not be repeated is brought to its end.
		defer context.AfterFunc(x.Gone, cancel)()
		idle = time.Hour
	}
	h, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(h)
	defer fasthttp.ReleaseResponse(resp)
	c.cfg.Write(h, x.Request, t.Server.Server, x.Deadline.Sub(start))
	sent, err = t.server.pool.DoWith(ctx, h, resp, conns.SendOptions{MaxIdle: idle, SettleTime: settle})
	now := time.Now()
	if err == nil {
		r = c.cfg.Read(resp)
	}
	out, verdict := judge(ctx, x, r, sent, err)
	if sent {
		x.Sends++
	}
	c.finish(now, x, t, out, now.Sub(start), r, sent, err)
	if c.cfg.Attempt != nil {
		c.cfg.Attempt(x.Request, t.Server, out, now.Sub(start), err)
	}
	return r, sent, verdict
}

// judge maps the end of a try to what it says of the server and to an error, nil for a whole answer.
func judge(ctx context.Context, x *Call, r Reply, sent bool, err error) (limit.Outcome, error) {
	fail := func(v result.Verdict, status int, reason string) error {
		return &result.Error{Verdict: v, Status: status, Reason: reason, RetryAfter: shortWait, Cause: err}
	}
	switch {
	case err == nil && r.Refused == Busy:
		return limit.Shed, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonBusy)
	case err == nil && r.Refused == NotOwner:
		return limit.Neutral, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonOwner)
	case err == nil && !r.Signed && r.Status < 300:
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonUnsigned)
	case err == nil:
		return limit.Done, nil
	case !sent && (errors.Is(err, conns.ErrReset) || errors.Is(err, syscall.ECONNRESET)):
		// A server whose queue is long resets new connections.
		return limit.Shed, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonBusy)
	case errors.Is(err, conns.ErrLimit):
		return limit.Neutral, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonBusy)
	case !sent && ctx.Err() == nil:
		return limit.Broken, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonConnect)
	case x.Gone.Err() != nil && ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		v := result.MayHaveRun
		if !sent {
			v = result.NotRun
		}
		return limit.Abandoned, fail(v, fasthttp.StatusServiceUnavailable, ReasonCancelled)
	case !sent:
		return limit.Timeout, fail(result.NotRun, fasthttp.StatusServiceUnavailable, ReasonConnect)
	case ctx.Err() != nil:
		return limit.Timeout, fail(result.MayHaveRun, fasthttp.StatusGatewayTimeout, ReasonTimeout)
	case errors.Is(err, conns.ErrTruncated), errors.Is(err, conns.ErrMismatch), errors.Is(err, conns.ErrNoLength):
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonCut)
	default:
		return limit.Broken, fail(result.MayHaveRun, fasthttp.StatusBadGateway, ReasonLost)
	}
}

// finish updates what is known of the server.
func (c *Carrier) finish(now time.Time, x *Call, t *target, out limit.Outcome, took time.Duration, r Reply, sent bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.server.Finish(now, out, took, x.Route.Target, r.Status >= 500)
	if out == limit.Broken && errors.Is(err, syscall.ECONNREFUSED) {
		t.server.RecordConnRefused(now)
	}
	switch {
	case out == limit.Done:
		c.strikes.Succeeded(now, x.Fingerprint)
	case sent && out == limit.Broken && !errors.Is(err, conns.ErrTruncated) && !errors.Is(err, conns.ErrMismatch):
		c.checks.Go(func() { c.checkCrash(t, x.Fingerprint) })
	}
	x.full = out == limit.Shed
	if r.Refused != NotOwner && out != limit.Done {
		x.tried[t.Server.Server] = true
	}
	if sent && out == limit.Broken && x.Route.Repeats() {
		// The connection was at fault, as far as is known; the owner of a key may answer over another one.
		delete(x.tried, t.tenancy)
	}
}

const (
	// crashDelay is how long after a lost connection a server is asked whether it is there: a process that crashes needs
	// a moment to end.
	crashDelay = 30 * time.Millisecond
	// crashTimeout bounds that question.
	crashTimeout = 300 * time.Millisecond
)

// checkCrash notes a strike against a request whose connection broke if its server accepts no connection any more.
func (c *Carrier) checkCrash(t *target, fp crash.Fingerprint) {
	time.Sleep(crashDelay)
	conn, err := net.DialTimeout("tcp", t.Address.String(), crashTimeout)
	if err == nil {
		_ = conn.Close() // only whether it opens was asked
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strikes.Lost(now, t.Server.Server, []crash.Fingerprint{fp})
	if c.cfg.Struck != nil {
		c.cfg.Struck(fp, t.Server)
	}
}

// Close waits for what is under way beside requests.
func (c *Carrier) Close() { c.checks.Wait() }

// again reports whether a whole answer is a failure that another try may mend.
func (c *Carrier) again(x *Call, r Reply) bool {
	return r.Status >= 500 && x.Route.Repeats() && time.Until(x.Deadline) > leastTime && x.Sends < 2 && x.Sends < max(2, x.Route.Attempts) && c.spend(x.pool)
}

// better returns the answer of a second try if r is a failure that it may mend and does, and r otherwise.
func (c *Carrier) better(x *Call, first *target, r Reply) Reply {
	if !c.again(x, r) {
		return r
	}
	t, err := c.other(time.Now(), x, first)
	if err != nil {
		return r
	}
	second, _, err := c.try(x, t)
	if err != nil || second.Status >= 500 {
		return r
	}
	return second
}

// other returns the server for a second try: another one, or the owner once more for a key.
func (c *Carrier) other(now time.Time, x *Call, first *target) (*target, error) {
	w, _ := c.cfg.World()
	if p := w.Tables.Pool(x.pool); p != nil && p.Keyed {
		c.mu.Lock()
		defer c.mu.Unlock()
		first.server.Start()
		return first, nil
	}
	x.tried[first.Server.Server] = true
	return c.next(now, x)
}

// mayRetry reports whether the request may be sent to a server once more after e.
func (c *Carrier) mayRetry(x *Call, e *result.Error) bool {
	if e.Verdict != result.NotRun && !x.Route.Repeats() {
		return false
	}
	if e.Reason == ReasonCancelled || e.Reason == ReasonTimeout {
		return false
	}
	return x.Sends < max(1, x.Route.Attempts) && c.spend(x.pool)
}

func (c *Carrier) budget(pool string) *retry.Budget {
	b := c.budgets[pool]
	if b == nil {
		n := float64(max(1, c.cfg.Instances()))
		b = &retry.Budget{Ratio: c.cfg.RetryRatio * budgetPart, Burst: max(1, c.cfg.RetrySlack*budgetPart/n)}
		c.budgets[pool] = b
	}
	return b
}

// budgetPart is the part of the shared budget that is used. The rest covers requests that go to another pool in one
// configuration than in the next, and instances that come and go.
const budgetPart = 0.7

func (c *Carrier) earn(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget(pool).Earn()
}

func (c *Carrier) spend(pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget(pool).Take()
}
