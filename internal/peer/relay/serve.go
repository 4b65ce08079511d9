package relay

import (
	"context"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
)

// maxReadWait bounds the wait that a reader may ask for.
const maxReadWait = 10 * time.Second

// Read serves the records kept to other instances. It returns at most limit records from offset from on and waits up to
// wait for the first; a limit of 0 means the default. First in the answer is the oldest offset kept here, not in the log. It returns ErrStale when the
// tail has lost its contact with the log, and when it has not yet been used as a relay.
func (t *Tail) Read(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
	if limit <= 0 {
		limit = readLimit
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxReadWait))
	defer cancel()
	for {
		batch, wake, err := t.tryRead(from, limit)
		if err != nil || len(batch.Records) > 0 || from < batch.First {
			return batch, err
		}
		select {
		case <-ctx.Done():
			batch, _, err = t.tryRead(from, limit)
			return batch, err
		case <-wake:
		}
	}
}

func (t *Tail) tryRead(from uint64, limit int) (logsvc.Batch, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastServed = t.cfg.Now()
	if t.isStale(t.lastServed) {
		select {
		case t.probeRequests <- struct{}{}:
		default:
		}
		return logsvc.Batch{}, nil, ErrStale
	}
	return t.buffer.readBatch(from, limit), t.recordArrived, nil
}

// isStale reports whether the last contact is too old to serve readers. The caller holds mu.
func (t *Tail) isStale(now time.Time) bool {
	return t.lastContact.IsZero() || now.Sub(t.lastContact) > maxContactAge
}

// Probe asks the log itself for the end of the stream. Tail.Contact advances once the records up to there have been
// delivered.
func (t *Tail) Probe(ctx context.Context) error {
	for _, src := range t.cfg.Sources() {
		if !src.IsLog {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, trialTimeout)
		defer cancel()
		sent := t.cfg.Now()
		batch, err := src.Read(ctx, t.Offset()+1, 0, 1)
		if err != nil {
			return err
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.addLogAnswer(logAnswer{sent: sent, nextOffset: batch.Next})
	}
	return nil
}

// keepContact probes the log while readers depend on this tail or the owner asks for it. Reads that go to the log
// anyway make most probes unnecessary.
func (t *Tail) keepContact(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.probeRequests:
		}
		if !t.probeNeeded() {
			continue
		}
		if err := t.Probe(ctx); err != nil && ctx.Err() == nil && t.cfg.OnFailure != nil {
			t.cfg.OnFailure("probe", err)
		}
	}
}

func (t *Tail) probeNeeded() bool {
	needed := t.cfg.NeedsContact != nil && t.cfg.NeedsContact()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	maxAge := 2 * probeInterval // leaves time for further probes after a lost one
	if t.readFromLog {
		maxAge = 2 * pollWait // the age that contact reaches by long polls of an idle log
	}
	recent := !t.lastContact.IsZero() && now.Sub(t.lastContact) < maxAge
	served := !t.lastServed.IsZero() && now.Sub(t.lastServed) < probeAfterServing
	return !recent && (needed || served)
}
