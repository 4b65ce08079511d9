package server_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/plat/server"
)

// fakeServer is a TCP server whose connections a test handles.
type fakeServer struct {
	ln        net.Listener
	connCount atomic.Int32
	addr      netip.AddrPort
}

// startFakeServer calls handle for each connection, with its number from 1.
func startFakeServer(t *testing.T, handle func(n int32, c net.Conn, br *bufio.Reader)) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{ln: ln, addr: netip.MustParseAddrPort(ln.Addr().String())}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := f.connCount.Add(1)
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				handle(n, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return f
}

// readRequest returns the next request and its id.
func readRequest(br *bufio.Reader) (*fasthttp.Request, string, error) {
	req := new(fasthttp.Request)
	err := req.Read(br)
	return req, string(req.Header.Peek(work.RequestIDHeader)), err
}

func rawAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string, timeout time.Duration) (*work.Request, context.Context, context.CancelFunc) {
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	return &work.Request{
		ID: id, Pool: "cut", Slot: 5, Token: 77, Rank: "urgent", Identity: "ab", Deadline: deadline,
		Method: "POST", URI: "/cut", Body: []byte("net"),
	}, ctx, cancel
}

// Guards against a late answer to a timed-out request that reaches the next one, and a timed-out request that is not
// cancelled at the server.
func TestLateAnswer(t *testing.T) {
	cancelled := make(chan string, 1)
	release := make(chan struct{})
	f := startFakeServer(t, func(n int32, c net.Conn, br *bufio.Reader) {
		for {
			req, id, err := readRequest(br)
			switch {
			case err != nil:
				return
			case req.Header.IsDelete():
				cancelled <- string(req.Header.RequestURI())
				_, _ = c.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
				continue
			case n == 1:
				<-release
			}
			_, _ = c.Write([]byte(rawAnswer(id, "of "+id)))
		}
	})
	cl := server.New(f.addr, 2)
	defer cl.Close()
	req, ctx, cancel := newRequest("r1", 50*time.Millisecond)
	defer cancel()
	_, err := cl.Send(ctx, req, time.Time{})
	if e := result.FromError(err); e.Verdict != result.MayHaveRun || e.Status != 504 || e.Reason != server.ReasonTimeout {
		t.Fatalf("timed-out request: %v", err)
	}
	if got := <-cancelled; got != "/requests/r1" {
		t.Errorf("cancellation of %s", got)
	}
	close(release)
	for i := range 3 {
		req, ctx, cancel := newRequest(fmt.Sprint("n", i), 5*time.Second)
		r, err := cl.Send(ctx, req, time.Time{})
		if err != nil || string(r.Body) != "of "+req.ID {
			t.Errorf("next request: %q, %v", r.Body, err)
		}
		cancel()
	}
}

