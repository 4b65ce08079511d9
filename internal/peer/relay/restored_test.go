package relay_test

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/peer/relay"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
)

// copyAge is how old the copy is from which the log is restored.
const copyAge = 500 * time.Millisecond

// follower is an instance that reads the log through a client of its own, unless it is cut off.
type follower struct {
	node
	*logsvc.Client
	cut      atomic.Bool
	reads    atomic.Int32 // under way
	diverged atomic.Uint64
}

func startLog(t *testing.T) *logsrv.Server {
	t.Helper()
	s := logsrv.New(logsrv.Settings{Rate: 1000, Queue: time.Second})
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	if err := s.Listen(loopback, loopback, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func follow(t *testing.T, s *logsrv.Server) *follower {
	f := &follower{Client: logsvc.New(s.Address())}
	runTail(t, &f.node, nil, func(c *relay.Config) {
		c.Sources = func() []relay.Source {
			return []relay.Source{newSource("log", true, func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
				if f.cut.Load() {
					return logsvc.Batch{}, errDown
				}
				f.reads.Add(1)
				defer f.reads.Add(-1)
				return f.Read(ctx, "config", from, wait, limit)
			})}
		}
		c.AppendAgain = func(ctx context.Context, offset uint64, records [][]byte) error {
			return f.Client.AppendAgain(ctx, "config", offset, records)
		}
		c.BeginEra = func(ctx context.Context, number uint64) error { return f.BeginEra(ctx, "config", number) }
		c.OnDiverged, c.OnEra = f.diverged.Store, func(number uint64) { f.NoteEntered("config", number) }
	})
	return f
}

// publish appends a version based on base, again until the log takes it, and returns its offset.
func (f *follower) publish(t *testing.T, base uint64) uint64 {
	t.Helper()
	data, err := proto.Marshal(publish(base))
	for end := time.Now().Add(20 * time.Second); err == nil && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if offset, err := f.Append(t.Context(), "config", data); err == nil {
			return offset
		}
	}
	t.Fatalf("the log takes no publication: %v", err)
	return 0
}

func (f *follower) version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Version
}

// publishLost publishes three versions, of which a copy of copyAge has one. All followers have read them.
func publishLost(t *testing.T, fs ...*follower) (last uint64) {
	t.Helper()
	first := fs[0].publish(t, 0)
	time.Sleep(2 * copyAge)
	last = fs[0].publish(t, fs[0].publish(t, first))
	for _, f := range fs {
		waitUntil(t, "the log is read", f.hasReached(last))
	}
	return last
}

// Guards against configurations that are not in force, or come back older, because the log was restored from an older copy and
// gives offsets out again.
func TestLogRestored(t *testing.T) {
	const applyTime = 2500 * time.Millisecond
	s := startLog(t)
	fs := []*follower{follow(t, s), follow(t, s)}
	last := publishLost(t, fs...)
	s.Restore(time.Now(), copyAge)
	fs = append(fs, follow(t, s)) // knows only what the copy holds
	fs[2].publish(t, last)
	acked := time.Now()
	waitUntil(t, "the new version is in force", func() bool {
		return !slices.ContainsFunc(fs, func(f *follower) bool { return f.version() <= last })
	})
	if took := time.Since(acked); took > applyTime {
		t.Errorf("the version is in force %v after the log took it, want %v", took, applyTime)
	}
	for _, f := range fs {
		if f.version() != fs[0].version() || !slices.IsSorted(f.versions) || len(f.versions) != 4 {
			t.Errorf("versions %v in force in turn, want four, that of %d last", f.versions, fs[0].version())
		}
		if f.diverged.Load() > 0 {
			t.Error("an instance takes the log for another one, though nothing is lost")
		}
	}
}

// Guards against a stream that nobody can begin to read: the log lost the snapshot that covers the trimmed records, and gets it back
// without its state.
func TestSnapshotLost(t *testing.T) {
	const trimmed = 500
	var s relay.SnapshotSchedule
	now := time.Now()
	s.NoteStored(now, 2*trimmed)
	if s.IsDue(now, 3*trimmed, trimmed, 0) {
		t.Fatal("a snapshot is due though one covers the trimmed records")
	}
	s.ForgetStored()
	if !s.IsDue(now, 3*trimmed, trimmed, 0) {
		t.Error("no snapshot is due, though the log may have lost the one that covers the trimmed records")
	}
}

// Guards against an instance that goes on by records which the others have lost, as it was cut off while the log recovered.
func TestLogRestoredDuringCut(t *testing.T) {
	s := startLog(t)
	f := follow(t, s)
	first := f.publish(t, 0)
	time.Sleep(8 * copyAge) // a read under way may last 1.5 s
	last := f.publish(t, first)
	waitUntil(t, "the log is read", f.hasReached(last))
	f.cut.Store(true)
	waitUntil(t, "the read under way has ended", func() bool { return f.reads.Load() == 0 })
	s.Restore(time.Now(), 6*copyAge)
	follow(t, s).publish(t, first)
	f.cut.Store(false)
	waitUntil(t, "the instance finds the difference", func() bool { return f.diverged.Load() > 0 })
	if f.version() != last {
		t.Errorf("version %d in force, want %d as before", f.version(), last)
	}
}
