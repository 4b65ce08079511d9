package work

import (
	"net"
	"sync"
	"time"
)

// watchInterval is the interval between checks of a caller's connection. Most requests end before the first one.
const watchInterval = 100 * time.Millisecond

// WatchClose calls onClose once if the remote side closes c before stop is called. The HTTP server doesn't read from the
// connection while it handles a request, so it wouldn't notice. onClose is not called after stop has returned.
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
