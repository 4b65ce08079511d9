package front_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/front"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

type testFrontend struct {
	*front.Frontend
	addr          string
	serveReturned chan struct{}
}

// start runs a frontend with the routes /plain and /once.
func start(t *testing.T, cfg front.Config) *testFrontend {
	t.Helper()
	table := &tables.Tables{Routes: []tables.Route{
		{Name: "plain", Path: "/plain", Pool: "cut", Timeout: 10 * time.Second},
		{Name: "once", Path: "/once", Pool: "cut", Timeout: 10 * time.Second, Once: &tables.OnceRule{Header: "X-Id", Window: time.Hour}},
	}}
	cfg.Tables, cfg.Instance, cfg.DC = func() *tables.Tables { return table }, "i1", "a1"
	if cfg.Send == nil {
		cfg.Send = func(_ context.Context, req *work.Request) (work.Answer, error) {
			return work.Answer{Status: 201, Headers: []work.Header{{Name: "X-Net", Value: "n"}}, Body: []byte("ran " + req.ID)}, nil
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &testFrontend{Frontend: front.New(cfg), addr: ln.Addr().String(), serveReturned: make(chan struct{})}
	var wg conc.WaitGroup
	wg.Go(func() {
		defer close(f.serveReturned)
		if err := f.Serve(ln); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		_ = f.Stop(context.Background(), 0)
		wg.Wait()
	})
	return f
}

// sendRaw sends text on a new connection and returns the answer.
func (f *testFrontend) sendRaw(t *testing.T, text string) *fasthttp.Response {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	resp := new(fasthttp.Response)
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	return resp
}

func getRequest(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(append(headers, "\r\n"), "\r\n")
}

// Guards against an answer without its verdict, and against an error with a wrong status, reason or Retry-After.
func TestAnswers(t *testing.T) {
	fail := &result.Error{Verdict: result.NotRun, Status: 503, Reason: "queue-full", RetryAfter: 1500 * time.Millisecond}
	ok, full := start(t, front.Config{MaxBody: 100, MaxHeader: 1000}), start(t, front.Config{
		Send: func(context.Context, *work.Request) (work.Answer, error) { return work.Answer{}, fail },
	})
	blocked := start(t, front.Config{CheckQuarantine: func(time.Time, [16]byte) (time.Duration, bool) { return time.Minute, true }})
	unclaimed := &result.Error{Verdict: result.MayHaveRun, Status: 503, Reason: "ledger-down", RetryAfter: time.Second}
	outage := start(t, front.Config{Send: func(context.Context, *work.Request) (work.Answer, error) { return work.Answer{}, unclaimed }})
	broken := start(t, front.Config{Send: func(context.Context, *work.Request) (work.Answer, error) { panic("fault") }})
	for name, c := range map[string]struct {
		*testFrontend
		text, verdict, reason, after string
		status                       int
	}{
		"whole":       {ok, getRequest("/plain"), "ran", "", "", 201},
		"no route":    {ok, getRequest("/else"), "not-run", "no-route", "", 404},
		"no identity": {ok, getRequest("/once"), "not-run", "no-identity", "", 400},
		"no ledger":   {ok, getRequest("/once", "X-Id: 1"), "not-run", front.ReasonNoLedger, "1", 503},
		"long body":   {ok, "POST /plain HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("b", 101), "not-run", front.ReasonBadRequest, "", 413},
		"long header": {ok, getRequest("/plain", "X: "+strings.Repeat("h", 1100)), "not-run", front.ReasonBadRequest, "", 431},
		"method":      {ok, "FETCH /plain HTTP/1.1\r\nHost: x\r\n\r\n", "not-run", "", "", 400},
		"refused":     {full, getRequest("/plain"), "not-run", "queue-full", "2", 503},
		"unclaimed":   {outage, getRequest("/plain"), "may-have-run", "ledger-down", "1", 503},
		"quarantine":  {blocked, getRequest("/plain"), "not-run", front.ReasonQuarantine, "60", 503},
		"panic":       {broken, getRequest("/plain"), "may-have-run", front.ReasonPanic, "", 500},
	} {
		h := c.sendRaw(t, c.text)
		var body struct{ Error, Verdict string }
		if c.reason != "" {
			if err := json.Unmarshal(h.Body(), &body); err != nil {
				t.Errorf("%s: %v in %q", name, err, h.Body())
			}
		}
		head := func(name string) string { return string(h.Header.Peek(name)) }
		if h.StatusCode() != c.status || head(result.VerdictHeader) != c.verdict || body.Error != c.reason || head("Retry-After") != c.after {
			t.Errorf("%s: %v %s", name, h, h.Body())
		}
		if c.status == 201 && (head("X-Net") != "n" || string(h.Body()) != "ran "+head(work.RequestIDHeader)) {
			t.Errorf("%s: %v %s", name, h, h.Body())
		}
	}
}

// Guards against work that must not be repeated running without a claim, and against a claim without a result.
func TestClaimOnce(t *testing.T) {
	var claims, results int
	f := start(t, front.Config{BeginOnce: func(context.Context, [32]byte, time.Duration) (func(work.Answer, error), work.Answer, error) {
		claims++
		if claims > 1 {
			return nil, work.Answer{Status: 202, Body: []byte("first")}, nil
		}
		return func(a work.Answer, err error) {
			if a.Status == 201 && err == nil {
				results++
			}
		}, work.Answer{}, nil
	}})
	if h := f.sendRaw(t, getRequest("/once", "X-Id: 1")); h.StatusCode() != 201 || results != 1 {
		t.Errorf("first: %d, %d results", h.StatusCode(), results)
	}
	if h := f.sendRaw(t, getRequest("/once", "X-Id: 1")); h.StatusCode() != 202 || string(h.Body()) != "first" || results != 1 {
		t.Errorf("resend: %v, %d results", h, results)
	}
}

// Guards against a planned stop that cuts off a request, refuses one that the load balancer still sends, or keeps
// connections alive.
func TestStop(t *testing.T) {
	hold, began := make(chan struct{}), make(chan struct{}, 2)
	f := start(t, front.Config{Send: func(context.Context, *work.Request) (work.Answer, error) {
		began <- struct{}{}
		<-hold
		return work.Answer{Status: 200}, nil
	}})
	var wg conc.WaitGroup
	ask := func() {
		if h := f.sendRaw(t, getRequest("/plain")); h.StatusCode() != 200 {
			t.Errorf("while stopping: %v", h)
		}
	}
	wg.Go(ask)
	<-began
	ctx, cancel := context.WithCancel(context.Background())
	wg.Go(func() { _ = f.Stop(ctx, time.Hour) })
	wg.Go(ask) // still accepted
	<-began
	close(hold)
	waitForConnectionClose(t, f)
	cancel() // ends the linger time
	wg.Wait()
	<-f.serveReturned
}

// Guards against a stop that returns while a request is in progress.
func TestStopWaits(t *testing.T) {
	hold, began := make(chan struct{}), make(chan struct{})
	var finished atomic.Bool
	f := start(t, front.Config{Send: func(context.Context, *work.Request) (work.Answer, error) {
		close(began)
		<-hold
		finished.Store(true)
		return work.Answer{Status: 200}, nil
	}})
	var wg conc.WaitGroup
	wg.Go(func() {
		if h := f.sendRaw(t, getRequest("/plain")); h.StatusCode() != 200 {
			t.Errorf("request in progress: %v", h)
		}
	})
	<-began
	wg.Go(func() {
		if err := f.Stop(context.Background(), 0); err != nil || !finished.Load() {
			t.Errorf("stopped with a request in progress: %v", err)
		}
	})
	for { // until the listener is closed
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			break
		}
		_ = c.Close()
	}
	close(hold)
	wg.Wait()
}

// waitForConnectionClose waits until answers carry "Connection: close".
func waitForConnectionClose(t *testing.T, f *testFrontend) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f.sendRaw(t, getRequest("/plain")).ConnectionClose(); {
		if time.Now().After(end) {
			t.Fatal("answers still lack \"Connection: close\"")
		}
	}
}

// Guards against repeatable work that continues after its caller has closed the connection, and against a slow sender
// that keeps a connection.
func TestCallerGoneAndSlowSender(t *testing.T) {
	ended := make(chan bool, 1)
	f := start(t, front.Config{Send: func(ctx context.Context, _ *work.Request) (work.Answer, error) {
		<-ctx.Done()
		ended <- ctx.Err() == context.Canceled
		return work.Answer{}, result.FromError(ctx.Err())
	}})
	dial := func(f *testFrontend, text string) net.Conn {
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(text))
		return c
	}
	c := dial(f, getRequest("/plain"))
	_ = c.Close()
	if !<-ended {
		t.Error("the request was not cancelled when its caller closed the connection")
	}
	f = start(t, front.Config{ReadTimeout: 300 * time.Millisecond, MaxConns: 1})
	slow := dial(f, "GET /plain HTTP/1.1\r\n")
	defer func() { _ = slow.Close() }()
	if h := f.sendRaw(t, ""); h.StatusCode() != 503 || string(h.Header.Peek(result.VerdictHeader)) != "may-have-run" {
		t.Errorf("connection beyond the limit: %v", h)
	}
	_ = slow.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp := new(fasthttp.Response)
	if err := resp.Read(bufio.NewReader(slow)); err != nil || resp.StatusCode() != fasthttp.StatusRequestTimeout || string(resp.Header.Peek(result.VerdictHeader)) != "may-have-run" {
		t.Errorf("slow sender: %v, %v", resp, err)
	}
}

