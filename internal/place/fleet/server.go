// Package fleet tracks the backend servers of a controller's data centre: the process, clock and grants of each, and
// whether it confirmed the controller's pair. It reads no clock and sends nothing itself.
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// phase determines which call a server gets next.
type phase uint8

const (
	probing phase = iota // a probe for its incarnation, clock and the slots that it holds
	fencing              // an empty grant, which makes it refuse earlier pairs
	regular              // a grant of its whole set
)

// Server is a backend server. Only the fleet changes it.
type Server struct {
	tables.Server
	Pool          string
	Incarnation   uint64            // 0 until it answered
	Up            bool              // may be given work
	Alive         bool              // answered lately
	Confirmed     bool              // refuses all pairs before the current one
	TokenRefused  bool              // it refused a token that is lower than one it has seen
	ReportedSlots map[uint32]uint64 // what it held, by token, just before it confirmed
	Servable      []grants.Range    // slots that it may serve, sorted
	Granted       []grants.Range    // the last accepted set
	LapsesAt      time.Time         // when the last grant that contained slots lapses

	phase        phase
	surveyed     bool // probed during a survey
	callInFlight bool // a call is in flight
	sendNow      bool // do not wait for the next round
	lastIsProbe  bool // the last call only asks
	reportUnread bool // TakeReport has not returned ReportedSlots yet
	failing      bool // reported by its dispatcher
	leaving      bool // reported by itself or its dispatcher
	listLeaving  bool // the platform's list shows it as leaving
	callID       uint64
	lastClock    uint64 // its last clock reading
	clockReadAt  time.Time
	sentAt       time.Time
	probedAt     time.Time // when the probe that led to ReportedSlots was sent
	lastAnswer   time.Time
	spans        []lease.SlotRange
	inFlight     []grants.Range // the set of the call in flight
}

// idPrefix distinguishes the ids of server processes from those of instances.
const idPrefix = "server:"

// ProcessID returns the id of a backend server's process as a witness and a holder of grants.
func ProcessID(name string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%x", idPrefix, name, incarnation)
}

// ServerName returns the server's name from an id made by ProcessID. ok is false for other ids.
func ServerName(id string) (name string, ok bool) {
	rest, ok := strings.CutPrefix(id, idPrefix)
	name, _, _ = strings.Cut(rest, "/")
	return name, ok
}

// EarlierID returns the id under which a server counts as the holder of grants of earlier pairs.
func EarlierID(name string) string { return name + "/earlier" }

// ProcessID returns the id of the current process.
func (s *Server) ProcessID() string { return ProcessID(s.Name, s.Incarnation) }

// IsLeaving reports whether the list, the tables, the dispatcher or the server itself says that it is leaving.
func (s *Server) IsLeaving() bool { return s.leaving || s.listLeaving || s.Leaving }

// IsFenced reports whether the server has dropped all grants of other holders, as far as this holder knows. While the
// holder renews its term, servers that have not confirmed the new pair keep their slots.
func (s *Server) IsFenced() bool { return s.phase == regular }

// TakeReport returns the slots that the server reported to hold, nil if that report was returned before.
func (s *Server) TakeReport() map[uint32]uint64 {
	if !s.reportUnread {
		return nil
	}
	s.reportUnread = false
	return s.ReportedSlots
}

// SetServable sets which slots the server may serve.
func (s *Server) SetServable(set []grants.Range) {
	if slices.Equal(set, s.Servable) {
		return
	}
	s.Servable, s.sendNow = set, true
	s.spans = make([]lease.SlotRange, len(set))
	for i, r := range set {
		s.spans[i] = lease.SlotRange{Pool: r.Pool, First: r.First, Last: r.Last}
	}
}

// ToProto returns the server in the form that is sent to dispatchers.
func (s *Server) ToProto() *peerpb.Server {
	return &peerpb.Server{
		Name: s.Name, Address: s.Address.String(), Checks: s.Checks, Leaving: s.IsLeaving(),
		Slots: uint32(s.Slots), Connections: uint32(s.Connections), Incarnation: s.Incarnation,
	}
}

// reset drops the state that belongs to an earlier process or pair.
func (s *Server) reset() {
	s.phase, s.Confirmed, s.TokenRefused, s.ReportedSlots, s.reportUnread = probing, false, false, nil, false
	s.Servable, s.spans, s.Granted = nil, nil, nil
	s.sendNow = true
}

// Contains reports whether the sorted set contains the slot with this token.
func Contains(set []grants.Range, slot uint32, token uint64) bool {
	i, found := slices.BinarySearchFunc(set, slot, func(r grants.Range, s uint32) int { return cmp.Compare(r.First, s) })
	if !found {
		i--
	}
	return i >= 0 && set[i].Last >= slot && set[i].Token == token
}
