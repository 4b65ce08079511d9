package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/entry"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// BenchmarkCallers measures requests of 64 callers, each of which sends so many at once and waits for their answers. Servers take
// 20 ms, or answer at once.
func BenchmarkCallers(b *testing.B) {
	const callers = 64
	for _, server := range []time.Duration{20 * time.Millisecond, 0} {
		for _, depth := range []int{1, 8} {
			b.Run(fmt.Sprintf("server=%v/depth=%d", server, depth), func(b *testing.B) {
				w := snapshotWithRoutes()
				w.Servers = map[string]*topo.Server{"s": {}}
				e := entry.New(entry.Config{
					Snapshot:    func() *topo.Snapshot { return w },
					ReadRequest: func(h *fasthttp.Request, r *work.Request, _ time.Time) { r.ReadRequest(h) },
					WriteAnswer: func(h *fasthttp.Response, a *work.Answer, _ string) { a.WriteResponseWithoutVerdict(h) },
					Send: func(time.Time, *sender.Call) (work.Answer, error) {
						time.Sleep(server)
						return work.Answer{Status: 200, Body: []byte("answer")}, nil
					},
				})
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				go func() { _ = e.Serve(ln) }()
				defer func() { _ = ln.Close() }()
				raw := strings.Repeat(getRequest("/a/"), depth)
				b.ReportAllocs()
				b.ResetTimer()
				var wg conc.WaitGroup
				for range callers {
					wg.Go(func() { call(b, ln.Addr().String(), raw, depth, b.N/callers/depth+1) })
				}
				wg.Wait()
			})
		}
	}
}

// call sends raw, which holds depth requests, n times over one connection.
func call(b *testing.B, addr, raw string, depth, n int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = c.Close() }()
	br, resp := bufio.NewReader(c), new(fasthttp.Response)
	for range n {
		if _, err := c.Write([]byte(raw)); err != nil {
			b.Error(err)
			return
		}
		for range depth {
			if err := resp.Read(br); err != nil || resp.StatusCode() != fasthttp.StatusOK {
				b.Errorf("status %d, %v", resp.StatusCode(), err)
				return
			}
		}
	}
}
