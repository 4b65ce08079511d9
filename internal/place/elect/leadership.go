// Package elect decides who leads a deployment. The lead is a record in the store that its holder renews by conditional
// appends: a claim by another instance makes the next renewal fail, so the store's order is the arbiter. The package is
// pure; all times must come from a clock that counts while the instance is suspended.
package elect

import "time"

const (
	// LeaseDuration is how long a holder may act after the start of its last confirmed append.
	LeaseDuration = 2400 * time.Millisecond
	// QuorumValidity is how long the word of a majority of witnesses counts.
	QuorumValidity = time.Second
	// MaxUnconfirmed is how long a holder may act at most after its last confirmed append, however many witnesses follow it.
	// A successor that can't reach a majority waits for it, and outages of the store last up to some 9 s.
	MaxUnconfirmed = 14 * time.Second
	// RenewInterval is the interval of renewals. Each is a priced call.
	RenewInterval = time.Second
	// LeaderTimeout is how long a member hears nothing from the leader before it asks the store itself.
	LeaderTimeout = 1200 * time.Millisecond
	// staleAfter is how long a record of the lead may stay unchanged before another instance claims it: one renewal and the
	// time of a slow append.
	staleAfter = 1600 * time.Millisecond
	// rankDelay keeps candidates apart, so that the first claim is seen by the others before they try.
	rankDelay = 150 * time.Millisecond
	// maxRank bounds the wait of the last candidate.
	maxRank = 15
)

// LeadRecord is the newest record of the lead. Offset is its place in the stream.
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

	record         LeadRecord
	hasRecord      bool
	renewedAt      time.Time // when the lead was first seen, or last renewed by its holder's word
	renewedOffset  uint64    // offset of that renewal
	isHolder       bool
	confirmedStart time.Time // start of the last confirmed append of this instance
}

// Observe notes the newest record of the lead.
func (t *Leadership) Observe(now time.Time, l LeadRecord) {
	if t.hasRecord && l.Offset <= t.record.Offset {
		return
	}
	if l.Holder != t.Self {
		t.isHolder = false
	}
	if !t.hasRecord || l.Offset > t.renewedOffset {
		t.renewedAt = now
	}
	t.record, t.hasRecord = l, true
}

// ObserveRenewal notes the holder's word that the store has a renewal at that offset.
func (t *Leadership) ObserveRenewal(now time.Time, holder string, term, offset uint64) {
	if t.hasRecord && t.record.Holder == holder && t.record.Term == term && offset > max(t.renewedOffset, t.record.Offset) {
		t.renewedOffset, t.renewedAt = offset, now
	}
}

// MarkStreamsRead notes that the streams were read. Without a lead in them the candidates' turns count from then.
func (t *Leadership) MarkStreamsRead(now time.Time) {
	if !t.hasRecord {
		t.renewedAt = now
	}
}

// RenewedAt returns a time before which the newest known record of the lead was written: when it was first seen, or when
// its holder told of it.
func (t *Leadership) RenewedAt() time.Time { return t.renewedAt }

// Record returns the newest record of the lead and whether there is one.
func (t *Leadership) Record() (LeadRecord, bool) { return t.record, t.hasRecord }

// ConfirmAppend notes that the store accepted l, by an append of this instance that began at start.
func (t *Leadership) ConfirmAppend(now, start time.Time, l LeadRecord) {
	t.Observe(now, l)
	t.isHolder = !l.Resigned && l.Holder == t.Self
	t.confirmedStart = start
}

// MarkLost notes that the store has a newer claim than the one of this instance.
func (t *Leadership) MarkLost() { t.isHolder = false }

// MayAct reports whether this instance leads and may act at now: by its lease, or by its witnesses, which may be nil.
func (t *Leadership) MayAct(now time.Time, w *Quorum) bool {
	age := now.Sub(t.confirmedStart)
	if !t.isHolder || age >= MaxUnconfirmed {
		return false
	}
	if age < LeaseDuration {
		return true
	}
	if w == nil {
		return false
	}
	since, ok := w.MajoritySince()
	return ok && now.Sub(since) < QuorumValidity
}

// EarlierHolderStopTime returns when an earlier holder has certainly stopped acting, for a successor whose claim the store accepted. No
// renewal of the earlier holder began after renewed. w are its members that follow the successor.
func EarlierHolderStopTime(renewed time.Time, w *Quorum) time.Time {
	left, ok := w.majoritySwitchedAt()
	if !ok {
		return renewed.Add(MaxUnconfirmed)
	}
	end := renewed.Add(LeaseDuration)
	if f := left.Add(QuorumValidity); f.After(end) {
		end = f
	}
	return end
}

// IsHolder reports whether no newer claim than that of this instance is known, whether or not it may still act.
func (t *Leadership) IsHolder() bool { return t.isHolder }

// UnconfirmedFor returns the time since the last confirmed append began.
func (t *Leadership) UnconfirmedFor(now time.Time) time.Duration { return now.Sub(t.confirmedStart) }

// RenewalDue reports whether the lead should be renewed.
func (t *Leadership) RenewalDue(now time.Time) bool {
	return t.isHolder && now.Sub(t.confirmedStart) >= RenewInterval
}

// ShouldClaim reports whether this instance should claim the lead. rank orders the candidates, 0 first.
func (t *Leadership) ShouldClaim(now time.Time, rank int) bool {
	wait := time.Duration(min(rank, maxRank)) * rankDelay
	switch {
	case t.isHolder:
		return false
	case !t.hasRecord || t.record.Resigned:
		return now.Sub(t.renewedAt) >= wait
	case t.record.Holder == t.Self:
		// An earlier life of this instance held the lead, and it has ended.
		return true
	}
	return now.Sub(t.renewedAt) >= staleAfter+wait
}

// NextRecord returns the record of a claim or renewal by this instance. A renewal with a new term makes witnesses count again
// that were started during the present one.
func (t *Leadership) NextRecord(nonce uint64, members []string, newTerm bool) LeadRecord {
	term := t.record.Term
	if !t.isHolder || newTerm {
		term++
	}
	return LeadRecord{Holder: t.Self, Term: term, Nonce: nonce, Members: members}
}
