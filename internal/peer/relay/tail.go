// Package relay follows a stream of the log, hands its records out in order, and serves them to other instances.
package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
)

const (
	pollWait = 1500 * time.Millisecond
	// readTimeoutMargin is added to the wait for the timeout, so that an unreachable source is noticed within 2 s.
	readTimeoutMargin = 500 * time.Millisecond
	trialTimeout      = 500 * time.Millisecond
	readLimit         = 1000
	probeInterval     = time.Second
	// maxContactAge is how long after the log's last answer a tail serves readers. Two relays that follow each other by
	// mistake would otherwise each take the other's empty answers for the end of the stream.
	maxContactAge = 5 * time.Second
	// maxSourceLag is how long a source may answer without records that the log is known to have.
	maxSourceLag = 2 * time.Second
	// probeAfterServing is how long after a read by a peer a tail keeps its contact with the log for the next one.
	probeAfterServing = 30 * time.Second
	// maxPendingAnswers bounds the reads of the log that wait for the fold to catch up.
	maxPendingAnswers = 64
)

var (
	// ErrStale means that a tail cannot tell whether it still follows the log. The reader should ask the next level.
	ErrStale          = errors.New("relay has had no contact with the log")
	errBehind         = errors.New("source is behind its reader")
	errTrimmed        = errors.New("source no longer has the records wanted")
	errMissingRecords = errors.New("source left out records")
)

// Config are what a Tail needs of its owner. Functions are called from the goroutines of Run.
type Config struct {
	// Sources returns the sources in order of preference.
	Sources func() []Source
	// Deliver receives every record once, in order.
	Deliver func(offset uint64, data []byte)
	// AdoptState is called when the records before first are lost to the tail. The owner adopts a state that covers them and
	// returns its offset. After an error it is called again.
	AdoptState func(ctx context.Context, first uint64) (asof uint64, err error)
	// Now returns the present time with a monotonic reading.
	Now func() time.Time
	// NeedsContact reports whether the owner needs Tail.Contact to be recent although records come from a relay, as for a pool
	// that is given up without contact. May be nil.
	NeedsContact func() bool
	// OnFailure is told of each failed read. May be nil.
	OnFailure func(source string, err error)
	// Seed is the seed of the jitter.
	Seed uint64
}

// Tail follows one stream. Its methods may be used by many goroutines.
type Tail struct {
	cfg           Config
	rnd           *rand.Rand
	health        map[string]*sourceHealth // used by Run alone
	relaysFirst   uint64                   // lowest offset kept by the relays that lacked records since the last success, 0 if none
	probeRequests chan struct{}

	mu             sync.Mutex
	buffer         recordBuffer
	recordArrived  chan struct{} // closed when a record arrives
	lastContact    time.Time
	pendingAnswers []logAnswer
	lastServed     time.Time
	caughtUp       bool
	readFromLog    bool // the last records came from the log itself
}

// logAnswer is an answer of the log: the read sent then showed that the stream ended before next.
type logAnswer struct {
	sent       time.Time
	nextOffset uint64
}

// New returns a tail that wants the record after offset next.
func New(offset uint64, cfg Config) *Tail {
	return &Tail{
		cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 0)), health: make(map[string]*sourceHealth),
		probeRequests: make(chan struct{}, 1), recordArrived: make(chan struct{}), buffer: recordBuffer{nextOffset: offset + 1},
	}
}

// Offset returns the offset of the last record delivered or covered by an adopted state.
func (t *Tail) Offset() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buffer.nextOffset - 1
}

// HasCaughtUp reports whether the tail has at some time reached the end of the stream.
func (t *Tail) HasCaughtUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUp
}

// LastContact returns when the latest read was sent that the log itself answered and whose stream end has been delivered,
// zero if none. A record that was in the log at that time is therefore known to the owner.
func (t *Tail) LastContact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastContact
}

// Run follows the stream until ctx is done.
func (t *Tail) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { t.keepContact(ctx) })
	for ctx.Err() == nil {
		t.readOnce(ctx)
	}
	wg.Wait()
}

