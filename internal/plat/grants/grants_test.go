package grants_test

import (
	"net"
	"net/netip"
	"reflect"
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
	status := fasthttp.StatusOK
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if err := json.Unmarshal(ctx.PostBody(), &got); err != nil || string(ctx.Path()) != "/grant" {
			t.Errorf("%s %s: %v", ctx.Path(), ctx.PostBody(), err)
		}
		ctx.SetStatusCode(status)
		ctx.SetBodyString(`{"incarnation":7,"clock":9,"term":3,"epoch":1,"accepted":true,` +
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
