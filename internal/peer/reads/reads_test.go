package reads_test

import (
	"context"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/peer/reads"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

// Guards against a read that the store never answers and that takes so long that, together with the next read and the
// push to the members, new tables are not in force within 2.5 s.
func TestSilentStore(t *testing.T) {
	streams := new(mirror.Streams)
	streams.Apply(keyed.Config, keyed.Batch{End: 1}, true)
	r := &reads.Reader{Streams: streams, Now: time.Now, Log: keyed.Log{
		Read: func(ctx context.Context, _ keyed.Topic, _ uint64, _ time.Duration) (keyed.Batch, error) {
			<-ctx.Done()
			return keyed.Batch{}, ctx.Err()
		},
	}}
	begun := time.Now()
	r.AwaitTables(context.Background())
	if took := time.Since(begun); took > 2400*time.Millisecond {
		t.Errorf("an unanswered read took %v", took)
	}
}

// Guards against lost records when the store no longer retains those after the last read, and against servers that stay
// known although the snapshot no longer lists them.
func TestTrimmed(t *testing.T) {
	streams := new(mirror.Streams)
	streams.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{{Key: "old", Offset: 1, Value: []byte("x")}}, End: 2}, true)
	r := &reads.Reader{Streams: streams, Now: time.Now, Log: keyed.Log{
		Read: func(context.Context, keyed.Topic, uint64, time.Duration) (keyed.Batch, error) {
			return keyed.Batch{}, &keyed.TrimmedError{First: 9}
		},
		Newest: func(context.Context, keyed.Topic) (keyed.Batch, error) {
			return keyed.Batch{Entries: []keyed.Entry{{Key: "new", Offset: 9, Value: []byte("y")}}, End: 12}, nil
		},
	}}
	if !r.ReadServers(context.Background()) {
		t.Fatal("the read failed")
	}
	if len(streams.Get(keyed.Servers, "old").Value) != 0 || len(streams.Get(keyed.Servers, "new").Value) != 1 {
		t.Errorf("old %q, new %q", streams.Get(keyed.Servers, "old").Value, streams.Get(keyed.Servers, "new").Value)
	}
}

// Guards against a new leader that drops all servers: after a restoration it knows the end of the stream from pushes, and the servers have
// written nothing since.
func TestRestoredBeforeLeading(t *testing.T) {
	streams := &mirror.Streams{IsStale: func(_ keyed.Topic, _ string, known, value []byte) bool { return string(value) == string(known) }}
	lives, lost := keyed.Entry{Key: "lives", Offset: 4, Value: []byte("x")}, keyed.Entry{Key: "lost", Offset: 9, Value: []byte("x")}
	streams.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{lives, lost}, End: 10}, true)
	end := keyed.Position(1, 8)
	streams.Apply(keyed.Servers, keyed.Batch{End: end}, false)
	now := time.Unix(1000, 0)
	r := &reads.Reader{Streams: streams, Now: func() time.Time { return now }, Log: keyed.Log{
		Read: func(context.Context, keyed.Topic, uint64, time.Duration) (keyed.Batch, error) {
			return keyed.Batch{End: end}, nil
		},
		Newest: func(context.Context, keyed.Topic) (keyed.Batch, error) {
			return keyed.Batch{Entries: []keyed.Entry{{Key: "lives", Offset: keyed.Position(1, 4), Value: []byte("x")}}, End: end}, nil
		},
	}}
	for range 8 {
		r.ReadServers(context.Background())
		now = now.Add(500 * time.Millisecond)
	}
	if len(streams.Get(keyed.Servers, "lives").Value) == 0 {
		t.Error("a server of the restored store is dropped")
	}
	if len(streams.Get(keyed.Servers, "lost").Value) > 0 {
		t.Error("a server that the restored store lacks is kept")
	}
}

