package bkend_test

import (
	"errors"
	"net"
	"net/netip"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/stand/fence"
	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

type server struct {
	*bkend.Server
	t       *testing.T
	journal string
	client  fasthttp.Client
}

func start(t *testing.T, cfg bkend.Settings) *server {
	t.Helper()
	cfg.Name, cfg.JournalPath = "s1", filepath.Join(t.TempDir(), "s1.jsonl")
	if cfg.Concurrency == 0 {
		cfg.Concurrency = 1
	}
	s, err := bkend.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(loopback, loopback); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return &server{Server: s, t: t, journal: cfg.JournalPath}
}

type response struct {
	status int
	header func(string) string
	body   string
	err    error
}

func (s *server) send(method, path, body string, headers ...string) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.Address().String() + path)
	req.SetBodyString(body)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	err := s.client.DoTimeout(req, resp, 5*time.Second)
	return response{resp.StatusCode(), func(k string) string { return string(resp.Header.Peek(k)) }, string(resp.Body()), err}
}

func (s *server) grant(slots ...trace.SlotRange) fence.Reply {
	s.t.Helper()
	var reply fence.Reply
	for _, req := range []fence.Request{{}, {Term: 1, Slots: slots}} {
		req.Incarnation, req.Until = reply.Incarnation, reply.Clock+int64(5*time.Second)
		body, _ := json.Marshal(req)
		a := s.send("POST", "/grant", string(body))
		if err := json.Unmarshal([]byte(a.body), &reply); err != nil || a.err != nil {
			s.t.Fatal(err, a.err)
		}
	}
	return reply
}

func (s *server) waitFor(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("not within 5 s:", what)
		}
	}
}

func (s *server) events(kind string) []trace.Event {
	s.t.Helper()
	all, err := trace.Read(s.journal)
	if err != nil {
		s.t.Fatal(err)
	}
	var out []trace.Event
	for _, ev := range all {
		if ev.Kind == kind {
			out = append(out, ev)
		}
	}
	return out
}

func (s *server) expectRefused(name string, a response, status int) {
	s.t.Helper()
	if a.err != nil || a.status != status || a.header("Verdict") != "not-run" {
		s.t.Errorf("%s: status %d, verdict %q, %v, want %d and not-run", name, a.status, a.header("Verdict"), a.err, status)
	}
}

// Guards against a server that commits work whose grant was revoked after the work began.
func TestRevokedBeforeCommit(t *testing.T) {
	s := start(t, bkend.Settings{ChecksTokens: true, Keyed: true, ServiceTime: time.Minute})
	if r := s.grant(trace.SlotRange{Pool: "p", First: 0, Last: 7, Token: 9}); !r.Accepted || len(r.Held) != 1 {
		t.Fatalf("%+v", r)
	}
	if err := s.Apply(bkend.Command{ServiceTime: "2s"}); err != nil {
		t.Fatal(err)
	}
	s.expectRefused("wrong token", s.send("GET", "/x", "", "Pool", "p", "Slot", "3", "Token", "8"), 409)
	s.expectRefused("no slot", s.send("GET", "/x", "", "Pool", "p", "Token", "9"), 409)
	done := make(chan response)
	go func() { done <- s.send("GET", "/x", "", "Pool", "p", "Slot", "3", "Token", "9") }()
	s.waitFor("running", func() bool { return s.Status().Running == 1 })
	s.grant()
	s.expectRefused("revoked", <-done, 409)
	if ev := s.events(trace.KindExec); len(ev) != 1 || ev[0].Committed || ev[0].Reason != "token" || ev[0].Slot != 3 {
		t.Fatalf("%+v", ev)
	}
}

// Guards against a server of an unkeyed pool that requires valid tokens.
func TestUnkeyed(t *testing.T) {
	s := start(t, bkend.Settings{ChecksTokens: true})
	if a := s.send("GET", "/x", "", "Pool", "p", "Slot", "0", "Token", "0"); a.status != 200 || a.err != nil {
		t.Fatalf("status %d, %v", a.status, a.err)
	}
	if ev := s.events(trace.KindExec); len(ev) != 1 || ev[0].Slot != trace.NoSlot {
		t.Fatalf("%+v", ev)
	}
}

