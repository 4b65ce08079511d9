package elect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/elect"
)

var epoch = time.Unix(1000, 0)

// store accepts an append only at the current end of its records.
type store struct{ records []elect.LeadRecord }

func (s *store) append(at int, l elect.LeadRecord) (elect.LeadRecord, bool) {
	if at != len(s.records) {
		return l, false
	}
	l.Offset = uint64(at + 1)
	s.records = append(s.records, l)
	return l, true
}

// Guards against an instance that acts longer than the lease after its last confirmed append, against two holders of one
// term, and against a deployment without a leader while the store answers: answers are late or lost, and instances are
// suspended.
func TestOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := new(store)
		var all []*elect.Leadership
		for i := range 3 {
			all = append(all, &elect.Leadership{Self: fmt.Sprint("i", i)})
		}
		busy := make([]time.Duration, len(all))
		appended := make(map[string]time.Duration) // start of the last append that the store took
		terms := make(map[uint64]string)
		lastLed := time.Duration(0)
		for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
			for i, x := range all {
				if busy[i] > now {
					continue
				}
				at := epoch.Add(now)
				if n := len(s.records); n > 0 {
					x.Observe(at, s.records[n-1])
				}
				if !x.RenewalDue(at) && !x.ShouldClaim(at, i) {
					continue
				}
				took := time.Duration(rng.IntN(300)) * time.Millisecond
				if rng.IntN(20) == 0 {
					took = time.Duration(rng.IntN(6000)) * time.Millisecond // it is suspended
				}
				busy[i] = now + took
				next := x.NextRecord(rng.Uint64(), nil, false)
				x.BeginAppend(at, next)
				l, ok := s.append(len(s.records), next)
				if !ok {
					continue
				}
				if holder := terms[l.Term]; holder != "" && holder != x.Self {
					t.Fatalf("term %d is held by both %s and %s", l.Term, holder, x.Self)
				}
				terms[l.Term], appended[x.Self] = x.Self, now
				if rng.IntN(10) > 0 { // else the answer is lost
					x.ConfirmAppend(at.Add(took), at, l)
				}
			}
			for _, x := range all {
				if x.MayAct(epoch.Add(now), nil) {
					lastLed = now
					if age := now - appended[x.Self]; age >= elect.LeaseDuration {
						t.Fatalf("%s acts %v after its last append", x.Self, age)
					}
				}
			}
			if now-lastLed > 30*time.Second {
				t.Fatalf("no instance led from %v to %v", lastLed, now)
			}
		}
	})
}

// Guards against a holder that continues after another instance's claim, and a claim while the holder is alive.
func TestSuccession(t *testing.T) {
	a, b := &elect.Leadership{Self: "a"}, &elect.Leadership{Self: "b"}
	first := a.NextRecord(1, nil, false)
	first.Offset = 1
	a.ConfirmAppend(epoch, epoch, first)
	b.Observe(epoch, first)
	if b.ShouldClaim(epoch.Add(time.Second), 0) {
		t.Error("a lead renewed one second ago can be claimed")
	}
	late := epoch.Add(5 * time.Second)
	if !b.ShouldClaim(late, 0) {
		t.Error("a lead renewed five seconds ago cannot be claimed")
	}
	second := b.NextRecord(2, nil, false)
	second.Offset = 2
	b.ConfirmAppend(late, late, second)
	a.Observe(late, second)
	if a.IsHolder() || !b.MayAct(late, nil) || second.Term != first.Term+1 {
		t.Errorf("a is holder: %v, b may act: %v, term %d", a.IsHolder(), b.MayAct(late, nil), second.Term)
	}
	resigned := b.NextRecord(3, nil, false)
	resigned.Offset, resigned.Resigned = 3, true
	a.Observe(late, resigned)
	if !a.ShouldClaim(late, 0) {
		t.Error("a resigned lead cannot be claimed at once")
	}
}

// Guards against a late succession: a member that reads a renewal in the store which the holder's pushes had reported must not
// restart its timeout.
func TestRenewedByWord(t *testing.T) {
	a, b := &elect.Leadership{Self: "a"}, &elect.Leadership{Self: "b"}
	first := a.NextRecord(1, nil, false)
	b.Observe(epoch, first)
	if b.ShouldClaim(epoch.Add(time.Second), 0) {
		t.Error("a lead whose first record is one second old can be claimed")
	}
	b.ObserveRenewal(epoch.Add(3*time.Second), "a", first.Term, 5)
	if b.ShouldClaim(epoch.Add(4*time.Second), 0) {
		t.Error("a lead reported as renewed one second ago can be claimed")
	}
	first.Offset, first.Members = 5, []string{"a", "b"}
	b.Observe(epoch.Add(4400*time.Millisecond), first)
	if l, _ := b.Record(); len(l.Members) != 2 {
		t.Error("the members of a record are ignored if its holder reported the renewal before")
	}
	if !b.ShouldClaim(epoch.Add(4700*time.Millisecond), 0) {
		t.Error("a lead renewed 1.7s ago cannot be claimed")
	}
	b.ObserveRenewal(epoch.Add(5*time.Second), "a", first.Term-1, 6)
	b.ObserveRenewal(epoch.Add(5*time.Second), "c", first.Term, 6)
	if !b.ShouldClaim(epoch.Add(5*time.Second), 0) {
		t.Error("the report of another term or holder counts as a renewal")
	}
}

