package sender

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/retry"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// shouldRetryFailure reports whether r is a server error that may be retried, and then charges the retry budget.
func (c *Sender) shouldRetryFailure(x *Call, r Reply) bool {
	return r.Status >= 500 && x.Route.MayRepeat() && time.Until(x.Deadline) > minTimeLeft && x.SendCount < min(2, max(1, x.Route.Attempts)) && c.takeRetry(x.poolName)
}

// retryFailure retries if r is a server error that may be retried, and returns the better answer.
func (c *Sender) retryFailure(x *Call, first *target, r Reply) Reply {
	if !c.shouldRetryFailure(x, r) {
		return r
	}
	t, err := c.secondServer(time.Now(), x, first)
	if err != nil {
		return r
	}
	second, _, err := c.attempt(x, t)
	if err != nil || second.Status >= 500 {
		return r
	}
	return second
}

// secondServer returns the server for a second attempt: another one, or in a keyed pool the same one.
func (c *Sender) secondServer(now time.Time, x *Call, first *target) (*target, error) {
	w, _ := c.cfg.Snapshot()
	if p := w.Tables.Pool(x.poolName); p != nil && p.Keyed {
		c.mu.Lock()
		first.state.start()
		c.mu.Unlock()
		if !c.takePermit(now, x, first) {
			return nil, work.NewRefusal(ReasonServerLimit, shortRetryAfter)
		}
		return first, nil
	}
	x.tried[first.Server.Server] = true
	return c.waitForServer(now, x)
}

// mayRetry reports whether the request may be sent again after e, and then charges the retry budget.
func (c *Sender) mayRetry(x *Call, e *result.Error) bool {
	if e.Verdict != result.NotRun && !x.Route.MayRepeat() {
		return false
	}
	if e.Reason == ReasonCancelled || e.Reason == ReasonTimeout {
		return false
	}
	return x.SendCount < max(1, x.Route.Attempts) && c.takeRetry(x.poolName)
}

func (c *Sender) retryBudget(pool string) *retry.Budget {
	b := c.budgets[pool]
	if b == nil {
		n := float64(max(1, c.cfg.InstanceCount()))
		b = &retry.Budget{Ratio: c.cfg.RetryRatio * budgetShareUsed, Burst: max(1, c.cfg.RetrySlack*budgetShareUsed/n)}
		c.budgets[pool] = b
	}
	return b
}

// budgetShareUsed is the part of the shared budget that is used. The rest covers requests that change pools with the
// configuration, and instances that come and go.
const budgetShareUsed = 0.7

func (c *Sender) earnRetry(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retryBudget(pool).Earn()
}

func (c *Sender) takeRetry(pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryBudget(pool).Take()
}
