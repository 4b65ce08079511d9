// Package load turns the reports of all instances into the load of each key and what each server can run. It is pure.
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
	// minIntervals is the number of intervals with loads before keys may be moved by them: the noise of a shorter count is too large.
	minIntervals = 3
	// loadDecay is the factor on a key's load for each interval: a change of the load shows within about two seconds.
	loadDecay = 0.8
	// latestWeight is the weight of the latest interval in the mean answer time and rate of a server.
	latestWeight = 0.15
	// maxIdleIntervals is the number of intervals without an answer after which a server may be unreachable: more than a second.
	maxIdleIntervals = 4
	// defaultAnswerTime is the answer time of a server while none has reported.
	defaultAnswerTime = 150 * time.Millisecond
	// minCapacityFactor and maxCapacityFactor bound the estimate for a server, as multiples of the usual capacity.
	minCapacityFactor, maxCapacityFactor = 0.25, 3
)

// Estimator estimates loads and capacities from the reports. It is not safe for concurrent use.
type Estimator struct {
	loads     map[string]*shift.Loads
	counts    map[string]map[uint16]int
	servers   map[string]*serverStats
	intervals int
}

// New returns an estimator without reports.
func New() *Estimator {
	return &Estimator{loads: make(map[string]*shift.Loads), counts: make(map[string]map[uint16]int), servers: make(map[string]*serverStats)}
}

// CountRequests adds n requests of a key.
func (g *Estimator) CountRequests(pool string, key uint16, n int) {
	m := g.counts[pool]
	if m == nil {
		m = make(map[uint16]int)
		g.counts[pool] = m
	}
	m[key] += n
}

// CountAnswers adds n answers of a server that took mean on average.
func (g *Estimator) CountAnswers(server string, n int, mean time.Duration) {
	if n <= 0 {
		return
	}
	v := g.servers[server]
	if v == nil {
		v = new(serverStats)
		g.servers[server] = v
	}
	v.answers += n
	v.totalTime += time.Duration(n) * mean
	v.idleIntervals = 0
}

// HasRecentAnswers reports whether a server has answered requests just now.
func (g *Estimator) HasRecentAnswers(server string) bool {
	v := g.servers[server]
	return v != nil && v.idleIntervals < maxIdleIntervals
}

// AddReport adds the report of an instance.
func (g *Estimator) AddReport(r *sitepb.PushReply) {
	for _, k := range r.GetLoads() {
		if k.GetKey() <= spans.Last {
			g.CountRequests(k.GetPool(), uint16(k.GetKey()), int(k.GetCount()))
		}
	}
	for _, s := range r.GetSeen() {
		g.CountAnswers(s.GetServer(), int(s.GetAnswers()), time.Duration(s.GetSeconds()*float64(time.Second)))
	}
}

// EndInterval adds the reports since its last call to the averages. It must be called once each Interval.
func (g *Estimator) EndInterval() {
	if g.intervals > 0 || len(g.counts) > 0 {
		g.intervals++
	}
	for _, v := range g.servers {
		v.endInterval()
	}
	for pool := range g.counts {
		if g.loads[pool] == nil {
			g.loads[pool] = new(shift.Loads)
		}
	}
	// The first intervals have no earlier ones to average over.
	keep := min(loadDecay, 1-1/float64(max(1, g.intervals)))
	for pool, l := range g.loads {
		for i := range l {
			l[i] *= float32(keep)
		}
		for key, n := range g.counts[pool] {
			l[key] += float32((1 - keep) * float64(n) / Interval.Seconds())
		}
	}
	clear(g.counts)
}

// IsReliable reports whether the loads are known well enough to move keys by them.
func (g *Estimator) IsReliable() bool { return g.intervals > minIntervals }

// KeyLoads returns the requests a second of each key of a pool.
func (g *Estimator) KeyLoads(pool string) *shift.Loads {
	if l := g.loads[pool]; l != nil {
		return l
	}
	return new(shift.Loads)
}

// Capacities returns the servers with the requests a second that each can run. stays reports which may get keys.
func (g *Estimator) Capacities(servers []*topo.Server, stays func(*topo.Server) bool) (out []shift.Server) {
	sum, n := 0.0, 0
	for _, s := range servers {
		if c := g.servers[s.Server].capacity(s.Slots); c > 0 {
			sum += c / float64(s.Slots)
			n++
		}
	}
	usual := 1 / defaultAnswerTime.Seconds()
	if n > 0 {
		usual = sum / float64(n)
	}
	for _, s := range servers {
		c := usual * float64(s.Slots)
		if known := g.servers[s.Server].capacity(s.Slots); known > 0 {
			c = min(max(known, c*minCapacityFactor), c*maxCapacityFactor)
		}
		out = append(out, shift.Server{Owner: s.Owner, Capacity: c, AcceptsKeys: stays(s)})
	}
	return out
}

// serverStats is what the reports say of a server.
type serverStats struct {
	answers       int           // in the current interval
	totalTime     time.Duration // of those answers
	meanTime      time.Duration // answer time
	answerRate    float64       // answers a second
	idleIntervals int           // intervals since the last answer
}

func (v *serverStats) endInterval() {
	v.answerRate += latestWeight * (float64(v.answers)/Interval.Seconds() - v.answerRate)
	if v.answers > 0 {
		mean := v.totalTime / time.Duration(v.answers)
		if v.meanTime == 0 {
			v.meanTime = mean
		}
		v.meanTime += time.Duration(latestWeight * float64(mean-v.meanTime))
	}
	v.answers, v.totalTime = 0, 0
	v.idleIntervals++
}

// capacity returns the requests a second that the server can run: what its slots yield at its answer time, or what it
// answers already if that is more, since answer times contain the time in its queue. It is 0 if nothing is known.
func (v *serverStats) capacity(slots int) float64 {
	if v == nil || v.meanTime == 0 {
		return 0
	}
	return max(v.answerRate, float64(slots)/v.meanTime.Seconds())
}
