package pick_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/load"
	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// fleet is a pool of unkeyed servers of two speeds, to which many instances send without knowing of each other.
type fleet struct {
	rng       *rand.Rand
	servers   []*fleetServer
	instances [][]pick.ServerStats // by instance and server
	shared    bool                 // the instances get the answer times of all
	reports   bool                 // the servers report their load
	queue     int                  // requests that a server queues
	known     []time.Duration      // by server
	took      []time.Duration      // of the requests answered after the first quarter
}

type fleetServer struct {
	topo.Server
	work    time.Duration // mean time of a request
	free    []time.Time   // when each slot is free
	slow    []time.Time   // starts of the periods of slowTime in which work takes slowFactor times as long
	queued  []time.Time   // starts of the requests that wait
	seconds float64       // of the answers since the last report
	answers int
}

// fleetRequest is a request that waits for its answer or, after a refusal, for the next server.
type fleetRequest struct {
	instance, server, sends int
	begun, sent, end        time.Time
}

const (
	slowTime       = 400 * time.Millisecond
	slowFactor     = 3
	reportInterval = 1400 * time.Millisecond
	fleetObjective = 3 * time.Second
)

func newFleet(instances, servers int, shared bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, 7)), shared: shared, queue: 12, known: make([]time.Duration, servers)}
	for i := range servers {
		s := &fleetServer{work: 670 * time.Millisecond, free: make([]time.Time, 3)}
		if s.Slots = 3; i%3 == 0 {
			s.work = 290 * time.Millisecond
		}
		f.servers = append(f.servers, s)
	}
	for range instances {
		stats := make([]pick.ServerStats, servers)
		for i := range stats {
			stats[i].Share = 9.0 / float64(instances)
		}
		f.instances = append(f.instances, stats)
	}
	return f
}

// accept begins a request and returns when it is answered, or false if the queue is full.
func (f *fleet) accept(now time.Time, s *fleetServer) (end time.Time, ok bool) {
	for len(s.queued) > 0 && !s.queued[0].After(now) {
		s.queued = s.queued[1:]
	}
	if len(s.queued) >= f.queue {
		return now, false
	}
	slot := 0
	for i := range s.free {
		if s.free[i].Before(s.free[slot]) {
			slot = i
		}
	}
	begin := now
	if s.free[slot].After(now) {
		begin = s.free[slot]
		s.queued = append(s.queued, begin)
	}
	s.free[slot] = s.end(begin, time.Duration(float64(s.work)*(0.5+f.rng.Float64())))
	return s.free[slot], true
}

// end returns when work that begins at begin ends.
func (s *fleetServer) end(begin time.Time, work time.Duration) time.Time {
	for _, from := range s.slow {
		until := from.Add(slowTime)
		if !until.After(begin) {
			continue
		}
		if !begin.Add(work).After(from) {
			break
		}
		if from.After(begin) {
			work -= from.Sub(begin)
			begin = from
		}
		if end := begin.Add(slowFactor * work); !end.After(until) {
			return end
		}
		work -= until.Sub(begin) / slowFactor
		begin = until
	}
	return begin.Add(work)
}

// report returns the load that the server reports with a response.
func (s *fleetServer) report(now time.Time) load.Report {
	r := load.Report{Slots: s.Slots, Slowdown: 1}
	for _, t := range s.free {
		if t.After(now) {
			r.Running++
		}
	}
	for _, t := range s.queued {
		if t.After(now) {
			r.Waiting++
		}
	}
	for _, from := range s.slow {
		if age := now.Sub(from); age >= 0 && age < slowTime {
			r.Slowdown = slowFactor
		}
	}
	return r
}

func (f *fleet) choose(now time.Time, r *fleetRequest) int {
	candidates := make([]pick.Candidate, len(f.servers))
	for i, s := range f.servers {
		candidates[i] = pick.Candidate{ServerStats: &f.instances[r.instance][i], Server: &s.Server, Distance: topo.SameRegion, SharedLatency: f.known[i]}
	}
	if f.shared && pick.MayDraw(candidates) {
		i, _ := pick.Draw(now, f.rng, false, candidates)
		return i
	}
	i, _ := pick.Choose(now, f.rng, false, candidates)
	return i
}

