package tenure_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/tenure"
)

var epoch = time.Unix(1000, 0)

// store accepts a record if it was built on the newest one.
type store struct{ records []tenure.Lead }

func (s *store) append(at int, l tenure.Lead) (tenure.Lead, bool) {
	if at != len(s.records) {
		return l, false
	}
	l.Offset = uint64(at + 1)
	s.records = append(s.records, l)
	return l, true
}

// Guards against an instance that acts longer than the lease after its last confirmed append, against two terms with one
// number, and against a deployment without a leader while the store answers: answers are late or lost, and instances
// stand still.
func TestOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := new(store)
		var all []*tenure.Tenure
		for i := range 3 {
			all = append(all, &tenure.Tenure{Self: fmt.Sprint("i", i)})
		}
		busy := make([]time.Duration, len(all))
		appended := make(map[string]time.Duration) // start of the last append that the store took
		terms := make(map[uint64]string)
		led := time.Duration(0)
		for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
			for i, x := range all {
				if busy[i] > now {
					continue
				}
				at := epoch.Add(now)
				if n := len(s.records); n > 0 {
					x.Observe(at, s.records[n-1])
				}
				if !x.Due(at) && !x.Claimable(at, i) {
					continue
				}
				took := time.Duration(rng.IntN(300)) * time.Millisecond
				if rng.IntN(20) == 0 {
					took = time.Duration(rng.IntN(6000)) * time.Millisecond // it stands still
				}
				busy[i] = now + took
				l, ok := s.append(len(s.records), x.Next(rng.Uint64(), nil, false))
				if !ok {
					continue
				}
				if holder := terms[l.Term]; holder != "" && holder != x.Self {
					t.Fatalf("term %d is of %s and of %s", l.Term, holder, x.Self)
				}
				terms[l.Term], appended[x.Self] = x.Self, now
				if rng.IntN(10) > 0 { // else the answer is lost
					x.Confirmed(at.Add(took), at, l)
				}
			}
			for _, x := range all {
				if x.Holds(epoch.Add(now), nil) {
					led = now
					if age := now - appended[x.Self]; age >= tenure.Lease {
						t.Fatalf("%s acts %v after its last append", x.Self, age)
					}
				}
			}
			if now-led > 30*time.Second {
				t.Fatalf("nobody led from %v to %v", led, now)
			}
		}
	})
}

// Guards against a holder that goes on after another instance's claim, and against a claim beside a live holder.
func TestSuccession(t *testing.T) {
	a, b := &tenure.Tenure{Self: "a"}, &tenure.Tenure{Self: "b"}
	first := a.Next(1, nil, false)
	first.Offset = 1
	a.Confirmed(epoch, epoch, first)
	b.Observe(epoch, first)
	if b.Claimable(epoch.Add(time.Second), 0) {
		t.Error("a lead of one second ago can be claimed")
	}
	late := epoch.Add(5 * time.Second)
	if !b.Claimable(late, 0) {
		t.Error("a lead of five seconds ago cannot be claimed")
	}
	second := b.Next(2, nil, false)
	second.Offset = 2
	b.Confirmed(late, late, second)
	a.Observe(late, second)
	if a.Leads() || !b.Holds(late, nil) || second.Term != first.Term+1 {
		t.Errorf("a leads %v, b holds %v, term %d", a.Leads(), b.Holds(late, nil), second.Term)
	}
	resigned := b.Next(3, nil, false)
	resigned.Offset, resigned.Resigned = 3, true
	a.Observe(late, resigned)
	if !a.Claimable(late, 0) {
		t.Error("a lead that was given up cannot be claimed at once")
	}
}

// Guards against a late succession: renewals are not passed on, and a member that reads one in the store which it knew from
// the holder's pushes must not count the silence from then.
func TestRenewedByWord(t *testing.T) {
	a, b := &tenure.Tenure{Self: "a"}, &tenure.Tenure{Self: "b"}
	first := a.Next(1, nil, false)
	b.Observe(epoch, first)
	if b.Claimable(epoch.Add(time.Second), 0) {
		t.Error("a lead of a second ago, the first record of all, can be claimed")
	}
	b.Renewed(epoch.Add(3*time.Second), "a", first.Term, 5)
	if b.Claimable(epoch.Add(4*time.Second), 0) {
		t.Error("a lead renewed a second ago can be claimed")
	}
	first.Offset, first.Members = 5, []string{"a", "b"}
	b.Observe(epoch.Add(4400*time.Millisecond), first)
	if l, _ := b.Lead(); len(l.Members) != 2 {
		t.Error("the record's members do not count, as its holder told of it before")
	}
	if !b.Claimable(epoch.Add(4700*time.Millisecond), 0) {
		t.Error("a lead renewed 1.7s ago cannot be claimed")
	}
	b.Renewed(epoch.Add(5*time.Second), "a", first.Term-1, 6)
	b.Renewed(epoch.Add(5*time.Second), "c", first.Term, 6)
	if !b.Claimable(epoch.Add(5*time.Second), 0) {
		t.Error("the word of another holder counts")
	}
}

