package permit_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/peer/permit"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

func newAsker(limits *quota.Book, instances int, call func(context.Context, *sitepb.PermitRequest) (*sitepb.PermitReply, error)) *permit.Asker {
	return &permit.Asker{
		Limits: limits, InstanceCount: func() int { return instances }, Call: call,
		Background: func(part func()) { go part() }, OnDecision: func(quota.Decision, bool) {},
	}
}

func limited(rate float64) *quota.Book {
	b := new(quota.Book)
	b.Observe(time.Now(), time.Now(), "s/1", quota.Named{Rate: rate, Set: true}, true)
	return b
}

// Guards against a call for each request: many wait for the answer to one.
func TestAskersShareCalls(t *testing.T) {
	t.Parallel()
	var calls, granted atomic.Int32
	arbiter := quota.NewArbiter(limited(1000))
	arbiter.Take(time.Now(), "s/1", 0)
	time.Sleep(100 * time.Millisecond)
	a := newAsker(limited(1000), 8, func(_ context.Context, r *sitepb.PermitRequest) (*sitepb.PermitReply, error) {
		calls.Add(1)
		time.Sleep(20 * time.Millisecond)
		return permit.Answer(time.Now(), arbiter, r), nil
	})
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if a.Ask(time.Now(), "s/1", 1).OK {
				granted.Add(1)
			}
		})
	}
	wg.Wait()
	if calls.Load() > 5 || granted.Load() != 50 {
		t.Errorf("%d calls for 50 requests, %d granted; want 5 calls at most and all granted", calls.Load(), granted.Load())
	}
}

// Guards against instances that send without permits, or wait for each request, while no leader answers.
func TestShareWithoutLeader(t *testing.T) {
	t.Parallel()
	var calls atomic.Int32
	a := newAsker(limited(2), 8, func(context.Context, *sitepb.PermitRequest) (*sitepb.PermitReply, error) {
		calls.Add(1)
		return nil, errors.New("no answer")
	})
	begun, granted := time.Now(), 0
	for range 200 {
		if a.Ask(time.Now(), "s/1", 0).OK {
			granted++
		}
	}
	if took := time.Since(begun); took > 400*time.Millisecond || calls.Load() != 1 {
		t.Errorf("200 requests took %v and %d calls, want one call", took, calls.Load())
	}
	if granted > 1 {
		t.Errorf("%d requests granted at once, want 1 at most", granted)
	}
}

// Guards against an arbiter that permits what another instance knows to be limited, and against one that lets a less urgent
// request of a call pass before a more urgent one.
func TestAnswerByRank(t *testing.T) {
	t.Parallel()
	arbiter, now := quota.NewArbiter(new(quota.Book)), time.Now()
	req := &sitepb.PermitRequest{
		Asks:   []*sitepb.Ask{{Server: "s/1", Rank: 2}, {Server: "s/1", Rank: 0}},
		Limits: permit.EncodeLimits(now, limited(1).Observed(time.Time{})),
	}
	for _, p := range permit.Answer(now, arbiter, req).GetPermits() {
		if p.GetGranted() {
			t.Error("granted from an empty bucket")
		}
	}
	reply := permit.Answer(now.Add(time.Second), arbiter, req)
	if p := reply.GetPermits(); p[0].GetGranted() || !p[1].GetGranted() {
		t.Errorf("permits %v, want only the urgent request granted", p)
	}
	if len(reply.GetLimits()) != 1 {
		t.Errorf("limits %v, want that of the server", reply.GetLimits())
	}
}
