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
	// MaxAnswer is the size in bytes of the largest answer that is kept for resends.
	MaxAnswer = 16 << 10
	// maxQueued bounds the answers that wait for the log to return. Beyond it the outcome is recorded without them.
	maxQueued = 16 << 20
	// groupRecords and groupBytes bound one append.
	groupRecords  = 512
	groupBytes    = 512 << 10
	appendTimeout = 2 * time.Second
	expireEvery   = time.Minute
)

// Ticket is the permission to send the work once.
type Ticket struct {
	ledger *Ledger
	id     Identity
	claim  string
	once   sync.Once
}

// Done records what became of the work: NotRun frees the identity, so that a resend may run. answer is the server's whole
// answer, nil unless the verdict is Ran; one larger than MaxAnswer is not kept. Only the first call counts. A ticket
// without Done leaves its identity with an unknown outcome until the window ends.
func (t *Ticket) Done(verdict result.Verdict, answer *record.Answer) {
	t.once.Do(func() {
		t.ledger.mu.Lock()
		defer t.ledger.mu.Unlock()
		if verdict == result.NotRun {
			t.ledger.release(t.id, t.claim)
			return
		}
		t.ledger.finish(t.id, t.claim, verdict, answer)
	})
}

// item is a record that waits to be appended.
type item struct {
	rec     *record.Record
	attempt *attempt // of a claim, else nil
	bytes   int      // size of the answer kept
}

// release queues a Free. The caller holds mu.
func (l *Ledger) release(id Identity, claim string) {
	l.push(item{rec: &record.Record{Kind: &record.Record_Free{Free: &record.Free{Identity: id[:], Claim: claim}}}})
}

// finish queues a Done. The caller holds mu.
func (l *Ledger) finish(id Identity, claim string, verdict result.Verdict, answer *record.Answer) {
	size := proto.Size(answer)
	if verdict != result.Ran || size > MaxAnswer || l.bytes+size > maxQueued {
		answer, size = nil, 0
	}
	l.bytes += size
	l.push(item{bytes: size, rec: &record.Record{Kind: &record.Record_Done{Done: &record.Done{
		Identity: id[:], Claim: claim, Verdict: uint32(verdict), Answer: answer,
	}}}})
}

// push queues a record. The caller holds mu.
func (l *Ledger) push(i item) {
	l.queue = append(l.queue, i)
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Run appends queued records in groups until ctx is done, and then what is left, so that a planned stop loses no outcome.
func (l *Ledger) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		group, wait := l.take(l.seams.Now(), false)
		if len(group) > 0 {
			wg.Go(func() { l.send(ctx, group) })
			continue
		}
		l.idle(ctx, wait, ticker.C)
	}
	wg.Wait()
	for group, _ := l.take(l.seams.Now(), true); len(group) > 0; group, _ = l.take(l.seams.Now(), true) {
		if !l.send(ctx, group) {
			return
		}
	}
}

// idle waits for a record, an answer, the pace or the time to expire entries.
func (l *Ledger) idle(ctx context.Context, wait time.Duration, expire <-chan time.Time) {
	var pace <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		pace = timer.C
	}
	select {
	case <-ctx.Done():
	case <-l.kick:
	case <-pace:
	case <-expire:
		l.Expire(l.seams.Now())
	}
}

// take removes the next group from the queue. It is empty when there is nothing to append, or not yet. With drain the
// pace does not matter.
func (l *Ledger) take(now time.Time, drain bool) (group []item, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop()
	if len(l.queue) == 0 {
		return nil, 0
	}
	if ok, wait := l.pace.Take(now, l.seams.Live()); !ok && !drain {
		return nil, wait
	} else if !ok {
		l.pace.flying++
	}
	n, bytes := 0, 0
	for n < len(l.queue) && n < groupRecords && bytes < groupBytes {
		bytes += l.queue[n].bytes
		n++
	}
	group = append(group, l.queue[:n]...)
	l.queue = append([]item(nil), l.queue[n:]...)
	l.bytes -= bytes
	return group, 0
}

// drop removes claims that nobody waits for any more. The caller holds mu.
func (l *Ledger) drop() {
	kept := l.queue[:0]
	for _, i := range l.queue {
		if i.attempt == nil || !i.attempt.gone {
			kept = append(kept, i)
		}
	}
	l.queue = kept
}

// send appends a group and reports whether the log answered. Outcomes that may not have reached the log are queued again:
// a repeated Done or Free changes nothing. Claims are not, since Begin may give up; they are looked for in the stream.
func (l *Ledger) send(ctx context.Context, group []item) bool {
	batch := new(record.Batch)
	for _, i := range group {
		batch.Records = append(batch.Records, i.rec)
	}
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Batch{Batch: batch}})
	if err == nil {
		// The append goes on when the instance stops, so that its outcomes are recorded.
		actx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
		defer cancel()
		_, err = l.seams.Append(actx, data)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pace.Landed(l.seams.Now(), err != nil)
	for _, i := range group {
		switch {
		case err == nil:
		case i.attempt != nil:
			i.attempt.failed <- err
		default:
			l.bytes += i.bytes
			l.queue = append(l.queue, i)
		}
	}
	select {
	case l.kick <- struct{}{}:
	default:
	}
	return err == nil
}
