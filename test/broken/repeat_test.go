package broken_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	refusal = "HTTP/1.1 503 Full\r\nX-Bramleycove-Request-Id: ID\r\nX-Bramleycove-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	success = "HTTP/1.1 200 OK\r\nSTAMPContent-Length: 2\r\n\r\nok"
)

// repeating returns a handler that refuses the first request of all connections, runs the others, which it counts, and writes each
// refusal once more on its connection before the next answer there.
func repeating(requests, runs *atomic.Int32) func(*serverConn) {
	return func(c *serverConn) {
		for last := ""; ; {
			id, err := c.next()
			if err != nil {
				return
			}
			c.reply(last, "")
			if requests.Add(1) == 1 {
				last = strings.ReplaceAll(refusal, "ID", id)
				c.reply(last, "")
				continue
			}
			runs.Add(1)
			last = ""
			c.reply(success, id)
		}
	}
}

// Guards against an earlier refusal, written once more on a kept connection, that counts for a request that runs: the caller is told to
// try again, and the request runs twice.
func TestRefusalRepeated(t *testing.T) {
	for name, ids := range map[string][2]string{"other request": {"r1", "r2"}, "same request": {"r1", "r1"}, "without ids": {"", ""}, "one without id": {"r1", ""}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests, runs atomic.Int32
			addr := startRouter(t, true, startServer(t, "s", repeating(&requests, &runs)))
			if a := call(t, addr, "POST", "/once/", ids[0], nil); a.status != 503 || runs.Load() != 0 {
				t.Fatalf("refused: %d, %d runs", a.status, runs.Load())
			}
			if a := call(t, addr, "POST", "/once/", ids[1], nil); a.status != 200 || a.body != "ok" || runs.Load() != 1 {
				t.Errorf("%d %q, %d runs", a.status, a.body, runs.Load())
			}
		})
	}
}

// Guards against connections that are closed though no copy of an answer could be mistaken, or that keep what was sent on them without end.
func TestConnectionKept(t *testing.T) {
	var conns atomic.Int32
	answer := answering(success)
	addr := startRouter(t, false, startServer(t, "s", func(c *serverConn) {
		conns.Add(1)
		answer(c)
	}))
	for i := range 600 {
		if a := call(t, addr, "GET", "/any/", fmt.Sprint("r", i), nil); a.status != 200 {
			t.Fatalf("request %d: %d", i, a.status)
		}
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections for 600 requests one after the other", n)
	}
}
