// Package flight tracks a controller's appends to the place stream: what is in flight, what became of it by the fold, and
// whether the log answers. It reads no clock and sends nothing itself.
package flight

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// logWait is how long the controller waits for the log before it moves slots without it.
const logWait = 500 * time.Millisecond

// RetryEvery is the time between appends of one kind while the log does not answer.
const RetryEvery = time.Second

// Append asks for a record in the place stream. Its result goes to Log.Appended with the same tag.
type Append struct {
	Tag    uint64
	Record *record.Record
}

// Pending is an append whose effect is not known yet.
type Pending struct {
	tag    uint64
	sent   time.Time
	offset uint64 // 0 until answered
	failed bool   // certainly without effect
}

// Log is the controller's view of the log: what is in flight, and whether the log answers.
type Log struct {
	Down  bool
	Event func(name string, fields ...any)

	tag    uint64
	flight map[uint64]*Pending
	out    []Append
}

// Append starts an append at now.
func (l *Log) Append(now time.Time, rec *record.Record) *Pending {
	l.tag++
	p := &Pending{tag: l.tag, sent: now}
	if l.flight == nil {
		l.flight = make(map[uint64]*Pending)
	}
	l.flight[l.tag] = p
	l.out = append(l.out, Append{Tag: l.tag, Record: rec})
	return p
}

// Out returns the appends to make, once.
func (l *Log) Out() []Append {
	out := l.out
	l.out = nil
	return out
}

// Appended takes the result of an append. An unknown outcome has offset 0 and failed false.
func (l *Log) Appended(tag, offset uint64, failed bool) {
	if p := l.flight[tag]; p != nil {
		p.offset, p.failed = offset, failed
	}
}

// Over reports at now whether the fold, which has reached the offset folded, shows what became of the append. late
// means that waiting longer is useless although the fold may still show it one day.
func (l *Log) Over(now time.Time, p *Pending, folded uint64) (done, late bool) {
	switch {
	case p.failed, p.offset > folded && now.Sub(p.sent) >= logWait, p.offset == 0 && now.Sub(p.sent) >= logWait:
		late = true
	case p.offset != 0 && folded >= p.offset:
	default:
		return false, false
	}
	delete(l.flight, p.tag)
	if late != l.Down {
		l.Down = late
		l.Event("log", "down", late)
	}
	return true, late
}
