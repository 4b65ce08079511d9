package tenure

import "github.com/cespare/xxhash/v2"

const (
	// ranks is the number of ranks of candidates for the lead that are alike.
	ranks = 6
	// farRanks is how much later candidates come whose way to the store crosses regions. A leader reads all heartbeats, and the
	// link between regions is narrow and paid by volume.
	farRanks = 4
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
