package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// Guards against a server that is blamed because others have used up the budget, and against an answer that fails although there
// is room for it soon.
func TestNoRoomForAnswer(t *testing.T) {
	const size, held = 300 << 10, 1 << 20
	body := strings.Repeat("x", size)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req := new(fasthttp.Request)
				if req.Read(bufio.NewReader(c)) != nil {
					return
				}
				framing, text := fmt.Sprint("Content-Length: ", size), body
				if string(req.Header.RequestURI()) == "/chunked" {
					framing, text = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
				}
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n" + text))
			}()
		}
	}()
	b := intake.New(2 * held)
	p := conns.NewWith(netip.MustParseAddrPort(ln.Addr().String()), 0, conns.Options{Budget: b})
	defer p.Close()
	for _, path := range []string{"/declared", "/chunked"} {
		do := func() (int, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			req, resp := new(fasthttp.Request), new(fasthttp.Response)
			req.SetRequestURI(path)
			req.Header.SetHost("h")
			_, err := p.Do(ctx, req, resp, time.Time{})
			return len(resp.Body()), err
		}
		b.Add(2 * held)
		if _, err := do(); !errors.Is(err, intake.ErrOver) || !errors.Is(err, conns.ErrTooLarge) {
			t.Errorf("%s without room: %v", path, err)
		}
		time.AfterFunc(100*time.Millisecond, func() { b.Add(-2 * held) })
		if n, err := do(); n != size || err != nil {
			t.Errorf("%s with room soon: %d bytes, %v", path, n, err)
		}
		if b.Used() != 0 {
			t.Errorf("%d bytes still count", b.Used())
		}
	}
}
