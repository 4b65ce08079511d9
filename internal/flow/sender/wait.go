package sender

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleycove/bramleycove/internal/flow/work"
)

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

// jitter returns 0.5 to 1.5 times d, so that callers refused together do not retry together. c.mu is held.
func (c *Sender) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rnd.Int64N(int64(d)))
}

// busyRefusal returns the error for a request whose servers are full.
func (c *Sender) busyRefusal() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return work.NewRefusal(ReasonServerBusy, c.jitter(busyRetryAfter))
}
