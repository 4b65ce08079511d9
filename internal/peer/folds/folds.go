// Package folds keeps an instance's folds of the config and place streams up to date, and serves state and records to
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

// Names of the streams.
const (
	ConfigStream = "config"
	PlaceStream  = "place"
	// LedgerStream has no snapshots: its records matter for the window of a route, which is shorter than retention.
	LedgerStream = "ledger"
)

// Config holds the settings and callbacks of Folds. The functions are called by several goroutines.
type Config struct {
	Read   func(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (logsvc.Batch, error)
	Append func(ctx context.Context, stream string, data []byte) (uint64, error)
	// AppendAgain appends records that the log has lost, if the first gets its former offset.
	AppendAgain func(ctx context.Context, stream string, offset uint64, records [][]byte) error
	// BeginEra appends the record of an era to a stream.
	BeginEra func(ctx context.Context, stream string, number uint64) error
	// OnEra is called for each record of a stream that begins an era of the log.
	OnEra func(stream string, number uint64)
	// OnDiverged is called when other instances have gone on without records that this one has applied.
	OnDiverged func(stream string, offset uint64)
	// Peers returns the instances to ask for their state.
	Peers func() []Peer
	// Relays returns the instances to read streams from, in order of preference.
	Relays func() []Peer
	// Fallbacks returns the instances to read from if neither a relay nor the log itself answers.
	Fallbacks func() []Peer
	// NeedsContact reports whether contact with the log itself is needed, see relay.Config.
	NeedsContact func() bool
	// WritesSnapshots reports whether this instance writes snapshots.
	WritesSnapshots func() bool
	DC              string
	Seed            uint64
	// OnTables is called with each version of the tables that takes effect.
	OnTables func(version uint64, t *tables.Tables)
	// OnLedgerRecord is called with each record of the ledger, in order.
	OnLedgerRecord func(offset uint64, data []byte)
	// OnPlacement is called after the place fold may have changed.
	OnPlacement func()
	// LogEvent logs an event with key-value pairs.
	LogEvent func(event string, pairs ...any)
}

// Peer is another instance that serves its state and records.
type Peer struct {
	Name  string
	State func(ctx context.Context) (*peerpb.StateReply, error)
	Read  func(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error)
}

// Folds holds the folds of both streams and reads the ledger. It is safe for concurrent use.
type Folds struct {
	Config
	config *followedStream
	place  *followedStream
	ledger *relay.Tail

	mu        sync.RWMutex
	tables    fold.Config
	placement fold.Placement
}

// followedStream holds the tail of one stream and the schedule of its snapshots.
type followedStream struct {
	name string
	tail *relay.Tail // nil until an initial state is known

	mu       sync.Mutex
	schedule relay.SnapshotSchedule

	retentionChecked time.Time // when the log was last asked; used by writeSnapshots alone
	firstRetained    uint64    // oldest offset that the log retained then
}

// New returns Folds that stay empty until Run is called.
func New(cfg Config) *Folds {
	f := &Folds{Config: cfg, config: &followedStream{name: ConfigStream}, place: &followedStream{name: PlaceStream}}
	f.ledger = relay.New(0, f.tailConfig(LedgerStream, 0, f.Config.OnLedgerRecord, func(_ context.Context, first uint64) (uint64, error) {
		return first - 1, nil
	}))
	return f
}

// ViewPlacement calls read with the fold of the place stream, which read must not change or keep.
func (f *Folds) ViewPlacement(read func(*fold.Placement)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(&f.placement)
}

// Cell returns the control state of a data centre.
func (f *Folds) Cell(dc string) fold.Cell {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.placement.Cell(dc)
}

// Versions returns the version of the tables in force, 0 before the first, and the offset of the place fold.
func (f *Folds) Versions() (config, place uint64) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.tables.Version, f.placement.Offset()
}

// LastContact returns the LastContact of the place stream's tail, zero if it has none yet.
func (f *Folds) LastContact() time.Time {
	if tail := f.tailOf(PlaceStream); tail != nil {
		return tail.LastContact()
	}
	return time.Time{}
}

