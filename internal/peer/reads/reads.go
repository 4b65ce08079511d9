// Package reads brings an instance's copy of the shared streams up to date from the store.
package reads

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

const (
	// CallTimeout bounds a call to the store, which answers within a few milliseconds.
	CallTimeout = 900 * time.Millisecond
	// tablesWait is how long one read waits for new tables. A read sent while the store does not respond is never answered,
	// and tables must be in force within 2.5 s of being stored.
	tablesWait = 1100 * time.Millisecond
	// serversInterval is the time between reads of the servers' records. A leaving server must get no request after 2.5 s,
	// which includes the push to the members.
	serversInterval = 500 * time.Millisecond
	// maxReadGap is the time without a read of the servers' records after which this instance may have missed some that register
	// again.
	maxReadGap = 2 * time.Second
	// failurePause is the pause after a failed read of tables.
	failurePause = 350 * time.Millisecond
	// maxNearLatency is the longest call to a store in the same region. Such a store answers within 4 ms; a round trip
	// between regions takes 40 ms.
	maxNearLatency = 25 * time.Millisecond
)

// Reader reads the store. Its methods are safe for concurrent use.
type Reader struct {
	Log     keyed.Log
	Streams *mirror.Streams
	Events  *events.Logger
	// Now is a clock that advances while the instance is suspended.
	Now func() time.Time

	mu          sync.Mutex
	removalHold mirror.RemovalHold
	storeLost   bool
	lastAnswer  time.Time
	minLatency  time.Duration // shortest read that did not wait

	storeEra         uint64    // newest era in which the store answered
	interruptWait    func()    // ends the current wait for tables; nil before the first
	serversReadAt    time.Time // last read of the servers' records
	serversReadSince time.Time // start of these reads, or when the store was restored since
	serversEra       uint64    // era of the store in which all servers' records were last read
}

// StoreIsFar reports whether the store seems to be in another region.
func (r *Reader) StoreIsFar() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.minLatency > maxNearLatency
}

// StoreSilence returns how long ago the store last answered this instance.
func (r *Reader) StoreSilence(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastAnswer)
}

// ReadAll reads all streams and reports whether that succeeded.
func (r *Reader) ReadAll(ctx context.Context) bool {
	for t := range keyed.TopicCount {
		if !r.Read(ctx, t, 0) {
			return false
		}
	}
	return true
}

// Read reads the records of a stream that Streams lacks, waits up to wait for the first, applies them and reports whether
// that succeeded.
func (r *Reader) Read(ctx context.Context, t keyed.Topic, wait time.Duration) bool {
	batch, snapshot, ok := r.fetch(ctx, t, wait)
	if ok {
		r.Streams.Apply(t, batch, snapshot)
	}
	return ok
}

// ReadServers reads the servers' records. Removals after an outage wait until live servers have registered again.
func (r *Reader) ReadServers(ctx context.Context) bool {
	if _, known := r.Streams.End(keyed.Servers); !known {
		return r.Read(ctx, keyed.Servers, 0)
	}
	end, _ := r.Streams.End(keyed.Servers)
	batch, snapshot, ok := r.fetch(ctx, keyed.Servers, 0)
	if !ok {
		return false
	}
	restored := keyed.Era(batch.End) > keyed.Era(end)
	if snapshot && !restored {
		batch.Entries = append(batch.Entries, r.Streams.Removals(keyed.Servers, batch)...)
		r.Streams.MarkSnapshot(keyed.Servers, batch.End)
	}
	r.mu.Lock()
	now := r.Now()
	if restored {
		r.removalHold.NoteRestored(now)
		r.serversEra = keyed.Era(batch.End)
	}
	if restored || now.Sub(r.serversReadAt) > maxReadGap {
		r.serversReadSince = now
	}
	r.serversReadAt = now
	batch = r.removalHold.Filter(now, batch)
	settled := now.Sub(r.serversReadSince) >= mirror.ReregisterTime
	r.mu.Unlock()
	r.Streams.Apply(keyed.Servers, batch, false)
	if settled && r.hasReadEra(ctx, keyed.Era(batch.End)) {
		r.Streams.DropEarlierEras(keyed.Servers)
	}
	return true
}

