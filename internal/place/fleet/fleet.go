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
	lostAfter     = time.Second        // a server that checks tokens and has not answered for this long is lost
	maxReadingAge = 2 * lease.Interval // a grant needs a reading of the server's clock that is younger than this
)

// MaxReportAge is how old the report of a server may be when the server confirms the pair, and when the controller
// gains authority. Older reports don't count.
const MaxReportAge = 500 * time.Millisecond

// Call is a call to a server. Its result goes to HandleAnswer with the same id.
type Call struct {
	Server string
	ID     uint64
	Addr   netip.AddrPort
	Grant  grants.Grant
}

// Fleet holds the servers of a data centre. It is not safe for concurrent use.
type Fleet struct {
	Event    func(name string, fields ...any)
	Exposure lease.GrantTracker // servers that may still hold grants of any pair of this process

	servers   map[string]*Server
	pair      lease.Pair
	pairSince time.Time // start of the pair
	calls     []Call
	lastID    uint64
	changed   bool
}

// New returns a fleet without servers.
func New(event func(name string, fields ...any)) *Fleet {
	return &Fleet{Event: event, servers: make(map[string]*Server)}
}

// Server returns the server with this name, nil if it is not in the tables.
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
			out = append(out, s.ProcessID())
		}
	}
	return out
}

// TakeChanged reports whether anything that slots or lanes depend on changed since the last call.
func (f *Fleet) TakeChanged() bool {
	changed := f.changed
	f.changed = false
	return changed
}

// TakeCalls returns the calls to make and clears them.
func (f *Fleet) TakeCalls() []Call {
	out := f.calls
	f.calls = nil
	return out
}

// SetServers updates the servers of dc from the tables and the platform's list at now.
func (f *Fleet) SetServers(now time.Time, dc string, t *tables.Tables, l *roster.List) {
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
				s = &Server{lastAnswer: now, sendNow: true}
				f.servers[row.Name] = s
			}
			s.Server, s.Pool, s.listLeaving = row, p.Name, leaving[row.Name]
		}
	}
	maps.DeleteFunc(f.servers, func(n string, _ *Server) bool { return !named[n] })
	f.changed = true
}

// ResetSurvey makes the next survey probe all servers again.
func (f *Fleet) ResetSurvey() {
	for _, s := range f.servers {
		s.phase, s.surveyed, s.Alive = probing, false, false
	}
}

// Survey probes checking servers that were not probed since ResetSurvey, and reports whether answers are missing.
func (f *Fleet) Survey(now time.Time) (waiting bool) {
	for _, s := range f.All() {
		if !s.Checks {
			continue
		}
		waiting = waiting || !s.surveyed || s.callInFlight
		if !s.surveyed && !s.callInFlight {
			f.sendProbe(now, s)
		}
	}
	return waiting
}

// BeginPair starts to work under pair at now. A holder that renews its term keeps its grants.
func (f *Fleet) BeginPair(now time.Time, pair lease.Pair, renewing bool) {
	f.pair = pair
	if !renewing {
		f.pairSince = now
	}
	for _, s := range f.servers {
		s.Confirmed = false
		if !renewing {
			s.reset()
		}
	}
}

// SendDue prepares the call that is due to each checking server. Slots are granted only with authority.
func (f *Fleet) SendDue(now time.Time, authority bool) {
	for _, s := range f.All() {
		if !s.Checks || s.callInFlight || (!s.sendNow && now.Sub(s.sentAt) < lease.Interval) {
			continue
		}
		fresh := now.Sub(s.clockReadAt) < maxReadingAge
		switch {
		case s.phase == fencing && fresh:
			f.sendGrant(now, s, nil, nil)
		case s.phase == regular && authority && fresh:
			f.sendGrant(now, s, s.Servable, s.spans)
		default:
			f.sendProbe(now, s)
		}
	}
}

// sendProbe asks a server for its state without changing it. The answer confirms the pair only if the server had
// confirmed it before.
func (f *Fleet) sendProbe(now time.Time, s *Server) {
	s.surveyed, s.lastIsProbe, s.inFlight = true, true, nil
	f.send(now, s, grants.Grant{})
}

