package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/entry"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// startFrontend serves w and send until the test ends and returns the frontend's address.
func startFrontend(t *testing.T, w *topo.Snapshot, send func(*sender.Call) (work.Answer, error)) (*entry.Frontend, string) {
	t.Helper()
	e := entry.New(entry.Config{
		Snapshot: func() *topo.Snapshot { return w }, AwaitStart: func(time.Time) *topo.Snapshot { return w },
		ReadRequest: func(h *fasthttp.Request, r *work.Request, now time.Time) {
			r.ReadRequest(h)
			r.ID, r.Deadline = string(h.Header.Peek("Id")), now.Add(time.Second)
		},
		WriteAnswer: func(h *fasthttp.Response, a *work.Answer, id string) {
			a.WriteResponseWithoutVerdict(h)
			h.Header.Set("Id", id)
		},
		Send: func(_ time.Time, x *sender.Call) (work.Answer, error) { return send(x) },
	})
	return e, serveFrontend(t, e)
}

// serveFrontend serves e until the test ends and returns the address.
func serveFrontend(t *testing.T, e *entry.Frontend) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := e.Serve(ln); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = e.Stop(ctx)
		<-done
	})
	return ln.Addr().String()
}

func snapshotWithRoutes() *topo.Snapshot {
	t := &tables.Tables{Routes: []tables.Route{
		{Name: "short", Host: "h", Path: "/a/"}, {Name: "long", Host: "h", Path: "/a/b/", Timeout: 100 * time.Millisecond},
	}}
	return &topo.Snapshot{Version: 3, Tables: t, Routes: topo.NewRoutes(t)}
}

