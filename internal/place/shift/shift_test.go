package shift_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/shift"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

func owner(i int) spans.Owner { return spans.Owner{Server: fmt.Sprint("s", i), StartMs: 1} }

func servers(capacities ...float64) (out []shift.Server) {
	for i, c := range capacities {
		out = append(out, shift.Server{Owner: owner(i), Capacity: c, AcceptsKeys: true})
	}
	return out
}

func noneFrozen(spans.Span) bool { return false }

// apply returns m after the moves.
func apply(m spans.Map, moves []shift.Move) spans.Map {
	for _, mv := range moves {
		m = m.Assign(spans.Span{First: mv.First, Last: mv.Last, Owner: mv.To})
	}
	return m
}

// settle plans and applies rounds until one has no moves, and returns the map and the number of rounds.
func settle(m spans.Map, s []shift.Server, l *shift.Loads, maxRounds int) (spans.Map, int) {
	for n := range maxRounds {
		moves := shift.Plan(m, s, l, true, noneFrozen)
		if len(moves) == 0 {
			return m, n
		}
		m = apply(m, moves)
	}
	return m, maxRounds
}

// utilisation returns the load of each server divided by its capacity.
func utilisation(m spans.Map, s []shift.Server, l *shift.Loads) []float64 {
	out := make([]float64, len(s))
	for i, x := range s {
		for _, span := range m {
			if span.Owner == x.Owner {
				out[i] += l.Sum(span.First, span.Last) / x.Capacity
			}
		}
	}
	return out
}

// Guards against a first plan that leaves keys without an owner or gives a slow server as many as a fast one.
func TestFirstAssignment(t *testing.T) {
	s := servers(10, 20, 10)
	m := apply(nil, shift.Plan(nil, s, new(shift.Loads), true, noneFrozen))
	if gaps := m.Gaps(); len(gaps) != 0 {
		t.Errorf("keys without an owner: %v", gaps)
	}
	if span := m.Find(30000); span == nil || span.Owner != owner(1) || span.Width() < 32000 {
		t.Errorf("key 30000 is in span %+v, want one of s1 with at least 32000 keys", span)
	}
}

// Guards against a range of busy keys that stays on one server.
func TestHotRange(t *testing.T) {
	s := servers(20, 20, 20, 20)
	m := apply(nil, shift.Plan(nil, s, new(shift.Loads), true, noneFrozen))
	l := new(shift.Loads)
	for i := range 60 {
		l[20000+i] = 0.8 // 48 requests per second on a server that can run 20
	}
	m, _ = settle(m, s, l, 20)
	for i, u := range utilisation(m, s, l) {
		if u > 0.9 {
			t.Errorf("server %d has utilisation %.2f, want at most 0.90", i, u)
		}
	}
}

// Guards against a server that loses one piece of its keys a round, 300 ms each, when a few adjacent keys become busy at once.
func TestBusyAdjacentKeys(t *testing.T) {
	var capacities []float64
	for range 100 {
		capacities = append(capacities, 25)
	}
	s, l := servers(capacities...), new(shift.Loads)
	m := apply(nil, shift.Plan(nil, s, l, true, noneFrozen))
	for k := range l {
		l[k] = 800.0 / float32(len(l))
	}
	for k := 30000; k < 30060; k++ {
		l[k] += 10 // 600 requests per second on one server or two
	}
	// Rounds are 0.3 s apart; overload has to end within 3 s.
	m, _ = settle(m, s, l, 10)
	for i, u := range utilisation(m, s, l) {
		if u > 1 {
			t.Errorf("server %d has %.1f times its capacity after ten rounds", i, u)
		}
	}
}

// Guards against adjacent busy keys that overload some of many servers for seconds: with a fixed number of moves per round,
// spreading them took ten rounds with 20 servers and 40 with 130.
func TestManyServers(t *testing.T) {
	var capacities []float64
	for range 130 {
		capacities = append(capacities, 18)
	}
	s := servers(capacities...)
	m := apply(nil, shift.Plan(nil, s, new(shift.Loads), true, noneFrozen))
	l := new(shift.Loads)
	for i := range 6000 {
		l[20000+i] = 0.2 // 1200 requests per second on 12 servers that can run 216
	}
	// Rounds are 0.3 s apart; almost all overload has to end within 3 s.
	m, _ = settle(m, s, l, 10)
	overloaded := 0
	for _, u := range utilisation(m, s, l) {
		if u > 1 {
			overloaded++
		}
	}
	if overloaded > 3 {
		t.Errorf("%d servers are overloaded after ten rounds", overloaded)
	}
}

