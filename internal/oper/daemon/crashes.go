package daemon

import (
	"encoding/hex"
	"sync"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// strikeShareTime is how long a strike is sent to other instances: a few heartbeats.
const strikeShareTime = 3 * time.Second

// crashTracker wraps crash.Tracker for concurrent use and logs strikes.
type crashTracker struct {
	mu      sync.Mutex
	tracker *crash.Tracker
	log     *events.Logger
}

func newCrashTracker(instance string, log *events.Logger) *crashTracker {
	return &crashTracker{tracker: crash.New(instance), log: log}
}

// admit reports whether a request must run alone. wait is how long it stays refused, 0 if it may run.
func (c *crashTracker) admit(now time.Time, fp [16]byte) (alone bool, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decision, left := c.tracker.Admit(now, fp)
	switch decision {
	case crash.Refuse:
		return false, left
	case crash.AllowAlone, crash.AllowTrial:
		return true, 0
	default:
		return false, 0
	}
}

func (c *crashTracker) quarantineLeft(now time.Time, fp [16]byte) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.QuarantineLeft(now, fp)
}

func (c *crashTracker) recordLoss(now time.Time, server string, fp [16]byte) {
	c.mu.Lock()
	c.tracker.RecordLoss(now, server, []crash.Fingerprint{fp})
	wait, refused := c.tracker.QuarantineLeft(now, fp)
	c.mu.Unlock()
	c.log.Warn("strike", "server", server, "fingerprint", hex.EncodeToString(fp[:]))
	if refused {
		c.log.Warn("quarantined", "fingerprint", hex.EncodeToString(fp[:]), "for", wait)
	}
}

func (c *crashTracker) quarantineCount(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.QuarantineCount(now)
}

func (c *crashTracker) recordSuccess(now time.Time, fp [16]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.RecordSuccess(now, fp)
}

func (c *crashTracker) recentStrikes(now time.Time) []*peerpb.Strike {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*peerpb.Strike
	for _, s := range c.tracker.RecentStrikes(now, strikeShareTime) {
		out = append(out, encodeStrike(s))
	}
	return out
}

func (c *crashTracker) mergeStrikes(now time.Time, list []*peerpb.Strike) {
	var in []crash.Strike
	for _, m := range list {
		if s, ok := decodeStrike(m); ok {
			in = append(in, s)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Merge(now, in)
}
