// Package once makes sure that work that must not be repeated runs at most once: an instance claims it in the log
// before it runs, and the first claim in log order wins.
package once

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Seams are what a Ledger needs of its owner. All functions may be called from many goroutines.
type Seams struct {
	Instance string // id with incarnation: no other process ever uses it
	// Append adds data to the ledger stream. After an error other than *logsvc.ErrStatus it may still take effect, then or
	// later.
	Append func(ctx context.Context, data []byte) (uint64, error)
	// Ready reports whether the fold began at the start of the longest window and has reached the end of the stream.
	Ready func() bool
	Live  func() int // number of live instances
	Now   func() time.Time
	// Budget is the number of appends per second of all instances, DefaultBudget if 0.
	Budget float64
}

// Ledger is one instance's part in claiming work. Its methods may be used by many goroutines.
type Ledger struct {
	seams Seams
	kick  chan struct{}

	mu      sync.Mutex
	book    book
	pace    Pace
	number  uint64
	waiting map[string]*attempt // own claims that somebody waits for, by id
	queue   []item
	bytes   int // of kept answers in queue
}

// attempt is a claim of this instance that has not been folded.
type attempt struct {
	id      Identity
	claim   string
	decided chan struct{} // closed when the claim was folded
	won     bool          // valid once decided is closed
	failed  chan error    // the append's error
	gone    bool          // nobody waits any more
}

// New returns a ledger with nothing folded.
func New(seams Seams) *Ledger {
	return &Ledger{
		seams: seams, kick: make(chan struct{}, 1), waiting: make(map[string]*attempt), pace: Pace{Budget: seams.Budget},
		book: book{entries: make(map[Identity]*entry), expiry: make(map[int64][]Identity)},
	}
}

const (
	// resolveWait is how long a claim whose append failed is looked for in the stream. The append may have taken
	// effect; in an outage the caller should hear soon that its work has not run.
	resolveWait = time.Second
	retryAfter  = time.Second
)

// Begin returns a ticket if this instance won the claim on id and may now send the work once, or else the answer of the
// first run. The error is a *result.Error with the verdict MayHaveRun: the outcome of the first run is unknown or not
// there when ctx is done, or the claim could not be made, so that nobody can tell whether there was a first run. window
// is how long resends are recognised.
func (l *Ledger) Begin(ctx context.Context, id Identity, window time.Duration) (*Ticket, *record.Answer, error) {
	for {
		if !l.seams.Ready() {
			return nil, nil, refuse("ledger-not-ready", nil)
		}
		a, busy, answer, err := l.enter(ctx, id, window)
		switch {
		case err != nil || answer != nil:
			return nil, answer, err
		case busy != nil:
			select {
			case <-busy:
			case <-ctx.Done():
				return nil, nil, unknown("first-run-unfinished", ctx.Err())
			}
		default:
			won, err := l.await(ctx, a)
			if err != nil {
				return nil, nil, err
			}
			if won {
				return &Ticket{ledger: l, id: id, claim: a.claim}, nil, nil
			}
		}
	}
}

// enter looks at the present state of id: a known outcome, a run in progress, or else a new claim put into the queue.
func (l *Ledger) enter(ctx context.Context, id Identity, window time.Duration) (*attempt, <-chan struct{}, *record.Answer, error) {
	now := l.seams.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.book.live(id, now.Unix())
	switch {
	case e != nil && e.done:
		answer, err := e.replay()
		return nil, nil, answer, err
	case e != nil:
		return nil, e.wait(), nil, nil
	case ctx.Err() != nil:
		return nil, nil, nil, refuse("deadline", ctx.Err())
	case l.pace.Down(now):
		return nil, nil, nil, refuse("ledger-down", nil)
	}
	l.number++
	a := &attempt{
		id: id, claim: claimID(l.seams.Instance, l.number, window), decided: make(chan struct{}), failed: make(chan error, 1),
	}
	l.waiting[a.claim] = a
	l.push(item{attempt: a, rec: &record.Record{Kind: &record.Record_Claim{Claim: &record.Claim{
		Identity: id[:], Claim: a.claim, Instance: l.seams.Instance, At: now.Unix(),
	}}}})
	return a, nil, nil, nil
}

