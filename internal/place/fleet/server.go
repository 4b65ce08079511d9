// Package fleet keeps what a controller knows of each backend server of its data centre: its process, its clock,
// what it was granted and whether it confirmed the controller's pair. It reads no clock and sends nothing itself.
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

// phase says what a server is sent next.
type phase uint8

const (
	probing phase = iota // ask for its incarnation, clock and holdings
	fencing              // an empty grant, which makes it refuse earlier pairs
	regular              // its whole set
)

// Server is a backend server. Only the fleet changes it.
type Server struct {
	tables.Server
	Pool          string
	Incarnation   uint64            // 0 until it answered
	Up            bool              // may be given work
	Alive         bool              // answered lately
	Confirmed     bool              // refuses all pairs before the current one
	TokenRefused  bool              // refused a token as lower than one it has seen
	ReportedSlots map[uint32]uint64 // what it held, by token, just before it confirmed
	Servable      []grants.Range    // slots that it may serve, sorted
	Granted       []grants.Range    // the last accepted set
	LapsesAt      time.Time         // of the last grant that contained slots

	phase        phase
	surveyed     bool // probed during a survey
	callInFlight bool // a call is in flight
	sendNow      bool // do not wait for the next round
	lastIsProbe  bool // the last call only asks
	reportUnread bool // Reported was not looked at yet
	failing      bool // by the word of its dispatcher
	leaving      bool // by its own word or its dispatcher's
	listLeaving  bool // leaving by the list
	callID       uint64
	lastClock    uint64 // its last clock reading
	clockReadAt  time.Time
	sentAt       time.Time
	probedAt     time.Time // when the probe behind Reported was sent
	lastAnswer   time.Time // last answer
	spans        []lease.SlotRange
	inFlight     []grants.Range // the set of the call in flight
}

// idPrefix tells the ids of servers from those of instances.
const idPrefix = "server:"

// ProcessID names a process of a backend server as a witness and as a holder of grants.
func ProcessID(name string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%x", idPrefix, name, incarnation)
}

// ServerName returns the name of the server in an ID, and whether id is one.
func ServerName(id string) (name string, ok bool) {
	rest, ok := strings.CutPrefix(id, idPrefix)
	name, _, _ = strings.Cut(rest, "/")
	return name, ok
}

// EarlierID names a server's process as the holder of what earlier pairs granted.
func EarlierID(name string) string { return name + "/earlier" }

// ProcessID names the server's process.
func (s *Server) ProcessID() string { return ProcessID(s.Name, s.Incarnation) }

// IsLeaving reports whether the server is leaving by the word of the list, the tables or itself.
func (s *Server) IsLeaving() bool { return s.leaving || s.listLeaving || s.Leaving }

// IsFenced reports whether the server has dropped what others than this holder granted, as far as the holder knows. While
// it renews its term, servers that have not confirmed the new pair keep their slots.
func (s *Server) IsFenced() bool { return s.phase == regular }

// TakeReport returns what the server reported to hold, once.
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

// ToProto returns the server as dispatchers see it.
func (s *Server) ToProto() *peerpb.Server {
	return &peerpb.Server{
		Name: s.Name, Address: s.Address.String(), Checks: s.Checks, Leaving: s.IsLeaving(),
		Slots: uint32(s.Slots), Connections: uint32(s.Connections), Incarnation: s.Incarnation,
	}
}

// reset forgets what was true of an earlier process or under an earlier pair.
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
