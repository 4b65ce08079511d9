package once

import "time"

const (
	// DefaultAppendBudget is the number of ledger appends per second of all instances together. The log takes several
	// hundred, and the other streams need some of them.
	DefaultAppendBudget = 200
	// maxInFlight limits an instance's unanswered appends. It is above 1 so that a slow answer does not block the rest.
	maxInFlight = 4
	// pauseAfterFailure is the pause after a failed append.
	pauseAfterFailure = 200 * time.Millisecond
	// downAfterFailures is the number of consecutive failed appends after which the log counts as down.
	downAfterFailures = 3
	// downTime is how long the log counts as down after the last of these failures.
	downTime = 300 * time.Millisecond
)

// Pacer limits the rate and concurrency of an instance's appends. It is not safe for concurrent use.
type Pacer struct {
	Budget        float64 // appends per second of all instances together, DefaultAppendBudget if 0
	nextAppend    time.Time
	inFlight      int
	failuresInRow int
	lastFailure   time.Time
}

// TryStart starts an append if one is allowed now. If not, wait is the time to wait, 0 meaning until RecordResult. live is
// the number of live instances. The first append after an idle time is not delayed.
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

// RecordResult records that an append was answered or failed.
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

// IsDown reports whether enough recent appends failed that claims should be refused without trying.
func (p *Pacer) IsDown(now time.Time) bool {
	return p.failuresInRow >= downAfterFailures && now.Sub(p.lastFailure) < downTime
}
