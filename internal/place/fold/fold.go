// Package fold computes the state of a log stream by applying its records in order (a fold). Every instance applies the
// same records by the same rules and reaches the same state: no clock, random number or setting has any influence.
//
// A record that changes something names the version on which it is based. It has no effect if that version is no
// longer current, so that plain appends work as compare-and-set.
package fold

import (
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Outcome says what Apply did with a record.
type Outcome uint8

const (
	// Ignored means that records of this kind do not change the state.
	Ignored Outcome = iota
	// Applied means that the record changed the state.
	Applied
	// Stale means that the record is based on a version that is no longer current.
	Stale
	// Invalid means that the record contradicts the state or carries invalid content.
	Invalid
	// Seen means that the record, or the publication that it repeats, was applied before.
	Seen
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"ignored", "applied", "stale", "invalid", "seen"}[o]
}

// cursor is the position of a fold in its stream.
type cursor struct {
	offset uint64
	era    uint64 // of the records read so far: how often the log was restored from an older copy
}

// eraGap is how much the numbers made from offsets rise with each era. A restoration loses fewer records, so that no number is
// given out twice, though an instance may have acted by a record that is lost.
const eraGap = 1 << 16

// Number returns what identifies the record at offset, for versions, terms and tokens.
func (c *cursor) Number(offset uint64) uint64 { return offset + c.era*eraGap }

// beginEra applies a record of that kind.
func (c *cursor) beginEra(e *record.Era) Outcome {
	if e.GetNumber() <= c.era || e.GetNumber() > maxEra {
		return Stale
	}
	c.era = e.GetNumber()
	return Applied
}

// maxEra keeps numbers far from the bounds of tokens and revisions, which hold further bits below them.
const maxEra = 1 << 16

// Offset returns the offset of the last record applied, 0 before the first.
func (c *cursor) Offset() uint64 { return c.offset }

// Era returns the newest era that a record applied has begun.
func (c *cursor) Era() uint64 { return c.era }

func (c *cursor) advance(offset uint64) bool {
	if offset <= c.offset {
		return false
	}
	c.offset = offset
	return true
}

func (c *cursor) skipTo(asof uint64) bool {
	if asof < c.offset || asof == 0 {
		return false
	}
	c.offset = asof
	return true
}

// restoreCursor moves to the state after the record at asof, whose highest number is highest. It reports false, and changes
// nothing, if such a state is impossible or older than this one.
func (c *cursor) restoreCursor(asof, era, highest uint64) bool {
	next := cursor{offset: asof, era: era}
	if era < c.era || era > maxEra || highest > next.Number(asof) || !c.skipTo(asof) {
		return false
	}
	c.era = era
	return true
}

// Decode parses one record of a stream. It returns nil for bytes that are not a record; Apply ignores those.
func Decode(data []byte) *record.Record {
	rec := new(record.Record)
	if proto.Unmarshal(data, rec) != nil {
		return nil
	}
	return rec
}

// eraTag is the first byte of an encoded Record with an Era: number 12, length-delimited.
const eraTag = 12<<3 | 2

// EraOf returns the era of the log that an encoded record begins, 0 for other records.
func EraOf(data []byte) uint64 {
	if len(data) == 0 || data[0] != eraTag {
		return 0
	}
	return Decode(data).GetEra().GetNumber()
}

// HasGap reports whether records between offset, the last one applied, and first, the oldest one retained, are lost.
func HasGap(offset, first uint64) bool { return first > offset+1 }

// SnapshotUsable reports whether a reader may start from a snapshot taken after the record at asof: the log, which
// retains records from first, must still have every later one, as it may hold a change that the snapshot lacks.
func SnapshotUsable(asof, first uint64) bool { return asof+1 >= first }
