package relay_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/relay"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// runTail starts a tail at offset 0 that delivers to n, and stops it when the test ends.
func runTail(t *testing.T, n *node, l *memLog, change func(*relay.Config)) *relay.Tail {
	t.Helper()
	seams := relay.Config{
		Sources: func() []relay.Source { return []relay.Source{newSource("log", true, l.read)} },
		Deliver: n.deliver, Now: time.Now, Seed: 1,
		AdoptState: func(context.Context, uint64) (uint64, error) { return 0, errors.New("unexpected gap") },
	}
	if change != nil {
		change(&seams)
	}
	tail := relay.New(0, seams)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); tail.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return tail
}

type readFunc = func(context.Context, uint64, time.Duration, int) (logsvc.Batch, error)

func newSource(name string, log bool, read readFunc) relay.Source {
	return relay.Source{Name: name, IsLog: log, Read: read}
}

// publishVersions publishes n versions and returns the last offset.
func publishVersions(l *memLog, base uint64, n int) uint64 {
	for range n {
		base = l.append(publish(base))
	}
	return base
}

// Guards against lost or repeated records when a relay fails while it serves, and against never returning to it.
func TestRelayFailsAndReturns(t *testing.T) {
	var l memLog
	var relayNode, reader node
	var failed atomic.Bool
	var relayReads, logReads atomic.Int64
	last := publishVersions(&l, 0, 1500)
	relayTail := runTail(t, &relayNode, &l, nil)
	runTail(t, &reader, &l, func(s *relay.Config) {
		s.Sources = func() []relay.Source {
			return []relay.Source{
				newSource("relay", false, func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
					if failed.Load() {
						return logsvc.Batch{}, errDown
					}
					relayReads.Add(1)
					return relayTail.Read(ctx, from, wait, min(limit, 100))
				}),
				newSource("log", true, func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
					logReads.Add(1)
					return l.read(ctx, from, wait, limit)
				}),
			}
		}
	})
	waitUntil(t, "reader follows the relay", reader.hasReached(last))
	failed.Store(true)
	last = publishVersions(&l, last, 500)
	waitUntil(t, "reader follows the log", reader.hasReached(last))
	if logReads.Load() == 0 {
		t.Fatal("the log was not read after the relay failed")
	}
	failed.Store(false)
	before := relayReads.Load()
	waitUntil(t, "reader returns to the relay", func() bool {
		last = publishVersions(&l, last, 1)
		return relayReads.Load() > before+3
	})
	waitUntil(t, "reader has all records", reader.hasReached(last))
	if len(reader.versions) != int(last) {
		t.Fatalf("%d versions took effect, want %d", len(reader.versions), last)
	}
}

// Guards against a stream that stalls because two relays read from each other and neither from the log.
func TestRelaysReadFromEachOther(t *testing.T) {
	var l memLog
	var na, nb node
	var a, b atomic.Pointer[relay.Tail]
	var relayed atomic.Int64
	via := func(other *atomic.Pointer[relay.Tail]) func(*relay.Config) {
		return func(s *relay.Config) {
			s.Sources = func() []relay.Source {
				return []relay.Source{
					newSource("other", false, func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
						if other.Load() == nil {
							return logsvc.Batch{}, errDown
						}
						b, err := other.Load().Read(ctx, from, wait, limit)
						if err == nil {
							relayed.Add(1)
						}
						return b, err
					}),
					newSource("log", true, l.read),
				}
			}
		}
	}
	a.Store(runTail(t, &na, &l, via(&b)))
	b.Store(runTail(t, &nb, &l, via(&a)))
	last := uint64(0)
	for range 2 {
		before := relayed.Load()
		waitUntil(t, "relays read from each other", func() bool { return relayed.Load() > before+1 })
		last = publishVersions(&l, last, 20)
		waitUntil(t, "both follow the log", func() bool { return na.hasReached(last)() && nb.hasReached(last)() })
	}
}