// HasState reports whether both folds have an initial state, from a peer, the log, or the beginning of the stream.
func (f *Folds) HasState() bool {
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

// Run finds initial states, follows all streams and writes snapshots until ctx is done.
func (f *Folds) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { f.follow(ctx, f.config) })
	wg.Go(func() { f.follow(ctx, f.place) })
	wg.Go(func() { f.ledger.Run(ctx) })
	wg.Go(func() { f.writeSnapshots(ctx) })
	wg.Wait()
}

func (f *Folds) follow(ctx context.Context, s *followedStream) {
	origin := f.stateFinder(s)
	asof, err := origin.Start(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.schedule.NoteState(time.Now(), asof)
	s.mu.Unlock()
	f.OnEra(s.name, f.foldEra(s.name))
	f.LogEvent("state-loaded", "stream", s.name, "offset", asof)
	deliver := func(offset uint64, data []byte) { f.applyRecord(s, offset, data) }
	tail := relay.New(asof, f.tailConfig(s.name, f.foldEra(s.name), deliver, func(ctx context.Context, first uint64) (uint64, error) {
		f.LogEvent("records-trimmed", "stream", s.name, "first", first)
		return origin.Resume(ctx, f.foldOffset(s.name), first)
	}))
	f.mu.Lock()
	s.tail = tail
	f.mu.Unlock()
	f.OnPlacement()
	tail.Run(ctx)
}

func (f *Folds) tailConfig(
	stream string, era uint64, onRecord func(uint64, []byte), adoptState func(context.Context, uint64) (uint64, error),
) relay.Config {
	return relay.Config{
		Sources:    func() []relay.Source { return f.streamSources(stream) },
		Deliver:    onRecord,
		AdoptState: adoptState,
		AppendAgain: func(ctx context.Context, offset uint64, records [][]byte) error {
			err := f.Config.AppendAgain(ctx, stream, offset, records)
			f.LogEvent("appended-again", "stream", stream, "offset", offset, "records", len(records), "error", err)
			return err
		},
		BeginEra:     func(ctx context.Context, number uint64) error { return f.Config.BeginEra(ctx, stream, number) },
		OnDiverged:   func(offset uint64) { f.OnDiverged(stream, offset) },
		OnEra:        func(number uint64) { f.noteEra(stream, number) },
		Era:          era,
		Now:          time.Now,
		NeedsContact: f.NeedsContact,
		OnFailure: func(source string, err error) {
			f.LogEvent("read-failed", "stream", stream, "source", source, "error", err)
		},
		Seed: f.Seed,
	}
}

// HasReadLedger reports whether the ledger has been read up to its end since the start.
func (f *Folds) HasReadLedger() bool { return f.ledger.HasCaughtUp() }

func (f *Folds) foldOffset(stream string) uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if stream == ConfigStream {
		return f.tables.Offset()
	}
	return f.placement.Offset()
}

// noteEra takes a record that begins an era.
func (f *Folds) noteEra(stream string, number uint64) {
	for _, s := range []*followedStream{f.config, f.place} {
		if s.name == stream {
			s.mu.Lock()
			s.schedule.ForgetStored()
			s.mu.Unlock()
		}
	}
	f.OnEra(stream, number)
}

func (f *Folds) foldEra(stream string) uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if stream == ConfigStream {
		return f.tables.Era()
	}
	return f.placement.Era()
}

func (f *Folds) applyRecord(s *followedStream, offset uint64, data []byte) {
	rec := fold.Decode(data)
	if rec == nil {
		f.LogEvent("record-damaged", "stream", s.name, "offset", offset)
		rec = new(record.Record)
	}
	if snap := rec.GetSnapshot(); snap != nil {
		s.mu.Lock()
		s.schedule.NoteStored(time.Now(), snap.GetAsof())
		s.mu.Unlock()
	}
	if s.name == ConfigStream {
		f.applyConfig(offset, rec)
		return
	}
	f.mu.Lock()
	outcome := f.placement.Apply(offset, rec)
	f.mu.Unlock()
	if outcome != fold.Ignored {
		f.LogEvent("place-record", "offset", offset, "kind", fmt.Sprintf("%T", rec.GetKind()), "outcome", outcome.String())
	}
	f.OnPlacement()
}

