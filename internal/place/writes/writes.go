// Package writes tracks a controller's appends to the place stream: which are in flight, whether the fold shows their
// effect, and whether the log answers. It reads no clock and sends nothing itself.
package writes

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// maxLogWait is how long the controller waits for an append before it moves slots without the log.
const maxLogWait = 500 * time.Millisecond

// RetryInterval is the time between retries of an append while the log does not answer.
const RetryInterval = time.Second

// Append is a record to append to the place stream. Its result goes to Tracker.SetResult with the same tag.
type Append struct {
	Tag    uint64
	Record *record.Record
}

// Pending is an append whose effect is not known yet.
type Pending struct {
	tag         uint64
	sentAt      time.Time
	offset      uint64 // 0 until known
	notAppended bool   // certainly not in the log
}

// Tracker tracks appends. LogEvent must be set.
type Tracker struct {
	LogDown  bool // the last finished append failed or took too long
	LogEvent func(name string, fields ...any)

	lastTag  uint64
	inFlight map[uint64]*Pending
	queued   []Append
}

// Append queues an append of rec at now.
func (t *Tracker) Append(now time.Time, rec *record.Record) *Pending {
	t.lastTag++
	p := &Pending{tag: t.lastTag, sentAt: now}
	if t.inFlight == nil {
		t.inFlight = make(map[uint64]*Pending)
	}
	t.inFlight[t.lastTag] = p
	t.queued = append(t.queued, Append{Tag: t.lastTag, Record: rec})
	return p
}

// TakeQueued returns and clears the queued appends.
func (t *Tracker) TakeQueued() []Append {
	out := t.queued
	t.queued = nil
	return out
}

// SetResult records the result of an append. If its outcome is unknown, offset is 0 and notAppended is false.
func (t *Tracker) SetResult(tag, offset uint64, notAppended bool) {
	if p := t.inFlight[tag]; p != nil {
		p.offset, p.notAppended = offset, notAppended
	}
}

// Outcome reports whether waiting for the append is over at now, when the fold has reached the offset folded. unconfirmed is
// true if it failed or took too long; if it took too long, the fold may still show it later.
func (t *Tracker) Outcome(now time.Time, p *Pending, folded uint64) (done, unconfirmed bool) {
	switch {
	case p.notAppended, p.offset > folded && now.Sub(p.sentAt) >= maxLogWait, p.offset == 0 && now.Sub(p.sentAt) >= maxLogWait:
		unconfirmed = true
	case p.offset != 0 && folded >= p.offset:
	default:
		return false, false
	}
	delete(t.inFlight, p.tag)
	if unconfirmed != t.LogDown {
		t.LogDown = unconfirmed
		t.LogEvent("log", "down", unconfirmed)
	}
	return true, unconfirmed
}
