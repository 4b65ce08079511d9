package fleet

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/bramleycove/bramleycove/internal/stand/system"
)

// Load is a background load on a system: callers that send one request after the other.
type Load struct {
	stopping chan struct{}
	stopOnce sync.Once
	tasks    conc.WaitGroup
	sent     atomic.Int64

	mu      sync.Mutex
	answers []system.Answer
}

// callsPerSecond is the number of calls a second of a load. It is far below what a small system can serve, so that tests that
// run at once do not take the machine from each other.
const callsPerSecond = 300

// StartLoad starts callers. Each sends the calls that next returns for growing numbers, to the instances in turn.
func StartLoad(r *system.System, callers int, instances []string, next func(n int) system.Call) *Load {
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
				a := r.Call(instances[n%len(instances)], next(n))
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
			}
		})
	}
	r.Cleanup(l.stopCallers)
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

// HasVerdictRan matches the calls that received their answer.
func HasVerdictRan(a system.Answer) bool { return a.Err == nil && a.Verdict == "ran" }

// Stop ends the callers after their current call, and returns all answers.
func (l *Load) Stop() []system.Answer {
	l.stopCallers()
	return l.answers
}

// stopCallers is called at the end of the test too: a test that failed early has not called Stop, and its callers must not
// report to it afterwards.
func (l *Load) stopCallers() {
	l.stopOnce.Do(func() { close(l.stopping) })
	l.tasks.Wait()
}
