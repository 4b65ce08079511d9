package sender

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/region"
	"github.com/bramleycove/bramleycove/internal/flow/room"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

const (
	// shortRetryAfter is about the time in which a queue of a few requests shrinks.
	shortRetryAfter = 250 * time.Millisecond
	// stopRetryAfter is short since other instances serve the caller at once.
	stopRetryAfter = 50 * time.Millisecond
	// ownerRetryAfter is about the time in which a key gets its next owner.
	ownerRetryAfter = 500 * time.Millisecond
)

// errServersFull says that each usable server has as many requests as it has room for.
var errServersFull = errors.New("servers are full")

const (
	// A request waits for a permit for its target latency divided by permitWaitDivisor at most, so that a refused caller has time to
	// retry.
	permitWaitDivisor = 8
	// maxPermitWait bounds that wait, also for routes without a target latency.
	maxPermitWait = 150 * time.Millisecond
	// roomInterval is how often a queue is checked for room that time alone has freed, and for requests that wait in vain.
	roomInterval = 15 * time.Millisecond
	// maxRoomUnused is how long a queue is kept without answers.
	maxRoomUnused = time.Minute
)

// isUrgent reports whether the request may use the room kept for urgent ones.
func (x *Call) isUrgent() bool { return x.Route.Priority == 0 || x.due }

// roomKey names the servers that make room for each other's requests: those of a pool, or one server of a keyed pool.
type roomKey struct{ pool, server string }

// queue holds the requests that wait for room. mu is locked before Sender.mu.
type queue struct {
	roomKey
	mu sync.Mutex
	*room.Room[*waiting]
	ticking bool
	usedAt  atomic.Int64 // nanoseconds of Unix time
}

// waiting is a request in a queue. Its outcome is sent once.
type waiting struct {
	*Call
	outcome chan offer
}

// offer ends a wait: with a server, with an error, or with neither if the request has to be looked at anew.
type offer struct {
	t   *target
	err error
}

// queues holds the queues of a Sender.
type queues struct {
	mu    sync.RWMutex
	byKey map[roomKey]*queue
	// count is the number of requests that wait in all queues.
	count atomic.Int32
}

// waitForServer returns the server for the next attempt. While the servers are full, the request waits in their queue or is refused;
// while they are at their limits, it waits for up to maxPermitWait.
func (c *Sender) waitForServer(now time.Time, x *Call) (*target, error) {
	wait := maxPermitWait
	if x.Route.Target > 0 {
		wait = min(wait, x.Route.Target/permitWaitDivisor)
	}
	until := x.ReceivedAt.Add(wait)
	for {
		x.waited = false
		if c.queues.count.Load() > 0 {
			c.letWaitingPass(now, x)
		}
		t, err := c.chooseServer(now, x)
		if err == errServersFull { //nolint:errorlint // a sentinel of this package, never wrapped
			if t, err = c.waitForRoom(now, x); t == nil && err == nil {
				now = time.Now()
				continue
			}
		}
		if err == nil && c.takePermit(now, x, t) {
			return t, nil
		}
		now = time.Now()
		if err == nil {
			continue // this server is left out or waited for from now on
		}
		denied := new(deniedError)
		if !errors.As(err, &denied) {
			return nil, err
		}
		if denied.until.After(until) || x.CallerCtx.Err() != nil {
			return nil, c.limitRefusal(now, denied)
		}
		time.Sleep(denied.until.Sub(now))
		now = time.Now()
	}
}

// waitForRoom lets a request wait in its queue if that is worth while. It returns neither a server nor an error if the request may be
// sent elsewhere by now.
func (c *Sender) waitForRoom(now time.Time, x *Call) (*target, error) {
	if x.CallerCtx.Err() != nil {
		return nil, work.NewRefusal(ReasonCancelled, shortRetryAfter)
	}
	q, known := c.queueOf(x)
	if !known {
		return nil, nil //nolint:nilnil // as documented
	}
	r := c.roomRequest(x)
	q.mu.Lock()
	v := q.Worth(now, r)
	if !v.Wait {
		q.mu.Unlock()
		return nil, work.NewRefusal(ReasonServerBusy, v.RetryAfter)
	}
	w := &room.Waiter[*waiting]{Request: r, Value: &waiting{x, make(chan offer, 1)}}
	q.Join(now, w)
	c.queues.count.Add(1)
	c.fill(now, q) // room may have freed up since the request found none
	if !q.ticking {
		q.ticking = true
		time.AfterFunc(roomInterval, func() { c.tick(q) })
	}
	q.mu.Unlock()
	defer func() { x.RoomWait += time.Since(now) }()
	select {
	case o := <-w.Value.outcome:
		return o.t, o.err
	case <-x.CallerCtx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case o := <-w.Value.outcome:
		return o.t, o.err
	default:
	}
	q.Leave(w)
	c.queues.count.Add(-1)
	return nil, work.NewRefusal(ReasonCancelled, shortRetryAfter)
}

// tick fills a queue until nobody waits in it.
func (c *Sender) tick(q *queue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c.fill(time.Now(), q)
	if q.ticking = q.Len() > 0; q.ticking {
		time.AfterFunc(roomInterval, func() { c.tick(q) })
	}
}