// report shares the mean answer times since the last report, smoothed as the leader does.
func (f *fleet) report() {
	const weight = 0.5
	for i, s := range f.servers {
		if s.answers == 0 {
			continue
		}
		mean := time.Duration(s.seconds / float64(s.answers) * float64(time.Second))
		if f.known[i] == 0 {
			f.known[i] = mean
		}
		f.known[i] += time.Duration(weight * float64(mean-f.known[i]))
		s.seconds, s.answers = 0, 0
	}
}

// play sends perSecond requests for the given time. It returns the part that was answered in time, of those after the first
// quarter, and the refusals of servers for each request.
func (f *fleet) play(perSecond float64, d time.Duration) (inTime, refused float64) {
	const step = 5 * time.Millisecond
	var open []*fleetRequest
	asked, good, refusals, due := 0, 0, 0, 0.0
	nextReport := epoch.Add(reportInterval)
	for now := epoch; now.Before(epoch.Add(d)); now = now.Add(step) {
		if !now.Before(nextReport) {
			f.report()
			nextReport = now.Add(reportInterval)
		}
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			open = append(open, &fleetRequest{instance: f.rng.IntN(len(f.instances)), begun: now, server: -1})
		}
		counts := now.Sub(epoch) > d/4 && now.Before(epoch.Add(d-fleetObjective))
		kept := open[:0]
		for _, r := range open {
			if r.server < 0 {
				if r.begun.Equal(now) && counts {
					asked++
				}
				if r.server = f.choose(now, r); r.server >= 0 {
					stats := &f.instances[r.instance][r.server]
					stats.Start()
					r.sends++
					end, ok := f.accept(now, f.servers[r.server])
					if !ok {
						refusals++
						stats.Finish(now, limit.Shed, 0, fleetObjective, false)
						r.server = -1
					}
					r.sent, r.end = now, end
				}
				if r.server < 0 && (r.sends >= 2 || now.Sub(r.begun) > 150*time.Millisecond) {
					continue // refused
				}
			}
			if r.server < 0 || r.end.After(now) {
				kept = append(kept, r)
				continue
			}
			s := f.servers[r.server]
			s.answers++
			s.seconds += now.Sub(r.sent).Seconds()
			f.instances[r.instance][r.server].Finish(now, limit.Done, now.Sub(r.sent), fleetObjective, false)
			if f.reports {
				f.instances[r.instance][r.server].ObserveLoad(now, s.report(now))
			}
			if r.begun.Sub(epoch) > d/4 {
				f.took = append(f.took, now.Sub(r.begun))
			}
			if r.begun.Sub(epoch) > d/4 && r.begun.Before(epoch.Add(d-fleetObjective)) && now.Sub(r.begun) <= fleetObjective {
				good++
			}
		}
		open = kept
	}
	return float64(good) / float64(max(1, asked)), float64(refusals) / float64(max(1, asked))
}

// Guards against queues at slow servers while fast ones have room: 195 instances send 3.6 requests a second each to 94 servers, of
// which a third are more than twice as fast, so that none knows their speed. At 0.85 of what the servers can run, a third of the
// answers came late or not at all.
func TestDrawManyInstances(t *testing.T) {
	capacity := 94 * 3 * (1/0.67*2 + 1/0.29) / 3
	for _, c := range []struct{ load, want float64 }{{0.6, 0.99}, {0.85, 0.97}} {
		inTime, refused := newFleet(195, 94, true).play(c.load*capacity, 24*time.Second)
		alone, aloneRefused := newFleet(195, 94, false).play(c.load*capacity, 24*time.Second)
		t.Logf("load %.2f: in time %.3f, refusals %.3f; without the answer times of others %.3f, %.3f", c.load, inTime, refused, alone, aloneRefused)
		if inTime < c.want {
			t.Errorf("load %.2f: %.3f in time, want %.2f", c.load, inTime, c.want)
		}
		if alone > inTime {
			t.Errorf("load %.2f: %.3f in time without the answer times of others, %.3f with them", c.load, alone, inTime)
		}
	}
}

