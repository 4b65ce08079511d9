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
	stop  chan struct{}
	once  sync.Once
	tasks conc.WaitGroup
	sent  atomic.Int64

	mu      sync.Mutex
	answers []system.Answer
}

// pace is the number of calls a second of a load. It is far below what a small system can serve, so that tests that
// run at once do not take the machine from each other.
const pace = 300

// Start starts callers. Each sends the calls that next returns for growing numbers, to the instances in turn.
func Start(r *system.System, callers int, instances []string, next func(n int) system.Call) *Load {
	l := &Load{stop: make(chan struct{})}
	limit := rate.NewLimiter(pace, callers)
	for range callers {
		l.tasks.Go(func() {
			for {
				select {
				case <-l.stop:
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
	r.Cleanup(l.end)
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

// Ran matches the calls that received their answer.
func Ran(a system.Answer) bool { return a.Err == nil && a.Verdict == "ran" }

// Stop ends the callers after their current call, and returns all answers.
func (l *Load) Stop() []system.Answer {
	l.end()
	return l.answers
}

// end is called at the end of the test too: a test that failed early has not called Stop, and its callers must not
// report to it afterwards.
func (l *Load) end() {
	l.once.Do(func() { close(l.stop) })
	l.tasks.Wait()
}
