package once

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	// MaxAnswer is the size limit in bytes of an answer that is kept for resends.
	MaxAnswer = 16 << 10
	// maxQueuedAnswerBytes bounds the answers queued while the log is down. Beyond it, outcomes are queued without answers.
	maxQueuedAnswerBytes = 16 << 20
	// maxGroupRecords and maxGroupBytes (of answers) bound an append; the last record may exceed the latter.
	maxGroupRecords = 512
	maxGroupBytes   = 512 << 10
	appendTimeout   = 2 * time.Second
	expireInterval  = time.Minute
)

// Ticket is the permission to send the work once.
type Ticket struct {
	ledger  *Ledger
	id      Identity
	claimID string
	once    sync.Once
}

// Finish records the outcome of the work. NotRun frees the identity, so that a resend may run. answer is the server's whole
// answer, nil unless the verdict is Ran; it is not kept if larger than MaxAnswer. Only the first call counts. Without one,
// the outcome stays unknown until the window ends.
func (t *Ticket) Finish(verdict result.Verdict, answer *record.Answer) {
	t.once.Do(func() {
		t.ledger.mu.Lock()
		defer t.ledger.mu.Unlock()
		if verdict == result.NotRun {
			t.ledger.queueFree(t.id, t.claimID)
			return
		}
		t.ledger.queueDone(t.id, t.claimID, verdict, answer)
	})
}

// queuedRecord is a record waiting to be appended.
type queuedRecord struct {
	rec         *record.Record
	attempt     *claimAttempt // nil if rec is not a claim
	answerBytes int           // size of the answer in rec
}

// queueFree queues a Free record. The caller holds mu.
func (l *Ledger) queueFree(id Identity, claim string) {
	l.enqueue(queuedRecord{rec: &record.Record{Kind: &record.Record_Free{Free: &record.Free{Identity: id[:], Claim: claim}}}})
}

// queueDone queues a Done record. The caller holds mu.
func (l *Ledger) queueDone(id Identity, claim string, verdict result.Verdict, answer *record.Answer) {
	size := proto.Size(answer)
	if verdict != result.Ran || size > MaxAnswer || l.queuedAnswerBytes+size > maxQueuedAnswerBytes {
		answer, size = nil, 0
	}
	l.queuedAnswerBytes += size
	l.enqueue(queuedRecord{answerBytes: size, rec: &record.Record{Kind: &record.Record_Done{Done: &record.Done{
		Identity: id[:], Claim: claim, Verdict: uint32(verdict), Answer: answer,
	}}}})
}

// enqueue queues a record. The caller holds mu.
func (l *Ledger) enqueue(i queuedRecord) {
	l.queue = append(l.queue, i)
	select {
	case l.wakeRun <- struct{}{}:
	default:
	}
}

// Run appends queued records in groups until ctx is done, then the rest of the queue, so that a planned stop loses no
// outcome.
func (l *Ledger) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		group, wait := l.takeGroup(l.cfg.Now(), false)
		if len(group) > 0 {
			wg.Go(func() { l.appendGroup(ctx, group) })
			continue
		}
		l.waitForWork(ctx, wait, ticker.C)
	}
	wg.Wait()
	for group, _ := l.takeGroup(l.cfg.Now(), true); len(group) > 0; group, _ = l.takeGroup(l.cfg.Now(), true) {
		if !l.appendGroup(ctx, group) {
			return
		}
	}
}

// waitForWork waits until ctx is done, a record is queued, an append ends, wait is over (if not 0), or expire fires.
func (l *Ledger) waitForWork(ctx context.Context, wait time.Duration, expire <-chan time.Time) {
	var pace <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		pace = timer.C
	}
	select {
	case <-ctx.Done():
	case <-l.wakeRun:
	case <-pace:
	case <-expire:
		l.Expire(l.cfg.Now())
	}
}

// takeGroup removes the next group from the queue. The group is empty if the queue is, or if the pacer allows no append
// yet; drain overrides the pacer.
func (l *Ledger) takeGroup(now time.Time, drain bool) (group []queuedRecord, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropAbandoned()
	if len(l.queue) == 0 {
		return nil, 0
	}
	if ok, wait := l.pacer.TryStart(now, l.cfg.LiveInstances()); !ok && !drain {
		return nil, wait
	} else if !ok {
		l.pacer.inFlight++
	}
	n, bytes := 0, 0
	for n < len(l.queue) && n < maxGroupRecords && bytes < maxGroupBytes {
		bytes += l.queue[n].answerBytes
		n++
	}
	group = append(group, l.queue[:n]...)
	l.queue = append([]queuedRecord(nil), l.queue[n:]...)
	l.queuedAnswerBytes -= bytes
	return group, 0
}

// dropAbandoned removes abandoned claims from the queue. The caller holds mu.
func (l *Ledger) dropAbandoned() {
	kept := l.queue[:0]
	for _, i := range l.queue {
		if i.attempt == nil || !i.attempt.abandoned {
			kept = append(kept, i)
		}
	}
	l.queue = kept
}

// appendGroup appends a group and reports whether that succeeded. If not, it queues outcomes again, since a repeated Done
// or Free changes nothing. Claims are not queued again, since Begin may give up; Begin waits for them in the stream.
func (l *Ledger) appendGroup(ctx context.Context, group []queuedRecord) bool {
	batch := new(record.Batch)
	for _, i := range group {
		batch.Records = append(batch.Records, i.rec)
	}
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Batch{Batch: batch}})
	if err == nil {
		// The append continues when the instance stops, so that the outcomes are recorded.
		actx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
		defer cancel()
		_, err = l.cfg.Append(actx, data)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.RecordResult(l.cfg.Now(), err != nil)
	for _, i := range group {
		switch {
		case err == nil:
		case i.attempt != nil:
			i.attempt.appendErr <- err
		default:
			l.queuedAnswerBytes += i.answerBytes
			l.queue = append(l.queue, i)
		}
	}
	select {
	case l.wakeRun <- struct{}{}:
	default:
	}
	return err == nil
}
