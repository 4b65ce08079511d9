// Package limit decides how many requests a server may run at the same time, from what is observed of it. It is pure:
// the current time is an argument, and the caller serialises all calls.
package limit

import (
	"math"
	"time"
)

// Outcome is how a request at a server ended.
type Outcome uint8

const (
	// Done is a whole answer.
	Done Outcome = iota
	// Shed is a refusal by the server.
	Shed
	// Timeout means that no whole answer came within the deadline.
	Timeout
	// Broken means that the connection could not be opened or was lost.
	Broken
	// Abandoned means that the caller gave up before the deadline.
	Abandoned
	// Neutral says nothing about the server, for example a request that was never sent.
	Neutral
)

const (
	// freezeAfter consecutive timeouts or breaks make a server count as frozen.
	freezeAfter = 2
	// firstHold and maxHold bound the time between two trials of a frozen server, and how long a shedding server
	// is believed. The time doubles from one to the other with each failure.
	firstHold = 250 * time.Millisecond
	maxHold   = 4 * time.Second
	// rampAnswers answers raise the limit of a cold server by one.
	rampAnswers = 4
	// slowRatio is the ratio of the recent to the usual latency above which the limit is lowered.
	slowRatio = 3
	// minTimeout keeps short deadlines of callers from making a busy server count as frozen.
	minTimeout   = 100 * time.Millisecond
	minAbandoned = time.Second

	// The recent latency is a mean over some 20 answers and the usual one over some 200. Both are plain means, so that
	// a steady mix of quick and slow work does not look like a slow server.
	recentWeight = 0.05
	usualWeight  = 0.005
	// reduceFactor is the factor of a reduction.
	reduceFactor = 0.7
)

// Limiter is the state of one server. It is not safe for concurrent use.
type Limiter struct {
	slots   int // declared concurrency slots
	limit   float64
	running int

	rampCount     int // answers since the limit last rose while cold
	cold          bool
	recentLatency float64 // latency in seconds
	usualLatency  float64
	samples       float64   // answers since the latency was last learnt anew
	lastReduced   time.Time // when the limit was last lowered

	failures  int // consecutive timeouts and breaks
	lastHold  time.Duration
	heldUntil time.Time // no request before
	frozen    bool
}

// New returns the state of a server that is not known to be warm, with its declared number of concurrency slots.
func New(slots int) *Limiter {
	return &Limiter{slots: max(1, slots), limit: 1, cold: true}
}

// SetSlots changes the declared number.
func (s *Limiter) SetSlots(n int) {
	s.slots = max(1, n)
	s.limit = min(s.limit, float64(s.slots))
}

// Running returns the number of requests in progress.
func (s *Limiter) Running() int { return s.running }

// Limit returns how many requests the server may run now if it is not held back.
func (s *Limiter) Limit() int {
	if s.frozen {
		return 1
	}
	return max(1, int(s.limit))
}

// Frozen reports whether the server is left alone after consecutive failures, but for trials.
func (s *Limiter) Frozen() bool { return s.frozen }

// Ready reports whether one more request may start.
func (s *Limiter) Ready(now time.Time) bool {
	return !now.Before(s.heldUntil) && s.running < s.Limit()
}

// HeldUntil returns when the server may be used again, the zero time if it is not held back.
func (s *Limiter) HeldUntil(now time.Time) time.Time {
	if now.Before(s.heldUntil) {
		return s.heldUntil
	}
	return time.Time{}
}

// Start records that a request starts.
func (s *Limiter) Start() { s.running++ }

// Finish records the end of a request after latency. hold is the time for which the server asked to be left alone,
// 0 if it named none.
func (s *Limiter) Finish(now time.Time, out Outcome, latency, hold time.Duration) {
	s.running--
	switch out {
	case Done:
		s.recordDone(now, latency)
	case Shed:
		s.recordShed(now, hold)
	case Timeout:
		if latency >= max(minTimeout, time.Duration(slowRatio*s.usualLatency*float64(time.Second))) {
			s.recordFailure(now)
		}
	case Abandoned:
		// Callers give up on a frozen server before their deadline; a little impatience says nothing.
		if latency >= max(minAbandoned, time.Duration(10*s.usualLatency*float64(time.Second))) {
			s.recordFailure(now)
		}
	case Broken:
		s.recordFailure(now)
	}
}

func (s *Limiter) recordDone(now time.Time, latency time.Duration) {
	if s.frozen {
		// The server may have been restarted: its usual latency and its limit have to be learnt again.
		s.frozen, s.cold, s.limit, s.rampCount, s.samples = false, true, 1, 0, 0
		s.heldUntil = time.Time{}
	}
	s.failures = 0
	// An answer to a request that started before a shedding server was left alone does not end that time.
	if !now.Before(s.heldUntil) {
		s.lastHold = 0
	}
	s.observeLatency(latency.Seconds())
	if s.recentLatency > slowRatio*s.usualLatency && !s.cold {
		s.reduceLimit(now)
		return
	}
	s.raiseLimit()
}

func (s *Limiter) observeLatency(sec float64) {
	s.samples++
	s.recentLatency += max(recentWeight, 1/s.samples) * (sec - s.recentLatency)
	s.usualLatency += max(usualWeight, 1/s.samples) * (sec - s.usualLatency)
}

func (s *Limiter) raiseLimit() {
	top := float64(s.slots)
	if !s.cold {
		s.limit = math.Min(top, s.limit+1/math.Max(1, s.limit)/rampAnswers)
		return
	}
	if s.rampCount++; s.rampCount >= rampAnswers {
		s.rampCount = 0
		s.limit = math.Min(top, s.limit+1)
	}
	s.cold = s.limit < top
}

// reduceLimit lowers the limit at most once in the time of one answer: answers of requests that started before the last
// change say nothing about it.
func (s *Limiter) reduceLimit(now time.Time) {
	if now.Sub(s.lastReduced).Seconds() < s.recentLatency {
		return
	}
	s.lastReduced = now
	s.limit = math.Max(1, s.limit*reduceFactor)
}

func (s *Limiter) recordShed(now time.Time, hold time.Duration) {
	s.failures = 0
	s.cold = false
	if s.frozen {
		// A refusal is an answer as well.
		s.frozen, s.limit, s.heldUntil = false, 1, time.Time{}
	}
	s.reduceLimit(now)
	s.holdBack(now, hold)
}

// holdBack holds the server back for the time that it asked for, or for a time that doubles.
func (s *Limiter) holdBack(now time.Time, hold time.Duration) {
	if now.Before(s.heldUntil) {
		return // requests that were in progress when the hold began
	}
	s.lastHold = min(maxHold, max(firstHold, 2*s.lastHold))
	if hold > 0 {
		s.lastHold = min(maxHold, hold)
	}
	s.heldUntil = now.Add(s.lastHold)
}

func (s *Limiter) recordFailure(now time.Time) {
	s.failures++
	if s.failures >= freezeAfter {
		s.frozen = true
	}
	if s.frozen {
		s.holdBack(now, 0)
	}
}
