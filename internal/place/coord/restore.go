package coord

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/place/recall"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// reportTime is how long replies to a new leader tell what this instance knows of the earlier leader's moves. Later the earlier
// grants have ended in any case.
const reportTime = 5 * time.Second

// firstNumber returns the lowest term and fence in the era of a position.
func firstNumber(end uint64) uint64 { return elect.FirstNumber(keyed.Era(end)) }

// lastLostTerm returns the highest term that may have been lost when the store was restored, 0 if it never was. Before its start this
// instance may have followed a leader of any of them.
func lastLostTerm(end uint64) uint64 { return max(firstNumber(end), 1) - 1 }

// mayLackMoves reports whether the recorded owners of a pool may be older than the latest moves: no leader has recorded them
// since the store was restored. c.mu is held.
func (c *Coordinator) mayLackMoves(pool string, end uint64) bool {
	for _, o := range c.builder.Chunks {
		if o.GetPool() == pool && o.GetFence() < firstNumber(end) {
			return true
		}
	}
	return false
}

// noteEra notes that the known end of the place stream went from before to after. In a new era the holder of the lead records
// lead and owners again, unless it was silent before. c.mu is held.
func (c *Coordinator) noteEra(now time.Time, before, after uint64) {
	if keyed.Era(after) <= keyed.Era(before) {
		return
	}
	c.member.restoredAt = now
	if c.leader != nil || now.Sub(c.member.heardAt) < elect.LeaderTimeout {
		c.leadership.MarkRestored(now)
	}
}

// mayLackOwners reports whether nobody has recorded owners since the store was restored. Other instances may know later ones than the
// copy has.
func (c *Coordinator) mayLackOwners() bool {
	end, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.builder.HighestFence < firstNumber(end)
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

// settleMoving forgets the ranges of earlier pushes if the streams of a push are complete up to the records that its leader had made. A
// copy of the store in a newer era may lack some of them.
func (c *Coordinator) settleMoving(r *sitepb.PushRequest) {
	end, _ := c.book.End(keyed.Place)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.GetTerm() == c.member.term && r.GetNumber() == c.member.pushNumber && end > r.GetLeadOffset() && keyed.Era(end) == keyed.Era(r.GetLeadOffset()) {
		c.member.memory.Complete(r.GetTerm(), decodeRanges(r.GetMoving()))
	}
}

// keepReport keeps what this instance knows of the moves before a leader of a term, if the store was restored since the leader before.
// c.mu is held.
func (c *Coordinator) keepReport(now time.Time, term uint64) {
	era, fence := elect.EraOf(term), uint64(0)
	if era > elect.EraOf(c.member.term) {
		for e, f := range c.builder.EraFences {
			if e < era {
				fence = max(fence, f)
			}
		}
		c.member.memory.Keep(era, fence)
	}
	c.member.reportUntil = now.Add(reportTime)
}

// beginSurvey asks the members of the earlier leader for the moves that the store may have lost. c.mu is held.
func (c *Coordinator) beginSurvey(now time.Time, term uint64) {
	l := c.leader
	c.keepReport(now, term)
	own, ok := c.member.memory.Report()
	if elect.EraOf(l.earlierRecord.Term) == elect.EraOf(term) || !ok {
		return
	}
	l.survey = recall.NewSurvey(l.earlierRecord.Members, l.earlierRecord.Term, own)
	l.survey.Add(c.leadership.Self, c.member.startTerm, own)
}

// addReport takes what a member that follows knows of the earlier leader's moves. c.mu is held.
func (c *Coordinator) addReport(now time.Time, addr string, r *sitepb.PushReply) {
	l, e := c.leader, r.GetEarlier()
	if l.survey == nil || e == nil {
		return
	}
	l.survey.Add(addr, r.GetStartTerm(), recall.Report{Fence: e.GetFence(), Moving: decodeRanges(e.GetMoving()), Term: e.GetTerm()})
	moving, ok, complete := l.survey.Result()
	if !complete {
		return
	}
	l.survey = nil
	c.log.Info("owners-surveyed", "certain", ok, "moving", len(moving))
	if !ok {
		return
	}
	for pool, k := range l.keepers {
		var uncertain []spans.Span
		for _, m := range moving {
			if m.Pool == pool {
				uncertain = append(uncertain, spans.Span{First: m.First, Last: m.Last})
			}
		}
		k.TrustOwners(now, uncertain)
	}
}

// report returns what this instance tells a new leader of the earlier one, nil if there is nothing to tell. c.mu is held.
func (c *Coordinator) report(now time.Time) *sitepb.Earlier {
	r, ok := c.member.memory.Report()
	if !ok || !now.Before(c.member.reportUntil) {
		return nil
	}
	out := &sitepb.Earlier{Fence: r.Fence, Term: r.Term}
	for _, m := range r.Moving {
		out.Moving = append(out.Moving, &sitepb.Range{Pool: m.Pool, First: uint32(m.First), Last: uint32(m.Last)})
	}
	return out
}

func decodeRanges(ranges []*sitepb.Range) (out []recall.Range) {
	for _, r := range ranges {
		out = append(out, recall.Range{Pool: r.GetPool(), First: uint16(r.GetFirst()), Last: uint16(r.GetLast())})
	}
	return out
}
