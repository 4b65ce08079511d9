package sender

import (
	"net"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
)

const (
	// crashCheckDelay is the time from a lost connection to the check of the server: a crashing process takes a moment to end.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt of that check.
	crashCheckTimeout = 300 * time.Millisecond
	// maxSuccessorWait is how long after a lost connection the registration of the next process may come: it is written with a
	// heartbeat, and reaches an instance within a second after that.
	maxSuccessorWait = 3 * time.Second
	// maxSuccessorWaits bounds the checks that wait for a registration: a faulty server may break connections at any rate.
	maxSuccessorWaits = 64
)

// checkCrash adds a strike to a request that lost its connection if the server's process has ended: its address accepts no
// connections, or the next process has registered there or under its id.
func (c *Sender) checkCrash(t *target, fp crash.Fingerprint) {
	time.Sleep(crashCheckDelay)
	conn, err := net.DialTimeout("tcp", t.Address.String(), crashCheckTimeout)
	if err == nil {
		_ = conn.Close() // only tests whether it opens
		if t.state.pool.HasOpen() || !c.awaitSuccessor(t) {
			return
		}
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes.RecordLoss(now, t.Server.Incarnation(), []crash.Fingerprint{fp})
	if c.cfg.OnStrike != nil {
		c.cfg.OnStrike(fp, t.Server)
	}
}

// awaitSuccessor reports whether the process after that of t is registered in time.
func (c *Sender) awaitSuccessor(t *target) bool {
	if c.successorWaits.Add(1) > maxSuccessorWaits {
		c.successorWaits.Add(-1)
		return false
	}
	defer c.successorWaits.Add(-1)
	for until := time.Now().Add(maxSuccessorWait); ; {
		w, changed := c.cfg.Snapshot()
		if w.HasSuccessor(t.Server) {
			return true
		}
		if !waitForChange(c.closing, changed, until) {
			return false
		}
	}
}

// Close waits for the crash checks in progress. It closes no connections.
func (c *Sender) Close() {
	c.stopChecks()
	c.crashChecks.Wait()
}
