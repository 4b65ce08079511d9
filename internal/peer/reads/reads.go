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
	// Timeout bounds a call to the store, which answers within a few milliseconds.
	Timeout = 900 * time.Millisecond
	// tablesWait is how long one read waits for new tables. A read that was sent while the store was silent is never
	// answered, and tables have to be in force 2.5 s after the store has them.
	tablesWait = 1100 * time.Millisecond
	// serversEvery is the interval of reading the servers' records. A leaving server must get no request after 2.5 s,
	// of which the way to the members takes a part.
	serversEvery = 500 * time.Millisecond
	// failPause is the pause after a read that failed at once.
	failPause = 350 * time.Millisecond
	// nearStore is the time of a call to a store in the same region at most: it answers within 4 ms, and the way between
	// regions and back takes 40 ms.
	nearStore = 25 * time.Millisecond
)

// Reader reads the store. Its methods may be called by many goroutines.
type Reader struct {
	Log    keyed.Log
	Book   *mirror.Streams
	Events *events.Logger
	// Now is a clock that counts while the instance is suspended.
	Now func() time.Time

	mu       sync.Mutex
	grace    mirror.RemovalHold
	down     bool
	answered time.Time
	quickest time.Duration // of the reads that did not wait
}

// Far reports whether the store seems to be in another region.
func (r *Reader) Far() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quickest > nearStore
}

// Unanswered returns the time since the store last answered this instance.
func (r *Reader) Unanswered(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.answered)
}

// All reads each stream, and reports whether that succeeded.
func (r *Reader) All(ctx context.Context) bool {
	for t := range keyed.Count {
		if !r.Read(ctx, t, 0) {
			return false
		}
	}
	return true
}

// Read reads a stream from where the book ends, waits up to wait for news, and reports whether that succeeded.
func (r *Reader) Read(ctx context.Context, t keyed.Topic, wait time.Duration) bool {
	batch, whole, ok := r.fetch(ctx, t, wait)
	if ok {
		r.Book.Apply(t, batch, whole)
	}
	return ok
}

// Servers reads the servers' records. Removals that follow an outage wait until live servers are back.
func (r *Reader) Servers(ctx context.Context) bool {
	if _, known := r.Book.End(keyed.Servers); !known {
		return r.Read(ctx, keyed.Servers, 0)
	}
	batch, whole, ok := r.fetch(ctx, keyed.Servers, 0)
	if !ok {
		return false
	}
	if whole {
		batch.Entries = append(batch.Entries, r.Book.Removals(keyed.Servers, batch)...)
	}
	r.mu.Lock()
	batch = r.grace.Filter(r.Now(), batch)
	r.mu.Unlock()
	r.Book.Apply(keyed.Servers, batch, false)
	return true
}

// Tables waits for new tables, or a little after a failure.
func (r *Reader) Tables(ctx context.Context) {
	if !r.Read(ctx, keyed.Config, tablesWait) {
		Sleep(ctx, failPause)
	}
}

// Poll reads the servers' records and waits until they are due again.
func (r *Reader) Poll(ctx context.Context) {
	r.Servers(ctx) // a failure is logged and tried again
	Sleep(ctx, serversEvery)
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
func (r *Reader) fetch(ctx context.Context, t keyed.Topic, wait time.Duration) (b keyed.Batch, whole, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+Timeout)
	defer cancel()
	end, known := r.Book.End(t)
	var err error
	begun := r.Now()
	if known {
		b, err = r.Log.Read(ctx, t, end, wait)
		if err == nil && wait == 0 {
			r.took(r.Now().Sub(begun))
		}
		if trimmed := new(keyed.ErrTrimmed); !errors.As(err, &trimmed) {
			r.Result(t, err)
			return b, false, err == nil
		}
	}
	b, err = r.Log.Newest(ctx, t)
	if err == nil {
		r.took(r.Now().Sub(begun))
	}
	r.Result(t, err)
	return b, true, err == nil
}

// took notes the time of a read that did not wait.
func (r *Reader) took(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quickest == 0 || d < r.quickest {
		r.quickest = d
	}
}

// Result notes and logs when the store is lost and when it is back, as this instance sees it: another one may have failed
// for reasons of its own. A conflict is an answer.
func (r *Reader) Result(t keyed.Topic, err error) {
	if conflict := new(keyed.ErrConflict); errors.As(err, &conflict) {
		err = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.Now(); err != nil {
		r.grace.NoteFailure(now)
	} else {
		r.grace.NoteSuccess(now)
		r.answered = now
	}
	if r.down == (err != nil) {
		return
	}
	if r.down = err != nil; r.down {
		r.Events.Warn("store-lost", "stream", t, "error", err)
	} else {
		r.Events.Info("store-back", "stream", t)
	}
}
