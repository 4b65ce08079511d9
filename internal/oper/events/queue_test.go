package events_test

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/events"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// Guards against requests that wait for the log, against unbounded volume under overload, and against dropped lines that
// are not counted.
func TestQueue(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	q := events.NewQueue(out)
	start := time.Now()
	const n = 20000
	for range n {
		if _, err := q.Write([]byte("event=refused\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("writers waited %v for a blocked output", took)
	}
	close(out.release)
	q.Close()
	writtenCount, reportedCount := 0, 0
	for line := range strings.Lines(out.String()) {
		if _, count, ok := strings.Cut(strings.TrimSpace(line), "event=lines-left-out count="); ok {
			c, err := strconv.Atoi(count)
			if err != nil {
				t.Fatal(err)
			}
			reportedCount += c
		} else {
			writtenCount++
		}
	}
	// A burst of 2000 and then 400 a second.
	if limit := 2000 + int(400*time.Since(start).Seconds()) + 1; writtenCount > limit {
		t.Errorf("%d lines written, at most %d are allowed", writtenCount, limit)
	}
	if reportedCount == 0 || writtenCount+reportedCount+int(q.DroppedCount()) != n {
		t.Errorf("%d lines written, %d reported as dropped, %d dropped and not yet reported, of %d", writtenCount, reportedCount, q.DroppedCount(), n)
	}
}

// Guards against a panic at the end of a process, when a request that was cut off writes a line to the closed queue.
func TestQueueClosed(t *testing.T) {
	q := events.NewQueue(new(bytes.Buffer))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = q.Write([]byte("event=request\n"))
				}
			}
		})
	}
	time.Sleep(5 * time.Millisecond)
	q.Close()
	time.Sleep(5 * time.Millisecond)
	close(stop)
	wg.Wait()
	if q.DroppedCount() == 0 {
		t.Error("lines written after Close are not counted as dropped")
	}
}
