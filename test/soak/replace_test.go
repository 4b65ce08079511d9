package soak_test

import (
	"math/rand/v2"
	"time"
)

// replaceServers crashes servers of both services now and then and starts others at once at their addresses, at times several times in a
// row. The entry of the crashed one stays for a while. It has a generator of its own, as nameLimits has.
func (s *soak) replaceServers() {
	defer s.wg.Done()
	rng := rand.New(rand.NewPCG(s.seed, 14))
	for {
		s.pause(time.Duration(1000+rng.IntN(4000)) * time.Millisecond)
		select {
		case <-s.end:
			return
		default:
		}
		live := s.Live([]string{"stock", "orders"}[rng.IntN(2)])
		x := live[rng.IntN(len(live))]
		if !s.hold(x.ID) {
			continue
		}
		held := []string{x.ID}
		for range 1 + rng.IntN(3) {
			s.note("server %s crashes, and another one begins at its address", x.ID)
			next, err := s.Replace(x)
			if err != nil {
				s.t.Error(err)
				break
			}
			go s.expire(x.ID)
			if x = next; !s.hold(x.ID) {
				break // another fault acts on it already
			}
			held = append(held, x.ID)
			s.pause(time.Duration(50+rng.IntN(1500)) * time.Millisecond)
		}
		for _, id := range held {
			s.free(id)
		}
	}
}

// expire removes the entry of a crashed server after three heartbeats, once the store takes it.
func (s *soak) expire(id string) {
	time.Sleep(3 * s.Heartbeat)
	for !s.Store.Put("keyed.servers", id, "") {
		time.Sleep(s.Heartbeat)
	}
}
