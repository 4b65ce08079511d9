package sender_test

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/load"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
)

// Guards against load reports that are read but don't reach the choice of the server.
func TestReportedLoad(t *testing.T) {
	const idle, busy = "Load: 0,0,3,100\r\n", "Load: 3,6,3,300\r\n"
	answer := func(report string) string {
		return "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: s\r\n" + report + "Content-Length: 0\r\n\r\n"
	}
	a, b := startServer(t, "a", answer(idle), answer(busy)), startServer(t, "b", answer(idle))
	s := newSenderWith(t, snapshotOf(false, a, b), func(cfg *sender.Config) {
		read := cfg.ReadReply
		cfg.ReadReply = func(h *fasthttp.Response) sender.Reply {
			r := read(h)
			r.Load, r.HasLoad = load.Parse(h.Header.Peek("Load"))
			return r
		}
	})
	send := func() {
		if x, err := s.send(context.Background(), false, time.Second); err != nil || x.Status != 200 {
			t.Fatalf("status %d, %v", x.Status, err)
		}
	}
	// Equal response times, and as many requests as make each server known.
	s.SetSharedLatencies(time.Now(), map[string]time.Duration{"a": 300 * time.Millisecond, "b": 300 * time.Millisecond})
	for a.requestCount.Load() < 2 {
		send()
	}
	for range 20 {
		send()
	}
	if n := a.requestCount.Load(); n > 3 {
		t.Errorf("%d of 20 requests went to the server that reports a queue", n-2)
	}
}
