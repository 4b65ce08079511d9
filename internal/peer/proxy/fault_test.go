package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// faultyServer is a server that fails in many ways and counts the runs of each request.
type faultyServer struct {
	mu    sync.Mutex
	rand  *rand.Rand
	runs  map[string]int
	conns []net.Conn
	busy  atomic.Int32 // requests being handled
}

func (f *faultyServer) randIntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.IntN(n)
}

func (f *faultyServer) recordRun(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

func (f *faultyServer) listen(t *testing.T) netip.AddrPort {
	ln, addr := listen(t)
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns = append(f.conns, c)
			f.mu.Unlock()
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				if f.randIntN(20) == 0 {
					return // closed before anything was read
				}
				br := bufio.NewReader(c)
				for open := true; open; {
					open = f.serve(c, br)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		f.mu.Lock()
		for _, c := range f.conns {
			_ = c.Close()
		}
		f.mu.Unlock()
		wg.Wait()
	})
	return addr
}

// serve handles one request and reports whether the connection stays open.
func (f *faultyServer) serve(c net.Conn, br *bufio.Reader) bool {
	req := new(fasthttp.Request)
	if req.Read(br) != nil {
		return false
	}
	f.busy.Add(1)
	defer f.busy.Add(-1)
	id := string(req.Header.Peek(work.RequestIDHeader))
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n"
	whole := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(id), id)
	kind := f.randIntN(20)
	switch {
	case req.Header.IsDelete():
		_, _ = c.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
		return true
	case kind == 0: // reads the request, but does not run it
		return false
	case kind == 1:
		_, _ = c.Write([]byte(head + "Verdict: not-run\r\nContent-Length: 0\r\n\r\n"))
		return true
	case kind == 2: // runs after the deadline
		time.Sleep(300 * time.Millisecond)
	}
	f.recordRun(id)
	switch kind {
	case 3:
		return false
	case 4:
		_, _ = c.Write([]byte(whole[:len(whole)-1]))
		return false
	case 5:
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: x" + id + "\r\nContent-Length: 1\r\n\r\nx"))
		return true
	}
	_, err := c.Write([]byte(whole))
	return err == nil && kind != 6 // 6 closes the connection while it is idle
}

// Guards against the verdict "not run" for a request that ran, the answer of another request, a truncated answer taken
// for complete, and a request sent again after it may have run.
func TestFaultyServers(t *testing.T) {
	const seed = 11
	t.Log("seed", seed)
	f := &faultyServer{rand: rand.New(rand.NewPCG(seed, seed)), runs: make(map[string]int)}
	_, forwarder, dispatcher := newFleet(t)
	dispatcher.setLanes(7, 2, f.listen(t), f.listen(t), f.listen(t), f.listen(t))
	var mu sync.Mutex
	verdicts := map[string]result.Verdict{}
	var wg conc.WaitGroup
	for caller := range 6 {
		wg.Go(func() {
			for n := range 100 {
				req := newRequest("cut")
				req.ID, req.Retryable = fmt.Sprintf("c%d-%d", caller, n), true
				req.Deadline = time.Now().Add(150 * time.Millisecond)
				ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
				a, err := forwarder.Send(ctx, req)
				cancel()
				v := result.Ran
				if err != nil {
					v = result.FromError(err).Verdict
				} else if string(a.Body) != req.ID {
					t.Errorf("got answer %q to request %s", a.Body, req.ID)
				}
				mu.Lock()
				verdicts[req.ID] = v
				mu.Unlock()
				if v == result.NotRun {
					time.Sleep(10 * time.Millisecond) // refused callers do not retry at once
				}
			}
		})
	}
	wg.Wait()
	for f.busy.Load() > 0 { // requests that timed out are still being handled
		time.Sleep(time.Millisecond)
	}
	count := map[result.Verdict]int{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, v := range verdicts {
		count[v]++
		if n := f.runs[id]; n > 1 || (v == result.Ran) && n != 1 || v == result.NotRun && n != 0 {
			t.Errorf("request %s ran %d times, but has the verdict %s", id, n, v)
		}
	}
	if count[result.Ran] == 0 || count[result.NotRun] == 0 || count[result.MayHaveRun] == 0 {
		t.Errorf("not all verdicts occurred: %v", count)
	}
	t.Log(count)
}
