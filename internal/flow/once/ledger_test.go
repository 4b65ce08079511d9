package once_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/flow/once"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// memLog is an in-memory ledger stream that simulates faults of the log service and of the network.
type memLog struct {
	mu          sync.Mutex
	records     [][]byte
	changed     chan struct{} // closed on each change
	appends     int
	down        bool
	loseAnswers bool                 // appends take effect but report an error
	delay       func() time.Duration // of each message to or from the log, nil for none
}

var errAnswerLost = errors.New("connection lost")

func (l *memLog) sleepDelay() {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay != nil {
		time.Sleep(delay())
	}
}

func (l *memLog) append(ctx context.Context, data []byte) (uint64, error) {
	l.sleepDelay()
	l.mu.Lock()
	down, lose := l.down, l.loseAnswers
	if !down {
		l.appends++
		l.records = append(l.records, data)
		l.notify()
	}
	offset := uint64(len(l.records))
	l.mu.Unlock()
	l.sleepDelay()
	if down || lose || ctx.Err() != nil {
		return 0, errAnswerLost
	}
	return offset, nil
}

func (l *memLog) setFaults(down, lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.loseAnswers = down, lose
	l.notify()
}

func (l *memLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// deliverTo applies the stream to led until ctx is done, except while the log is down.
func (l *memLog) deliverTo(ctx context.Context, led *once.Ledger) {
	for ctx.Err() == nil {
		l.mu.Lock()
		next, wake := int(led.Offset()), l.changed
		var data []byte
		if !l.down && next < len(l.records) {
			data = l.records[next]
		}
		l.mu.Unlock()
		if data != nil {
			l.sleepDelay()
			led.Apply(uint64(next)+1, data)
			continue
		}
		select {
		case <-wake:
		case <-ctx.Done():
		}
	}
}

// cluster is a set of instances on one log.
type cluster struct {
	memLog
	running sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
	ready   func() bool
}

func newCluster(ctx context.Context) *cluster {
	c := &cluster{memLog: memLog{changed: make(chan struct{})}, ready: func() bool { return true }}
	c.ctx, c.stop = context.WithCancel(ctx)
	return c
}

func (c *cluster) start(name string, live int) *once.Ledger {
	led := once.New(once.Config{
		Instance: name, Append: c.append, Ready: c.ready, LiveInstances: func() int { return live }, Now: time.Now,
	})
	c.running.Go(func() { led.Run(c.ctx) })
	c.running.Go(func() { c.deliverTo(c.ctx, led) })
	return led
}

func (c *cluster) stopAll() {
	c.stop()
	c.running.Wait()
}

// withTwoInstances runs f with two instances a and b on one log, on synctest's fake clock.
func withTwoInstances(t *testing.T, f func(t *testing.T, l *memLog, a, b *once.Ledger)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context())
		defer c.stopAll()
		f(t, &c.memLog, c.start("a", 2), c.start("b", 2))
	})
}

var (
	order  = once.NewIdentity("orders", "caller", "body")
	answer = &record.Answer{Status: 201, Headers: []*record.Header{{Name: "X", Value: "1"}}, Body: []byte("cut")}
)

func beginOrder(led *once.Ledger, limit time.Duration) (*once.Ticket, *record.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return led.Begin(ctx, order, time.Hour)
}

func mustWin(t *testing.T, led *once.Ledger) *once.Ticket {
	t.Helper()
	tk, _, err := beginOrder(led, 5*time.Second)
	if tk == nil {
		t.Fatalf("no ticket: %v", err)
	}
	return tk
}

func wantVerdict(t *testing.T, led *once.Ledger, want result.Verdict) {
	t.Helper()
	tk, a, err := beginOrder(led, 5*time.Second)
	if tk != nil || a != nil || err == nil || result.FromError(err).Verdict != want {
		t.Fatalf("got ticket %v, answer %v, error %v; want %v", tk != nil, a, err, want)
	}
}

func wantAnswer(t *testing.T, led *once.Ledger) {
	t.Helper()
	if _, a, err := beginOrder(led, 5*time.Second); !proto.Equal(a, answer) {
		t.Fatalf("got answer %v, error %v", a, err)
	}
}

// Guards against a second run by concurrent claims or a resend, and against a resend that misses the first answer.
func TestConcurrentClaimsAndResends(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, _ *memLog, a, b *once.Ledger) {
		var wins, replays int
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, led := range []*once.Ledger{a, b, a, b} {
			wg.Go(func() {
				tk, ans, _ := beginOrder(led, 5*time.Second)
				if tk != nil {
					time.Sleep(time.Second) // the others wait for the first run
					tk.Finish(result.Ran, answer)
				}
				mu.Lock()
				defer mu.Unlock()
				if tk != nil {
					wins++
				} else if proto.Equal(ans, answer) {
					replays++
				}
			})
		}
		wg.Wait()
		if wins != 1 || replays != 3 {
			t.Fatalf("%d runs and %d replays, want 1 and 3", wins, replays)
		}
		wantAnswer(t, a)
		wantAnswer(t, b)
		time.Sleep(2 * time.Hour)
		mustWin(t, b) // the window has ended
	})
}

