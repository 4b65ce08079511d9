package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

var epoch = time.Unix(1000, 0)

func candidate(d topo.Distance) pick.Candidate {
	return pick.Candidate{ServerStats: new(pick.ServerStats), Server: &topo.Server{Slots: 3}, Distance: d}
}

func finishRequests(s *pick.ServerStats, now time.Time, took time.Duration, n int) {
	for range n {
		s.Start()
		s.Finish(now, limit.Done, took, 500*time.Millisecond, false)
	}
}

// Guards against sending requests to another region while nearby servers are free, and against sending them all to a
// slow server nearby.
func TestDistance(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	all := []pick.Candidate{candidate(topo.OtherRegion), candidate(topo.SameRegion), candidate(topo.SameDC)}
	if i, _ := pick.Choose(epoch, rnd, false, all[:2]); i != 1 {
		t.Errorf("chose %d over the server in the same region", i)
	}
	finishRequests(all[1].ServerStats, epoch, 100*time.Millisecond, 20)
	finishRequests(all[0].ServerStats, epoch, 100*time.Millisecond, 20)
	finishRequests(all[2].ServerStats, epoch, 900*time.Millisecond, 20)
	if i, _ := pick.Choose(epoch, rnd, false, all); i != 1 {
		t.Errorf("chose %d, not the quick server in the same region", i)
	}
}

// Guards against sending all requests of an instance to one of several equal servers.
func TestSpread(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	all := []pick.Candidate{candidate(topo.SameDC), candidate(topo.SameDC), candidate(topo.SameDC)}
	count := make([]int, len(all))
	for range 9 {
		i, _ := pick.Choose(epoch, rnd, false, all)
		all[i].Start()
		count[i]++
	}
	for i, n := range count {
		if n < 2 {
			t.Errorf("server %d has %d of 9 requests, want at least 2: %v", i, n, count)
		}
	}
}

// Guards against sending requests to a server that loses connections or answers with failures, and against never trying
// it again.
func TestFailures(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	broken, good := candidate(topo.SameDC), candidate(topo.OtherRegion)
	for range 2 {
		broken.Start()
		broken.Finish(epoch, limit.Broken, time.Millisecond, 0, false)
	}
	if i, _ := pick.Choose(epoch, rnd, false, []pick.Candidate{broken, good}); i != 1 {
		t.Error("chose a server that lost two connections")
	}
	if !broken.Ready(epoch.Add(3 * time.Second)) {
		t.Error("server not ready 3 s after two failures")
	}
	// This server answers quickly, but with failures.
	failing := candidate(topo.SameDC)
	for range 20 {
		failing.Start()
		failing.Finish(epoch, limit.Done, 10*time.Millisecond, 0, true)
	}
	healthy := candidate(topo.SameDC)
	finishRequests(healthy.ServerStats, epoch, 30*time.Millisecond, 20)
	if i, _ := pick.Choose(epoch, rnd, false, []pick.Candidate{failing, healthy}); i != 1 {
		t.Error("chose a server whose answers are failures")
	}
}

// simulateFlood simulates a server with 3 slots and 160 ms for each request that gets more than it can run, from
// instances that see only their own answers and, if limited, keep to their limits. It returns the number of answers and,
// without the first two seconds, the share of them within the objective.
func simulateFlood(t *testing.T, instances int, perSecond float64, objective time.Duration, limited bool) (answers int, inTime float64) {
	t.Helper()
	const work, slots = 160 * time.Millisecond, 3
	rng := rand.New(rand.NewPCG(5, 5))
	stats := make([]*pick.ServerStats, instances)
	for i := range stats {
		stats[i] = &pick.ServerStats{Share: 3 * slots / float64(instances)}
	}
	type job struct {
		from int
		at   time.Duration
		end  time.Duration
	}
	var queue, running []job
	good, late := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		at := epoch.Add(now)
		var rest []job
		for _, j := range running {
			if j.end > now {
				rest = append(rest, j)
				continue
			}
			took := now - j.at
			stats[j.from].Finish(at, limit.Done, took, objective, false)
			answers++
			if now > 2*time.Second {
				late++
				if took <= objective {
					late--
					good++
				}
			}
		}
		running = rest
		if rng.Float64() < perSecond/100 {
			i := rng.IntN(instances)
			switch {
			case limited && !stats[i].HasRoom(at, false):
			case len(queue) >= 12:
				if limited {
					stats[i].Start()
					stats[i].Finish(at, limit.Shed, time.Millisecond, objective, false)
				}
			default:
				stats[i].Start()
				queue = append(queue, job{from: i, at: now})
			}
		}
		for len(running) < slots && len(queue) > 0 {
			j := queue[0]
			queue = queue[1:]
			j.end = now + work
			running = append(running, j)
		}
	}
	return answers, float64(good) / float64(max(1, good+late))
}

// Guards against a full server whose queue makes every answer late: the only server of a hot key gets twice as many
// requests as it can run.
func TestFlood(t *testing.T) {
	answers, inTime := simulateFlood(t, 12, 38, 600*time.Millisecond, true)
	if capacity := 20 * 3 / 0.16; float64(answers) < 0.85*capacity || inTime < 0.9 {
		t.Errorf("%d answers of %.0f possible, %.2f of them in time; want 0.85 of the possible and 0.9 in time", answers, capacity, inTime)
	}
	if _, without := simulateFlood(t, 12, 38, 600*time.Millisecond, false); without > 0.5 {
		t.Errorf("%.2f in time without a limit, want at most 0.5: the load is too low for this test", without)
	}
}

// Guards against holding urgent requests back by the limit of others.
func ExampleServerStats_HasRoom() {
	s := new(pick.ServerStats)
	for s.HasRoom(epoch, false) {
		s.Start()
	}
	fmt.Println(s.InFlight(), s.HasRoom(epoch, false), s.HasRoom(epoch, true))
	// Output:
	// 4 false true
}
