// Package elect decides which instance leads a deployment. The lead is a record in the store that its holder renews by
// conditional appends: a claim by another instance makes the next renewal fail, so the store's order decides. The package
// does no I/O; all times must come from a clock that counts while the instance is suspended.
package elect

import "time"

const (
	// LeaseDuration is how long a holder may act after the start of its last confirmed append.
	LeaseDuration = 2400 * time.Millisecond
	// QuorumValidity is how long a majority of followers counts, from the start of its oldest exchange.
	QuorumValidity = time.Second
	// MaxUnconfirmed is how long a holder may act at most after its last confirmed append, however many members follow it.
	// A successor that can't reach a majority waits this long; outages of the store last up to some 9 s.
	MaxUnconfirmed = 14 * time.Second
	// RenewInterval is the interval of renewals. Each is a call that costs money.
	RenewInterval = time.Second
	// LeaderTimeout is how long a member hears nothing from the leader before it reads the store itself.
	LeaderTimeout = 1200 * time.Millisecond
	// staleAfter is how long the lead may go unrenewed before another instance claims it: one renewal and the time of a slow
	// append.
	staleAfter = 1600 * time.Millisecond
	// rankDelay is the time between the claims of successive ranks, so that the later candidates see the first claim.
	rankDelay = 150 * time.Millisecond
	// maxRank bounds the delay of the last candidate.
	maxRank = 15
)

// LeadRecord is a stored record of the lead. Offset is its position in the stream.
type LeadRecord struct {
	Holder   string
	Term     uint64
	Nonce    uint64
	Resigned bool
	Offset   uint64
	Members  []string // all instances that the holder knows, in the order of succession
}

// Leadership is one instance's view of the lead. It is not safe for concurrent use.
type Leadership struct {
	Self string // address of this instance, unique among those that run
	// MinTerm is the lowest term of a claim. It rises when the store is restored, so that a term which the store has lost is
	// never given out again.
	MinTerm uint64

	record         LeadRecord
	hasRecord      bool
	renewedAt      time.Time // when the newest renewal was seen, or reported by the holder
	renewedOffset  uint64    // of the newest renewal that the holder reported
	isHolder       bool
	confirmedStart time.Time // start of the last confirmed append of this instance
	pending        []pendingAppend
}

// pendingAppend is an append of this instance whose answer may be lost.
type pendingAppend struct {
	nonce uint64
	start time.Time
}

// maxPending bounds the appends that are remembered. One ends before the next begins, and the store carries a late one out within
// six seconds.
const maxPending = 16

// BeginAppend notes that an append of r begins. If its answer is lost, the record itself, once it is read, confirms it.
func (l *Leadership) BeginAppend(start time.Time, r LeadRecord) {
	l.pending = append(l.pending, pendingAppend{r.Nonce, start})
	if n := len(l.pending) - maxPending; n > 0 {
		l.pending = append(l.pending[:0], l.pending[n:]...)
	}
}

// confirmPending counts r as confirmed if it is a renewal that this process appended, and reports whether it is.
func (l *Leadership) confirmPending(r LeadRecord) bool {
	for _, p := range l.pending {
		if l.isHolder && !r.Resigned && r.Holder == l.Self && r.Nonce == p.nonce && p.start.After(l.confirmedStart) {
			l.confirmedStart = p.start
			return true
		}
	}
	return false
}

// Observe takes a record of the lead, unless it knows a newer one. confirmed reports that r is a renewal by this instance of which
// the store's answer was not known: the members recorded with it are now those of its quorum.
func (l *Leadership) Observe(now time.Time, r LeadRecord) (confirmed bool) {
	if l.hasRecord && r.Offset <= l.record.Offset {
		return false
	}
	if r.Holder != l.Self {
		l.isHolder = false
	}
	if !l.hasRecord || r.Offset > l.renewedOffset {
		l.renewedAt = now
	}
	l.record, l.hasRecord = r, true
	return l.confirmPending(r)
}

