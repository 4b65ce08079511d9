package conns

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSentIDs bounds the requests that a connection carries, each of which takes 8 bytes.
const maxSentIDs = 500

// sentIDs are hashes of the ids of the requests that a connection has carried. It carries none twice: a server may write a copy of an
// earlier answer, which could not be told from the answer to the same request sent again. Of all copies, one of a refusal does the most
// harm, since the request counts as not run while it runs.
type sentIDs []uint64

func (s *sentIDs) add(id []byte) {
	if len(id) > 0 {
		*s = append(*s, xxhash.Sum64(id))
	}
}

func (s sentIDs) has(id []byte) bool {
	return len(id) > 0 && len(s) > 0 && slices.Contains(s, xxhash.Sum64(id))
}

func (s sentIDs) full() bool { return len(s) >= maxSentIDs }
