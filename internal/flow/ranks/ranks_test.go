package ranks_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/flow/ranks"
)

var start = time.Unix(1000, 0)

// Example shows that urgent work goes first, but the least urgent rank still gets its share.
func Example() {
	q := ranks.New[string]([]ranks.Rank{{Share: 0.6}, {Share: 0.4}})
	for range 5 {
		q.Push(start, 1, start.Add(time.Minute), "bulk")
		q.Push(start, 0, start.Add(time.Minute), "urgent")
	}
	for range 5 {
		e, _ := q.Pop(start)
		fmt.Print(e.Value, " ")
	}
	// Output: urgent urgent urgent bulk urgent
}

func genRanks(t *rapid.T) []ranks.Rank {
	out := make([]ranks.Rank, rapid.IntRange(1, 4).Draw(t, "ranks"))
	for i := range out {
		out[i].Share = rapid.Float64Range(0.05, 0.5).Draw(t, "share")
		out[i].Target = rapid.SampledFrom([]time.Duration{0, 20 * time.Millisecond, time.Second}).Draw(t, "target")
	}
	return out
}

// exitCounts counts pushed entries and how they left the queue.
type exitCounts struct {
	pushed, refused, popped, expired, cancelled int
}

// Guards against entries that are lost, returned twice or out of order within their rank, against serving expired or
// cancelled entries, and against serving nothing while entries wait.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := genRanks(t)
		q := ranks.New[int](cfg)
		q.SetCapacity(rapid.IntRange(1, 40).Draw(t, "capacity"))
		now := start
		var n exitCounts
		waiting := map[int]*ranks.Entry[int]{}
		last := make([]int, len(cfg))
		remove := func(e *ranks.Entry[int]) {
			if waiting[e.Value] != e {
				t.Fatalf("entry %d removed twice", e.Value)
			}
			delete(waiting, e.Value)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				rank := rapid.IntRange(0, len(cfg)-1).Draw(t, "rank")
				rest := time.Duration(rapid.IntRange(-1, 200).Draw(t, "rest")) * time.Millisecond
				n.pushed++
				e, after, ok := q.Push(now, rank, now.Add(rest), n.pushed)
				if !ok {
					n.refused++
					if after <= 0 {
						t.Fatal("refused without a time to retry after")
					}
					return
				}
				waiting[n.pushed] = e
			},
			"pop": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
				e, expired := q.Pop(now)
				for _, x := range expired {
					remove(x)
					n.expired++
					if now.Before(x.Deadline) {
						t.Fatal("expired before its deadline")
					}
				}
				if e == nil {
					if len(waiting) > 0 {
						t.Fatalf("Pop returned nothing while %d entries wait", len(waiting))
					}
					return
				}
				remove(e)
				n.popped++
				if !now.Before(e.Deadline) || e.Value <= last[e.Rank()] {
					t.Fatalf("popped entry %d after %d, %v before its deadline", e.Value, last[e.Rank()], e.Deadline.Sub(now))
				}
				last[e.Rank()] = e.Value
				q.Observe(e.Rank(), time.Duration(rapid.IntRange(0, 50).Draw(t, "service"))*time.Millisecond)
			},
			"cancel": func(t *rapid.T) {
				id := rapid.IntRange(1, n.pushed+1).Draw(t, "id")
				if e := waiting[id]; e != nil {
					if !q.Cancel(e) || q.Cancel(e) {
						t.Fatal("a waiting entry was not cancelled exactly once")
					}
					remove(e)
					n.cancelled++
				}
			},
			"": func(t *rapid.T) {
				if q.Total() != len(waiting) || n.pushed != n.refused+n.popped+n.expired+n.cancelled+q.Total() {
					t.Fatalf("counts %+v don't add up, or %d waiting differ from Total %d", n, len(waiting), q.Total())
				}
			},
		})
	})
}

// Guards against starvation: while all ranks have work, each gets its share of the service time, however long the
// services of the others take.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := genRanks(t)
		service := make([]time.Duration, len(cfg))
		var sum, longest float64
		for i := range cfg {
			cfg[i].Target = 0
			sum += cfg[i].Share
			service[i] = time.Duration(rapid.IntRange(1, 100).Draw(t, "cost")) * time.Millisecond
			longest = max(longest, service[i].Seconds())
		}
		q := ranks.New[int](cfg)
		const n = 400
		for i := range cfg {
			for range 200 {
				q.Observe(i, service[i]) // until the mean has settled
			}
			for j := range n {
				if _, _, ok := q.Push(start, i, start.Add(time.Hour), j); !ok {
					t.Fatal("refused an entry of a rank without a target")
				}
			}
		}
		got := make([]float64, len(cfg))
		total := 0.0
		for range n {
			e, _ := q.Pop(start)
			got[e.Rank()] += service[e.Rank()].Seconds()
			total += service[e.Rank()].Seconds()
		}
		for i, r := range cfg {
			want := r.Share / max(1, sum) * total
			if slack := float64(len(cfg)+1) * longest; got[i] < want-slack-0.01*total {
				t.Fatalf("rank %d got %.3f s of %.3f s, guaranteed %.3f s", i, got[i], total, want)
			}
		}
	})
}

// Guards against accepting entries that cannot be answered in time, and against refusing too many after no server
// answered for some time.
func TestBound(t *testing.T) {
	q := ranks.New[int]([]ranks.Rank{{Share: 1, Target: 100 * time.Millisecond}})
	q.SetCapacity(2)
	fill := func(now time.Time) (n int) {
		for {
			_, after, ok := q.Push(now, 0, now.Add(time.Hour), n)
			if !ok {
				if after <= 0 {
					t.Fatal("refused without a time to retry after")
				}
				return n
			}
			n++
		}
	}
	// With 10 ms for each request and 2 slots, 20 can be answered within the target; a part is left for variance.
	n := fill(start)
	if n < 10 || n > 20 {
		t.Errorf("%d accepted, want 10 to 20", n)
	}
	now := start
	for q.Total() > 0 {
		now = now.Add(10 * time.Second) // a frozen server
		q.Pop(now)
	}
	if again := fill(now); again < n {
		t.Errorf("%d accepted after the server was frozen, %d before", again, n)
	}
}