// exchange is a push by the leader of a term and its answer. Its times are steps of TestWitnesses.
type exchange struct {
	member              int
	term                uint64
	start, arrival, end time.Time
	lastEarlier         time.Time // last push of the old leader that the member followed, or its start
	accepted            bool      // the member follows, and counts for the quorum
}

func newExchange(rng *rand.Rand, now time.Time, member int, term uint64) exchange {
	arrival := now.Add(time.Duration(rng.IntN(16)) * 50 * time.Millisecond)
	return exchange{
		member: member, term: term, start: now, arrival: arrival, end: arrival.Add(time.Duration(1+rng.IntN(16)) * 50 * time.Millisecond),
	}
}

// Guards against a leader and its successor that both act by a majority, when members restart or follow late, exchanges fail
// between two instances, or pushes overtake each other.
func TestWitnesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 7).Draw(t, "members")
		members := make([]string, n)
		follows := make([]uint64, n)    // newest term that a member follows
		startTerms := make([]uint64, n) // newest term at its start
		lastEarlier := make([]time.Time, n)
		for i := range members {
			members[i] = fmt.Sprint("m", i)
			follows[i], lastEarlier[i] = 1, epoch
		}
		oldQuorum, newQuorum := elect.NewQuorum(members), elect.NewQuorum(members)
		a := &elect.Leadership{Self: "a"}
		first := a.NextRecord(1, members, false)
		first.Offset = 1
		a.ConfirmAppend(epoch, epoch, first)
		claim := epoch.Add(time.Duration(2+rng.IntN(6)) * time.Second)
		renewed := epoch.Add(time.Duration(rng.Int64N(int64(claim.Sub(epoch))))) // the successor saw the renewal then
		stopTime, known := time.Time{}, false
		var exchanges []exchange
		for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
			i := rng.IntN(n)
			claimed := !now.Before(claim)
			switch rng.IntN(4) {
			case 0: // a push of the old leader
				exchanges = append(exchanges, newExchange(rng, now, i, 1))
			case 1: // a push of the successor
				if claimed {
					exchanges = append(exchanges, newExchange(rng, now, i, 2))
				}
			case 2: // a restart, after which the member may or may not read the claim in the store
				if rng.IntN(4) == 0 {
					startTerms[i], follows[i], lastEarlier[i] = 1, 1, now
					if claimed && rng.IntN(2) == 0 {
						startTerms[i], follows[i] = 2, 2
					}
				}
			}
			for x := range exchanges {
				x := &exchanges[x]
				switch {
				case now.Equal(x.arrival):
					follows[x.member] = max(follows[x.member], x.term)
					if follows[x.member] == 1 {
						lastEarlier[x.member] = now
					}
					x.lastEarlier = lastEarlier[x.member]
					x.accepted = follows[x.member] == x.term && startTerms[x.member] < x.term
				case !now.Equal(x.end) || !x.accepted:
				case x.term == 1:
					oldQuorum.AddAck(members[x.member], x.start, x.start)
				default:
					newQuorum.AddAck(members[x.member], x.start, x.lastEarlier)
				}
			}
			if _, ok := newQuorum.MajoritySince(); ok && !known {
				known, stopTime = true, elect.EarlierHolderStopTime(renewed, newQuorum)
			}
			if known && now.After(stopTime) && a.MayAct(now, oldQuorum) {
				t.Fatalf("the old leader acts at %v, the successor expects it to stop at %v", now.Sub(epoch), stopTime.Sub(epoch))
			}
			if claimed && now.After(renewed.Add(elect.MaxUnconfirmed)) && a.MayAct(now, oldQuorum) {
				t.Fatal("the old leader acts longer than MaxUnconfirmed after its last renewal")
			}
		}
	})
}