// Guards against a server that stays known although it left while all servers were read: the records after the known end are still to
// be read.
func TestRestoredLeftMeanwhile(t *testing.T) {
	streams := &mirror.Streams{IsStale: func(_ keyed.Topic, _ string, known, value []byte) bool { return string(value) == string(known) }}
	streams.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{{Key: "leaves", Offset: 4, Value: []byte("x")}, {Key: "lives", Offset: 5, Value: []byte("x")}}, End: 10}, true)
	end := keyed.Position(1, 8)
	streams.Apply(keyed.Servers, keyed.Batch{End: end}, false)
	now, left := time.Unix(1000, 0), false
	r := &reads.Reader{Streams: streams, Now: func() time.Time { return now }, Log: keyed.Log{
		Read: func(_ context.Context, _ keyed.Topic, from uint64, _ time.Duration) (keyed.Batch, error) {
			if left && from == end {
				return keyed.Batch{Entries: []keyed.Entry{{Key: "leaves", Offset: end}, {Key: "lives", Offset: end + 1}}, End: end + 2}, nil
			}
			return keyed.Batch{End: from}, nil
		},
		Newest: func(context.Context, keyed.Topic) (keyed.Batch, error) {
			left = true
			return keyed.Batch{Entries: []keyed.Entry{{Key: "lives", Offset: keyed.Position(1, 5), Value: []byte("x")}}, End: end + 2}, nil
		},
	}}
	for range 8 {
		r.ReadServers(context.Background())
		now = now.Add(500 * time.Millisecond)
	}
	for _, key := range []string{"leaves", "lives"} {
		if len(streams.Get(keyed.Servers, key).Value) > 0 {
			t.Errorf("the server %q, which has left, is known", key)
		}
	}
}

// Guards against tables that a restored store gets and that the leader reads late: it waits for records after an offset of before, which
// the store has not given out again yet.
func TestRestoredTablesAwaited(t *testing.T) {
	streams := new(mirror.Streams)
	for _, topic := range []keyed.Topic{keyed.Config, keyed.Place} {
		streams.Apply(topic, keyed.Batch{End: 2}, true)
	}
	r := &reads.Reader{Streams: streams, Now: time.Now, Log: keyed.Log{
		Read: func(ctx context.Context, _ keyed.Topic, _ uint64, wait time.Duration) (keyed.Batch, error) {
			select {
			case <-ctx.Done():
				return keyed.Batch{}, ctx.Err()
			case <-time.After(wait):
			}
			return keyed.Batch{}, &keyed.TrimmedError{First: keyed.Position(1, 0)}
		},
		Newest: func(_ context.Context, topic keyed.Topic) (keyed.Batch, error) {
			return keyed.Batch{Entries: []keyed.Entry{{Key: topic.String(), Offset: keyed.Position(1, 1), Value: []byte("new")}}, End: keyed.Position(1, 2)}, nil
		},
	}}
	r.Read(context.Background(), keyed.Place, 0)
	begun := time.Now()
	r.AwaitTables(context.Background())
	if took := time.Since(begun); took > 200*time.Millisecond || len(streams.Get(keyed.Config, "config").Value) == 0 {
		t.Errorf("tables %q after %v", streams.Get(keyed.Config, "config").Value, took)
	}
}

// Guards against a leader that reads all heartbeats over the link between regions, which is narrow and billed by volume,
// although others are in the store's region.
func TestStoreIsFar(t *testing.T) {
	var latency time.Duration
	now := time.Unix(1000, 0)
	r := &reads.Reader{Streams: new(mirror.Streams), Now: func() time.Time { return now }, Log: keyed.Log{
		Newest: func(context.Context, keyed.Topic) (keyed.Batch, error) {
			now = now.Add(latency)
			return keyed.Batch{}, nil
		},
		Read: func(_ context.Context, _ keyed.Topic, _ uint64, wait time.Duration) (keyed.Batch, error) {
			now = now.Add(latency + wait)
			return keyed.Batch{}, nil
		},
	}}
	if r.StoreIsFar() {
		t.Error("a store that was never read counts as far")
	}
	latency = 45 * time.Millisecond
	r.Read(context.Background(), keyed.Config, 0)
	if !r.StoreIsFar() {
		t.Error("a store with a latency of 45 ms counts as near")
	}
	latency = 200 * time.Millisecond
	r.AwaitTables(context.Background())
	latency = 6 * time.Millisecond
	r.Read(context.Background(), keyed.Config, 0)
	latency = 300 * time.Millisecond
	r.Read(context.Background(), keyed.Config, 0)
	if r.StoreIsFar() {
		t.Error("a near store that is slow for a while counts as far")
	}
}
