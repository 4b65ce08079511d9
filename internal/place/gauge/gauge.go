// Package gauge turns the reports of all instances into the load of each key and what each server can run. It is pure.
package gauge

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/shift"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/world"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// Every is the interval of Turn.
	Every = 300 * time.Millisecond
	// firstTurns is the number of turns with loads before they may be levelled: the noise of a shorter count is too large.
	firstTurns = 3
	// decay of the load of a key for each turn: a shift of the load shows within about two seconds.
	decay = 0.8
	// weight of the latest turn in the mean answer time and rate of a server.
	weight = 0.15
	// idleTurns is the number of turns without an answer after which a server may be unreachable: more than a second.
	idleTurns = 4
	// usualTime is the answer time of a server while none has reported.
	usualTime = 150 * time.Millisecond
	// lowest and highest bound what is believed of a server, as parts of the usual capacity.
	lowest, highest = 0.25, 3
)

// Gauge holds what was reported. It is not safe for concurrent use.
type Gauge struct {
	loads  map[string]*shift.Loads
	counts map[string]map[uint16]int
	speeds map[string]*speed
	turns  int
}

// New returns a gauge without reports.
func New() *Gauge {
	return &Gauge{loads: make(map[string]*shift.Loads), counts: make(map[string]map[uint16]int), speeds: make(map[string]*speed)}
}

// Count adds n requests of a key.
func (g *Gauge) Count(pool string, key uint16, n int) {
	m := g.counts[pool]
	if m == nil {
		m = make(map[uint16]int)
		g.counts[pool] = m
	}
	m[key] += n
}

// Answered adds n answers of a server that took mean on average.
func (g *Gauge) Answered(server string, n int, mean time.Duration) {
	if n <= 0 {
		return
	}
	v := g.speeds[server]
	if v == nil {
		v = new(speed)
		g.speeds[server] = v
	}
	v.answers += n
	v.total += time.Duration(n) * mean
	v.idle = 0
}

// Answers reports whether a server has answered requests just now.
func (g *Gauge) Answers(server string) bool {
	v := g.speeds[server]
	return v != nil && v.idle < idleTurns
}

// Take adds the report of an instance.
func (g *Gauge) Take(r *sitepb.PushReply) {
	for _, k := range r.GetLoads() {
		if k.GetKey() <= spans.Last {
			g.Count(k.GetPool(), uint16(k.GetKey()), int(k.GetCount()))
		}
	}
	for _, s := range r.GetSeen() {
		g.Answered(s.GetServer(), int(s.GetAnswers()), time.Duration(s.GetSeconds()*float64(time.Second)))
	}
}

// Turn takes what came since the last turn into the means. It is called at the interval Every.
func (g *Gauge) Turn() {
	if g.turns > 0 || len(g.counts) > 0 {
		g.turns++
	}
	for _, v := range g.speeds {
		v.turn()
	}
	for pool := range g.counts {
		if g.loads[pool] == nil {
			g.loads[pool] = new(shift.Loads)
		}
	}
	// The first turns have no past to average over.
	keep := min(decay, 1-1/float64(max(1, g.turns)))
	for pool, l := range g.loads {
		for i := range l {
			l[i] *= float32(keep)
		}
		for key, n := range g.counts[pool] {
			l[key] += float32((1 - keep) * float64(n) / Every.Seconds())
		}
	}
	clear(g.counts)
}

// Settled reports whether the loads are known well enough to move keys by them.
func (g *Gauge) Settled() bool { return g.turns > firstTurns }

// Load returns the requests a second of each key of a pool.
func (g *Gauge) Load(pool string) *shift.Loads {
	if l := g.loads[pool]; l != nil {
		return l
	}
	return new(shift.Loads)
}

// Capacities returns the servers with the requests a second that each can run. stays says which may get keys.
func (g *Gauge) Capacities(servers []*world.Server, stays func(*world.Server) bool) (out []shift.Server) {
	sum, n := 0.0, 0
	for _, s := range servers {
		if c := g.speeds[s.Server].capacity(s.Slots); c > 0 {
			sum += c / float64(s.Slots)
			n++
		}
	}
	usual := 1 / usualTime.Seconds()
	if n > 0 {
		usual = sum / float64(n)
	}
	for _, s := range servers {
		c := usual * float64(s.Slots)
		if known := g.speeds[s.Server].capacity(s.Slots); known > 0 {
			c = min(max(known, c*lowest), c*highest)
		}
		out = append(out, shift.Server{Owner: s.Owner, Capacity: c, AcceptsKeys: stays(s)})
	}
	return out
}

// speed is what the reports say of a server.
type speed struct {
	answers int           // since the last turn
	total   time.Duration // of those answers
	mean    time.Duration // answer time
	rate    float64       // answers a second
	idle    int           // turns since the last answer
}

func (v *speed) turn() {
	v.rate += weight * (float64(v.answers)/Every.Seconds() - v.rate)
	if v.answers > 0 {
		mean := v.total / time.Duration(v.answers)
		if v.mean == 0 {
			v.mean = mean
		}
		v.mean += time.Duration(weight * float64(mean-v.mean))
	}
	v.answers, v.total = 0, 0
	v.idle++
}

// capacity returns the requests a second that the server can run: what its slots yield at its answer time, or what it
// answers already if that is more, since answer times contain the time in its queue. It is 0 if nothing is known.
func (v *speed) capacity(slots int) float64 {
	if v == nil || v.mean == 0 {
		return 0
	}
	return max(v.rate, float64(slots)/v.mean.Seconds())
}
