package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/lanes"
	"github.com/bramleycove/bramleycove/internal/flow/link"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/peer/proxy"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/view"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// instance is one instance with a peer listener.
type instance struct {
	*view.View
	*proxy.Forwarder
	addr       netip.AddrPort
	dispatcher *lanes.Dispatcher
}

// serve returns a function that runs srv on a listener until the test ends.
func serve(tb testing.TB, srv *fasthttp.Server) func(net.Listener) {
	return func(ln net.Listener) {
		var wg conc.WaitGroup
		wg.Go(func() { _ = srv.Serve(ln) })
		tb.Cleanup(func() {
			_ = srv.Shutdown()
			wg.Wait()
		})
	}
}

func listen(tb testing.TB) (net.Listener, netip.AddrPort) {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return ln, netip.MustParseAddrPort(ln.Addr().String())
}

func newInstance(tb testing.TB, dc string, t *tables.Tables) *instance {
	ln, addr := listen(tb)
	in := &instance{View: view.New(dc, addr), addr: addr}
	in.SetTables(t)
	in.dispatcher = lanes.New(lanes.Config{
		Ranks: func() []tables.Rank { return t.Ranks }, Servers: in.LaneServers, Seed: 1,
	})
	in.Forwarder = proxy.New(in.View, in.dispatcher.Do)
	serve(tb, in.Server(func(c *fasthttp.RequestCtx) { c.SetStatusCode(fasthttp.StatusTeapot) }))(ln)
	tb.Cleanup(in.dispatcher.Close)
	tb.Cleanup(in.Forwarder.Close)
	return in
}

// newServer starts a server that answers with the headers of the request. One with the path /hold waits until the test
// ends.
func newServer(tb testing.TB) netip.AddrPort {
	ln, addr := listen(tb)
	serve(tb, &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		h := &c.Request.Header
		if string(c.Path()) == "/hold" {
			<-tb.Context().Done()
		}
		c.Response.Header.SetBytesV(work.RequestIDHeader, h.Peek(work.RequestIDHeader))
		_, _ = fmt.Fprintf(c, "%s %s pool=%s slot=%s token=%s rank=%s body=%s", h.Method(), h.RequestURI(),
			h.Peek("Pool"), h.Peek("Slot"), h.Peek("Token"), h.Peek("Rank"), c.Request.Body())
	}})(ln)
	return addr
}

func testTables(server netip.AddrPort) *tables.Tables {
	keyedServer := tables.Server{Name: "s1", Address: server, DC: "b1", Slots: 3, Checks: true}
	unkeyedServer := keyedServer
	unkeyedServer.Name = "u1"
	return &tables.Tables{
		Ranks:   []tables.Rank{{Name: "urgent", Share: 0.6, Target: time.Second}},
		Pools:   []tables.Pool{{Name: "cat", Keyed: true, Slots: 1, Servers: []tables.Server{keyedServer}}, {Name: "cut", Servers: []tables.Server{unkeyedServer}}},
		Regions: []tables.Region{{Name: "b", DCs: []string{"a1", "b1"}}},
	}
}

func newRequest(pool string) *work.Request {
	return &work.Request{
		ID: "r1", Pool: pool, Key: "k", Rank: "urgent", Deadline: time.Now().Add(5 * time.Second), Origin: "a1",
		Method: "POST", URI: "/x?y=%20z", Host: "shop", Body: []byte("net"),
		Headers: []work.Header{{Name: "Content-Type", Value: "text/plain"}},
	}
}

// newFleet returns an entry instance in data centre a1 and two instances in b1, of which the second dispatches the lanes.
func newFleet(tb testing.TB) (entry, forwarder, dispatcher *instance) {
	t := testTables(newServer(tb))
	entry, forwarder, dispatcher = newInstance(tb, "a1", t), newInstance(tb, "b1", t), newInstance(tb, "b1", t)
	members := []*peerpb.Member{{Peer: forwarder.addr.String()}, {Peer: dispatcher.addr.String(), Lanes: []string{"cat/s1", "cut/b1/0"}}}
	for _, in := range []*instance{entry, forwarder, dispatcher} {
		in.SetSlots("cat", []fold.Slot{{DC: "b1", Owner: "s1", Token: 7}})
		in.SetList(roster.List{Instances: []roster.Instance{{DC: "b1", Peer: forwarder.addr}}})
	}
	forwarder.SetMembers(members, nil)
	dispatcher.SetMembers(members, nil)
	dispatcher.setLanes(7, 1, t.Pools[0].Servers[0].Address)
	return entry, forwarder, dispatcher
}