func (f *Fleet) sendGrant(now time.Time, s *Server, set []grants.Range, spans []lease.SlotRange) {
	s.lastIsProbe, s.inFlight = false, set
	f.send(now, s, grants.Grant{
		Incarnation: s.Incarnation, Term: f.pair.Term, Epoch: f.pair.Epoch, Until: s.lastClock + uint64(lease.Validity), Slots: set,
	})
	// The server's clock showed the reading before it arrived here.
	lapse := s.clockReadAt.Add(lease.AddDriftMargin(lease.Validity))
	f.Exposure.RecordSent(s.ProcessID(), s.callID, spans, lapse)
	if len(set) > 0 {
		s.LapsesAt = lapse
	}
}

func (f *Fleet) send(now time.Time, s *Server, g grants.Grant) {
	f.lastID++
	s.callID, s.sentAt, s.callInFlight, s.sendNow = f.lastID, now, true, false
	f.calls = append(f.calls, Call{Server: s.Name, ID: s.callID, Addr: s.Address, Grant: g})
}

// Result says what a server's answer means for the pair.
type Result struct {
	Answered    bool
	HighestPair lease.Pair // highest pair that the server has seen
	ProcessID   string     // the server's process
	Confirmed   bool       // the server confirmed the pair after SentAt
	SentAt      time.Time
}

// HandleAnswer processes the answer or failure of the call with this id at now. Unless inCharge, it updates only the
// state of the server.
func (f *Fleet) HandleAnswer(now time.Time, name string, id uint64, r grants.Reply, err error, inCharge bool) Result {
	s := f.servers[name]
	if s == nil || s.callID != id {
		return Result{}
	}
	s.callInFlight = false
	if err != nil {
		if s.phase == fencing {
			// The report is too old by now; probe again.
			s.phase = probing
		}
		return Result{}
	}
	f.changed = f.changed || !s.Alive || s.leaving != r.Leaving
	s.lastAnswer, s.Alive, s.leaving = now, true, r.Leaving
	f.observeProcess(now, s, r)
	res := Result{Answered: true, HighestPair: lease.Pair{Term: r.Term, Epoch: r.Epoch}, ProcessID: s.ProcessID(), SentAt: s.sentAt}
	switch {
	case !inCharge || res.HighestPair.Compare(f.pair) > 0:
	case s.lastIsProbe:
		res.Confirmed = f.handleReport(s, r, res.HighestPair)
	case r.Accepted:
		// The answer to a grant of an earlier pair says nothing about this one.
		res.Confirmed = res.HighestPair == f.pair
		f.handleAccepted(now, s, r, res.Confirmed)
	default:
		f.handleRefused(s)
	}
	return res
}

// observeProcess records the server's clock reading and resets the server's state if its process is new.
func (f *Fleet) observeProcess(now time.Time, s *Server, r grants.Reply) {
	if s.Incarnation != 0 && s.Incarnation != r.Incarnation {
		// The grants of the old process count until they lapse: a new process at the address does not show that the
		// old one has ended.
		f.Event("server-restarted", "server", s.Name, "incarnation", r.Incarnation)
		s.reset()
		f.changed = true
	}
	s.Incarnation, s.lastClock, s.clockReadAt = r.Incarnation, r.Clock, now
}

func (f *Fleet) handleReport(s *Server, r grants.Reply, seen lease.Pair) (confirmed bool) {
	if s.phase != probing {
		return seen == f.pair && s.Confirmed
	}
	s.ReportedSlots = make(map[uint32]uint64)
	for _, h := range r.Held {
		for i := h.First; h.Pool == s.Pool && i <= h.Last; i++ {
			s.ReportedSlots[i] = h.Token
		}
	}
	s.phase, s.sendNow, s.probedAt = fencing, true, s.sentAt
	s.reportUnread, f.changed = true, true
	return false
}

