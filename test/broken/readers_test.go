package broken_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/oper/opapi"
	"github.com/bramleycove/bramleycove/internal/peer/calls"
	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/place/assign"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
	"github.com/bramleycove/bramleycove/platform"
)

// reader is a client that reads answers to other things than callers' requests.
type reader struct {
	body     string // of a good answer
	ask      func(ctx context.Context, addr netip.AddrPort) error
	unframed bool // a body may end with the connection
}

func encode(t *testing.T, m proto.Message) string {
	t.Helper()
	b, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func readers(t *testing.T) map[string]reader {
	peer := encode(t, &sitepb.PushRequest{From: "i2", Peers: []string{"i2", "i3"}})
	orderError := func(res assign.Result) error {
		if res == assign.Accepted {
			return nil
		}
		return errors.Newf("%v", res)
	}
	return map[string]reader{
		"store, newest": {`{"items":[],"has-more":false,"end":3}`, func(ctx context.Context, addr netip.AddrPort) error {
			_, err := platform.NewStore(addr).Log().Newest(ctx, keyed.Place)
			return err
		}, false},
		"store, read": {"\x00\x00\x00\x00\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x00", func(ctx context.Context, addr netip.AddrPort) error {
			_, err := platform.NewStore(addr).Log().Read(ctx, keyed.Place, 9, 0)
			return err
		}, false},
		"store, append": {`{"offset":8,"end":9}`, func(ctx context.Context, addr netip.AddrPort) error {
			_, err := platform.NewStore(addr).Log().Append(ctx, keyed.Place, 8, []keyed.Entry{{Key: "k"}})
			return err
		}, false},
		"order, grant": {"", func(ctx context.Context, addr netip.AddrPort) error {
			res, _ := new(platform.GrantClient).Grant(ctx, addr, spans.Span{Fence: 1}, timeout, 0)
			return orderError(res)
		}, false},
		"order, release": {"", func(ctx context.Context, addr netip.AddrPort) error {
			res, _ := new(platform.GrantClient).Release(ctx, addr, spans.Span{Fence: 1})
			return orderError(res)
		}, false},
		"grant": {`{"incarnation":7,"clock":9,"term":3,"epoch":1,"accepted":true,"held":[],"until":10}`, func(ctx context.Context, addr netip.AddrPort) error {
			_, err := grants.New().Send(ctx, addr, grants.Grant{Incarnation: 7})
			return err
		}, true},
		"list": {`{"instances":[],"servers":[]}`, func(ctx context.Context, addr netip.AddrPort) error {
			_, err := roster.New(addr).Fetch(ctx)
			return err
		}, true},
		"log, append": {`{"offset":5}`, func(ctx context.Context, addr netip.AddrPort) error {
			_, err := logsvc.New(addr).Append(ctx, "place", []byte("x"))
			return err
		}, true},
		"log, read": {`{"first":1,"next":1,"records":[]}`, func(ctx context.Context, addr netip.AddrPort) error {
			_, err := logsvc.New(addr).Read(ctx, "place", 1, 0, 10)
			return err
		}, true},
		"operator": {`{"instance":"i1"}`, func(ctx context.Context, addr netip.AddrPort) error {
			_, err := opapi.NewClient().Status(ctx, addr)
			return err
		}, true},
		"instance, introduction": {peer, func(ctx context.Context, addr netip.AddrPort) error {
			_, _, err := push.NewClient().FindLeader(ctx, addr.String(), "i1")
			return err
		}, false},
		"instance, heartbeat": {encode(t, &peerpb.HeartbeatReply{}), func(ctx context.Context, addr netip.AddrPort) error {
			_, err := calls.NewClient().Heartbeat(ctx, addr, &peerpb.HeartbeatRequest{})
			return err
		}, false},
	}
}

// Guards against a broken answer that counts as an answer of the store, the list, the log, a server that gets an order, or another instance.
func TestReaders(t *testing.T) {
	const framed = "Content-Type: application/protobuf\r\nContent-Length: LENGTH\r\n\r\nBODY"
	for name, r := range readers(t) {
		for kind, c := range map[string]struct {
			head  string
			reset bool
			ok    bool
		}{
			"whole":                    {head: "HTTP/1.1 200 OK\r\n" + framed, ok: true},
			"no reason":                {head: "HTTP/1.1 200\r\n" + framed, ok: true},
			"chunks":                   {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\n\r\n", ok: true},
			"interim answer":           {head: "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + framed, ok: true},
			"no length":                {head: "HTTP/1.1 200 OK\r\n\r\nBODY", ok: r.unframed},
			"no length, cut":           {head: "HTTP/1.1 200 OK\r\n\r\nPART", reset: true},
			"cut":                      {head: "HTTP/1.1 200 OK\r\nContent-Length: 1LENGTH\r\n\r\nBODY"},
			"chunks, cut":              {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nCHUNKS"},
			"head, cut":                {head: "HTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\n"},
			"status 000":               {head: "HTTP/1.1 000 OK\r\n" + framed},
			"status 101":               {head: "HTTP/1.1 101 OK\r\n" + framed},
			"status 600":               {head: "HTTP/1.1 600 OK\r\n" + framed},
			"status 20":                {head: "HTTP/1.1 20 OK\r\n" + framed},
			"version 3.0":              {head: "HTTP/3.0 200 OK\r\n" + framed},
			"blank in a name":          {head: "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + framed},
			"blank in Content-Length":  {head: "HTTP/1.1 200 OK\r\nContent Length: LENGTH\r\n\r\nBODY"},
			"blank before the colon":   {head: "HTTP/1.1 200 OK\r\nContent-Length : LENGTH\r\n\r\nBODY"},
			"control byte in a name":   {head: "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n" + framed},
			"control byte in a value":  {head: "HTTP/1.1 200 OK\r\nX-Bad: \x01\r\n" + framed},
			"continued line":           {head: "HTTP/1.1 200 OK\r\nX-Bad: 1\r\n x: 1\r\n" + framed},
			"length and chunks":        {head: "HTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\nTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\n\r\n"},
			"chunks of 1.0":            {head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\n\r\n"},
			"malformed trailer":        {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nCHUNKS0\r\nX Bad: 1\r\n\r\n"},
			"two lengths":              {head: "HTTP/1.1 200 OK\r\nContent-Length: 1LENGTH\r\n" + framed},
			"success that is an error": {head: "HTTP/1.1 204 No Content\r\n\r\n"},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				text := strings.NewReplacer("LENGTH", lengthOf(r.body), "BODY", r.body, "PART", r.body[:len(r.body)*2/3], "CHUNKS", chunksOf(r.body)).Replace(c.head)
				s := startServer(t, "s", func(sc *serverConn) {
					if _, err := sc.next(); err == nil {
						sc.reply(text, "")
						if c.reset {
							_ = sc.SetLinger(0)
						}
					}
				})
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				if err := r.ask(ctx, s.Address); (err == nil) != c.ok {
					t.Errorf("%v", err)
				}
			})
		}
	}
}
