// Package resend retries requests where that is safe: only if no server has run the request, only if its route permits
// it, and only within the retry budget of the route, so that retries cannot multiply the load in an outage.
package resend

import (
	"context"
	"sync"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/retry"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/plat/server"
)

const maxAttempts = 3

// Resender sends requests, with retries. It is safe for concurrent use.
type Resender struct {
	send func(ctx context.Context, req *work.Request) (work.Answer, error)

	mu      sync.Mutex
	budgets map[string]*retry.Budget // by route
	backoff *retry.Backoff
}

// New returns a Resender that sends with send, whose errors are *result.Error. seed seeds the random waits before
// retries.
func New(seed uint64, send func(ctx context.Context, req *work.Request) (work.Answer, error)) *Resender {
	return &Resender{send: send, budgets: make(map[string]*retry.Budget), backoff: retry.NewBackoff(seed)}
}

// Do sends req, retries if need be, and returns the whole answer or the error of the last attempt.
func (r *Resender) Do(ctx context.Context, req *work.Request) (work.Answer, error) {
	r.earnRetry(req.Route)
	for attempt := 1; ; attempt++ {
		a, err := r.send(ctx, req)
		if err == nil {
			return a, nil
		}
		wait, ok := r.takeRetry(req, err, attempt)
		if !ok || !sleep(ctx, wait) {
			return a, err
		}
	}
}

func (r *Resender) earnRetry(route string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(route).Earn()
}

func (r *Resender) budget(route string) *retry.Budget {
	b := r.budgets[route]
	if b == nil {
		b = new(retry.Budget)
		r.budgets[route] = b
	}
	return b
}

// takeRetry takes a retry from the route's budget if req may be retried. It returns the wait before the retry.
func (r *Resender) takeRetry(req *work.Request, err error, attempt int) (time.Duration, bool) {
	if !req.Retryable || attempt >= maxAttempts || !retryable(err) {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.budget(req.Route).Take() {
		return 0, false
	}
	return r.backoff.Next(attempt), true
}

// retryable reports whether a failed request has not run and another attempt may succeed.
func retryable(err error) bool {
	e := result.FromError(err)
	if e.Verdict != result.NotRun {
		return false
	}
	switch e.Reason {
	case server.ReasonRefused, server.ReasonConnect, server.ReasonLimit:
		return true
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
