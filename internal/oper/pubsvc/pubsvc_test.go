package pubsvc_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/oper/opapi"
	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const routes = `{"ranks": [{"name": "r", "share": 1, "target": "1s"}],
  "routes": [{"name": "a", "path": "/a", "pool": "p", "rank": "r", "timeout": "%ds", "key": {"query": "k"}}]}`

const pools = `{"regions": [{"name": "e", "dcs": ["e1"]}], "pools": [{"name": "p", "keyed": true, "slots": 8, "servers": [
  {"name": "s1", "address": "127.0.0.1:1", "dc": "e1", "slots": 3, "connections": 9},
  {"name": "s2", "address": "127.0.0.1:2", "dc": "e1", "slots": 3, "connections": 9}]}]}`

func request(seconds int) pubsvc.PublishRequest {
	return pubsvc.PublishRequest{Routes: fmt.Appendf(nil, routes, seconds), Pools: []byte(pools)}
}

var errLost = errors.New("answer lost")

// journal is an in-memory log of one stream. Its hooks run before and after an append.
type journal struct {
	first   uint64
	records []logsvc.Record
	before  func() error
	after   func() error
	pauses  int
}

func (j *journal) add(rec *record.Record) {
	data, _ := proto.Marshal(rec)
	j.records = append(j.records, logsvc.Record{Offset: j.next(), Data: data})
}

func (j *journal) next() uint64 { return j.first + uint64(len(j.records)) }

func (j *journal) service() *pubsvc.Service {
	return &pubsvc.Service{
		Append: func(_ context.Context, _ string, data []byte) (uint64, error) {
			if err := call(j.before); err != nil {
				return 0, err
			}
			j.records = append(j.records, logsvc.Record{Offset: j.next(), Data: data})
			return j.next() - 1, call(j.after)
		},
		Read: func(_ context.Context, _ string, from uint64, _ time.Duration, _ int) (logsvc.Batch, error) {
			b := logsvc.Batch{First: j.first, Next: j.next()}
			for _, r := range j.records {
				// Two records per batch, so that reading takes several.
				if r.Offset >= from && len(b.Records) < 2 {
					b.Records = append(b.Records, r)
				}
			}
			return b, nil
		},
		Pause: func(context.Context, time.Duration) error {
			if j.pauses++; j.pauses > 20 {
				return context.DeadlineExceeded
			}
			return nil
		},
	}
}

func call(f func() error) error {
	if f == nil {
		return nil
	}
	return f()
}

func publish(base uint64, id string, seconds int) *record.Record {
	r := request(seconds)
	return &record.Record{Kind: &record.Record_Publish{Publish: &record.Publish{Base: base, Id: id, Routes: r.Routes, Pools: r.Pools}}}
}

func TestPublishTwice(t *testing.T) {
	j := &journal{first: 1}
	first, err := j.service().Publish(t.Context(), request(1))
	if err != nil || first.Version != 1 || first.AlreadyInForce {
		t.Fatal(first, err)
	}
	again, err := j.service().Publish(t.Context(), request(1))
	if err != nil || again.Version != 1 || !again.AlreadyInForce || len(j.records) != 1 {
		t.Error(again, err)
	}
	based := request(1)
	based.HasBase = true
	if again, err = j.service().Publish(t.Context(), based); err != nil || again.Version != 1 {
		t.Error(again, err)
	}
}

// TestOutcomes checks that Publish reports exactly what the fold decided when rival publications win, appends fail
// before or after they take effect, and answers are lost.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &journal{first: 1}
		rivals := 0
		j.before = func() error {
			if rapid.IntRange(0, 3).Draw(t, "rival") == 0 && rivals < 5 {
				rivals++
				var c fold.Config
				for _, r := range j.records {
					c.Apply(r.Offset, fold.Decode(r.Data), nil)
				}
				j.add(publish(c.Version, fmt.Sprint("rival", rivals), 100+rivals))
			}
			return rapid.SampledFrom([]error{nil, nil, errLost, &logsvc.StatusError{Status: 503}}).Draw(t, "before")
		}
		j.after = func() error { return rapid.SampledFrom([]error{nil, errLost}).Draw(t, "after") }
		for i := range rapid.IntRange(1, 4).Draw(t, "publications") {
			got, err := j.service().Publish(context.Background(), request(i+1))
			var c fold.Config
			accepted := 0
			for _, r := range j.records {
				ours := strings.Contains(string(r.Data), fmt.Sprintf(`"timeout": "%ds"`, i+1))
				if c.Apply(r.Offset, fold.Decode(r.Data), nil) == fold.Applied && ours {
					accepted++
				}
			}
			conflict := new(pubsvc.ConflictError)
			switch {
			case err == nil && (accepted != 1 || c.Version != got.Version):
				t.Fatalf("reported version %d, accepted %d times, in force %d", got.Version, accepted, c.Version)
			case errors.As(err, &conflict) && (accepted != 0 || conflict.CurrentVersion != c.Version):
				t.Fatalf("reported %v, accepted %d times, in force %d", err, accepted, c.Version)
			}
		}
	})
}

