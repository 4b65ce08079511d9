package lanes_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/flow/lanes"
	"github.com/bramleycove/bramleycove/internal/flow/ranks"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/plat/server"
	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Ways to share the capacity of servers between instances, on 2 servers of 3 slots and 8 instances.
const (
	shareServers, shareInstances, shareSlots = 2, 8, 3
	shareService, shareSpan, shareTimeout    = 20 * time.Millisecond, 2 * time.Second, 2 * time.Second
	shareHop                                 = time.Millisecond // between an instance and a dispatcher
	shareRounds                              = 3
)

var shareRanks = []tables.Rank{
	{Name: "urgent", Share: 0.5, Target: 500 * time.Millisecond},
	{Name: "normal", Share: 0.35, Target: 250 * time.Millisecond},
	{Name: "bulk", Share: 0.15, Target: 2 * time.Second},
}

// sender sends a request that entered at an instance to a server.
type sender func(ctx context.Context, instance, sv int, req *work.Request) error

// stages returns a sender with a dispatcher stage for each instance, or one for all.
func stages(b *testing.B, addrs []*bkend.Server, one bool) sender {
	b.Helper()
	var all []*lanes.Stage
	var defs []*peerpb.Lane
	for i, s := range addrs {
		defs = append(defs, &peerpb.Lane{
			Name: fmt.Sprintf("cat/s%d", i), Pool: "cat", Revision: 1, Slots: []*peerpb.Range{{First: 0, Last: 0, Token: 1}},
			Servers: []*peerpb.Server{{Name: fmt.Sprint("s", i), Address: s.Address().String(), Slots: shareSlots}},
		})
	}
	for i := range shareInstances {
		s := lanes.New(lanes.Config{Ranks: func() []tables.Rank { return shareRanks }, Seed: uint64(i + 1)})
		s.Update(time.Now(), defs, time.Now().Add(time.Hour))
		b.Cleanup(s.Close)
		all = append(all, s)
	}
	return func(ctx context.Context, instance, sv int, req *work.Request) error {
		req.Lane, req.Token = fmt.Sprintf("cat/s%d", sv), 1
		if one {
			instance = 0
			time.Sleep(shareHop)
		}
		_, err := all[instance].Do(ctx, req)
		return err
	}
}

