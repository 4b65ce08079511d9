// Package alive decides from evidence what is known of a backend server's process. Keys go to another server before the
// grants of their owner are over only if its process has certainly ended. A registration is evidence about the process of its own id
// alone: who else writes there may name any address. The package does no I/O and reads no clock.
package alive

import (
	"net/netip"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// State is what is known of a process.
type State uint8

// The states. Unknown is the zero value.
const (
	Unknown State = iota
	Alive
	Ended
)

// String returns the form used in logs.
func (s State) String() string { return [...]string{"unknown", "alive", "ended"}[s] }

// Evidence is a kind of observation about one process.
type Evidence uint8

// The kinds of evidence.
const (
	// EntryGone: the process is not registered. Its entry also expires while the process can't reach the store.
	EntryGone Evidence = iota
	// EntryCurrent: its entry is in the store. A process that crashed stays registered until the entry expires.
	EntryCurrent
	// EntryOlder: its id is registered with an older start time, by a record that the store has from an older copy.
	EntryOlder
	// EntryNewer: its id is registered with a newer start time.
	EntryNewer
	// OtherID: an answer from its address names another id, or is 421 to a request that expects its id. It shows nothing if the process
	// may listen elsewhere (Address).
	OtherID
	// Named: an answer from its address names its id, or accepts a request that expects it.
	Named
	// Refused: a new connection to its address was refused. A device on the path may refuse connections while the process runs.
	Refused
	// NoAnswer: a call failed after it was sent. The connection was reset or closed, or nothing came.
	NoAnswer
	kinds
)

// proves holds what each kind of evidence shows by itself.
var proves = [kinds]State{EntryNewer: Ended, OtherID: Ended, Named: Alive}

// Proves returns what the evidence shows by itself.
func (e Evidence) Proves() State { return proves[e] }

// LeavesGrants reports whether grants that were sent to an ended process may be in force at a later one under its id, which accepts
// orders for that id. If another id has the address, no process with the id of the ended one is left.
func (e Evidence) LeavesGrants() bool { return e == EntryNewer }

// otherIDValidity is how long an answer of another id counts. A process that is still registered after it is tried again.
const otherIDValidity = 5 * time.Second

// Seen holds when each kind of evidence about a process was last seen, as the start of the call that brought it. Zero means never.
type Seen [kinds]time.Time

// Decide returns what is known of a process at now, and the evidence by which it is alive or has ended; that is EntryGone if it is
// unknown. Later processes in the store are evidence for good. An answer that names the id does not name a start time, so it may
// come from a later process under the same id. It outweighs only earlier answers of another id, and failed calls after it leave
// the process unknown.
func Decide(now time.Time, seen Seen) (s State, by Evidence) {
	latest := func(evidence ...Evidence) (at time.Time) {
		for _, e := range evidence {
			if seen[e].After(at) {
				at = seen[e]
			}
		}
		return at
	}
	named, other := seen[Named], seen[OtherID]
	switch {
	case !seen[EntryNewer].IsZero():
		by = EntryNewer
	case !other.IsZero() && !named.After(other) && now.Sub(other) < otherIDValidity:
		by = OtherID
	case named.After(latest(OtherID, Refused, NoAnswer)):
		by = Named
	}
	return by.Proves(), by
}

// Address is where a process was called. A process stays at its address as long as it runs.
type Address struct {
	netip.AddrPort
	// Disputed tells that the registrations of the process have named more than one address.
	Disputed bool
}

// maxProcesses bounds memory: at this number, processes without evidence in the last minute are forgotten.
const maxProcesses = 1000

// Book holds the evidence of answers and failed calls for all processes. The zero value has none. It is not safe for concurrent
// use.
type Book struct {
	processes map[spans.Owner]process
}

// process is what calls have shown of a process.
type process struct {
	seen Seen
	// address is where it answered to its id, invalid if it has not answered yet.
	address netip.AddrPort
}

// Note takes evidence about o from a call to an address that began at start. Another process at an address is no evidence if o has
// answered elsewhere, or if it has not answered yet and its address is disputed.
func (b *Book) Note(o spans.Owner, e Evidence, at Address, start time.Time) {
	if b.processes == nil {
		b.processes = make(map[spans.Owner]process)
	}
	p, known := b.processes[o]
	switch {
	case e == Named:
		p.address = at.AddrPort
	case e == OtherID && (p.address.IsValid() && p.address != at.AddrPort || !p.address.IsValid() && at.Disputed):
		return
	}
	if !known && len(b.processes) >= maxProcesses {
		b.prune(start.Add(-time.Minute))
	}
	if start.After(p.seen[e]) {
		p.seen[e] = start
	}
	b.processes[o] = p
}

func (b *Book) prune(before time.Time) {
	for o, p := range b.processes {
		recent := false
		for _, at := range p.seen {
			recent = recent || at.After(before)
		}
		if !recent {
			delete(b.processes, o)
		}
	}
}

// State returns what is known of o at now. entries is what the registrations show of it.
func (b *Book) State(now time.Time, o spans.Owner, entries ...Evidence) (s State, by Evidence) {
	seen := b.processes[o].seen
	for _, e := range entries {
		seen[e] = now
	}
	return Decide(now, seen)
}

// Entry returns what the registration of its id shows of o. registered is zero if there is none.
func Entry(o, registered spans.Owner) Evidence {
	switch {
	case registered.Server != o.Server:
		return EntryGone
	case registered.StartMs > o.StartMs:
		return EntryNewer
	case registered.StartMs < o.StartMs:
		return EntryOlder
	}
	return EntryCurrent
}
