package pubsvc

import (
	"fmt"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
)

// PoolMoves counts the slots of one keyed pool that new tables cause to move.
type PoolMoves struct {
	Pool       string `json:"pool"`
	Slots      int    `json:"slots"`
	Unowned    int    `json:"unplaced"` // slots that have no owner now
	LostServer int    `json:"owner"`    // slots whose server leaves or is removed; others stay in the data centre
	LostDC     int    `json:"home"`     // slots whose data centre no longer has servers of the pool
	// Rebalanced estimates the further slots that servers without slots get, given equal shares.
	Rebalanced int `json:"balance"`
}

// String returns the summary as one line.
func (m PoolMoves) String() string {
	return fmt.Sprintf("pool %s: of %d slots %d lose their server, %d lose their data centre, about %d move to new servers, %d have no owner yet",
		m.Pool, m.Slots, m.LostServer, m.LostDC, m.Rebalanced, m.Unowned)
}

// EstimateMoves compares next with the current placement. It omits keyed pools in which no slot moves or lacks an
// owner.
func EstimateMoves(next *tables.Tables, current *fold.Placement) []PoolMoves {
	var all []PoolMoves
	for i := range next.Pools {
		if pool := &next.Pools[i]; pool.Keyed {
			if m := estimatePoolMoves(pool, current.Slots(pool.Name)); m.LostServer+m.LostDC+m.Rebalanced+m.Unowned > 0 {
				all = append(all, m)
			}
		}
	}
	return all
}

func estimatePoolMoves(pool *tables.Pool, slots []fold.Slot) PoolMoves {
	m := PoolMoves{Pool: pool.Name, Slots: int(pool.Slots), Unowned: int(pool.Slots) - len(slots)}
	slotCounts, serverCounts := make(map[string]int), make(map[string]int)
	for i := range pool.Servers {
		if s := &pool.Servers[i]; !s.Leaving {
			slotCounts[s.Name] = 0
			serverCounts[s.DC]++
		}
	}
	for _, s := range slots {
		_, serves := slotCounts[s.Owner]
		switch {
		case s.Owner == "":
			m.Unowned++
		case serverCounts[s.DC] == 0:
			m.LostDC++
		case !serves:
			m.LostServer++
		default:
			slotCounts[s.Owner]++
		}
	}
	emptyServers := 0
	for _, n := range slotCounts {
		if n == 0 {
			emptyServers++
		}
	}
	// Servers without slots first receive the slots that have to move anyway.
	if len(slotCounts) > 0 && len(slots) > 0 {
		m.Rebalanced = max(0, len(slots)*emptyServers/len(slotCounts)-m.LostServer-m.LostDC)
	}
	return m
}
