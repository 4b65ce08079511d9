package relay

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Peer is another instance that may have the state of the stream.
type Peer struct {
	Name string
	// State returns the peer's fold of this stream, with Asof 0 if it has none yet.
	State func(ctx context.Context) (*record.Snapshot, error)
}

// StateFinder finds and adopts the state from which an instance starts or resumes a stream.
type StateFinder struct {
	Peers func() []Peer
	// Read reads the log itself.
	Read func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error)
	// Adopt replaces the fold's state. It returns false, and changes nothing, if the state is damaged or older than the fold.
	Adopt func(*record.Snapshot) bool
	// OnFailure is called after each failed attempt of Start. May be nil.
	OnFailure func(err error)
}

// NoStateError means that records were trimmed and neither a peer nor the log has a state that covers them.
type NoStateError struct {
	FirstRetained uint64 // oldest offset retained
}

// Error names the oldest offset retained.
func (e *NoStateError) Error() string {
	return fmt.Sprintf("no state covers the records trimmed before offset %d", e.FirstRetained)
}

const (
	// peerTimeout bounds the wait for peers, so that an unreachable one does not delay the start of an instance.
	peerTimeout  = time.Second
	retryPause   = 500 * time.Millisecond
	scanTimeout  = 5 * time.Second
	startTimeout = time.Minute
)

// Start adopts a state for an instance that has none, from peers first, so that it works while the log is down. It
// returns the offset of the state, or 0 if nothing was trimmed and the fold begins at offset 1. It retries until ctx is
// done.
func (o *StateFinder) Start(ctx context.Context) (uint64, error) {
	for {
		asof, err := o.adoptOnce(ctx, 0, 0)
		if err == nil {
			return asof, nil
		}
		if ctx.Err() != nil {
			return 0, err
		}
		if o.OnFailure != nil {
			o.OnFailure(err)
		}
		pause(ctx, retryPause)
	}
}

// Resume makes one attempt to adopt a state for a fold at offset have that cannot read the records before first. It
// serves as Config.AdoptState.
func (o *StateFinder) Resume(ctx context.Context, have, first uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return o.adoptOnce(ctx, have, first)
}

func (o *StateFinder) adoptOnce(ctx context.Context, have, first uint64) (uint64, error) {
	if asof := o.adoptFromPeers(ctx, have, first); asof != 0 {
		return asof, nil
	}
	return o.adoptFromLog(ctx, have)
}

// adoptFromPeers adopts the usable state with the highest offset and returns that, or 0 if no peer has one.
func (o *StateFinder) adoptFromPeers(ctx context.Context, have, first uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peers := o.Peers()
	states := make([]*record.Snapshot, len(peers))
	var wg conc.WaitGroup
	for i, p := range peers {
		wg.Go(func() {
			if s, err := p.State(ctx); err == nil {
				states[i] = s
			}
		})
	}
	wg.Wait()
	slices.SortStableFunc(states, func(a, b *record.Snapshot) int { return cmp.Compare(b.GetAsof(), a.GetAsof()) })
	for _, s := range states {
		if s.GetAsof() > have && fold.SnapshotUsable(s.GetAsof(), first) && o.Adopt(s) {
			return s.GetAsof()
		}
	}
	return 0
}

// adoptFromLog adopts the oldest snapshot in the log that covers all trimmed records. Later records are folded anyway.
func (o *StateFinder) adoptFromLog(ctx context.Context, have uint64) (uint64, error) {
	first := uint64(0)
	for from := uint64(1); ; {
		batch, err := o.readLog(ctx, from)
		if err != nil {
			return 0, errors.Wrap(err, "search the log for a snapshot")
		}
		// Records may be trimmed during the search, so only the latest batch tells what is missing.
		if first = batch.First; !fold.HasGap(have, first) {
			return have, nil
		}
		for _, rec := range batch.Records {
			if s := usableSnapshot(rec, have, first); s != nil && o.Adopt(s) {
				return s.GetAsof(), nil
			}
			from = rec.Offset + 1
		}
		from = max(from, first)
		if len(batch.Records) == 0 || from >= batch.Next {
			return 0, &NoStateError{FirstRetained: first}
		}
	}
}

func (o *StateFinder) readLog(ctx context.Context, from uint64) (logsvc.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	return o.Read(ctx, from, 0, readLimit)
}

// usableSnapshot returns the snapshot in rec if a fold at offset have may adopt it, else nil.
func usableSnapshot(rec logsvc.Record, have, first uint64) *record.Snapshot {
	s := fold.Decode(rec.Data).GetSnapshot()
	if s == nil || s.GetAsof() >= rec.Offset || s.GetAsof() <= have || !fold.SnapshotUsable(s.GetAsof(), first) {
		return nil
	}
	return s
}