// setLanes makes the instance the dispatcher of both lanes for a minute.
func (in *instance) setLanes(token, revision uint64, addrs ...netip.AddrPort) {
	var servers []*peerpb.Server
	for i, a := range addrs {
		servers = append(servers, &peerpb.Server{Name: fmt.Sprint("s", i+1), Address: a.String(), Slots: 3, Checks: true})
	}
	newLane := func(name, lane string) *peerpb.Lane {
		return &peerpb.Lane{Name: lane, Pool: name, Revision: revision, Servers: servers}
	}
	keyed := newLane("cat", "cat/s1")
	keyed.Slots = []*peerpb.Range{{First: 0, Last: 0, Token: token}}
	now := time.Now()
	in.dispatcher.Update(now, []*peerpb.Lane{keyed, newLane("cut", "cut/b1/0")}, now.Add(time.Minute))
}

// Guards against a request or an answer that changes when it is forwarded over two hops, one hop or none.
func TestHops(t *testing.T) {
	entry, forwarder, dispatcher := newFleet(t)
	for name, in := range map[string]*instance{"two hops": entry, "one hop": forwarder, "itself": dispatcher} {
		a, err := in.Send(context.Background(), newRequest("cat"))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		want := "POST /x?y=%20z pool=cat slot=0 token=7 rank=urgent body=net"
		if a.Status != 200 || string(a.Body) != want {
			t.Errorf("%s: %d %q", name, a.Status, a.Body)
		}
	}
}

// Guards against other requests not reaching the listener's other handler, and against hops without their headers.
func TestHandler(t *testing.T) {
	_, forwarder, _ := newFleet(t)
	status, _, err := fasthttp.Get(nil, "http://"+forwarder.addr.String()+"/twirp/x")
	if err != nil || status != fasthttp.StatusTeapot {
		t.Errorf("other handler: %d, %v", status, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + forwarder.addr.String() + "/x")
	req.Header.Set("Bramleycove-Hops", "1")
	if err := fasthttp.Do(req, resp); err != nil || resp.StatusCode() != 400 || string(resp.Header.Peek(result.VerdictHeader)) != "not-run" {
		t.Errorf("malformed hop: %v\n%v", err, resp)
	}
}

// Guards against refusing a request with a stale target although a newer view shows the right one.
func TestStaleTarget(t *testing.T) {
	_, forwarder, dispatcher := newFleet(t)
	forwarder.SetSlots("cat", []fold.Slot{{DC: "b1", Owner: "s1", Token: 9}})
	if _, err := sendDuring(forwarder, newRequest("cat"), nil); result.FromError(err).Reason != lanes.ReasonStale || result.FromError(err).Verdict != result.NotRun {
		t.Fatalf("token newer than the lease: %v", err)
	}
	a, err := sendDuring(forwarder, newRequest("cat"), func() {
		dispatcher.setLanes(9, 2, dispatcher.Tables().Pools[0].Servers[0].Address)
		forwarder.SetList(roster.List{})
	})
	if err != nil || a.Status != 200 {
		t.Errorf("after the newer view: %v", err)
	}
}

// sendDuring sends req and meanwhile calls change.
func sendDuring(in *instance, req *work.Request, change func()) (a work.Answer, err error) {
	var wg conc.WaitGroup
	wg.Go(func() { a, err = in.Send(context.Background(), req) })
	if change != nil {
		change()
	}
	wg.Wait()
	return a, err
}

// Guards against a lost dispatcher stopping an unkeyed lane, and against another instance serving a keyed lane without a
// lease.
func TestLostDispatcher(t *testing.T) {
	_, forwarder, _ := newFleet(t)
	ln, unreachable := listen(t)
	_ = ln.Close()
	forwarder.SetMembers([]*peerpb.Member{
		{Peer: forwarder.addr.String()}, {Peer: unreachable.String(), Lanes: []string{"cat/s1", "cut/b1/0"}},
	}, nil)
	if a, err := forwarder.Send(context.Background(), newRequest("cut")); err != nil || a.Status != 200 {
		t.Errorf("unkeyed: %v", err)
	}
	_, err := forwarder.Send(context.Background(), newRequest("cat"))
	if e := result.FromError(err); e.Verdict != result.NotRun || e.Reason != proxy.ReasonPeerUnreachable {
		t.Errorf("keyed: %v", err)
	}
}

// Guards against the verdict "not run" for a hop that broke after a byte of the request was sent.
func TestLostHop(t *testing.T) {
	_, forwarder, _ := newFleet(t)
	ln, addr := listen(t)
	defer func() { _ = ln.Close() }()
	var wg conc.WaitGroup
	wg.Go(func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	})
	forwarder.SetMembers([]*peerpb.Member{{Peer: addr.String(), Lanes: []string{"cat/s1"}}}, nil)
	_, err := forwarder.Send(context.Background(), newRequest("cat"))
	if e := result.FromError(err); e.Verdict != result.MayHaveRun || e.Status != 504 || e.Reason != proxy.ReasonPeerLost {
		t.Errorf("lost hop: %v", err)
	}
	wg.Wait()
}

