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

// Config are what a Ledger needs of its owner. All functions may be called from many goroutines.
type Config struct {
	Instance string // id with incarnation: no other process ever uses it
	// Append adds data to the ledger stream. After an error other than *logsvc.ErrStatus it may still take effect, then or
	// later.
	Append func(ctx context.Context, data []byte) (uint64, error)
	// Ready reports whether the fold began at the start of the longest window and has reached the end of the stream.
	Ready         func() bool
	LiveInstances func() int // number of live instances
	Now           func() time.Time
	// AppendBudget is the number of appends per second of all instances, DefaultBudget if 0.
	AppendBudget float64
}

// Ledger is one instance's part in claiming work. Its methods may be used by many goroutines.
type Ledger struct {
	cfg     Config
	wakeRun chan struct{}

	mu                sync.Mutex
	state             ledgerState
	pacer             Pacer
	lastClaim         uint64
	pendingClaims     map[string]*claimAttempt // own claims that somebody waits for, by id
	queue             []queuedRecord
	queuedAnswerBytes int // of kept answers in queue
}

// claimAttempt is a claim of this instance that has not been folded.
type claimAttempt struct {
	id        Identity
	claimID   string
	decided   chan struct{} // closed when the claim was folded
	won       bool          // valid once decided is closed
	appendErr chan error    // the append's error
	abandoned bool          // nobody waits any more
}

// New returns a ledger with nothing folded.
func New(seams Config) *Ledger {
	return &Ledger{
		cfg: seams, wakeRun: make(chan struct{}, 1), pendingClaims: make(map[string]*claimAttempt), pacer: Pacer{Budget: seams.AppendBudget},
		state: ledgerState{entries: make(map[Identity]*entry), byExpiryHour: make(map[int64][]Identity)},
	}
}

const (
	// maxResolveWait is how long a claim whose append failed is looked for in the stream. The append may have taken
	// effect; in an outage the caller should hear soon that its work has not run.
	maxResolveWait = time.Second
	retryAfter     = time.Second
)

// Begin returns a ticket if this instance won the claim on id and may now send the work once, or else the answer of the
// first run. The error is a *result.Error with the verdict MayHaveRun: the outcome of the first run is unknown or not
// there when ctx is done, or the claim could not be made, so that nobody can tell whether there was a first run. window
// is how long resends are recognised.
func (l *Ledger) Begin(ctx context.Context, id Identity, window time.Duration) (*Ticket, *record.Answer, error) {
	for {
		if !l.cfg.Ready() {
			return nil, nil, notClaimed("ledger-not-ready", nil)
		}
		a, busy, answer, err := l.lookUpOrClaim(ctx, id, window)
		switch {
		case err != nil || answer != nil:
			return nil, answer, err
		case busy != nil:
			select {
			case <-busy:
			case <-ctx.Done():
				return nil, nil, outcomeUnknown("first-run-unfinished", ctx.Err())
			}
		default:
			won, err := l.awaitDecision(ctx, a)
			if err != nil {
				return nil, nil, err
			}
			if won {
				return &Ticket{ledger: l, id: id, claimID: a.claimID}, nil, nil
			}
		}
	}
}

// lookUpOrClaim looks at the present state of id: a known outcome, a run in progress, or else a new claim put into the queue.
func (l *Ledger) lookUpOrClaim(ctx context.Context, id Identity, window time.Duration) (*claimAttempt, <-chan struct{}, *record.Answer, error) {
	now := l.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.state.activeEntry(id, now.Unix())
	switch {
	case e != nil && e.done:
		answer, err := e.firstAnswer()
		return nil, nil, answer, err
	case e != nil:
		return nil, e.changedChannel(), nil, nil
	case ctx.Err() != nil:
		return nil, nil, nil, notClaimed("deadline", ctx.Err())
	case l.pacer.IsDown(now):
		return nil, nil, nil, notClaimed("ledger-down", nil)
	}
	l.lastClaim++
	a := &claimAttempt{
		id: id, claimID: claimID(l.cfg.Instance, l.lastClaim, window), decided: make(chan struct{}), appendErr: make(chan error, 1),
	}
	l.pendingClaims[a.claimID] = a
	l.enqueue(queuedRecord{attempt: a, rec: &record.Record{Kind: &record.Record_Claim{Claim: &record.Claim{
		Identity: id[:], Claim: a.claimID, Instance: l.cfg.Instance, At: now.Unix(),
	}}}})
	return a, nil, nil, nil
}

