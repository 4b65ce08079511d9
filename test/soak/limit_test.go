package soak_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleycove/bramleycove/test/stands"
)

const (
	// learnTime is how long after a server first names its limit the limit binds, and how long after a disturbance of an
	// instance its requests are not counted.
	learnTime = 3 * time.Second
	// limitWindow is the length of the windows in which arrivals are counted.
	limitWindow = 4 * time.Second
)

// disturbance is a time in which an instance was killed, stopped or suspended.
type disturbance struct{ from, until time.Time }

// disturb notes that an instance is disturbed until the returned function is called.
func (s *soak) disturb(instance string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &disturbance{from: time.Now(), until: time.Now().Add(time.Hour)}
	s.disturbed[instance] = append(s.disturbed[instance], d)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		d.until = time.Now()
	}
}

func (s *soak) wasDisturbed(instance string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.disturbed[instance] {
		if at.After(d.from) && at.Before(d.until.Add(learnTime)) {
			return true
		}
	}
	return false
}

// nameLimits lets one server after the other name a limit, until the faults end. It has a generator of its own, so that seeds
// that once failed draw the same other faults.
func (s *soak) nameLimits() {
	defer s.wg.Done()
	rng := rand.New(rand.NewPCG(s.seed, 12))
	for {
		live := s.Live([]string{"stock", "orders"}[rng.IntN(2)])
		x, rate := live[rng.IntN(len(live))], 1+5*rng.Float64()
		if s.hold(x.ID) {
			s.note("server %s names a limit of %.1f", x.ID, rate)
			from := time.Now()
			x.NameLimit(fmt.Sprintf("%.3f", rate))
			s.pause(time.Duration(5000+rng.IntN(4000)) * time.Millisecond)
			until := time.Now()
			x.NameLimit("")
			s.checkLimit(x, rate, from, until)
			s.free(x.ID)
		}
		select {
		case <-s.end:
			return
		case <-time.After(time.Duration(300+rng.IntN(1000)) * time.Millisecond):
		}
	}
}

// checkLimit fails the test if a server got more requests than it had named, from instances that were not disturbed.
func (s *soak) checkLimit(x *stands.Server, rate float64, from, until time.Time) {
	instanceOf := make(map[string]string)
	for _, c := range s.Calls() {
		instanceOf[c.ID] = c.Instance
	}
	var arrivals []stands.Arrival
	for _, a := range x.Arrivals() {
		if a.At.After(from.Add(learnTime)) && a.At.Before(until) && !s.wasDisturbed(instanceOf[a.Request], a.At) {
			arrivals = append(arrivals, a)
		}
	}
	if n, most := stands.MostInWindow(arrivals, limitWindow), int(1.5*rate*limitWindow.Seconds())+5; n > most {
		s.t.Errorf("seed %d: %s named %.1f requests a second at %s and got %d in %v, want %d at most", s.seed, x.ID, rate, from.Format("05.000"), n, limitWindow, most)
	}
}
