package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

const (
	detect  = time.Second        // a checking server that has not answered for this long is lost
	readAge = 2 * lease.Interval // a clock reading older than this is renewed before a grant
)

// ReportAge is the longest time between a server's report and its confirmation, and between the report and authority,
// for the report to count.
const ReportAge = 500 * time.Millisecond

// Order is a call to a server. Its result goes to Answered with the same id.
type Order struct {
	Server string
	ID     uint64
	Addr   netip.AddrPort
	Grant  grants.Grant
}

// Fleet is the servers of a data centre. It is not safe for concurrent use.
type Fleet struct {
	Event  func(name string, fields ...any)
	Expose lease.Exposure // who may hold what, over all pairs of this process

	servers map[string]*Server
	pair    lease.Pair
	since   time.Time // of the pair
	orders  []Order
	ids     uint64
	changed bool
}

// New returns a fleet without servers.
func New(event func(name string, fields ...any)) *Fleet {
	return &Fleet{Event: event, servers: make(map[string]*Server)}
}

// Server returns the server of that name, nil if it is not in the tables.
func (f *Fleet) Server(name string) *Server { return f.servers[name] }

// All returns the servers, sorted by name.
func (f *Fleet) All() []*Server {
	out := make([]*Server, 0, len(f.servers))
	for _, n := range slices.Sorted(maps.Keys(f.servers)) {
		out = append(out, f.servers[n])
	}
	return out
}

// Witnesses returns the ids of the checking servers that answer, or of those among them that confirmed the pair.
func (f *Fleet) Witnesses(confirmed bool) []string {
	var out []string
	for _, s := range f.All() {
		if s.Checks && s.Incarnation != 0 && s.Alive && (s.Confirmed || !confirmed) {
			out = append(out, s.Key())
		}
	}
	return out
}

// Changed reports, once, whether anything changed that slots or lanes depend on.
func (f *Fleet) Changed() bool {
	changed := f.changed
	f.changed = false
	return changed
}

// Orders returns the calls to make, once.
func (f *Fleet) Orders() []Order {
	out := f.orders
	f.orders = nil
	return out
}

// Sync takes in the tables and the list at now.
func (f *Fleet) Sync(now time.Time, dc string, t *tables.Tables, l *roster.List) {
	leaving := make(map[string]bool)
	for _, s := range l.Servers {
		leaving[s.Name] = s.Leaving
	}
	named := make(map[string]bool)
	for i := range t.Pools {
		p := &t.Pools[i]
		for _, row := range p.Servers {
			if row.DC != dc {
				continue
			}
			named[row.Name] = true
			s := f.servers[row.Name]
			if s == nil || s.Pool != p.Name {
				s = &Server{contact: now, urgent: true}
				f.servers[row.Name] = s
			}
			s.Server, s.Pool, s.unlisted = row, p.Name, leaving[row.Name]
		}
	}
	maps.DeleteFunc(f.servers, func(n string, _ *Server) bool { return !named[n] })
	f.changed = true
}

// Forget makes the next survey ask all servers anew.
func (f *Fleet) Forget() {
	for _, s := range f.servers {
		s.step, s.asked, s.Alive = probing, false, false
	}
}

// Survey asks checking servers that were not asked since Forget, and reports whether answers are missing.
func (f *Fleet) Survey(now time.Time) (waiting bool) {
	for _, s := range f.All() {
		if !s.Checks {
			continue
		}
		waiting = waiting || !s.asked || s.busy
		if !s.asked && !s.busy {
			f.ask(now, s)
		}
	}
	return waiting
}

// Begin starts to work under pair at now. A holder that renews its term keeps what it granted.
func (f *Fleet) Begin(now time.Time, pair lease.Pair, renewing bool) {
	f.pair = pair
	if !renewing {
		f.since = now
	}
	for _, s := range f.servers {
		s.Confirmed = false
		if !renewing {
			s.restart()
		}
	}
}