// newReportingFleet returns 32 servers with 6 slots, a queue of 24 and speeds from 0.5 to 1.5, on which 310 ms of work take three times
// as long for 0.4 s every 4.4 s or so, and the requests per second that they can run.
func newReportingFleet(instances int, reports bool, d time.Duration) (f *fleet, capacity float64) {
	f = newFleet(instances, 32, true)
	f.reports, f.queue = reports, 24
	for i, s := range f.servers {
		speed := []float64{0.5, 1, 1, 1.5}[i%4]
		s.Slots, s.free, s.work = 6, make([]time.Time, 6), time.Duration(310/speed)*time.Millisecond
		for at := epoch; at.Before(epoch.Add(d)); at = s.slow[len(s.slow)-1].Add(slowTime) {
			s.slow = append(s.slow, at.Add(time.Duration(f.rng.ExpFloat64()*float64(4*time.Second))))
		}
		for k := range f.instances {
			f.instances[k][i].Share = 18 / float64(instances)
		}
		capacity += 6 / s.work.Seconds() * (1 - (1-1.0/slowFactor)*0.4/4.4)
	}
	return f, capacity
}

// Guards against selection by response times alone where servers report their load, which leaves requests in the queues of slow
// servers, and against herds that follow the same reports: with more instances each sees older ones.
func TestDrawReports(t *testing.T) {
	const d = 40 * time.Second
	for _, c := range []struct {
		instances  int
		load, want float64 // of the time without reports: mean and 99th percentile
	}{{67, 0.6, 1.05}, {67, 0.8, 0.95}, {67, 0.9, 0.8}, {67, 0.96, 0.75}, {200, 0.96, 0.85}} {
		var mean, p99, refused [2]float64
		for i := range 2 {
			f, capacity := newReportingFleet(c.instances, i == 1, d)
			_, refused[i] = f.play(c.load*capacity, d)
			slices.Sort(f.took)
			for _, took := range f.took {
				mean[i] += took.Seconds() / float64(len(f.took))
			}
			p99[i] = f.took[len(f.took)*99/100].Seconds()
		}
		t.Logf("%d instances, load %.2f: mean %.3f s, 99th percentile %.3f s, %.4f refusals a request; without reports %.3f s, %.3f s, %.4f",
			c.instances, c.load, mean[1], p99[1], refused[1], mean[0], p99[0], refused[0])
		if mean[1] > c.want*mean[0] || p99[1] > c.want*p99[0] || refused[1] > refused[0] {
			t.Errorf("%d instances, load %.2f: more than %.2f of the times without reports, or more refusals", c.instances, c.load, c.want)
		}
	}
}

// Guards against sending all requests to a server that fails them at once and therefore reports that it is idle.
func TestDrawFailing(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	all := []pick.Candidate{candidate(topo.SameDC), candidate(topo.SameDC)}
	for i := range all {
		finishRequests(all[i].ServerStats, epoch, 300*time.Millisecond, 10)
		all[i].SharedLatency = 300 * time.Millisecond
		all[i].ObserveLoad(epoch, load.Report{Running: 3, Waiting: 3, Slots: 3, Slowdown: 1})
	}
	all[0].Start()
	all[0].Finish(epoch, limit.Done, time.Millisecond, 0, true)
	all[0].ObserveLoad(epoch, load.Report{Slots: 3, Slowdown: 1})
	drawn := 0
	for range 1000 {
		if i, _ := pick.Draw(epoch, rng, false, all); i == 0 {
			drawn++
		}
	}
	if drawn > 500 {
		t.Errorf("%d of 1000 requests went to the server that fails them", drawn)
	}
}

// Guards against traffic to other regions while servers nearby are as fast, and against servers nearby that are overloaded while
// those of another region have room.
func TestDrawDistance(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	drawFar := func(near, far time.Duration) (part float64) {
		const draws = 2000
		for range draws {
			var all []pick.Candidate
			for range 5 {
				a, b := candidate(topo.SameDC), candidate(topo.OtherRegion)
				a.SharedLatency, b.SharedLatency = near, far
				all = append(all, a, b)
			}
			if i, _ := pick.Draw(epoch, rng, false, all); all[i].Distance == topo.OtherRegion {
				part += 1.0 / draws
			}
		}
		return part
	}
	if got := drawFar(500*time.Millisecond, 400*time.Millisecond); got != 0 {
		t.Errorf("%.2f of the requests went to another region that is hardly faster", got)
	}
	if got := drawFar(3*time.Second, 500*time.Millisecond); got < 0.6 || got > 0.9 {
		t.Errorf("%.2f of the requests went to another region that answers in a sixth of the time, want about three quarters", got)
	}
}
