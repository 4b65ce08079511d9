package events

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines wait for a slow reader of the output.
	queueLines = 4096
	// linesPerSecond and lineBurst bound the volume under load: a flood of refusals writes a line for each.
	linesPerSecond = 400
	lineBurst      = 2000
)

// Queue is a writer that never makes its caller wait: lines beyond a rate, or beyond what a slow reader takes, are left
// out and counted. It may be used by many goroutines.
type Queue struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	lost  atomic.Int64

	sending sync.RWMutex // held for reading during a send to lines
	ended   bool

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewQueue returns a queue that writes to out. Close writes what waits and ends its goroutine.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), tokens: lineBurst}
	go q.run()
	return q
}

// Write takes one line. It always succeeds.
func (q *Queue) Write(line []byte) (int, error) {
	if !q.take(time.Now()) {
		q.lost.Add(1)
		return len(line), nil
	}
	q.sending.RLock()
	defer q.sending.RUnlock()
	if q.ended {
		q.lost.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

// take spends one line of the rate.
func (q *Queue) take(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.last.IsZero() {
		q.tokens = min(lineBurst, q.tokens+now.Sub(q.last).Seconds()*linesPerSecond)
	}
	q.last = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if n := q.lost.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(q.out, "level=warn event=lines-left-out count=%d\n", n) // there is nowhere to say so
		}
		_, _ = q.out.Write(line) // as above
	}
}

// Lost returns the number of lines left out since the last line that said so.
func (q *Queue) Lost() int64 { return q.lost.Load() }

// Close writes the lines that wait. Later ones are left out: requests that were cut off at the end of the grace may still
// write.
func (q *Queue) Close() {
	q.sending.Lock()
	q.ended = true
	q.sending.Unlock()
	close(q.lines)
	<-q.done
}
