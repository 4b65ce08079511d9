// Package crash recognises requests that crash the servers that run them. It counts, for each fingerprint of a request,
// the servers lost while it ran, and decides whether the request may run, runs alone or is refused.
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Fingerprint stands for all requests with the same method, path and body.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. path includes the query.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{method, path} {
		// The length keeps the parts apart.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Strike says that a server was lost while a request with this fingerprint ran on it.
type Strike struct {
	Fingerprint Fingerprint
	Server      string
	Age         time.Duration // since the loss
}

// Decision says how a request may run.
type Decision uint8

const (
	// Allow means that nothing is known against the request.
	Allow Decision = iota
	// AllowAlone means that the request has a strike: no other request may run on its server meanwhile.
	AllowAlone
	// AllowTrial is Alone for the one request that is tried after a quarantine.
	AllowTrial
	// Refuse means that the request is in quarantine and must not run.
	Refuse
)

// String returns the decision as it appears in logs.
func (d Decision) String() string { return [...]string{"run", "alone", "trial", "refuse"}[d] }

const (
	// StrikeLifetime is how long a strike counts. It exceeds the longest quarantine, so that the level is known after it.
	StrikeLifetime = 30 * time.Minute
	minQuarantine  = time.Minute
	maxQuarantine  = 10 * time.Minute
	// trialTimeout is how long a trial without a known end holds off the next one.
	trialTimeout = time.Minute
	// sameLossWindow is how far apart the times of one loss can be that arrives over several ways. Ages leave out the time on
	// the way.
	sameLossWindow = 2 * time.Second
	// spreadDivisor is the part of a quarantine by which instances differ. If they tried a request at the same time, each
	// would lose a server before it hears of the other's strike.
	spreadDivisor = 4
	// maxEntries bounds the memory.
	maxEntries = 4096
	// evictSample is how many entries are compared to find one to drop. All of them would take too long for each strike.
	evictSample = 64
)

// Tracker holds the strikes that one instance knows. It is not safe for concurrent use.
type Tracker struct {
	spreadFraction float64 // 0 to 1
	entries        map[Fingerprint]*entry
}

type entry struct {
	lossTimes   map[string]time.Time // time of the latest loss of each server
	lastEvent   time.Time            // of losses and success
	sharedEnd   time.Time            // end of the quarantine in all instances alike, zero if there was none
	localEnd    time.Time            // its end in this instance
	level       int                  // quarantines so far that were followed by another strike
	trialStart  time.Time            // start of the trial, zero if there is none
	lastSuccess time.Time            // of the last success; earlier losses do not count
}

// New returns a tracker without strikes. instance seeds the part by which its quarantines are longer than others'.
func New(instance string) *Tracker {
	sum := sha256.Sum256([]byte(instance))
	return &Tracker{spreadFraction: float64(sum[0]) / 256, entries: make(map[Fingerprint]*entry)}
}

// Admit decides about a request. With Refuse it returns how long the quarantine still lasts. A Trial ends with Succeeded,
// Lost or a minute later.
func (t *Tracker) Admit(now time.Time, f Fingerprint) (Decision, time.Duration) {
	e := t.currentEntry(now, f)
	switch {
	case e == nil || len(e.lossTimes) == 0:
		return Allow, 0
	case e.localEnd.IsZero():
		return AllowAlone, 0
	case now.Before(e.localEnd):
		return Refuse, e.localEnd.Sub(now)
	case !e.trialStart.IsZero() && now.Sub(e.trialStart) < trialTimeout:
		return Refuse, trialTimeout - now.Sub(e.trialStart)
	}
	e.trialStart = now
	return AllowTrial, 0
}

// QuarantineLeft reports whether the request is in quarantine, without starting a trial.
func (t *Tracker) QuarantineLeft(now time.Time, f Fingerprint) (time.Duration, bool) {
	e := t.currentEntry(now, f)
	if e == nil || !now.Before(e.localEnd) {
		return 0, false
	}
	return e.localEnd.Sub(now), true
}

// QuarantineCount returns the number of fingerprints in quarantine.
func (t *Tracker) QuarantineCount(now time.Time) int {
	n := 0
	for _, e := range t.entries {
		if now.Before(e.localEnd) {
			n++
		}
	}
	return n
}

// RecordSuccess notes that a request ran to its end. It sheds the strikes that the request got because others crashed its
// servers.
func (t *Tracker) RecordSuccess(now time.Time, f Fingerprint) {
	if e := t.currentEntry(now, f); e != nil {
		*e = entry{lastSuccess: now, lastEvent: now}
	}
}

// RecordLoss notes that a server was lost while these requests ran on it.
func (t *Tracker) RecordLoss(now time.Time, server string, running []Fingerprint) {
	for _, f := range running {
		t.addStrike(now, f, server, now)
	}
}

// Merge adds strikes that other instances know.
func (t *Tracker) Merge(now time.Time, strikes []Strike) {
	for _, s := range strikes {
		if s.Age >= 0 && s.Age < StrikeLifetime {
			t.addStrike(now, s.Fingerprint, s.Server, now.Add(-s.Age))
		}
	}
}

// RecentStrikes returns the strikes of losses not older than age, for other instances. A strike is passed on from instance to
// instance, so a few heartbeats suffice as age; Lifetime is for an instance that has just started.
func (t *Tracker) RecentStrikes(now time.Time, age time.Duration) []Strike {
	var out []Strike
	for f, e := range t.entries {
		for server, at := range e.lossTimes {
			if a := now.Sub(at); a <= min(age, StrikeLifetime) {
				out = append(out, Strike{Fingerprint: f, Server: server, Age: max(a, 0)})
			}
		}
	}
	return out
}

// currentEntry returns the entry of f, nil if there is none that still counts.
func (t *Tracker) currentEntry(now time.Time, f Fingerprint) *entry {
	e := t.entries[f]
	if e != nil && now.Sub(e.lastEvent) >= StrikeLifetime {
		delete(t.entries, f)
		return nil
	}
	return e
}

func (t *Tracker) addStrike(now time.Time, f Fingerprint, server string, at time.Time) {
	e := t.currentEntry(now, f)
	if e == nil {
		t.evictIfFull(now)
		e = new(entry)
		t.entries[f] = e
	}
	if !e.lastSuccess.IsZero() && !at.After(e.lastSuccess) {
		return
	}
	if !e.recordLoss(server, at) || len(e.lossTimes) < 2 {
		return
	}
	if !e.sharedEnd.IsZero() && !at.Before(e.sharedEnd) {
		e.level++
	}
	d := min(minQuarantine<<min(e.level, 10), maxQuarantine)
	if due := at.Add(d); due.After(e.sharedEnd) {
		e.sharedEnd, e.localEnd, e.trialStart = due, due.Add(time.Duration(t.spreadFraction*float64(d)/spreadDivisor)), time.Time{}
	}
}

// recordLoss notes a loss and reports whether it is a new one.
func (e *entry) recordLoss(server string, at time.Time) bool {
	known, ok := e.lossTimes[server]
	if ok && at.Before(known.Add(sameLossWindow)) {
		if at.Before(known) && known.Sub(at) < sameLossWindow {
			e.lossTimes[server] = at // the shorter way is nearer to the truth
		}
		return false
	}
	if e.lossTimes == nil {
		e.lossTimes = make(map[string]time.Time)
	}
	e.lossTimes[server] = at
	if at.After(e.lastEvent) {
		e.lastEvent = at
	}
	return true
}

// evictIfFull drops one entry when there are too many: of a sample, the one without
// quarantine whose loss is longest ago.
func (t *Tracker) evictIfFull(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	var worst Fingerprint
	var found *entry
	seen := 0
	for f, e := range t.entries {
		if found == nil || e.evictBefore(found, now) {
			worst, found = f, e
		}
		if seen++; seen == evictSample {
			break
		}
	}
	delete(t.entries, worst)
}

// evictBefore reports whether e should be dropped rather than other.
func (e *entry) evictBefore(other *entry, now time.Time) bool {
	if a, b := now.Before(e.localEnd), now.Before(other.localEnd); a != b {
		return b
	}
	return e.lastEvent.Before(other.lastEvent)
}