func TestUnreachable(t *testing.T) {
	for _, c := range []struct {
		failure error
		unknown bool
	}{{errLost, true}, {&logsvc.StatusError{Status: 503}, false}} {
		j := &journal{first: 1, before: func() error { return c.failure }}
		_, err := j.service().Publish(t.Context(), request(1))
		if platform := new(pubsvc.PlatformError); !errors.As(err, &platform) || platform.OutcomeUnknown != c.unknown {
			t.Errorf("%v reported as %v", c.failure, err)
		}
	}
}

// TestTrimmed guards against a fold that skips trimmed records without a snapshot of them.
func TestTrimmed(t *testing.T) {
	j := &journal{first: 40}
	j.add(&record.Record{})
	if _, err := j.service().CurrentConfig(t.Context()); err == nil {
		t.Error("a trimmed stream without a snapshot was read as if it were complete")
	}
	r := request(7)
	snapshot := func(asof uint64) *record.Record {
		return &record.Record{Kind: &record.Record_Snapshot{Snapshot: &record.Snapshot{
			Asof: asof, Config: &record.Config{Version: 12, Id: "x", Routes: r.Routes, Pools: r.Pools},
		}}}
	}
	j.add(snapshot(38))
	if _, err := j.service().CurrentConfig(t.Context()); err == nil {
		t.Error("a snapshot that does not cover the trimmed records was used")
	}
	j.add(snapshot(39))
	for range 100 {
		j.add(&record.Record{})
	}
	j.add(publish(12, "y", 8))
	for range 100 {
		j.add(&record.Record{})
	}
	c, err := j.service().CurrentConfig(t.Context())
	if err != nil || c.Version != 143 || c.Offset() != 243 {
		t.Fatalf("read version %d up to %d: %v", c.Version, c.Offset(), err)
	}
	// The newest snapshot is taken, but none that claims to cover records after itself.
	j.add(snapshot(200))
	j.add(snapshot(1000))
	reads, s := 0, j.service()
	read := s.Read
	s.Read = func(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
		reads++
		return read(ctx, stream, from, wait, limit)
	}
	if c, err = s.CurrentConfig(t.Context()); err != nil || c.Version != 12 || c.Offset() != 245 || reads > 40 {
		t.Fatalf("read version %d up to %d in %d reads: %v", c.Version, c.Offset(), reads, err)
	}
	if p, err := j.service().PublicationAt(t.Context(), 12); err != nil || p.ID != "x" {
		t.Error(p.ID, err)
	}
	if _, err := j.service().PublicationAt(t.Context(), 13); err == nil {
		t.Error("a version that was never published was found")
	}
}

// TestResized guards against accepting a resized pool, which instances could not place.
func TestResized(t *testing.T) {
	j := &journal{first: 1}
	if _, err := j.service().Publish(t.Context(), request(1)); err != nil {
		t.Fatal(err)
	}
	req := request(1)
	req.Pools = []byte(strings.Replace(pools, `"slots": 8`, `"slots": 16`, 1))
	if _, err := j.service().Publish(t.Context(), req); !errors.As(err, new(*pubsvc.FaultsError)) {
		t.Error(err)
	}
}

func TestConfirm(t *testing.T) {
	j := &journal{first: 1}
	s, rounds := j.service(), 0
	peer := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.IPv6Loopback(), port) }
	s.List = func(context.Context) (roster.List, error) {
		rounds++
		return roster.List{Instances: []roster.Instance{
			{Name: "b", Peer: peer(2)}, {Name: "a", Peer: peer(1)}, {Name: "gone", Peer: peer(3), Leaving: true},
		}}, nil
	}
	s.Status = func(_ context.Context, addr netip.AddrPort) (opapi.Status, error) {
		switch {
		case addr.Port() == 3:
			return opapi.Status{}, errLost
		case addr.Port() == 2 && rounds < 4:
			return opapi.Status{ConfigVersion: 6}, nil
		}
		return opapi.Status{ConfigVersion: 7}, nil
	}
	if n, behind, err := s.Confirm(t.Context(), 7); n != 3 || len(behind) > 0 || err != nil || rounds != 4 {
		t.Error(n, behind, err, rounds)
	}
	if n, behind, err := s.Confirm(t.Context(), 8); n != 1 || len(behind) != 2 || behind[0].Instance != "a" || err != nil {
		t.Error(n, behind, err)
	}
}

func TestDiff(t *testing.T) {
	old, _ := tables.Parse(request(1).Routes, request(1).Pools)
	next, _ := tables.Parse(request(2).Routes, []byte(strings.Replace(pools, `"s2"`, `"s3"`, 1)))
	got := fmt.Sprint(pubsvc.Diff(old, next))
	if want := "[changed route a: timeout 1s -> 2s added server s3 removed server s2]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	var now fold.Placement
	now.Restore(1, &record.Place{Pools: []*record.Pool{{Name: "p", Runs: []*record.Run{
		{First: 0, Last: 4, Dc: "e1", Owner: "s1"}, {First: 5, Last: 6, Dc: "e1", Owner: "s2"}, {First: 7, Last: 7},
	}}}})
	if m := pubsvc.EstimateMoves(next, &now)[0]; m != (pubsvc.PoolMoves{Pool: "p", Slots: 8, LostServer: 2, Rebalanced: 2, Unowned: 1}) {
		t.Errorf("%+v", m)
	}
}
