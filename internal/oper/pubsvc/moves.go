package pubsvc

import (
	"fmt"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
)

// Moves is what new tables do to the slots of one keyed pool.
type Moves struct {
	Pool     string `json:"pool"`
	Slots    int    `json:"slots"`
	Unplaced int    `json:"unplaced"` // slots without an owner at present
	Owner    int    `json:"owner"`    // slots whose server leaves or is removed, in a data centre that stays
	Home     int    `json:"home"`     // slots whose data centre no longer has servers of the pool
	// Balance estimates the slots that move to servers that are new, as an equal share for each server.
	Balance int `json:"balance"`
}

// String returns the summary as one line.
func (m Moves) String() string {
	return fmt.Sprintf("pool %s: of %d slots %d lose their server, %d lose their data centre, about %d move to new servers, %d have no owner yet",
		m.Pool, m.Slots, m.Owner, m.Home, m.Balance, m.Unplaced)
}

// Movement summarises what next does to the slots as they are placed now, for the keyed pools of next in which
// slots have to move.
func Movement(next *tables.Tables, now *fold.Placement) []Moves {
	var all []Moves
	for i := range next.Pools {
		if pool := &next.Pools[i]; pool.Keyed {
			if m := movement(pool, now.Slots(pool.Name)); m.Owner+m.Home+m.Balance+m.Unplaced > 0 {
				all = append(all, m)
			}
		}
	}
	return all
}

func movement(pool *tables.Pool, slots []fold.Slot) Moves {
	m := Moves{Pool: pool.Name, Slots: int(pool.Slots), Unplaced: int(pool.Slots) - len(slots)}
	owners, dcs := make(map[string]int), make(map[string]int)
	for i := range pool.Servers {
		if s := &pool.Servers[i]; !s.Leaving {
			owners[s.Name] = 0
			dcs[s.DC]++
		}
	}
	for _, s := range slots {
		_, serves := owners[s.Owner]
		switch {
		case s.Owner == "":
			m.Unplaced++
		case dcs[s.DC] == 0:
			m.Home++
		case !serves:
			m.Owner++
		default:
			owners[s.Owner]++
		}
	}
	idle := 0
	for _, n := range owners {
		if n == 0 {
			idle++
		}
	}
	// Servers without slots first take the slots that have to move anyway.
	if len(owners) > 0 && len(slots) > 0 {
		m.Balance = max(0, len(slots)*idle/len(owners)-m.Owner-m.Home)
	}
	return m
}
