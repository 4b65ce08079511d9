package folds

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/peer/relay"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

func (f *Folds) stateFinder(s *followedStream) *relay.StateFinder {
	return &relay.StateFinder{
		Peers: func() []relay.Peer { return f.statePeers(s.name) },
		Read: func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
			return f.Read(ctx, s.name, from, wait, limit)
		},
		Adopt:     func(snap *record.Snapshot) bool { return f.adoptSnapshot(s.name, snap) },
		OnFailure: func(err error) { f.LogEvent("start-waiting", "stream", s.name, "error", err) },
	}
}

func (f *Folds) statePeers(stream string) []relay.Peer {
	var out []relay.Peer
	for _, p := range f.Peers() {
		out = append(out, relay.Peer{Name: p.Name, State: func(ctx context.Context) (*record.Snapshot, error) {
			reply, err := p.State(ctx)
			if err != nil {
				return nil, err
			}
			return snapshotOf(stream, reply)
		}})
	}
	return out
}

func snapshotOf(stream string, reply *peerpb.StateReply) (*record.Snapshot, error) {
	if stream == ConfigStream {
		snap := &record.Snapshot{Asof: reply.GetConfigoffset(), Config: new(record.Config)}
		return snap, proto.Unmarshal(reply.GetConfig(), snap.GetConfig())
	}
	snap := &record.Snapshot{Asof: reply.GetPlaceoffset(), Place: new(record.Place)}
	return snap, proto.Unmarshal(reply.GetPlace(), snap.GetPlace())
}

// ServeState returns the state of both folds to another instance; instance is the own id. Without a state here, the
// offsets are 0.
func (f *Folds) ServeState(instance string) (*peerpb.StateReply, error) {
	reply := &peerpb.StateReply{Instance: instance}
	if !f.HasState() {
		return reply, nil
	}
	config, _ := f.newSnapshot(ConfigStream)
	place, _ := f.newSnapshot(PlaceStream)
	var err error
	if reply.Config, err = proto.Marshal(config.GetConfig()); err != nil {
		return nil, err
	}
	if reply.Place, err = proto.Marshal(place.GetPlace()); err != nil {
		return nil, err
	}
	reply.Configoffset, reply.Placeoffset = config.GetAsof(), place.GetAsof()
	return reply, nil
}

// streamSources returns the relays, then the log itself, then the fallbacks.
func (f *Folds) streamSources(stream string) []relay.Source {
	var out []relay.Source
	for _, p := range f.Relays() {
		out = append(out, peerSource(stream, p))
	}
	out = append(out, relay.Source{
		Name: "log", IsLog: true,
		Read: func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
			return f.Read(ctx, stream, from, wait, limit)
		},
	})
	for _, p := range f.Fallbacks() {
		out = append(out, peerSource(stream, p))
	}
	return out
}

func peerSource(stream string, p Peer) relay.Source {
	return relay.Source{
		Name: p.Name,
		Read: func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
			reply, err := p.Read(ctx, &peerpb.ReadRequest{
				Stream: stream, From: from, Wait: wait.Milliseconds(), Max: uint32(limit),
			})
			return batchOf(reply), err
		},
	}
}

func batchOf(reply *peerpb.ReadReply) logsvc.Batch {
	out := logsvc.Batch{First: reply.GetFirst(), Next: reply.GetNext()}
	for _, e := range reply.GetEntries() {
		out.Records = append(out.Records, logsvc.Record{Offset: e.GetOffset(), Data: e.GetData()})
	}
	return out
}

// ServeRead returns records of a stream to another instance.
func (f *Folds) ServeRead(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	tail := f.tailOf(req.GetStream())
	if tail == nil {
		return nil, errors.Newf("stream %q is not followed by this instance", req.GetStream())
	}
	wait := time.Duration(req.GetWait()) * time.Millisecond
	batch, err := tail.Read(ctx, req.GetFrom(), wait, int(req.GetMax()))
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ReadReply{First: batch.First, Next: batch.Next}
	for _, r := range batch.Records {
		reply.Entries = append(reply.Entries, &peerpb.Entry{Offset: r.Offset, Data: r.Data})
	}
	return reply, nil
}
