package carry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/carry"
	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

// fake is a backend server whose raw answers are given in turn; the last one is repeated. "%s" is the request's id.
type fake struct {
	*topo.Server
	ln   net.Listener
	got  atomic.Int32
	mu   sync.Mutex
	raws []string
}

const (
	ok   = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok"
	shed = "HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	fail = "HTTP/1.1 500 Oops\r\nRequest-Id: %s\r\nStamp: s\r\nContent-Length: 0\r\n\r\n"
	cut  = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: s\r\nContent-Length: 9\r\n\r\nok"
	none = "" // the connection closes without an answer
	hang = "hang"
)

func serve(t *testing.T, id string, raws ...string) *fake {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{ln: ln, raws: raws, Server: &topo.Server{
		Owner: spans.Owner{Server: id, StartMs: 1}, Pool: "p", Address: netip.MustParseAddrPort(ln.Addr().String()), DC: "a", Slots: 3,
	}}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f.talk(c)
		}
	}()
	return f
}

func (f *fake) talk(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req := new(fasthttp.Request)
		if req.Read(br) != nil {
			return
		}
		f.got.Add(1)
		f.mu.Lock()
		raw := f.raws[0]
		if len(f.raws) > 1 {
			f.raws = f.raws[1:]
		}
		f.mu.Unlock()
		switch raw {
		case none:
			return
		case hang:
			_, _ = br.ReadByte() // until the caller closes
			return
		}
		_, _ = c.Write([]byte(strings.ReplaceAll(raw, "%s", string(req.Header.Peek("Request-Id")))))
		if raw == cut {
			return
		}
	}
}

// site is a carrier with a world that a test sets.
type site struct {
	*carry.Carrier
	mu      sync.Mutex
	world   *topo.Snapshot
	changed chan struct{}
	ids     int
}

func (s *site) current() (*topo.Snapshot, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.world, s.changed
}

