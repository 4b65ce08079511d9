package pipe_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/pipe"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// backend answers requests by their path. Those whose path has "hold" wait for release or the caller's leaving.
type backend struct {
	mu        sync.Mutex
	arrived   []string // paths in the order of their start
	cancelled int
	release   chan struct{}
	closing   bool
	writeTime time.Duration // of each answer
}

func (b *backend) answer(ctx context.Context, path string, _ time.Time) work.Answer {
	b.mu.Lock()
	b.arrived = append(b.arrived, path)
	b.mu.Unlock()
	switch {
	case strings.Contains(path, "hold"):
		select {
		case <-b.release:
		case <-ctx.Done():
			b.mu.Lock()
			defer b.mu.Unlock()
			b.cancelled++
		}
	case strings.Contains(path, "panic"):
		panic("fault")
	case strings.Contains(path, "large"):
		return work.Answer{Status: 200, Body: bytes.Repeat([]byte("x"), 400<<10)}
	}
	return work.Answer{Status: 200, Body: []byte(path)}
}

func (b *backend) paths() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.arrived...)
}

func (b *backend) isClosing() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closing
}

func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closing = true
}

func start(t testing.TB, spare int64) (*pipe.Server[string], *backend, string) {
	t.Helper()
	return startWith(t, spare, intake.New(64<<20))
}