// Guards against a key that is too heavy for any server and moves from one to the next: its neighbours move away instead, and
// only a clearly faster server gets it.
func TestHeavyKey(t *testing.T) {
	s := servers(20, 21, 22, 20)
	m := apply(nil, shift.Plan(nil, s, new(shift.Loads), true, noneFrozen))
	l := new(shift.Loads)
	l[100] = 28
	for i := range 50 {
		l[200+i] = 0.2
	}
	before := m.Find(100).Owner
	m, rounds := settle(m, s, l, 30)
	if m.Find(100).Owner != before || rounds == 30 {
		t.Errorf("the heavy key moved from %v to %v in %d rounds", before, m.Find(100).Owner, rounds)
	}
	if spanLoad := l.Sum(m.Find(100).First, m.Find(100).Last); spanLoad > 28.1 {
		t.Errorf("the heavy key shares its span with a load of %.1f", spanLoad-28)
	}
	s = servers(20, 40, 20, 20)
	if m, _ = settle(m, s, l, 30); m.Find(100).Owner != owner(1) {
		t.Errorf("the heavy key is on %v and not on the server with twice the capacity", m.Find(100).Owner)
	}
}

// Guards against a leaving server that keeps keys, and against a joining server that gets none.
func TestLeaveAndJoin(t *testing.T) {
	s := servers(20, 20, 20)
	m := apply(nil, shift.Plan(nil, s, new(shift.Loads), true, noneFrozen))
	s[0].AcceptsKeys = false
	s = append(s, shift.Server{Owner: owner(9), Capacity: 20, AcceptsKeys: true})
	m = apply(m, shift.Plan(m, s, new(shift.Loads), false, noneFrozen))
	for _, span := range m {
		if span.Owner == owner(0) {
			t.Errorf("keys %d to %d stay on the leaving server", span.First, span.Last)
		}
	}
	l := new(shift.Loads)
	for i := range l {
		l[i] = 40.0 / float32(len(l))
	}
	m, _ = settle(m, s, l, 30)
	if u := utilisation(m, s, l); u[3] < 0.3 {
		t.Errorf("the server that joined has utilisation %.2f; all: %.2f", u[3], u)
	}
}

// Guards against moves caused only by the noise of the counts: each interrupts service of its keys.
func TestNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := servers(20, 20, 20, 20, 20, 20)
	m := apply(nil, shift.Plan(nil, s, new(shift.Loads), true, noneFrozen))
	moves := 0
	for range 50 {
		l := new(shift.Loads)
		// 30 requests per second over 1.5 s.
		for range 45 {
			l[rng.IntN(len(l))] += 1 / 1.5
		}
		moves += len(shift.Plan(m, s, l, true, noneFrozen))
	}
	if moves > 10 {
		t.Errorf("%d moves in 50 plans of an even load, want at most 10", moves)
	}
}

// Guards against overlapping moves, moves to leaving servers, moves of frozen spans and rounds that raise the highest
// utilisation.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 12).Draw(t, "servers")
		s := make([]shift.Server, n)
		for i := range s {
			s[i] = shift.Server{Owner: owner(i), Capacity: 5 + 30*rng.Float64(), AcceptsKeys: rng.IntN(5) > 0}
		}
		var m spans.Map
		for next := 0; next <= spans.Last; {
			last := min(spans.Last, next+rng.IntN(9000))
			if rng.IntN(12) > 0 {
				m = append(m, spans.Span{First: uint16(next), Last: uint16(last), Owner: owner(rng.IntN(n + 1))})
			}
			next = last + 1
		}
		l := new(shift.Loads)
		for range 200 {
			l[rng.IntN(len(l))] += rng.Float32()
		}
		frozen := func(p spans.Span) bool { return p.First%5 == 0 }
		moves := shift.Plan(m, s, l, true, frozen)
		var seen spans.Map
		for _, mv := range moves {
			if len(seen.Clip(mv.First, mv.Last)) > 0 {
				t.Fatalf("keys %d to %d move twice", mv.First, mv.Last)
			}
			seen = seen.Assign(spans.Span{First: mv.First, Last: mv.Last, Owner: mv.To})
			for _, x := range s {
				if x.Owner == mv.To && !x.AcceptsKeys {
					t.Fatalf("keys move to %v, which accepts no keys", mv.To)
				}
			}
			for _, p := range m.Clip(mv.First, mv.Last) {
				if whole := m.Find(p.First); frozen(*whole) {
					t.Fatalf("keys of the frozen span %d to %d move", whole.First, whole.Last)
				}
			}
		}
	})
}

// The first plan of a pool divides its keys in proportion to the capacities.
func ExamplePlan() {
	servers := []shift.Server{
		{Owner: spans.Owner{Server: "a"}, Capacity: 10, AcceptsKeys: true},
		{Owner: spans.Owner{Server: "b"}, Capacity: 30, AcceptsKeys: true},
	}
	for _, mv := range shift.Plan(nil, servers, new(shift.Loads), true, func(spans.Span) bool { return false }) {
		fmt.Println(mv.First, mv.Last, mv.To.Server)
	}
	// Output:
	// 0 16383 a
	// 16384 65535 b
}
