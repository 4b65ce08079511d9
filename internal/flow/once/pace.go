package once

import "time"

const (
	// DefaultBudget is how many appends a second all instances together make to the ledger. The log takes several
	// hundred, and the other streams need some of them.
	DefaultBudget = 200
	// maxFlying is how many appends of an instance may be unanswered, so that one slow answer does not hold up the rest.
	maxFlying = 4
	// failPause is the pause after a failed append.
	failPause = 200 * time.Millisecond
	// manyFailures is how many appends in a row have to fail for the log to count as down.
	manyFailures = 3
	// maxDown is how long claims are refused at once after such a failure.
	maxDown = 300 * time.Millisecond
)

// Pace decides when the next group of records may be appended. It is not safe for concurrent use.
type Pace struct {
	Budget   float64 // appends per second of all instances, DefaultBudget if 0
	next     time.Time
	flying   int
	failures int
	failed   time.Time
}

// Take reports whether a group may be appended now, and otherwise how long to wait; 0 means until Landed. live is the
// number of live instances. When none was appended lately, the first group leaves at once.
func (p *Pace) Take(now time.Time, live int) (ok bool, wait time.Duration) {
	if p.flying >= maxFlying {
		return false, 0
	}
	if now.Before(p.next) {
		return false, p.next.Sub(now)
	}
	budget := p.Budget
	if budget <= 0 {
		budget = DefaultBudget
	}
	p.next = now.Add(time.Duration(float64(max(live, 1)) / budget * float64(time.Second)))
	p.flying++
	return true, 0
}

// Landed notes that an append was answered or failed.
func (p *Pace) Landed(now time.Time, failed bool) {
	p.flying--
	if !failed {
		p.failures = 0
		return
	}
	p.failures++
	p.failed = now
	if pause := now.Add(failPause); p.next.Before(pause) {
		p.next = pause
	}
}

// Down reports whether the log failed so often, and so lately, that a claim should be refused without a trial.
func (p *Pace) Down(now time.Time) bool {
	return p.failures >= manyFailures && now.Sub(p.failed) < maxDown
}
