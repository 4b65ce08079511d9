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
	asof  uint64    // of the latest snapshot seen or state adopted
	kept  uint64    // asof of the latest snapshot read from the stream
	since time.Time // when it was seen, or when the first decision was made
	tried time.Time
}

// Stored notes a snapshot that was read from the stream, whoever wrote it.
func (s *Snapshots) Stored(now time.Time, asof uint64) {
	s.kept = max(s.kept, asof)
	s.Seen(now, asof)
}

// Seen notes the offset of the state that an instance adopted at its start, so that it does not write a snapshot at
// once.
func (s *Snapshots) Seen(now time.Time, asof uint64) {
	if asof > s.asof {
		s.asof, s.since = asof, now
	}
}

// Due reports whether to write a snapshot now. offset is that of the fold, and rank the index of the own data centre among
// those that have a term, by name. A caller that is told so counts as having tried. An idle stream gets snapshots too,
// since retention by age would otherwise trim the last one. first is the oldest offset that the log retains, 0 if not
// known: when no snapshot that was read covers what is trimmed, for example after a long outage, one is due at once,
// since until then nobody without a state can read the stream.
func (s *Snapshots) Due(now time.Time, offset, first uint64, rank int) bool {
	if s.since.IsZero() {
		s.since = now
	}
	if offset == 0 || rank < 0 || (!s.tried.IsZero() && now.Sub(s.tried) < snapshotRetry) {
		return false
	}
	age := snapshotEvery + time.Duration(rank)*snapshotEvery/snapshotStep
	records := uint64(snapshotRecords + rank*snapshotRecords/snapshotStep)
	lost := first > s.kept+1 && offset+1 >= first
	if now.Sub(s.since) < age && offset < s.asof+records && !lost {
		return false
	}
	s.tried = now
	return true
}
