package route_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/route"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

var now = time.Unix(1000, 0)

var table = &tables.Tables{Routes: []tables.Route{
	{Name: "stock", Methods: []string{"GET"}, Path: "/stock/*", Pool: "cat", Key: tables.KeySource{Segment: 2}, Rank: "normal", Timeout: time.Second},
	{Name: "query", Path: "/q", Key: tables.KeySource{Query: "net"}},
	{Name: "head", Path: "/h", Key: tables.KeySource{Header: "X-Net"}},
	{Name: "order", Path: "/order", Once: &tables.OnceRule{Header: "X-Order-Id"}},
	{Name: "order2", Path: "/order2", Once: &tables.OnceRule{Header: "X-Order-Id"}},
	{Name: "book", Path: "/book", Once: &tables.OnceRule{Fields: []string{"caller", "path", "body"}}},
	{Name: "all", Path: "/*"},
}}

func extract(method, uri, body string, headers ...string) (route.Match, error) {
	h := new(fasthttp.Request)
	h.Header.SetMethod(method)
	h.SetRequestURI(uri)
	h.Header.SetHost("shop")
	for i := 0; i < len(headers); i += 2 {
		h.Header.Set(headers[i], headers[i+1])
	}
	h.SetBodyString(body)
	return route.Extract(table, h, "10.0.0.1", now)
}

// Guards against a wrong route or key, and against accepting a request without its key or identity.
func TestExtract(t *testing.T) {
	for _, c := range []struct {
		method, uri string
		headers     []string
		route, key  string
		reason      string
	}{
		{"GET", "/stock/a%20b/x", nil, "stock", "a b", ""},
		{"POST", "/stock/a", nil, "all", "", ""},
		{"GET", "/stock/", nil, "", "", route.ReasonNoKey},
		{"GET", "/q?net=7", nil, "query", "7", ""},
		{"GET", "/q", nil, "", "", route.ReasonNoKey},
		{"GET", "/h", []string{"x-net", "n"}, "head", "n", ""},
		{"POST", "/order", []string{"X-Order-Id", "1"}, "order", "", ""},
		{"POST", "/order", nil, "", "", route.ReasonNoIdentity},
	} {
		m, err := extract(c.method, c.uri, "", c.headers...)
		if c.reason != "" {
			if e := result.FromError(err); e.Reason != c.reason || e.Verdict != result.NotRun || e.Status != 400 {
				t.Errorf("%s %s: %v", c.method, c.uri, err)
			}
			continue
		}
		if err != nil || m.Name != c.route || m.Request.Key != c.key || m.Request.URI != c.uri {
			t.Errorf("%s %s: route %v, key %q, %v", c.method, c.uri, m.Route, m.Request.Key, err)
		}
	}
}

// Guards against different work with the same identity, and against a resend with another identity.
func TestIdentity(t *testing.T) {
	id := func(uri, body string, headers ...string) [32]byte {
		m, err := extract("POST", uri, body, headers...)
		if err != nil {
			t.Fatal(err)
		}
		return m.Identity
	}
	if id("/order", "a", "X-Order-Id", "1") != id("/order?resend=1", "b", "X-Order-Id", "1") {
		t.Error("a resend has another identity")
	}
	if id("/order", "", "X-Order-Id", "1") == id("/order2", "", "X-Order-Id", "1") {
		t.Error("two routes share an identity")
	}
	if id("/book", "a") == id("/book", "b") {
		t.Error("two bookings share an identity")
	}
}

// Guards against passing on a caller's headers that belong to the server protocol or to one connection.
func TestHeaders(t *testing.T) {
	m, err := extract("GET", "/x", "", "Token", "9", "Bramleycove-Hops", "1", "Connection", "close", "Cookie", "c=1", "X-A", "b")
	if err != nil || m.Request.Deadline != now.Add(10*time.Second) {
		t.Fatal(m.Request, err)
	}
	got := map[string]string{}
	for _, h := range m.Request.Headers {
		got[h.Name] = h.Value
	}
	if len(got) != 2 || got["Cookie"] != "c=1" || got["X-A"] != "b" {
		t.Errorf("got headers %v, want Cookie and X-A", got)
	}
	h := new(fasthttp.Request)
	h.Header.Set("X-Forwarded-For", "6.6.6.6, 10.0.0.9")
	if c := route.CallerAddress(h, "10.0.0.1"); c != "10.0.0.9" {
		t.Errorf("got caller address %s, want 10.0.0.9", c)
	}
}
