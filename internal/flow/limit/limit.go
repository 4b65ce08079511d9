// Package limit decides how many requests a server may run at the same time, from how its requests end. The caller gives
// the current time and serialises all calls.
package limit

import (
	"math"
	"time"
)

// Outcome is how a request at a server ended.
type Outcome uint8

const (
	// Done means that the whole answer came.
	Done Outcome = iota
	// Shed means that the server refused the request.
	Shed
	// Timeout means that no whole answer came within the deadline.
	Timeout
	// Broken means that the connection could not be opened or was lost.
	Broken
	// Abandoned means that the caller gave up before the deadline.
	Abandoned
	// Neutral says nothing about the server, for example because the request was never sent.
	Neutral
)

const (
	// freezeAfter is how many consecutive failures make a server count as frozen.
	freezeAfter = 2
	// firstHold is how long a frozen or shedding server gets no requests at first. The time doubles with each failure up
	// to maxHold, which also bounds the time that a server asks for.
	firstHold = 250 * time.Millisecond
	maxHold   = 4 * time.Second
	// rampAnswers is how many answers raise the limit of a cold server by one.
	rampAnswers = 4
	// slowRatio is the ratio of the recent to the usual latency above which the limit is lowered.
	slowRatio = 3
	// minTimeout and minAbandoned are the least latencies of outcomes that count as failures, so that short deadlines of
	// callers don't freeze a busy server.
	minTimeout   = 100 * time.Millisecond
	minAbandoned = time.Second

	// recentLatency is a mean over some 20 answers, usualLatency over some 200. Both are plain means, so that a steady
	// mix of quick and slow work doesn't look like a slow server.
	recentWeight = 0.05
	usualWeight  = 0.005
	// reduceFactor is the factor by which the limit is lowered.
	reduceFactor = 0.7
)

// Limiter limits the requests of one server. It is not safe for concurrent use.
type Limiter struct {
	slots   int // declared concurrency slots
	limit   float64
	running int

	rampCount     int // answers since the limit last rose while cold
	cold          bool
	recentLatency float64 // in seconds
	usualLatency  float64 // in seconds
	samples       float64 // answers since the latencies were reset
	lastReduced   time.Time

	failures  int // consecutive ones
	lastHold  time.Duration
	heldUntil time.Time // no request starts before
	frozen    bool
}

// New returns a Limiter for a cold server with the declared number of concurrency slots.
func New(slots int) *Limiter {
	return &Limiter{slots: max(1, slots), limit: 1, cold: true}
}

// SetSlots changes the declared number of concurrency slots.
func (l *Limiter) SetSlots(n int) {
	l.slots = max(1, n)
	l.limit = min(l.limit, float64(l.slots))
}

// Running returns the number of requests in progress.
func (l *Limiter) Running() int { return l.running }

// Limit returns how many requests the server may run at the same time if it is not held back.
func (l *Limiter) Limit() int {
	if l.frozen {
		return 1
	}
	return max(1, int(l.limit))
}

// Frozen reports whether the server gets only single trial requests after consecutive failures.
func (l *Limiter) Frozen() bool { return l.frozen }

// Ready reports whether one more request may start.
func (l *Limiter) Ready(now time.Time) bool {
	return !now.Before(l.heldUntil) && l.running < l.Limit()
}

// HeldUntil returns when the server may be used again, or the zero time if it is not held back.
func (l *Limiter) HeldUntil(now time.Time) time.Time {
	if now.Before(l.heldUntil) {
		return l.heldUntil
	}
	return time.Time{}
}

// Start records that a request starts.
func (l *Limiter) Start() { l.running++ }

// Finish records how a request ended. hold is how long the server asked to get no requests, 0 if it gave no time.
func (l *Limiter) Finish(now time.Time, out Outcome, latency, hold time.Duration) {
	l.running--
	switch out {
	case Done:
		l.recordDone(now, latency)
	case Shed:
		l.recordShed(now, hold)
	case Timeout:
		if latency >= max(minTimeout, time.Duration(slowRatio*l.usualLatency*float64(time.Second))) {
			l.recordFailure(now)
		}
	case Abandoned:
		// Callers give up on a frozen server before their deadline. One that gives up early says nothing about it.
		if latency >= max(minAbandoned, time.Duration(10*l.usualLatency*float64(time.Second))) {
			l.recordFailure(now)
		}
	case Broken:
		l.recordFailure(now)
	}
}

func (l *Limiter) recordDone(now time.Time, latency time.Duration) {
	if l.frozen {
		// The server may have restarted: its usual latency and its limit have to be learnt again.
		l.frozen, l.cold, l.limit, l.rampCount, l.samples = false, true, 1, 0, 0
		l.heldUntil = time.Time{}
	}
	l.failures = 0
	// An answer to a request that started before the hold of a shedding server doesn't end that hold.
	if !now.Before(l.heldUntil) {
		l.lastHold = 0
	}
	l.observeLatency(latency.Seconds())
	if l.recentLatency > slowRatio*l.usualLatency && !l.cold {
		l.reduceLimit(now)
		return
	}
	l.raiseLimit()
}

func (l *Limiter) observeLatency(sec float64) {
	l.samples++
	l.recentLatency += max(recentWeight, 1/l.samples) * (sec - l.recentLatency)
	l.usualLatency += max(usualWeight, 1/l.samples) * (sec - l.usualLatency)
}

func (l *Limiter) raiseLimit() {
	top := float64(l.slots)
	if !l.cold {
		l.limit = math.Min(top, l.limit+1/math.Max(1, l.limit)/rampAnswers)
		return
	}
	if l.rampCount++; l.rampCount >= rampAnswers {
		l.rampCount = 0
		l.limit = math.Min(top, l.limit+1)
	}
	l.cold = l.limit < top
}

// reduceLimit lowers the limit, at most once per recent latency: answers to requests that started before the last
// reduction don't show its effect.
func (l *Limiter) reduceLimit(now time.Time) {
	if now.Sub(l.lastReduced).Seconds() < l.recentLatency {
		return
	}
	l.lastReduced = now
	l.limit = math.Max(1, l.limit*reduceFactor)
}

func (l *Limiter) recordShed(now time.Time, hold time.Duration) {
	l.failures = 0
	l.cold = false
	if l.frozen {
		// A refusal shows that the server answers again.
		l.frozen, l.limit, l.heldUntil = false, 1, time.Time{}
	}
	l.reduceLimit(now)
	l.holdBack(now, hold)
}

// holdBack lets no request start for the time that the server asked for, or for twice the last hold if it gave none.
func (l *Limiter) holdBack(now time.Time, hold time.Duration) {
	if now.Before(l.heldUntil) {
		return // the request started before the current hold
	}
	l.lastHold = min(maxHold, max(firstHold, 2*l.lastHold))
	if hold > 0 {
		l.lastHold = min(maxHold, hold)
	}
	l.heldUntil = now.Add(l.lastHold)
}

func (l *Limiter) recordFailure(now time.Time) {
	l.failures++
	if l.failures >= freezeAfter {
		l.frozen = true
	}
	if l.frozen {
		l.holdBack(now, 0)
	}
}