// exchange is a push of the leader of a term and its answer, on the grid of time of TestWitnesses.
type exchange struct {
	member              int
	term                uint64
	start, arrival, end time.Time
	earlier             time.Time // last push of the old leader that the member took, or its start
	taken               bool      // the member follows, and is a witness
}

func newExchange(rng *rand.Rand, now time.Time, member int, term uint64) exchange {
	arrival := now.Add(time.Duration(rng.IntN(16)) * 50 * time.Millisecond)
	return exchange{
		member: member, term: term, start: now, arrival: arrival, end: arrival.Add(time.Duration(1+rng.IntN(16)) * 50 * time.Millisecond),
	}
}

// Guards against a leader and its successor that both count on a majority: witnesses that restart, cut pairs of instances,
// members that follow late, pushes that overtake each other.
func TestWitnesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 7).Draw(t, "members")
		members := make([]string, n)
		follows := make([]uint64, n) // newest term that a member follows
		starts := make([]uint64, n)  // term at its start
		earlier := make([]time.Time, n)
		for i := range members {
			members[i] = fmt.Sprint("m", i)
			follows[i], earlier[i] = 1, epoch
		}
		old, succession := tenure.NewWitnesses(members), tenure.NewWitnesses(members)
		a := &tenure.Tenure{Self: "a"}
		first := a.Next(1, members, false)
		first.Offset = 1
		a.Confirmed(epoch, epoch, first)
		claim := epoch.Add(time.Duration(2+rng.IntN(6)) * time.Second)
		renewed := epoch.Add(time.Duration(rng.Int64N(int64(claim.Sub(epoch))))) // the successor saw the renewal then
		ended, known := time.Time{}, false
		var under []exchange
		for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
			i := rng.IntN(n)
			claimed := !now.Before(claim)
			switch rng.IntN(4) {
			case 0: // a push of the old leader
				under = append(under, newExchange(rng, now, i, 1))
			case 1: // a push of the successor
				if claimed {
					under = append(under, newExchange(rng, now, i, 2))
				}
			case 2: // a restart, at which the member may or may not reach the store
				if rng.IntN(4) == 0 {
					starts[i], follows[i], earlier[i] = 1, 1, now
					if claimed && rng.IntN(2) == 0 {
						starts[i], follows[i] = 2, 2
					}
				}
			}
			for x := range under {
				x := &under[x]
				switch {
				case now.Equal(x.arrival):
					follows[x.member] = max(follows[x.member], x.term)
					if follows[x.member] == 1 {
						earlier[x.member] = now
					}
					x.earlier = earlier[x.member]
					x.taken = follows[x.member] == x.term && starts[x.member] < x.term
				case !now.Equal(x.end) || !x.taken:
				case x.term == 1:
					old.Follows(members[x.member], x.start, x.start)
				default:
					succession.Follows(members[x.member], x.start, x.earlier)
				}
			}
			if _, ok := succession.Majority(); ok && !known {
				known, ended = true, tenure.Ended(renewed, succession)
			}
			if known && now.After(ended) && a.Holds(now, old) {
				t.Fatalf("the old leader acts at %v, the successor counts on its end at %v", now.Sub(epoch), ended.Sub(epoch))
			}
			if claimed && now.After(renewed.Add(tenure.Extension)) && a.Holds(now, old) {
				t.Fatal("the old leader acts beyond the extension")
			}
		}
	})
}

// Guards against a successor that counts on a member from its own claim on, when that member goes on to follow the earlier
// holder until the successor's push arrives.
func TestEndedAfterLatePush(t *testing.T) {
	members := []string{"holder", "successor", "member"}
	holder, old, succession := &tenure.Tenure{Self: "holder"}, tenure.NewWitnesses(members), tenure.NewWitnesses(members)
	first := holder.Next(1, members, false)
	first.Offset = 1
	holder.Confirmed(epoch, epoch, first)
	claim := epoch.Add(2 * time.Second)
	succession.Follows("successor", claim, epoch)
	// The successor's push takes 700 ms to arrive, the holder's overtakes it.
	start := claim.Add(1500 * time.Millisecond)
	overtaking, arrival := start.Add(600*time.Millisecond), start.Add(700*time.Millisecond)
	old.Follows("holder", overtaking, overtaking)
	old.Follows("member", overtaking, overtaking)
	succession.Follows("member", arrival, overtaking.Add(20*time.Millisecond))
	ended := tenure.Ended(epoch, succession)
	if at := ended.Add(time.Millisecond); holder.Holds(at, old) {
		t.Errorf("the holder acts %v after the claim, counted on as ended after %v", at.Sub(claim), ended.Sub(claim))
	}
}

