package fleet

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/bramleycove/bramleycove/internal/stand/system"
)

// Load is a background load on a system. Each of its callers sends one request at a time.
type Load struct {
	stopping chan struct{}
	stopOnce sync.Once
	tasks    conc.WaitGroup
	sent     atomic.Int64

	mu      sync.Mutex
	answers []system.Answer
}

// callsPerSecond limits the calls of a Load. It is far below the capacity of a small system, so that concurrent tests
// do not starve each other.
const callsPerSecond = 300

// StartLoad starts callers. Together they send the calls next(1), next(2), ... to the instances in turn.
func StartLoad(sys *system.System, callers int, instances []string, next func(n int) system.Call) *Load {
	l := &Load{stopping: make(chan struct{})}
	limit := rate.NewLimiter(callsPerSecond, callers)
	for range callers {
		l.tasks.Go(func() {
			for {
				select {
				case <-l.stopping:
					return
				default:
				}
				_ = limit.Wait(context.Background()) // fails only with a deadline
				n := int(l.sent.Add(1))
				a := sys.Call(instances[n%len(instances)], next(n))
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
			}
		})
	}
	sys.Cleanup(l.stopCallers)
	return l
}

// Count returns the number of answers so far for which match returns true.
func (l *Load) Count(match func(system.Answer) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.answers {
		if match(a) {
			n++
		}
	}
	return n
}

// HasVerdictRan reports whether a call received a complete answer with verdict "ran".
func HasVerdictRan(a system.Answer) bool { return a.Err == nil && a.Verdict == "ran" }

// Stop ends the callers after their current calls and returns all answers.
func (l *Load) Stop() []system.Answer {
	l.stopCallers()
	return l.answers
}

// stopCallers also runs at the end of the test: a test that failed early has not called Stop, and callers must not
// report to an ended test.
func (l *Load) stopCallers() {
	l.stopOnce.Do(func() { close(l.stopping) })
	l.tasks.Wait()
}