func (s *site) set(w *topo.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.world = w
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

func known(keyed bool, servers ...*fake) *topo.Snapshot {
	w := &topo.Snapshot{
		Tables:  &tables.Tables{Pools: []tables.Pool{{Name: "p", Keyed: keyed, Connections: 40}}},
		Servers: make(map[string]*topo.Server), Pools: make(map[string][]*topo.Server),
	}
	for _, f := range servers {
		w.Servers[f.Server.Server] = f.Server
		w.Pools["p"] = append(w.Pools["p"], f.Server)
	}
	return w
}

func start(t *testing.T, w *topo.Snapshot) *site {
	t.Helper()
	s := new(site)
	s.set(w)
	s.Carrier = carry.New("i1", carry.Config{
		Place: topo.Location{DC: "a"}, World: s.current, Instances: func() int { return 1 }, Options: conns.Options{AcceptUnframed: true, MaxForeign: 1},
		RetryRatio: 0.2, RetrySlack: 20,
		Write: func(h *fasthttp.Request, r *work.Request, _ string, _ time.Duration) {
			r.WriteRequestWithoutID(h)
			h.Header.Set("Request-Id", r.ID)
		},
		Read: func(h *fasthttp.Response) carry.Reply {
			r := carry.Reply{Answer: work.ReadResponseFiltered(h, work.ForwardsHeader), Signed: len(h.Header.Peek("Stamp")) > 0}
			switch {
			case h.StatusCode() == 421:
				r.Refused = carry.NotOwner
			case len(h.Header.Peek("Not-Run")) > 0:
				r.Refused = carry.Busy
			}
			return r
		},
	})
	t.Cleanup(s.Close)
	return s
}

// send runs a request of a route; once tells that it may run at most once.
func (s *site) send(ctx context.Context, once bool, timeout time.Duration) (work.Answer, error) {
	r := &tables.Route{Name: "r", Pool: "p", Attempts: 2, Target: time.Second, Priority: 1}
	if once {
		r.Once = new(tables.Once)
	}
	s.ids++
	now := time.Now()
	return s.Send(now, &carry.Call{
		Request: &work.Request{
			ID: fmt.Sprint("r", s.ids), Method: "POST", URI: "/x", Key: "7", Deadline: now.Add(timeout),
			Fingerprint: crash.Print("POST", fmt.Sprint("/x", s.ids), nil),
		},
		Route: r, Gone: ctx, Begun: now,
	})
}

// Guards against work that must not be repeated and is sent again after it may have run, against "not run" for such work,
// and against work that may be repeated and is given up after one failure.
func TestKinds(t *testing.T) {
	for name, c := range map[string]struct {
		first     string
		once      bool
		status    int // of the outcome, whether a server's or our own
		verdict   result.Verdict
		otherGets int32
	}{
		"once, answered":        {ok, true, 200, result.Ran, 0},
		"once, refused":         {shed, true, 200, result.Ran, 1},
		"once, lost":            {none, true, 502, result.MayHaveRun, 0},
		"once, cut short":       {cut, true, 502, result.MayHaveRun, 0},
		"once, failed":          {fail, true, 500, result.Ran, 0},
		"once, no answer":       {hang, true, 504, result.MayHaveRun, 0},
		"repeatable, refused":   {shed, false, 200, result.Ran, 1},
		"repeatable, lost":      {none, false, 200, result.Ran, 1},
		"repeatable, cut short": {cut, false, 200, result.Ran, 1},
		"repeatable, failed":    {fail, false, 200, result.Ran, 1},
		"repeatable, no answer": {hang, false, 504, result.MayHaveRun, 0},
	} {
		t.Run(name, func(t *testing.T) {
			first, other := serve(t, "a", c.first), serve(t, "b", ok)
			other.DC = "far" // the other one comes second
			s := start(t, known(false, first, other))
			// Second sends draw on a budget that requests fill.
			for range 20 {
				f := serve(t, "c", ok)
				s.set(known(false, f))
				if _, err := s.send(context.Background(), false, time.Second); err != nil {
					t.Fatal(err)
				}
			}
			s.set(known(false, first, other))
			a, err := s.send(context.Background(), c.once, 300*time.Millisecond)
			status, verdict := a.Status, result.Ran
			if err != nil {
				status, verdict = result.From(err).Status, result.From(err).Verdict
			}
			if status != c.status || verdict != c.verdict || other.got.Load() != c.otherGets || first.got.Load() != 1 {
				t.Errorf("%d %v (%v), %d requests at the first and %d at the other", status, verdict, err, first.got.Load(), other.got.Load())
			}
		})
	}
}

// Guards against second sends beyond the budget that all instances share.
func TestBudget(t *testing.T) {
	a, b := serve(t, "a", shed), serve(t, "b", shed)
	s := start(t, known(false, a, b))
	const n = 100
	for range n {
		_, _ = s.send(context.Background(), true, 500*time.Millisecond) // all are refused
		time.Sleep(time.Millisecond)
	}
	// The first sends are no repeats, and not every request finds room at a server.
	if extra := a.got.Load() + b.got.Load() - n; extra > 0.2*n+20 {
		t.Errorf("%d second sends for %d requests", extra, n)
	}
}

// Guards against a request that is sent to a former owner, and against one that is refused while its key reaches its next
// owner.
func TestMovingKey(t *testing.T) {
	a, b := serve(t, "a", "HTTP/1.1 421 No\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"), serve(t, "b", ok)
	w := known(true, a, b)
	w.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: a.Owner, Fence: 1}}}
	s := start(t, w)
	next := known(true, a, b)
	next.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: b.Owner, Fence: 2}}}
	time.AfterFunc(100*time.Millisecond, func() { s.set(next) })
	for range 20 {
		s.Report(time.Now())
	}
	if x, err := s.send(context.Background(), true, time.Second); err == nil && x.Status != 200 {
		t.Errorf("%d, %v", x.Status, err)
	}
	moving := known(true, a, b)
	moving.Owners = next.Owners
	moving.Moving = map[string][]topo.MovingRange{"p": {{First: 0, Last: 100, Until: time.Now().Add(3 * time.Second)}}}
	s.set(moving)
	begun := time.Now()
	_, err := s.send(context.Background(), true, 2*time.Second)
	e := result.From(err)
	if e.Verdict != result.NotRun || e.Status != 503 || e.RetryAfter < time.Second || time.Since(begun) > 100*time.Millisecond {
		t.Errorf("a key that is unserved for 3 s: %v after %v, wait %v", err, time.Since(begun), e.RetryAfter)
	}
	if loads := s.Report(time.Now()).Loads[carry.Key{Pool: "p", Key: 7}]; loads != 2 {
		t.Errorf("%d requests of the key were counted", loads)
	}
}

// owned returns a world in which one server holds all keys.
func owned(f *fake) *topo.Snapshot {
	w := known(true, f)
	w.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: f.Owner, Fence: 1}}}
	return w
}

// earn sends requests to f that are served, so that the budget permits a second try.
func (s *site) earn(t *testing.T, f *fake, then ...string) {
	t.Helper()
	for range 20 {
		if x, err := s.send(context.Background(), true, time.Second); err != nil || x.Status != 200 {
			t.Fatalf("%d, %v", x.Status, err)
		}
	}
	f.mu.Lock()
	f.raws = then
	f.mu.Unlock()
	f.got.Store(0)
}

// refusedAtOnce fails the test unless a request is refused as not run by a full server, sooner than a wait for another owner
// would end.
func (s *site) refusedAtOnce(t *testing.T) {
	t.Helper()
	begun := time.Now()
	_, err := s.send(context.Background(), false, 2*time.Second)
	if err == nil {
		t.Fatal("served by a full server")
	}
	e := result.From(err)
	if took := time.Since(begun); e.Verdict != result.NotRun || e.Status != 503 || e.Reason != carry.ReasonBusy || e.RetryAfter <= 0 || took > 300*time.Millisecond {
		t.Errorf("%v, status %d, reason %s, wait %v after %v", e.Verdict, e.Status, e.Reason, e.RetryAfter, took)
	}
}

