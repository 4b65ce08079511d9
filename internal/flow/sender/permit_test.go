package sender_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// permits counts the permits that were asked for and grants a number of them.
type permits struct {
	quota.Book
	asked, left atomic.Int32
}

func (p *permits) ask(time.Time, string, int) quota.Decision {
	p.asked.Add(1)
	if p.left.Add(-1) >= 0 {
		return quota.Decision{OK: true}
	}
	return quota.Decision{Wait: 2 * time.Second, Return: 2 * time.Second}
}

func newLimitedSender(t *testing.T, keyed bool, granted int32, limited *fakeServer, others ...*fakeServer) (*testSender, *permits) {
	p := new(permits)
	p.left.Store(granted)
	p.Observe(time.Now(), time.Now(), limited.Incarnation(), quota.Named{Rate: 2, Set: true}, true)
	w := snapshotOf(keyed, append(others, limited)...)
	if keyed {
		w.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: limited.Owner, Fence: 1}}}
	}
	return newSenderWith(t, w, func(cfg *sender.Config) { cfg.Limits, cfg.AskPermit = &p.Book, p.ask }), p
}

// Guards against requests to a server at its limit that are sent all the same, or that wait though no permit can come in time.
func TestOwnerAtLimit(t *testing.T) {
	f := startServer(t, "a", answerOK)
	s, p := newLimitedSender(t, true, 1, f)
	if _, err := s.send(context.Background(), true, time.Second); err != nil {
		t.Fatal(err)
	}
	p.Observe(time.Now(), time.Now(), f.Incarnation(), quota.Named{Rate: 2, Set: true}, true)
	for range 3 {
		begun := time.Now()
		_, err := s.send(context.Background(), true, time.Second)
		e := result.FromError(err)
		if err == nil || e.Verdict != result.NotRun || e.Reason != sender.ReasonServerLimit || e.RetryAfter < 1900*time.Millisecond {
			t.Errorf("got %v, want a refusal for the limit with a time to return of about 2 s", err)
		}
		if took := time.Since(begun); took > 100*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	}
	if n := p.asked.Load(); n != 2 {
		t.Errorf("%d permits asked for, want 2: a refusal holds for its time", n)
	}
	if n := f.requestCount.Load(); n != 1 {
		t.Errorf("%d requests sent, want 1", n)
	}
}

// Guards against requests that are refused while another server without a limit could run them.
func TestOtherServerAtLimit(t *testing.T) {
	limited, free := startServer(t, "a", answerOK), startServer(t, "b", answerOK)
	free.DC = "far" // so that the limited one is chosen first
	s, _ := newLimitedSender(t, false, 0, limited, free)
	for range 5 {
		if _, err := s.send(context.Background(), true, time.Second); err != nil {
			t.Error(err)
		}
	}
	if n := limited.requestCount.Load(); n != 0 {
		t.Errorf("%d requests sent to the server at its limit", n)
	}
}

// Guards against a limit that is kept after its end, because other servers are chosen and no answer tells of it.
func TestLimitEndsUnnoticed(t *testing.T) {
	limited, free := startServer(t, "a", answerOK), startServer(t, "b", answerOK)
	limited.DC = "far" // so that the free one is chosen first
	s, p := newLimitedSender(t, false, 1, limited, free)
	for want, age := range []time.Duration{0, 5 * time.Second} {
		p.Observe(time.Now().Add(-age), time.Now(), limited.Incarnation(), quota.Named{Rate: 2, Set: true}, true)
		limited.requestCount.Store(0)
		for range 5 {
			if _, err := s.send(context.Background(), true, time.Second); err != nil {
				t.Error(err)
			}
		}
		if n := int(limited.requestCount.Load()); n != want {
			t.Errorf("%d of 5 requests sent to the server %v after it last named its limit, want %d", n, age, want)
		}
	}
	if l, limited := p.Limit(limited.Incarnation()); limited {
		t.Errorf("the limit of %v is still in force after an answer without one", l.Rate)
	}
}

// Guards against second attempts that no permit covers.
func TestRetryAtLimit(t *testing.T) {
	const earning = 20 // requests that earn the budget for a retry
	answers := append(slices.Repeat([]string{answerOK}, earning), answer500)
	f := startServer(t, "a", answers...)
	s, p := newLimitedSender(t, true, 1, f)
	for range earning {
		if _, err := s.send(context.Background(), false, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	p.Observe(time.Now(), time.Now(), f.Incarnation(), quota.Named{Rate: 2, Set: true}, true)
	p.asked.Store(0)
	p.left.Store(1)
	if a, err := s.send(context.Background(), false, time.Second); err != nil || a.Status != 500 {
		t.Errorf("got %d, %v; want the server's failure", a.Status, err)
	}
	if n, asked := f.requestCount.Load(), p.asked.Load(); n != earning+1 || asked != 2 {
		t.Errorf("%d requests sent and %d permits asked for the last, want %d and 2", n, asked, earning+1)
	}
}
