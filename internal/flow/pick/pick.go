// Package pick chooses the backend server of a request when every instance sends directly. It balances the load without
// communication between instances: from a server's answer times, refusals and failures, each infers what the others send
// there. It has no clock; the caller serialises all calls.
package pick

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/load"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

const (
	// latencyWeight is the weight of a new answer time in the mean, which covers some ten answers.
	latencyWeight = 0.15
	// defaultLatency is assumed for a server that has not answered yet.
	defaultLatency = 150 * time.Millisecond
	// firstHold and maxHold bound how long a server isn't used after failures; the time doubles with each one.
	firstHold = 200 * time.Millisecond
	maxHold   = 2 * time.Second
	// shedHold is the wait after a refusal: until a full server's queue has shrunk a little, it would refuse again.
	shedHold = 100 * time.Millisecond
	// errorWeight is the weight of a new outcome in the error rate.
	errorWeight = 0.1
	// maxSoundErrors is the error rate up to which a server's report may attract requests. After a failure, that takes seven answers.
	maxSoundErrors = 0.05
	// jitter keeps instances with the same observations from choosing the same server.
	jitter = 0.2
)

// Bounds and steps of the limit of requests that this instance has in flight at a server. Answer times reflect the
// server's queue, which all instances fill: near a request's objective they lower the limit, far below it they raise it.
const (
	startLimit = 4
	maxLimit   = 16
	// lateRatio is the ratio of answer time to objective above which the limit is lowered: the queue is longer by then.
	lateRatio  = 0.65
	lateFactor = 0.8
	// shedFactor applies after a refusal: the server's queue is full, however few requests this instance has there.
	shedFactor  = 0.7
	raiseFactor = 1.05
	// quickRatio is the ratio below which quickFactor raises the limit: the server has hardly any queue.
	quickRatio  = 0.45
	quickFactor = 1.2
	// urgentExtra is how many urgent requests may be sent beyond the limit, which keeps queues short for them.
	urgentExtra = 2
)

// distancePenalty is how much later an answer from nearby may come before a server at that distance is chosen. Links
// between data centres are narrow, and those between regions are paid by volume.
var distancePenalty = [...]time.Duration{topo.SameDC: 0, topo.SameRegion: 15 * time.Millisecond, topo.OtherRegion: 250 * time.Millisecond}

// ServerStats is what an instance knows of a server from its own requests. The zero value is for an unused server.
type ServerStats struct {
	// Share is the number of requests that the server has room for, divided by the number of instances. 0 means 1.
	Share float64

	inFlight    int
	meanLatency float64 // in seconds, of answers and timeouts; 0 before the first
	errorRate   float64 // mean of 1 for a failure and 0 for another answer
	failures    int     // consecutive
	heldUntil   time.Time
	limit       float64   // of requests in flight; below 1, they are spaced out; 0 means startLimit
	lastLowered time.Time // when the limit was last lowered
	nextSend    time.Time // earliest time of the next request that is not urgent

	load load.State // what the server reports

	reportAnswers int     // answers and timeouts since the last report
	reportSeconds float64 // sum of their durations
}

// InFlight returns the number of requests in flight.
func (s *ServerStats) InFlight() int { return s.inFlight }

// MeanLatency returns the mean answer time, a default before the first answer.
func (s *ServerStats) MeanLatency() time.Duration {
	if s.meanLatency == 0 {
		return defaultLatency
	}
	return time.Duration(s.meanLatency * float64(time.Second))
}

// Ready reports whether the server may be used, as far as its failures go.
func (s *ServerStats) Ready(now time.Time) bool { return !now.Before(s.heldUntil) }

// HeldUntil returns when the server may be used again after failures, a past time if it may be used.
func (s *ServerStats) HeldUntil() time.Time { return s.heldUntil }

// HasRoom reports whether the limit permits one more request now.
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

// adjustLimit changes the limit after an answer, by its time in relation to the objective.
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

