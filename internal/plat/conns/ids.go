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

// maxRefusedIDs bounds the ids of refused requests that a pool keeps. Requests are sent again within their deadline of seconds.
const maxRefusedIDs = 1000

// idRing holds hashes of the latest ids that were added.
type idRing struct {
	hashes []uint64
	next   int // where the next hash goes once there are maxRefusedIDs
}

// add reports whether the ring does not hold id yet, and adds it.
func (r *idRing) add(id []byte) bool {
	h := xxhash.Sum64(id)
	switch {
	case slices.Contains(r.hashes, h):
		return false
	case len(r.hashes) < maxRefusedIDs:
		r.hashes = append(r.hashes, h)
	default:
		r.hashes[r.next] = h
		r.next = (r.next + 1) % maxRefusedIDs
	}
	return true
}
