package assign

import "time"

const (
	// initialQuiet is how long the number of servers must stay unchanged before a pool's keys are first assigned. It is longer
	// than the heartbeat interval, within which servers that start together become known.
	initialQuiet = 1200 * time.Millisecond
	// maxInitialDelay bounds the wait while servers keep joining.
	maxInitialDelay = 4 * time.Second
)

// InitialDelay decides when the keys of a pool are first assigned. If the first few servers got all keys, many would have
// to be moved under load soon after. The zero value is ready for use.
type InitialDelay struct {
	count              int
	firstAt, changedAt time.Time // when the first server was seen, when count last changed
}

// Ready reports whether the keys should be assigned now. servers is the number of known servers.
func (d *InitialDelay) Ready(now time.Time, servers int) bool {
	if servers != d.count {
		d.count, d.changedAt = servers, now
		if d.firstAt.IsZero() {
			d.firstAt = now
		}
	}
	return servers > 0 && (now.Sub(d.changedAt) >= initialQuiet || now.Sub(d.firstAt) >= maxInitialDelay)
}