// ObserveRenewal takes the holder's report that the store has a renewal at that offset.
func (l *Leadership) ObserveRenewal(now time.Time, holder string, term, offset uint64) {
	if l.hasRecord && l.record.Holder == holder && l.record.Term == term && offset > max(l.renewedOffset, l.record.Offset) {
		l.renewedOffset, l.renewedAt = offset, now
	}
}

// MarkRestored notes that the store was found restored from an older copy. The holder gets the time to renew the lead there.
func (l *Leadership) MarkRestored(now time.Time) {
	if l.hasRecord && !l.record.Resigned {
		l.renewedAt = now
	}
}

// MarkStreamsRead notes that the streams were read. If they have no lead, the candidates' delays count from now.
func (l *Leadership) MarkStreamsRead(now time.Time) {
	if !l.hasRecord {
		l.renewedAt = now
	}
}

// RenewedAt returns when the newest known renewal was first seen or reported. It was written before.
func (l *Leadership) RenewedAt() time.Time { return l.renewedAt }

// Record returns the newest known record of the lead and whether there is one.
func (l *Leadership) Record() (LeadRecord, bool) { return l.record, l.hasRecord }

// ConfirmAppend notes that the store accepted r in an append of this instance that began at start.
func (l *Leadership) ConfirmAppend(now, start time.Time, r LeadRecord) {
	l.Observe(now, r)
	l.isHolder = !r.Resigned && r.Holder == l.Self
	l.confirmedStart = start
}

// MarkLost notes that this instance no longer holds the lead.
func (l *Leadership) MarkLost() { l.isHolder = false }

// MayAct reports whether this instance leads and may act at now, by its lease or by q, which may be nil.
func (l *Leadership) MayAct(now time.Time, q *Quorum) bool {
	age := now.Sub(l.confirmedStart)
	if !l.isHolder || age >= MaxUnconfirmed {
		return false
	}
	if age < LeaseDuration {
		return true
	}
	if q == nil {
		return false
	}
	since, ok := q.MajoritySince()
	return ok && now.Sub(since) < QuorumValidity
}

// EarlierHolderStopTime returns when an earlier holder has certainly stopped acting, for a successor whose claim the store
// accepted. No renewal by the earlier holder began after renewed. q tracks which of its members follow the successor.
func EarlierHolderStopTime(renewed time.Time, q *Quorum) time.Time {
	switched, ok := q.majoritySwitchedAt()
	if !ok {
		return renewed.Add(MaxUnconfirmed)
	}
	end := renewed.Add(LeaseDuration)
	if quorumEnd := switched.Add(QuorumValidity); quorumEnd.After(end) {
		end = quorumEnd
	}
	return end
}

// IsHolder reports whether this instance holds the lead and knows of no newer claim, whether or not it may still act.
func (l *Leadership) IsHolder() bool { return l.isHolder }

// UnconfirmedFor returns the time since the last confirmed append began.
func (l *Leadership) UnconfirmedFor(now time.Time) time.Duration { return now.Sub(l.confirmedStart) }

// RenewalDue reports whether this instance holds the lead and should renew it.
func (l *Leadership) RenewalDue(now time.Time) bool {
	return l.isHolder && now.Sub(l.confirmedStart) >= RenewInterval
}

// ShouldClaim reports whether this instance should claim the lead. Candidates of a higher rank wait longer.
func (l *Leadership) ShouldClaim(now time.Time, rank int) bool {
	delay := time.Duration(min(rank, maxRank)) * rankDelay
	switch {
	case l.isHolder:
		return false
	case !l.hasRecord || l.record.Resigned:
		return now.Sub(l.renewedAt) >= delay
	case l.record.Holder == l.Self:
		// This instance held the lead before it was restarted.
		return true
	}
	return now.Sub(l.renewedAt) >= staleAfter+delay
}

// NextRecord returns the record for a claim or renewal by this instance. A new term lets members that were started during the
// current one count for the quorum.
func (l *Leadership) NextRecord(nonce uint64, members []string, newTerm bool) LeadRecord {
	term := l.record.Term
	if !l.isHolder || newTerm {
		term = max(term+1, l.MinTerm)
	}
	return LeadRecord{Holder: l.Self, Term: term, Nonce: nonce, Members: members}
}
