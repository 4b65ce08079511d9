package push_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/peer/permit"
	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// BenchmarkPermitCall measures a call for permits of one instance, caller and leader together: four requests to two servers.
func BenchmarkPermitCall(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	arbiter := quota.NewArbiter(new(quota.Book))
	h := &push.Handlers{OnPermit: func(r *sitepb.PermitRequest) *sitepb.PermitReply { return permit.Answer(time.Now(), arbiter, r) }}
	srv := &fasthttp.Server{Handler: h.Handler()}
	go func() { _ = srv.Serve(ln) }()
	b.Cleanup(func() { _ = srv.Shutdown() })
	req := &sitepb.PermitRequest{
		Asks:   []*sitepb.Ask{{Server: "a/1", Rank: 1}, {Server: "a/1"}, {Server: "b/1", Rank: 2}, {Server: "b/1", Rank: 1}},
		Limits: []*sitepb.Limit{{Server: "a/1", Rate: 3}, {Server: "b/1", Rate: 2}},
	}
	c := push.NewClient()
	for b.Loop() {
		if r, err := c.Permit(context.Background(), ln.Addr().String(), req); err != nil || !r.GetLeading() {
			b.Fatal(r, err)
		}
	}
}
