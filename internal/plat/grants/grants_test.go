package grants_test

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/grants"
)

// Guards against changes of any wire field of the grant protocol, and statuses other than 200 that are not errors.
func TestGrant(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	status, clock := fasthttp.StatusOK, 8
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if err := json.Unmarshal(ctx.PostBody(), &got); err != nil || string(ctx.Path()) != "/grant" {
			t.Errorf("%s %s: %v", ctx.Path(), ctx.PostBody(), err)
		}
		ctx.SetStatusCode(status)
		clock++
		ctx.SetBodyString(`{"incarnation":7,"clock":` + fmt.Sprint(clock) + `,"term":3,"epoch":1,"accepted":true,` +
			`"held":[{"pool":"p","first":1,"last":2,"token":65536}],"until":10,"leaving":true}`)
	}}
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown() }()
	c, addr := grants.New(), netip.MustParseAddrPort(ln.Addr().String())
	slots := []grants.Range{{Pool: "p", First: 1, Last: 2, Token: 65536}}
	reply, err := c.Send(t.Context(), addr, grants.Grant{Incarnation: 7, Term: 3, Epoch: 1, Until: 10, Slots: slots})
	want := grants.Reply{Incarnation: 7, Clock: 9, Term: 3, Epoch: 1, Accepted: true, Held: slots, Until: 10, Leaving: true}
	if err != nil || !reflect.DeepEqual(reply, want) {
		t.Errorf("reply %+v, %v", reply, err)
	}
	sent := map[string]any{"incarnation": 7.0, "term": 3.0, "epoch": 1.0, "until": 10.0, "slots": []any{
		map[string]any{"pool": "p", "first": 1.0, "last": 2.0, "token": 65536.0},
	}}
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("sent %v", got)
	}
	if _, err := c.Send(t.Context(), addr, grants.Grant{}); err != nil || got["slots"] == nil {
		t.Errorf("an empty set is sent as %v: %v", got["slots"], err)
	}
	status = fasthttp.StatusBadRequest
	if _, err := c.Send(t.Context(), addr, grants.Grant{}); err == nil {
		t.Error("status 400 is not reported as an error")
	}
}

// Guards against a faulty server that answers a grant with bytes without end: the controller kept all of them.
func TestEndlessAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	var written atomic.Int64
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for chunk := []byte("2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n"); err == nil; {
			var n int
			n, err = c.Write(chunk)
			written.Add(int64(n))
		}
	}()
	if _, err := grants.New().Send(t.Context(), netip.MustParseAddrPort(ln.Addr().String()), grants.Grant{}); err == nil {
		t.Error("an answer without end is taken")
	}
	// Buffers of the sockets hold some more than the 8 MiB that are read.
	if n := written.Load(); n > 24<<20 {
		t.Errorf("%d bytes were taken", n)
	}
}

// Guards against a copy of a server's earlier answer that counts as the answer to a grant: while the server holds the slots of that grant,
// it would count as refused.
func TestAnswerRepeated(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		orders := 0
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			br, last := bufio.NewReader(c), ""
			for req := new(fasthttp.Request); req.Read(br) == nil; {
				orders++
				_, _ = c.Write([]byte(last))
				body := fmt.Sprintf(`{"incarnation":7,"clock":%d,"accepted":%v}`, orders*10, orders > 1)
				last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				_, _ = c.Write([]byte(last))
			}
			_ = c.Close()
		}
	}()
	c, addr := grants.New(), netip.MustParseAddrPort(ln.Addr().String())
	for i, want := range []uint64{10, 0, 30} {
		r, err := c.Send(t.Context(), addr, grants.Grant{Incarnation: 7})
		if r.Clock != want || r.Accepted != (want == 30) || (err == nil) != (want > 0) {
			t.Errorf("grant %d: %+v, %v", i, r, err)
		}
	}
}
