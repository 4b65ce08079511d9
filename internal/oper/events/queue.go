package events

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader of the output.
	maxQueuedLines = 4096
	// linesPerSecond and lineBurst bound the volume under overload, when each refused request writes a line.
	linesPerSecond = 400
	lineBurst      = 2000
)

// Queue is a writer that never blocks its callers. It drops and counts lines beyond a rate or while the queue is full. It
// may be used by many goroutines.
type Queue struct {
	out          io.Writer
	lines        chan []byte
	stopped      chan struct{}
	droppedCount atomic.Int64

	sendMu   sync.RWMutex // held for reading during a send to lines
	isClosed bool

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// NewQueue returns a queue that writes to out. Close writes the queued lines and ends its goroutine.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, maxQueuedLines), stopped: make(chan struct{}), tokens: lineBurst}
	go q.run()
	return q
}

// Write queues one line or drops it. It never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.allow(time.Now()) {
		q.droppedCount.Add(1)
		return len(line), nil
	}
	q.sendMu.RLock()
	defer q.sendMu.RUnlock()
	if q.isClosed {
		q.droppedCount.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.droppedCount.Add(1)
	}
	return len(line), nil
}

// allow takes a token from the token bucket and reports whether there was one.
func (q *Queue) allow(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.lastRefill.IsZero() {
		q.tokens = min(lineBurst, q.tokens+now.Sub(q.lastRefill).Seconds()*linesPerSecond)
	}
	q.lastRefill = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func (q *Queue) run() {
	defer close(q.stopped)
	for line := range q.lines {
		if n := q.droppedCount.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(q.out, "level=warn event=lines-left-out count=%d\n", n) // there is nowhere to report the error
		}
		_, _ = q.out.Write(line) // as above
	}
}

// DroppedCount returns the number of dropped lines not yet reported by a lines-left-out event.
func (q *Queue) DroppedCount() int64 { return q.droppedCount.Load() }

// Close writes the queued lines. Later lines are dropped: requests cut off at the end of the grace period may still write.
func (q *Queue) Close() {
	q.sendMu.Lock()
	q.isClosed = true
	q.sendMu.Unlock()
	close(q.lines)
	<-q.stopped
}
