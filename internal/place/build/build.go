// Package build builds the routing state from the records of the shared streams. It accepts only newer tables and valid
// registrations of servers, and takes owners as recorded.
package build

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/chunks"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/place/evac"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// leadRecordKey is the key of the record of the current leader in the place stream.
	leadRecordKey = "lead"
	// tablesRecordKey is the key of the tables in the configuration stream.
	tablesRecordKey = "config"
	// maxFormerServers bounds memory: at this number, all are dropped. Their keys are reassigned within seconds.
	maxFormerServers = 200
)

// Decoder decodes the tables that operators publish and the registrations of servers. All fields must be set.
type Decoder struct {
	DecodeTables func(value []byte) (version uint64, t *tables.Tables, err error)
	DecodeServer func(id string, value []byte, offset uint64, now time.Time) (*topo.Server, error)
	// IsOlderServer reports whether the second of two registrations is not newer than the first.
	IsOlderServer func(known, value []byte) bool
	// EvacuatedDC returns the data centre that is evacuated while the configuration stream has a record with this key.
	EvacuatedDC func(key string) (dc string, ok bool)
}

// Builder holds the state decoded from the records. It is not safe for concurrent use.
type Builder struct {
	Decoder
	Log *events.Logger
	// OnLead is called with each lead record.
	OnLead func(elect.LeadRecord)

	Version      uint64         // of Tables
	Tables       *tables.Tables // nil until known
	Servers      map[string]*topo.Server
	Owners       map[string]spans.Map
	Chunks       map[string]*sitepb.Owners // owners as recorded, by record key
	HighestFence uint64                    // highest recorded fence
	EraFences    map[uint64]uint64         // highest recorded fence of each era of the store
	MovingRanges map[string][]topo.MovingRange
	Evacuations  evac.State

	routes topo.Routes
	// unnamed holds registrations of pools that the tables don't name: those of other programs, and of servers that came before their
	// pool. They are used once the tables name the pool. Until then the earlier registration under the id holds.
	unnamed map[string]*topo.Server
	// former holds servers that are no longer registered. Those that still run but can't reach the store can be asked to
	// release keys.
	former map[spans.Owner]*topo.Server
}

// Apply applies new entries of a stream in their order.
func (b *Builder) Apply(now time.Time, topic keyed.Topic, entries []keyed.Entry) {
	for _, e := range entries {
		switch topic {
		case keyed.Config:
			if dc, ok := b.EvacuatedDC(e.Key); ok {
				b.applyEvacuation(now, dc, e)
				continue
			}
			b.applyTables(e)
		case keyed.Servers:
			b.applyServer(now, e)
		case keyed.Place:
			if err := b.applyPlace(e); err != nil {
				b.Log.Error("record-unreadable", "key", e.Key, "offset", keyed.FormatPosition(e.Offset), "error", err)
			}
		}
	}
}

// applyTables replaces the tables if those in e are newer.
func (b *Builder) applyTables(e keyed.Entry) {
	if e.Key != tablesRecordKey || len(e.Value) == 0 {
		return
	}
	version, t, err := b.Decoder.DecodeTables(e.Value)
	if err != nil {
		b.Log.Error("tables-rejected", "offset", keyed.FormatPosition(e.Offset), "error", err)
		return
	}
	if b.Tables != nil && version <= b.Version {
		b.Log.Warn("tables-old", "version", version, "inforce", b.Version)
		return
	}
	b.Version, b.Tables, b.routes = version, t, topo.NewRoutes(t)
	b.Log.Info("tables", "version", version, "offset", keyed.FormatPosition(e.Offset), "routes", len(t.Routes), "pools", len(t.Pools))
	for id, s := range b.unnamed {
		if t.Pool(s.Pool) != nil {
			delete(b.unnamed, id)
			b.addServer(s)
		}
	}
}

