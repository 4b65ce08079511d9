// Package mirror keeps an instance's copy of the keyed streams. Records are merged by offset, so they may arrive from
// several sources, in any order and more than once.
package mirror

import (
	"bytes"
	"slices"
	"sync"

	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

// Streams is the copy of all streams. It is safe for concurrent use.
type Streams struct {
	// OnChange is called with the topic and the entries that are new, one call at a time and in order. It must not call
	// Apply.
	OnChange func(topic keyed.Topic, entries []keyed.Entry)
	// SameValue reports whether two values of a key mean the same to every reader. Such a record updates the entry, but is
	// neither reported to OnChange nor pushed. nil means that every record is a change.
	SameValue func(topic keyed.Topic, old, value []byte) bool
	// OmitFromPushes reports whether a record matters only to readers of the store. It is reported to OnChange, but not
	// pushed. nil omits none.
	OmitFromPushes func(topic keyed.Topic, key string, old, value []byte) bool
	// IsStale reports whether a value that a restored store has is older than the last known value of its key. It is empty if the
	// store has none. Stale values don't replace the known entry. nil means that none is stale.
	IsStale func(topic keyed.Topic, key string, known, value []byte) bool

	applyMu sync.Mutex // held during Apply and its call of OnChange
	mu      sync.Mutex
	streams [keyed.TopicCount]stream
}

// stream holds the newest entry of each key, including dropped keys: a late copy of an older record must not restore a
// dropped key.
type stream struct {
	end          uint64
	loaded       bool
	completeFrom uint64 // items has all keys that were dropped after this offset, and only some of those dropped before
	seq          uint64 // number of changes so far
	items        map[string]item
}

// item is an entry with the number of its last pushed change and the offset of its last change.
type item struct {
	keyed.Entry
	seq          uint64
	changeOffset uint64
	lastValue    []byte // the last one that was not empty
	kept         bool   // the store lost this entry when it was restored, and has an older one or none
}

// End returns the offset up to which a topic is known, and whether it has been loaded at all.
func (b *Streams) End(topic keyed.Topic) (end uint64, loaded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.streams[topic]
	return s.end, s.loaded
}

// Apply merges a batch that holds every record from End on or, if it is a snapshot, the newest record of each key.
func (b *Streams) Apply(topic keyed.Topic, batch keyed.Batch, snapshot bool) {
	if topic >= keyed.TopicCount {
		return
	}
	b.applyMu.Lock()
	defer b.applyMu.Unlock()
	if snapshot {
		b.MarkSnapshot(topic, batch.End)
		// A key that the snapshot doesn't list was dropped before its end.
		batch.Entries = append(slices.Clip(batch.Entries), b.Removals(topic, batch)...)
	}
	if changed := b.merge(topic, batch, snapshot); len(changed) > 0 && b.OnChange != nil {
		b.OnChange(topic, changed)
	}
}

func (b *Streams) merge(topic keyed.Topic, batch keyed.Batch, snapshot bool) []keyed.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.streams[topic]
	if s.items == nil {
		s.items = make(map[string]item)
	}
	var changed []keyed.Entry
	put := func(e keyed.Entry) {
		old, ok := s.items[e.Key]
		if ok && (old.Offset > e.Offset || old.Offset == e.Offset && !b.replacesStale(topic, old, e)) {
			return
		}
		next := item{Entry: e, seq: old.seq, changeOffset: e.Offset, lastValue: e.Value}
		if len(e.Value) == 0 {
			next.lastValue = old.lastValue
		}
		if ok && b.IsStale != nil && keyed.Era(e.Offset) > keyed.Era(old.Offset) && len(old.lastValue) > 0 && b.IsStale(topic, e.Key, old.lastValue, e.Value) {
			// Later than all that the store had when it was restored, so that it also replaces what others have read there.
			old.Offset, old.kept = max(e.Offset, batch.End-1), true
			if topic != keyed.Servers {
				// Instances that learn the end from pushes must know it too: one may lead later. Servers are many; a new leader reads them.
				s.seq++
				old.seq = s.seq
			}
			s.items[e.Key] = old
			return
		}
		if ok && len(old.Value) > 0 && len(e.Value) > 0 && b.SameValue != nil && b.SameValue(topic, old.Value, e.Value) {
			next.changeOffset = old.changeOffset
			s.items[e.Key] = next
			return
		}
		if ok && b.OmitFromPushes != nil && b.OmitFromPushes(topic, e.Key, old.Value, e.Value) {
			s.items[e.Key] = next
			changed = append(changed, e)
			return
		}
		s.seq++
		next.seq = s.seq
		s.items[e.Key] = next
		if len(e.Value) > 0 || (ok && len(old.Value) > 0) {
			changed = append(changed, e)
		}
	}
	for _, e := range batch.Entries {
		put(e)
	}
	s.end, s.loaded = max(s.end, batch.End), s.loaded || snapshot
	return changed
}

