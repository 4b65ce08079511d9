package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

// Guards against limits below 1 or above the declared slots, against using a server while it is held back, and against
// never using it again.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		s := limit.New(slots)
		now, running := start, 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				if !s.Ready(now) {
					t.Skip("not ready")
				}
				s.Start()
				running++
			},
			"finish": func(t *rapid.T) {
				if running == 0 {
					t.Skip("nothing runs")
				}
				running--
				out := limit.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))
				took := time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * ms
				s.Finish(now, out, took, time.Duration(rapid.IntRange(0, 9).Draw(t, "hold"))*time.Second)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "wait")) * ms)
			},
			"": func(t *rapid.T) {
				if s.Running() != running || s.Limit() < 1 || s.Limit() > slots || (s.Frozen() && s.Limit() != 1) {
					t.Fatalf("limit %d of %d, %d running, want %d", s.Limit(), slots, s.Running(), running)
				}
				until := s.HeldUntil(now)
				if !until.IsZero() && (s.Ready(now) || until.Sub(now) > 4*time.Second) {
					t.Fatalf("ready %v, held back for %v", s.Ready(now), until.Sub(now))
				}
				if running == 0 && !s.Ready(now.Add(4*time.Second)) {
					t.Fatal("idle server still not ready after 4 s")
				}
			},
		})
	})
}

// finishRequests completes n requests one after the other.
func finishRequests(s *limit.Limiter, now time.Time, n int, out limit.Outcome, took time.Duration) {
	for range n {
		s.Start()
		s.Finish(now, out, took, 0)
	}
}

// Guards against a cold server that gets its full load at once, or never gets it.
func TestSlowStart(t *testing.T) {
	s := limit.New(3)
	if s.Limit() != 1 {
		t.Errorf("limit %d of a cold server, want 1", s.Limit())
	}
	finishRequests(s, start, 4, limit.Done, 10*ms)
	if s.Limit() != 2 {
		t.Errorf("limit %d after four answers, want 2", s.Limit())
	}
	finishRequests(s, start, 4, limit.Done, 10*ms)
	if s.Limit() != 3 {
		t.Errorf("limit %d after eight answers, want 3", s.Limit())
	}
}

// Guards against a frozen server that keeps getting requests, gets more than one trial at a time, or isn't held back
// longer after each failed trial; and against short deadlines of callers freezing a server.
func TestFrozen(t *testing.T) {
	s := limit.New(3)
	finishRequests(s, start, 8, limit.Done, 10*ms)
	finishRequests(s, start, 3, limit.Timeout, 5*ms)
	finishRequests(s, start, 3, limit.Abandoned, 500*ms)
	if s.Frozen() {
		t.Error("frozen by short deadlines or callers that gave up early")
	}
	finishRequests(s, start, 1, limit.Timeout, time.Second)
	finishRequests(s, start, 1, limit.Abandoned, 2*time.Second)
	if !s.Frozen() || s.Ready(start.Add(249*ms)) {
		t.Fatal("not frozen, or ready before 250 ms")
	}
	now := start.Add(250 * ms)
	s.Start()
	if s.Ready(now) {
		t.Error("ready for a second trial while one runs")
	}
	s.Finish(now, limit.Timeout, time.Second, 0)
	if got := s.HeldUntil(now).Sub(now); got != 500*ms {
		t.Errorf("second hold %v, want 500 ms", got)
	}
	finishRequests(s, now.Add(time.Second), 1, limit.Done, 10*ms)
	if s.Frozen() || !s.Ready(now.Add(time.Second)) || s.Limit() != 1 {
		t.Error("not ready with a limit of 1 after a trial that succeeded")
	}
}

// Guards against ignoring the hold that a shedding server asks for: an answer to an older request must not end it, and a
// second refusal must not extend it.
func TestShedding(t *testing.T) {
	s := limit.New(3)
	finishRequests(s, start, 8, limit.Done, 10*ms)
	s.Start()
	s.Start()
	s.Start()
	s.Finish(start, limit.Shed, ms, 2*time.Second)
	s.Finish(start.Add(ms), limit.Shed, ms, 2*time.Second)
	s.Finish(start.Add(2*ms), limit.Done, 10*ms, 0)
	if got := s.HeldUntil(start.Add(2 * ms)); !got.Equal(start.Add(2 * time.Second)) {
		t.Errorf("held back for %v, want 2 s", got.Sub(start))
	}
	if s.Limit() >= 3 || s.Frozen() {
		t.Errorf("limit %d, frozen %v, want a limit below 3 and not frozen", s.Limit(), s.Frozen())
	}
}

// Guards against a limit that isn't lowered when latency rises far above the usual, and against one that is lowered
// because quick and slow work are mixed.
func TestSlow(t *testing.T) {
	s := limit.New(8)
	for range 400 {
		finishRequests(s, start, 1, limit.Done, 2*ms)
		finishRequests(s, start, 1, limit.Done, 50*ms)
	}
	if s.Limit() != 8 {
		t.Errorf("limit %d with mixed work, want 8", s.Limit())
	}
	s = limit.New(8)
	finishRequests(s, start, 400, limit.Done, 10*ms)
	now := start
	for range 20 {
		now = now.Add(time.Second)
		finishRequests(s, now, 1, limit.Done, 200*ms)
	}
	if s.Limit() > 4 {
		t.Errorf("limit %d of a slow server, want at most 4", s.Limit())
	}
}
