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

// Print returns the fingerprint of a request. path includes the query.
func Print(method, path string, body []byte) Fingerprint {
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
	Print  Fingerprint
	Server string
	Age    time.Duration // since the loss
}

// Decision says how a request may run.
type Decision uint8

const (
	// Run means that nothing is known against the request.
	Run Decision = iota
	// Alone means that the request has a strike: no other request may run on its server meanwhile.
	Alone
	// Trial is Alone for the one request that is tried after a quarantine.
	Trial
	// Refuse means that the request is in quarantine and must not run.
	Refuse
)

// String returns the decision as it appears in logs.
func (d Decision) String() string { return [...]string{"run", "alone", "trial", "refuse"}[d] }

const (
	// Lifetime is how long a strike counts. It exceeds the longest quarantine, so that the level is known after it.
	Lifetime = 30 * time.Minute
	shortest = time.Minute
	longest  = 10 * time.Minute
	// trialLimit is how long a trial without a known end holds off the next one.
	trialLimit = time.Minute
	// sameLoss is how far apart the times of one loss can be that arrives over several ways. Ages leave out the time on
	// the way.
	sameLoss = 2 * time.Second
	// spreadPart is the part of a quarantine by which instances differ. If they tried a request at the same time, each
	// would lose a server before it hears of the other's strike.
	spreadPart = 4
	// maxEntries bounds the memory.
	maxEntries = 4096
	// evictSample is how many entries are compared to find one to drop. All of them would take too long for each strike.
	evictSample = 64
)

// Tracker holds the strikes that one instance knows. It is not safe for concurrent use.
type Tracker struct {
	spread  float64 // 0 to 1
	entries map[Fingerprint]*entry
}

type entry struct {
	losses  map[string]time.Time // time of the latest loss of each server
	latest  time.Time            // of losses and success
	due     time.Time            // end of the quarantine in all instances alike, zero if there was none
	until   time.Time            // its end in this instance
	level   int                  // quarantines so far that were followed by another strike
	trial   time.Time            // start of the trial, zero if there is none
	cleared time.Time            // of the last success; earlier losses do not count
}

// New returns a tracker without strikes. instance seeds the part by which its quarantines are longer than others'.
func New(instance string) *Tracker {
	sum := sha256.Sum256([]byte(instance))
	return &Tracker{spread: float64(sum[0]) / 256, entries: make(map[Fingerprint]*entry)}
}

// Admit decides about a request. With Refuse it returns how long the quarantine still lasts. A Trial ends with Succeeded,
// Lost or a minute later.
func (t *Tracker) Admit(now time.Time, f Fingerprint) (Decision, time.Duration) {
	e := t.live(now, f)
	switch {
	case e == nil || len(e.losses) == 0:
		return Run, 0
	case e.until.IsZero():
		return Alone, 0
	case now.Before(e.until):
		return Refuse, e.until.Sub(now)
	case !e.trial.IsZero() && now.Sub(e.trial) < trialLimit:
		return Refuse, trialLimit - now.Sub(e.trial)
	}
	e.trial = now
	return Trial, 0
}

// Refused reports whether the request is in quarantine, without starting a trial.
func (t *Tracker) Refused(now time.Time, f Fingerprint) (time.Duration, bool) {
	e := t.live(now, f)
	if e == nil || !now.Before(e.until) {
		return 0, false
	}
	return e.until.Sub(now), true
}

// Quarantined returns the number of fingerprints in quarantine.
func (t *Tracker) Quarantined(now time.Time) int {
	n := 0
	for _, e := range t.entries {
		if now.Before(e.until) {
			n++
		}
	}
	return n
}

// Succeeded notes that a request ran to its end. It sheds the strikes that the request got because others crashed its
// servers.
func (t *Tracker) Succeeded(now time.Time, f Fingerprint) {
	if e := t.live(now, f); e != nil {
		*e = entry{cleared: now, latest: now}
	}
}

// Lost notes that a server was lost while these requests ran on it.
func (t *Tracker) Lost(now time.Time, server string, running []Fingerprint) {
	for _, f := range running {
		t.strike(now, f, server, now)
	}
}

// Merge adds strikes that other instances know.
func (t *Tracker) Merge(now time.Time, strikes []Strike) {
	for _, s := range strikes {
		if s.Age >= 0 && s.Age < Lifetime {
			t.strike(now, s.Print, s.Server, now.Add(-s.Age))
		}
	}
}

// Recent returns the strikes of losses not older than age, for other instances. A strike is passed on from instance to
// instance, so a few heartbeats suffice as age; Lifetime is for an instance that has just started.
func (t *Tracker) Recent(now time.Time, age time.Duration) []Strike {
	var out []Strike
	for f, e := range t.entries {
		for server, at := range e.losses {
			if a := now.Sub(at); a <= min(age, Lifetime) {
				out = append(out, Strike{Print: f, Server: server, Age: max(a, 0)})
			}
		}
	}
	return out
}

// live returns the entry of f, nil if there is none that still counts.
func (t *Tracker) live(now time.Time, f Fingerprint) *entry {
	e := t.entries[f]
	if e != nil && now.Sub(e.latest) >= Lifetime {
		delete(t.entries, f)
		return nil
	}
	return e
}

func (t *Tracker) strike(now time.Time, f Fingerprint, server string, at time.Time) {
	e := t.live(now, f)
	if e == nil {
		t.makeRoom(now)
		e = new(entry)
		t.entries[f] = e
	}
	if !e.cleared.IsZero() && !at.After(e.cleared) {
		return
	}
	if !e.lose(server, at) || len(e.losses) < 2 {
		return
	}
	if !e.due.IsZero() && !at.Before(e.due) {
		e.level++
	}
	d := min(shortest<<min(e.level, 10), longest)
	if due := at.Add(d); due.After(e.due) {
		e.due, e.until, e.trial = due, due.Add(time.Duration(t.spread*float64(d)/spreadPart)), time.Time{}
	}
}

// lose notes a loss and reports whether it is a new one.
func (e *entry) lose(server string, at time.Time) bool {
	known, ok := e.losses[server]
	if ok && at.Before(known.Add(sameLoss)) {
		if at.Before(known) && known.Sub(at) < sameLoss {
			e.losses[server] = at // the shorter way is nearer to the truth
		}
		return false
	}
	if e.losses == nil {
		e.losses = make(map[string]time.Time)
	}
	e.losses[server] = at
	if at.After(e.latest) {
		e.latest = at
	}
	return true
}

// makeRoom drops one entry when there are too many: of a sample, the one without
// quarantine whose loss is longest ago.
func (t *Tracker) makeRoom(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	var worst Fingerprint
	var found *entry
	seen := 0
	for f, e := range t.entries {
		if found == nil || e.older(found, now) {
			worst, found = f, e
		}
		if seen++; seen == evictSample {
			break
		}
	}
	delete(t.entries, worst)
}

// older reports whether e should be dropped rather than other.
func (e *entry) older(other *entry, now time.Time) bool {
	if a, b := now.Before(e.until), now.Before(other.until); a != b {
		return b
	}
	return e.latest.Before(other.latest)
}
