// Package load estimates the load of each key and the capacity of each server from the reports of all instances. It reads no
// clock.
package load

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/shift"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// Interval is the time between calls of EndInterval.
	Interval = 300 * time.Millisecond
	// minIntervals is the number of intervals up to which the loads are too noisy to move keys by.
	minIntervals = 3
	// loadDecay is the factor on a key's load per interval: a change of the load shows within about two seconds.
	loadDecay = 0.8
	// latestWeight is the weight of the latest interval in the mean answer time and rate of a server.
	latestWeight = 0.15
	// maxIdleIntervals is the number of intervals without an answer after which a server may be unreachable: over a second.
	maxIdleIntervals = 4
	// maxLatencyAge is the number of intervals without an answer after which an answer time is not passed on: 6 s.
	maxLatencyAge = 20
	// forgetAfter is the number of intervals without an answer after which a server is forgotten: a minute. Servers have
	// a new id after most restarts.
	forgetAfter = 200
	// defaultAnswerTime is the assumed answer time while no answers of any server are reported.
	defaultAnswerTime = 150 * time.Millisecond
	// minCapacityFactor and maxCapacityFactor bound the estimate for a server, as multiples of the average for its slots.
	minCapacityFactor, maxCapacityFactor = 0.25, 3
	// leastNamedPart is the part of a named limit that counts as capacity while the servers without one are not busy: requests come
	// unevenly, and those over the limit are refused. All of it counts from busyUtilisation of the others on.
	leastNamedPart  = 0.5
	calmUtilisation = 0.6
	busyUtilisation = 0.9
	// minNamedCapacity is the capacity, in requests per second, of a server that has named a lower limit.
	minNamedCapacity = 0.1
)

// Estimator estimates loads and capacities. It is not safe for concurrent use.
type Estimator struct {
	// NamedRate returns the limit that a server has named, in requests per second. It may be nil.
	NamedRate func(*topo.Server) (rate float64, ok bool)

	loads     map[string]*shift.Loads   // by pool
	counts    map[string]map[uint16]int // of the current interval, by pool and key
	servers   map[string]*serverStats
	intervals int // since the first with requests
}

// New returns an estimator without reports.
func New() *Estimator {
	return &Estimator{loads: make(map[string]*shift.Loads), counts: make(map[string]map[uint16]int), servers: make(map[string]*serverStats)}
}

// CountRequests adds n requests of a key.
func (e *Estimator) CountRequests(pool string, key uint16, n int) {
	counts := e.counts[pool]
	if counts == nil {
		counts = make(map[uint16]int)
		e.counts[pool] = counts
	}
	counts[key] += n
}

// CountAnswers adds n answers of a server. Their mean answer time is mean.
func (e *Estimator) CountAnswers(server string, n int, mean time.Duration) {
	if n <= 0 {
		return
	}
	s := e.servers[server]
	if s == nil {
		s = new(serverStats)
		e.servers[server] = s
	}
	s.answers += n
	s.totalTime += time.Duration(n) * mean
	s.idleIntervals = 0
}

// HasRecentAnswers reports whether a server has answered requests in the last maxIdleIntervals.
func (e *Estimator) HasRecentAnswers(server string) bool {
	s := e.servers[server]
	return s != nil && s.idleIntervals < maxIdleIntervals
}

// AddReport adds the counts that an instance has reported.
func (e *Estimator) AddReport(r *sitepb.PushReply) {
	for _, k := range r.GetLoads() {
		if k.GetKey() <= spans.Last {
			e.CountRequests(k.GetPool(), uint16(k.GetKey()), int(k.GetCount()))
		}
	}
	for _, s := range r.GetSeen() {
		e.CountAnswers(s.GetServer(), int(s.GetAnswers()), time.Duration(s.GetSeconds()*float64(time.Second)))
	}
}

// MeanLatencies returns the mean answer times of servers, with id, that have answered lately enough.
func (e *Estimator) MeanLatencies(servers []*topo.Server) (out []*sitepb.Latency) {
	for _, s := range servers {
		if st := e.servers[s.Server]; st != nil && st.meanTime > 0 && st.idleIntervals < maxLatencyAge {
			out = append(out, &sitepb.Latency{Server: s.Server, Millis: uint32(st.meanTime.Milliseconds())})
		}
	}
	return out
}

