// Package losses finds out whether the process of a backend server has ended when a connection to it was lost.
package losses

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

const (
	// checkDelay is the time from a lost connection to the check of the server: a crashing process takes a moment to end.
	checkDelay = 30 * time.Millisecond
	// connectTimeout bounds the connection attempt of that check.
	connectTimeout = 300 * time.Millisecond
	// maxSuccessorWait is how long after a lost connection the registration of the next process may come: it is written with a
	// heartbeat, and reaches an instance within a second after that.
	maxSuccessorWait = 3 * time.Second
	// maxSuccessorWaits bounds the checks that wait for a registration: a faulty server may break connections at any rate.
	maxSuccessorWaits = 64
)

// Checker checks servers in the background. Its methods may be called by many goroutines.
type Checker struct {
	snapshot func() (*topo.Snapshot, <-chan struct{})
	onLoss   func(now time.Time, s *topo.Server, fp crash.Fingerprint)

	checks         conc.WaitGroup
	successorWaits atomic.Int64
	ctx            context.Context //nolint:containedctx // ends with Close
	stop           context.CancelFunc
}

// New returns a checker. snapshot returns the current snapshot and a channel that is closed when it changes. onLoss is called when
// the process of s has ended while it ran a request with the fingerprint fp.
func New(snapshot func() (*topo.Snapshot, <-chan struct{}), onLoss func(now time.Time, s *topo.Server, fp crash.Fingerprint)) *Checker {
	c := &Checker{snapshot: snapshot, onLoss: onLoss}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

// Begin checks s, to which pool has connections, after a request with the fingerprint fp lost its connection.
func (c *Checker) Begin(s *topo.Server, pool *conns.Pool, fp crash.Fingerprint) {
	c.checks.Go(func() {
		time.Sleep(checkDelay)
		if c.hasEnded(s, pool) {
			c.onLoss(time.Now(), s, fp)
		}
	})
}

// hasEnded reports whether the address of s accepts no connections, or the next process has registered there or under its id.
func (c *Checker) hasEnded(s *topo.Server, pool *conns.Pool) bool {
	conn, err := net.DialTimeout("tcp", s.Address.String(), connectTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close() // only tests whether it opens
	return !pool.HasOpen() && c.awaitSuccessor(s)
}

// awaitSuccessor reports whether the process after s is registered in time.
func (c *Checker) awaitSuccessor(s *topo.Server) bool {
	defer c.successorWaits.Add(-1)
	if c.successorWaits.Add(1) > maxSuccessorWaits {
		return false
	}
	t := time.NewTimer(maxSuccessorWait)
	defer t.Stop()
	for {
		w, changed := c.snapshot()
		if w.HasSuccessor(s) {
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
