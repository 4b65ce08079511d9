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

func (f *Folds) origin(s *follower) *relay.StateFinder {
	return &relay.StateFinder{
		Peers: func() []relay.Peer { return f.statePeers(s.stream) },
		Read: func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
			return f.Read(ctx, s.stream, from, wait, limit)
		},
		Adopt:     func(snap *record.Snapshot) bool { return f.adopt(s.stream, snap) },
		OnFailure: func(err error) { f.Event("start-waiting", "stream", s.stream, "error", err) },
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
			return unpack(stream, reply)
		}})
	}
	return out
}

func unpack(stream string, reply *peerpb.StateReply) (*record.Snapshot, error) {
	if stream == ConfigStream {
		snap := &record.Snapshot{Asof: reply.GetConfigoffset(), Config: new(record.Config)}
		return snap, proto.Unmarshal(reply.GetConfig(), snap.GetConfig())
	}
	snap := &record.Snapshot{Asof: reply.GetPlaceoffset(), Place: new(record.Place)}
	return snap, proto.Unmarshal(reply.GetPlace(), snap.GetPlace())
}

// State answers an instance that starts. Its offsets are 0 while this instance has no state itself.
func (f *Folds) State(instance string) (*peerpb.StateReply, error) {
	reply := &peerpb.StateReply{Instance: instance}
	if !f.Caught() {
		return reply, nil
	}
	config, _ := f.state(ConfigStream)
	place, _ := f.state(PlaceStream)
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

// sources lists the relays, the log itself, and then the instances that may help when this one is cut off from both.
func (f *Folds) sources(stream string) []relay.Source {
	var out []relay.Source
	for _, p := range f.Relays() {
		out = append(out, source(stream, p))
	}
	out = append(out, relay.Source{
		Name: "log", IsLog: true,
		Read: func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
			return f.Read(ctx, stream, from, wait, limit)
		},
	})
	for _, p := range f.Fallbacks() {
		out = append(out, source(stream, p))
	}
	return out
}

func source(stream string, p Peer) relay.Source {
	return relay.Source{
		Name: p.Name,
		Read: func(ctx context.Context, from uint64, wait time.Duration, limit int) (logsvc.Batch, error) {
			reply, err := p.Read(ctx, &peerpb.ReadRequest{
				Stream: stream, From: from, Wait: wait.Milliseconds(), Max: uint32(limit),
			})
			return batch(reply), err
		},
	}
}

func batch(reply *peerpb.ReadReply) logsvc.Batch {
	out := logsvc.Batch{First: reply.GetFirst(), Next: reply.GetNext()}
	for _, e := range reply.GetEntries() {
		out.Records = append(out.Records, logsvc.Record{Offset: e.GetOffset(), Data: e.GetData()})
	}
	return out
}

// Relay serves records of a stream to another instance.
func (f *Folds) Relay(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	tail := f.tailOf(req.GetStream())
	if tail == nil {
		return nil, errors.Newf("stream %q is not followed here", req.GetStream())
	}
	wait := time.Duration(req.GetWait()) * time.Millisecond
	in, err := tail.Read(ctx, req.GetFrom(), wait, int(req.GetMax()))
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ReadReply{First: in.First, Next: in.Next}
	for _, r := range in.Records {
		reply.Entries = append(reply.Entries, &peerpb.Entry{Offset: r.Offset, Data: r.Data})
	}
	return reply, nil
}
