package conns_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

// Guards against a data race, on the header, between writing a long request and reading the answer to it. It needs -race.
func TestLongRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: func(h *fasthttp.RequestCtx) {
		h.Response.Header.Set("Request-Id", string(h.Request.Header.Peek("Request-Id")))
	}}
	go func() { _ = s.Serve(ln) }()
	defer func() { _ = s.Shutdown() }()
	p := conns.New(netip.MustParseAddrPort(ln.Addr().String()), 1)
	defer p.Close()
	for range 10 {
		req, resp := new(fasthttp.Request), new(fasthttp.Response)
		req.SetRequestURI("/x")
		req.Header.SetHost("h")
		req.Header.SetMethod("POST")
		req.Header.Set("Request-Id", "r1")
		req.SetBodyRaw(make([]byte, 100<<10))
		if _, err := p.Do(context.Background(), req, resp, time.Time{}); err != nil || resp.StatusCode() != 200 {
			t.Errorf("got %d, %v", resp.StatusCode(), err)
		}
	}
}