func (b *Builder) applyEvacuation(now time.Time, dc string, e keyed.Entry) {
	evacuated := len(e.Value) > 0
	if _, was := b.Evacuations.Since(dc); was != evacuated {
		b.Log.Info("evacuation", "dc", dc, "evacuated", evacuated, "offset", keyed.FormatPosition(e.Offset))
	}
	b.Evacuations = b.Evacuations.With(now, dc, evacuated)
}

func (b *Builder) applyServer(now time.Time, e keyed.Entry) {
	if b.Servers == nil {
		b.Servers = make(map[string]*topo.Server)
	}
	if len(e.Value) == 0 {
		delete(b.unnamed, e.Key)
		if old := b.Servers[e.Key]; old != nil {
			b.addFormer(old)
			delete(b.Servers, e.Key)
			b.Log.Info("server-gone", "server", e.Key, "pool", old.Pool, "offset", keyed.FormatPosition(e.Offset))
		}
		return
	}
	s, err := b.Decoder.DecodeServer(e.Key, e.Value, e.Offset, now)
	if err != nil {
		b.Log.Warn("registration-rejected", "server", e.Key, "offset", keyed.FormatPosition(e.Offset), "error", err)
		return
	}
	if s.Leaving {
		s.LeavingSince = now
		for _, old := range []*topo.Server{b.Servers[e.Key], b.unnamed[e.Key]} {
			if old != nil && old.Owner == s.Owner && old.Leaving && old.LeavingSince.Before(s.LeavingSince) {
				s.LeavingSince = old.LeavingSince
			}
		}
	}
	if b.Tables == nil || b.Tables.Pool(s.Pool) == nil {
		if b.unnamed == nil {
			b.unnamed = make(map[string]*topo.Server)
		}
		b.unnamed[e.Key] = s
		if b.Tables == nil {
			return
		}
		b.Log.Info("registration-unnamed", "server", e.Key, "pool", s.Pool, "offset", keyed.FormatPosition(e.Offset))
		return
	}
	delete(b.unnamed, e.Key)
	b.addServer(s)
}

// addServer takes s as what is registered under its id.
func (b *Builder) addServer(s *topo.Server) {
	old := b.Servers[s.Server]
	s.AddressDisputed = old != nil && old.Owner == s.Owner && (old.AddressDisputed || old.Address != s.Address)
	b.Servers[s.Server] = s
	if old == nil || old.Owner != s.Owner || old.Leaving != s.Leaving || old.Address != s.Address || old.Pool != s.Pool {
		b.Log.Info("server", "server", s.Server, "pool", s.Pool, "address", s.Address, "leaving", s.Leaving, "offset", keyed.FormatPosition(s.RecordOffset))
	}
}

func (b *Builder) addFormer(s *topo.Server) {
	if b.former == nil || len(b.former) >= maxFormerServers {
		b.former = make(map[spans.Owner]*topo.Server)
	}
	b.former[s.Owner] = s
}

func (b *Builder) applyPlace(e keyed.Entry) error {
	if l, ok, err := ParseLead(e); ok {
		if err == nil {
			b.OnLead(l)
		}
		return err
	}
	if strings.HasPrefix(e.Key, chunks.KeyPrefix) {
		o := new(sitepb.Owners)
		if err := proto.Unmarshal(e.Value, o); err != nil {
			return errors.Wrap(err, "decode owners record")
		}
		if b.Chunks == nil {
			b.Chunks = make(map[string]*sitepb.Owners)
		}
		b.Chunks[e.Key] = o
		b.HighestFence = max(b.HighestFence, o.GetFence())
		if b.EraFences == nil {
			b.EraFences = make(map[uint64]uint64)
		}
		era := elect.EraOf(o.GetFence())
		b.EraFences[era] = max(b.EraFences[era], o.GetFence())
		b.Owners = nil
	}
	return nil
}

// Server returns the registered server of an owner, nil if that incarnation is not registered.
func (b *Builder) Server(o spans.Owner) *topo.Server {
	if s := b.Servers[o.Server]; s != nil && s.Owner == o {
		return s
	}
	return nil
}

