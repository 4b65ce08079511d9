package elect

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// baseRanks is the number of ranks over which equally fit candidates are spread.
	baseRanks = 6
	// farPenalty is added to the rank of candidates in another region than the store. A leader reads all heartbeats, and the
	// link between regions is narrow and paid by volume.
	farPenalty = 4
	// candidatesPerTurn is how many candidates of an ordered list share a rank: one of them may be lost as well, and the store
	// accepts only one claim.
	candidatesPerTurn = 2
)

// Fitness holds what makes an instance less fit to lead.
type Fitness struct {
	Small bool // little CPU time or a slow link: a leader sends to all instances
	Far   bool // the store is in another region
}

// Rank returns the rank of a candidate to succeed the leader of a term, 0 first. The order changes with the term.
func Rank(self string, term uint64, f Fitness) int {
	var d xxhash.Digest
	d.ResetWithSeed(term)
	_, _ = d.WriteString(self) // never fails
	n := int(d.Sum64() % baseRanks)
	if f.Small {
		n += baseRanks
	}
	if f.Far {
		n += farPenalty
	}
	return n
}

// Candidate is an instance that may succeed the leader.
type Candidate struct {
	Address string
	Fitness
}

// SortCandidates returns the addresses of candidates in the order of succession after a term.
func SortCandidates(term uint64, candidates []Candidate) []string {
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

// ListedRank returns the rank of an instance in its leader's order of succession. ok is false if it is not listed.
func ListedRank(self, leader string, order []string) (rank int, ok bool) {
	index := slices.Index(order, self)
	if index < 0 {
		return 0, false
	}
	if i := slices.Index(order, leader); i >= 0 && i < index {
		index--
	}
	return min(index/candidatesPerTurn, maxRank), true
}