// Guards against a malformed answer of an instance that counts as the dispatcher's.
func TestMalformedHopAnswer(t *testing.T) {
	_, forwarder, _ := newFleet(t)
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 200 OK\r\nX Bad: 1"} {
		ln, addr := listen(t)
		var wg conc.WaitGroup
		wg.Go(func() {
			if c, err := ln.Accept(); err == nil {
				req := new(fasthttp.Request)
				_ = req.Read(bufio.NewReader(c))
				id := req.Header.Peek(work.RequestIDHeader)
				_, _ = fmt.Fprintf(c, "%s\r\nRequest-Id: %s\r\nBramleycove-Verdict: ran\r\nContent-Length: 2\r\n\r\nno", line, id)
				_ = c.Close()
			}
		})
		forwarder.SetMembers([]*peerpb.Member{{Peer: addr.String(), Lanes: []string{"cat/s1"}}}, nil)
		a, err := forwarder.Send(context.Background(), newRequest("cat"))
		if e := result.FromError(err); err == nil || e.Verdict != result.MayHaveRun || e.Status != 502 || e.Reason != proxy.ReasonBadAnswer {
			t.Errorf("%q: %d, %v", line, a.Status, err)
		}
		_ = ln.Close()
		wg.Wait()
	}
}

// Guards against the verdict "may have run" for a request that expired in the dispatcher's queue.
func TestExpiredInQueue(t *testing.T) {
	entry, _, _ := newFleet(t)
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wg.Go(func() {
		req := newRequest("cat")
		req.URI = "/hold" // occupies the server, which runs one request at a time while it is cold
		_, _ = entry.Send(ctx, req)
	})
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		req := newRequest("cat")
		req.Deadline = time.Now().Add(200 * time.Millisecond)
		ctx, cancel := context.WithDeadline(ctx, req.Deadline)
		_, err := entry.Send(ctx, req)
		cancel()
		if err == nil {
			continue // ran before the /hold request
		}
		if e := result.FromError(err); e.Verdict != result.NotRun || e.Reason != lanes.ReasonDeadline {
			t.Errorf("expired: %v", err)
		}
		return
	}
	t.Error("no request was queued")
}

// Guards against unlimited or uncounted traffic between regions, and against a limit within a region.
func TestLinkLimit(t *testing.T) {
	entry, forwarder, _ := newFleet(t)
	split := *entry.Tables()
	split.Regions = []tables.Region{{Name: "a", DCs: []string{"a1"}}, {Name: "b", DCs: []string{"b1"}}}
	for _, in := range []*instance{entry, forwarder} {
		in.SetTables(&split)
		exhausted := link.New(1000)
		exhausted.AddReceived(time.Now(), 0, 1<<40)
		in.SetLink(exhausted)
	}
	if _, err := entry.Send(context.Background(), newRequest("cat")); result.FromError(err).Reason != proxy.ReasonLinkFull {
		t.Errorf("over a link without budget: %v", err)
	}
	if _, err := forwarder.Send(context.Background(), newRequest("cat")); err != nil {
		t.Errorf("within the region: %v", err)
	}
	entry.SetLink(link.New(1_000_000))
	if _, err := entry.Send(context.Background(), newRequest("cat")); err != nil || entry.LinkTraffic()[0].In == 0 || entry.LinkTraffic()[0].Out == 0 {
		t.Errorf("%v, traffic %v", err, entry.LinkTraffic())
	}
}

// Guards against refusing unkeyed requests without usable local servers where another data centre may serve them.
func TestOtherDataCentre(t *testing.T) {
	entry, _, _ := newFleet(t)
	ln, unreachable := listen(t)
	_ = ln.Close()
	withLocalServer := *entry.Tables()
	remoteServer := withLocalServer.Pools[1].Servers[0]
	withLocalServer.Pools = []tables.Pool{{Name: "cut", Remote: true, Servers: []tables.Server{{Name: "a", DC: "a1", Address: unreachable, Slots: 3}, remoteServer}}}
	entry.SetTables(&withLocalServer)
	for range 3 { // by the third, the local server is frozen
		if a, err := entry.Send(context.Background(), newRequest("cut")); err != nil || a.Status != 200 {
			t.Errorf("other data centre: %v", err)
		}
	}
}