// Guards against contact reported before all records of the log, maybe a Seize, are delivered, and against following a
// relay that answers but gets no new records.
func TestContactNeedsDelivery(t *testing.T) {
	var l memLog
	var n node
	var released atomic.Bool
	var shift atomic.Int64
	last := publishVersions(&l, 0, 3)
	begun := time.Now()
	tail := runTail(t, &n, &l, func(s *relay.Config) {
		s.Now = func() time.Time { return time.Now().Add(time.Duration(shift.Load())) }
		s.NeedsContact = func() bool { return true }
		s.Sources = func() []relay.Source {
			stuck := func(ctx context.Context, from uint64, _ time.Duration, _ int) (logsvc.Batch, error) {
				return logsvc.Batch{First: 1, Next: from}, ctx.Err()
			}
			probe := func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
				if limit > 1 && !released.Load() {
					return logsvc.Batch{}, errDown
				}
				return l.read(ctx, from, wait, limit)
			}
			return []relay.Source{newSource("stuck", false, stuck), newSource("log", true, probe)}
		}
	})
	waitUntil(t, "log is probed", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.reads > 0 })
	shift.Store(int64(3 * time.Second))
	if c := tail.LastContact(); !c.IsZero() {
		t.Fatalf("contact at %v although no record was delivered", c)
	}
	released.Store(true)
	waitUntil(t, "tail leaves the stuck relay", n.hasReached(last))
	waitUntil(t, "contact", func() bool { return tail.LastContact().After(begun) })
}

// Guards against a relay that lost contact with the log and presents old records as the end of the stream.
func TestStaleRelayRefuses(t *testing.T) {
	var l memLog
	var n node
	var shift atomic.Int64
	last := publishVersions(&l, 0, 5000)
	tail := runTail(t, &n, &l, func(s *relay.Config) {
		s.Now = func() time.Time { return time.Now().Add(time.Duration(shift.Load())) }
	})
	waitUntil(t, "caught up", func() bool { return n.hasReached(last)() && !tail.LastContact().IsZero() })
	if b, err := tail.Read(t.Context(), 1, 0, 10); err != nil || !fold.HasGap(0, b.First) || len(b.Records) != 0 {
		t.Fatalf("read of dropped records: %v, %v", b, err)
	}
	if b, err := tail.Read(t.Context(), last-4, 0, 3); err != nil || len(b.Records) != 3 || b.Records[0].Offset != last-4 {
		t.Fatalf("read of kept records: %v, %v", b, err)
	}
	l.withLock(func() { l.down = true })
	shift.Store(int64(time.Minute))
	if _, err := tail.Read(t.Context(), last+1, 0, 10); !errors.Is(err, relay.ErrStale) {
		t.Fatalf("got %v, want ErrStale", err)
	}
	l.withLock(func() { l.down = false })
	waitUntil(t, "relay serves again", func() bool { _, err := tail.Read(t.Context(), last+1, 0, 10); return err == nil })
}

// Guards against a relay that passes on the state in snapshots, or changes other records or a snapshot's offset.
func TestRelayStripsSnapshotState(t *testing.T) {
	var l memLog
	var n node
	big := &record.Publish{Base: 0, Id: "big", Pools: make([]byte, 100<<10)}
	l.append(&record.Record{Kind: &record.Record_Publish{Publish: big}})
	last := l.append(snapshot(&record.Snapshot{Asof: 1, Config: &record.Config{Version: 1, Pools: big.Pools}}))
	var deliveredBytes atomic.Int64
	tail := runTail(t, &n, &l, func(s *relay.Config) {
		s.Deliver = func(offset uint64, data []byte) { deliveredBytes.Add(int64(len(data))); n.deliver(offset, data) }
	})
	waitUntil(t, "both records are delivered", n.hasReached(last))
	waitUntil(t, "contact with the log", func() bool { return !tail.LastContact().IsZero() })
	batch, err := tail.Read(t.Context(), 1, 0, 10)
	if err != nil || len(batch.Records) != 2 || deliveredBytes.Load() < 200<<10 {
		t.Fatalf("%d records, %d bytes delivered, %v", len(batch.Records), deliveredBytes.Load(), err)
	}
	got, snap := fold.Decode(batch.Records[0].Data), fold.Decode(batch.Records[1].Data).GetSnapshot()
	if len(got.GetPublish().GetPools()) != len(big.Pools) || snap.GetAsof() != 1 || snap.GetConfig() != nil {
		t.Errorf("publication of %d bytes, snapshot as of %d, %v", len(got.GetPublish().GetPools()), snap.GetAsof(), snap.GetConfig())
	}
}
