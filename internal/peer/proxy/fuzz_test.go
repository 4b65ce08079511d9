package proxy_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/peer/proxy"
	"github.com/bramleycove/bramleycove/internal/place/view"
)

// FuzzHop guards against hop headers that crash the instance, and against hops answered without a verdict.
func FuzzHop(f *testing.F) {
	f.Add("1", "p/s", "p", "6b", "3", "5", "100", "00112233445566778899aabbccddeeff")
	f.Add("2", "", "p", "zz", "4294967296", "-1", "99999999999", "00")
	f.Fuzz(func(t *testing.T, hops, lane, pool, key, slot, token, timeout, fingerprint string) {
		p := proxy.New(view.New("d", netip.MustParseAddrPort("127.0.0.1:1")),
			func(context.Context, *work.Request) (work.Answer, error) { return work.Answer{Status: 200}, nil })
		defer p.Close()
		c := new(fasthttp.RequestCtx)
		h := &c.Request.Header
		h.Set(work.RequestIDHeader, "r1")
		for name, value := range map[string]string{
			"Hops": hops, "Lane": lane, "Pool": pool, "Key": key, "Slot": slot, "Token": token, "Timeout": timeout,
			"Fingerprint": fingerprint,
		} {
			h.Set(work.HeaderPrefix+name, value)
		}
		isHop := true
		p.Handler(func(*fasthttp.RequestCtx) { isHop = false })(c)
		if v := string(c.Response.Header.Peek(result.VerdictHeader)); isHop && v != result.ParseVerdict(v).String() {
			t.Fatalf("status %d, verdict %q", c.Response.StatusCode(), v)
		}
	})
}