// Round sends each checking server what is due. Slots are granted only with authority.
func (f *Fleet) Round(now time.Time, authority bool) {
	for _, s := range f.All() {
		if !s.Checks || s.busy || (!s.urgent && now.Sub(s.sent) < lease.Interval) {
			continue
		}
		fresh := now.Sub(s.read) < readAge
		switch {
		case s.step == fencing && fresh:
			f.grant(now, s, nil, nil)
		case s.step == regular && authority && fresh:
			f.grant(now, s, s.Set, s.spans)
		default:
			f.ask(now, s)
		}
	}
}

// ask probes a server. It changes nothing there, and confirms the pair if that is the server's highest.
func (f *Fleet) ask(now time.Time, s *Server) {
	s.asked, s.probe, s.flight = true, true, nil
	f.send(now, s, grants.Grant{})
}

func (f *Fleet) grant(now time.Time, s *Server, set []grants.Range, spans []lease.Span) {
	s.probe, s.flight = false, set
	f.send(now, s, grants.Grant{
		Incarnation: s.Incarnation, Term: f.pair.Term, Epoch: f.pair.Epoch, Until: s.clock + uint64(lease.L), Slots: set,
	})
	// The server's clock showed the reading before it arrived here.
	lapse := s.read.Add(lease.Stretch(lease.L))
	f.Expose.Sent(s.Key(), s.id, spans, lapse)
	if len(set) > 0 {
		s.Lapse = lapse
	}
}

func (f *Fleet) send(now time.Time, s *Server, g grants.Grant) {
	f.ids++
	s.id, s.sent, s.busy, s.urgent = f.ids, now, true, false
	f.orders = append(f.orders, Order{Server: s.Name, ID: s.id, Addr: s.Address, Grant: g})
}

// Result is what an answer means for the pair.
type Result struct {
	Answered  bool
	Seen      lease.Pair // the server's highest
	Key       string     // its process
	Confirmed bool       // it confirmed the pair after Sent
	Sent      time.Time
}

// Answered takes a server's answer to the call with this id, or its failure, at now. Without a pair in charge only
// the state of the server is noted.
func (f *Fleet) Answered(now time.Time, name string, id uint64, r grants.Reply, err error, charge bool) Result {
	s := f.servers[name]
	if s == nil || s.id != id {
		return Result{}
	}
	s.busy = false
	if err != nil {
		if s.step == fencing {
			// The report before it is too old now.
			s.step = probing
		}
		return Result{}
	}
	f.changed = f.changed || !s.Alive || s.leaving != r.Leaving
	s.contact, s.Alive, s.leaving = now, true, r.Leaving
	f.observe(now, s, r)
	res := Result{Answered: true, Seen: lease.Pair{Term: r.Term, Epoch: r.Epoch}, Key: s.Key(), Sent: s.sent}
	switch {
	case !charge || res.Seen.Compare(f.pair) > 0:
	case s.probe:
		res.Confirmed = f.reported(s, r, res.Seen)
	case r.Accepted:
		// The answer to a grant of an earlier pair says nothing about this one.
		res.Confirmed = res.Seen == f.pair
		f.accepted(now, s, r, res.Confirmed)
	default:
		f.refused(s)
	}
	return res
}

// observe takes the clock reading, and notices a new process.
func (f *Fleet) observe(now time.Time, s *Server, r grants.Reply) {
	if s.Incarnation != 0 && s.Incarnation != r.Incarnation {
		// What the old process was granted stays counted until it lapses: a new process at the address does not
		// show that the old one has ended.
		f.Event("server-restarted", "server", s.Name, "incarnation", r.Incarnation)
		s.restart()
		f.changed = true
	}
	s.Incarnation, s.clock, s.read = r.Incarnation, r.Clock, now
}

func (f *Fleet) reported(s *Server, r grants.Reply, seen lease.Pair) (confirmed bool) {
	if s.step != probing {
		return seen == f.pair && s.Confirmed
	}
	s.Reported = make(map[uint32]uint64)
	for _, h := range r.Held {
		for i := h.First; h.Pool == s.Pool && i <= h.Last; i++ {
			s.Reported[i] = h.Token
		}
	}
	s.step, s.urgent, s.probed = fencing, true, s.sent
	s.learn, f.changed = true, true
	return false
}

