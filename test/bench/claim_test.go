package bench_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/flow/once"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/peer/folds"
	"github.com/bramleycove/bramleycove/internal/peer/relay"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// claimTime is how long claims arrive.
const claimTime = 4 * time.Second

// BenchmarkClaims measures how long work waits for its claim, with a log that takes 300 appends a second and the
// default budget for the ledger of 200. Claims arrive in an open loop; each is followed by its outcome with an answer
// of 200 bytes. Instances counts those that claim, live those that share the budget. An iteration takes several seconds.
func BenchmarkClaims(b *testing.B) {
	for _, c := range []struct{ instances, live, rate int }{
		{1, 1, 50}, {3, 3, 300}, {12, 12, 300}, {12, 12, 1000}, {12, 12, 3000}, {12, 12, 6000}, {12, 43, 300}, {12, 86, 300}, {12, 300, 300}, {12, 1200, 300},
	} {
		b.Run(fmt.Sprintf("instances=%d/live=%d/offered=%d", c.instances, c.live, c.rate), func(b *testing.B) {
			var took []time.Duration
			var failed, appends int64
			begin := cpu()
			for b.Loop() {
				var n int64
				t, f := claims(b, c.instances, c.live, c.rate, &n)
				took, failed, appends = append(took, t...), failed+f, appends+n
			}
			slices.Sort(took)
			over := claimTime.Seconds() * float64(b.N)
			b.ReportMetric(float64(len(took))/over, "claims/s")
			b.ReportMetric(float64(failed)/over, "failed/s")
			b.ReportMetric(float64(appends)/over, "appends/s")
			if len(took) > 0 {
				b.ReportMetric(float64(took[len(took)/2].Microseconds())/1e3, "p50-ms")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1e3, "p99-ms")
			}
			b.ReportMetric((cpu()-begin).Seconds()/b.Elapsed().Seconds(), "cores")
		})
	}
}

func claims(b *testing.B, instances, live, rate int, appends *int64) (took []time.Duration, failed int64) {
	srv := logsrv.New(logsrv.Settings{Rate: 300, Queue: time.Second})
	if err := srv.Listen(netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0"), nil); err != nil {
		b.Fatal(err)
	}
	defer srv.Close()
	ctx, stop := context.WithCancel(b.Context())
	var parts, calls conc.WaitGroup
	var sent, lost atomic.Int64
	ledgers := make([]*once.Ledger, instances)
	for i := range ledgers {
		ledgers[i] = start(ctx, &parts, srv.Address(), fmt.Sprintf("dk-east-1-%02d/5f3a77c0", i), live, &sent)
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 0))
	number := uint64(0)
	for begin, at := time.Now(), time.Duration(0); at < claimTime; at += time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second)) {
		time.Sleep(time.Until(begin.Add(at)))
		number++
		var id once.Identity
		binary.BigEndian.PutUint64(id[:], number)
		led, planned := ledgers[random.IntN(instances)], begin.Add(at)
		calls.Go(func() {
			// Longer than any route's timeout, so that long waits are measured and not cut off.
			cctx, cancel := context.WithTimeout(ctx, 30*time.Second)
			defer cancel()
			ticket, _, err := led.Begin(cctx, id, 24*time.Hour)
			d := time.Since(planned)
			if err != nil || ticket == nil {
				lost.Add(1)
				return
			}
			ticket.Finish(result.Ran, &record.Answer{Status: 200, Body: make([]byte, 200)})
			mu.Lock()
			took = append(took, d)
			mu.Unlock()
		})
	}
	*appends = sent.Load()
	calls.Wait()
	stop()
	parts.Wait()
	return took, lost.Load()
}

// start runs a ledger that reads the stream from the log itself.
func start(ctx context.Context, parts *conc.WaitGroup, log netip.AddrPort, id string, live int, sent *atomic.Int64) *once.Ledger {
	client := logsvc.New(log)
	led := once.New(once.Config{
		Instance: id, Now: time.Now, Ready: func() bool { return true }, LiveInstances: func() int { return live },
		Append: func(ctx context.Context, data []byte) (uint64, error) {
			sent.Add(1)
			return client.Append(ctx, folds.LedgerStream, data)
		},
	})
	tail := relay.New(0, relay.Config{
		Now: time.Now, Deliver: led.Apply, Sources: func() []relay.Source {
			return []relay.Source{{Name: "log", IsLog: true, Read: func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
				return client.Read(ctx, folds.LedgerStream, from, wait, limit)
			}}}
		},
	})
	parts.Go(func() { led.Run(ctx) })
	parts.Go(func() { tail.Run(ctx) })
	return led
}