// hasReadEra reports whether this instance has read all servers' records in an era, and reads them if it has not. What it knows of the
// era from pushes lacks the records that the copy still had.
func (r *Reader) hasReadEra(ctx context.Context, era uint64) bool {
	r.mu.Lock()
	done := r.serversEra == era
	r.mu.Unlock()
	if done || era == 0 {
		return done
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	batch, err := r.Log.Newest(ctx, keyed.Servers)
	r.NoteResult(keyed.Servers, err)
	if err != nil || keyed.Era(batch.End) != era {
		return false
	}
	// What was written after the known end, removals above all, is still to be read from there.
	batch.End, _ = r.Streams.End(keyed.Servers)
	r.Streams.Apply(keyed.Servers, batch, false)
	r.mu.Lock()
	r.serversEra = era
	r.mu.Unlock()
	return true
}

// AwaitTables waits for new tables. It pauses after a failure, but not if another call has found the store back meanwhile.
func (r *Reader) AwaitTables(ctx context.Context) {
	waitCtx, interrupt := context.WithCancel(ctx)
	defer interrupt()
	r.mu.Lock()
	r.interruptWait = interrupt
	r.mu.Unlock()
	if !r.Read(waitCtx, keyed.Config, tablesWait) {
		Sleep(waitCtx, failurePause)
	}
}

// interruptStaleWait ends the current wait for tables. It was sent before the store was away or restored and may never be
// answered.
func (r *Reader) interruptStaleWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interruptWait != nil {
		r.interruptWait()
	}
}

// PollServers reads the servers' records and waits until the next read is due.
func (r *Reader) PollServers(ctx context.Context) {
	r.ReadServers(ctx) // a failure is logged, and the next call retries
	Sleep(ctx, serversInterval)
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// fetch returns the new records of a stream, or a snapshot if the stream is not loaded or some records are gone.
func (r *Reader) fetch(ctx context.Context, t keyed.Topic, wait time.Duration) (b keyed.Batch, snapshot, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	end, known := r.Streams.End(t)
	var err error
	begun := r.Now()
	// In a newer era the offset may not have been given out again yet, so that a read from it would wait.
	if known && keyed.Era(end) >= r.knownEra() {
		b, err = r.Log.Read(ctx, t, end, wait)
		if err == nil && wait == 0 {
			r.noteLatency(r.Now().Sub(begun))
		}
		if trimmed := new(keyed.TrimmedError); !errors.As(err, &trimmed) {
			r.NoteResult(t, err)
			return b, false, err == nil
		}
	}
	b, err = r.Log.Newest(ctx, t)
	if err == nil {
		r.noteLatency(r.Now().Sub(begun))
	}
	r.NoteResult(t, err)
	if known && err == nil && keyed.Era(b.End) > keyed.Era(end) {
		r.Events.Warn("store-restored", "stream", t, "known", keyed.FormatPosition(end), "end", keyed.FormatPosition(b.End))
		if r.noteEra(keyed.Era(b.End)) && t != keyed.Config {
			r.interruptStaleWait()
		}
	}
	return b, true, err == nil
}

// noteEra notes that the store answered in an era, and reports whether that is new.
func (r *Reader) noteEra(era uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isNew := era > r.storeEra
	r.storeEra = max(r.storeEra, era)
	return isNew
}

// knownEra returns the newest era in which the store answered this instance or, by what it was pushed, another one.
func (r *Reader) knownEra() uint64 {
	r.mu.Lock()
	era := r.storeEra
	r.mu.Unlock()
	for t := range keyed.TopicCount {
		if end, ok := r.Streams.End(t); ok {
			era = max(era, keyed.Era(end))
		}
	}
	return era
}

// noteLatency records the duration of a read that did not wait.
func (r *Reader) noteLatency(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.minLatency == 0 || d < r.minLatency {
		r.minLatency = d
	}
}

// NoteResult records the result of a call and logs when this instance loses the store and when it is back; others may have
// failed for reasons of their own. A conflict counts as an answer.
func (r *Reader) NoteResult(t keyed.Topic, err error) {
	if conflict := new(keyed.ConflictError); errors.As(err, &conflict) {
		err = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.Now(); err != nil {
		r.removalHold.NoteFailure(now)
	} else {
		r.removalHold.NoteSuccess(now)
		r.lastAnswer = now
	}
	if r.storeLost == (err != nil) {
		return
	}
	if r.storeLost = err != nil; r.storeLost {
		r.Events.Warn("store-lost", "stream", t, "error", err)
	} else {
		r.Events.Info("store-back", "stream", t)
	}
}
