// Package permit asks the leader whether requests may be sent to servers that have named a limit, and answers such calls.
package permit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// callTimeout bounds a call: the latency between regions and some work of the leader. A permit that comes later is not
	// used, since the leader has counted it long ago.
	callTimeout = 250 * time.Millisecond
	// silence is how long after a failed call the leader is not asked again.
	silence = 500 * time.Millisecond
	// gapPerInstance times the number of instances is the least time between two calls: a leader answers 1,000 calls a second
	// with a third of a core.
	gapPerInstance = time.Millisecond
)

// ErrNoLeader says that no leader is known, or that the one asked does not lead.
var ErrNoLeader = errors.New("no leader to ask for permits")

// Asker asks for one instance. All exported fields must be set. It may be used by many goroutines.
type Asker struct {
	Limits        *quota.Book
	InstanceCount func() int
	// Call asks the leader. Its errors mean that nothing is permitted.
	Call func(ctx context.Context, r *sitepb.PermitRequest) (*sitepb.PermitReply, error)
	// Background runs a part on a goroutine of its own.
	Background func(part func())
	// OnDecision is called with each decision, and with whether the leader took it.
	OnDecision func(d quota.Decision, byLeader bool)

	mu          sync.Mutex
	waiting     []*ask
	calling     bool
	lastCall    time.Time
	silentUntil time.Time
	shares      map[string]*quota.Share // by incarnation, while no leader answers
}

type ask struct {
	server   string
	rank     int
	decision chan quota.Decision // capacity 1
}

// Ask asks to send a request of a rank to a server's incarnation that has a limit. It blocks for the call at most.
func (a *Asker) Ask(now time.Time, incarnation string, rank int) quota.Decision {
	a.mu.Lock()
	if now.Before(a.silentUntil) {
		d := a.takeShare(now, incarnation)
		a.mu.Unlock()
		return d
	}
	x := &ask{server: incarnation, rank: rank, decision: make(chan quota.Decision, 1)}
	a.waiting = append(a.waiting, x)
	if !a.calling {
		a.calling = true
		a.Background(a.callWhileWaiting)
	}
	a.mu.Unlock()
	return <-x.decision
}

// takeShare asks this instance's share. a.mu is held.
func (a *Asker) takeShare(now time.Time, incarnation string) quota.Decision {
	d := quota.Decision{OK: true}
	if rate, limited := a.Limits.Rate(now, incarnation); limited {
		if a.shares == nil {
			a.shares = make(map[string]*quota.Share)
		}
		s := a.shares[incarnation]
		if s == nil {
			s = quota.NewShare(now, rand.Float64())
			a.shares[incarnation] = s
		}
		d = s.Take(now, rate, a.InstanceCount())
	}
	a.OnDecision(d, false)
	return d
}

// callWhileWaiting makes calls until no request waits. Those that wait together share a call.
func (a *Asker) callWhileWaiting() {
	for {
		a.mu.Lock()
		if len(a.waiting) == 0 {
			a.calling = false
			a.mu.Unlock()
			return
		}
		pause := time.Until(a.lastCall.Add(time.Duration(a.InstanceCount()) * gapPerInstance))
		if pause > 0 {
			a.mu.Unlock()
			time.Sleep(pause)
			a.mu.Lock()
		}
		asks := a.waiting
		a.waiting, a.lastCall = nil, time.Now()
		a.mu.Unlock()
		a.call(asks)
	}
}

// call asks the leader, or takes this instance's shares if it does not answer.
func (a *Asker) call(asks []*ask) {
	start := time.Now()
	req, limits := new(sitepb.PermitRequest), make(map[string]quota.Limit)
	for _, x := range asks {
		req.Asks = append(req.Asks, &sitepb.Ask{Server: x.server, Rank: uint32(max(0, x.rank))})
		if l, ok := a.Limits.Limit(x.server); ok {
			limits[x.server] = l
		}
	}
	req.Limits = EncodeLimits(start, limits)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := a.Call(ctx, req)
	now := time.Now()
	if err == nil && (!reply.GetLeading() || len(reply.GetPermits()) != len(asks) || now.Sub(start) > callTimeout) {
		err = ErrNoLeader
	}
	if err == nil {
		MergeLimits(start, a.Limits, reply.GetLimits())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.silentUntil = now.Add(silence)
	}
	for i, x := range asks {
		if err != nil {
			x.decision <- a.takeShare(now, x.server)
			continue
		}
		delete(a.shares, x.server)
		d := decode(reply.GetPermits()[i])
		a.OnDecision(d, true)
		x.decision <- d
	}
}

func decode(p *sitepb.Permit) quota.Decision {
	return quota.Decision{
		OK: p.GetGranted(), Wait: time.Duration(p.GetWaitMs()) * time.Millisecond, Return: time.Duration(p.GetReturnMs()) * time.Millisecond,
	}
}

// Answer decides on the asks of an instance, the most urgent first.
func Answer(now time.Time, a *quota.Arbiter, r *sitepb.PermitRequest) *sitepb.PermitReply {
	MergeLimits(now, a.Limits, r.GetLimits())
	reply := &sitepb.PermitReply{Leading: true, Permits: make([]*sitepb.Permit, len(r.GetAsks()))}
	known := make(map[string]quota.Limit)
	for _, i := range byRank(r.GetAsks()) {
		x := r.GetAsks()[i]
		d := a.Take(now, x.GetServer(), int(x.GetRank()))
		reply.Permits[i] = &sitepb.Permit{Granted: d.OK, WaitMs: d.Wait.Milliseconds() + 1, ReturnMs: d.Return.Milliseconds() + 1}
		if l, ok := a.Limits.Known(x.GetServer()); ok {
			known[x.GetServer()] = l
		}
	}
	reply.Limits = EncodeLimits(now, known)
	return reply
}
