// Package crash detects requests that crash servers. For each request fingerprint it counts the servers lost while the
// request ran, and decides whether the request may run, must run alone or is refused.
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Fingerprint identifies all requests with the same method, path and body.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. path includes the query.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{method, path} {
		// Length prefixes separate the parts.
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Strike records that a server was lost while a request with this fingerprint ran on it. Server names one process of the
// server: a request may crash the next one as well, under the same id.
type Strike struct {
	Fingerprint Fingerprint
	Server      string
	Age         time.Duration // since the loss
}

// Decision says whether and how a request may run.
type Decision uint8

const (
	// Allow means that the request has no strikes.
	Allow Decision = iota
	// AllowAlone means that the request has a strike: no other request may run on its server meanwhile.
	AllowAlone
	// AllowTrial is AllowAlone for the single request that is let through after a quarantine.
	AllowTrial
	// Refuse means that the request is in quarantine and must not run.
	Refuse
)

// String returns the decision as it appears in logs.
func (d Decision) String() string { return [...]string{"run", "alone", "trial", "refuse"}[d] }

const (
	// StrikeLifetime is how long a strike counts: longer than any quarantine, so that the level is still known after one.
	StrikeLifetime = 30 * time.Minute
	minQuarantine  = time.Minute
	maxQuarantine  = 10 * time.Minute
	// trialTimeout is how long a trial without a result delays the next one.
	trialTimeout = time.Minute
	// sameLossWindow is how far apart the times reported for one loss can be. A loss is reported over several paths, and
	// its age does not include the time in transit.
	sameLossWindow = 2 * time.Second
	// spreadDivisor gives the fraction of a quarantine, 1/4, by which instances may extend it. If all of them tried a request
	// at the same time, each would lose a server before it learned of the others' strikes.
	spreadDivisor = 4
	// maxEntries bounds the memory used.
	maxEntries = 4096
	// evictSample is how many entries are compared to find one to drop; comparing all at each strike would take too long.
	evictSample = 64
)

// Tracker holds the strikes known to one instance. It is not safe for concurrent use.
type Tracker struct {
	spreadFraction float64 // 0 to 1
	entries        map[Fingerprint]*entry
}

type entry struct {
	lossTimes   map[string]time.Time // latest loss of each server process
	lastEvent   time.Time            // latest loss or success
	sharedEnd   time.Time            // end of the quarantine before this instance's extension, zero if there was none
	localEnd    time.Time            // end of the quarantine in this instance
	level       int                  // quarantines that were followed by another strike
	trialStart  time.Time            // start of the trial, zero if there is none
	lastSuccess time.Time            // losses up to then do not count
}

// New returns a tracker without strikes. The instance id determines by how much it extends quarantines.
func New(instance string) *Tracker {
	sum := sha256.Sum256([]byte(instance))
	return &Tracker{spreadFraction: float64(sum[0]) / 256, entries: make(map[Fingerprint]*entry)}
}

// Admit decides whether a request may run. With Refuse it returns the time to wait. A trial that it allows ends with
// RecordSuccess, RecordLoss or after a minute.
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

// QuarantineLeft reports whether the request is in quarantine, and for how long. It starts no trial.
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

// RecordSuccess records that a request completed. This clears its strikes: it got them because other requests crashed its
// servers.
func (t *Tracker) RecordSuccess(now time.Time, f Fingerprint) {
	if e := t.currentEntry(now, f); e != nil {
		*e = entry{lastSuccess: now, lastEvent: now}
	}
}

// RecordLoss records that a process of a server was lost while the requests in running ran on it.
func (t *Tracker) RecordLoss(now time.Time, server string, running []Fingerprint) {
	for _, f := range running {
		t.addStrike(now, f, server, now)
	}
}

// Merge adds strikes reported by other instances.
func (t *Tracker) Merge(now time.Time, strikes []Strike) {
	for _, s := range strikes {
		if s.Age >= 0 && s.Age < StrikeLifetime {
			t.addStrike(now, s.Fingerprint, s.Server, now.Add(-s.Age))
		}
	}
}

// RecentStrikes returns the strikes no older than age, for other instances. Instances pass strikes on, so an age of a few
// heartbeats suffices; an instance that has just started needs StrikeLifetime.
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

// currentEntry returns the entry of f, nil if there is none or it has expired.
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

// recordLoss records a loss and reports whether it is a new one.
func (e *entry) recordLoss(server string, at time.Time) bool {
	known, ok := e.lossTimes[server]
	if ok && at.Before(known.Add(sameLossWindow)) {
		if at.Before(known) && known.Sub(at) < sameLossWindow {
			e.lossTimes[server] = at // the report with less time in transit is more accurate
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

// evictIfFull drops one entry if there are maxEntries: of a sample, the one longest without loss or success, preferably
// not in quarantine.
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
