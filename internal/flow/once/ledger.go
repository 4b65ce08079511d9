// Package once runs non-repeatable work at most once: before the work runs, an instance appends a claim to the log, and
// the first claim in log order wins.
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

// Config holds the settings and dependencies of a Ledger. Its functions are called from many goroutines.
type Config struct {
	Instance string // id with incarnation, unique to this process
	// Append adds data to the ledger stream. After an error other than *logsvc.StatusError, the append may still take effect.
	Append func(ctx context.Context, data []byte) (uint64, error)
	// Ready reports whether Apply got all records from the start of the longest window to the end of the stream.
	Ready         func() bool
	LiveInstances func() int
	Now           func() time.Time
	// AppendBudget is the number of appends per second of all instances together, DefaultAppendBudget if 0.
	AppendBudget float64
}

// Ledger claims work for one instance and tracks the claims of all. Its methods may be used by many goroutines.
type Ledger struct {
	cfg     Config
	wakeRun chan struct{}

	mu                sync.Mutex
	state             ledgerState
	pacer             Pacer
	lastClaim         uint64
	pendingClaims     map[string]*claimAttempt // undecided claims of this instance, by claim id
	queue             []queuedRecord
	queuedAnswerBytes int // size of the answers in queue
}

// claimAttempt is a claim that a call of Begin waits for.
type claimAttempt struct {
	id        Identity
	claimID   string
	decided   chan struct{} // closed when the claim was read from the stream
	won       bool          // valid once decided is closed
	appendErr chan error    // receives the error if the append fails
	abandoned bool          // Begin has given up
}

// New returns a ledger that has applied no records.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg: cfg, wakeRun: make(chan struct{}, 1), pendingClaims: make(map[string]*claimAttempt), pacer: Pacer{Budget: cfg.AppendBudget},
		state: ledgerState{entries: make(map[Identity]*entry), byExpiryHour: make(map[int64][]Identity)},
	}
}

const (
	// maxResolveWait is how long a claim is awaited in the stream after its append failed: the append may have taken
	// effect, but in an outage the caller should hear soon that its work has not run.
	maxResolveWait = time.Second
	retryAfter     = time.Second
)

// Begin returns a ticket if this instance won the claim on id and may now send the work once, or else the answer of the
// first run. Errors are *result.Error with the verdict MayHaveRun: the first run's outcome is unknown or did not arrive
// before ctx was done, or no claim could be made, so a first run may exist. window is how long resends are recognised.
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

// lookUpOrClaim returns the answer or error of a finished run, a channel to wait on if a run is in progress, or else a new
// claim, which it queues.
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

// awaitDecision waits until a's claim is read from the stream and reports whether it won.
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

// abandon gives up a claim and returns the error for the caller. If the claim has won or wins later, it is freed.
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

// Apply applies the record at offset. It ignores records at or below the last applied offset. Records trimmed before they
// could be read may be left out: retention is longer than any window.
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

// applyRecord applies one claim, Done or Free. The caller holds mu.
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

// parseIdentity returns false if b, from a damaged record, has a wrong length.
func parseIdentity(b []byte) (Identity, bool) {
	if len(b) != len(Identity{}) {
		return Identity{}, false
	}
	return Identity(b), true
}

// applyClaim applies a claim and, if Begin waits for it, reports the decision. The caller holds mu.
func (l *Ledger) applyClaim(id Identity, c *record.Claim) {
	won, repeated := l.state.applyClaim(id, c)
	if repeated || c.GetInstance() != l.cfg.Instance {
		return
	}
	a := l.pendingClaims[c.GetClaim()]
	if a == nil {
		if won {
			// Begin has given up: the work will not run.
			l.queueFree(id, c.GetClaim())
		}
		return
	}
	delete(l.pendingClaims, c.GetClaim())
	a.won = won
	close(a.decided)
}

// Offset returns the offset of the last record applied.
func (l *Ledger) Offset() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.offset
}

// IdentityCount returns the number of identities held in memory.
func (l *Ledger) IdentityCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.state.entries)
}

// Expire drops the identities whose window ended at least an hour before now. Run calls it.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.expire(now)
}

// notClaimed returns the error for work that was not claimed. The verdict is not NotRun, since another instance may have
// run the work for an earlier request.
func notClaimed(reason string, cause error) error {
	return &result.Error{Verdict: result.MayHaveRun, Status: 503, Reason: reason, RetryAfter: retryAfter, Cause: cause}
}

// outcomeUnknown returns the error for claimed work without a known answer.
func outcomeUnknown(reason string, cause error) error {
	return &result.Error{Verdict: result.MayHaveRun, Status: 504, Reason: reason, Cause: cause}
}
