// Package relay follows a stream of the log, delivers its records in order, and serves them to other instances.
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
	// readTimeoutMargin is added to pollWait to form the timeout, so that an unreachable source is detected within 2 s.
	readTimeoutMargin = 500 * time.Millisecond
	trialTimeout      = 500 * time.Millisecond // of probes and of sources not known to be healthy
	readLimit         = 1000                   // records
	probeInterval     = time.Second
	// maxContactAge is how long a tail serves readers after its last contact with the log. Otherwise two relays that
	// read from each other by mistake would take each other's empty answers for the end of the stream.
	maxContactAge = 5 * time.Second
	// maxSourceLag is how long a relay may return no records although the log is known to have newer ones.
	maxSourceLag = 2 * time.Second
	// probeAfterServing is how long a tail goes on probing the log after serving a peer, for its next read.
	probeAfterServing = 30 * time.Second
	// maxPendingAnswers bounds the answers of the log that wait until their records have been delivered.
	maxPendingAnswers = 64
)

var (
	// ErrStale means that a tail may not be up to date with the log. The reader should try another source.
	ErrStale          = errors.New("relay has had no contact with the log")
	errBehind         = errors.New("source is behind its reader")
	errTrimmed        = errors.New("source no longer has the requested records")
	errMissingRecords = errors.New("source skipped records")
)

// Config holds the settings and callbacks of a Tail. The functions are called by several goroutines.
type Config struct {
	// Sources returns the sources in order of preference.
	Sources func() []Source
	// Deliver receives every record once, in order.
	Deliver func(offset uint64, data []byte)
	// AdoptState adopts a state that covers the records before first, which the tail can no longer read, and returns
	// its offset. After an error it is called again.
	AdoptState func(ctx context.Context, first uint64) (asof uint64, err error)
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// NeedsContact reports whether LastContact must be recent even while records come from a relay, for example for a
	// pool that is released without contact. May be nil.
	NeedsContact func() bool
	// AppendAgain appends records that the log has lost, if the first gets its former offset. May be nil.
	AppendAgain func(ctx context.Context, offset uint64, records [][]byte) error
	// BeginEra appends the record of an era. May be nil.
	BeginEra func(ctx context.Context, number uint64) error
	// OnDiverged is called when the log was restored and new records were appended at offsets of delivered ones, from offset on.
	// May be nil.
	OnDiverged func(offset uint64)
	// OnEra is called for each record that begins an era. May be nil.
	OnEra func(number uint64)
	// Era is the newest era whose record the tail's state covers.
	Era uint64
	// OnFailure is called for each failed read. May be nil.
	OnFailure func(source string, err error)
	// Seed seeds the jitter of the retry pauses.
	Seed uint64
}

// Tail follows one stream. It is safe for concurrent use.
type Tail struct {
	cfg           Config
	rnd           *rand.Rand
	health        map[string]*sourceHealth // used by Run alone
	relaysFirst   uint64                   // oldest offset kept by relays that lacked records since the last success, 0 if none
	era           uint64                   // newest era of the log in which it is known to hold what was delivered; used by Run alone
	begunEra      uint64                   // newest era whose record was delivered or appended; used by Run alone
	probeRequests chan struct{}

	mu             sync.Mutex
	buffer         recordBuffer
	recordArrived  chan struct{} // closed and replaced when a record arrives
	lastContact    time.Time
	pendingAnswers []logAnswer
	lastServed     time.Time
	caughtUp       bool
	readFromLog    bool // the last batch came from the log itself
}

// logAnswer records that a read of the log, sent at that time, found the stream to end before nextOffset.
type logAnswer struct {
	sent       time.Time
	nextOffset uint64
}

// New returns a tail that starts with the record after offset.
func New(offset uint64, cfg Config) *Tail {
	return &Tail{
		cfg: cfg, era: cfg.Era, begunEra: cfg.Era, rnd: rand.New(rand.NewPCG(cfg.Seed, 0)), health: make(map[string]*sourceHealth),
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

// LastContact returns when the latest read of the log itself was sent whose stream end has been delivered, zero if
// none. Every record that was in the log at that time has thus been delivered.
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

// readOnce makes one read from the first source that is not in its retry pause.
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

// forgetSources drops the health of sources not tried for long.
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
	if err == nil && src.IsLog {
		err = t.checkEras(ctx, src, batch.Eras)
	}
	if err == nil && src.IsLog {
		err = t.beginEra(ctx, batch.EraAge)
	}
	switch {
	case err != nil && src.IsLog && t.relaysFirst > want:
		// The log is down and the relays have dropped the wanted records, so a state has to replace them.
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

// adoptState has Config.AdoptState adopt a state that covers the records before first, and continues after it.
func (t *Tail) adoptState(ctx context.Context, first uint64) error {
	t.relaysFirst = 0
	asof, err := t.cfg.AdoptState(ctx, first)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if asof < t.buffer.nextOffset || !fold.SnapshotUsable(asof, first) {
		return errors.Newf("state at offset %d does not cover the missing records before offset %d", asof, first)
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
		if era := fold.EraOf(rec.Data); era > 0 {
			t.era, t.begunEra = max(t.era, era), max(t.begunEra, era)
			if t.cfg.OnEra != nil {
				t.cfg.OnEra(era)
			}
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

// addLogAnswer adds s to the pending answers. The caller holds mu.
func (t *Tail) addLogAnswer(s logAnswer) {
	if len(t.pendingAnswers) < maxPendingAnswers {
		t.pendingAnswers = append(t.pendingAnswers, s)
	}
	t.updateContact()
}

// updateContact advances lastContact to the latest pending answer whose records have all been delivered. The caller
// holds mu.
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
