// Package keyed describes the streams of a store that keeps the newest record of each key. An adapter sets the
// function fields of Log; the rest of the program refers to streams by their Topic only.
package keyed

import (
	"context"
	"fmt"
	"time"
)

// Topic is a keyed stream.
type Topic uint32

const (
	// Config holds the newest tables, written by operators.
	Config Topic = iota
	// Servers holds each backend server's own record, by server id.
	Servers
	// Place holds the leader's lease and the owners of all keys.
	Place
	// TopicCount is the number of topics.
	TopicCount
)

// String returns the topic's name as used in logs.
func (t Topic) String() string {
	if t >= TopicCount {
		return fmt.Sprintf("topic-%d", uint32(t))
	}
	return [...]string{"config", "servers", "place"}[t]
}

// Entry is a record of a key. Offset is its position; an empty Value means that the key was dropped.
type Entry struct {
	Key    string
	Offset uint64
	Value  []byte
}

// Batch is a list of records. End is the position that the next record of the stream gets.
type Batch struct {
	Entries []Entry
	End     uint64
}

// ConflictError means that the condition of an append did not hold because the stream ends at End. The entries are not in the
// stream, unless the store had been restored to a copy that happened to end at the same offset.
type ConflictError struct{ End uint64 }

// Error names the end of the stream.
func (e *ConflictError) Error() string { return "the stream ends at " + FormatPosition(e.End) }

// TrimmedError means that the records before First are no longer retained, or that the store is in a newer era, whose records
// begin at First.
type TrimmedError struct{ First uint64 }

// Error names the oldest retained position.
func (e *TrimmedError) Error() string {
	return "records before " + FormatPosition(e.First) + " are gone"
}

// RefusedError means that the store refused the call and did nothing.
type RefusedError struct{ Status int }

// Error names the status.
func (e *RefusedError) Error() string { return fmt.Sprintf("the store answered %d", e.Status) }

// Log is the client of the store. All fields must be set to functions that are safe for concurrent use.
type Log struct {
	// Newest returns the newest record of each key, without dropped keys. Records of the batch may be newer than its
	// End; a read from there returns them again.
	Newest func(ctx context.Context, topic Topic) (Batch, error)
	// Read returns the records from position from on and waits up to wait for the first. It fails with *TrimmedError if
	// some of them are gone, or if the store was restored since.
	Read func(ctx context.Context, topic Topic, from uint64, wait time.Duration) (Batch, error)
	// End returns the end of a stream.
	End func(ctx context.Context, topic Topic) (uint64, error)
	// Append adds entries if the stream ends at position at, and fails with *ConflictError otherwise. A negative at sets no
	// condition. After errors other than *ConflictError and *RefusedError the append may take effect, at once or later.
	Append func(ctx context.Context, topic Topic, at int64, entries []Entry) (end uint64, err error)
}