func (f *Fleet) handleAccepted(now time.Time, s *Server, r grants.Reply, confirmed bool) {
	f.Exposure.RecordAccepted(s.ProcessID(), s.callID)
	if s.phase == fencing && confirmed {
		if now.Sub(s.probedAt) > MaxReportAge {
			s.ReportedSlots = nil
		}
		s.phase = regular
	}
	if !s.Confirmed && confirmed {
		s.Confirmed, f.changed = true, true
		f.Exposure.ClearAssumed(EarlierID(s.Name))
	}
	if len(r.Held) == 0 {
		s.inFlight = nil // expired on the way
	}
	if !slices.Equal(s.Granted, s.inFlight) {
		s.Granted, f.changed = s.inFlight, true
	}
	s.sendNow = s.sendNow || !slices.Equal(s.Granted, s.Servable)
}

// handleRefused handles a grant that the server rejected because it has seen a higher token: pair and incarnation fit.
func (f *Fleet) handleRefused(s *Server) {
	f.Exposure.Remove(s.ProcessID(), s.callID)
	if s.phase == regular && len(s.inFlight) > 0 {
		f.Event("grant-refused", "server", s.Name, "slots", len(s.inFlight))
		s.TokenRefused, f.changed = true, true
	}
}

// AnyBehind reports whether a live server has not yet confirmed the pair or accepted its set.
func (f *Fleet) AnyBehind() bool {
	for _, s := range f.servers {
		if s.Checks && s.Alive && (!s.Confirmed || !slices.Equal(s.Servable, s.Granted)) {
			return true
		}
	}
	return false
}

// UpdateLiveness updates Alive and Up of all servers at now.
func (f *Fleet) UpdateLiveness(now time.Time) {
	for _, s := range f.All() {
		silent := s.Checks && now.Sub(s.lastAnswer) >= lostAfter
		s.Alive = s.Alive && !silent
		// Under a new pair every server gets the time to answer once.
		if up := !s.failing && (!silent || now.Sub(f.pairSince) < lostAfter); up != s.Up {
			s.Up, f.changed = up, true
			f.Event("server", "server", s.Name, "up", up)
		}
	}
}

// ApplyReport applies a dispatcher's report on a server, and returns the server, nil if unknown. Whether checking servers
// are up is decided by their own answers, since a dispatcher may be cut off from a server that the controller reaches.
func (f *Fleet) ApplyReport(r *peerpb.ServerReport) *Server {
	s := f.servers[r.GetName()]
	if s == nil {
		return nil
	}
	failing, leaving := r.GetFailing() && !s.Checks, s.leaving || r.GetLeaving()
	f.changed = f.changed || s.failing != failing || s.leaving != leaving
	s.failing, s.leaving = failing, leaving
	return s
}

// AssumeUnconfirmedHold records that servers that have not confirmed the pair may hold any slot until the time given. If
// from is set, this applies only to those whose last grant lapses after it.
func (f *Fleet) AssumeUnconfirmedHold(until, from time.Time) {
	for _, s := range f.servers {
		if s.Checks && !s.Confirmed && (from.IsZero() || s.LapsesAt.After(from)) {
			f.Exposure.AssumeHoldsPool(EarlierID(s.Name), s.Pool, until)
		}
	}
}

// AssumeMissingHold records that server processes among the witnesses ids may hold any slot until the time given, except
// current processes of known servers: those confirm, or AssumeUnconfirmedHold covers them.
func (f *Fleet) AssumeMissingHold(until time.Time, t *tables.Tables, ids []string) {
	for _, id := range ids {
		n, ok := ServerName(id)
		s := f.servers[n]
		if !ok || (s != nil && s.ProcessID() == id) {
			continue
		}
		for i := range t.Pools {
			if p := &t.Pools[i]; p.Keyed && (s == nil || s.Pool == p.Name) {
				f.Exposure.AssumeHoldsPool(id, p.Name, until)
			}
		}
	}
}

// AssumeOwnerHolds records that an owner that is no longer in the tables may hold any slot of the pool.
func (f *Fleet) AssumeOwnerHolds(until time.Time, pool, owner string) {
	if owner != "" && f.servers[owner] == nil {
		f.Exposure.AssumeHoldsPool(EarlierID(owner), pool, until)
	}
}

// ExpireReports drops reports that are too old at now to tell who holds a slot. A holder of the old pair that renews its
// term relies on this.
func (f *Fleet) ExpireReports(now time.Time) {
	for _, s := range f.servers {
		if now.Sub(s.probedAt) > MaxReportAge {
			s.ReportedSlots = nil
		}
	}
}
