// Package pick chooses the backend server of a request when every instance sends directly. It answers uneven loads with
// many senders that do not talk to each other: what an instance sees of a server, its answer times, refusals and
// failures, stands for what the others send there. It is pure; the caller serialises all calls.
package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

const (
	// weight of a new answer time in the mean; some ten answers count.
	weight = 0.15
	// usual is assumed for a server that has not answered yet.
	usual = 150 * time.Millisecond
	// firstHold and maxHold bound how long a server is left alone after failures; the time doubles with each one.
	firstHold = 200 * time.Millisecond
	maxHold   = 2 * time.Second
	// shedHold is the time in which a full server's queue shrinks a little; it refuses again until then.
	shedHold = 100 * time.Millisecond
	// errorWeight of a new answer in the share of failed ones.
	errorWeight = 0.1
	// jitter keeps instances that see the same from choosing the same server.
	jitter = 0.2
)

// Bounds and steps of the number of requests that this instance keeps at a server. The time that an answer takes shows
// the server's queue, which all instances fill: near a request's objective the number is lowered, far from it raised.
const (
	startLimit = 4
	mostLimit  = 16
	// lateRatio of an answer time to the objective lowers the limit, since the queue behind it is longer still.
	lateRatio = 0.65
	lower     = 0.8
	// fullLower is the factor after a refusal: the server's queue is full, whatever this instance has there.
	fullLower = 0.7
	raise     = 1.05
	// easyRatio of an answer time to the objective raises the limit faster: there is no queue to speak of.
	easyRatio = 0.45
	easyRaise = 1.2
	// urgentRoom is how many more requests of the highest priority are sent than the limit permits: their servers' queue
	// is kept short for them.
	urgentRoom = 2
)

// detour is how much longer a request may take nearby before one farther away is worth the traffic between data
// centres, which is narrow and paid by volume between regions.
var detour = [...]time.Duration{topo.SameDC: 0, topo.SameRegion: 15 * time.Millisecond, topo.OtherRegion: 250 * time.Millisecond}

// Stat is what an instance knows of a server from its own requests. The zero value is a server never used.
type Stat struct {
	// Part is this instance's equal part of the requests that the server has room for; 0 means 1 or more.
	Part float64

	out      int
	mean     float64 // answer time in seconds
	errors   float64 // share of answers that are failures
	failures int
	until    time.Time
	limit    float64   // requests under way that the server is given; below 1 they are spaced out
	cut      time.Time // when the limit was last lowered
	next     time.Time // no request before, with a limit below 1

	answers int     // since the last report
	total   float64 // seconds of those answers
}

// Out returns the number of requests under way.
func (s *Stat) Out() int { return s.out }

// Mean returns the usual answer time.
func (s *Stat) Mean() time.Duration {
	if s.mean == 0 {
		return usual
	}
	return time.Duration(s.mean * float64(time.Second))
}

// Ready reports whether the server may be used at now.
func (s *Stat) Ready(now time.Time) bool { return !now.Before(s.until) }

// Room reports whether one more request may be sent, and when it may be asked again if time alone is missing.
func (s *Stat) Room(now time.Time, urgent bool) bool {
	limit := s.limit
	if limit == 0 {
		limit = startLimit
	}
	if urgent {
		limit = max(1, limit) + urgentRoom
	}
	if now.Before(s.next) && !urgent {
		return false
	}
	return float64(s.out) < max(1, math.Floor(limit))
}

// adapt changes the limit after an answer that took so long against its objective.
func (s *Stat) adapt(now time.Time, took, objective time.Duration) {
	if s.limit == 0 {
		s.limit = startLimit
	}
	if objective > 0 && took > time.Duration(lateRatio*float64(objective)) {
		s.shrink(now, took, lower)
	} else {
		by := raise
		if took < time.Duration(easyRatio*float64(objective)) {
			by = easyRaise
		}
		s.limit = min(mostLimit, s.limit*by)
	}
	s.next = now.Add(s.spacing())
}

// least returns the lowest limit: an equal part of what the server has room for, so that many instances space their
// requests out and few never leave it idle.
func (s *Stat) least() float64 {
	if s.Part == 0 {
		return 1
	}
	return min(1, s.Part)
}

