package relay

import (
	"context"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
)

// maxWait bounds the wait that a reader may ask for.
const maxWait = 10 * time.Second

// Read serves the records kept to other instances. It returns at most limit records from offset from on and waits up to
// wait for the first; a limit of 0 means the default. First in the answer is the oldest offset kept here, not in the log. It returns ErrStale when the
// tail has lost its contact with the log, and when it has not yet been used as a relay.
func (t *Tail) Read(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
	if limit <= 0 {
		limit = readLimit
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxWait))
	defer cancel()
	for {
		batch, wake, err := t.look(from, limit)
		if err != nil || len(batch.Records) > 0 || from < batch.First {
			return batch, err
		}
		select {
		case <-ctx.Done():
			batch, _, err = t.look(from, limit)
			return batch, err
		case <-wake:
		}
	}
}

func (t *Tail) look(from uint64, limit int) (logsvc.Batch, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served = t.seams.Now()
	if t.stale(t.served) {
		select {
		case t.probe <- struct{}{}:
		default:
		}
		return logsvc.Batch{}, nil, ErrStale
	}
	return t.ring.batch(from, limit), t.wake, nil
}

// stale reports whether the last contact is too old to serve readers. The caller holds mu.
func (t *Tail) stale(now time.Time) bool {
	return t.contact.IsZero() || now.Sub(t.contact) > freshFor
}

// Probe asks the log itself for the end of the stream. Tail.Contact advances once the records up to there have been
// delivered.
func (t *Tail) Probe(ctx context.Context) error {
	for _, src := range t.seams.Sources() {
		if !src.Log {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, trialTimeout)
		defer cancel()
		sent := t.seams.Now()
		batch, err := src.Read(ctx, t.Offset()+1, 0, 1)
		if err != nil {
			return err
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.sight(sighting{sent: sent, next: batch.Next})
	}
	return nil
}

// keepContact probes the log while readers depend on this tail or the owner asks for it. Reads that go to the log
// anyway make most probes unnecessary.
func (t *Tail) keepContact(ctx context.Context) {
	ticker := time.NewTicker(probeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.probe:
		}
		if !t.wanted() {
			continue
		}
		if err := t.Probe(ctx); err != nil && ctx.Err() == nil && t.seams.Failed != nil {
			t.seams.Failed("probe", err)
		}
	}
}

func (t *Tail) wanted() bool {
	needed := t.seams.Yields != nil && t.seams.Yields()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.seams.Now()
	enough := 2 * probeEvery // leaves time for further probes after a lost one
	if t.direct {
		enough = 2 * pollWait // the age that contact reaches by long polls of an idle log
	}
	recent := !t.contact.IsZero() && now.Sub(t.contact) < enough
	served := !t.served.IsZero() && now.Sub(t.served) < servedFor
	return !recent && (needed || served)
}
