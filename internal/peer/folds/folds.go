// Package folds keeps an instance's folds of the config and place streams current, and serves state and records to
// other instances.
package folds

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/peer/relay"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Names of the streams with lasting state.
const (
	ConfigStream = "config"
	PlaceStream  = "place"
	// LedgerStream has no lasting state: its records matter for the window of a route, which is shorter than retention.
	LedgerStream = "ledger"
)

// Seams are what Folds needs of its owner. Functions are called by several goroutines.
type Seams struct {
	Read   func(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (logsvc.Batch, error)
	Append func(ctx context.Context, stream string, data []byte) (uint64, error)
	// Peers returns the instances to ask for their state.
	Peers func() []Peer
	// Relays returns the instances to read streams from, in order of preference.
	Relays func() []Peer
	// Fallbacks returns the instances to read from while neither a relay nor the log itself answers.
	Fallbacks func() []Peer
	// Yields reports whether contact with the log itself is needed, see relay.Seams.
	Yields func() bool
	// Writes reports whether this instance writes snapshots, and the index of its data centre among those with a term.
	Writes func() bool
	DC     string
	Seed   uint64
	// Tables is called with each version that comes into force.
	Tables func(version uint64, t *tables.Tables)
	// Ledger is called with each record of the ledger, in order.
	Ledger func(offset uint64, data []byte)
	// Placed is called after each change of the place fold.
	Placed func()
	// Event reports what happened.
	Event func(event string, pairs ...any)
}

// Peer is another instance.
type Peer struct {
	Name  string
	State func(ctx context.Context) (*peerpb.StateReply, error)
	Read  func(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error)
}

// Folds holds both folds. It may be used by many goroutines.
type Folds struct {
	Seams
	config *follower
	place  *follower
	ledger *relay.Tail

	mu     sync.RWMutex
	tables fold.Config
	slots  fold.Placement
}

// follower is one stream: its tail and the decision when to write a snapshot.
type follower struct {
	stream string
	tail   *relay.Tail // nil until the state at the start is known

	mu    sync.Mutex
	snaps relay.SnapshotSchedule

	looked time.Time // when retention was last looked at; used by writeSnapshots alone
	first  uint64    // the oldest offset that the log retained then
}

// New returns folds that are empty until Run.
func New(seams Seams) *Folds {
	f := &Folds{Seams: seams, config: &follower{stream: ConfigStream}, place: &follower{stream: PlaceStream}}
	f.ledger = relay.New(0, f.tailSeams(LedgerStream, f.Seams.Ledger, func(_ context.Context, first uint64) (uint64, error) {
		return first - 1, nil
	}))
	return f
}

// View calls f with the fold of the place stream, which f only reads and must not keep.
func (f *Folds) View(read func(*fold.Placement)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(&f.slots)
}

// Cell returns the control state of a data centre.
func (f *Folds) Cell(dc string) fold.Cell {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.slots.Cell(dc)
}

// Version returns the version of the tables in force, 0 before the first, and the offset of the place fold.
func (f *Folds) Version() (config, place uint64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.tables.Version, f.slots.Offset()
}

// Contact returns when the log itself was last known to have been read up to its end, zero if never.
func (f *Folds) Contact() time.Time {
	if tail := f.tailOf(PlaceStream); tail != nil {
		return tail.LastContact()
	}
	return time.Time{}
}

// Caught reports whether both folds have reached the end of their streams at some time, or started from a peer's.
func (f *Folds) Caught() bool {
	c, p := f.tailOf(ConfigStream), f.tailOf(PlaceStream)
	return c != nil && p != nil
}

func (f *Folds) tailOf(stream string) *relay.Tail {
	f.mu.RLock()
	defer f.mu.RUnlock()
	switch stream {
	case ConfigStream:
		return f.config.tail
	case PlaceStream:
		return f.place.tail
	case LedgerStream:
		return f.ledger
	}
	return nil
}

// Run finds the state at the start and follows both streams until ctx is done.
func (f *Folds) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { f.follow(ctx, f.config) })
	wg.Go(func() { f.follow(ctx, f.place) })
	wg.Go(func() { f.ledger.Run(ctx) })
	wg.Go(func() { f.writeSnapshots(ctx) })
	wg.Wait()
}

func (f *Folds) follow(ctx context.Context, s *follower) {
	origin := f.origin(s)
	asof, err := origin.Start(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.snaps.NoteState(time.Now(), asof)
	s.mu.Unlock()
	f.Event("state-loaded", "stream", s.stream, "offset", asof)
	deliver := func(offset uint64, data []byte) { f.deliver(s, offset, data) }
	tail := relay.New(asof, f.tailSeams(s.stream, deliver, func(ctx context.Context, first uint64) (uint64, error) {
		f.Event("records-trimmed", "stream", s.stream, "first", first)
		return origin.Resume(ctx, f.offset(s.stream), first)
	}))
	f.mu.Lock()
	s.tail = tail
	f.mu.Unlock()
	f.Placed()
	tail.Run(ctx)
}

func (f *Folds) tailSeams(
	stream string, deliver func(uint64, []byte), gap func(context.Context, uint64) (uint64, error),
) relay.Config {
	return relay.Config{
		Sources:      func() []relay.Source { return f.sources(stream) },
		Deliver:      deliver,
		AdoptState:   gap,
		Now:          time.Now,
		NeedsContact: f.Yields,
		OnFailure: func(source string, err error) {
			f.Event("read-failed", "stream", stream, "source", source, "error", err)
		},
		Seed: f.Seed,
	}
}

// LedgerCaught reports whether the ledger has been read up to its end since the start.
func (f *Folds) LedgerCaught() bool { return f.ledger.HasCaughtUp() }

func (f *Folds) offset(stream string) uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if stream == ConfigStream {
		return f.tables.Offset()
	}
	return f.slots.Offset()
}

