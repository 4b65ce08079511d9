package work

import (
	"net"
	"sync"
	"time"
)

// watchInterval is the interval between two looks at a caller's connection. Most requests end before the first.
const watchInterval = 100 * time.Millisecond

// WatchClose calls gone once when the remote side of c closes it, and looks for that only until stop is called. The HTTP
// server reads nothing from the connection while a request is being handled, so it does not notice by itself. gone is
// not called after stop has returned.
func WatchClose(c net.Conn, onClose func()) (stop func()) {
	var (
		mu    sync.Mutex
		done  bool
		timer *time.Timer
	)
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(watchInterval, func() {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case done:
		case IsClosed(c):
			done = true
			onClose()
		default:
			timer.Reset(watchInterval)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		done = true
		timer.Stop()
	}
}
