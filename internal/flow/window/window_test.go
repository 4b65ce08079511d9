package window_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/load"
	"github.com/bramleycove/bramleycove/internal/flow/window"
)

const (
	step       = 10 * time.Millisecond
	work       = 310 * time.Millisecond
	slots      = 6
	queue      = 24
	servers    = 32
	senders    = 67
	playedTime = 20 * time.Second
)

// request is one at a server.
type request struct {
	sender, server int
	left           time.Duration // of its work; slots run the first ones
	until          time.Time     // when its caller gives up
}

// result counts what became of the requests of a played load.
type result struct{ offered, served, rejected, refused int }

// play offers requests at a rate per second through senders with windows, or without any, to servers that reject beyond their queue.
func play(perSecond float64, withWindows bool) (out result) {
	rnd := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1e9, 0)
	windows := make([]window.Window, senders)
	var queues [servers][]*request
	for end := now.Add(playedTime); now.Before(end); now = now.Add(step) {
		for i := range queues {
			var left []*request
			for n, r := range queues[i] {
				if n < slots {
					r.left -= step
				}
				switch {
				case r.left <= 0:
					out.served++
					windows[r.sender].Finish()
					windows[r.sender].Observe(load.Report{Running: min(slots, len(queues[i])), Waiting: max(0, len(queues[i])-slots), Slots: slots, Slowdown: 1})
				case now.After(r.until):
					windows[r.sender].Finish()
				default:
					left = append(left, r)
				}
			}
			queues[i] = left
		}
		for range poisson(rnd, perSecond*step.Seconds()) {
			out.offered++
			r := &request{sender: rnd.IntN(senders), server: rnd.IntN(servers), left: time.Duration(float64(work) * rnd.ExpFloat64()), until: now.Add(1500 * time.Millisecond)}
			w := &windows[r.sender]
			switch {
			case withWindows && !w.HasRoom(now, 2):
				out.refused++
			case len(queues[r.server]) >= slots+queue:
				out.rejected++
				w.Reject(now)
			default:
				w.Start()
				queues[r.server] = append(queues[r.server], r)
			}
		}
	}
	return out
}

func poisson(rnd *rand.Rand, mean float64) (n int) {
	for t := rnd.ExpFloat64(); t < mean; t += rnd.ExpFloat64() {
		n++
	}
	return n
}

// Guards against senders that fill the queues of all servers under 2.4 times the load that these can run, so that many requests are
// rejected and nobody knows whether they ran; and against windows that leave slots idle under that load or in calm.
func TestOverload(t *testing.T) {
	t.Parallel()
	const capacity = servers * slots / 0.31 // requests a second
	for _, c := range []struct {
		load                   float64 // as a part of the capacity
		maxRejected, minServed float64 // as parts of what they are without windows
	}{
		{0.6, 1, 0.99},
		{0.9, 1, 0.97},
		{2.4, 0.25, 0.95},
	} {
		before, after := play(c.load*capacity, false), play(c.load*capacity, true)
		t.Logf("load %.1f: without %+v, with %+v", c.load, before, after)
		if float64(after.rejected) > c.maxRejected*float64(before.rejected) || float64(after.served) < c.minServed*float64(before.served) {
			t.Errorf("load %.1f: %d served and %d rejected, without windows %d and %d", c.load, after.served, after.rejected, before.served, before.rejected)
		}
	}
}

// Guards against urgent requests that find no room because of less urgent ones, and against pools that tell nothing and get a window.
func TestHasRoom(t *testing.T) {
	t.Parallel()
	now := time.Unix(1e9, 0)
	var w window.Window
	for range 100 {
		if !w.HasRoom(now, 2) {
			t.Fatal("a pool that reports no load has a window")
		}
		w.Start()
	}
	for range 60 {
		w.Finish()
		w.Observe(load.Report{Running: slots, Waiting: queue, Slots: slots, Slowdown: 1})
	}
	if w.HasRoom(now, 2) {
		t.Error("40 requests are in flight at full servers, and more are sent")
	}
	for range 39 {
		w.Finish()
	}
	if w.HasRoom(now, 2) || !w.HasRoom(now, 1) {
		t.Errorf("with one request in flight, room for a less urgent one: %v, for an urgent one: %v; want false, true", w.HasRoom(now, 2), w.HasRoom(now, 1))
	}
	if now = now.Add(5 * time.Second); w.HasRoom(now, 1) {
		t.Error("urgent requests have more room though no others are sent")
	}
}