func (e *entry) replay() (*record.Answer, error) {
	if e.verdict != result.Ran || e.answer == nil {
		return nil, unknown("first-answer-unknown", nil)
	}
	answer := new(record.Answer)
	if err := proto.Unmarshal(e.answer, answer); err != nil {
		return nil, unknown("first-answer-unknown", err)
	}
	return answer, nil
}

// await waits until the fold has reached the attempt's claim, and reports whether it won.
func (l *Ledger) await(ctx context.Context, a *attempt) (bool, error) {
	var cause error
	var giveup <-chan time.Time
	for {
		select {
		case <-a.decided:
			return a.won, nil
		case cause = <-a.failed:
			if status := new(logsvc.StatusError); errors.As(cause, &status) {
				return false, l.abandon(a, "ledger-down", cause)
			}
			timer := time.NewTimer(resolveWait)
			defer timer.Stop()
			giveup = timer.C
		case <-giveup:
			return false, l.abandon(a, "ledger-down", cause)
		case <-ctx.Done():
			return false, l.abandon(a, "deadline", ctx.Err())
		}
	}
}

// abandon gives a claim up. If it has won or wins later it is freed.
func (l *Ledger) abandon(a *attempt, reason string, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.gone = true
	if l.waiting[a.claim] == nil && !a.won {
		return unknown("first-run-unfinished", cause)
	}
	if a.won {
		l.release(a.id, a.claim)
	}
	delete(l.waiting, a.claim)
	return refuse(reason, cause)
}

// Apply folds the record at offset. Records at or below the last offset folded are ignored. Records may be left out that
// were trimmed before they could be read: they are older than any window, which is shorter than retention.
func (l *Ledger) Apply(offset uint64, data []byte) {
	rec := fold.Decode(data)
	l.mu.Lock()
	defer l.mu.Unlock()
	if offset <= l.book.offset {
		return
	}
	l.book.offset = offset
	if batch := rec.GetBatch(); batch != nil {
		for _, r := range batch.GetRecords() {
			l.apply(r)
		}
		return
	}
	l.apply(rec)
}

func (l *Ledger) apply(rec *record.Record) {
	switch kind := rec.GetKind().(type) {
	case *record.Record_Claim:
		if id, ok := identity(kind.Claim.GetIdentity()); ok {
			l.claimed(id, kind.Claim)
		}
	case *record.Record_Done:
		if id, ok := identity(kind.Done.GetIdentity()); ok {
			l.book.done(id, kind.Done)
		}
	case *record.Record_Free:
		if id, ok := identity(kind.Free.GetIdentity()); ok {
			l.book.free(id, kind.Free)
		}
	}
}

// identity rejects the identities of damaged records.
func identity(b []byte) (Identity, bool) {
	if len(b) != len(Identity{}) {
		return Identity{}, false
	}
	return Identity(b), true
}

func (l *Ledger) claimed(id Identity, c *record.Claim) {
	won, repeated := l.book.claim(id, c)
	if repeated || c.GetInstance() != l.seams.Instance {
		return
	}
	a := l.waiting[c.GetClaim()]
	if a == nil {
		if won {
			// Its append answer was lost and Begin gave up: nobody will run it.
			l.release(id, c.GetClaim())
		}
		return
	}
	delete(l.waiting, c.GetClaim())
	a.won = won
	close(a.decided)
}

// Offset returns the offset of the last record folded.
func (l *Ledger) Offset() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.offset
}

// Len returns the number of identities known.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.book.entries)
}

// Expire drops identities whose window has long ended at now. Run calls it.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.expire(now)
}

// refuse returns the error of a request that this instance does not run. Without a claim it cannot know whether another
// instance has run the work of an earlier try, so it does not say "not run".
func refuse(reason string, cause error) error {
	return &result.Error{Verdict: result.MayHaveRun, Status: 503, Reason: reason, RetryAfter: retryAfter, Cause: cause}
}

func unknown(reason string, cause error) error {
	return &result.Error{Verdict: result.MayHaveRun, Status: 504, Reason: reason, Cause: cause}
}