// Guards against work that was not run blocking its resends, and against an unknown outcome permitting one.
func TestOutcomes(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, _ *memLog, a, b *once.Ledger) {
		mustWin(t, a).Finish(result.NotRun, nil)
		mustWin(t, b).Finish(result.NotRun, nil)
		tk := mustWin(t, a) // not finished at first, as if the claimant was lost
		wantVerdict(t, b, result.MayHaveRun)
		tk.Finish(result.MayHaveRun, nil)
		wantVerdict(t, b, result.MayHaveRun)
		wantVerdict(t, a, result.MayHaveRun)
	})
	withTwoInstances(t, func(t *testing.T, _ *memLog, a, b *once.Ledger) {
		mustWin(t, a).Finish(result.Ran, &record.Answer{Body: make([]byte, once.MaxAnswer+1)})
		wantVerdict(t, b, result.MayHaveRun)
	})
}

// Guards against work that is lost, runs twice or stays blocked when the log is down before, during or after a claim.
func TestLogDown(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, l *memLog, a, b *once.Ledger) {
		l.setFaults(true, false)
		// Another instance may have claimed the work for an earlier request, which is unknown during an outage.
		for range 5 {
			wantVerdict(t, a, result.MayHaveRun)
		}
		l.setFaults(false, false)
		time.Sleep(time.Second)
		tk := mustWin(t, a)
		l.setFaults(true, false)
		tk.Finish(result.Ran, answer)
		wantVerdict(t, a, result.MayHaveRun)
		time.Sleep(time.Hour / 2)
		l.setFaults(false, false)
		wantAnswer(t, b)
	})
}

// Guards against a claim that blocks its identity after the answer to its append was lost, and against giving up before
// the claim can appear in the stream.
func TestAppendAnswerLost(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, l *memLog, a, b *once.Ledger) {
		l.setFaults(false, true)
		tk := mustWin(t, a)
		l.setFaults(false, false)
		tk.Finish(result.NotRun, nil)
		time.Sleep(time.Second)
		slow := func(d time.Duration) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.delay = func() time.Duration { return d }
		}
		slow(3 * time.Second)
		if _, _, err := beginOrder(a, time.Second); result.FromError(err).Verdict != result.MayHaveRun {
			t.Fatalf("got %v, want may-have-run", err)
		}
		time.Sleep(time.Minute)
		slow(0)
		time.Sleep(time.Minute)
		mustWin(t, b)
	})
}

// Guards against a claim before the stream has been read to its end, and against more appends than the instance's share
// of the budget.
func TestReadyAndGrouping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context())
		defer c.stopAll()
		ready := false
		c.ready = func() bool { return ready }
		led := c.start("a", 20)
		wantVerdict(t, led, result.MayHaveRun)
		ready = true
		var wg sync.WaitGroup
		begun := time.Now()
		for i := range 1000 {
			time.Sleep(time.Millisecond)
			wg.Go(func() {
				if tk, _, err := led.Begin(c.ctx, once.NewIdentity("orders", fmt.Sprint(i)), time.Hour); err == nil {
					tk.Finish(result.Ran, answer)
				}
			})
		}
		wg.Wait()
		if limit := int(time.Since(begun)/(100*time.Millisecond)) + 2; c.appends > limit || led.IdentityCount() != 1000 {
			t.Errorf("%d appends for %d claims, want at most %d for 1000", c.appends, led.IdentityCount(), limit)
		}
	})
}

// Guards against a second run of one identity under any interleaving of instances, resends, lost answers, delays and
// outages of the log.
func TestNoIdentityRunsTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		slow := rapid.IntRange(1, 400).Draw(rt, "delay")
		synctest.Test(t, func(t *testing.T) {
			if id, n := runInterleaved(t.Context(), seed, slow); n > 1 {
				t.Errorf("seed %d, delay %d: identity %d ran %d times", seed, slow, id, n)
			}
		})
	})
}

// runInterleaved sends 60 requests for 5 identities through 4 instances with random faults. It returns the identity that
// ran most often and how often it ran.
func runInterleaved(ctx context.Context, seed uint64, slow int) (id, most int) {
	c := newCluster(ctx)
	defer c.stopAll()
	rnd := rand.New(rand.NewPCG(seed, 0))
	var rmu sync.Mutex
	draw := func(n int) int { rmu.Lock(); defer rmu.Unlock(); return rnd.IntN(n) }
	wait := func(ms int) time.Duration { return time.Duration(draw(ms*1000)) * time.Microsecond }
	c.delay = func() time.Duration { return wait(slow) }
	var all []*once.Ledger
	for i := range 4 {
		all = append(all, c.start(fmt.Sprint("i", i), 4))
	}
	c.running.Go(func() {
		for c.ctx.Err() == nil {
			time.Sleep(wait(2000))
			c.setFaults(draw(4) == 0, draw(4) == 0)
		}
	})
	runs := make([]int, 5)
	var wg sync.WaitGroup
	for range 60 {
		wg.Go(func() {
			time.Sleep(wait(5000))
			i := draw(len(runs))
			bctx, stop := context.WithTimeout(c.ctx, wait(4000))
			defer stop()
			tk, _, _ := all[draw(4)].Begin(bctx, once.NewIdentity("r", fmt.Sprint(i)), time.Hour)
			if tk == nil {
				return
			}
			time.Sleep(wait(1+draw(1000)) / 4)
			switch draw(4) {
			case 0:
				tk.Finish(result.NotRun, nil)
				return
			case 1:
				tk.Finish(result.Ran, answer)
			case 2:
				tk.Finish(result.MayHaveRun, nil)
			}
			rmu.Lock()
			defer rmu.Unlock()
			runs[i]++
		})
	}
	wg.Wait()
	for i, n := range runs {
		if n > most {
			id, most = i, n
		}
	}
	return id, most
}
