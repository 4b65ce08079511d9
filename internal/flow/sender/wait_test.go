package sender_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// gatedServer answers requests while it is open, and otherwise one for each value in gate.
type gatedServer struct {
	*topo.Server
	open atomic.Bool
	gate chan struct{}
	mu   sync.Mutex
	uris []string // in the order of arrival
}

// joinTime is ample time for a request to find the servers full and to wait.
const joinTime = 50 * time.Millisecond

func startGated(t *testing.T, id string) *gatedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gatedServer{gate: make(chan struct{}), Server: &topo.Server{
		Owner: spans.Owner{Server: id, StartMs: 1}, Pool: "p", Address: netip.MustParseAddrPort(ln.Addr().String()), DC: "a", Slots: 3,
	}}
	g.open.Store(true)
	srv := &fasthttp.Server{Handler: func(h *fasthttp.RequestCtx) {
		g.mu.Lock()
		g.uris = append(g.uris, string(h.RequestURI()))
		g.mu.Unlock()
		if !g.open.Load() {
			<-g.gate
		}
		h.Response.Header.Set("Request-Id", string(h.Request.Header.Peek("Request-Id")))
		h.Response.Header.Set("Stamp", "s")
	}}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() {
		close(g.gate)
		_ = srv.Shutdown()
	})
	return g
}

// got returns the requests that have arrived.
func (g *gatedServer) got() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.uris)
}

func (g *gatedServer) count() int { return len(g.got()) }

// sendAs sends a repeatable request of a priority in the background and passes on its error.
func (s *testSender) sendAs(ctx context.Context, uri string, priority int, timeout time.Duration) <-chan error {
	now, done := time.Now(), make(chan error, 1)
	x := &sender.Call{
		Request: &work.Request{
			ID: uri, Method: "GET", URI: uri, Key: "7", Deadline: now.Add(timeout), Fingerprint: crash.NewFingerprint("GET", uri, nil),
		},
		Route:     &tables.Route{Name: fmt.Sprint("r", priority), Pool: "p", Attempts: 1, Target: timeout / 2, Priority: priority},
		CallerCtx: ctx, ReceivedAt: now,
	}
	go func() {
		_, err := s.Send(now, x)
		done <- err
	}()
	return done
}

// fill closes the gate of a server and sends it as many requests as it has room for.
func (s *testSender) fill(t *testing.T, g *gatedServer) {
	t.Helper()
	for i := range 20 {
		if err := <-s.sendAs(context.Background(), fmt.Sprint("/quick", i), 2, 4*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	g.open.Store(false)
	for i, before := 0, -1; g.count() > before; i++ {
		before = g.count()
		s.sendAs(context.Background(), fmt.Sprint("/fill", i), 2, 4*time.Second)
		for end := time.Now().Add(100 * time.Millisecond); g.count() == before && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in 2 s: " + what)
		}
	}
}

func ownedBy(g *gatedServer, servers ...*gatedServer) *topo.Snapshot {
	w := snapshotOf(true)
	for _, other := range append(servers, g) {
		w.Servers[other.Server.Server] = other.Server
		w.Pools["p"] = append(w.Pools["p"], other.Server)
	}
	w.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: g.Owner, Fence: uint64(len(servers) + 1)}}}
	return w
}

// Guards against room that goes to whichever request polls next instead of the most urgent, in pools and at owners of keys.
func TestUrgentTakesRoomFirst(t *testing.T) {
	for name, keyed := range map[string]bool{"keyed": true, "unkeyed": false} {
		t.Run(name, func(t *testing.T) {
			g := startGated(t, "a")
			w := ownedBy(g)
			w.Tables.Pools[0].Keyed = keyed
			s := newSender(t, w)
			s.fill(t, g) // the last request that fill sent waits
			full := g.count()
			s.sendAs(context.Background(), "/less-urgent", 2, 4*time.Second)
			time.Sleep(joinTime)
			s.sendAs(context.Background(), "/urgent", 1, 3*time.Second)
			time.Sleep(joinTime)
			for i := range 3 {
				g.gate <- struct{}{}
				await(t, "a request that waits is sent", func() bool { return g.count() > full+i })
			}
			if got := g.got()[full:]; got[0] != "/urgent" || !slices.Contains(got, "/less-urgent") {
				t.Errorf("order %q", got)
			}
		})
	}
}

// Guards against a request that waits beyond the time in which it can be answered, and one whose caller has gone that takes room.
func TestQueueLeft(t *testing.T) {
	g := startGated(t, "a")
	s := newSender(t, ownedBy(g))
	s.fill(t, g)
	full := g.count()
	ctx, cancel := context.WithCancel(context.Background())
	gone := s.sendAs(ctx, "/gone", 1, 4*time.Second)
	time.Sleep(joinTime)
	cancel()
	if e := result.FromError(<-gone); e.Reason != sender.ReasonCancelled || e.Verdict != result.NotRun {
		t.Errorf("caller gone: %v", e)
	}
	begun := time.Now()
	e := result.FromError(<-s.sendAs(context.Background(), "/late", 1, 150*time.Millisecond))
	if took := time.Since(begun); e.Reason != sender.ReasonServerBusy || e.Verdict != result.NotRun || took > 180*time.Millisecond {
		t.Errorf("no time left: %v after %v", e, took)
	}
	if g.count() != full {
		t.Errorf("%d requests sent to a full server", g.count()-full)
	}
}

// Guards against requests that wait for room at a server whose keys another has taken over.
func TestOwnerChangesInQueue(t *testing.T) {
	a, b := startGated(t, "a"), startGated(t, "b")
	s := newSender(t, ownedBy(a, b))
	s.fill(t, a)
	done := s.sendAs(context.Background(), "/moved", 1, 4*time.Second)
	time.Sleep(joinTime)
	w := ownedBy(b, a)
	w.Owners["p"][0].Fence = 9
	s.setSnapshot(w)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if !slices.Contains(b.got(), "/moved") {
		t.Error("the new owner has not got the request")
	}
}
