package relay

import "time"

const (
	snapshotInterval = 10 * time.Minute
	snapshotRecords  = 1000
	// dcDelayDivisor makes each further data centre wait a quarter longer, so that it takes over if the first is lost.
	dcDelayDivisor = 4
	// snapshotRetryPause is the pause after an attempt, since the answer to its append may have been lost.
	snapshotRetryPause = 10 * time.Second
)

// SnapshotSchedule decides when a controller writes a snapshot of a stream. The zero value is ready for use. It is not
// safe for concurrent use.
type SnapshotSchedule struct {
	latestAsof  uint64    // offset of the latest snapshot read or state adopted
	storedAsof  uint64    // offset of the latest snapshot read from the stream
	latestAt    time.Time // when latestAsof was set, or the first call of IsDue
	lastAttempt time.Time
}

// NoteStored records that a snapshot at offset asof was read from the stream, whoever wrote it.
func (s *SnapshotSchedule) NoteStored(now time.Time, asof uint64) {
	s.storedAsof = max(s.storedAsof, asof)
	s.NoteState(now, asof)
}

// ForgetStored records that the log was restored: it may have lost the latest snapshot, and got it back without its state.
func (s *SnapshotSchedule) ForgetStored() { s.storedAsof = 0 }

// NoteState records the offset of the state adopted at the start, so that the instance does not write a snapshot at
// once.
func (s *SnapshotSchedule) NoteState(now time.Time, asof uint64) {
	if asof > s.latestAsof {
		s.latestAsof, s.latestAt = asof, now
	}
}

// IsDue reports whether to write a snapshot now, and counts true as an attempt. offset is that of the fold,
// firstRetained the oldest that the log retains (0 if unknown), and dcIndex the index of the own data centre among
// those with a term, by name. Idle streams get snapshots too, since retention by age would otherwise trim the last one.
// If no stored snapshot covers the trimmed records, as after a long outage, one is due at once: until then no instance
// without a state can read the stream.
func (s *SnapshotSchedule) IsDue(now time.Time, offset, firstRetained uint64, dcIndex int) bool {
	if s.latestAt.IsZero() {
		s.latestAt = now
	}
	if offset == 0 || dcIndex < 0 || (!s.lastAttempt.IsZero() && now.Sub(s.lastAttempt) < snapshotRetryPause) {
		return false
	}
	maxAge := snapshotInterval + time.Duration(dcIndex)*snapshotInterval/dcDelayDivisor
	maxRecords := uint64(snapshotRecords + dcIndex*snapshotRecords/dcDelayDivisor)
	uncovered := firstRetained > s.storedAsof+1 && offset+1 >= firstRetained
	if now.Sub(s.latestAt) < maxAge && offset < s.latestAsof+maxRecords && !uncovered {
		return false
	}
	s.lastAttempt = now
	return true
}
