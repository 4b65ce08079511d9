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
	// rampStep answers raise the limit of a cold server by one.
	rampStep = 4
	// slow is the ratio of the recent to the usual latency above which the limit is lowered.
	slow = 3
	// minFreeze keeps short deadlines of callers from making a busy server count as frozen.
	minFreeze    = 100 * time.Millisecond
	minAbandoned = time.Second

	// The recent latency is a mean over some 20 answers and the usual one over some 200. Both are plain means, so that
	// a steady mix of quick and slow work does not look like a slow server.
	recentWeight = 0.05
	usualWeight  = 0.005
	// lower is the factor of a reduction.
	lower = 0.7
)

// Server is the state of one server. It is not safe for concurrent use.
type Server struct {
	slots   int // declared concurrency slots
	limit   float64
	running int

	good    int // answers since the limit last rose while cold
	cold    bool
	recent  float64 // latency in seconds
	usual   float64
	seen    float64   // answers since the latency was last learnt anew
	cutback time.Time // when the limit was last lowered

	failures int // consecutive timeouts and breaks
	hold     time.Duration
	until    time.Time // no request before
	frozen   bool
}

// New returns the state of a server that is not known to be warm, with its declared number of concurrency slots.
func New(slots int) *Server {
	return &Server{slots: max(1, slots), limit: 1, cold: true}
}

// SetSlots changes the declared number.
func (s *Server) SetSlots(n int) {
	s.slots = max(1, n)
	s.limit = min(s.limit, float64(s.slots))
}

// Running returns the number of requests in progress.
func (s *Server) Running() int { return s.running }

// Limit returns how many requests the server may run now if it is not held back.
func (s *Server) Limit() int {
	if s.frozen {
		return 1
	}
	return max(1, int(s.limit))
}

// Frozen reports whether the server is left alone after consecutive failures, but for trials.
func (s *Server) Frozen() bool { return s.frozen }

// Ready reports whether one more request may start.
func (s *Server) Ready(now time.Time) bool {
	return !now.Before(s.until) && s.running < s.Limit()
}

// Until returns when the server may be used again, the zero time if it is not held back.
func (s *Server) Until(now time.Time) time.Time {
	if now.Before(s.until) {
		return s.until
	}
	return time.Time{}
}

// Start records that a request starts.
func (s *Server) Start() { s.running++ }

// Finish records the end of a request after latency. hold is the time for which the server asked to be left alone,
// 0 if it named none.
func (s *Server) Finish(now time.Time, out Outcome, latency, hold time.Duration) {
	s.running--
	switch out {
	case Done:
		s.done(now, latency)
	case Shed:
		s.shed(now, hold)
	case Timeout:
		if latency >= max(minFreeze, time.Duration(slow*s.usual*float64(time.Second))) {
			s.fail(now)
		}
	case Abandoned:
		// Callers give up on a frozen server before their deadline; a little impatience says nothing.
		if latency >= max(minAbandoned, time.Duration(10*s.usual*float64(time.Second))) {
			s.fail(now)
		}
	case Broken:
		s.fail(now)
	}
}

func (s *Server) done(now time.Time, latency time.Duration) {
	if s.frozen {
		// The server may have been restarted: its usual latency and its limit have to be learnt again.
		s.frozen, s.cold, s.limit, s.good, s.seen = false, true, 1, 0, 0
		s.until = time.Time{}
	}
	s.failures = 0
	// An answer to a request that started before a shedding server was left alone does not end that time.
	if !now.Before(s.until) {
		s.hold = 0
	}
	s.observe(latency.Seconds())
	if s.recent > slow*s.usual && !s.cold {
		s.reduce(now)
		return
	}
	s.grow()
}

func (s *Server) observe(sec float64) {
	s.seen++
	s.recent += max(recentWeight, 1/s.seen) * (sec - s.recent)
	s.usual += max(usualWeight, 1/s.seen) * (sec - s.usual)
}

func (s *Server) grow() {
	top := float64(s.slots)
	if !s.cold {
		s.limit = math.Min(top, s.limit+1/math.Max(1, s.limit)/rampStep)
		return
	}
	if s.good++; s.good >= rampStep {
		s.good = 0
		s.limit = math.Min(top, s.limit+1)
	}
	s.cold = s.limit < top
}

// reduce lowers the limit at most once in the time of one answer: answers of requests that started before the last
// change say nothing about it.
func (s *Server) reduce(now time.Time) {
	if now.Sub(s.cutback).Seconds() < s.recent {
		return
	}
	s.cutback = now
	s.limit = math.Max(1, s.limit*lower)
}

func (s *Server) shed(now time.Time, hold time.Duration) {
	s.failures = 0
	s.cold = false
	if s.frozen {
		// A refusal is an answer as well.
		s.frozen, s.limit, s.until = false, 1, time.Time{}
	}
	s.reduce(now)
	s.rest(now, hold)
}

// rest holds the server back for the time that it asked for, or for a time that doubles.
func (s *Server) rest(now time.Time, hold time.Duration) {
	if now.Before(s.until) {
		return // requests that were in progress when the hold began
	}
	s.hold = min(maxHold, max(firstHold, 2*s.hold))
	if hold > 0 {
		s.hold = min(maxHold, hold)
	}
	s.until = now.Add(s.hold)
}

func (s *Server) fail(now time.Time) {
	s.failures++
	if s.failures >= freezeAfter {
		s.frozen = true
	}
	if s.frozen {
		s.rest(now, 0)
	}
}