// fill refuses the requests that wait in vain and sends those for which there is room. q.mu is held.
func (c *Sender) fill(now time.Time, q *queue) {
	q.usedAt.Store(now.UnixNano())
	for _, w := range q.Hopeless(now) {
		q.Leave(w)
		c.endWait(w.Value, offer{err: work.NewRefusal(ReasonServerBusy, q.Refuse(now, w.Request))})
	}
	q.Fill(now, func(w *room.Waiter[*waiting]) room.Turn {
		x := w.Value.Call
		if c.mayBeCut(now, x.Deadline) {
			c.endWait(w.Value, offer{err: work.NewRefusal(ReasonStopping, stopRetryAfter)})
			return room.Gone
		}
		x.due = w.Due()
		t, err := c.tryServer(now, q, x)
		x.due = false
		if err == errServersFull { //nolint:errorlint // as above
			return room.Full
		}
		x.waited = t != nil
		c.endWait(w.Value, offer{t, err})
		if t == nil {
			return room.Gone
		}
		return room.Sent
	})
}

func (c *Sender) endWait(w *waiting, o offer) {
	c.queues.count.Add(-1)
	w.outcome <- o
}

// tryServer is chooseServer without a wait. It returns neither a server nor an error if the key's owner has changed or has to be
// waited for.
func (c *Sender) tryServer(now time.Time, q *queue, x *Call) (*target, error) {
	if q.server == "" {
		return c.chooseServer(now, x)
	}
	w, _ := c.cfg.Snapshot()
	s, fence := ownerOf(w, x)
	if s == nil || s.Server != q.server || x.tried[ownershipID(s, fence)] || c.leftOwnership(now, w, s) {
		return nil, nil //nolint:nilnil // as documented
	}
	return c.ownerTarget(now, x, s, fence)
}

// ownerOf returns the server that holds the key of x and the fence, or nil if there is none or the key moves.
func ownerOf(w *topo.Snapshot, x *Call) (s *topo.Server, fence uint64) {
	n, err := strconv.ParseUint(x.Key, 10, 16)
	if err != nil {
		return nil, 0
	}
	span := w.Owners[x.poolName].Find(uint16(n))
	if span == nil || w.MovingRangeOf(x.poolName, uint16(n)) != nil {
		return nil, 0
	}
	if s = w.Servers[span.Server]; s == nil || s.Owner != span.Owner {
		return nil, 0
	}
	return s, span.Fence
}

// letWaitingPass sends the requests that wait for the servers of x, unless x goes before them.
func (c *Sender) letWaitingPass(now time.Time, x *Call) {
	if w, _ := c.cfg.Snapshot(); w.Tables == nil {
		return
	}
	q, known := c.queueOf(x)
	if !known {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.Len() > 0 && !q.Before(now, c.roomRequest(x)) {
		c.fill(now, q)
	}
}

// recordRoom records the end of an attempt, which may have made room. No lock is held.
func (c *Sender) recordRoom(now time.Time, x *Call, t *target, out limit.Outcome, took time.Duration) {
	key := roomKey{pool: x.poolName}
	if t.ownershipID != "" {
		key.server = t.Server.Server
	}
	q := c.queue(key)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.usedAt.Store(now.UnixNano())
	if out != limit.Neutral {
		q.Observe(now, room.Answer{Request: x.plainRequest(), Place: t.Server.DC, Took: took, OK: out == limit.Done})
	}
	if q.Len() > 0 {
		c.fill(now, q)
	}
}

// plainRequest describes x to its queue, without the servers that it may use.
func (x *Call) plainRequest() room.Request {
	r := room.Request{
		Route: x.Route.Name, Priority: x.Route.Priority, ReceivedAt: x.ReceivedAt, Deadline: x.Deadline, Target: x.Route.Target,
		Sends: x.SendCount, Waited: x.waited,
	}
	if x.serverFull {
		r.Sends = max(1, r.Sends)
	}
	return r
}

func (c *Sender) roomRequest(x *Call) room.Request {
	r := x.plainRequest()
	w, _ := c.cfg.Snapshot()
	if regions := region.OfRequest(w, x.Route, x.Host, x.URI); len(regions) > 0 {
		r.MayUse = func(dc string) bool { return region.Allows(regions, c.cfg.Location, dc) }
	}
	return r
}

// queueOf returns the queue of the servers that x may be sent to. known is false if the key of x has no owner at the moment.
func (c *Sender) queueOf(x *Call) (q *queue, known bool) {
	w, _ := c.cfg.Snapshot()
	key := roomKey{pool: x.poolName}
	known = true
	if p := w.Tables.Pool(x.poolName); p != nil && p.Keyed {
		s, _ := ownerOf(w, x)
		if known = s != nil; known {
			key.server = s.Server
		}
	}
	return c.queue(key), known
}

// queue returns the queue with a key. It drops others that are no longer used when it makes a new one.
func (c *Sender) queue(key roomKey) *queue {
	c.queues.mu.RLock()
	q := c.queues.byKey[key]
	c.queues.mu.RUnlock()
	if q != nil {
		return q
	}
	c.queues.mu.Lock()
	defer c.queues.mu.Unlock()
	if q = c.queues.byKey[key]; q != nil {
		return q
	}
	now := time.Now()
	for k, old := range c.queues.byKey {
		if now.UnixNano()-old.usedAt.Load() > int64(maxRoomUnused) {
			delete(c.queues.byKey, k)
		}
	}
	q = &queue{roomKey: key, Room: room.New[*waiting](rand.New(rand.NewPCG(uint64(now.UnixNano()), c.seed)))}
	q.usedAt.Store(now.UnixNano())
	c.queues.byKey[key] = q
	return q
}

// jitter returns 0.5 to 1.5 times d, so that callers refused together do not retry together. c.mu is held.
func (c *Sender) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rnd.Int64N(int64(d)))
}

// busyRefusal returns the error for a request whose only server is full.
func (c *Sender) busyRefusal(now time.Time, x *Call) error {
	q, _ := c.queueOf(x)
	q.mu.Lock()
	defer q.mu.Unlock()
	return work.NewRefusal(ReasonServerBusy, q.Refuse(now, c.roomRequest(x)))
}
