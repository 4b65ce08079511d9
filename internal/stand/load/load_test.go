package load_test

import (
	"bytes"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/load"
)

// listen serves h on a port of the kernel's choice.
func listen(t *testing.T, h fasthttp.RequestHandler) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

func settings(addr ...netip.AddrPort) load.Settings {
	return load.Settings{
		Profile: "association", Scenario: "flood-low", Instances: addr, Duration: 900 * time.Millisecond,
		Service: 100 * time.Millisecond, Scale: 0.5, Factor: 4, Shift: time.Second, Tries: 3, Again: time.Millisecond, Open: 1000, Seed: 1,
	}
}

// TestResends guards against requests that change when they are sent again, and against outcomes counted wrongly.
func TestResends(t *testing.T) {
	var mu sync.Mutex
	bodies, bookings := map[string]string{}, 0
	addr := listen(t, func(ctx *fasthttp.RequestCtx) {
		mu.Lock()
		defer mu.Unlock()
		id, body := string(ctx.Request.Header.Peek("X-Booking-Id")), string(ctx.PostBody())
		switch old, seen := bodies[id]; {
		case strings.HasPrefix(string(ctx.Path()), "/chairs/"):
			ctx.Response.Header.Set("Bramleycove-Verdict", "not-run")
			ctx.SetStatusCode(503)
		case string(ctx.Path()) != "/bookings":
		case !seen:
			bookings++
			bodies[id] = body
			ctx.SetStatusCode(504)
		case old != body || !strings.HasPrefix(body, id+"."):
			t.Errorf("request %q sent as %q and as %q", id, old, body)
		}
	})
	cfg, attempts := settings(addr), 0
	cfg.Seen = func(load.Attempt) {
		mu.Lock()
		defer mu.Unlock()
		attempts++
	}
	r, err := cfg.Play(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	total, sent := map[string]load.Row{}, int64(0)
	for _, x := range r.Rows {
		sum := total[x.Kind]
		sum.Offered += x.Offered
		sum.Answered += x.Answered
		sum.Refused += x.Refused
		sum.Resends += x.Resends
		total[x.Kind] = sum
		sent += x.Offered + x.Resends
	}
	if b := total["booking"]; bookings == 0 || b.Answered != int64(bookings) || b.Resends != b.Answered {
		t.Errorf("%d bookings counted as %+v", bookings, b)
	}
	if l := total["lookup"]; l.Offered == 0 || l.Refused != l.Offered || l.Resends != 2*l.Offered {
		t.Errorf("lookups counted as %+v", l)
	}
	if sent != int64(attempts) {
		t.Errorf("%d attempts counted as %d", attempts, sent)
	}
}

// TestSeed guards the comparison of runs: the same seed must offer the same requests, and the flood only its kind.
func TestSeed(t *testing.T) {
	addr := listen(t, func(*fasthttp.RequestCtx) {})
	var tables []string
	for range 2 {
		r, err := settings(addr).Play(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var offered strings.Builder
		for _, x := range r.Rows {
			if x.Kind == "settlement" && x.Phase == "during" && x.Offered < 100 {
				t.Errorf("the flood offers %d requests", x.Offered)
			}
			offered.WriteString(x.Kind + x.Phase + " " + strings.Repeat("i", int(x.Offered)) + "\n")
		}
		tables = append(tables, offered.String())
	}
	if tables[0] != tables[1] {
		t.Errorf("two runs offered\n%s\n%s", tables[0], tables[1])
	}
}

func TestOutput(t *testing.T) {
	cfg := settings(listen(t, func(*fasthttp.RequestCtx) {}))
	cfg.Duration = 100 * time.Millisecond
	var out bytes.Buffer
	if err := cfg.Run(t.Context(), &out); err != nil || !strings.Contains(out.String(), "settlement  ") || !strings.Contains(out.String(), "score ") {
		t.Error(out.String(), err)
	}
	out.Reset()
	cfg.JSON = true
	if err := cfg.Run(t.Context(), &out); err != nil || !strings.Contains(out.String(), `"scenario":"flood-low"`) {
		t.Error(out.String(), err)
	}
	if err := (load.Settings{}).Run(t.Context(), &out); err == nil {
		t.Error("empty settings are accepted")
	}
}
