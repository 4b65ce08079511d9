// Package sender sends requests to backend servers: it chooses a server, sends, classifies the answer, and retries where
// the route and the shared retry budget permit. The route alone decides whether a request is repeatable.
package sender

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/load"
	"github.com/bramleycove/bramleycove/internal/flow/losses"
	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/retry"
	"github.com/bramleycove/bramleycove/internal/flow/window"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/alive"
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
	ReasonServerCold    = "server-cold"     // the servers are cold and get as many requests as they take
	ReasonAskedAway     = "asked-away"      // the servers have asked this instance to send nothing for a while
	ReasonRegion        = "region"          // no usable server is in a region where the route is allowed
	ReasonConnectFailed = "server-connect"  // could not connect to the server
	ReasonQuarantine    = "quarantine"      // the request has crashed servers
	ReasonBadKey        = "bad-key"         // the pool is keyed, the key missing or invalid
	ReasonServerLost    = "server-lost"     // the connection broke, and the request may have run
	ReasonAnswerCut     = "answer-cut"      // the answer was incomplete, malformed, without valid status or to another request
	ReasonTimeout       = "server-timeout"  // no complete answer before the deadline
	ReasonCancelled     = "cancelled"       // the caller closed its connection
	ReasonUnsigned      = "answer-unsigned" // a success without the server's signature
	ReasonUnclear       = "answer-unclear"  // the answer leaves open whether the request ran, and its status would say that it did not
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

// Reply is a decoded answer of a server. Unclear tells that it must not reach the caller, whom its status would tell something about
// whether the request ran that the server has not said. Signed tells that it has the server's signature, Leaving that the server is
// leaving. Away is how long the server asks to get nothing, 0 if it does not.
type Reply struct {
	work.Answer
	Refusal         Refusal
	Unclear         bool
	Signed, Leaving bool
	Away            time.Duration
	// Limit is the rate of requests that the server takes from all instances together, if the answer names one.
	Limit quota.Named
	// Load is what the server reports of its load, if HasLoad is set.
	Load    load.Report
	HasLoad bool
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
	// DrainTime is how long a server that says that it leaves may still get requests.
	DrainTime time.Duration
	// Limits is where the limits that servers name are recorded. It may be nil.
	Limits *quota.Book
	// AskPermit asks to send a request of a rank to a server's incarnation that has named a limit. It may be nil.
	AskPermit func(now time.Time, incarnation string, rank int) quota.Decision
	// Identify asks at the address of a server who listens there. It may be nil.
	Identify func(ctx context.Context, s *topo.Server) alive.Evidence
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
	windows    map[windowKey]*window.Window
	lossChecks *losses.Checker
	stop       atomic.Pointer[stopTimes] // nil unless the instance stops
	queues     queues
	seed       uint64
	// sharedLatencies are the answer times by server that all instances saw, as of sharedAt.
	sharedLatencies map[string]time.Duration
	sharedAt        time.Time
}

// PoolKey is a key of a pool.
type PoolKey struct {
	Pool string
	Key  uint16
}

// New returns a sender without connections.
func New(instance string, cfg Config) *Sender {
	seed := xxhash.Sum64String(instance)
	if cfg.Limits == nil {
		cfg.Limits = new(quota.Book)
	}
	c := &Sender{
		cfg: cfg, rnd: rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano()))), servers: make(map[string]*serverState),
		budgets: make(map[string]*retry.Budget), crashes: crash.New(instance), keyLoads: make(map[PoolKey]int), windows: make(map[windowKey]*window.Window),
		queues: queues{byKey: make(map[roomKey]*queue)}, seed: seed,
	}
	c.lossChecks = losses.New(cfg.Snapshot, cfg.Identify, c.recordLoss)
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
	// RoomWait is how long the request has waited because the servers were full.
	RoomWait time.Duration

	poolName string
	tried    map[string]bool
	// serverFull tells that the last server tried was full.
	serverFull bool
	// loadCounted tells that the request was counted in its key's load.
	loadCounted bool
	// mayHaveRun tells that a server may have run the request.
	mayHaveRun bool
	// waited tells that the latest server was found after a wait for room, due that the request may use room of urgent ones.
	waited, due bool
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