// Guards against answers that differ from the journal other than by the answer mode.
func TestAnswers(t *testing.T) {
	s := start(t, bkend.Settings{MinAnswerSize: 300})
	for _, mode := range []string{bkend.AnswerWhole, bkend.AnswerWrongID, bkend.AnswerTruncated, bkend.AnswerDelayed} {
		if err := s.Apply(bkend.Command{AnswerMode: mode, AnswerDelay: "1ms", AnswerCount: 1}); err != nil {
			t.Fatal(err)
		}
		a := s.send("POST", "/o", "body", "Request-Id", mode, "Identity", "id-"+mode, "Mark", "m")
		evs := s.events(trace.KindExec)
		ev := evs[len(evs)-1]
		if !ev.Committed || ev.Request != mode || ev.Identity != "id-"+mode || ev.Mark != "m" || ev.Slot != trace.NoSlot {
			t.Fatalf("%s: %+v", mode, ev)
		}
		if (a.err != nil) != (mode == bkend.AnswerTruncated) || a.err == nil && a.body != string(ev.Body) {
			t.Errorf("%s: %v, body %q, journal %q", mode, a.err, a.body, ev.Body)
		}
		if a.err == nil && (a.header("Request-Id") == mode) != (mode != bkend.AnswerWrongID) {
			t.Errorf("%s: request id %q", mode, a.header("Request-Id"))
		}
	}
}

// Guards against refused work that ran, and work that continues after its deadline, cancellation or grace period.
func TestRefusals(t *testing.T) {
	s := start(t, bkend.Settings{ServiceTime: time.Minute})
	s.expectRefused("deadline", s.send("GET", "/a", "", "Timeout", "20"), 503)
	done := make(chan response)
	go func() { done <- s.send("GET", "/b", "", "Request-Id", "r7") }()
	s.waitFor("running", func() bool { return s.Status().Running == 1 })
	s.expectRefused("no slot free", s.send("GET", "/c", ""), 503)
	if a := s.send("DELETE", "/requests/r7", ""); a.status != 200 {
		t.Fatalf("cancel: %d, %v", a.status, a.err)
	}
	s.expectRefused("cancelled", <-done, 503)
	s.Drain(time.Now())
	a := s.send("GET", "/d", "")
	s.expectRefused("leaving", a, 503)
	if a.header("Leaving") != "true" || !s.Drained(time.Now()) || s.Status().Committed != 0 {
		t.Fatalf("leaving %q, %+v", a.header("Leaving"), s.Status())
	}
}

// Guards against a connection limit that is not enforced or not counted.
func TestConnectionLimit(t *testing.T) {
	s := start(t, bkend.Settings{MaxConnections: 2})
	for range 5 {
		c, err := net.Dial("tcp", s.Address().String())
		if errors.Is(err, syscall.ECONNRESET) {
			continue // rejected before Dial returned
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	s.waitFor("rejected", func() bool { return s.Status().Rejected == 3 })
	if st := s.Status(); st.PeakConnections != 2 || st.Connections != 2 {
		t.Fatalf("%+v", st)
	}
}

// Guards against a crash without its trigger, and against one that is not journalled.
func TestCrash(t *testing.T) {
	codes := make(chan int, 1)
	s := start(t, bkend.Settings{CrashBody: "poison", Exit: func(code int) { codes <- code }})
	s.send("POST", "/a", "harmless")
	s.send("POST", "/a", "poison", "Request-Id", "r1")
	if ev := s.events(trace.KindCrash); len(codes) != 1 || len(ev) != 1 || ev[0].Request != "r1" {
		t.Fatalf("%d exits, %+v", len(codes), ev)
	}
}
