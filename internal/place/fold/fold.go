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
}

// Offset returns the offset of the last record applied, 0 before the first.
func (c *cursor) Offset() uint64 { return c.offset }

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

// Decode parses one record of a stream. It returns nil for bytes that are not a record; Apply ignores those.
func Decode(data []byte) *record.Record {
	rec := new(record.Record)
	if proto.Unmarshal(data, rec) != nil {
		return nil
	}
	return rec
}

// HasGap reports whether records between offset, the last one applied, and first, the oldest one retained, are lost.
func HasGap(offset, first uint64) bool { return first > offset+1 }

// SnapshotUsable reports whether a reader may start from a snapshot taken after the record at asof: the log, which
// retains records from first, must still have every later one, as it may hold a change that the snapshot lacks.
func SnapshotUsable(asof, first uint64) bool { return asof+1 >= first }
