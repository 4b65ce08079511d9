package roster_test

import (
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/roster"
)

// Guards against one odd entry of the list that hides all others.
func TestOddEntries(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var body atomic.Value // string
	srv := &fasthttp.Server{Handler: func(h *fasthttp.RequestCtx) { h.SetBodyString(body.Load().(string)) }}
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown() }()
	c := roster.New(netip.MustParseAddrPort(ln.Addr().String()))
	const instance, server = `{"id":"i1","dc":"a","region":"r","peer":"10.0.0.1:80"}`, `{"pool":"p","name":"s1","address":"10.0.0.2:80","state":"leaving"}`
	for _, odd := range []string{
		`{"pool":"p","name":"x","address":"10.0.0.3:70000","peer":"10.0.0.3:70000"}`,
		`{"pool":"p","name":"x","address":"10.0.0.3:0","peer":"10.0.0.3:0","id":"x"}`,
		`{"pool":"p","name":"x","id":"x"}`,
		`{"pool":7,"name":["x"],"id":1e400,"address":{},"peer":[]}`,
		`{"pool":"p","name":"` + "\xff" + `","id":"` + "\xff" + `","address":"10.0.0.3:80","peer":"10.0.0.3:80"}`,
		`null`, `1e400`, `"x"`,
		strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		strings.Repeat("[", 100000) + strings.Repeat("]", 100000),
	} {
		body.Store(`{"instances":[` + odd + "," + instance + `],"servers":[` + odd + "," + server + `]}`)
		l, err := c.Fetch(t.Context())
		if err != nil || len(l.Instances) != 1 || l.Instances[0].Name != "i1" || len(l.Servers) != 1 || l.Servers[0].Name != "s1" || !l.Servers[0].Leaving {
			t.Errorf("beside %.80s: %+v, %v", odd, l, err)
		}
	}
	body.Store(`{"instances":[],"servers":7}`)
	if l, err := c.Fetch(t.Context()); err == nil {
		t.Errorf("a list that is none: %+v", l)
	}
}