// Guards against keys of a lost server that stay unserved for longer than needed after a change of leader: the lease of the
// earlier holder was counted from the claim, though its renewals had ended seconds before, and its witnesses from when they
// followed the successor, though they had not heard from it since.
func TestEndedAfterSilence(t *testing.T) {
	members := []string{"holder", "successor", "member"}
	succession := tenure.NewWitnesses(members)
	for silence, want := range map[time.Duration]time.Duration{
		1700 * time.Millisecond: tenure.Lease, 6 * time.Second: tenure.Lease, 0: tenure.Lease,
	} {
		claim := epoch.Add(silence)
		succession.Follows("successor", claim, epoch.Add(300*time.Millisecond))
		succession.Follows("member", claim, epoch.Add(200*time.Millisecond))
		if end := tenure.Ended(epoch, succession).Sub(epoch); end != want {
			t.Errorf("claimed after %v: the holder counts as acting for %v after its last renewal, want %v", silence, end, want)
		}
	}
	// A member that heard from the holder long after its last renewal kept it in its lead until a second after that.
	succession = tenure.NewWitnesses(members)
	last := epoch.Add(4 * time.Second)
	succession.Follows("successor", last, last)
	succession.Follows("member", last, last)
	if end := tenure.Ended(epoch, succession); !end.Equal(last.Add(tenure.Fresh)) {
		t.Errorf("the holder counts as acting until %v", end.Sub(epoch))
	}
}

// Guards against a leader that is small or far from the store while others would do: those claim later.
func TestRank(t *testing.T) {
	first := func(f tenure.Fitness) (best, worst int) {
		best = 1000
		for i := range 40 {
			n := tenure.Rank(fmt.Sprint("i", i), 7, f)
			best, worst = min(best, n), max(worst, n)
		}
		return best, worst
	}
	good, _ := first(tenure.Fitness{})
	far, _ := first(tenure.Fitness{Far: true})
	small, worst := first(tenure.Fitness{Small: true})
	if good >= far || far >= small || worst <= small {
		t.Errorf("first ranks %d, far %d, small %d to %d", good, far, small, worst)
	}
	candidate := &tenure.Tenure{Self: "a"}
	candidate.Start(epoch)
	if candidate.Claimable(epoch.Add(100*time.Millisecond), far) || !candidate.Claimable(epoch.Add(time.Second), far) {
		t.Error("a far instance claims the first lead at once or never")
	}
}

// Guards against a late claim because no instance has the first rank by chance, and against members that disagree.
func TestOrder(t *testing.T) {
	var candidates []tenure.Candidate
	for i := range 40 {
		candidates = append(candidates, tenure.Candidate{Address: fmt.Sprint("i", i), Fitness: tenure.Fitness{Small: i >= 4, Far: i%2 == 1}})
	}
	order := tenure.Order(7, candidates)
	slices.Reverse(candidates)
	if !slices.Equal(order, tenure.Order(7, candidates)) {
		t.Error("the order depends on that of the candidates")
	}
	if slices.Equal(order, tenure.Order(8, candidates)) {
		t.Error("the order is the same after each term")
	}
	if order[0] != "i0" && order[0] != "i2" {
		t.Errorf("first of %v, not a large one near the store", order[:4])
	}
	turns := make(map[int]int)
	for _, a := range order[1:] {
		n, ok := tenure.Turn(a, order[0], order)
		if !ok {
			t.Errorf("%s has no turn", a)
		}
		turns[n]++
	}
	if turns[0] != 2 || turns[1] != 2 {
		t.Errorf("candidates by turn: %v", turns)
	}
	if _, ok := tenure.Turn("stranger", order[0], order); ok {
		t.Error("an instance that is not listed has a turn")
	}
}

// A majority counts from the time since which all of its members followed.
func ExampleWitnesses() {
	w := tenure.NewWitnesses([]string{"a", "b", "c", "d"})
	for i, m := range []string{"a", "x", "b", "c"} {
		at := epoch.Add(time.Duration(i) * time.Second)
		w.Follows(m, at, at)
		since, ok := w.Majority()
		fmt.Println(ok, ok && since.Equal(epoch))
	}
	// Output:
	// false false
	// false false
	// false false
	// true true
}
