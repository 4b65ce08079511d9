// Package load plays callers. Requests arrive at times that do not depend on the answers (open loop), and a caller
// that gets no whole answer in time, or a failure, sends the same request again through any instance. Latency counts
// from the planned arrival to the whole answer, resends included.
package load

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Settings of a run, which are the flags of the command "load" of standin.
type Settings struct {
	Profile   string           `enum:"skyggevaev,association" default:"skyggevaev" help:"Kinds of work: skyggevaev or association."`
	Scenario  string           `enum:"steady,flood-low,flood-urgent" default:"steady" help:"steady, flood-low or flood-urgent. Floods last for the middle third."`
	Instances []netip.AddrPort `name:"instance" required:"" placeholder:"IP:PORT" help:"Caller listeners of the instances; may be repeated."`
	Duration  time.Duration    `default:"30s" help:"Time in which requests arrive."`
	Service   time.Duration    `default:"20ms" help:"Mean service time of the servers, which sets the rates."`
	Scale     float64          `default:"1" help:"Part of the example tables' servers that run."`
	Factor    float64          `default:"4" help:"Arrivals of the kind that floods, as a multiple of its servers' capacity."`
	Shift     time.Duration    `default:"60s" help:"How often the hottest keys change."`
	Tries     int              `default:"4" help:"Times that a caller sends a request at most."`
	Again     time.Duration    `default:"1s" help:"Mean pause before a caller sends again."`
	Open      int64            `default:"20000" help:"Requests in progress at most; more are not sent."`
	Seed      uint64           `default:"1" help:"Seed of arrivals, keys and choices."`
	JSON      bool             `name:"json" help:"Write JSON."`
	// Seen gets each attempt, for a journal. It is called by many goroutines and may be nil.
	Seen func(Attempt) `kong:"-"`
}

// runner is one run.
type runner struct {
	Settings
	kinds  []Kind
	client *fasthttp.Client
	start  time.Time
	stats  [][phases]*cell // by kind
	open   atomic.Int64
	all    sync.WaitGroup
}

// Play makes the requests and waits for their answers. The end of ctx ends arrivals and resends.
func (s Settings) Play(ctx context.Context) (Result, error) {
	kinds := profiles[s.Profile]
	if min(s.Duration, s.Service, s.Shift) <= 0 || min(s.Tries, len(kinds), len(s.Instances)) <= 0 || s.Scale <= 0 || s.Open <= 0 {
		return Result{}, errors.New("needs instances, a profile, and durations, scale, tries and open above zero")
	}
	client := &fasthttp.Client{MaxConnsPerHost: 1 << 16, MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry}
	r := &runner{Settings: s, kinds: kinds, client: client, start: time.Now(), stats: newStats(kinds)}
	for i := range kinds {
		r.all.Go(func() { r.arrivals(ctx, i) })
	}
	r.all.Wait()
	return r.result(), nil
}

// neverRetry leaves resends to the caller, who counts them.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// arrivals starts the requests of one kind at their times. A late wake-up delays the sending and is part of the
// latency, which counts from the planned time.
func (r *runner) arrivals(ctx context.Context, kind int) {
	p := newPlan(&r.Settings, &r.kinds[kind], kind, r.start)
	for n := uint64(0); ; n++ {
		at := p.next()
		if at >= r.Duration || !sleep(ctx, time.Until(r.start.Add(at))) {
			return
		}
		q := p.request(at, n)
		q.cell = r.stats[kind][phase(&r.Settings, at)]
		if r.open.Add(1) > r.Open {
			r.open.Add(-1)
			q.cell.add(func(c *Row) { c.Unsent++ })
			continue
		}
		r.all.Go(func() { r.call(ctx, q) })
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Attempt is one sending of a request, as its caller saw it.
type Attempt struct {
	Kind       string
	At         time.Duration // planned arrival of the request
	Mark       string        // unique; sent in the header Mark
	Identity   string        // empty for work that may repeat
	Instance   netip.AddrPort
	Begin, End time.Time
	Status     int // 0 if there was no whole answer
	Verdict    string
	Body       []byte
}

// final reports whether the caller stops trying: a 4xx answer says that the request is wrong.
func (a *Attempt) final() bool { return a.Status >= 200 && a.Status < 500 }

// call makes a request until it has an answer or the caller gives up.
func (r *runner) call(ctx context.Context, q *request) {
	defer r.open.Add(-1)
	var last Attempt
	unknown := false // an attempt may have run
	for try := 1; try <= r.Tries; try++ {
		if try > 1 {
			// Callers do not read Retry-After.
			if !sleep(ctx, time.Duration((0.5+q.random.Float64())*float64(r.Again))) {
				break
			}
			q.cell.add(func(c *Row) { c.Resends++ })
		}
		last = r.attempt(q, try)
		unknown = unknown || last.Verdict != "not-run"
		if r.Seen != nil {
			r.Seen(last)
		}
		if last.final() {
			break
		}
	}
	q.cell.finish(q.kind, last.Status, unknown, last.End.Sub(r.start.Add(q.at)))
}

func (r *runner) attempt(q *request, try int) Attempt {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	a := Attempt{
		Kind: q.kind.Name, At: q.at,
		Mark: fmt.Sprintf("%x-%d", q.random.Uint64(), try), Identity: q.identity,
		Instance: r.Instances[q.random.IntN(len(r.Instances))], Begin: time.Now(),
	}
	req.Header.SetMethod(q.kind.Method)
	req.SetRequestURI("http://" + a.Instance.String() + q.path)
	req.Header.Set("Mark", a.Mark)
	if q.kind.Header != "" {
		req.Header.Set(q.kind.Header, q.identity)
	}
	req.SetBodyString(q.body)
	err := r.client.DoDeadline(req, resp, a.Begin.Add(q.kind.Patience))
	a.End = time.Now()
	if err == nil {
		a.Status, a.Verdict = resp.StatusCode(), string(resp.Header.Peek("Bramleycove-Verdict"))
		a.Body = append([]byte(nil), resp.Body()...)
	}
	return a
}