// Guards against a wrong verdict for each way in which an exchange can end.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		raw     string // sent after the request was read; "%s" is its id
		verdict result.Verdict
		status  int
		reason  string
	}{
		"whole":      {rawAnswer("%s", "ok"), result.Ran, 200, ""},
		"chunked":    {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", result.Ran, 200, ""},
		"interim":    {"HTTP/1.1 102 Processing\r\n\r\n" + rawAnswer("%s", "ok"), result.Ran, 200, ""},
		"truncated":  {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 9\r\n\r\nok", result.MayHaveRun, 502, server.ReasonLength},
		"cut chunks": {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", result.MayHaveRun, 502, server.ReasonLength},
		"no length":  {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\n\r\nok", result.MayHaveRun, 502, server.ReasonLength},
		"other id":   {rawAnswer("x%s", "ok"), result.MayHaveRun, 502, server.ReasonMismatch},
		"no id":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", result.MayHaveRun, 502, server.ReasonMismatch},
		"nothing":    {"", result.MayHaveRun, 504, server.ReasonLost},
		"cut header": {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", result.MayHaveRun, 504, server.ReasonLost},
		"status 000": {"\r\nHTTP/1.1 000 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", result.MayHaveRun, 502, server.ReasonStatus},
		"status 099": {"HTTP/1.1 099 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", result.MayHaveRun, 502, server.ReasonStatus},
		"status 600": {"HTTP/1.1 600 Busy\r\nRequest-Id: %s\r\nVerdict: not-run\r\nContent-Length: 0\r\n\r\n", result.MayHaveRun, 502, server.ReasonStatus},
		"status 101": {"HTTP/1.1 101 Switching\r\nRequest-Id: %s\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", result.MayHaveRun, 502, server.ReasonStatus},
		"after 102":  {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1  000\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", result.MayHaveRun, 502, server.ReasonStatus},
		"bad name":   {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok", result.MayHaveRun, 502, server.ReasonMalformed},
		"bad length": {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length : 2\r\n\r\nok", result.MayHaveRun, 502, server.ReasonMalformed},
		"refused":    {"HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nVerdict: not-run\r\nRetry-After: 2\r\nLeaving: true\r\nContent-Length: 0\r\n\r\n", result.NotRun, 503, server.ReasonRefused},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFakeServer(t, func(_ int32, conn net.Conn, br *bufio.Reader) {
				if _, id, err := readRequest(br); err == nil {
					_, _ = conn.Write([]byte(strings.ReplaceAll(c.raw, "%s", id)))
				}
			})
			cl := server.New(f.addr, 1)
			defer cl.Close()
			req, ctx, cancel := newRequest("r1", 5*time.Second)
			defer cancel()
			r, err := cl.Send(ctx, req, time.Time{})
			if c.reason == "" {
				if err != nil || r.Status != c.status || string(r.Body) != "ok" {
					t.Errorf("%d %q %v", r.Status, r.Body, err)
				}
				return
			}
			if e := result.FromError(err); e.Verdict != c.verdict || e.Status != c.status || e.Reason != c.reason {
				t.Errorf("%v, status %d", err, e.Status)
			}
			if cl.OpenConnections() != 0 && c.reason != server.ReasonRefused {
				t.Error("the connection was kept")
			}
			if c.reason == server.ReasonRefused && !r.Leaving {
				t.Error("the server's Leaving header was lost")
			}
		})
	}
}

// Guards against requests reported as possibly run after a refused connection, an expired permission or a
// reached connection limit, and against a byte being sent in these cases.
func TestNotSent(t *testing.T) {
	var received atomic.Int32
	answerNow := make(chan struct{})
	f := startFakeServer(t, func(_ int32, c net.Conn, br *bufio.Reader) {
		if _, id, err := readRequest(br); err == nil {
			received.Add(1)
			<-answerNow
			_, _ = c.Write([]byte(rawAnswer(id, "ok")))
		}
	})
	expect := func(cl *server.Client, until time.Time, reason string) {
		t.Helper()
		req, ctx, cancel := newRequest("r1", 5*time.Second)
		defer cancel()
		_, err := cl.Send(ctx, req, until)
		if e := result.FromError(err); e.Verdict != result.NotRun || e.Reason != reason {
			t.Errorf("%v, want %s", err, reason)
		}
	}
	cl := server.New(f.addr, 1)
	expect(cl, time.Now(), server.ReasonLapsed)
	if received.Load() != 0 {
		t.Error("a request was sent after the permission had ended")
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		req, ctx, cancel := newRequest("r0", 5*time.Second)
		defer cancel()
		_, _ = cl.Send(ctx, req, time.Now().Add(time.Minute))
	})
	for received.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	expect(cl, time.Time{}, server.ReasonLimit)
	close(answerNow)
	wg.Wait()
	_ = f.ln.Close()
	expect(server.New(f.addr, 1), time.Time{}, server.ReasonConnect)
}

// Guards against a request that fails because the server closed an idle connection: a close before the first byte is
// detected and the request goes out on a new connection. After the first byte the outcome is unknown.
func TestIdleClose(t *testing.T) {
	closed := make(chan struct{}, 1)
	f := startFakeServer(t, func(n int32, c net.Conn, br *bufio.Reader) {
		_, id, err := readRequest(br)
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(rawAnswer(id, "ok")))
		if n == 1 {
			_ = c.Close()
			closed <- struct{}{}
			return
		}
		// The server reads a byte of the next request and closes, as if its keep-alive timeout had expired at that moment.
		_, _ = br.ReadByte()
	})
	cl := server.New(f.addr, 1)
	defer cl.Close()
	lastID := 0
	send := func() error {
		lastID++ // a connection carries an id once
		req, ctx, cancel := newRequest(fmt.Sprint("r", lastID), 5*time.Second)
		defer cancel()
		_, err := cl.Send(ctx, req, time.Time{})
		return err
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	<-closed
	if err := send(); err != nil {
		t.Errorf("request on a connection closed while idle: %v", err)
	}
	err := send()
	if e := result.FromError(err); e.Verdict != result.MayHaveRun || e.Reason != server.ReasonLost {
		t.Errorf("request on a connection closed while it was being written: %v", err)
	}
	if n := f.connCount.Load(); n != 2 {
		t.Errorf("%d connections, want 2: a request that may have run must not be sent again", n)
	}
}

// Guards against an earlier refusal of the same request, written once more on its connection, that counts while the request runs.
func TestRefusalRepeated(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nVerdict: not-run\r\nContent-Length: 0\r\n\r\n"
	var refused atomic.Bool
	f := startFakeServer(t, func(_ int32, c net.Conn, br *bufio.Reader) {
		for again := ""; ; again = refusal {
			_, id, err := readRequest(br)
			if err != nil {
				return
			}
			answer := rawAnswer(id, "ok")
			if !refused.Swap(true) {
				answer = refusal
			}
			_, _ = c.Write([]byte(again + answer))
		}
	})
	cl := server.New(f.addr, 1)
	defer cl.Close()
	for _, want := range []result.Verdict{result.NotRun, result.Ran} {
		req, ctx, cancel := newRequest("r1", 5*time.Second)
		_, err := cl.Send(ctx, req, time.Time{})
		cancel()
		verdict := result.Ran
		if err != nil {
			verdict = result.FromError(err).Verdict
		}
		if verdict != want {
			t.Errorf("%v, %v, want %v", verdict, err, want)
		}
	}
}
