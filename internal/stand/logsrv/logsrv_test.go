package logsrv_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func start(t *testing.T, cfg logsrv.Settings) (*logsrv.Server, *logsvc.Client, context.Context) {
	t.Helper()
	s := logsrv.New(cfg)
	if err := s.Listen(loopback, loopback, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	return s, logsvc.New(s.Address()), ctx
}

func control(t *testing.T, s *logsrv.Server, cmd logsrv.Command) {
	t.Helper()
	body, err := json.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + s.ControlAddress().String() + "/control")
	req.SetBody(body)
	if err := fasthttp.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		t.Fatal(err, resp.StatusCode(), string(resp.Body()))
	}
}

// Guards against offsets that skip or restart, and a long poll that misses an append.
func TestAppendWakesReader(t *testing.T) {
	_, client, ctx := start(t, logsrv.Settings{Rate: 300, Queue: time.Second})
	got := make(chan logsvc.Batch, 1)
	go func() {
		b, _ := client.Read(ctx, "config", 2, 4*time.Second, 10)
		got <- b
	}()
	for want := uint64(1); want <= 2; want++ {
		if n, err := client.Append(ctx, "config", []byte{byte(want), 0}); err != nil || n != want {
			t.Fatalf("offset %d, %v, want %d", n, err, want)
		}
	}
	b := <-got
	if b.First != 1 || b.Next != 3 || len(b.Records) != 1 || b.Records[0].Offset != 2 || string(b.Records[0].Data) != "\x02\x00" {
		t.Fatalf("batch %+v", b)
	}
}

// Guards against retention that hides what was trimmed: the reader has to see First above its position at once.
func TestRetention(t *testing.T) {
	s, client, ctx := start(t, logsrv.Settings{Rate: 300, Queue: time.Second, Keep: 3})
	for range 5 {
		if _, err := client.Append(ctx, "a", nil); err != nil {
			t.Fatal(err)
		}
	}
	if b, err := client.Read(ctx, "a", 1, 0, 10); err != nil || b.First != 3 || b.Next != 6 || len(b.Records) != 3 {
		t.Fatalf("batch %+v, %v", b, err)
	}
	control(t, s, logsrv.Command{Trim: &logsrv.Trim{Stream: "a", Below: 99}})
	if b, err := client.Read(ctx, "a", 4, 4*time.Second, 10); err != nil || b.First != 6 || b.Next != 6 || len(b.Records) != 0 {
		t.Fatalf("batch after trim %+v, %v", b, err)
	}
}

// Guards against an append limit that accepts everything, or refuses after taking effect.
func TestAppendLimit(t *testing.T) {
	s, client, ctx := start(t, logsrv.Settings{Rate: 1})
	accepted := 0
	for range 5 {
		_, err := client.Append(ctx, "a", nil)
		var status *logsvc.StatusError
		if err == nil {
			accepted++
		} else if !errors.As(err, &status) || status.Status != fasthttp.StatusTooManyRequests {
			t.Fatal(err)
		}
	}
	if n := s.Counts().Streams["a"][1] - 1; accepted == 5 || int(n) != accepted {
		t.Fatalf("%d accepted, %d in the stream", accepted, n)
	}
}

// Guards against fault modes that differ from what tests rely on: whether an append took effect, and which error
// the client sees.
func TestModes(t *testing.T) {
	for _, tc := range []struct {
		mode    faults.Mode
		effects uint64
		timeout bool
	}{{faults.Down, 0, false}, {faults.Hang, 0, true}, {faults.Lost, 1, false}} {
		s, client, ctx := start(t, logsrv.Settings{Rate: 300, Queue: time.Second})
		control(t, s, logsrv.Command{Fault: faults.Fault{Mode: tc.mode}})
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		_, err := client.Append(short, "a", []byte("x"))
		cancel()
		if err == nil || errors.Is(err, fasthttp.ErrTimeout) != tc.timeout {
			t.Errorf("%s: error %v", tc.mode, err)
		}
		control(t, s, logsrv.Command{Fault: faults.Fault{Mode: faults.Up}})
		b, err := client.Read(ctx, "a", 1, 0, 10)
		if err != nil || b.Next-1 != tc.effects {
			t.Errorf("%s: %+v, %v", tc.mode, b, err)
		}
	}
}
