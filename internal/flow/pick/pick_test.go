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

// Guards against requests that cross regions while nearby servers are free, and against a slow server nearby that keeps
// them all.
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

// Guards against one server that gets all requests of an instance because it answered first.
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
			t.Errorf("server %d has %d of 9 requests: %v", i, n, count)
		}
	}
}

// Guards against a server that fails or refuses connections and still gets requests, and against one that is never tried
// again.
func TestFailures(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	bad, good := candidate(topo.SameDC), candidate(topo.OtherRegion)
	for range 2 {
		bad.Start()
		bad.Finish(epoch, limit.Broken, time.Millisecond, 0, false)
	}
	if i, _ := pick.Choose(epoch, rnd, false, []pick.Candidate{bad, good}); i != 1 {
		t.Error("a server that broke two connections was chosen")
	}
	if !bad.Ready(epoch.Add(3 * time.Second)) {
		t.Error("a server is left alone for 3 s after two failures")
	}
	// A grey server answers quickly, with failures.
	grey := candidate(topo.SameDC)
	for range 20 {
		grey.Start()
		grey.Finish(epoch, limit.Done, 10*time.Millisecond, 0, true)
	}
	well := candidate(topo.SameDC)
	finishRequests(well.ServerStats, epoch, 30*time.Millisecond, 20)
	if i, _ := pick.Choose(epoch, rnd, false, []pick.Candidate{grey, well}); i != 1 {
		t.Error("a server whose answers are failures was preferred")
	}
}

// simulateFlood plays a server with 3 slots of 160 ms each under more requests than it can run, sent by instances that see only their
// own answers. It returns the number of answers and, after two seconds of learning, the share of them within the objective.
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

// Guards against a full server whose queue makes every answer late: twice as many requests as it can run, at one server
// that holds a hot key.
func TestFlood(t *testing.T) {
	answers, inTime := simulateFlood(t, 12, 38, 600*time.Millisecond, true)
	if capacity := 20 * 3 / 0.16; float64(answers) < 0.85*capacity || inTime < 0.9 {
		t.Errorf("%d answers of a possible %.0f, %.2f in time", answers, capacity, inTime)
	}
	if _, without := simulateFlood(t, 12, 38, 600*time.Millisecond, false); without > 0.5 {
		t.Errorf("%.2f in time without a limit: the load is no flood", without)
	}
}

// Guards against urgent requests that wait behind others' limit.
func ExampleServerStats_HasRoom() {
	s := new(pick.ServerStats)
	for s.HasRoom(epoch, false) {
		s.Start()
	}
	fmt.Println(s.InFlight(), s.HasRoom(epoch, false), s.HasRoom(epoch, true))
	// Output:
	// 4 false true
}