// EndInterval updates the averages from the counts since its last call. It must be called once per Interval.
func (e *Estimator) EndInterval() {
	if e.intervals > 0 || len(e.counts) > 0 {
		e.intervals++
	}
	for id, s := range e.servers {
		if s.endInterval(); s.idleIntervals > forgetAfter {
			delete(e.servers, id)
		}
	}
	for pool := range e.counts {
		if e.loads[pool] == nil {
			e.loads[pool] = new(shift.Loads)
		}
	}
	// Until enough intervals have passed, all have equal weight.
	decay := min(loadDecay, 1-1/float64(max(1, e.intervals)))
	for pool, l := range e.loads {
		for i := range l {
			l[i] *= float32(decay)
		}
		for key, n := range e.counts[pool] {
			l[key] += float32((1 - decay) * float64(n) / Interval.Seconds())
		}
	}
	clear(e.counts)
}

// IsReliable reports whether the loads are known well enough to move keys by them.
func (e *Estimator) IsReliable() bool { return e.intervals > minIntervals }

// KeyLoads returns the requests per second of each key of a pool.
func (e *Estimator) KeyLoads(pool string) *shift.Loads {
	if l := e.loads[pool]; l != nil {
		return l
	}
	return new(shift.Loads)
}

// Capacities returns the servers with the requests per second that each can run. acceptsKeys reports which may get keys.
func (e *Estimator) Capacities(servers []*topo.Server, acceptsKeys func(*topo.Server) bool) (out []shift.Server) {
	sum, n := 0.0, 0
	for _, s := range servers {
		if c := e.servers[s.Server].capacity(s.Slots); c > 0 {
			sum += c / float64(s.Slots)
			n++
		}
	}
	meanPerSlot := 1 / defaultAnswerTime.Seconds()
	if n > 0 {
		meanPerSlot = sum / float64(n)
	}
	for _, s := range servers {
		c := meanPerSlot * float64(s.Slots)
		if measured := e.servers[s.Server].capacity(s.Slots); measured > 0 {
			c = min(max(measured, c*minCapacityFactor), c*maxCapacityFactor)
		}
		out = append(out, shift.Server{Owner: s.Owner, Capacity: c, AcceptsKeys: acceptsKeys(s)})
	}
	e.boundByNamedRates(servers, out)
	return out
}

// boundByNamedRates lowers the capacities of the servers that have named a limit.
func (e *Estimator) boundByNamedRates(servers []*topo.Server, capacities []shift.Server) {
	if e.NamedRate == nil || len(servers) == 0 {
		return
	}
	rates, unlimited := make(map[int]float64), 0.0
	for i, s := range servers {
		if rate, ok := e.NamedRate(s); ok {
			rates[i] = rate
		} else if capacities[i].AcceptsKeys {
			unlimited += capacities[i].Capacity
		}
	}
	if len(rates) == 0 {
		return
	}
	part := 1.0
	if unlimited > 0 {
		busy := (e.KeyLoads(servers[0].Pool).Sum(0, spans.Last)/unlimited - calmUtilisation) / (busyUtilisation - calmUtilisation)
		part = leastNamedPart + (1-leastNamedPart)*min(max(busy, 0), 1)
	}
	for i, rate := range rates {
		capacities[i].Capacity = min(capacities[i].Capacity, max(part*rate, minNamedCapacity))
	}
}

// serverStats holds the answers and averages of a server.
type serverStats struct {
	answers       int           // in the current interval
	totalTime     time.Duration // sum of their answer times
	meanTime      time.Duration // average answer time
	answerRate    float64       // average answers per second
	idleIntervals int           // intervals since the last answer
}

func (s *serverStats) endInterval() {
	s.answerRate += latestWeight * (float64(s.answers)/Interval.Seconds() - s.answerRate)
	if s.answers > 0 {
		mean := s.totalTime / time.Duration(s.answers)
		if s.meanTime == 0 {
			s.meanTime = mean
		}
		s.meanTime += time.Duration(latestWeight * float64(mean-s.meanTime))
	}
	s.answers, s.totalTime = 0, 0
	s.idleIntervals++
}

// capacity returns the requests per second that the server can run, 0 if unknown. That is its slots divided by its mean
// answer time or, since this includes time in its queue, its answer rate if that is higher.
func (s *serverStats) capacity(slots int) float64 {
	if s == nil || s.meanTime == 0 {
		return 0
	}
	return max(s.answerRate, float64(slots)/s.meanTime.Seconds())
}