// readOnce makes one read from the best source that is not resting.
func (t *Tail) readOnce(ctx context.Context) {
	src, retryAt, ok := chooseSource(t.cfg.Now(), t.cfg.Sources(), t.health)
	if !ok {
		pause(ctx, max(retryAt.Sub(t.cfg.Now()), time.Millisecond))
		return
	}
	h := t.health[src.Name]
	if h == nil {
		t.forgetSources()
		h = new(sourceHealth)
		t.health[src.Name] = h
	}
	err := t.readSource(ctx, src, h)
	switch now := t.cfg.Now(); {
	case ctx.Err() != nil:
	case err == nil:
		h.noteSuccess(now)
		t.relaysFirst = 0
	default:
		h.noteFailure(now, src.IsLog, t.rnd)
		if t.cfg.OnFailure != nil {
			t.cfg.OnFailure(src.Name, err)
		}
	}
}

// forgetSources drops sources that have not been offered for long.
func (t *Tail) forgetSources() {
	for name, h := range t.health {
		if t.cfg.Now().Sub(h.lastTried) > 10*recoveryTime {
			delete(t.health, name)
		}
	}
}

func (t *Tail) readSource(ctx context.Context, src Source, h *sourceHealth) error {
	want := t.Offset() + 1
	wait, timeout := pollWait, pollWait+readTimeoutMargin
	if h.healthySince.IsZero() {
		wait, timeout = 0, trialTimeout
	}
	rctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := t.cfg.Now()
	batch, err := src.Read(rctx, want, wait, readLimit)
	switch {
	case err != nil && src.IsLog && t.relaysFirst > want:
		// The log is down and a relay has dropped the records: only a state can help.
		return errors.CombineErrors(err, t.adoptState(ctx, t.relaysFirst))
	case err != nil:
		return err
	case fold.HasGap(want-1, batch.First) && src.IsLog:
		return t.adoptState(ctx, batch.First)
	case fold.HasGap(want-1, batch.First):
		if t.relaysFirst == 0 || batch.First < t.relaysFirst {
			t.relaysFirst = batch.First
		}
		return errTrimmed
	case batch.Next < want:
		return errBehind
	}
	return t.deliverBatch(src, sent, want, batch)
}

// adoptState lets the owner adopt a state that covers the records before first.
func (t *Tail) adoptState(ctx context.Context, first uint64) error {
	t.relaysFirst = 0
	asof, err := t.cfg.AdoptState(ctx, first)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if asof < t.buffer.nextOffset || !fold.SnapshotUsable(asof, first) {
		return errors.Newf("state at offset %d does not cover the gap before %d", asof, first)
	}
	t.buffer.reset(asof + 1)
	t.updateContact()
	return nil
}

func (t *Tail) deliverBatch(src Source, sent time.Time, want uint64, batch logsvc.Batch) error {
	for _, rec := range batch.Records {
		if rec.Offset < want {
			continue
		}
		if rec.Offset > want {
			return errMissingRecords
		}
		t.cfg.Deliver(rec.Offset, rec.Data)
		t.bufferRecord(logsvc.Record{Offset: rec.Offset, Data: stripSnapshotState(rec.Data)})
		want++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.buffer.nextOffset >= batch.Next {
		t.caughtUp = true
	}
	t.readFromLog = src.IsLog
	if src.IsLog {
		t.addLogAnswer(logAnswer{sent: sent, nextOffset: batch.Next})
	} else if len(batch.Records) == 0 && len(t.pendingAnswers) > 0 && t.cfg.Now().Sub(t.pendingAnswers[0].sent) > maxSourceLag {
		return errBehind
	}
	return nil
}

func (t *Tail) bufferRecord(rec logsvc.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer.add(rec)
	t.updateContact()
	close(t.recordArrived)
	t.recordArrived = make(chan struct{})
}

// addLogAnswer notes an answer of the log. The caller holds mu.
func (t *Tail) addLogAnswer(s logAnswer) {
	if len(t.pendingAnswers) < maxPendingAnswers {
		t.pendingAnswers = append(t.pendingAnswers, s)
	}
	t.updateContact()
}

// updateContact turns sightings that the tail has caught up with into contact. The caller holds mu.
func (t *Tail) updateContact() {
	rest := t.pendingAnswers[:0]
	for _, s := range t.pendingAnswers {
		switch {
		case s.nextOffset > t.buffer.nextOffset:
			rest = append(rest, s)
		case s.sent.After(t.lastContact):
			t.lastContact = s.sent
		}
	}
	t.pendingAnswers = rest
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
