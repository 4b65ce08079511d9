package lanes

import (
	"context"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/ranks"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/plat/server"
)

// job is a request that waits or runs in a lane.
type job struct {
	req       *work.Request
	ctx       context.Context //nolint:containedctx // lives as long as the call
	outcomes  chan outcome    // capacity 1; gets exactly one value unless the job is withdrawn
	entry     *ranks.Entry[*job]
	rank      int
	runsAlone bool   // a server was lost while it ran this request
	revision  uint64 // lane revision under which the request was sent

	server    *backend // set while it runs
	leaseEnd  time.Time
	startedAt time.Time
}

// outcome ends a job's wait: with a server, an error, or requeue if it has to be queued again.
type outcome struct {
	server  *backend
	err     error
	requeue bool
}

// awaitOutcome returns the outcome of a pushed job. If the context ends first, it withdraws the job.
func (ln *lane) awaitOutcome(j *job) outcome {
	select {
	case out := <-j.outcomes:
		return out
	case <-j.ctx.Done():
	}
	if !ln.withdraw(j) {
		return <-j.outcomes
	}
	reason := ReasonCanceled
	if j.ctx.Err() == context.DeadlineExceeded {
		reason = ReasonDeadline
	}
	return outcome{err: work.NewRefusal(reason, time.Second)}
}

// send sends the request of j to b and records how it ended.
func (ln *lane) send(j *job, b *backend) (work.Answer, error) {
	reply, err := b.client.Send(j.ctx, j.req, j.leaseEnd)
	now := ln.dispatcher.cfg.Now()
	out, hold := limit.Done, time.Duration(0)
	if err != nil {
		e := result.FromError(err)
		out, hold = classify(e), e.RetryAfter
		if out == limit.Broken && e.Verdict == result.MayHaveRun {
			ln.dispatcher.cfg.ServerLost(now, b.process(), j.req.Fingerprint)
		}
	}
	if j.runsAlone && out == limit.Done {
		ln.dispatcher.cfg.AloneSucceeded(now, j.req.Fingerprint)
	}
	ln.finish(now, j, b, out, hold, reply)
	return reply.Answer, err
}

// classify returns what a failed send shows about the server.
func classify(e *result.Error) limit.Outcome {
	switch e.Reason {
	case server.ReasonRefused:
		return limit.Shed
	case server.ReasonTimeout:
		if e.Verdict == result.MayHaveRun {
			return limit.Timeout
		}
		return limit.Neutral
	case server.ReasonCancelled:
		if e.Verdict == result.MayHaveRun {
			return limit.Abandoned
		}
		return limit.Neutral
	case server.ReasonConnect, server.ReasonLost, server.ReasonLength:
		return limit.Broken
	default:
		return limit.Neutral
	}
}
