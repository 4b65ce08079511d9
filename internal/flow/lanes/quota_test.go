package lanes_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/lanes"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Guards against a dispatcher that ignores the limit a server names, or lets requests wait that the limit leaves no room for.
func TestServerLimit(t *testing.T) {
	t.Parallel()
	const rate, flood = 5, 5 * time.Second
	var mu sync.Mutex
	var arrivals []time.Time
	b := newBackend(t, func(c *fasthttp.RequestCtx) {
		c.Response.Header.Set("Limit", fmt.Sprint(rate))
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	})
	d := lanes.New(lanes.Config{Ranks: func() []tables.Rank { return []tables.Rank{{Name: "urgent", Share: 1, Target: 400 * time.Millisecond}} }})
	t.Cleanup(d.Close)
	d.Update(time.Now(), []*peerpb.Lane{unkeyedLane(b)}, time.Time{})
	start := time.Now()
	var wg sync.WaitGroup
	for i := 0; time.Since(start) < flood; i++ {
		wg.Go(func() {
			sent := time.Now()
			ctx, stop := context.WithDeadline(context.Background(), sent.Add(2*time.Second))
			defer stop()
			_, err := d.Do(ctx, &work.Request{
				ID: fmt.Sprint(i), Lane: "cut/a1/0", Rank: "urgent", Method: "GET", URI: "/", Deadline: sent.Add(2 * time.Second),
			})
			if err == nil {
				return
			}
			e := result.FromError(err)
			if e.Verdict != result.NotRun || e.RetryAfter <= 0 {
				t.Errorf("request %d: verdict %v, retry after %v", i, e.Verdict, e.RetryAfter)
			}
			if took := time.Since(sent); took > time.Second {
				t.Errorf("request %d was refused after %v", i, took)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if got, least, most := len(arrivals), rate*int(flood/time.Second)/2, rate*int(flood/time.Second)*3/2+5; got < least || got > most {
		t.Errorf("%d requests in %v to a server that takes %d a second, want %d to %d", got, flood, rate, least, most)
	}
}
