package system

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// Call is a request of a test's caller.
type Call struct {
	Method   string // GET if empty
	Path     string
	Body     string
	Headers  map[string]string
	Identity string        // equal for calls that repeat the same work; only journaled
	Timeout  time.Duration // 10 s if 0
}

// Answer is what the caller received. Err is set if no complete answer arrived.
type Answer struct {
	Mark            string // identifies the call within the test
	Status          int
	Verdict         string
	RetryAfter      string
	ConnectionClose bool // whether the answer announces it
	Body            []byte
	Latency         time.Duration
	Err             error
}

// defaultCallTimeout is longer than any route's timeout in tests.
const defaultCallTimeout = 10 * time.Second

// Call sends a request to the caller listener of an instance on a new connection, and journals it.
// It is safe for concurrent use.
func (sys *System) Call(instance string, c Call) Answer {
	a := Answer{Mark: fmt.Sprintf("m%06d", sys.lastID.Add(1))}
	addr, err := sys.procs[instance].Address("caller")
	if err != nil {
		a.Err = err
		return a
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, "http://"+addr.String(), a.Mark)
	begin := trace.Now()
	a.Err = sys.callClient.DoTimeout(req, resp, c.timeout())
	end := trace.Now()
	a.Latency = time.Duration(end - begin)
	ev := trace.Event{
		Kind: trace.KindCall, Instance: instance, Mark: a.Mark, Identity: c.Identity, Method: c.Method, Path: c.Path,
		Slot: trace.NoSlot, Begin: begin, End: end,
	}
	if a.Err != nil {
		ev.Reason = a.Err.Error()
	} else {
		a.fill(resp)
		ev.Status, ev.Verdict, ev.Body = a.Status, a.Verdict, a.Body
	}
	if err := sys.callJournal.Write(&ev); err != nil {
		sys.tb.Errorf("write the journal of calls: %v", err)
	}
	return a
}

func (c *Call) timeout() time.Duration {
	if c.Timeout == 0 {
		return defaultCallTimeout
	}
	return c.Timeout
}

func (c *Call) fillRequest(req *fasthttp.Request, base, mark string) {
	if c.Method != "" {
		req.Header.SetMethod(c.Method)
	}
	req.SetRequestURI(base + c.Path)
	req.SetBodyString(c.Body)
	for _, k := range slices.Sorted(maps.Keys(c.Headers)) {
		req.Header.Set(k, c.Headers[k])
	}
	req.Header.Set("Mark", mark)
	// On a reused connection that the instance is closing, the request would look lost.
	req.SetConnectionClose()
}

func (a *Answer) fill(resp *fasthttp.Response) {
	a.Status, a.ConnectionClose = resp.StatusCode(), resp.ConnectionClose()
	a.Verdict = string(resp.Header.Peek("Bramleycove-Verdict"))
	a.RetryAfter = string(resp.Header.Peek("Retry-After"))
	a.Body = slices.Clone(resp.Body())
}
