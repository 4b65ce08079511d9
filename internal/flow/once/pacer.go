package once

import "time"

const (
	// DefaultAppendBudget is how many appends a second all instances together make to the ledger. The log takes several
	// hundred, and the other streams need some of them.
	DefaultAppendBudget = 200
	// maxInFlight is how many appends of an instance may be unanswered, so that one slow answer does not hold up the rest.
	maxInFlight = 4
	// pauseAfterFailure is the pause after a failed append.
	pauseAfterFailure = 200 * time.Millisecond
	// downAfterFailures is how many appends in a row have to fail for the log to count as down.
	downAfterFailures = 3
	// downTime is how long claims are refused at once after such a failure.
	downTime = 300 * time.Millisecond
)

// Pacer decides when the next group of records may be appended. It is not safe for concurrent use.
type Pacer struct {
	Budget        float64 // appends per second of all instances, DefaultBudget if 0
	nextAppend    time.Time
	inFlight      int
	failuresInRow int
	lastFailure   time.Time
}

// TryStart reports whether a group may be appended now, and otherwise how long to wait; 0 means until Landed. live is the
// number of live instances. When none was appended lately, the first group leaves at once.
func (p *Pacer) TryStart(now time.Time, live int) (ok bool, wait time.Duration) {
	if p.inFlight >= maxInFlight {
		return false, 0
	}
	if now.Before(p.nextAppend) {
		return false, p.nextAppend.Sub(now)
	}
	budget := p.Budget
	if budget <= 0 {
		budget = DefaultAppendBudget
	}
	p.nextAppend = now.Add(time.Duration(float64(max(live, 1)) / budget * float64(time.Second)))
	p.inFlight++
	return true, 0
}

// RecordResult notes that an append was answered or failed.
func (p *Pacer) RecordResult(now time.Time, failed bool) {
	p.inFlight--
	if !failed {
		p.failuresInRow = 0
		return
	}
	p.failuresInRow++
	p.lastFailure = now
	if pause := now.Add(pauseAfterFailure); p.nextAppend.Before(pause) {
		p.nextAppend = pause
	}
}

// IsDown reports whether the log failed so often, and so lately, that a claim should be refused without a trial.
func (p *Pacer) IsDown(now time.Time) bool {
	return p.failuresInRow >= downAfterFailures && now.Sub(p.lastFailure) < downTime
}
