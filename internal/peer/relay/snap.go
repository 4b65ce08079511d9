package relay

import "time"

const (
	snapshotEvery   = 10 * time.Minute
	snapshotRecords = 1000
	// Each later data centre waits longer by this part of both, so that snapshots go on when the first one is lost.
	snapshotStep = 4
	// snapshotRetry is the pause after an append, whose answer may have been lost.
	snapshotRetry = 10 * time.Second
)

// Snapshots decides when a controller writes a snapshot of a stream. The zero value is ready for use. It is not safe
// for concurrent use.
type Snapshots struct {
	asof  uint64    // of the latest snapshot seen
	since time.Time // when it was seen, or when the first decision was made
	tried time.Time
}

// Seen notes a snapshot that was read from the stream, whoever wrote it. At its start an instance calls it with the
// offset of the state that it adopted, so that it does not write a snapshot at once.
func (s *Snapshots) Seen(now time.Time, asof uint64) {
	if asof > s.asof {
		s.asof, s.since = asof, now
	}
}

// Due reports whether to write a snapshot now. offset is that of the fold, and rank the index of the own data centre among
// those that have a term, by name. A caller that is told so counts as having tried. An idle stream gets snapshots too,
// since retention by age would otherwise trim the last one.
func (s *Snapshots) Due(now time.Time, offset uint64, rank int) bool {
	if s.since.IsZero() {
		s.since = now
	}
	if offset == 0 || rank < 0 || (!s.tried.IsZero() && now.Sub(s.tried) < snapshotRetry) {
		return false
	}
	age := snapshotEvery + time.Duration(rank)*snapshotEvery/snapshotStep
	records := uint64(snapshotRecords + rank*snapshotRecords/snapshotStep)
	if now.Sub(s.since) < age && offset < s.asof+records {
		return false
	}
	s.tried = now
	return true
}