func startWith(t testing.TB, spare int64, budget *intake.Budget) (*pipe.Server[string], *backend, string) {
	t.Helper()
	b := &backend{release: make(chan struct{})}
	s := pipe.New(pipe.Config[string]{
		Limits: pipe.Limits{Requests: 4, Bytes: 64 << 10}, SpareBytes: spare, ReadBuffer: 4096, MaxBody: func() int { return 1 << 20 }, Budget: budget, HeaderTimeout: func() time.Duration { return 5 * time.Second },
		ReadTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second,
		Read: func(h *fasthttp.Request, body []byte, _ time.Time) (string, bool, int) {
			body = append(body, h.Body()...)
			return string(h.RequestURI()) + string(body), string(h.Header.Method()) == "POST", 100 + len(body)
		},
		Answer: b.answer, CloseAfterAnswer: b.isClosing,
		Write: func(h *fasthttp.Response, _ string, a *work.Answer) {
			time.Sleep(b.writeTime)
			a.WriteResponseWithoutVerdict(h)
		},
		Malformed: func(h *fasthttp.Response, _ error) { h.SetStatusCode(400) },
		Done:      func(string, time.Duration, time.Time) {}, Panicked: func(error) {},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Stop(ctx)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, b, ln.Addr().String()
}

// caller is the other end of a connection.
type caller struct {
	net.Conn
	t  testing.TB
	br *bufio.Reader
}

func dial(t testing.TB, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c, t, bufio.NewReader(c)}
}

func (c *caller) send(raw string) {
	c.t.Helper()
	if _, err := c.Write([]byte(raw)); err != nil {
		c.t.Fatal(err)
	}
}

// want reads answers with these bodies, and checks which of them closes the connection: only the last, and only if closes.
func (c *caller) want(closes bool, bodies ...string) {
	c.t.Helper()
	for i, want := range bodies {
		var resp fasthttp.Response
		if err := resp.Read(c.br); err != nil {
			c.t.Fatalf("answer %d, want %q: %v", i, want, err)
		}
		if string(resp.Body()) != want || resp.ConnectionClose() != (closes && i == len(bodies)-1) {
			c.t.Fatalf("answer %d is %.50q, %d bytes, closes %v, want %.50q, %d bytes", i, resp.Body(), len(resp.Body()), resp.ConnectionClose(), want, len(want))
		}
	}
	if closes {
		if n, err := io.Copy(io.Discard, c.br); n != 0 || err != nil {
			c.t.Fatalf("%d bytes after the last answer, %v", n, err)
		}
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// Guards against a request that waits for the server of an earlier one, against answers out of order, and against an order
// that is sent beside other requests.
func TestSideBySide(t *testing.T) {
	_, b, addr := start(t, 1<<20)
	c := dial(t, addr)
	c.send(get("/hold") + get("/a") + post("/order", "1") + get("/b"))
	await(t, "the second lookup is served beside the first", func() bool { return len(b.paths()) == 2 })
	time.Sleep(20 * time.Millisecond)
	if got := b.paths(); len(got) != 2 {
		t.Fatalf("%v were sent while the first waited", got)
	}
	close(b.release)
	c.want(false, "/hold", "/a", "/order1", "/b")
	if got := fmt.Sprint(b.paths()); !strings.HasSuffix(got, " /order1 /b]") {
		t.Errorf("started in the order %v", got)
	}
}

// Guards against a request that is passed on though the answer before it closes the connection, and against a reset that
// overtakes that answer because input was left unread.
func TestNothingBehindClose(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		want []string
	}{
		"stop while a lookup is in progress": {get("/hold") + get("/a") + post("/order", "") + get("/b"), []string{"/hold", "/a"}},
		"stop while an order is in progress": {post("/hold", "") + get("/a"), []string{"/hold"}},
		"the caller asks for it":             {get("/hold") + "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/b"), []string{"/hold", "/a"}},
		"malformed input":                    {get("/hold") + post("/order", "") + "what\r\n\r\n" + get("/b"), []string{"/hold", "/order", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			s, b, addr := start(t, 1<<20)
			caller := dial(t, addr)
			caller.send(c.raw)
			await(t, "the first is in progress", func() bool { return s.InProgress() > 0 })
			if strings.HasPrefix(name, "stop") {
				await(t, "what may start has started", func() bool { return len(b.paths()) == len(c.want) })
				b.close()
			}
			close(b.release)
			caller.want(true, c.want...)
			for _, path := range b.paths() {
				if path == "/b" {
					t.Error("a request behind the closing answer was passed on")
				}
			}
		})
	}
}

// Guards against a connection that is closed while its last answer is being written: the answer was lost now and then.
func TestLastAnswerWritten(t *testing.T) {
	_, b, addr := start(t, 1<<20)
	b.writeTime = time.Millisecond
	// It takes many connections for the writer to begin before the reader waits for it.
	var wg conc.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 150 {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				var resp fasthttp.Response
				_, err = c.Write([]byte("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
				if err = errors.Join(err, resp.Read(bufio.NewReader(c)), c.Close()); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// Guards against work that goes on for a caller that has left, and against bytes that stay counted for it.
func TestCallerLeaves(t *testing.T) {
	s, b, addr := start(t, 1<<20)
	c := dial(t, addr)
	c.send(get("/hold1") + get("/hold2") + post("/order", ""))
	await(t, "both lookups are in progress", func() bool { return s.InProgress() == 2 })
	_ = c.Close()
	left := time.Now()
	await(t, "both are cancelled", func() bool { return s.InProgress() == 0 })
	if d := time.Since(left); d > 500*time.Millisecond || b.cancelled != 2 {
		t.Errorf("%d lookups cancelled %v after the caller left", b.cancelled, d)
	}
	if got := b.paths(); len(got) != 2 {
		t.Errorf("passed on: %v", got)
	}
	await(t, "nothing is held", func() bool { return s.HeldBytes() == 0 })
}

// Guards against a caller whose requests or unread answers take the memory of the instance, or that holds up others.
func TestBounds(t *testing.T) {
	s, b, addr := start(t, 1<<20)
	greedy := dial(t, addr)
	go func() { _, _ = greedy.Write([]byte(strings.Repeat(get("/large"), 100))) }() // reads nothing
	await(t, "answers wait", func() bool { return s.HeldBytes() > 64<<10 })
	time.Sleep(50 * time.Millisecond)
	if n := len(b.paths()); n > 20 { // buffers of the connection take some answers
		t.Errorf("%d requests of a caller that reads nothing were served", n)
	}
	if held := s.HeldBytes(); held > 4*(400<<10)+(64<<10) {
		t.Errorf("%d bytes held for it", held)
	}
	other := dial(t, addr)
	other.send(get("/a") + get("/b"))
	other.want(false, "/a", "/b")
	close(b.release)
}

// Guards against requests read ahead without room at the instance: each connection gets one request served at a time then.
func TestNoSpareRoom(t *testing.T) {
	s, b, addr := start(t, 0)
	c := dial(t, addr)
	c.send(get("/hold") + get("/a"))
	await(t, "the first is in progress", func() bool { return s.InProgress() == 1 })
	time.Sleep(20 * time.Millisecond)
	if got := b.paths(); len(got) != 1 {
		t.Errorf("passed on: %v", got)
	}
	close(b.release)
	c.want(false, "/hold", "/a")
}

// Guards against an interim answer before the answers to earlier requests, and against a body that is never asked for.
func TestContinue(t *testing.T) {
	s, b, addr := start(t, 1<<20)
	c := dial(t, addr)
	c.send(get("/hold") + "POST /order HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	await(t, "the first is in progress", func() bool { return s.InProgress() == 1 })
	close(b.release)
	c.want(false, "/hold")
	if line, err := c.br.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
		t.Fatalf("got %q, %v", line, err)
	}
	_, _ = c.br.ReadString('\n')
	c.send("body" + get("/a"))
	c.want(false, "/orderbody", "/a")
}

// Guards against a panic of one request that ends the process or leaves its connection open.
func TestPanic(t *testing.T) {
	s, _, addr := start(t, 1<<20)
	c := dial(t, addr)
	c.send(get("/panic"))
	if n, err := io.Copy(io.Discard, c); n != 0 {
		t.Errorf("%d bytes, %v", n, err)
	}
	await(t, "nothing is held", func() bool { return s.HeldBytes() == 0 && s.InProgress() == 0 })
	c = dial(t, addr)
	c.send(get("/a"))
	c.want(false, "/a")
}

// Guards against a stop that cuts off requests in progress, and against idle connections that stay open while their input is
// discarded: a caller that sent a request then got no answer.
func TestStop(t *testing.T) {
	s, b, addr := start(t, 1<<20)
	idle, busy := dial(t, addr), dial(t, addr)
	idle.send(get("/a"))
	idle.want(false, "/a")
	busy.send(get("/hold") + get("/b"))
	await(t, "both are in progress or answered", func() bool { return len(b.paths()) == 3 })
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	_ = idle.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if n, err := io.Copy(io.Discard, idle.br); n != 0 || err != nil {
		t.Errorf("idle connection: %d bytes, %v", n, err)
	}
	close(b.release)
	busy.want(true, "/hold", "/b")
	_ = busy.Close()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// Guards against requests that are read differently when their bytes arrive in other pieces, and against input that ends the
// process.
func FuzzPieces(f *testing.F) {
	f.Add([]byte(get("/a")+post("/b", "12")+get("/c")), uint8(7))
	f.Add([]byte(get("/a")+"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n"+get("/c")), uint8(3))
	f.Add([]byte(get("/a")+"what\r\n\r\n"), uint8(1))
	_, _, addr := start(f, 1<<20)
	f.Fuzz(func(t *testing.T, raw []byte, piece uint8) {
		if len(raw) > 2000 || bytes.Contains(raw, []byte("hold")) || bytes.Contains(raw, []byte("panic")) || bytes.Contains(raw, []byte("100-")) {
			t.Skip("not for this backend")
		}
		whole, pieces := exchange(t, addr, raw, len(raw)+1), exchange(t, addr, raw, int(piece)+1)
		if whole != pieces {
			t.Errorf("answers to the whole input:\n%s\nto pieces of %d bytes:\n%s", whole, int(piece)+1, pieces)
		}
	})
}

// exchange sends raw in pieces, then a request that closes the connection, and returns the answers without their dates.
func exchange(t *testing.T, addr string, raw []byte, piece int) string {
	c := dial(t, addr)
	defer func() { _ = c.Close() }()
	var out strings.Builder
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			var resp fasthttp.Response
			if resp.Read(c.br) != nil {
				return
			}
			fmt.Fprintf(&out, "%d %q\n", resp.StatusCode(), resp.Body())
		}
	}()
	for rest := raw; len(rest) > 0; {
		n := min(piece, len(rest))
		if _, err := c.Write(rest[:n]); err != nil {
			break // closed by an answer
		}
		rest = rest[n:]
	}
	_, _ = io.WriteString(c, "GET /end HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // an incomplete request is not answered
	<-done
	return out.String()
}

// Guards against a long head or body that is cut to pieces, a body that is counted after its answer or after its caller has left,
// and one that stalls while another needs its bytes.
func TestBodyBudget(t *testing.T) {
	budget := intake.New(256 << 10)
	_, b, addr := startWith(t, 1<<20, budget)
	long := strings.Repeat("b", 100<<10)
	stalled := dial(t, addr)
	stalled.send(strings.TrimSuffix(post("/stalled", long), "b"))
	await(t, "the stalled body counts", func() bool { return budget.Used() >= 90<<10 })
	gone := dial(t, addr)
	gone.send(post("/order", long[1:])[:50<<10])
	await(t, "the begun body counts", func() bool { return budget.Used() >= 150<<10 })
	_ = gone.Close()
	time.Sleep(1100 * time.Millisecond)
	c := dial(t, addr)
	head := "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 3500) + "\r\n\r\n"
	c.send(head + post("/order", long+long) + head)
	c.want(false, "/a", "/order"+long+long, "/a")
	var resp fasthttp.Response
	if err := resp.Read(stalled.br); err != nil || resp.StatusCode() != 400 || !resp.ConnectionClose() {
		t.Errorf("the stalled body got %d, %v", resp.StatusCode(), err)
	}
	if got := fmt.Sprint(b.paths()); strings.Contains(got, "/stalled") {
		t.Errorf("%d requests ran", len(b.paths()))
	}
	await(t, "nothing counts any more", func() bool { return budget.Used() == 0 })
}
