package coord

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

// A store that is restored from an older copy has lost the latest terms and fences. Those of an era begin above all of the eras
// before, so that an instance that knows only the copy uses none again.
const (
	// numbersPerEra is the number of terms and of fences in an era.
	numbersPerEra = 1 << 32
	// maxNumberedEra bounds fences to integers that servers can read as floating-point numbers.
	maxNumberedEra = 1<<20 - 1
)

func firstTerm(end uint64) uint64 { return min(keyed.Era(end), maxNumberedEra) * numbersPerEra }

func firstFence(end uint64) uint64 { return firstTerm(end) }

// lastLostTerm returns the highest term that may have been lost when the store was restored, 0 if it never was. Before its start this
// instance may have followed a leader of any of them.
func lastLostTerm(end uint64) uint64 { return max(firstTerm(end), 1) - 1 }

// mayLackMoves reports whether the recorded owners of a pool may be older than the latest moves: no leader has recorded them
// since the store was restored. c.mu is held.
func (c *Coordinator) mayLackMoves(pool string, end uint64) bool {
	for _, o := range c.builder.Chunks {
		if o.GetPool() == pool && o.GetFence() < firstFence(end) {
			return true
		}
	}
	return false
}

// noteEra notes that the known end of the place stream went from before to after. In a new era the holder of the lead records
// lead and owners again; a successor would have to wait until all grants have ended. c.mu is held.
func (c *Coordinator) noteEra(now time.Time, before, after uint64) {
	if keyed.Era(after) > keyed.Era(before) {
		c.leadership.MarkRestored(now)
	}
}

// mayHaveLostOwners reports whether the store has no owners though it was restored: the copy may be older than their first
// record, and other instances know them.
func (c *Coordinator) mayHaveLostOwners() bool {
	end, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	defer c.mu.Unlock()
	return keyed.Era(end) > 0 && len(c.builder.Chunks) == 0
}

// lostOwnersMayHold reports whether servers may hold keys by owners that nobody knows any more: the store was restored to before
// their first record, and no instance that runs has seen them. c.mu is held.
func (c *Coordinator) lostOwnersMayHold(now time.Time) bool {
	return c.leader.recordedEra > 0 && now.Sub(c.leader.startedAt) < grantTimeout+c.maxGrantDuration()
}

// mayHaveLostSuccessor reports whether this instance leads by a record from before the store was restored and may not act. The
// store may have lost the claim of a successor, so that a renewal would succeed: it has to claim the lead again. c.mu is held.
func (c *Coordinator) mayHaveLostSuccessor(now time.Time) bool {
	end, _ := c.book.End(keyed.Place)
	return keyed.Era(end) != c.leader.recordedEra && !c.mayAct(now)
}
