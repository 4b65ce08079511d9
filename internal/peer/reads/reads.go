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
	// tablesWait is how long one read waits for new tables. A read that was sent while the store was silent is never
	// answered, and tables have to be in force 2.5 s after the store has them.
	tablesWait = 1100 * time.Millisecond
	// serversInterval is the interval of reading the servers' records. A leaving server must get no request after 2.5 s,
	// of which the way to the members takes a part.
	serversInterval = 500 * time.Millisecond
	// failurePause is the pause after a read that failed at once.
	failurePause = 350 * time.Millisecond
	// maxNearLatency is the time of a call to a store in the same region at most: it answers within 4 ms, and the way between
	// regions and back takes 40 ms.
	maxNearLatency = 25 * time.Millisecond
)

// Reader reads the store. Its methods may be called by many goroutines.
type Reader struct {
	Log     keyed.Log
	Streams *mirror.Streams
	Events  *events.Logger
	// Now is a clock that counts while the instance is suspended.
	Now func() time.Time

	mu          sync.Mutex
	removalHold mirror.RemovalHold
	storeLost   bool
	lastAnswer  time.Time
	minLatency  time.Duration // of the reads that did not wait
}

// StoreIsFar reports whether the store seems to be in another region.
func (r *Reader) StoreIsFar() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.minLatency > maxNearLatency
}

// StoreSilence returns the time since the store last answered this instance.
func (r *Reader) StoreSilence(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastAnswer)
}

// ReadAll reads each stream, and reports whether that succeeded.
func (r *Reader) ReadAll(ctx context.Context) bool {
	for t := range keyed.TopicCount {
		if !r.Read(ctx, t, 0) {
			return false
		}
	}
	return true
}

// Read reads a stream from where the book ends, waits up to wait for news, and reports whether that succeeded.
func (r *Reader) Read(ctx context.Context, t keyed.Topic, wait time.Duration) bool {
	batch, snapshot, ok := r.fetch(ctx, t, wait)
	if ok {
		r.Streams.Apply(t, batch, snapshot)
	}
	return ok
}

// ReadServers reads the servers' records. Removals that follow an outage wait until live servers are back.
func (r *Reader) ReadServers(ctx context.Context) bool {
	if _, known := r.Streams.End(keyed.Servers); !known {
		return r.Read(ctx, keyed.Servers, 0)
	}
	batch, snapshot, ok := r.fetch(ctx, keyed.Servers, 0)
	if !ok {
		return false
	}
	if snapshot {
		batch.Entries = append(batch.Entries, r.Streams.Removals(keyed.Servers, batch)...)
	}
	r.mu.Lock()
	batch = r.removalHold.Filter(r.Now(), batch)
	r.mu.Unlock()
	r.Streams.Apply(keyed.Servers, batch, false)
	return true
}

// AwaitTables waits for new tables, or a little after a failure.
func (r *Reader) AwaitTables(ctx context.Context) {
	if !r.Read(ctx, keyed.Config, tablesWait) {
		Sleep(ctx, failurePause)
	}
}

// PollServers reads the servers' records and waits until they are due again.
func (r *Reader) PollServers(ctx context.Context) {
	r.ReadServers(ctx) // a failure is logged and tried again
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

// fetch returns what is new in a stream, or all of it if it is not known or records in between are gone.
func (r *Reader) fetch(ctx context.Context, t keyed.Topic, wait time.Duration) (b keyed.Batch, snapshot, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	end, known := r.Streams.End(t)
	var err error
	begun := r.Now()
	if known {
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
	return b, true, err == nil
}

// noteLatency notes the time of a read that did not wait.
func (r *Reader) noteLatency(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.minLatency == 0 || d < r.minLatency {
		r.minLatency = d
	}
}

// NoteResult notes and logs when the store is lost and when it is back, as this instance sees it: another one may have failed
// for reasons of its own. A conflict is an answer.
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