// FormerServer returns the removed registration of an owner, nil if it is not known.
func (b *Builder) FormerServer(o spans.Owner) *topo.Server { return b.former[o] }

// ClaimedServer returns the present or former registration of an owner at whose address another id with a later start is registered,
// nil if there is none. Anybody may have registered that: only an answer from the address tells who listens there.
func (b *Builder) ClaimedServer(o spans.Owner) *topo.Server {
	srv := b.Server(o)
	if srv == nil {
		srv = b.former[o]
	}
	if srv == nil {
		return nil
	}
	for _, x := range b.Servers {
		if x.Server != o.Server && x.Address == srv.Address && x.StartMs > o.StartMs {
			return srv
		}
	}
	return nil
}

// PoolServers returns the registered servers of a pool.
func (b *Builder) PoolServers(pool string) (out []*topo.Server) {
	for _, s := range b.Servers {
		if s.Pool == pool {
			out = append(out, s)
		}
	}
	return out
}

// PoolOwners returns the registered servers of a pool as owners of keys.
func (b *Builder) PoolOwners(pool string) (out []spans.Owner) {
	for _, s := range b.PoolServers(pool) {
		out = append(out, s.Owner)
	}
	return out
}

// EncodeLead returns the entry of the place stream that records l.
func EncodeLead(l elect.LeadRecord) (keyed.Entry, error) {
	value, err := proto.Marshal(&sitepb.Lead{Holder: l.Holder, Term: l.Term, Nonce: l.Nonce, Resigned: l.Resigned, Members: l.Members})
	return keyed.Entry{Key: leadRecordKey, Value: value}, errors.Wrap(err, "encode lead record")
}

// ParseLead decodes the lead record in an entry of the place stream. ok is false for another kind of entry.
func ParseLead(e keyed.Entry) (l elect.LeadRecord, ok bool, err error) {
	if e.Key != leadRecordKey {
		return l, false, nil
	}
	l, err = unmarshalLead(e.Value)
	l.Offset = e.Offset
	return l, true, err
}

func unmarshalLead(value []byte) (elect.LeadRecord, error) {
	var l sitepb.Lead
	err := proto.Unmarshal(value, &l)
	return elect.LeadRecord{
		Holder: l.GetHolder(), Term: l.GetTerm(), Nonce: l.GetNonce(), Resigned: l.GetResigned(), Members: l.GetMembers(),
	}, errors.Wrap(err, "decode lead record")
}

// IsLeadRenewal reports whether a new value only renews the lead. It need not be pushed: it names all instances, and these
// learn the age of the lease from the pushes.
func IsLeadRenewal(topic keyed.Topic, key string, old, value []byte) bool {
	if topic != keyed.Place || key != leadRecordKey {
		return false
	}
	a, errA := unmarshalLead(old)
	b, errB := unmarshalLead(value)
	return errA == nil && errB == nil && a.Holder == b.Holder && a.Term == b.Term && a.Resigned == b.Resigned && slices.Equal(a.Members, b.Members)
}

// Snapshot returns the routing state according to the records.
func (b *Builder) Snapshot() *topo.Snapshot {
	if b.Owners == nil && b.Chunks != nil {
		b.Owners = chunks.Decode(b.Chunks)
	}
	w := &topo.Snapshot{
		Version: b.Version, Tables: b.Tables, Routes: b.routes, Owners: b.Owners, Moving: b.MovingRanges, Evacuations: b.Evacuations,
		Servers: make(map[string]*topo.Server, len(b.Servers)), Pools: make(map[string][]*topo.Server),
	}
	for id, s := range b.Servers {
		w.Servers[id] = s
		if _, evacuated := b.Evacuations.Since(s.DC); !s.Leaving && !evacuated {
			w.Pools[s.Pool] = append(w.Pools[s.Pool], s)
		}
	}
	return w
}