// minLimit returns the lowest limit: Share, at most 1, so that many instances space their requests out but few never
// leave the server idle.
func (s *ServerStats) minLimit() float64 {
	if s.Share == 0 {
		return 1
	}
	return min(1, s.Share)
}

// spacing returns how long after an answer no request is sent while the limit is below 1.
func (s *ServerStats) spacing() time.Duration {
	if s.limit >= 1 {
		return 0
	}
	return time.Duration((1/s.limit - 1) * float64(s.MeanLatency()))
}

// lowerLimit lowers the limit at most once in took: answers to requests sent before the last change don't show its
// effect.
func (s *ServerStats) lowerLimit(now time.Time, took time.Duration, factor float64) {
	if now.Sub(s.lastLowered) < took {
		return
	}
	s.lastLowered = now
	s.limit = max(s.minLimit(), s.limit*factor)
}

// Start records that a request is sent.
func (s *ServerStats) Start() {
	s.inFlight++
	s.load.CountSent()
}

// ObserveLoad records the load that the server reported with a response received at now.
func (s *ServerStats) ObserveLoad(now time.Time, r load.Report) { s.load.Observe(now, r) }

// loadFactor returns the expected response time as a multiple of the mean one, by what the server reports. A server that fails
// requests at once looks idle, so that its report doesn't count in its favour.
func (s *ServerStats) loadFactor(now time.Time) float64 {
	f := s.load.Factor(now)
	if s.errorRate > maxSoundErrors {
		return max(1, f)
	}
	return f
}

// Finish records how a request ended. objective is the target of the answer time, or 0; failure says that the answer
// reports a failure of the server.
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

// recordFailure holds the server back from its second failure in a row on; a single one may be due to the connection.
func (s *ServerStats) recordFailure(now time.Time) {
	s.failures++
	if s.failures < 2 {
		return
	}
	s.heldUntil = now.Add(min(maxHold, firstHold<<min(s.failures-2, 6)))
}

// RecordConnRefused records that the server refuses connections, and holds it back at once.
func (s *ServerStats) RecordConnRefused(now time.Time) {
	s.failures = max(s.failures, 1)
	s.recordFailure(now)
}

// TakeReport returns the number of answers and timeouts since the last call and their mean duration.
func (s *ServerStats) TakeReport() (answers int, mean time.Duration) {
	answers = s.reportAnswers
	if answers > 0 {
		mean = time.Duration(s.reportSeconds / float64(answers) * float64(time.Second))
	}
	s.reportAnswers, s.reportSeconds = 0, 0
	return answers, mean
}

// ExpectedLatency returns how long a request would take at the server: the mean, and more if this instance has more
// requests there than the server has slots.
func (s *ServerStats) ExpectedLatency(slots int) time.Duration {
	d := s.MeanLatency()
	if excess := s.inFlight + 1 - slots; excess > 0 {
		d += time.Duration(float64(d) * float64(excess) / float64(max(1, slots)))
	}
	return d
}

// Candidate is a server that Choose may choose.
type Candidate struct {
	*ServerStats
	Server *topo.Server
	topo.Distance
	// SharedLatency is the mean time of the server's latest answers to all instances, 0 if unknown.
	SharedLatency time.Duration
}

// Choose returns the index of the server that is expected to answer a request first, with a penalty for distance, or -1
// if none may be used. full reports whether a ready server had no room.
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

// score returns an expected answer time in seconds, with penalties. A failed answer costs another try.
func (c *Candidate) score(now time.Time, rnd *rand.Rand) float64 {
	t := c.ExpectedLatency(c.Server.Slots)
	t += time.Duration(float64(c.MeanLatency()) * float64(c.inFlight) / float64(max(1, c.Server.Slots)))
	if c.Server.WarmAt.After(now) {
		t *= 2
	}
	sec := t.Seconds() * c.loadFactor(now) * (1 + 4*c.errorRate) * (1 + jitter*rnd.Float64())
	return sec + distancePenalty[c.Distance].Seconds()
}