// fixed returns a sender that gives each instance one slot of each server, in order of arrival.
func fixed(b *testing.B, addrs []*bkend.Server) sender {
	b.Helper()
	var slots [shareInstances][shareServers]chan *server.Client
	for i := range slots {
		for j, s := range addrs {
			c := server.New(s.Address(), 46/shareInstances)
			b.Cleanup(c.Close)
			slots[i][j] = make(chan *server.Client, 1)
			slots[i][j] <- c
		}
	}
	return func(ctx context.Context, instance, sv int, req *work.Request) error {
		select {
		case c := <-slots[instance][sv]:
			defer func() { slots[instance][sv] <- c }()
			_, err := c.Send(ctx, req, time.Time{})
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hinted is what an instance of the design with load hints knows of a server: what others had there at the last answer.
type hinted struct {
	mu      sync.Mutex
	client  *server.Client
	queue   *ranks.Queue[chan struct{}]
	running int
	others  int
	at      time.Time
	load    func() int
}

// hintAge is how long a hint counts. Without answers an instance tries again with one request.
const hintAge = 50 * time.Millisecond

func (h *hinted) pump(now time.Time) {
	for {
		allowed := shareSlots - h.others
		if now.Sub(h.at) > hintAge {
			allowed = max(1, allowed)
		}
		if h.running >= allowed {
			if h.queue.Total() > 0 && h.running == 0 {
				time.AfterFunc(hintAge, func() { h.locked(h.pump) })
			}
			return
		}
		e, expired := h.queue.Pop(now)
		for _, x := range expired {
			close(x.Value) // its sender sees that its deadline has passed
			h.running++
		}
		if e == nil {
			return
		}
		h.running++
		close(e.Value)
	}
}

func (h *hinted) locked(f func(time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(time.Now())
}

func (h *hinted) send(ctx context.Context, req *work.Request) error {
	ready, began := make(chan struct{}), time.Time{}
	rank := slices.IndexFunc(shareRanks, func(r tables.Rank) bool { return r.Name == req.Rank })
	var e *ranks.Entry[chan struct{}]
	ok := false
	h.locked(func(now time.Time) {
		if e, _, ok = h.queue.Push(now, rank, req.Deadline, ready); ok {
			h.pump(now)
		}
	})
	if !ok {
		return context.Canceled
	}
	select {
	case <-ready:
	case <-ctx.Done():
		withdrawn := false
		h.locked(func(time.Time) { withdrawn = h.queue.Cancel(e) })
		if withdrawn {
			return ctx.Err()
		}
		<-ready
	}
	began = time.Now()
	_, err := h.client.Send(ctx, req, time.Time{})
	h.locked(func(now time.Time) {
		h.running--
		h.others, h.at = max(0, h.load()-h.running), now
		h.queue.Observe(rank, now.Sub(began))
		h.pump(now)
	})
	return err
}

// hints returns a sender in which each instance queues by rank and sends what the last answer of a server left free.
func hints(b *testing.B, addrs []*bkend.Server) sender {
	b.Helper()
	var all [shareInstances][shareServers]*hinted
	var in [shareServers]atomic.Int64
	for i := range all {
		for j, s := range addrs {
			c := server.New(s.Address(), 2*shareSlots)
			b.Cleanup(c.Close)
			cfg := []ranks.Rank{}
			for _, r := range shareRanks {
				cfg = append(cfg, ranks.Rank{Share: r.Share, Target: r.Target})
			}
			all[i][j] = &hinted{client: c, queue: ranks.New[chan struct{}](cfg), load: func() int { return int(s.Status().Running) }}
			all[i][j].queue.SetCapacity(1)
		}
	}
	return func(ctx context.Context, instance, sv int, req *work.Request) error {
		in[sv].Add(1)
		return all[instance][sv].send(ctx, req)
	}
}

// BenchmarkShare prints, for each way to share servers and each flood at ten times the capacity, the median of the
// rounds: answers within target in percent of the requests, the part of the capacity that they used, the 99th percentile of
// urgent work in ms, and in brackets the spread over the rounds. Rounds are interleaved.
func BenchmarkShare(b *testing.B) {
	designs := []string{"fixed", "alone", "hints", "dispatcher"}
	loads := []string{"none", "bulk", "urgent"}
	got := map[string][][5]float64{}
	for round := range shareRounds {
		for _, load := range loads {
			for _, name := range designs {
				key := load + "/" + name
				got[key] = append(got[key], shareRound(b, name, load, uint64(round+1)))
			}
		}
	}
	for b.Loop() {
	}
	for _, load := range loads {
		for _, name := range designs {
			var out strings.Builder
			for i, what := range []string{"urgent", "normal", "bulk", "useful", "p99"} {
				rounds := got[load+"/"+name]
				slices.SortFunc(rounds, func(x, y [5]float64) int { return cmp.Compare(x[i], y[i]) })
				fmt.Fprintf(&out, " %s %.1f [%.1f-%.1f]", what, rounds[len(rounds)/2][i], rounds[0][i], rounds[len(rounds)-1][i])
			}
			fmt.Printf("flood %-6s %-10s%s\n", load, name, out.String())
		}
	}
}

func shareRound(b *testing.B, design, flood string, seed uint64) (out [5]float64) {
	b.Helper()
	var addrs []*bkend.Server
	for i := range shareServers {
		s, err := bkend.New(bkend.Settings{
			Name: fmt.Sprint("s", i), Slots: shareSlots, Queue: shareSlots, Connections: 46, Connect: time.Millisecond,
			Service: shareService, Jitter: shareService / 4, Seed: seed,
		})
		if err == nil {
			err = s.Start(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0"))
		}
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		addrs = append(addrs, s)
	}
	var send sender
	switch design {
	case "fixed":
		send = fixed(b, addrs)
	case "alone":
		send = stages(b, addrs, false)
	case "hints":
		send = hints(b, addrs)
	default:
		send = stages(b, addrs, true)
	}
	return shareLoad(send, flood, seed)
}

func shareLoad(send sender, flood string, seed uint64) (out [5]float64) {
	const capacity = float64(shareServers*shareSlots) / (float64(shareService) / float64(time.Second))
	var mu sync.Mutex
	var all, good [3]float64
	useful := 0.0 // good answers before the arrivals end: what is served after that must not count for the span
	var urgent []time.Duration
	var calls, kinds conc.WaitGroup
	begin := time.Now()
	for rank, r := range shareRanks {
		rate := []float64{0.3, 0.2, 0.1}[rank] * capacity
		if r.Name == flood {
			rate = 10 * capacity
		}
		random := rand.New(rand.NewPCG(seed, uint64(rank)))
		kinds.Go(func() {
			for at := 0.0; at < shareSpan.Seconds(); at += random.ExpFloat64() / rate {
				due := begin.Add(time.Duration(at * float64(time.Second)))
				time.Sleep(time.Until(due))
				instance, sv, id := random.IntN(shareInstances), random.IntN(shareServers), fmt.Sprint(rank, "-", random.Uint64())
				calls.Go(func() {
					req := &work.Request{
						ID: id, Route: r.Name, Rank: r.Name, Pool: "cat", Method: "GET", URI: "/", Retry: true, Deadline: due.Add(shareTimeout),
					}
					ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
					defer cancel()
					err := send(ctx, instance, sv, req)
					took := time.Since(due)
					mu.Lock()
					defer mu.Unlock()
					all[rank]++
					if err == nil && took <= r.Target {
						good[rank]++
						if due.Add(took).Before(begin.Add(shareSpan)) {
							useful++
						}
					}
					if err == nil && rank == 0 {
						urgent = append(urgent, took)
					}
				})
			}
		})
	}
	kinds.Wait()
	calls.Wait()
	for i := range all {
		out[i] = 100 * good[i] / all[i]
	}
	out[3] = 100 * useful / (capacity * shareSpan.Seconds())
	slices.Sort(urgent)
	if len(urgent) > 0 {
		out[4] = float64(urgent[len(urgent)*99/100].Microseconds()) / 1000
	}
	return out
}
