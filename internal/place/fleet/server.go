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

// step says what a server is sent next.
type step uint8

const (
	probing step = iota // ask for its incarnation, clock and holdings
	fencing             // an empty grant, which makes it refuse earlier pairs
	regular             // its whole set
)

// Server is a backend server. Only the fleet changes it.
type Server struct {
	tables.Server
	Pool        string
	Incarnation uint64            // 0 until it answered
	Up          bool              // may be given work
	Alive       bool              // answered lately
	Confirmed   bool              // refuses all pairs before the current one
	Stale       bool              // refused a token as lower than one it has seen
	Reported    map[uint32]uint64 // what it held, by token, just before it confirmed
	Set         []grants.Range    // slots that it may serve, sorted
	Granted     []grants.Range    // the last accepted set
	Lapse       time.Time         // of the last grant that contained slots

	step     step
	asked    bool // probed during a survey
	busy     bool // a call is in flight
	urgent   bool // do not wait for the next round
	probe    bool // the last call only asks
	learn    bool // Reported was not looked at yet
	failing  bool // by the word of its dispatcher
	leaving  bool // by its own word or its dispatcher's
	unlisted bool // leaving by the list
	id       uint64
	clock    uint64 // its last clock reading
	read     time.Time
	sent     time.Time
	probed   time.Time // when the probe behind Reported was sent
	contact  time.Time // last answer
	spans    []lease.Span
	flight   []grants.Range // the set of the call in flight
}

// prefix tells the ids of servers from those of instances.
const prefix = "server:"

// ID names a process of a backend server as a witness and as a holder of grants.
func ID(name string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%x", prefix, name, incarnation)
}

// Name returns the name of the server in an ID, and whether id is one.
func Name(id string) (name string, ok bool) {
	rest, ok := strings.CutPrefix(id, prefix)
	name, _, _ = strings.Cut(rest, "/")
	return name, ok
}

// Earlier names a server's process as the holder of what earlier pairs granted.
func Earlier(name string) string { return name + "/earlier" }

// Key names the server's process.
func (s *Server) Key() string { return ID(s.Name, s.Incarnation) }

// Parting reports whether the server is leaving by the word of the list, the tables or itself.
func (s *Server) Parting() bool { return s.leaving || s.unlisted || s.Leaving }

// Clean reports whether the server has dropped what others than this holder granted, as far as the holder knows. While
// it renews its term, servers that have not confirmed the new pair keep their slots.
func (s *Server) Clean() bool { return s.step == regular }

// Learn returns what the server reported to hold, once.
func (s *Server) Learn() map[uint32]uint64 {
	if !s.learn {
		return nil
	}
	s.learn = false
	return s.Reported
}

// Allot sets which slots the server may serve.
func (s *Server) Allot(set []grants.Range) {
	if slices.Equal(set, s.Set) {
		return
	}
	s.Set, s.urgent = set, true
	s.spans = make([]lease.Span, len(set))
	for i, r := range set {
		s.spans[i] = lease.Span{Pool: r.Pool, First: r.First, Last: r.Last}
	}
}

// Proto returns the server as dispatchers see it.
func (s *Server) Proto() *peerpb.Server {
	return &peerpb.Server{
		Name: s.Name, Address: s.Address.String(), Checks: s.Checks, Leaving: s.Parting(),
		Slots: uint32(s.Slots), Connections: uint32(s.Connections), Incarnation: s.Incarnation,
	}
}

// restart forgets what was true of an earlier process or under an earlier pair.
func (s *Server) restart() {
	s.step, s.Confirmed, s.Stale, s.Reported, s.learn = probing, false, false, nil, false
	s.Set, s.spans, s.Granted = nil, nil, nil
	s.urgent = true
}

// Has reports whether the sorted set contains the slot with this token.
func Has(set []grants.Range, slot uint32, token uint64) bool {
	i, found := slices.BinarySearchFunc(set, slot, func(r grants.Range, s uint32) int { return cmp.Compare(r.First, s) })
	if !found {
		i--
	}
	return i >= 0 && set[i].Last >= slot && set[i].Token == token
}