// Guards against long bodies that reach the server changed or are counted after their answer, and against wrong verdicts of bodies
// that are too long, find no room, end early or come too slowly.
func TestLongBodies(t *testing.T) {
	budget := intake.New(1 << 20)
	f := start(t, front.Config{
		MaxBody: 300 << 10, Budget: budget, ReadTimeout: time.Second,
		Send: func(_ context.Context, req *work.Request) (work.Answer, error) {
			return work.Answer{Status: 200, Body: req.Body}, nil
		},
	})
	for name, c := range map[string]struct {
		path    string
		length  int
		held    int64 // by others
		cut     int   // bytes that are not sent
		status  int
		verdict string
	}{
		"short":        {"/plain", 4000, 1 << 20, 0, 200, "ran"},
		"medium":       {"/plain", 9000, 1 << 20, 0, 200, "ran"},
		"long":         {"/plain", 250 << 10, 0, 0, 200, "ran"},
		"no room":      {"/plain", 250 << 10, 1 << 20, 0, 503, "not-run"},
		"no room once": {"/once", 250 << 10, 1 << 20, 0, 503, "may-have-run"},
		"too long":     {"/plain", 301 << 10, 0, 0, 413, "not-run"},
		"slow":         {"/plain", 100 << 10, 0, 1, 408, "may-have-run"},
		"slow short":   {"/plain", 2000, 0, 1, 408, "may-have-run"},
	} {
		body := strings.Repeat("0123456789", c.length/10)
		budget.Add(c.held)
		for framing, text := range map[string]string{
			fmt.Sprint("Content-Length: ", len(body)): body,
			"Transfer-Encoding: chunked":              fmt.Sprintf("1\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", body[:1], len(body)-1, body[1:]),
		} {
			h := f.sendRaw(t, "POST "+c.path+" HTTP/1.1\r\nHost: x\r\n"+framing+"\r\n\r\n"+text[:len(text)-c.cut])
			if got := string(h.Header.Peek(result.VerdictHeader)); h.StatusCode() != c.status || got != c.verdict || c.status == 200 && string(h.Body()) != body {
				t.Errorf("%s, %s: got %d, %s, %d bytes", name, framing, h.StatusCode(), got, len(h.Body()))
			}
			if after := string(h.Header.Peek("Retry-After")); (after != "") != (c.status == 503) || h.ConnectionClose() != (c.status != 200) {
				t.Errorf("%s, %s: Retry-After %q, closes %v", name, framing, after, h.ConnectionClose())
			}
		}
		budget.Add(-c.held)
	}
	for end := time.Now().Add(5 * time.Second); budget.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes still count", budget.Used())
		}
	}
}