func (f *Fleet) accepted(now time.Time, s *Server, r grants.Reply, confirmed bool) {
	f.Expose.Accepted(s.Key(), s.id)
	if s.step == fencing && confirmed {
		if now.Sub(s.probed) > ReportAge {
			s.Reported = nil
		}
		s.step = regular
	}
	if !s.Confirmed && confirmed {
		s.Confirmed, f.changed = true, true
		f.Expose.Known(Earlier(s.Name))
	}
	if len(r.Held) == 0 {
		s.flight = nil // expired on the way
	}
	if !slices.Equal(s.Granted, s.flight) {
		s.Granted, f.changed = s.flight, true
	}
	s.urgent = s.urgent || !slices.Equal(s.Granted, s.Set)
}

// refused handles a grant that the server rejected although pair and incarnation fit: it has seen a higher token.
func (f *Fleet) refused(s *Server) {
	f.Expose.Dropped(s.Key(), s.id)
	if s.step == regular && len(s.flight) > 0 {
		f.Event("grant-refused", "server", s.Name, "slots", len(s.flight))
		s.Stale, f.changed = true, true
	}
}

// Behind reports whether a server that answers has not confirmed the pair or not accepted its current set yet.
func (f *Fleet) Behind() bool {
	for _, s := range f.servers {
		if s.Checks && s.Alive && (!s.Confirmed || !slices.Equal(s.Set, s.Granted)) {
			return true
		}
	}
	return false
}

// Liveness notes at now which servers may be given work.
func (f *Fleet) Liveness(now time.Time) {
	for _, s := range f.All() {
		silent := s.Checks && now.Sub(s.contact) >= detect
		s.Alive = s.Alive && !silent
		// A new controller gives every server the time to answer once.
		if up := !s.failing && (!silent || now.Sub(f.since) < detect); up != s.Up {
			s.Up, f.changed = up, true
			f.Event("server", "server", s.Name, "up", up)
		}
	}
}

// Report takes a dispatcher's word on a server. For checking servers their answers to grants decide whether they are
// up, since a dispatcher may be cut off from a server that the controller reaches.
func (f *Fleet) Report(r *peerpb.ServerReport) *Server {
	s := f.servers[r.GetName()]
	if s == nil {
		return nil
	}
	failing, leaving := r.GetFailing() && !s.Checks, s.leaving || r.GetLeaving()
	f.changed = f.changed || s.failing != failing || s.leaving != leaving
	s.failing, s.leaving = failing, leaving
	return s
}

// Doubt notes that servers which have not confirmed the pair may hold any slot until the time given. With from set,
// only those count whose last grant lapses later.
func (f *Fleet) Doubt(until, from time.Time) {
	for _, s := range f.servers {
		if s.Checks && !s.Confirmed && (from.IsZero() || s.Lapse.After(from)) {
			f.Expose.Unknown(Earlier(s.Name), s.Pool, until)
		}
	}
}

// DoubtMissing notes that server processes among the witnesses ids may hold any slot, unless they are what answers
// under their name now: those confirm or are in doubt by name.
func (f *Fleet) DoubtMissing(until time.Time, t *tables.Tables, ids []string) {
	for _, id := range ids {
		n, ok := Name(id)
		s := f.servers[n]
		if !ok || (s != nil && s.Key() == id) {
			continue
		}
		for i := range t.Pools {
			if p := &t.Pools[i]; p.Keyed && (s == nil || s.Pool == p.Name) {
				f.Expose.Unknown(id, p.Name, until)
			}
		}
	}
}

// DoubtOwner notes that a recorded owner that is not in the tables any more may hold any slot of the pool.
func (f *Fleet) DoubtOwner(until time.Time, pool, owner string) {
	if owner != "" && f.servers[owner] == nil {
		f.Expose.Unknown(Earlier(owner), pool, until)
	}
}

// Expire drops reports that are too old at now to tell who holds a slot. A holder of the old pair that renews its
// term relies on it.
func (f *Fleet) Expire(now time.Time) {
	for _, s := range f.servers {
		if now.Sub(s.probed) > ReportAge {
			s.Reported = nil
		}
	}
}
