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

// stuck is an output that nobody reads until release is closed.
type stuck struct {
	bytes.Buffer
	release chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// Guards against a request that waits for the log, against an unbounded volume under a flood, and against lines that are
// left out without a word.
func TestQueue(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	q := events.NewQueue(out)
	begun := time.Now()
	const n = 20000
	for range n {
		if _, err := q.Write([]byte("event=refused\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("writers waited %v for an output that nobody reads", took)
	}
	close(out.release)
	q.Close()
	written, said := 0, 0
	for line := range strings.Lines(out.String()) {
		if _, count, ok := strings.Cut(strings.TrimSpace(line), "event=lines-left-out count="); ok {
			c, err := strconv.Atoi(count)
			if err != nil {
				t.Fatal(err)
			}
			said += c
		} else {
			written++
		}
	}
	// 2000 at once and 400 a second.
	if most := 2000 + int(400*time.Since(begun).Seconds()) + 1; written > most {
		t.Errorf("%d lines written, at most %d may be", written, most)
	}
	if said == 0 || written+said+int(q.Lost()) != n {
		t.Errorf("%d lines written, %d said to be left out, %d to be said, of %d", written, said, q.Lost(), n)
	}
}

// Guards against a panic at the end of a process: a request that was cut off writes its line after the queue was closed.
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
	if q.Lost() == 0 {
		t.Error("lines after the end are not counted")
	}
}
