package ranks_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/ranks"
)

var benchRanks = []ranks.Rank{
	{Share: 0.5, Target: 50 * time.Millisecond}, {Share: 0.3, Target: 200 * time.Millisecond}, {Share: 0.2, Target: time.Second},
}

// item is a simulated request.
type item struct {
	rank    int
	arrived time.Time
}

// queue holds the functions that the simulation calls on a queue.
type queue struct {
	push func(now time.Time, x item)
	pop  func(now time.Time) (item, bool)
	done func(rank int, took time.Duration)
}

const benchTimeout = 2 * time.Second

func newRanked(slots int) queue {
	q := ranks.New[item](benchRanks)
	q.SetCapacity(slots)
	return queue{
		push: func(now time.Time, x item) { q.Push(now, x.rank, now.Add(benchTimeout), x) },
		pop: func(now time.Time) (item, bool) {
			e, _ := q.Pop(now)
			if e == nil {
				return item{}, false
			}
			return e.Value, true
		},
		done: q.Observe,
	}
}

// newFIFO returns a queue that serves in order of arrival and drops only items that have waited for benchTimeout.
func newFIFO(int) queue {
	var all []item
	return queue{
		push: func(_ time.Time, x item) { all = append(all, x) },
		pop: func(now time.Time) (item, bool) {
			for len(all) > 0 {
				x := all[0]
				all = all[1:]
				if now.Sub(x.arrived) < benchTimeout {
					return x, true
				}
			}
			return item{}, false
		},
		done: func(int, time.Duration) {},
	}
}

// simulate runs one minute of virtual time on 12 slots with 10 ms mean service time. load is the load of each rank, good
// its answers within the target, both as a part of the capacity.
func simulate(q queue, load [3]float64, seed uint64) (good [3]float64) {
	const slots, service, span = 12, 10 * time.Millisecond, time.Minute
	r := rand.New(rand.NewPCG(seed, seed))
	capacity := float64(slots) / service.Seconds()
	gap := func(rank int) time.Duration {
		return time.Duration(r.ExpFloat64() / (load[rank] * capacity) * float64(time.Second))
	}
	var next [3]time.Time // next arrival
	for i := range next {
		next[i] = start.Add(gap(i))
	}
	type run struct {
		item
		started, end time.Time
	}
	var running []run
	for now := start; now.Before(start.Add(span)); {
		first, finished := 0, -1
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		now = next[first]
		for i, x := range running {
			if !x.end.After(now) {
				now, finished = x.end, i
			}
		}
		if finished >= 0 {
			x := running[finished]
			running = append(running[:finished], running[finished+1:]...)
			q.done(x.rank, now.Sub(x.started))
			if now.Sub(x.arrived) <= benchRanks[x.rank].Target {
				good[x.rank] += 1 / (capacity * span.Seconds())
			}
		} else {
			q.push(now, item{first, now})
			next[first] = now.Add(gap(first))
		}
		for len(running) < slots {
			x, ok := q.pop(now)
			if !ok {
				break
			}
			running = append(running, run{x, now, now.Add(service/2 + time.Duration(r.Int64N(int64(service))))})
		}
	}
	return good
}

// BenchmarkFlood reports the answers within the target of each rank, in percent of the capacity, with and without one rank
// that offers ten times the capacity, for this queue and for one in order of arrival.
func BenchmarkFlood(b *testing.B) {
	for name, load := range map[string][3]float64{
		"none": {0.2, 0.2, 0.1}, "bulk": {0.2, 0.2, 10}, "urgent": {10, 0.2, 0.1},
	} {
		for kind, newQueue := range map[string]func(int) queue{"ranks": newRanked, "fifo": newFIFO} {
			b.Run("flood="+name+"/"+kind, func(b *testing.B) {
				var good [3]float64
				for b.Loop() {
					good = simulate(newQueue(12), load, 1)
				}
				for i, rank := range []string{"urgent", "normal", "bulk"} {
					b.ReportMetric(100*good[i], rank+"-%")
				}
			})
		}
	}
}