func (f *Folds) deliver(s *follower, offset uint64, data []byte) {
	rec := fold.Decode(data)
	if rec == nil {
		f.Event("record-damaged", "stream", s.stream, "offset", offset)
		rec = new(record.Record)
	}
	if snap := rec.GetSnapshot(); snap != nil {
		s.mu.Lock()
		s.snaps.NoteStored(time.Now(), snap.GetAsof())
		s.mu.Unlock()
	}
	if s.stream == ConfigStream {
		f.applyConfig(offset, rec)
		return
	}
	f.mu.Lock()
	out := f.slots.Apply(offset, rec)
	f.mu.Unlock()
	if out != fold.Ignored {
		f.Event("place-record", "offset", offset, "kind", fmt.Sprintf("%T", rec.GetKind()), "outcome", out.String())
	}
	f.Placed()
}

func (f *Folds) applyConfig(offset uint64, rec *record.Record) {
	var parsed *tables.Tables
	valid := func(routes, pools []byte) (err error) {
		parsed, err = parse(routes, pools)
		return err
	}
	f.mu.Lock()
	out := f.tables.Apply(offset, rec, valid)
	f.mu.Unlock()
	if p := rec.GetPublish(); p != nil {
		f.Event("publication", "version", offset, "base", p.GetBase(), "outcome", out.String())
	}
	if out == fold.Applied {
		f.Tables(offset, parsed)
	}
}

// parse returns the tables, or an error that names the first fault.
func parse(routes, pools []byte) (*tables.Tables, error) {
	t, faults := tables.Parse(routes, pools)
	if jsonc.Invalid(faults) {
		return nil, errors.Newf("%d faults in the tables, the first: %s", len(faults), faults[0])
	}
	return t, nil
}

// adopt replaces the state of a stream by a snapshot.
func (f *Folds) adopt(stream string, snap *record.Snapshot) bool {
	if stream == PlaceStream {
		f.mu.Lock()
		ok := f.slots.Restore(snap.GetAsof(), snap.GetPlace())
		f.mu.Unlock()
		f.Placed()
		return ok
	}
	state := snap.GetConfig()
	t, err := parse(state.GetRoutes(), state.GetPools())
	if state.GetVersion() != 0 && err != nil {
		f.Event("state-damaged", "stream", stream, "error", err)
		return false
	}
	f.mu.Lock()
	ok := f.tables.Restore(snap.GetAsof(), state)
	f.mu.Unlock()
	if ok && state.GetVersion() != 0 {
		f.Tables(state.GetVersion(), t)
	}
	return ok
}

// writeEvery is how often the decision to write a snapshot is taken.
const writeEvery = time.Second

func (f *Folds) writeSnapshots(ctx context.Context) {
	tick := time.NewTicker(writeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			f.snapshot(ctx, now, f.config)
			f.snapshot(ctx, now, f.place)
		}
	}
}

func (f *Folds) snapshot(ctx context.Context, now time.Time, s *follower) {
	if f.tailOf(s.stream) == nil || !f.Writes() {
		return
	}
	f.lookup(ctx, now, s)
	snap, rank := f.state(s.stream)
	s.mu.Lock()
	due := s.snaps.IsDue(now, snap.GetAsof(), s.first, rank)
	s.mu.Unlock()
	if !due {
		return
	}
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Snapshot{Snapshot: snap}})
	if err == nil {
		_, err = f.Append(ctx, s.stream, data)
	}
	f.Event("snapshot-written", "stream", s.stream, "asof", snap.GetAsof(), "error", err)
}

// lookupEvery is how often a writer of snapshots asks the log what it retains.
const lookupEvery = 10 * time.Second

// lookup asks the log itself for the oldest record it retains: a relay may retain less or more.
func (f *Folds) lookup(ctx context.Context, now time.Time, s *follower) {
	if !s.looked.IsZero() && now.Sub(s.looked) < lookupEvery {
		return
	}
	s.looked = now
	ctx, cancel := context.WithTimeout(ctx, writeEvery)
	defer cancel()
	if b, err := f.Read(ctx, s.stream, f.offset(s.stream)+1, 0, 1); err == nil {
		s.first = b.First
	}
}

// state returns the state of a stream, and the index of the own data centre among those that have a term.
func (f *Folds) state(stream string) (snap *record.Snapshot, rank int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	rank = -1
	for i, dc := range f.slots.DCs() {
		if dc == f.DC {
			rank = i
		}
	}
	if stream == ConfigStream {
		return &record.Snapshot{Asof: f.tables.Offset(), Config: f.tables.State()}, rank
	}
	return &record.Snapshot{Asof: f.slots.Offset(), Place: f.slots.State()}, rank
}
