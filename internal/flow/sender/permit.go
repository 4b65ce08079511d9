package sender

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/cold"
	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// minDenial is the least time for which a server is not asked for again after a refused permit.
const minDenial = 5 * time.Millisecond

// confirmAfter is the age of a limit from which on a request goes to the server whatever the others offer, by distance: while
// these are free, no answer would tell that the limit has ended.
var confirmAfter = [...]time.Duration{topo.SameDC: time.Second, topo.SameRegion: 1500 * time.Millisecond, topo.OtherRegion: 3 * time.Second}

// mustConfirm reports whether the limit of a server, whose state is st, has not been named for long. c.mu is held.
func (c *Sender) mustConfirm(now time.Time, x *Call, s *topo.Server, st *serverState) bool {
	l, limited := c.cfg.Limits.Limit(s.Incarnation())
	if !limited || !st.Ready(now) || !st.HasRoom(now, x.isUrgent()) {
		return false
	}
	age := confirmAfter[c.cfg.Location.DistanceTo(s.DC)]
	if now.Sub(l.Seen) < age || now.Sub(st.confirmedAt) < age {
		return false
	}
	st.confirmedAt = now
	return true
}

// denial is the latest refused permit for a server.
type denial struct {
	rank     int // lower ranks, which are higher numbers, are refused as well
	until    time.Time
	returnAt time.Time // when the refused caller should come again
	reason   string
}

// deniedError is the failure to choose a server because those with room are at their limits.
type deniedError struct{ denial }

func (e *deniedError) Error() string { return "servers may not get more requests: " + e.reason }

// limitRefusal returns the error for a caller. All that are refused before the next permit may be asked for have the same time
// to return, so that it is spread.
func (c *Sender) limitRefusal(now time.Time, e *deniedError) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := max(e.returnAt.Sub(now), shortRetryAfter)
	return work.NewRefusal(e.reason, d+time.Duration(c.rnd.Int64N(int64(d/2))))
}

// deniedUntil returns the refusal that holds for a rank, nil if there is none.
func (d *denial) deniedUntil(now time.Time, rank int) *deniedError {
	if rank < d.rank || !now.Before(d.until) {
		return nil
	}
	return &deniedError{*d}
}

// deny records a refused permit. One for a more urgent rank stays in force, as it also refuses this one.
func (d *denial) deny(now time.Time, rank int, reason string, q quota.Decision) {
	if now.Before(d.until) && d.rank <= rank {
		d.returnAt = now.Add(q.Return)
		return
	}
	*d = denial{rank: rank, until: now.Add(max(q.Wait, minDenial)), returnAt: now.Add(q.Return), reason: reason}
}

// takePermit reports whether a request may be sent to the chosen server. If not, t is given up and the server is not asked
// for again until it may be permitted.
func (c *Sender) takePermit(now time.Time, x *Call, t *target) bool {
	if c.cfg.AskPermit == nil {
		return true
	}
	id := t.Server.Incarnation()
	if _, limited := c.cfg.Limits.Rate(now, id); !limited {
		return true
	}
	q := c.cfg.AskPermit(now, id, x.Route.Priority)
	if q.OK {
		return true
	}
	now = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	t.state.finish(now, limit.Neutral, 0, 0, false)
	reason := ReasonServerLimit
	w, _ := c.cfg.Snapshot()
	if _, isCold := cold.Rate(now, w, t.Server); isCold {
		reason = ReasonServerCold
	}
	t.state.deny(now, x.Route.Priority, reason, q)
	delete(x.tried, t.ownershipID)
	return false
}
