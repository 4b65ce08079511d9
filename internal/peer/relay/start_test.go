package relay_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/peer/relay"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

func newStateFinder(n *node, l *memLog, peers ...relay.Peer) *relay.StateFinder {
	return &relay.StateFinder{Peers: func() []relay.Peer { return peers }, Read: l.read, Adopt: n.adopt}
}

func newPeer(s *record.Snapshot, err error) relay.Peer {
	return relay.Peer{State: func(context.Context) (*record.Snapshot, error) { return s, err }}
}

// Guards against an instance that cannot start while the log is down, and against adopting the older of two states.
func TestStartFromPeersWhileLogIsDown(t *testing.T) {
	l := memLog{down: true}
	var n node
	at := func(asof uint64) *record.Snapshot {
		return &record.Snapshot{Asof: asof, Config: &record.Config{Version: asof}}
	}
	o := newStateFinder(&n, &l, newPeer(at(7), nil), newPeer(nil, errDown), newPeer(at(9), nil), newPeer(at(0), nil))
	if asof, err := o.Start(t.Context()); err != nil || asof != 9 || n.cfg.Version != 9 {
		t.Fatalf("started at %d (%v) with version %d, want 9", asof, err, n.cfg.Version)
	}
	ctx, cancel := context.WithCancel(t.Context())
	o = newStateFinder(new(node), &l, newPeer(at(0), nil))
	o.OnFailure = func(error) { cancel() }
	if _, err := o.Start(ctx); !errors.Is(err, errDown) {
		t.Fatalf("start without a peer's state and the log: %v", err)
	}
}

// Guards against a tail that stalls or skips records after the log, or all relays while the log is down, dropped
// records that it had not read.
func TestStateCoversGap(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint("down=", down), func(t *testing.T) {
			var l memLog
			var ahead, n node
			last := publishVersions(&l, 0, 100)
			b, _ := l.readNow(1, 100)
			for _, r := range b.Records {
				ahead.deliver(r.Offset, r.Data)
			}
			l.withLock(func() { l.trim(60) })
			old := l.read
			runTail(t, &n, &l, func(s *relay.Config) {
				s.AdoptState = func(ctx context.Context, first uint64) (uint64, error) {
					return newStateFinder(&n, &l, newPeer(ahead.state(), nil)).Resume(ctx, n.state().GetAsof(), first)
				}
				if down {
					l.down = true
					s.Sources = func() []relay.Source {
						up := memLog{recs: l.recs, trimmed: l.trimmed}
						return []relay.Source{newSource("relay", false, up.read), newSource("log", true, old)}
					}
				}
			})
			waitUntil(t, "state covers the gap", n.hasReached(last))
			if n.cfg.Version != last || !slices.Equal(n.versions, []uint64{last}) {
				t.Fatalf("versions %v, want only %d", n.versions, last)
			}
		})
	}
}

// Guards against a version that reverts or a wrong state after starting from a stale, racing or damaged snapshot of a
// trimmed log.
func TestStaleSnapshotNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l memLog
		var fullReader node
		states := []*record.Snapshot{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			switch {
			case len(states) > 0 && rapid.IntRange(0, 2).Draw(t, "kind") == 0:
				s := rapid.SampledFrom(states).Draw(t, "state")
				if rapid.IntRange(0, 5).Draw(t, "damage") == 0 {
					s = &record.Snapshot{Asof: s.GetAsof() + 100, Config: s.GetConfig()}
				}
				l.append(snapshot(s))
			default:
				l.append(publish(fullReader.cfg.Version - uint64(rapid.IntRange(0, 1).Draw(t, "stale"))))
			}
			r := l.recs[len(l.recs)-1]
			fullReader.deliver(r.Offset, r.Data)
			states = append(states, fullReader.state())
		}
		l.trim(rapid.IntRange(0, len(l.recs)).Draw(t, "trim"))
		var n node
		peers := []relay.Peer{}
		if rapid.Bool().Draw(t, "peer") {
			peers = append(peers, newPeer(rapid.SampledFrom(states).Draw(t, "peerstate"), nil))
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		o := newStateFinder(&n, &l, peers...)
		o.OnFailure = func(error) { cancel() }
		asof, err := o.Start(ctx)
		if err != nil {
			var none *relay.NoStateError
			if !errors.As(err, &none) {
				t.Fatalf("start: %v", err)
			}
			return
		}
		b, _ := l.readNow(asof+1, len(l.recs)+1)
		if fold.HasGap(asof, b.First) {
			if len(peers) == 0 {
				t.Fatalf("snapshot at %d was adopted although records before %d are trimmed", asof, b.First)
			}
			return // a tail would ask for a newer state
		}
		for _, r := range b.Records {
			n.deliver(r.Offset, r.Data)
		}
		if !proto.Equal(n.state(), fullReader.state()) || !slices.IsSorted(n.versions) {
			t.Fatalf("state %v after versions %v, want %v", n.state(), n.versions, fullReader.state())
		}
	})
}

// Guards against a stream without a recent snapshot, and against all controllers writing one at once.
func TestSnapshotDue(t *testing.T) {
	now := time.Unix(0, 0)
	minutes := func(m int) time.Time { return now.Add(time.Duration(m) * time.Minute) }
	for _, c := range []struct {
		at     time.Time
		offset uint64
		first  uint64
		rank   int
		want   bool
	}{
		{now, 1099, 0, 0, false},
		{now, 1100, 0, 0, true},
		{now, 1100, 0, 1, false},
		{now, 1350, 0, 1, true},
		{minutes(9), 100, 0, 0, false},
		{minutes(10), 100, 0, 0, true},
		{minutes(10), 100, 0, 1, false},
		{minutes(13), 100, 0, 1, true},
		{minutes(60), 100, 0, -1, false},
		{now, 200, 101, 0, false},
		{now, 200, 102, 0, true}, // the latest snapshot does not cover what was trimmed
		{now, 100, 102, 0, false},
	} {
		var s relay.SnapshotSchedule
		s.NoteStored(now, 100)
		if got := s.IsDue(c.at, c.offset, c.first, c.rank); got != c.want {
			t.Errorf("at %v, offset %d, data centre index %d: due %v, want %v", c.at, c.offset, c.rank, got, c.want)
		}
		if s.IsDue(c.at, c.offset, c.first, c.rank) {
			t.Errorf("at %v: due again without the retry pause", c.at)
		}
	}
}
