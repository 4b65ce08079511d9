package relay

import (
	"context"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
)

// maxReadWait bounds how long a read waits for a record.
const maxReadWait = 10 * time.Second

// Read serves buffered records to other instances: at most limit (0 means the default), starting at offset from. It
// waits up to wait for the first. First in the batch is the oldest offset buffered here, not in the log. Read returns
// ErrStale when the last contact with the log is too old. At first it may be, since a tail that follows a relay probes
// the log only while it has readers.
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

// Probe asks the log itself for the end of the stream. LastContact advances once the records up to it are delivered.
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

// keepContact probes the log while other instances read from this tail or Config.NeedsContact asks for it, unless
// ordinary reads of the log keep the contact recent.
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
	maxAge := 2 * probeInterval // allows another probe after one that failed
	if t.readFromLog {
		maxAge = 2 * pollWait // long polls of an idle log let the contact get this old
	}
	recent := !t.lastContact.IsZero() && now.Sub(t.lastContact) < maxAge
	served := !t.lastServed.IsZero() && now.Sub(t.lastServed) < probeAfterServing
	return !recent && (needed || served)
}