// spacing returns how long after an answer the next request may be sent, with a limit below 1.
func (s *Stat) spacing() time.Duration {
	if s.limit >= 1 {
		return 0
	}
	return time.Duration((1/s.limit - 1) * float64(s.Mean()))
}

// shrink lowers the limit at most once in the time of one answer: answers to requests that were sent before the last
// change say nothing about it.
func (s *Stat) shrink(now time.Time, took time.Duration, by float64) {
	if now.Sub(s.cut) < took {
		return
	}
	s.cut = now
	s.limit = max(s.least(), s.limit*by)
}

// Start notes that a request is sent.
func (s *Stat) Start() { s.out++ }

// Finish notes how a request ended after it took so long, against an objective that may be zero. failure tells that the
// server answered with a failure of its own.
func (s *Stat) Finish(now time.Time, out limit.Outcome, took, objective time.Duration, failure bool) {
	s.out--
	switch out {
	case limit.Done:
		s.observe(took)
		s.adapt(now, took, objective)
		s.failures = 0
		s.fault(failure)
	case limit.Timeout:
		s.observe(took)
		s.fault(true)
		s.fail(now)
	case limit.Broken:
		s.fault(true)
		s.fail(now)
	case limit.Shed:
		s.failures = 0
		if s.limit == 0 {
			s.limit = startLimit
		}
		s.shrink(now, shedHold, fullLower)
		s.next = now.Add(shedHold + s.spacing())
	}
}

func (s *Stat) observe(took time.Duration) {
	sec := took.Seconds()
	s.answers++
	s.total += sec
	if s.mean == 0 {
		s.mean = sec
		return
	}
	s.mean += weight * (sec - s.mean)
}

func (s *Stat) fault(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	s.errors += errorWeight * (x - s.errors)
}

// fail leaves the server alone after the second failure in a row; one alone may be the connection's.
func (s *Stat) fail(now time.Time) {
	s.failures++
	if s.failures < 2 {
		return
	}
	s.until = now.Add(min(maxHold, firstHold<<min(s.failures-2, 6)))
}

// Dead notes that the server refuses connections.
func (s *Stat) Dead(now time.Time) {
	s.failures = max(s.failures, 1)
	s.fail(now)
}

// Take returns the answers since the last call and their mean time.
func (s *Stat) Take() (answers int, mean time.Duration) {
	answers = s.answers
	if answers > 0 {
		mean = time.Duration(s.total / float64(answers) * float64(time.Second))
	}
	s.answers, s.total = 0, 0
	return answers, mean
}

// Wait returns how long a request would take at the server: the usual time, and more for what this instance has waiting
// there beyond the server's slots.
func (s *Stat) Wait(slots int) time.Duration {
	d := s.Mean()
	if over := s.out + 1 - slots; over > 0 {
		d += time.Duration(float64(d) * float64(over) / float64(max(1, slots)))
	}
	return d
}

// Candidate is a server that may run a request.
type Candidate struct {
	*Stat
	Server *topo.Server
	topo.Distance
}

// Choose returns the index of the server by which a request is expected to be answered first, with a handicap for
// distance. It returns -1 if none is to be used; full tells that some would be if they had room.
func Choose(now time.Time, rnd *rand.Rand, urgent bool, candidates []Candidate) (best int, full bool) {
	best, lowest := -1, math.Inf(1)
	for i, c := range candidates {
		if !c.Ready(now) {
			continue
		}
		if !c.Room(now, urgent) {
			full = true
			continue
		}
		if score := c.score(now, rnd); score < lowest {
			best, lowest = i, score
		}
	}
	return best, full
}

// score is an expected time in seconds. A server whose answers fail costs another try.
func (c *Candidate) score(now time.Time, rnd *rand.Rand) float64 {
	t := c.Wait(c.Server.Slots)
	t += time.Duration(float64(c.Mean()) * float64(c.out) / float64(max(1, c.Server.Slots)))
	if c.Server.WarmAt.After(now) {
		t *= 2
	}
	sec := t.Seconds() * (1 + 4*c.errors) * (1 + jitter*rnd.Float64())
	return sec + detour[c.Distance].Seconds()
}
