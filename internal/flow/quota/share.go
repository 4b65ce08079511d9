package quota

import (
	"math"
	"time"
)

const (
	// shareFactor is the part of a limit that the instances use together while they reach no leader. The leader may have
	// permitted all of the limit until just before.
	shareFactor = 0.5
	// shareWindow is how long an instance may use a request that its share allows. Many instances with small shares would
	// otherwise save them up and use them at the same time.
	shareWindow = time.Second
	// shareReturn bounds the time after which a refused caller is asked to return: by then there is a leader again.
	shareReturn = time.Second
)

// Share is an instance's part of a limit while it reaches no leader. It is not safe for concurrent use.
type Share struct {
	credit float64
	since  time.Time
}

// NewShare returns a share. phase, from 0 to 1, differs between instances so that their first requests do not coincide.
func NewShare(now time.Time, phase float64) *Share {
	return &Share{credit: min(max(phase, 0), 1-1e-9), since: now}
}

// Take asks to send a request at a rate that so many instances share.
func (s *Share) Take(now time.Time, rate float64, instances int) Decision {
	if wait := s.Wait(now, rate, instances); wait > 0 {
		return Decision{Wait: wait, Return: min(wait, shareReturn)}
	}
	s.credit--
	return Decision{OK: true}
}

// Wait returns how long no request would be permitted.
func (s *Share) Wait(now time.Time, rate float64, instances int) time.Duration {
	own := max(rate, MinRate) * shareFactor / float64(max(1, instances))
	if d := now.Sub(s.since); d > 0 {
		s.credit += d.Seconds() * own
		s.since = now
	}
	whole := math.Floor(s.credit)
	recent := whole - max(0, math.Floor(s.credit-own*shareWindow.Seconds()))
	s.credit -= whole - recent
	return max(0, seconds((1-s.credit)/own))
}