// Guards against a successor that counts a member from the claim on, although it follows the earlier holder until the
// successor's push arrives.
func TestEndedAfterLatePush(t *testing.T) {
	members := []string{"holder", "successor", "member"}
	holder, oldQuorum, newQuorum := &elect.Leadership{Self: "holder"}, elect.NewQuorum(members), elect.NewQuorum(members)
	first := holder.NextRecord(1, members, false)
	first.Offset = 1
	holder.ConfirmAppend(epoch, epoch, first)
	claim := epoch.Add(2 * time.Second)
	newQuorum.AddAck("successor", claim, epoch)
	// The successor's push takes 700 ms to arrive, and a push by the holder overtakes it.
	start := claim.Add(1500 * time.Millisecond)
	overtaking, arrival := start.Add(600*time.Millisecond), start.Add(700*time.Millisecond)
	oldQuorum.AddAck("holder", overtaking, overtaking)
	oldQuorum.AddAck("member", overtaking, overtaking)
	newQuorum.AddAck("member", arrival, overtaking.Add(20*time.Millisecond))
	stopTime := elect.EarlierHolderStopTime(epoch, newQuorum)
	if at := stopTime.Add(time.Millisecond); holder.MayAct(at, oldQuorum) {
		t.Errorf("the holder acts %v after the claim, expected to stop after %v", at.Sub(claim), stopTime.Sub(claim))
	}
}

// Guards against keys of a lost server that stay unserved too long after a change of leader: the lease of the earlier holder
// was counted from the claim, though its renewals had ended seconds before, and its quorum until the members followed the
// successor, though they no longer heard from it.
func TestEndedAfterSilence(t *testing.T) {
	members := []string{"holder", "successor", "member"}
	newQuorum := elect.NewQuorum(members)
	for silence, want := range map[time.Duration]time.Duration{
		1700 * time.Millisecond: elect.LeaseDuration, 6 * time.Second: elect.LeaseDuration, 0: elect.LeaseDuration,
	} {
		claim := epoch.Add(silence)
		newQuorum.AddAck("successor", claim, epoch.Add(300*time.Millisecond))
		newQuorum.AddAck("member", claim, epoch.Add(200*time.Millisecond))
		if end := elect.EarlierHolderStopTime(epoch, newQuorum).Sub(epoch); end != want {
			t.Errorf("claimed after %v: the holder is expected to stop %v after its last renewal, want %v", silence, end, want)
		}
	}
	// A member that heard from the holder long after the last renewal lets it act for another QuorumValidity.
	newQuorum = elect.NewQuorum(members)
	last := epoch.Add(4 * time.Second)
	newQuorum.AddAck("successor", last, last)
	newQuorum.AddAck("member", last, last)
	if end := elect.EarlierHolderStopTime(epoch, newQuorum); !end.Equal(last.Add(elect.QuorumValidity)) {
		t.Errorf("the holder is expected to stop at %v", end.Sub(epoch))
	}
}

// Guards against a leader that is small or far from the store although fitter instances exist: those claim first.
func TestRank(t *testing.T) {
	rankRange := func(f elect.Fitness) (best, worst int) {
		best = 1000
		for i := range 40 {
			n := elect.Rank(fmt.Sprint("i", i), 7, f)
			best, worst = min(best, n), max(worst, n)
		}
		return best, worst
	}
	fit, _ := rankRange(elect.Fitness{})
	far, _ := rankRange(elect.Fitness{Far: true})
	small, worst := rankRange(elect.Fitness{Small: true})
	if fit >= far || far >= small || worst <= small {
		t.Errorf("best rank %d, if far %d, if small %d (worst %d)", fit, far, small, worst)
	}
	candidate := &elect.Leadership{Self: "a"}
	candidate.MarkStreamsRead(epoch)
	if candidate.ShouldClaim(epoch.Add(100*time.Millisecond), far) || !candidate.ShouldClaim(epoch.Add(time.Second), far) {
		t.Error("a far instance claims the first lead at once or not within a second")
	}
}

// Guards against a late claim because by chance no instance has rank 0, and against members that disagree on the order.
func TestOrder(t *testing.T) {
	var candidates []elect.Candidate
	for i := range 40 {
		candidates = append(candidates, elect.Candidate{Address: fmt.Sprint("i", i), Fitness: elect.Fitness{Small: i >= 4, Far: i%2 == 1}})
	}
	order := elect.SortCandidates(7, candidates)
	slices.Reverse(candidates)
	if !slices.Equal(order, elect.SortCandidates(7, candidates)) {
		t.Error("the result depends on the order of the input")
	}
	if slices.Equal(order, elect.SortCandidates(8, candidates)) {
		t.Error("the order is the same after each term")
	}
	if order[0] != "i0" && order[0] != "i2" {
		t.Errorf("the first of %v is small or far from the store", order[:4])
	}
	counts := make(map[int]int) // by rank
	for _, a := range order[1:] {
		n, ok := elect.ListedRank(a, order[0], order)
		if !ok {
			t.Errorf("%s has no rank", a)
		}
		counts[n]++
	}
	if counts[0] != 2 || counts[1] != 2 {
		t.Errorf("candidates by rank: %v", counts)
	}
	if _, ok := elect.ListedRank("stranger", order[0], order); ok {
		t.Error("an instance that is not listed has a rank")
	}
}

