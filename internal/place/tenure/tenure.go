// Package tenure decides who leads a deployment. The lead is a record in the store that its holder renews by conditional
// appends: a claim by another instance makes the next renewal fail, so the store's order is the arbiter. The package is
// pure; all times must come from a clock that counts while the instance is suspended.
package tenure

import "time"

const (
	// Lease is how long a holder may act after the start of its last confirmed append.
	Lease = 2400 * time.Millisecond
	// Fresh is how long the word of a majority of witnesses counts.
	Fresh = time.Second
	// Extension is how long a holder may act at most after its last confirmed append, however many witnesses follow it.
	// A successor that can't reach a majority waits for it, and outages of the store last up to some 9 s.
	Extension = 14 * time.Second
	// Renew is the interval of renewals. Each is a priced call.
	Renew = time.Second
	// Silence is how long a member hears nothing from the leader before it asks the store itself.
	Silence = 1200 * time.Millisecond
	// stale is how long a record of the lead may stay unchanged before another instance claims it: one renewal and the
	// time of a slow append.
	stale = 1600 * time.Millisecond
	// stagger keeps candidates apart, so that the first claim is seen by the others before they try.
	stagger = 150 * time.Millisecond
	// maxRank bounds the wait of the last candidate.
	maxRank = 15
)

// Lead is the newest record of the lead. Offset is its place in the stream.
type Lead struct {
	Holder   string
	Term     uint64
	Nonce    uint64
	Resigned bool
	Offset   uint64
	Members  []string // all instances that the holder knows, in the order of succession
}

// Tenure is one instance's view of the lead. It is not safe for concurrent use.
type Tenure struct {
	Self string // address of this instance, unique among those that run

	lead    Lead
	known   bool
	since   time.Time // when the lead was first seen, or last renewed by its holder's word
	renewed uint64    // offset of that renewal
	mine    bool
	sent    time.Time // start of the last confirmed append of this instance
}

// Observe notes the newest record of the lead.
func (t *Tenure) Observe(now time.Time, l Lead) {
	if t.known && l.Offset <= t.lead.Offset {
		return
	}
	if l.Holder != t.Self {
		t.mine = false
	}
	if !t.known || l.Offset > t.renewed {
		t.since = now
	}
	t.lead, t.known = l, true
}

// Renewed notes the holder's word that the store has a renewal at that offset.
func (t *Tenure) Renewed(now time.Time, holder string, term, offset uint64) {
	if t.known && t.lead.Holder == holder && t.lead.Term == term && offset > max(t.renewed, t.lead.Offset) {
		t.renewed, t.since = offset, now
	}
}

// Start notes that the streams were read. Without a lead in them the candidates' turns count from then.
func (t *Tenure) Start(now time.Time) {
	if !t.known {
		t.since = now
	}
}

// Renewal returns a time before which the newest known record of the lead was written: when it was first seen, or when
// its holder told of it.
func (t *Tenure) Renewal() time.Time { return t.since }

// Lead returns the newest record of the lead and whether there is one.
func (t *Tenure) Lead() (Lead, bool) { return t.lead, t.known }

// Confirmed notes that the store accepted l, by an append of this instance that began at start.
func (t *Tenure) Confirmed(now, start time.Time, l Lead) {
	t.Observe(now, l)
	t.mine = !l.Resigned && l.Holder == t.Self
	t.sent = start
}

// Lost notes that the store has a newer claim than the one of this instance.
func (t *Tenure) Lost() { t.mine = false }

// Holds reports whether this instance leads and may act at now: by its lease, or by its witnesses, which may be nil.
func (t *Tenure) Holds(now time.Time, w *Witnesses) bool {
	age := now.Sub(t.sent)
	if !t.mine || age >= Extension {
		return false
	}
	if age < Lease {
		return true
	}
	if w == nil {
		return false
	}
	since, ok := w.Majority()
	return ok && now.Sub(since) < Fresh
}

// Ended returns when an earlier holder has certainly stopped acting, for a successor whose claim the store accepted. No
// renewal of the earlier holder began after renewed. w are its members that follow the successor.
func Ended(renewed time.Time, w *Witnesses) time.Time {
	left, ok := w.left()
	if !ok {
		return renewed.Add(Extension)
	}
	end := renewed.Add(Lease)
	if f := left.Add(Fresh); f.After(end) {
		end = f
	}
	return end
}

// Leads reports whether no newer claim than that of this instance is known, whether or not it may still act.
func (t *Tenure) Leads() bool { return t.mine }

// Unconfirmed returns the time since the last confirmed append began.
func (t *Tenure) Unconfirmed(now time.Time) time.Duration { return now.Sub(t.sent) }

// Due reports whether the lead should be renewed.
func (t *Tenure) Due(now time.Time) bool { return t.mine && now.Sub(t.sent) >= Renew }

// Claimable reports whether this instance should claim the lead. rank orders the candidates, 0 first.
func (t *Tenure) Claimable(now time.Time, rank int) bool {
	wait := time.Duration(min(rank, maxRank)) * stagger
	switch {
	case t.mine:
		return false
	case !t.known || t.lead.Resigned:
		return now.Sub(t.since) >= wait
	case t.lead.Holder == t.Self:
		// An earlier life of this instance held the lead, and it has ended.
		return true
	}
	return now.Sub(t.since) >= stale+wait
}

// Next returns the record of a claim or renewal by this instance. A renewal with a new term makes witnesses count again
// that were started during the present one.
func (t *Tenure) Next(nonce uint64, members []string, newTerm bool) Lead {
	term := t.lead.Term
	if !t.mine || newTerm {
		term++
	}
	return Lead{Holder: t.Self, Term: term, Nonce: nonce, Members: members}
}
