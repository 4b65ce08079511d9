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
	// latencyWeight of a new answer time in the mean; some ten answers count.
	latencyWeight = 0.15
	// defaultLatency is assumed for a server that has not answered yet.
	defaultLatency = 150 * time.Millisecond
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
	maxLimit   = 16
	// lateRatio of an answer time to the objective lowers the limit, since the queue behind it is longer still.
	lateRatio  = 0.65
	lateFactor = 0.8
	// shedFactor is the factor after a refusal: the server's queue is full, whatever this instance has there.
	shedFactor  = 0.7
	raiseFactor = 1.05
	// quickRatio of an answer time to the objective raises the limit faster: there is no queue to speak of.
	quickRatio  = 0.45
	quickFactor = 1.2
	// urgentExtra is how many more requests of the highest priority are sent than the limit permits: their servers' queue
	// is kept short for them.
	urgentExtra = 2
)

// distancePenalty is how much longer a request may take nearby before one farther away is worth the traffic between data
// centres, which is narrow and paid by volume between regions.
var distancePenalty = [...]time.Duration{topo.SameDC: 0, topo.SameRegion: 15 * time.Millisecond, topo.OtherRegion: 250 * time.Millisecond}

// ServerStats is what an instance knows of a server from its own requests. The zero value is a server never used.
type ServerStats struct {
	// Share is this instance's equal part of the requests that the server has room for; 0 means 1 or more.
	Share float64

	inFlight    int
	meanLatency float64 // answer time in seconds
	errorRate   float64 // share of answers that are failures
	failures    int
	heldUntil   time.Time
	limit       float64   // requests under way that the server is given; below 1 they are spaced out
	lastLowered time.Time // when the limit was last lowered
	nextSend    time.Time // no request before, with a limit below 1

	reportAnswers int     // since the last report
	reportSeconds float64 // seconds of those answers
}

// InFlight returns the number of requests under way.
func (s *ServerStats) InFlight() int { return s.inFlight }

// MeanLatency returns the usual answer time.
func (s *ServerStats) MeanLatency() time.Duration {
	if s.meanLatency == 0 {
		return defaultLatency
	}
	return time.Duration(s.meanLatency * float64(time.Second))
}

// Ready reports whether the server may be used at now.
func (s *ServerStats) Ready(now time.Time) bool { return !now.Before(s.heldUntil) }

// HasRoom reports whether one more request may be sent, and when it may be asked again if time alone is missing.
func (s *ServerStats) HasRoom(now time.Time, urgent bool) bool {
	limit := s.limit
	if limit == 0 {
		limit = startLimit
	}
	if urgent {
		limit = max(1, limit) + urgentExtra
	}
	if now.Before(s.nextSend) && !urgent {
		return false
	}
	return float64(s.inFlight) < max(1, math.Floor(limit))
}

// adjustLimit changes the limit after an answer that took so long against its objective.
func (s *ServerStats) adjustLimit(now time.Time, took, objective time.Duration) {
	if s.limit == 0 {
		s.limit = startLimit
	}
	if objective > 0 && took > time.Duration(lateRatio*float64(objective)) {
		s.lowerLimit(now, took, lateFactor)
	} else {
		factor := raiseFactor
		if took < time.Duration(quickRatio*float64(objective)) {
			factor = quickFactor
		}
		s.limit = min(maxLimit, s.limit*factor)
	}
	s.nextSend = now.Add(s.spacing())
}

// minLimit returns the lowest limit: an equal part of what the server has room for, so that many instances space their
// requests out and few never leave it idle.
func (s *ServerStats) minLimit() float64 {
	if s.Share == 0 {
		return 1
	}
	return min(1, s.Share)
}

// spacing returns how long after an answer the next request may be sent, with a limit below 1.
func (s *ServerStats) spacing() time.Duration {
	if s.limit >= 1 {
		return 0
	}
	return time.Duration((1/s.limit - 1) * float64(s.MeanLatency()))
}

// lowerLimit lowers the limit at most once in the time of one answer: answers to requests that were sent before the last
// change say nothing about it.
func (s *ServerStats) lowerLimit(now time.Time, took time.Duration, factor float64) {
	if now.Sub(s.lastLowered) < took {
		return
	}
	s.lastLowered = now
	s.limit = max(s.minLimit(), s.limit*factor)
}

// Start notes that a request is sent.
func (s *ServerStats) Start() { s.inFlight++ }

// Finish notes how a request ended after it took so long, against an objective that may be zero. failure tells that the
// server answered with a failure of its own.
func (s *ServerStats) Finish(now time.Time, out limit.Outcome, took, objective time.Duration, failure bool) {
	s.inFlight--
	switch out {
	case limit.Done:
		s.observeLatency(took)
		s.adjustLimit(now, took, objective)
		s.failures = 0
		s.recordError(failure)
	case limit.Timeout:
		s.observeLatency(took)
		s.recordError(true)
		s.recordFailure(now)
	case limit.Broken:
		s.recordError(true)
		s.recordFailure(now)
	case limit.Shed:
		s.failures = 0
		if s.limit == 0 {
			s.limit = startLimit
		}
		s.lowerLimit(now, shedHold, shedFactor)
		s.nextSend = now.Add(shedHold + s.spacing())
	}
}

func (s *ServerStats) observeLatency(took time.Duration) {
	sec := took.Seconds()
	s.reportAnswers++
	s.reportSeconds += sec
	if s.meanLatency == 0 {
		s.meanLatency = sec
		return
	}
	s.meanLatency += latencyWeight * (sec - s.meanLatency)
}

func (s *ServerStats) recordError(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	s.errorRate += errorWeight * (x - s.errorRate)
}

// recordFailure leaves the server alone after the second failure in a row; one alone may be the connection's.
func (s *ServerStats) recordFailure(now time.Time) {
	s.failures++
	if s.failures < 2 {
		return
	}
	s.heldUntil = now.Add(min(maxHold, firstHold<<min(s.failures-2, 6)))
}

// RecordConnRefused notes that the server refuses connections.
func (s *ServerStats) RecordConnRefused(now time.Time) {
	s.failures = max(s.failures, 1)
	s.recordFailure(now)
}

// TakeReport returns the answers since the last call and their mean time.
func (s *ServerStats) TakeReport() (answers int, mean time.Duration) {
	answers = s.reportAnswers
	if answers > 0 {
		mean = time.Duration(s.reportSeconds / float64(answers) * float64(time.Second))
	}
	s.reportAnswers, s.reportSeconds = 0, 0
	return answers, mean
}

// ExpectedLatency returns how long a request would take at the server: the usual time, and more for what this instance has waiting
// there beyond the server's slots.
func (s *ServerStats) ExpectedLatency(slots int) time.Duration {
	d := s.MeanLatency()
	if excess := s.inFlight + 1 - slots; excess > 0 {
		d += time.Duration(float64(d) * float64(excess) / float64(max(1, slots)))
	}
	return d
}

// Candidate is a server that may run a request.
type Candidate struct {
	*ServerStats
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
		if !c.HasRoom(now, urgent) {
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
	t := c.ExpectedLatency(c.Server.Slots)
	t += time.Duration(float64(c.MeanLatency()) * float64(c.inFlight) / float64(max(1, c.Server.Slots)))
	if c.Server.WarmAt.After(now) {
		t *= 2
	}
	sec := t.Seconds() * (1 + 4*c.errorRate) * (1 + jitter*rnd.Float64())
	return sec + distancePenalty[c.Distance].Seconds()
}