// sendRaw sends text over a new connection and returns the answer.
func sendRaw(t *testing.T, addr, text string) *fasthttp.Response {
	t.Helper()
	c, err := net.Dial("tcp", addr)
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

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n" }

// Guards against wrong statuses of errors, and against a refusal without Retry-After.
func TestStatuses(t *testing.T) {
	okay := func(x *sender.Call) (work.Answer, error) {
		return work.Answer{Status: 201, Body: []byte(x.Route.Name + " " + x.URI)}, nil
	}
	_, serving := startFrontend(t, snapshotWithRoutes(), okay)
	_, starting := startFrontend(t, new(topo.Snapshot), okay)
	_, full := startFrontend(t, snapshotWithRoutes(), func(*sender.Call) (work.Answer, error) {
		return work.Answer{}, work.NewRefusal("full", 250*time.Millisecond)
	})
	_, lost := startFrontend(t, snapshotWithRoutes(), func(*sender.Call) (work.Answer, error) {
		return work.Answer{}, &result.Error{Verdict: result.MayHaveRun, Status: 502, Reason: "lost", RetryAfter: time.Second}
	})
	_, broken := startFrontend(t, snapshotWithRoutes(), func(*sender.Call) (work.Answer, error) { panic("fault") })
	for name, c := range map[string]struct {
		addr, text, body, after string
		status                  int
	}{
		"longest prefix": {serving, getRequest("/a/b/c?q=/x/"), "long /a/b/c?q=/x/", "", 201},
		"shorter prefix": {serving, getRequest("/a/bc"), "short /a/bc", "", 201},
		"slash in query": {serving, getRequest("/a?x=/a/b/"), "no-route\n", "", 404},
		"no route":       {serving, getRequest("/else/"), "no-route\n", "", 404},
		"other host":     {serving, strings.Replace(getRequest("/a/"), "Host: h", "Host: g", 1), "no-route\n", "", 404},
		"no tables":      {starting, getRequest("/a/"), "no-tables\n", "0.500", 503},
		"full":           {full, getRequest("/a/"), "full\n", "0.250", 503},
		"may have run":   {lost, getRequest("/a/"), "lost\n", "", 502},
		"panic":          {broken, getRequest("/a/"), "internal\n", "", 500},
		"long header":    {serving, "GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 30<<10) + "\r\n\r\n", "", "", 431},
		"no request":     {serving, "what\r\n\r\n", "", "", 400},
	} {
		resp := sendRaw(t, c.addr, c.text)
		if resp.StatusCode() != c.status || c.body != "" && string(resp.Body()) != c.body || string(resp.Header.Peek("Retry-After")) != c.after {
			t.Errorf("%s: got status %d, body %q, Retry-After %q", name, resp.StatusCode(), resp.Body(), resp.Header.Peek("Retry-After"))
		}
		if c.body != "" && string(resp.Header.Peek("Id")) != "r1" {
			t.Errorf("%s: got request id %q", name, resp.Header.Peek("Id"))
		}
	}
}

// Guards against a caller's later deadline overriding the route's timeout, and against work that continues after its
// caller has left.
func TestDeadlineAndCallerGone(t *testing.T) {
	left := make(chan time.Duration, 1)
	gone := make(chan time.Duration, 1)
	_, addr := startFrontend(t, snapshotWithRoutes(), func(x *sender.Call) (work.Answer, error) {
		if x.Route.Name == "long" {
			left <- time.Until(x.Deadline)
			return work.Answer{Status: 200}, nil
		}
		begun := time.Now()
		<-x.CallerCtx.Done()
		gone <- time.Since(begun)
		return work.Answer{}, work.NewRefusal("gone", 0)
	})
	sendRaw(t, addr, getRequest("/a/b/"))
	if d := <-left; d > 100*time.Millisecond || d < 50*time.Millisecond {
		t.Errorf("%v left until the deadline, with a timeout of 100 ms", d)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte(getRequest("/a/"))); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	select {
	case d := <-gone:
		if d > 500*time.Millisecond {
			t.Errorf("the closed connection was noticed after %v", d)
		}
	case <-time.After(2 * time.Second):
		t.Error("the closed connection was not noticed")
	}
}

// Guards against a stop that cuts off a request in progress, and against connections kept alive after it.
func TestStop(t *testing.T) {
	release := make(chan struct{})
	e, addr := startFrontend(t, snapshotWithRoutes(), func(*sender.Call) (work.Answer, error) {
		<-release
		return work.Answer{Status: 200, Body: []byte("whole")}, nil
	})
	got := make(chan *fasthttp.Response, 1)
	go func() { got <- sendRaw(t, addr, getRequest("/a/")) }()
	for e.InProgress() == 0 {
		time.Sleep(time.Millisecond)
	}
	e.StopKeepAlive()
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(release)
	if resp := <-got; string(resp.Body()) != "whole" || !resp.ConnectionClose() {
		t.Errorf("got body %q, Connection: close %v", resp.Body(), resp.ConnectionClose())
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against idle connections of some callers using up the limit, and against a connection beyond the limit that gets
// no answer.
func TestConnectionLimit(t *testing.T) {
	e := entry.New(entry.Config{
		MaxConns: 2, Snapshot: snapshotWithRoutes, AwaitStart: func(time.Time) *topo.Snapshot { return snapshotWithRoutes() },
		ReadRequest: func(h *fasthttp.Request, r *work.Request, _ time.Time) { r.ReadRequest(h) },
		WriteAnswer: func(h *fasthttp.Response, a *work.Answer, _ string) { a.WriteResponseWithoutVerdict(h) },
		Send:        func(time.Time, *sender.Call) (work.Answer, error) { return work.Answer{Status: 200}, nil },
	})
	ln := serveFrontend(t, e)
	first, err := net.Dial("tcp", ln)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	br := bufio.NewReader(first)
	ask := func() (closes bool) {
		if _, err := first.Write([]byte(getRequest("/a/"))); err != nil {
			t.Fatal(err)
		}
		resp := new(fasthttp.Response)
		if err := resp.Read(br); err != nil || resp.StatusCode() != 200 {
			t.Fatalf("status %d, %v", resp.StatusCode(), err)
		}
		return resp.ConnectionClose()
	}
	if ask() {
		t.Error("the connection was closed with 1 of 2 open")
	}
	second, err := net.Dial("tcp", ln)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	third, err := net.Dial("tcp", ln)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = third.Close() }()
	resp := new(fasthttp.Response)
	if err := resp.Read(bufio.NewReader(third)); err != nil || resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 {
		t.Errorf("connection beyond the limit: status %d, %v", resp.StatusCode(), err)
	}
	if !ask() {
		t.Error("the connection was kept alive with 2 of 2 open")
	}
}

// Guards against refusals by an instance that has just started and gets its tables within the time that its callers can spare.
// When 117 of 195 instances were killed at once, 900 requests were refused for that in the second after.
func TestAwaitStart(t *testing.T) {
	w, waits := new(topo.Snapshot), make(chan time.Duration, 1)
	e := entry.New(entry.Config{
		Snapshot: func() *topo.Snapshot { return w },
		AwaitStart: func(until time.Time) *topo.Snapshot {
			waits <- time.Until(until)
			return snapshotWithRoutes()
		},
		ReadRequest: func(h *fasthttp.Request, r *work.Request, now time.Time) {
			r.ReadRequest(h)
			r.Deadline = now.Add(2 * time.Second)
		},
		WriteAnswer: func(h *fasthttp.Response, a *work.Answer, _ string) { a.WriteResponseWithoutVerdict(h) },
		Send: func(_ time.Time, x *sender.Call) (work.Answer, error) {
			return work.Answer{Status: 200, Body: []byte(x.Route.Name)}, nil
		},
	})
	if resp := sendRaw(t, serveFrontend(t, e), getRequest("/a/")); string(resp.Body()) != "short" {
		t.Errorf("got status %d, body %q", resp.StatusCode(), resp.Body())
	}
	if d := <-waits; d <= 0 || d > 250*time.Millisecond {
		t.Errorf("waited up to %v, with 2 s left", d)
	}
}

// Guards against a request that is sent to a server although its deadline has passed while it waited for an order before it.
func TestDeadlineBehind(t *testing.T) {
	tables := &tables.Tables{Routes: []tables.Route{
		{Name: "order", Host: "h", Path: "/order/", Once: new(tables.OnceRule)}, {Name: "read", Host: "h", Path: "/read/", Timeout: 50 * time.Millisecond},
	}}
	left := make(chan time.Duration, 2)
	_, addr := startFrontend(t, &topo.Snapshot{Tables: tables, Routes: topo.NewRoutes(tables)}, func(x *sender.Call) (work.Answer, error) {
		if x.Route.Name == "order" {
			time.Sleep(100 * time.Millisecond)
		}
		left <- time.Until(x.Deadline)
		return work.Answer{Status: 200}, nil
	})
	sendRaw(t, addr, getRequest("/order/")+getRequest("/read/"))
	<-left
	if d := <-left; d > 0 {
		t.Errorf("%v left for a request that waited longer than its timeout", d)
	}
}

// Guards against a long head or body that changes on its way or is counted after its answer, and against wrong statuses of bodies over the published limit, over
// the budget, and of heads that come too slowly.
func TestLongBodies(t *testing.T) {
	w := snapshotWithRoutes()
	w.Tables.Limits = tables.Limits{Body: 300 << 10, HeaderTime: time.Millisecond}
	budget := intake.New(1 << 20)
	e := entry.New(entry.Config{
		Budget: budget, Snapshot: func() *topo.Snapshot { return w }, AwaitStart: func(time.Time) *topo.Snapshot { return w },
		ReadRequest: func(h *fasthttp.Request, r *work.Request, _ time.Time) { r.ReadRequest(h) },
		WriteAnswer: func(h *fasthttp.Response, a *work.Answer, _ string) { a.WriteResponseWithoutVerdict(h) },
		Send: func(_ time.Time, x *sender.Call) (work.Answer, error) {
			return work.Answer{Status: 200, Body: x.Body}, nil
		},
	})
	addr := serveFrontend(t, e)
	for _, c := range []struct {
		length, status int
		held           int64 // by others
	}{{4000, 200, 0}, {9000, 200, 1 << 20}, {250 << 10, 200, 0}, {250 << 10, 503, 1 << 20}, {301 << 10, 413, 0}} {
		budget.Add(c.held)
		body := strings.Repeat("0123456789", c.length/10)
		for framing, text := range map[string]string{
			fmt.Sprint("Content-Length: ", len(body)): body,
			"Transfer-Encoding: chunked":              fmt.Sprintf("%x;ext\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 1, body[:1], len(body)-1, body[1:]),
		} {
			resp := sendRaw(t, addr, "POST /a/ HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n"+text)
			if resp.StatusCode() != c.status || c.status == 200 && string(resp.Body()) != body {
				t.Errorf("%d bytes, %s: got %d with %d bytes", len(body), framing, resp.StatusCode(), len(resp.Body()))
			}
			if after := string(resp.Header.Peek("Retry-After")); (after != "") != (c.status == 503) {
				t.Errorf("%d bytes, %s: Retry-After %q", len(body), framing, after)
			}
		}
		budget.Add(-c.held)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	longHead := "POST /a/ HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 15<<10) + "\r\n"
	br, body := bufio.NewReader(c), strings.Repeat("0123456789", 1000)
	for _, held := range []int64{0, 0, 1 << 21} {
		budget.Add(held)
		for range 3 {
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s%s\r\n", longHead, len(body), body, getRequest("/a/"))
		}
		for i := range 6 {
			resp := new(fasthttp.Response)
			if err := resp.Read(br); held > 0 {
				if err != nil || resp.StatusCode() != 503 || !resp.ConnectionClose() {
					t.Errorf("long head without room: got %d, %v", resp.StatusCode(), err)
				}
				break
			} else if err != nil || resp.StatusCode() != 200 || i%2 == 0 && string(resp.Body()) != body || i%2 == 1 && len(resp.Body()) > 0 {
				t.Fatalf("long head, answer %d: got %d with %d bytes, %v", i, resp.StatusCode(), len(resp.Body()), err)
			}
		}
		budget.Add(-held)
	}
	if resp := sendRaw(t, addr, "GET /a/ HTTP/1.1\r\nHost:"); resp.StatusCode() != 408 {
		t.Errorf("slow head: got %d", resp.StatusCode())
	}
	for end := time.Now().Add(5 * time.Second); budget.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes still count", budget.Used())
		}
	}
}