func (e *entry) firstAnswer() (*record.Answer, error) {
	if e.verdict != result.Ran || e.encodedAnswer == nil {
		return nil, outcomeUnknown("first-answer-unknown", nil)
	}
	answer := new(record.Answer)
	if err := proto.Unmarshal(e.encodedAnswer, answer); err != nil {
		return nil, outcomeUnknown("first-answer-unknown", err)
	}
	return answer, nil
}

// awaitDecision waits until the fold has reached the attempt's claim, and reports whether it won.
func (l *Ledger) awaitDecision(ctx context.Context, a *claimAttempt) (bool, error) {
	var cause error
	var giveup <-chan time.Time
	for {
		select {
		case <-a.decided:
			return a.won, nil
		case cause = <-a.appendErr:
			if status := new(logsvc.StatusError); errors.As(cause, &status) {
				return false, l.abandon(a, "ledger-down", cause)
			}
			timer := time.NewTimer(maxResolveWait)
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
func (l *Ledger) abandon(a *claimAttempt, reason string, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.abandoned = true
	if l.pendingClaims[a.claimID] == nil && !a.won {
		return outcomeUnknown("first-run-unfinished", cause)
	}
	if a.won {
		l.queueFree(a.id, a.claimID)
	}
	delete(l.pendingClaims, a.claimID)
	return notClaimed(reason, cause)
}

// Apply folds the record at offset. Records at or below the last offset folded are ignored. Records may be left out that
// were trimmed before they could be read: they are older than any window, which is shorter than retention.
func (l *Ledger) Apply(offset uint64, data []byte) {
	rec := fold.Decode(data)
	l.mu.Lock()
	defer l.mu.Unlock()
	if offset <= l.state.offset {
		return
	}
	l.state.offset = offset
	if batch := rec.GetBatch(); batch != nil {
		for _, r := range batch.GetRecords() {
			l.applyRecord(r)
		}
		return
	}
	l.applyRecord(rec)
}

func (l *Ledger) applyRecord(rec *record.Record) {
	switch kind := rec.GetKind().(type) {
	case *record.Record_Claim:
		if id, ok := parseIdentity(kind.Claim.GetIdentity()); ok {
			l.applyClaim(id, kind.Claim)
		}
	case *record.Record_Done:
		if id, ok := parseIdentity(kind.Done.GetIdentity()); ok {
			l.state.applyDone(id, kind.Done)
		}
	case *record.Record_Free:
		if id, ok := parseIdentity(kind.Free.GetIdentity()); ok {
			l.state.applyFree(id, kind.Free)
		}
	}
}

// parseIdentity rejects the identities of damaged records.
func parseIdentity(b []byte) (Identity, bool) {
	if len(b) != len(Identity{}) {
		return Identity{}, false
	}
	return Identity(b), true
}

func (l *Ledger) applyClaim(id Identity, c *record.Claim) {
	won, repeated := l.state.applyClaim(id, c)
	if repeated || c.GetInstance() != l.cfg.Instance {
		return
	}
	a := l.pendingClaims[c.GetClaim()]
	if a == nil {
		if won {
			// Its append answer was lost and Begin gave up: nobody will run it.
			l.queueFree(id, c.GetClaim())
		}
		return
	}
	delete(l.pendingClaims, c.GetClaim())
	a.won = won
	close(a.decided)
}

// Offset returns the offset of the last record folded.
func (l *Ledger) Offset() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.offset
}

// IdentityCount returns the number of identities known.
func (l *Ledger) IdentityCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.state.entries)
}

// Expire drops identities whose window has long ended at now. Run calls it.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.expire(now)
}

// notClaimed returns the error of a request that this instance does not run. Without a claim it cannot know whether another
// instance has run the work of an earlier try, so it does not say "not run".
func notClaimed(reason string, cause error) error {
	return &result.Error{Verdict: result.MayHaveRun, Status: 503, Reason: reason, RetryAfter: retryAfter, Cause: cause}
}

func outcomeUnknown(reason string, cause error) error {
	return &result.Error{Verdict: result.MayHaveRun, Status: 504, Reason: reason, Cause: cause}
}
