package relay_test

import (
	"testing"
	"time"
)

// Guards against configurations that are not in force because the log was restored from an older copy and gives offsets out again.
func TestLogRestored(t *testing.T) {
	const copied, applyTime = 6, 2500 * time.Millisecond
	var l memLog
	var n node
	last := publishVersions(&l, 0, 10)
	tail := runTail(t, &n, &l, nil)
	for begun := time.Now(); tail.Offset() < last; time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the log is not read")
		}
	}
	l.withLock(func() { l.recs = l.recs[:copied] })
	published := publishVersions(&l, copied, 2)
	inForce := func() uint64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.cfg.Version
	}
	for begun := time.Now(); inForce() != published; time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > applyTime {
			t.Fatalf("version %d is in force %v after version %d was published", inForce(), applyTime, published)
		}
	}
}
