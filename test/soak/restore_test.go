package soak_test

import (
	"math/rand/v2"
	"time"

	"github.com/bramleycove/bramleycove/test/stands"
)

// restoreStore takes the store away now and then and brings it back from an older copy. It has a generator of its own, as
// nameLimits has.
func (s *soak) restoreStore() {
	defer s.wg.Done()
	rng := rand.New(rand.NewPCG(s.seed, 13))
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	for {
		s.pause(span(2*time.Second, 9*time.Second))
		select {
		case <-s.end:
			return
		default:
		}
		if !s.hold("store") {
			continue
		}
		ago, mode := span(time.Second, 9*time.Second), []stands.Mode{stands.Busy, stands.Silent}[rng.IntN(2)]
		s.note("store in mode %d, then restored from a copy of %v before", mode, ago)
		s.Store.Set(mode)
		s.pause(span(200*time.Millisecond, 3*time.Second))
		s.Store.Restore(ago, span(50*time.Millisecond, 500*time.Millisecond))
		s.Store.Set(stands.Up)
		s.free("store")
	}
}
