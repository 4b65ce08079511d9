package conns_test

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

// Guards against connections that have all died without a reset and each make one request time out.
func TestSilentConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	var silent atomic.Bool
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			old := !silent.Load()
			go func() {
				br := bufio.NewReader(c)
				for {
					req := new(fasthttp.Request)
					if req.Read(br) != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
					if old && silent.Load() {
						continue
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	p := conns.NewWith(netip.MustParseAddrPort(ln.Addr().String()), 8, conns.Options{})
	defer p.Close()
	do := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		req, resp := new(fasthttp.Request), new(fasthttp.Response)
		req.SetRequestURI("/x")
		req.Header.SetHost("h")
		_, err := p.Do(ctx, req, resp, time.Time{})
		return err
	}
	done := make(chan error, 6)
	for range cap(done) {
		go func() { done <- do() }()
	}
	for range cap(done) {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	silent.Store(true)
	failed := 0
	for range 6 {
		if do() != nil {
			failed++
		}
	}
	if failed != 1 {
		t.Errorf("%d requests failed on connections that all stopped answering, want 1", failed)
	}
}