func (f *Folds) applyConfig(offset uint64, rec *record.Record) {
	var parsed *tables.Tables
	valid := func(routes, pools []byte) (err error) {
		parsed, err = parseTables(routes, pools)
		return err
	}
	f.mu.Lock()
	outcome, version := f.tables.Apply(offset, rec, valid), f.tables.Number(offset)
	f.mu.Unlock()
	p := rec.GetPublish()
	if p != nil {
		f.LogEvent("publication", "version", version, "base", p.GetBase(), "outcome", outcome.String())
	}
	if p != nil && outcome == fold.Applied {
		f.OnTables(version, parsed)
	}
}

// parseTables parses routes and pools. Its error gives the first fault.
func parseTables(routes, pools []byte) (*tables.Tables, error) {
	t, faults := tables.Parse(routes, pools)
	if jsonc.HasErrors(faults) {
		return nil, errors.Newf("tables have %d faults, the first: %s", len(faults), faults[0])
	}
	return t, nil
}

// adoptSnapshot replaces the fold of a stream, unless the snapshot is invalid or older, and reports whether it did.
func (f *Folds) adoptSnapshot(stream string, snap *record.Snapshot) bool {
	if stream == PlaceStream {
		f.mu.Lock()
		ok := f.placement.Restore(snap.GetAsof(), snap.GetPlace())
		f.mu.Unlock()
		f.OnPlacement()
		return ok
	}
	state := snap.GetConfig()
	t, err := parseTables(state.GetRoutes(), state.GetPools())
	if state.GetVersion() != 0 && err != nil {
		f.LogEvent("state-damaged", "stream", stream, "error", err)
		return false
	}
	f.mu.Lock()
	ok := f.tables.Restore(snap.GetAsof(), state)
	f.mu.Unlock()
	if ok && state.GetVersion() != 0 {
		f.OnTables(state.GetVersion(), t)
	}
	return ok
}

// snapshotCheckInterval is how often Folds checks whether to write a snapshot.
const snapshotCheckInterval = time.Second

func (f *Folds) writeSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.writeSnapshotIfDue(ctx, now, f.config)
			f.writeSnapshotIfDue(ctx, now, f.place)
		}
	}
}

func (f *Folds) writeSnapshotIfDue(ctx context.Context, now time.Time, s *followedStream) {
	if f.tailOf(s.name) == nil || !f.WritesSnapshots() {
		return
	}
	f.checkRetention(ctx, now, s)
	snap, dcIndex := f.newSnapshot(s.name)
	s.mu.Lock()
	due := s.schedule.IsDue(now, snap.GetAsof(), s.firstRetained, dcIndex)
	s.mu.Unlock()
	if !due {
		return
	}
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Snapshot{Snapshot: snap}})
	if err == nil {
		_, err = f.Append(ctx, s.name, data)
	}
	f.LogEvent("snapshot-written", "stream", s.name, "asof", snap.GetAsof(), "error", err)
}

// retentionCheckInterval is how often a writer of snapshots asks the log what it retains.
const retentionCheckInterval = 10 * time.Second

// checkRetention asks the log itself for the oldest record it retains, since a relay may retain fewer or more.
func (f *Folds) checkRetention(ctx context.Context, now time.Time, s *followedStream) {
	if !s.retentionChecked.IsZero() && now.Sub(s.retentionChecked) < retentionCheckInterval {
		return
	}
	s.retentionChecked = now
	ctx, cancel := context.WithTimeout(ctx, snapshotCheckInterval)
	defer cancel()
	if b, err := f.Read(ctx, s.name, f.foldOffset(s.name)+1, 0, 1); err == nil {
		s.firstRetained = b.First
	}
}

// newSnapshot returns a snapshot of a stream, and the index of the own data centre among those with a term, or -1.
func (f *Folds) newSnapshot(stream string) (snap *record.Snapshot, dcIndex int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	dcIndex = -1
	for i, dc := range f.placement.DCs() {
		if dc == f.DC {
			dcIndex = i
		}
	}
	if stream == ConfigStream {
		return &record.Snapshot{Asof: f.tables.Offset(), Config: f.tables.State()}, dcIndex
	}
	return &record.Snapshot{Asof: f.placement.Offset(), Place: f.placement.State()}, dcIndex
}
