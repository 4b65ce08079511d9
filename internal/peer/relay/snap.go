package relay

import "time"

const (
	snapshotInterval = 10 * time.Minute
	snapshotRecords  = 1000
	// Each later data centre waits longer by this part of both, so that snapshots go on when the first one is lost.
	dcDelayDivisor = 4
	// snapshotRetryPause is the pause after an append, whose answer may have been lost.
	snapshotRetryPause = 10 * time.Second
)

// SnapshotSchedule decides when a controller writes a snapshot of a stream. The zero value is ready for use. It is not safe
// for concurrent use.
type SnapshotSchedule struct {
	latestAsof  uint64    // of the latest snapshot seen or state adopted
	storedAsof  uint64    // asof of the latest snapshot read from the stream
	latestAt    time.Time // when it was seen, or when the first decision was made
	lastAttempt time.Time
}

// NoteStored notes a snapshot that was read from the stream, whoever wrote it.
func (s *SnapshotSchedule) NoteStored(now time.Time, asof uint64) {
	s.storedAsof = max(s.storedAsof, asof)
	s.NoteState(now, asof)
}

// NoteState notes the offset of the state that an instance adopted at its start, so that it does not write a snapshot at
// once.
func (s *SnapshotSchedule) NoteState(now time.Time, asof uint64) {
	if asof > s.latestAsof {
		s.latestAsof, s.latestAt = asof, now
	}
}

// IsDue reports whether to write a snapshot now. offset is that of the fold, and rank the index of the own data centre among
// those that have a term, by name. A caller that is told so counts as having tried. An idle stream gets snapshots too,
// since retention by age would otherwise trim the last one. first is the oldest offset that the log retains, 0 if not
// known: when no snapshot that was read covers what is trimmed, for example after a long outage, one is due at once,
// since until then nobody without a state can read the stream.
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
