package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/heads"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// endlessServer writes head, and then more until the connection is closed, to each request for /bad. Others get "ok".
type endlessServer struct {
	head, more string
	pause      time.Duration
	written    atomic.Int64
	closed     chan struct{}
}

func (s *endlessServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req := new(fasthttp.Request)
		if req.Read(br) != nil {
			return
		}
		if string(req.Header.RequestURI()) != "/bad" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", req.Header.Peek("Request-Id"))
			continue
		}
		_, err := c.Write([]byte(strings.ReplaceAll(s.head, "ID", string(req.Header.Peek("Request-Id")))))
		for err == nil {
			var n int
			n, err = c.Write([]byte(s.more))
			s.written.Add(int64(n))
			time.Sleep(s.pause)
		}
		close(s.closed)
		return
	}
}

// Guards against a server that sends bytes without end, in a head or a body, until its caller closes: they took the memory of
// the process. The request fails within its deadline, other requests are served meanwhile, and the connection is not used again.
func TestEndless(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
	const (
		budget  = 1 << 20
		timeout = 4 * time.Second
	)
	for name, c := range map[string]struct {
		head, more string
		pause      time.Duration
		want       error
	}{
		"line of a head":   {answer + "X: ", strings.Repeat("x", 1000), 0, nil},
		"lines of a head":  {answer, "X: " + strings.Repeat("x", 1000) + "\r\n", 0, nil},
		"no answer at all": {"", strings.Repeat("\x00\xff", 500), 0, nil},
		"interim answers":  {"", "HTTP/1.1 102 Processing\r\n\r\n", 0, heads.ErrInterim},
		"body":             {answer + "Connection: close\r\n\r\n", strings.Repeat("x", 1000), 0, conns.ErrTooLarge},
		"chunks":           {answer + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n", 0, conns.ErrTooLarge},
		"trailer":          {answer + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: " + strings.Repeat("x", 1000) + "\r\n", 0, nil},
		"byte by byte":     {answer + "Connection: close\r\n\r\n", "x", 10 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &endlessServer{head: c.head, more: c.more, pause: c.pause, closed: make(chan struct{})}
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go s.serve(c)
				}
			}()
			defer func() { _ = ln.Close() }()
			b := intake.New(budget)
			p := conns.NewWith(netip.MustParseAddrPort(ln.Addr().String()), 2, conns.Options{AcceptUnframed: true, Budget: b})
			defer p.Close()
			do := func(path string, timeout time.Duration) (string, bool, error) {
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				req, resp := new(fasthttp.Request), new(fasthttp.Response)
				req.SetRequestURI(path)
				req.Header.SetHost("h")
				req.Header.Set("Request-Id", "r1")
				sent, err := p.Do(ctx, req, resp, time.Time{})
				return string(resp.Body()), sent, err
			}
			type outcome struct {
				sent bool
				err  error
			}
			bad := make(chan outcome, 1)
			begin := time.Now()
			go func() {
				_, sent, err := do("/bad", timeout)
				bad <- outcome{sent, err}
			}()
			for range 3 {
				if body, _, err := do("/good", 5*time.Second); body != "ok" || err != nil {
					t.Errorf("beside the endless answer: %q, %v", body, err)
				}
			}
			out := <-bad
			if took := time.Since(begin); out.err == nil || !out.sent || took > timeout+time.Second {
				t.Errorf("sent %v, error %v after %v", out.sent, out.err, took)
			}
			if errors.Is(out.err, os.ErrDeadlineExceeded) && c.pause == 0 {
				t.Errorf("read until the deadline: %v", out.err)
			}
			select {
			case <-s.closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed")
			}
			// Buffers of both sockets hold some more.
			if n := s.written.Load(); n > budget+16<<20 {
				t.Errorf("%d bytes were taken", n)
			}
			if n := b.Used(); n != 0 {
				t.Errorf("%d bytes still count", n)
			}
			if body, _, err := do("/good", 5*time.Second); body != "ok" || err != nil {
				t.Errorf("after it: %q, %v", body, err)
			}
			if c.want != nil && !errors.Is(out.err, c.want) {
				t.Errorf("error %v, want %v", out.err, c.want)
			}
		})
	}
}
