package relay_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

var errDown = errors.New("down")

// memLog is an in-memory log that can be trimmed and made to fail.
type memLog struct {
	mu      sync.Mutex
	recs    []logsvc.Record
	trimmed int
	down    bool
	reads   int
}

func (l *memLog) append(rec *record.Record) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, _ := proto.Marshal(rec)
	offset := uint64(l.trimmed+len(l.recs)) + 1
	l.recs = append(l.recs, logsvc.Record{Offset: offset, Data: data})
	return offset
}

func (l *memLog) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *memLog) trim(n int) { l.recs, l.trimmed = l.recs[n:], l.trimmed+n }

func (l *memLog) readNow(from uint64, limit int) (logsvc.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return logsvc.Batch{}, errDown
	}
	out := logsvc.Batch{First: uint64(l.trimmed) + 1, Next: uint64(l.trimmed+len(l.recs)) + 1}
	for _, r := range l.recs {
		if r.Offset >= from && len(out.Records) < limit {
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}

func (l *memLog) read(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		b, err := l.readNow(from, limit)
		if err != nil || len(b.Records) > 0 || from < b.First || ctx.Err() != nil || time.Now().After(end) {
			return b, err
		}
	}
}

// node stands for an instance: a fold of the config stream that is fed by a tail.
type node struct {
	mu       sync.Mutex
	cfg      fold.Config
	versions []uint64 // in the order in which they took effect
}

func (n *node) deliver(offset uint64, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Apply(offset, fold.Decode(data), nil)
	n.noteVersion()
}

func (n *node) noteVersion() {
	if k := len(n.versions); k == 0 || n.versions[k-1] != n.cfg.Version {
		n.versions = append(n.versions, n.cfg.Version)
	}
}

func (n *node) adopt(s *record.Snapshot) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	ok := n.cfg.Restore(s.GetAsof(), s.GetConfig())
	n.noteVersion()
	return ok
}

func (n *node) state() *record.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return &record.Snapshot{Asof: n.cfg.Offset(), Config: n.cfg.State()}
}

func (n *node) hasReached(offset uint64) func() bool {
	return func() bool { return n.state().GetAsof() >= offset }
}

func publish(base uint64) *record.Record {
	return &record.Record{Kind: &record.Record_Publish{Publish: &record.Publish{Base: base, Id: time.Unix(int64(base), 0).String()}}}
}

func snapshot(s *record.Snapshot) *record.Record {
	return &record.Record{Kind: &record.Record_Snapshot{Snapshot: s}}
}

func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
