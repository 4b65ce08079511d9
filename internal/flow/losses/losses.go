// Package losses finds out whether the process of a backend server has ended when connections to it were lost.
package losses

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

const (
	// checkDelay is the time from a lost connection to the check of the server: a crashing process takes a moment to end.
	checkDelay = 30 * time.Millisecond
	// askTimeout bounds the call that asks who listens at the address. It reaches servers in other regions.
	askTimeout = 300 * time.Millisecond
	// maxEntryWait is how long after a lost connection the registrations may show the end of the process: a server writes with each
	// heartbeat, and its entry expires after three without one.
	maxEntryWait = 3 * time.Second
	// maxEntryWaits bounds the checks that wait for registrations.
	maxEntryWaits = 64
)

// Checker checks servers in the background. Its methods may be called by many goroutines.
type Checker struct {
	snapshot func() (*topo.Snapshot, <-chan struct{})
	identify func(ctx context.Context, s *topo.Server) alive.Evidence
	onLoss   func(now time.Time, s *topo.Server, fp crash.Fingerprint)

	checks     conc.WaitGroup
	entryWaits atomic.Int64
	ctx        context.Context //nolint:containedctx // ends with Close
	stop       context.CancelFunc

	mu sync.Mutex
	// lost holds the requests that lost their connections to a process that is being checked, by its incarnation.
	lost map[string][]crash.Fingerprint
}

// New returns a checker. snapshot returns the current snapshot and a channel that is closed when it changes. identify asks at the address
// of s who listens there, and returns what the answer shows of its process; nil means that only a connection is opened. onLoss is
// called when the process of s has ended while it ran a request with the fingerprint fp.
func New(snapshot func() (*topo.Snapshot, <-chan struct{}), identify func(ctx context.Context, s *topo.Server) alive.Evidence, onLoss func(now time.Time, s *topo.Server, fp crash.Fingerprint)) *Checker {
	c := &Checker{snapshot: snapshot, identify: identify, onLoss: onLoss, lost: make(map[string][]crash.Fingerprint)}
	if identify == nil {
		c.identify = Connect
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// Connect opens a connection to the address of s, which shows only whether it refuses connections.
func Connect(ctx context.Context, s *topo.Server) alive.Evidence {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", s.Address.String())
	if err == nil {
		_ = conn.Close() // only tests whether it opens
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return alive.Refused
	}
	return alive.NoAnswer
}

// Begin checks s, to which pool has connections, after a request with the fingerprint fp lost its connection. A process has one check at
// a time: a faulty server may break connections at any rate.
func (c *Checker) Begin(s *topo.Server, pool *conns.Pool, fp crash.Fingerprint) {
	id := s.Incarnation()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[id] = append(c.lost[id], fp)
	if len(c.lost[id]) == 1 {
		c.checks.Go(func() { c.check(s, pool) })
	}
}

// check checks s until no request has lost its connection since the last time, or its process has ended.
func (c *Checker) check(s *topo.Server, pool *conns.Pool) {
	id := s.Incarnation()
	for {
		time.Sleep(checkDelay)
		c.mu.Lock()
		n := len(c.lost[id])
		c.mu.Unlock()
		ended := c.hasEnded(s, pool)
		c.mu.Lock()
		lost := c.lost[id]
		if ended || len(lost) == n {
			delete(c.lost, id)
		} else {
			c.lost[id] = lost[n:]
		}
		c.mu.Unlock()
		switch {
		case ended:
			for _, fp := range lost {
				c.onLoss(time.Now(), s, fp)
			}
			return
		case len(lost) == n:
			return
		}
	}
}

// hasEnded reports whether the process of s has ended. It has if another process answers at its address, or if nobody listens there and
// it has left no connection open, which a device on the path that refuses connections does not bring about. If nothing tells
// who listens, its registration decides. What is registered under other ids counts for nothing.
func (c *Checker) hasEnded(s *topo.Server, pool *conns.Pool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	switch e := c.identify(ctx, s); {
	case e.Proves() == alive.Ended:
		return true
	case pool.HasOpen():
		return false
	case e == alive.Refused:
		return true
	case e == alive.Named:
		return c.awaitEntry(s, alive.EntryNewer)
	}
	return c.awaitEntry(s, alive.EntryNewer, alive.EntryGone)
}

// awaitEntry reports whether the registration of s shows one of the given kinds of evidence in time.
func (c *Checker) awaitEntry(s *topo.Server, want ...alive.Evidence) bool {
	defer c.entryWaits.Add(-1)
	if c.entryWaits.Add(1) > maxEntryWaits {
		return false
	}
	t := time.NewTimer(maxEntryWait)
	defer t.Stop()
	for {
		w, changed := c.snapshot()
		if slices.Contains(want, topo.Evidence(w.Servers, s.Owner)) {
			return true
		}
		select {
		case <-changed:
		case <-t.C:
			return false
		case <-c.ctx.Done():
			return false
		}
	}
}

// Close ends waits for registrations and waits for the checks in progress.
func (c *Checker) Close() {
	c.stop()
	c.checks.Wait()
}
