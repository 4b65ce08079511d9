package sender_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/cold"
	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/sender"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

var twoRegions = topo.Location{DC: "a", Region: map[string]string{"a": "north", "b": "south"}}

// withRegions returns w with a route for all requests that is allowed in the given regions.
func withRegions(w *topo.Snapshot, regions ...string) *topo.Snapshot {
	w.Tables.Routes = []tables.Route{{Name: "r", Path: "/", Pool: "p", Regions: regions}}
	w.Routes = topo.NewRoutes(w.Tables)
	return w
}

func refusalReason(err error) string {
	if e := new(result.Error); errors.As(err, &e) && e.Verdict == result.NotRun {
		return e.Reason
	}
	return fmt.Sprint(err)
}

// Guards against requests in a region that the route does not allow: first sends, second tries and those to the owner of a key, also
// if the route changed after the request was read.
func TestAllowedRegions(t *testing.T) {
	for name, c := range map[string]struct {
		keyed  bool
		local  string // what the server in the allowed region answers
		status int
		reason string
	}{
		"first send":           {false, answerOK, 200, ""},
		"second try, refused":  {false, answerShed, 0, sender.ReasonServerBusy},
		"second try, failed":   {false, answer500, 500, ""},
		"owner elsewhere":      {true, answerOK, 0, sender.ReasonRegion},
		"no server, unkeyed":   {false, "", 0, sender.ReasonRegion},
		"second try, conn cut": {false, answerNone, 0, sender.ReasonServerLost},
	} {
		t.Run(name, func(t *testing.T) {
			other := startServer(t, "b", answerOK)
			other.DC = "b"
			w := snapshotOf(c.keyed, other)
			if c.local != "" {
				w = snapshotOf(c.keyed, startServer(t, "a", c.local), other)
			}
			w.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: other.Owner, Fence: 1}}}
			s := newSenderWith(t, withRegions(w, "north"), func(cfg *sender.Config) { cfg.Location = twoRegions })
			a, err := s.send(context.Background(), false, time.Second)
			if other.requestCount.Load() > 0 {
				t.Errorf("%d requests reached the server in the other region", other.requestCount.Load())
			}
			if got := refusalReason(err); a.Status != c.status || c.reason != "" && c.reason != sender.ReasonServerLost && got != c.reason {
				t.Errorf("status %d, reason %q; want %d, %q", a.Status, got, c.status, c.reason)
			}
		})
	}
}

// Guards against requests to servers of an evacuated data centre, of which the owner of a key gets some until its keys have moved.
func TestEvacuated(t *testing.T) {
	for name, c := range map[string]struct {
		keyed bool
		ago   time.Duration
		want  int32
	}{
		"unkeyed":                {false, 0, 0},
		"keyed, keys still move": {true, time.Second, 1},
		"keyed, too late":        {true, 2 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			only := startServer(t, "a", answerOK)
			w := snapshotOf(c.keyed, only)
			w.Owners = map[string]spans.Map{"p": {{First: 0, Last: spans.Last, Owner: only.Owner, Fence: 1}}}
			w.Evacuations = w.Evacuations.With(time.Now().Add(-c.ago), "a", true)
			s := newSender(t, w)
			if _, err := s.send(context.Background(), true, time.Second); only.requestCount.Load() != c.want || (err == nil) != (c.want > 0) {
				t.Errorf("%d requests sent, want %d; error %v", only.requestCount.Load(), c.want, err)
			}
		})
	}
}

// Guards against requests to a server that has said that it leaves, or has asked to be left alone.
func TestObeysServer(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   int32 // requests to it, out of 20
	}{
		"leaving":    {"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok", 1},
		"asked away": {"HTTP/1.1 503 Full\r\nRequest-Id: %s\r\nNot-Run: 1\r\nAway: 5\r\nContent-Length: 0\r\n\r\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			speaker, other := startServer(t, "a", c.answer), startServer(t, "b", answerOK)
			other.DC = "far" // so that the speaker is chosen first
			s := newSenderWith(t, snapshotOf(false, speaker, other), func(cfg *sender.Config) {
				read := cfg.ReadReply
				cfg.ReadReply = func(h *fasthttp.Response) sender.Reply {
					r := read(h)
					r.Leaving = len(h.Header.Peek("Leaving")) > 0
					if len(h.Header.Peek("Away")) > 0 {
						r.Away = 5 * time.Second
					}
					return r
				}
			})
			for i := range 20 {
				// The first refusal has no budget for a retry yet.
				if _, err := s.send(context.Background(), true, time.Second); err != nil && i > 0 {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond) // longer in all than a server is left out after any refusal
			}
			if n := speaker.requestCount.Load(); n != c.want {
				t.Errorf("%d of 20 requests reached it, want %d", n, c.want)
			}
		})
	}
}

// Guards against cold servers that get requests without permits, or while a warm server has room.
func TestColdServers(t *testing.T) {
	coldServer, warm := startServer(t, "a", answerOK), startServer(t, "b", answerOK)
	warm.DC = "far"
	coldServer.WarmAt = time.Now().Add(time.Minute)
	w := snapshotOf(false, coldServer, warm)
	w.Tables.Pools[0].ColdRate, w.Tables.Pools[0].ColdStart = 5, 3*time.Second
	var permits atomic.Int32
	s := newSenderWith(t, w, func(cfg *sender.Config) {
		cfg.Limits = &quota.Book{ColdRate: func(now time.Time, id string) (float64, bool) {
			if id == coldServer.Incarnation() {
				return cold.Rate(now, w, coldServer.Server)
			}
			return 0, false
		}}
		cfg.AskPermit = func(time.Time, string, int) quota.Decision {
			if permits.Add(1) <= 2 {
				return quota.Decision{OK: true}
			}
			return quota.Decision{Wait: time.Second, Return: time.Second}
		}
	})
	for range 10 {
		if _, err := s.send(context.Background(), true, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if n := coldServer.requestCount.Load(); n != 0 {
		t.Errorf("the cold server got %d requests while a warm one had room", n)
	}
	only := snapshotOf(false, coldServer)
	only.Tables = w.Tables
	s.setSnapshot(only)
	for range 10 {
		_, err := s.send(context.Background(), true, time.Second)
		if coldServer.requestCount.Load() == 2 && err != nil && refusalReason(err) != sender.ReasonServerCold {
			t.Errorf("reason %q, want %q", refusalReason(err), sender.ReasonServerCold)
		}
	}
	if n := coldServer.requestCount.Load(); n != 2 {
		t.Errorf("the cold server got %d requests with 2 permits", n)
	}
}

// Guards against a second try after a failed answer that the route does not permit.
func TestOneAttempt(t *testing.T) {
	first, other := startServer(t, "a", answer500), startServer(t, "b", answerOK)
	other.DC = "far" // so that first is chosen first
	s := newSender(t, snapshotOf(false, other))
	for range 20 { // earns the budget for retries
		if _, err := s.send(context.Background(), false, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	s.setSnapshot(snapshotOf(false, first, other))
	earlier := other.requestCount.Load()
	now := time.Now()
	a, err := s.Send(now, &sender.Call{
		Request: &work.Request{ID: "r", Method: "GET", URI: "/x", Deadline: now.Add(time.Second)},
		Route:   &tables.Route{Name: "r", Pool: "p", Attempts: 1, Target: time.Second}, CallerCtx: context.Background(), ReceivedAt: now,
	})
	if err != nil || a.Status != 500 || other.requestCount.Load() > earlier {
		t.Errorf("status %d, %v, %d requests at the second server; want 500 from the first", a.Status, err, other.requestCount.Load()-earlier)
	}
}
