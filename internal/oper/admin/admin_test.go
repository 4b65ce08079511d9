package admin_test

import (
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/oper/admin"
	"github.com/bramleycove/bramleycove/internal/oper/opapi"
)

func TestServer(t *testing.T) {
	var leaving atomic.Bool
	s := admin.New(admin.Sources{
		Status: func() opapi.Status {
			return opapi.Status{Instance: "i1-1", ConfigVersion: 7, Ready: true, Leaving: leaving.Load()}
		},
		Explain: func(method, path, key string) opapi.Explanation {
			if path == "/panic" {
				panic("panic in a handler")
			}
			return opapi.Explanation{Route: method + " " + path, Key: key}
		},
		Metrics: func() ([]byte, error) { return []byte("m 1\n"), nil },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(ln) }()
	addr := netip.MustParseAddrPort(ln.Addr().String())
	client := opapi.NewClient()

	status, err := client.Status(t.Context(), addr)
	if err != nil || status.Instance != "i1-1" || status.ConfigVersion != 7 || status.Lanes == nil {
		t.Errorf("status %+v, %v", status, err)
	}
	e, err := client.Explain(t.Context(), addr, "PUT", "/a b/ü?", "k&")
	if err != nil || e.Route != "PUT /a b/ü?" || e.Key != "k&" {
		t.Errorf("explanation %+v, %v", e, err)
	}
	if _, err := client.Explain(t.Context(), addr, "GET", "/panic", ""); err == nil || !strings.Contains(err.Error(), "500") {
		t.Errorf("a panic was answered with %v", err)
	}
	get := func(path string) (int, string) {
		code, body, err := fasthttp.Get(nil, "http://"+addr.String()+path)
		if err != nil {
			t.Fatal(err)
		}
		return code, string(body)
	}
	if code, body := get("/metrics"); code != 200 || body != "m 1\n" {
		t.Error(code, body)
	}
	if code, _ := get("/explain"); code != 400 {
		t.Error(code)
	}
	if code, body := get("/healthz"); code != 200 || body != "ok\n" {
		t.Error(code, body)
	}
	leaving.Store(true)
	if code, body := get("/healthz"); code != 503 || body != "leaving\n" {
		t.Error(code, body)
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}
