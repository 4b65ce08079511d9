// Package fold computes the state that the records of a log stream describe. Every instance folds the same
// records by the same rule and so reaches the same state; no clock, random number or setting enters it.
//
// A record that changes something names the version it was built on. It is void when that version is no longer
// current, which turns plain appends into compare-and-set.
package fold

import (
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Outcome says what a fold did with a record.
type Outcome uint8

const (
	// Ignored means that the record is of a kind that changes nothing here.
	Ignored Outcome = iota
	// Applied means that the record changed the state.
	Applied
	// Stale means that the record was built on a version that is no longer current.
	Stale
	// Invalid means that the record contradicts the state or carries invalid content.
	Invalid
	// Seen means that the record, or the publication it repeats, was folded before.
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

// Offset returns the offset of the last record folded, 0 before the first.
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

// Decode parses one record of a stream. Bytes that are no record yield nil: such a record is void for every reader.
func Decode(data []byte) *record.Record {
	rec := new(record.Record)
	if proto.Unmarshal(data, rec) != nil {
		return nil
	}
	return rec
}

// HasGap reports whether records between the fold and first, the oldest offset retained, are lost to this reader.
func HasGap(offset, first uint64) bool { return first > offset+1 }

// SnapshotUsable reports whether a reader without state may start from a snapshot with this asof: every record after
// asof must still be retained, since a change that the snapshot does not know may be among them.
func SnapshotUsable(asof, first uint64) bool { return asof+1 >= first }
