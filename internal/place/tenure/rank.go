package tenure

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ranks is the number of ranks of candidates for the lead that are alike.
	ranks = 6
	// farRanks is how much later candidates come whose way to the store crosses regions. A leader reads all heartbeats, and the
	// link between regions is narrow and paid by volume.
	farRanks = 4
	// abreast is how many candidates of an ordered list have their turn at the same time: one of them may be lost as well, and
	// the store accepts only one claim.
	abreast = 2
)

// Fitness is what speaks against an instance as the leader.
type Fitness struct {
	Small bool // little processor time or a slow link: a leader sends to all
	Far   bool // the store is in another region
}

// Rank orders the candidates for the lead after a term: another order each time.
func Rank(self string, term uint64, f Fitness) int {
	var d xxhash.Digest
	d.ResetWithSeed(term)
	_, _ = d.WriteString(self) // never fails
	n := int(d.Sum64() % ranks)
	if f.Small {
		n += ranks
	}
	if f.Far {
		n += farRanks
	}
	return n
}

// Candidate is an instance that may succeed the leader.
type Candidate struct {
	Address string
	Fitness
}

// Order returns the addresses of candidates in the order of their turns after a term.
func Order(term uint64, candidates []Candidate) []string {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(Rank(a.Address, term, a.Fitness), Rank(b.Address, term, b.Fitness)), cmp.Compare(a.Address, b.Address))
	})
	out := make([]string, len(candidates))
	for i, c := range candidates {
		out[i] = c.Address
	}
	return out
}

// Turn returns the rank of an instance in the order that its leader gave out. ok is false if it is not listed.
func Turn(self, leader string, order []string) (rank int, ok bool) {
	place := slices.Index(order, self)
	if place < 0 {
		return 0, false
	}
	if i := slices.Index(order, leader); i >= 0 && i < place {
		place--
	}
	return min(place/abreast, maxRank), true
}