// A majority counts from the oldest of its acks.
func ExampleQuorum() {
	w := elect.NewQuorum([]string{"a", "b", "c", "d"})
	for i, m := range []string{"a", "x", "b", "c"} {
		at := epoch.Add(time.Duration(i) * time.Second)
		w.AddAck(m, at, at)
		since, ok := w.MajoritySince()
		fmt.Println(ok, ok && since.Equal(epoch))
	}
	// Output:
	// false false
	// false false
	// false false
	// true true
}

// Guards against a leader that lets its lease run out although the store has its renewals: their answers were lost, and it did not
// count the renewals when it read them. Keys waited for the next leader meanwhile.
func TestRenewalAnswerLost(t *testing.T) {
	a := &elect.Leadership{Self: "a"}
	first := a.NextRecord(1, nil, false)
	first.Offset = 1
	a.ConfirmAppend(epoch, epoch, first)
	renewal := a.NextRecord(2, nil, false)
	begun := epoch.Add(time.Second)
	a.BeginAppend(begun, renewal)
	renewal.Offset = 2
	a.Observe(epoch.Add(2300*time.Millisecond), renewal)
	if at := begun.Add(elect.LeaseDuration - time.Millisecond); !a.MayAct(at, nil) {
		t.Errorf("the holder may not act %v after a renewal that it has read", at.Sub(begun))
	}
	if at := begun.Add(elect.LeaseDuration); a.MayAct(at, nil) {
		t.Error("the lease counts from the reading of the renewal, not from its append")
	}
	// The record of another process under the same address is no renewal by this one.
	stranger := renewal
	stranger.Nonce, stranger.Offset = 3, 3
	a.Observe(epoch.Add(3300*time.Millisecond), stranger)
	if a.MayAct(begun.Add(elect.LeaseDuration), nil) {
		t.Error("a record that this process did not append renews its lease")
	}
	// A claim ends the lead, and an earlier renewal that is read after it does not bring it back.
	a.BeginAppend(epoch.Add(3*time.Second), elect.LeadRecord{Holder: "a", Term: 1, Nonce: 4})
	a.Observe(epoch.Add(3400*time.Millisecond), elect.LeadRecord{Holder: "b", Term: 2, Nonce: 9, Offset: 5})
	a.Observe(epoch.Add(3400*time.Millisecond), elect.LeadRecord{Holder: "a", Term: 1, Nonce: 4, Offset: 4})
	if a.MayAct(epoch.Add(3500*time.Millisecond), nil) {
		t.Error("the holder acts after the claim of another instance")
	}
}

// Guards against a term that is given out again after the store has lost it, and a holder that is succeeded before it could renew
// the lead in a restored store.
func TestRestoredStore(t *testing.T) {
	l := elect.Leadership{Self: "b", MinTerm: 1 << 32}
	l.Observe(epoch, elect.LeadRecord{Holder: "a", Term: 3, Offset: 7})
	if next := l.NextRecord(1, nil, false); next.Term != 1<<32 {
		t.Errorf("term %d, want the first of the era", next.Term)
	}
	at := epoch.Add(3 * time.Second)
	if !l.ShouldClaim(at, 0) {
		t.Error("a lead that was not renewed for 3 s is not claimed")
	}
	l.MarkRestored(at)
	if l.ShouldClaim(at.Add(time.Second), 0) {
		t.Error("claimed one second after the restoration")
	}
	if !l.ShouldClaim(at.Add(3*time.Second), 0) {
		t.Error("not claimed 3 s after the restoration")
	}
}

// Guards against a push that counts as known to a majority while fewer instances have taken it.
func TestMajorityNumber(t *testing.T) {
	q := elect.NewQuorum([]string{"a", "b", "c", "d"})
	q.AddNumber("a", 9)
	q.AddNumber("b", 7)
	q.AddNumber("x", 8) // no member
	if n := q.MajorityNumber(); n != 0 {
		t.Errorf("number %d with two of four members, want 0", n)
	}
	q.AddNumber("c", 5)
	q.AddNumber("c", 4) // an earlier reply that comes later
	if n := q.MajorityNumber(); n != 5 {
		t.Errorf("number %d, want 5", n)
	}
}
