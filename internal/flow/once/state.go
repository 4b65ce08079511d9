package once

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Identity identifies a piece of work that must not run twice.
type Identity [sha256.Size]byte

// NewIdentity returns the hash of the route's name and the identifying values that the route declares, in that order.
func NewIdentity(route string, values ...string) Identity {
	h := sha256.New()
	var length [8]byte
	for _, s := range append([]string{route}, values...) {
		// Length prefixes give ("ab", "c") and ("a", "bc") different hashes.
		binary.BigEndian.PutUint64(length[:], uint64(len(s)))
		h.Write(length[:])
		h.Write([]byte(s))
	}
	return Identity(h.Sum(nil))
}

// entry is the state of one identity: its winning claim and the outcome of the work.
type entry struct {
	claimID       string
	expiresAt     int64 // Unix seconds from which another claim can win
	done          bool
	verdict       result.Verdict
	encodedAnswer []byte        // nil if unknown or not kept; a decoded message would take several times the memory
	changed       chan struct{} // closed on Done, Free, replacement or expiry; nil while nobody waits
}

// ledgerState is computed from the records of the ledger stream alone, so all instances agree on who wins.
type ledgerState struct {
	offset       uint64
	entries      map[Identity]*entry
	byExpiryHour map[int64][]Identity // keyed by Unix hours
}

const (
	secondsPerHour = 3600
	// hoursKept is how long an entry is kept after its expiry. It must exceed the difference between clocks, since the
	// claimant's clock decides expiry.
	hoursKept     = 1
	defaultWindow = 24 * time.Hour
)

// claimID returns the id of a claim. It contains the window so that all readers compute the same expiry, although
// instances learn of a changed route at different times.
func claimID(instance string, number uint64, window time.Duration) string {
	return instance + "/" + strconv.FormatUint(number, 10) + "/" + strconv.FormatInt(int64(window/time.Second), 10)
}

// windowSeconds returns the window in a claim id, or defaultWindow if it has none.
func windowSeconds(claim string) int64 {
	n, err := strconv.ParseInt(claim[strings.LastIndexByte(claim, '/')+1:], 10, 64)
	if err != nil || n <= 0 {
		return int64(defaultWindow / time.Second)
	}
	return n
}

// activeEntry returns the entry that blocks a claim made at Unix second at, or nil.
func (b *ledgerState) activeEntry(id Identity, at int64) *entry {
	if e := b.entries[id]; e != nil && at < e.expiresAt {
		return e
	}
	return nil
}

// applyClaim reports whether c wins its identity. repeated tells that c is a repeated record of the winning claim.
func (b *ledgerState) applyClaim(id Identity, c *record.Claim) (won, repeated bool) {
	old := b.entries[id]
	if old != nil && old.claimID == c.GetClaim() {
		return false, true
	}
	if b.activeEntry(id, c.GetAt()) != nil {
		return false, false
	}
	old.notifyWaiters()
	until := c.GetAt() + windowSeconds(c.GetClaim())
	b.entries[id] = &entry{claimID: c.GetClaim(), expiresAt: until}
	b.byExpiryHour[until/secondsPerHour] = append(b.byExpiryHour[until/secondsPerHour], id)
	return true, false
}

func (b *ledgerState) applyDone(id Identity, d *record.Done) {
	e := b.entries[id]
	if e == nil || e.claimID != d.GetClaim() || e.done {
		return
	}
	e.done, e.verdict = true, result.Verdict(d.GetVerdict())
	if d.GetAnswer() != nil {
		e.encodedAnswer, _ = proto.Marshal(d.GetAnswer())
	}
	e.notifyWaiters()
}

func (b *ledgerState) applyFree(id Identity, f *record.Free) {
	e := b.entries[id]
	if e == nil || e.claimID != f.GetClaim() || e.done {
		return
	}
	delete(b.entries, id)
	e.notifyWaiters()
}

// expire drops the entries that can no longer affect a claim.
func (b *ledgerState) expire(now time.Time) {
	for h, ids := range b.byExpiryHour {
		if h+1+hoursKept > now.Unix()/secondsPerHour {
			continue
		}
		for _, id := range ids {
			// The identity may have been claimed again later.
			if e := b.entries[id]; e != nil && e.expiresAt/secondsPerHour <= h {
				delete(b.entries, id)
				e.notifyWaiters()
			}
		}
		delete(b.byExpiryHour, h)
	}
}

func (e *entry) notifyWaiters() {
	if e != nil && e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// changedChannel returns a channel that is closed at the entry's next change.
func (e *entry) changedChannel() <-chan struct{} {
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}
