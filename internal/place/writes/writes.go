// Package writes tracks a controller's appends to the place stream: what is in flight, what became of it by the fold, and
// whether the log answers. It reads no clock and sends nothing itself.
package writes

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// maxLogWait is how long the controller waits for the log before it moves slots without it.
const maxLogWait = 500 * time.Millisecond

// RetryInterval is the time between appends of one kind while the log does not answer.
const RetryInterval = time.Second

// Append asks for a record in the place stream. Its result goes to Log.Appended with the same tag.
type Append struct {
	Tag    uint64
	Record *record.Record
}

// Pending is an append whose effect is not known yet.
type Pending struct {
	tag         uint64
	sentAt      time.Time
	offset      uint64 // 0 until answered
	notAppended bool   // certainly without effect
}

// Tracker is the controller's view of the log: what is in flight, and whether the log answers.
type Tracker struct {
	LogDown  bool
	LogEvent func(name string, fields ...any)

	lastTag  uint64
	inFlight map[uint64]*Pending
	queued   []Append
}

// Append starts an append at now.
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

// TakeQueued returns the appends to make, once.
func (t *Tracker) TakeQueued() []Append {
	out := t.queued
	t.queued = nil
	return out
}

// SetResult takes the result of an append. An unknown outcome has offset 0 and failed false.
func (t *Tracker) SetResult(tag, offset uint64, notAppended bool) {
	if p := t.inFlight[tag]; p != nil {
		p.offset, p.notAppended = offset, notAppended
	}
}

// Outcome reports at now whether the fold, which has reached the offset folded, shows what became of the append. late
// means that waiting longer is useless although the fold may still show it one day.
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