// replacesStale reports whether e, at the position of the known entry, is what another instance kept when the store was restored.
func (b *Streams) replacesStale(topic keyed.Topic, old item, e keyed.Entry) bool {
	return b.IsStale != nil && keyed.Era(e.Offset) > 0 && len(e.Value) > 0 && !bytes.Equal(e.Value, old.Value) && !old.kept && b.IsStale(topic, e.Key, e.Value, old.Value)
}

// DropEarlierEras drops the keys of a topic whose newest record is from before the store was restored.
func (b *Streams) DropEarlierEras(topic keyed.Topic) {
	b.mu.Lock()
	s := &b.streams[topic]
	begin := keyed.Position(keyed.Era(s.end), 0)
	batch := keyed.Batch{End: s.end}
	for key, e := range s.items {
		if e.Offset < begin && len(e.Value) > 0 {
			batch.Entries = append(batch.Entries, keyed.Entry{Key: key, Offset: begin})
		}
	}
	b.mu.Unlock()
	if len(batch.Entries) > 0 {
		b.Apply(topic, batch, false)
	}
}

// Get returns the newest entry of a key. The value is empty if the key is dropped or unknown.
func (b *Streams) Get(topic keyed.Topic, key string) keyed.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.streams[topic].items[key].Entry
}

// Removals returns entries that drop the keys which the snapshot batch no longer lists.
func (b *Streams) Removals(topic keyed.Topic, batch keyed.Batch) (out []keyed.Entry) {
	listed := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		listed[e.Key] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// A restored store may be empty.
	last := max(batch.End, keyed.Position(keyed.Era(batch.End), 0)+1) - 1
	for key, e := range b.streams[topic].items {
		if !listed[key] && len(e.Value) > 0 && e.Offset < last {
			out = append(out, keyed.Entry{Key: key, Offset: last})
		}
	}
	return out
}

// MarkSnapshot notes that the records before end were read as a snapshot, which does not name the keys that were dropped before.
func (b *Streams) MarkSnapshot(topic keyed.Topic, end uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.streams[topic]
	s.completeFrom = max(s.completeFrom, end)
}

// EntriesFrom returns the entries that changed at or after an offset, including dropped keys, and the number of the last
// change. Heartbeats are left out: otherwise a new leader would send all servers to each instance. If the local copy may lack keys
// that were dropped since, it returns all entries, as a snapshot; but not if the store was restored since, as live servers may be
// missing in it.
func (b *Streams) EntriesFrom(topic keyed.Topic, offset uint64) (batch keyed.Batch, last uint64, snapshot bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.streams[topic]
	snapshot = offset < s.completeFrom && keyed.Era(offset) == keyed.Era(s.completeFrom)
	out := keyed.Batch{End: s.end}
	for _, e := range s.items {
		if e.changeOffset >= offset || e.kept || snapshot {
			out.Entries = append(out.Entries, e.Entry)
		}
	}
	return out, s.seq, snapshot
}

// LastChange returns the number of the last change of a topic.
func (b *Streams) LastChange(topic keyed.Topic) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.streams[topic].seq
}

// ChangesAfter returns the entries that changed after change number seq, including dropped keys, and the number of the
// last change. Changes are numbered in the order of Apply, which may differ from that of the offsets.
func (b *Streams) ChangesAfter(topic keyed.Topic, seq uint64) (batch keyed.Batch, last uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &b.streams[topic]
	out := keyed.Batch{End: s.end}
	if s.seq == seq {
		return out, seq
	}
	for _, e := range s.items {
		if e.seq > seq {
			out.Entries = append(out.Entries, e.Entry)
		}
	}
	return out, s.seq
}
