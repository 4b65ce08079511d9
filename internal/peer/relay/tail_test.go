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

// run starts a tail from offset 0 that feeds n, and stops it at the end of the test.
func run(t *testing.T, n *node, l *memLog, change func(*relay.Seams)) *relay.Tail {
	t.Helper()
	seams := relay.Seams{
		Sources: func() []relay.Source { return []relay.Source{source("log", true, l.read)} },
		Deliver: n.deliver, Now: time.Now, Seed: 1,
		Gap: func(context.Context, uint64) (uint64, error) { return 0, errors.New("unexpected gap") },
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

func source(name string, log bool, read readFunc) relay.Source {
	return relay.Source{Name: name, Log: log, Read: read}
}

// extend publishes n versions and returns the last offset.
func extend(l *memLog, base uint64, n int) uint64 {
	for range n {
		base = l.append(publish(base))
	}
	return base
}

// Guards against lost or repeated records when a relay dies while it serves, and against never returning to it.
func TestRelayDiesAndReturns(t *testing.T) {
	var l memLog
	var near, far node
	var dead atomic.Bool
	var served, direct atomic.Int64
	last := extend(&l, 0, 1500)
	a := run(t, &near, &l, nil)
	run(t, &far, &l, func(s *relay.Seams) {
		s.Sources = func() []relay.Source {
			return []relay.Source{
				source("relay", false, func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
					if dead.Load() {
						return logsvc.Batch{}, errDown
					}
					served.Add(1)
					return a.Read(ctx, from, wait, min(limit, 100))
				}),
				source("log", true, func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
					direct.Add(1)
					return l.read(ctx, from, wait, limit)
				}),
			}
		}
	})
	until(t, "reader follows", far.at(last))
	dead.Store(true)
	last = extend(&l, last, 500)
	until(t, "reader follows the log", far.at(last))
	if direct.Load() == 0 {
		t.Fatal("the log was not read after the relay died")
	}
	dead.Store(false)
	before := served.Load()
	until(t, "reader returns to the relay", func() bool {
		last = extend(&l, last, 1)
		return served.Load() > before+3
	})
	until(t, "reader has all records", far.at(last))
	if len(far.versions) != int(last) {
		t.Fatalf("%d versions came into force, want %d", len(far.versions), last)
	}
}

// Guards against a stream that stands still because two relays take each other for the way to the log.
func TestRelaysThatFollowEachOther(t *testing.T) {
	var l memLog
	var na, nb node
	var a, b atomic.Pointer[relay.Tail]
	var relayed atomic.Int64
	via := func(other *atomic.Pointer[relay.Tail]) func(*relay.Seams) {
		return func(s *relay.Seams) {
			s.Sources = func() []relay.Source {
				return []relay.Source{
					source("other", false, func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
						if other.Load() == nil {
							return logsvc.Batch{}, errDown
						}
						b, err := other.Load().Read(ctx, from, wait, limit)
						if err == nil {
							relayed.Add(1)
						}
						return b, err
					}),
					source("log", true, l.read),
				}
			}
		}
	}
	a.Store(run(t, &na, &l, via(&b)))
	b.Store(run(t, &nb, &l, via(&a)))
	last := uint64(0)
	for range 2 {
		before := relayed.Load()
		until(t, "relays follow each other", func() bool { return relayed.Load() > before+1 })
		last = extend(&l, last, 20)
		until(t, "both follow the log", func() bool { return na.at(last)() && nb.at(last)() })
	}
}

// Guards against contact that is claimed although a record known to the log, maybe a Seize, has not been folded, and
// against a relay that answers but has stopped following.
func TestContactNeedsDelivery(t *testing.T) {
	var l memLog
	var n node
	var released atomic.Bool
	var shift atomic.Int64
	last := extend(&l, 0, 3)
	begun := time.Now()
	tail := run(t, &n, &l, func(s *relay.Seams) {
		s.Now = func() time.Time { return time.Now().Add(time.Duration(shift.Load())) }
		s.Yields = func() bool { return true }
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
			return []relay.Source{source("stuck", false, stuck), source("log", true, probe)}
		}
	})
	until(t, "log is probed", func() bool { l.mu.Lock(); defer l.mu.Unlock(); return l.reads > 0 })
	shift.Store(int64(3 * time.Second))
	if c := tail.Contact(); !c.IsZero() {
		t.Fatalf("contact at %v although no record was delivered", c)
	}
	released.Store(true)
	until(t, "tail leaves the stuck relay", n.at(last))
	until(t, "contact", func() bool { return tail.Contact().After(begun) })
}

// Guards against serving old records as the end of the stream after contact with the log was lost.
func TestStaleRelayRefuses(t *testing.T) {
	var l memLog
	var n node
	var shift atomic.Int64
	last := extend(&l, 0, 5000)
	tail := run(t, &n, &l, func(s *relay.Seams) {
		s.Now = func() time.Time { return time.Now().Add(time.Duration(shift.Load())) }
	})
	until(t, "caught up", func() bool { return n.at(last)() && !tail.Contact().IsZero() })
	if b, err := tail.Read(t.Context(), 1, 0, 10); err != nil || !fold.HasGap(0, b.First) || len(b.Records) != 0 {
		t.Fatalf("read of dropped records: %v, %v", b, err)
	}
	if b, err := tail.Read(t.Context(), last-4, 0, 3); err != nil || len(b.Records) != 3 || b.Records[0].Offset != last-4 {
		t.Fatalf("read of kept records: %v, %v", b, err)
	}
	l.set(func() { l.down = true })
	shift.Store(int64(time.Minute))
	if _, err := tail.Read(t.Context(), last+1, 0, 10); !errors.Is(err, relay.ErrStale) {
		t.Fatalf("got %v, want ErrStale", err)
	}
	l.set(func() { l.down = false })
	until(t, "relay serves again", func() bool { _, err := tail.Read(t.Context(), last+1, 0, 10); return err == nil })
}

// Guards against a relay that passes the state of snapshots on, which no reader of it needs, or that changes other
// records or the offset that a snapshot covers.
func TestSnapshotsPassedOnWithoutState(t *testing.T) {
	var l memLog
	var n node
	big := &record.Publish{Base: 0, Id: "big", Pools: make([]byte, 100<<10)}
	l.append(&record.Record{Kind: &record.Record_Publish{Publish: big}})
	last := l.append(snapshot(&record.Snapshot{Asof: 1, Config: &record.Config{Version: 1, Pools: big.Pools}}))
	var whole atomic.Int64
	tail := run(t, &n, &l, func(s *relay.Seams) {
		s.Deliver = func(offset uint64, data []byte) { whole.Add(int64(len(data))); n.deliver(offset, data) }
	})
	until(t, "both records", n.at(last))
	until(t, "contact with the log", func() bool { return !tail.Contact().IsZero() })
	batch, err := tail.Read(t.Context(), 1, 0, 10)
	if err != nil || len(batch.Records) != 2 || whole.Load() < 200<<10 {
		t.Fatalf("%d records, %d bytes delivered, %v", len(batch.Records), whole.Load(), err)
	}
	got, snap := fold.Decode(batch.Records[0].Data), fold.Decode(batch.Records[1].Data).GetSnapshot()
	if len(got.GetPublish().GetPools()) != len(big.Pools) || snap.GetAsof() != 1 || snap.GetConfig() != nil {
		t.Errorf("publication of %d bytes, snapshot as of %d, %v", len(got.GetPublish().GetPools()), snap.GetAsof(), snap.GetConfig())
	}
}
