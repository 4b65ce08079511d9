package proxy_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/bramleycove/bramleycove/internal/stand/proxy"
)

// startEcho starts a server that echoes all bytes, and returns a proxy to it.
func startEcho(t *testing.T) *proxy.Proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p, err := proxy.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if err := p.SetTarget(netip.MustParseAddrPort(ln.Addr().String())); err != nil {
		t.Fatal(err)
	}
	return p
}

type conn struct {
	net.Conn
	t     *testing.T
	lines *bufio.Reader
}

func dial(t *testing.T, p *proxy.Proxy) *conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &conn{c, t, bufio.NewReader(c)}
}

func (c *conn) writeLine(line string) {
	c.t.Helper()
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		c.t.Fatal(err)
	}
}

// readLine returns the next line, or an error if none arrives in time.
func (c *conn) readLine(within time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	line, err := c.lines.ReadString('\n')
	return strings.TrimSuffix(line, "\n"), err
}

func (c *conn) expectLine(line string) {
	c.t.Helper()
	if got, err := c.readLine(5 * time.Second); got != line || err != nil {
		c.t.Fatalf("got %q, error %v, want %q", got, err, line)
	}
}

func (c *conn) expectSilence() {
	c.t.Helper()
	if got, err := c.readLine(50 * time.Millisecond); !errors.Is(err, syscall.ETIMEDOUT) && !isTimeout(err) {
		c.t.Fatalf("got %q, error %v, want no data", got, err)
	}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func (c *conn) expectClosed() {
	c.t.Helper()
	if got, err := c.readLine(5 * time.Second); err == nil || isTimeout(err) {
		c.t.Fatalf("got %q, error %v, want a closed connection", got, err)
	}
}

// Guards against a cut that lets bytes through, affects the other direction, or loses bytes that TCP would retransmit.
func TestCut(t *testing.T) {
	for _, ds := range [][]proxy.Direction{{proxy.ToTarget}, {proxy.FromTarget}, nil} {
		p := startEcho(t)
		c := dial(t, p)
		c.writeLine("a")
		c.expectLine("a")
		// Wait until the request is counted.
		for p.BytesPassed(proxy.ToTarget) < 2 {
			runtime.Gosched()
		}
		out := p.BytesPassed(proxy.ToTarget)
		p.Cut(ds...)
		c.writeLine("b")
		c.expectSilence()
		if passed := p.BytesPassed(proxy.ToTarget) > out; passed != (len(ds) == 1 && ds[0] == proxy.FromTarget) {
			t.Errorf("cut %v: request forwarded: %v", ds, passed)
		}
		late := dial(t, p)
		late.writeLine("c")
		late.expectSilence()
		p.Heal()
		c.expectLine("b")
		late.expectLine("c")
	}
}

// Guards against a connection that stays open after bytes of its stream were dropped.
func TestDrop(t *testing.T) {
	p := startEcho(t)
	c := dial(t, p)
	p.SetFault(proxy.ToTarget, proxy.Fault{Drop: true})
	c.writeLine("a")
	c.expectSilence()
	p.SetFault(proxy.ToTarget, proxy.Fault{})
	c.writeLine("b")
	c.expectClosed()
}

// Guards against discarding an answer before its request was forwarded, and against discarding more than one.
func TestDiscardAnswers(t *testing.T) {
	p := startEcho(t)
	p.DiscardAnswers(1)
	c := dial(t, p)
	c.writeLine("a")
	c.expectClosed()
	if p.BytesPassed(proxy.ToTarget) != 2 || p.BytesPassed(proxy.FromTarget) != 0 {
		t.Errorf("%d bytes to the target, %d from it, want 2 and 0", p.BytesPassed(proxy.ToTarget), p.BytesPassed(proxy.FromTarget))
	}
	c = dial(t, p)
	c.writeLine("b")
	c.expectLine("b")
}

// Guards against closing the remaining side of a half-open connection.
func TestHalfOpen(t *testing.T) {
	p := startEcho(t)
	c := dial(t, p)
	c.writeLine("a")
	c.expectLine("a")
	p.MakeHalfOpen(proxy.ToTarget)
	c.writeLine("b")
	c.expectSilence()
	if p.OpenConns() != 1 {
		t.Errorf("%d open connections, want 1", p.OpenConns())
	}
	p.ResetAll()
	c.expectClosed()
}

// Guards against a reset before or after the configured number of bytes.
func TestReset(t *testing.T) {
	p := startEcho(t)
	p.SetFault(proxy.FromTarget, proxy.Fault{ResetAfter: 5})
	c := dial(t, p)
	c.writeLine("ab")
	c.expectLine("ab")
	c.writeLine("cdef")
	c.expectClosed()
	if p.BytesPassed(proxy.FromTarget) != 5 {
		t.Errorf("%d bytes forwarded, want 5", p.BytesPassed(proxy.FromTarget))
	}
}

// Guards against a delay or limit without effect, and against losing the answer on a half-closed connection.
func TestDelayAndLimit(t *testing.T) {
	p := startEcho(t)
	p.SetFault(proxy.ToTarget, proxy.Fault{Delay: 100 * time.Millisecond})
	p.SetFault(proxy.FromTarget, proxy.Fault{Limiter: rate.NewLimiter(100_000, proxy.ChunkSize)})
	start := time.Now()
	c := dial(t, p)
	text := strings.Repeat("x", 40_000)
	go func() {
		_, _ = io.WriteString(c, text)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil || string(got) != text {
		t.Fatalf("read %d bytes, error %v, want the text sent", len(got), err)
	}
	// 40,000 bytes less the burst of 16,384 take 0.236 s at the limit.
	if took := time.Since(start); took < 300*time.Millisecond {
		t.Errorf("took only %v, want at least 300ms", took)
	}
}

// Guards against SetRefusing without effect.
func TestRefuse(t *testing.T) {
	p := startEcho(t)
	if err := p.SetRefusing(true); err != nil {
		t.Fatal(err)
	}
	if _, err := net.Dial("tcp", p.Address().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: error %v, want connection refused", err)
	}
	if err := p.SetRefusing(false); err != nil {
		t.Fatal(err)
	}
	c := dial(t, p)
	c.writeLine("a")
	c.expectLine("a")
}

// Guards against forwarding bytes after a cut whose sender has reset the connection during the cut.
func TestResetDuringCut(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	p, err := proxy.New()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if err := p.SetTarget(netip.MustParseAddrPort(target.Addr().String())); err != nil {
		t.Fatal(err)
	}
	got := make(chan int, 3) // shared by the cases, as goroutines of unforwarded connections keep waiting
	for name, tc := range map[string]struct {
		openedBefore bool
		ways         []proxy.Direction
	}{
		"opened before": {openedBefore: true}, "opened during": {}, "opened during, one way": {ways: []proxy.Direction{proxy.FromTarget}},
	} {
		openedBefore := tc.openedBefore
		if !openedBefore {
			p.Cut(tc.ways...)
		}
		c, err := net.Dial("tcp", p.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			s, err := target.Accept()
			if err != nil {
				return
			}
			n, _ := s.Read(make([]byte, 10))
			got <- n
			_ = s.Close()
		}()
		if openedBefore {
			time.Sleep(100 * time.Millisecond)
			p.Cut()
		}
		if _, err := c.Write([]byte("late")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		time.Sleep(100 * time.Millisecond)
		p.Heal()
		select {
		case n := <-got:
			if n > 0 {
				t.Errorf("%s: %d bytes arrived", name, n)
			}
		case <-time.After(300 * time.Millisecond):
		}
	}
}
