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
	// readMargin is added to the wait for the timeout, so that an unreachable source is noticed within 2 s.
	readMargin   = 500 * time.Millisecond
	trialTimeout = 500 * time.Millisecond
	readLimit    = 1000
	probeEvery   = time.Second
	// freshFor is how long after the log's last answer a tail serves readers. Two relays that follow each other by
	// mistake would otherwise each take the other's empty answers for the end of the stream.
	freshFor = 5 * time.Second
	// lagLimit is how long a source may answer without records that the log is known to have.
	lagLimit = 2 * time.Second
	// servedFor is how long after a read by a peer a tail keeps its contact with the log for the next one.
	servedFor = 30 * time.Second
	// maxSightings bounds the reads of the log that wait for the fold to catch up.
	maxSightings = 64
)

var (
	// ErrStale means that a tail cannot tell whether it still follows the log. The reader should ask the next level.
	ErrStale   = errors.New("relay has had no contact with the log")
	errBehind  = errors.New("source is behind its reader")
	errTrimmed = errors.New("source no longer has the records wanted")
	errHole    = errors.New("source left out records")
)

// Seams are what a Tail needs of its owner. Functions are called from the goroutines of Run.
type Seams struct {
	// Sources returns the sources in order of preference.
	Sources func() []Source
	// Deliver receives every record once, in order.
	Deliver func(offset uint64, data []byte)
	// Gap is called when the records before first are lost to the tail. The owner adopts a state that covers them and
	// returns its offset. After an error it is called again.
	Gap func(ctx context.Context, first uint64) (asof uint64, err error)
	// Now returns the present time with a monotonic reading.
	Now func() time.Time
	// Yields reports whether the owner needs Tail.Contact to be recent although records come from a relay, as for a pool
	// that is given up without contact. May be nil.
	Yields func() bool
	// Failed is told of each failed read. May be nil.
	Failed func(source string, err error)
	// Seed is the seed of the jitter.
	Seed uint64
}

// Tail follows one stream. Its methods may be used by many goroutines.
type Tail struct {
	seams   Seams
	rnd     *rand.Rand
	known   map[string]*health // used by Run alone
	trimmed uint64             // lowest offset kept by the relays that lacked records since the last success, 0 if none
	probe   chan struct{}

	mu        sync.Mutex
	ring      ring
	wake      chan struct{} // closed when a record arrives
	contact   time.Time
	sightings []sighting
	served    time.Time
	caught    bool
	direct    bool // the last records came from the log itself
}

// sighting is an answer of the log: the read sent then showed that the stream ended before next.
type sighting struct {
	sent time.Time
	next uint64
}

// New returns a tail that wants the record after offset next.
func New(offset uint64, seams Seams) *Tail {
	return &Tail{
		seams: seams, rnd: rand.New(rand.NewPCG(seams.Seed, 0)), known: make(map[string]*health),
		probe: make(chan struct{}, 1), wake: make(chan struct{}), ring: ring{next: offset + 1},
	}
}

// Offset returns the offset of the last record delivered or covered by an adopted state.
func (t *Tail) Offset() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ring.next - 1
}

// Caught reports whether the tail has at some time reached the end of the stream.
func (t *Tail) Caught() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caught
}

// Contact returns when the latest read was sent that the log itself answered and whose stream end has been delivered,
// zero if none. A record that was in the log at that time is therefore known to the owner.
func (t *Tail) Contact() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contact
}

// Run follows the stream until ctx is done.
func (t *Tail) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { t.keepContact(ctx) })
	for ctx.Err() == nil {
		t.step(ctx)
	}
	wg.Wait()
}

// step makes one read from the best source that is not resting.
func (t *Tail) step(ctx context.Context) {
	src, retry, ok := choose(t.seams.Now(), t.seams.Sources(), t.known)
	if !ok {
		pause(ctx, max(retry.Sub(t.seams.Now()), time.Millisecond))
		return
	}
	h := t.known[src.Name]
	if h == nil {
		t.forget()
		h = new(health)
		t.known[src.Name] = h
	}
	err := t.read(ctx, src, h)
	switch now := t.seams.Now(); {
	case ctx.Err() != nil:
	case err == nil:
		h.succeed(now)
		t.trimmed = 0
	default:
		h.fail(now, src.Log, t.rnd)
		if t.seams.Failed != nil {
			t.seams.Failed(src.Name, err)
		}
	}
}

// forget drops sources that have not been offered for long.
func (t *Tail) forget() {
	for name, h := range t.known {
		if t.seams.Now().Sub(h.seen) > 10*forgive {
			delete(t.known, name)
		}
	}
}

func (t *Tail) read(ctx context.Context, src Source, h *health) error {
	want := t.Offset() + 1
	wait, timeout := pollWait, pollWait+readMargin
	if h.healthy.IsZero() {
		wait, timeout = 0, trialTimeout
	}
	rctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := t.seams.Now()
	batch, err := src.Read(rctx, want, wait, readLimit)
	switch {
	case err != nil && src.Log && t.trimmed > want:
		// The log is down and a relay has dropped the records: only a state can help.
		return errors.CombineErrors(err, t.bridge(ctx, t.trimmed))
	case err != nil:
		return err
	case fold.HasGap(want-1, batch.First) && src.Log:
		return t.bridge(ctx, batch.First)
	case fold.HasGap(want-1, batch.First):
		if t.trimmed == 0 || batch.First < t.trimmed {
			t.trimmed = batch.First
		}
		return errTrimmed
	case batch.Next < want:
		return errBehind
	}
	return t.accept(src, sent, want, batch)
}

// bridge lets the owner adopt a state that covers the records before first.
func (t *Tail) bridge(ctx context.Context, first uint64) error {
	t.trimmed = 0
	asof, err := t.seams.Gap(ctx, first)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if asof < t.ring.next || !fold.SnapshotUsable(asof, first) {
		return errors.Newf("state at offset %d does not cover the gap before %d", asof, first)
	}
	t.ring.reset(asof + 1)
	t.settle()
	return nil
}

func (t *Tail) accept(src Source, sent time.Time, want uint64, batch logsvc.Batch) error {
	for _, rec := range batch.Records {
		if rec.Offset < want {
			continue
		}
		if rec.Offset > want {
			return errHole
		}
		t.seams.Deliver(rec.Offset, rec.Data)
		t.publish(logsvc.Record{Offset: rec.Offset, Data: slim(rec.Data)})
		want++
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ring.next >= batch.Next {
		t.caught = true
	}
	t.direct = src.Log
	if src.Log {
		t.sight(sighting{sent: sent, next: batch.Next})
	} else if len(batch.Records) == 0 && len(t.sightings) > 0 && t.seams.Now().Sub(t.sightings[0].sent) > lagLimit {
		return errBehind
	}
	return nil
}

func (t *Tail) publish(rec logsvc.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ring.add(rec)
	t.settle()
	close(t.wake)
	t.wake = make(chan struct{})
}

// sight notes an answer of the log. The caller holds mu.
func (t *Tail) sight(s sighting) {
	if len(t.sightings) < maxSightings {
		t.sightings = append(t.sightings, s)
	}
	t.settle()
}

// settle turns sightings that the tail has caught up with into contact. The caller holds mu.
func (t *Tail) settle() {
	rest := t.sightings[:0]
	for _, s := range t.sightings {
		switch {
		case s.next > t.ring.next:
			rest = append(rest, s)
		case s.sent.After(t.contact):
			t.contact = s.sent
		}
	}
	t.sightings = rest
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