// Guards against requests that wait 0.4 s for another owner of their key after its owner has said that it is full.
func TestFullOwner(t *testing.T) {
	a := serve(t, "a", ok)
	s := start(t, owned(a))
	s.earn(t, a, shed)
	s.refusedAtOnce(t)
	if a.got.Load() != 1 {
		t.Errorf("a full server got a request %d times", a.got.Load())
	}
}

// Guards against a server with a long queue, which resets new connections, being taken for a broken one: its keys were
// refused for seconds, and requests that reached nobody were answered as if they might have run.
func TestResettingOwner(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	a := &fake{ln: ln, raws: []string{ok}, Server: &topo.Server{
		Owner: spans.Owner{Server: "a", StartMs: 1}, Pool: "p", Address: netip.MustParseAddrPort(ln.Addr().String()), DC: "a", Slots: 3,
	}}
	var full atomic.Bool
	full.Store(true)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if full.Load() {
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
				continue
			}
			go a.talk(c)
		}
	}()
	s := start(t, owned(a))
	for range 5 {
		s.refusedAtOnce(t)
	}
	full.Store(false)
	time.Sleep(150 * time.Millisecond)
	if x, err := s.send(context.Background(), false, time.Second); err != nil || x.Status != 200 {
		t.Errorf("after the queue had shrunk: %d, %v", x.Status, err)
	}
}

// Guards against a repeatable request that waits for another owner when its connection was lost, though its key's owner
// would answer a second try.
func TestLostConnection(t *testing.T) {
	a := serve(t, "a", ok)
	s := start(t, owned(a))
	s.earn(t, a, none, ok)
	begun := time.Now()
	x, err := s.send(context.Background(), false, time.Second)
	if err != nil || x.Status != 200 || time.Since(begun) > 300*time.Millisecond {
		t.Errorf("status %d, %v after %v", x.Status, err, time.Since(begun))
	}
	if _, err := s.send(context.Background(), true, time.Second); err != nil {
		t.Error(err)
	}
	if a.got.Load() != 3 {
		t.Errorf("the server got %d requests, want 3", a.got.Load())
	}
}

// Guards against requests that go to a leaving owner until somebody moves its keys: the leader may be lost.
func TestLeavingOwner(t *testing.T) {
	a := serve(t, "a", ok)
	a.Leaving, a.LeavingSince = true, time.Now()
	w := known(true, a)
	w.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: a.Owner, Fence: 1}}}
	s := start(t, w)
	if x, err := s.send(context.Background(), true, time.Second); err != nil || x.Status != 200 {
		t.Errorf("a server that has just said that it leaves: %d, %v", x.Status, err)
	}
	time.Sleep(600 * time.Millisecond)
	_, err := s.send(context.Background(), true, time.Second)
	if e := result.From(err); err == nil || e.Verdict != result.NotRun || a.got.Load() != 1 {
		t.Errorf("0.6 s later: %v, %d requests sent", err, a.got.Load())
	}
}

// Guards against work that goes on for a caller that has left, if it may be repeated, and against work that may not and is
// broken off.
func TestCallerLeaves(t *testing.T) {
	for _, once := range []bool{false, true} {
		slow := serve(t, "a", hang)
		s := start(t, known(false, slow))
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		begun := time.Now()
		_, err := s.send(ctx, once, 400*time.Millisecond)
		if took := time.Since(begun); once != (took >= 390*time.Millisecond) {
			t.Errorf("once %v: ended after %v with %v", once, took, err)
		}
		if _, err := s.send(ctx, once, 400*time.Millisecond); slow.got.Load() != 1 || err == nil {
			t.Errorf("once %v: %d requests sent, one of them for a caller that had left", once, slow.got.Load())
		}
	}
}

// Guards against a request that crashes one server after the other.
func TestCrash(t *testing.T) {
	poison := crash.Print("POST", "/poison", nil)
	s := start(t, known(false))
	lost := 0
	for i := range 6 {
		f := serve(t, fmt.Sprint("s", i), none)
		s.set(known(false, f))
		_ = f.ln.Close
		now := time.Now()
		r := &tables.Route{Name: "r", Pool: "p", Attempts: 1, Once: new(tables.Once)}
		x := &carry.Call{Request: &work.Request{ID: fmt.Sprint("q", i), Method: "POST", URI: "/poison", Deadline: now.Add(time.Second), Fingerprint: poison}, Route: r, Gone: context.Background(), Begun: now}
		time.AfterFunc(5*time.Millisecond, func() {
			for f.got.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			_ = f.ln.Close()
		})
		_, err := s.Send(now, x)
		if f.got.Load() > 0 {
			lost++
		}
		if e := result.From(err); lost >= 2 && f.got.Load() == 0 && e.Reason != carry.ReasonCrash {
			t.Errorf("refused as %s", e.Reason)
		}
		time.Sleep(100 * time.Millisecond)
		s.Close()
	}
	if lost != 2 {
		t.Errorf("%d servers got the request, want 2", lost)
	}
}
