package ctrl

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
)

const (
	detect    = time.Second            // a checking server that has not answered for this long is lost
	reportAge = 500 * time.Millisecond // longest time between a server's report and its confirmation
	readAge   = 2 * lease.Interval     // a clock reading older than this is renewed before a grant
)

// step says what a server is sent next.
type step uint8

const (
	probing step = iota // ask for its incarnation, clock and holdings
	fencing             // an empty grant, which makes it refuse earlier pairs
	regular             // its whole set
)

// server is a backend server of the data centre.
type server struct {
	tables.Server
	pool string

	step        step
	asked       bool // probed during a survey
	busy        bool // a call is in flight
	urgent      bool // do not wait for the next round
	sent        time.Time
	id          uint64 // of the last call
	probe       bool   // the last call only asks
	incarnation uint64
	clock       uint64 // its last clock reading
	read        time.Time
	contact     time.Time // last answer
	alive       bool      // answered within detect
	up          bool      // may be given work
	probedAt    time.Time
	failing     bool              // by the word of its dispatcher
	leaving     bool              // by its own word or its dispatcher's
	unlisted    bool              // leaving by the list
	confirmed   bool              // refuses all pairs before the current one
	stale       bool              // refused a token as lower than one it has seen
	reported    map[uint32]uint64 // what it held, by token, just before it confirmed
	learn       bool              // reported was not compared with the fold yet
	lapse       time.Time         // of the last grant that contained slots

	set     []grants.Range // slots it may serve, sorted
	spans   []lease.Span   // the same
	flight  []grants.Range // the set of the call in flight
	granted []grants.Range // the last accepted set
}

// key names the server's process.
func (s *server) key() string { return serverID(s.Name, s.incarnation) }

// restart forgets what was true of an earlier process or under an earlier pair.
func (s *server) restart() {
	s.step, s.confirmed, s.stale, s.reported = probing, false, false, nil
	s.set, s.spans, s.granted = nil, nil, nil
	s.urgent = true
}

func (s *server) parting() bool { return s.leaving || s.unlisted || s.Leaving }

// syncServers keeps the servers of the tables in this data centre.
func (c *Core) syncServers(now time.Time) {
	if c.tables == nil || !c.dirty {
		return
	}
	named := make(map[string]bool)
	for i := range c.tables.Pools {
		p := &c.tables.Pools[i]
		for _, t := range p.Servers {
			if t.DC != c.DC {
				continue
			}
			named[t.Name] = true
			s := c.servers[t.Name]
			if s == nil || s.pool != p.Name {
				s = &server{contact: now, urgent: true}
				c.servers[t.Name] = s
			}
			s.Server, s.pool = t, p.Name
			s.unlisted = c.listLeaving(t.Name)
		}
	}
	maps.DeleteFunc(c.servers, func(n string, _ *server) bool { return !named[n] })
}

func (c *Core) listLeaving(n string) bool {
	return slices.ContainsFunc(c.list.Servers, func(s roster.Server) bool { return s.Name == n && s.Leaving })
}

// rounds sends each checking server what is due.
func (c *Core) rounds(now time.Time) {
	for _, n := range keys(c.servers) {
		s := c.servers[n]
		if !s.Checks || s.busy || (!s.urgent && now.Sub(s.sent) < lease.Interval) {
			continue
		}
		switch {
		case s.step == fencing && now.Sub(s.read) < readAge:
			c.grant(now, s, nil, nil, s.clock+uint64(lease.L))
		case s.step == regular && c.authority(now) && now.Sub(s.read) < readAge:
			c.grant(now, s, s.set, s.spans, s.clock+uint64(lease.L))
		default:
			c.probe(now, s)
		}
	}
}

// probe asks a server for its state. It changes nothing there, and confirms the pair if it is the server's highest.
func (c *Core) probe(now time.Time, s *server) {
	s.asked, s.probe, s.flight = true, true, nil
	c.send(now, s, grants.Grant{})
}

func (c *Core) grant(now time.Time, s *server, set []grants.Range, spans []lease.Span, until uint64) {
	s.probe, s.flight = false, set
	lapse := s.read.Add(lease.Stretch(lease.L))
	c.send(now, s, grants.Grant{
		Incarnation: s.incarnation, Term: c.Pair.Term, Epoch: c.Pair.Epoch, Until: until, Slots: set,
	})
	c.expose.Sent(s.key(), s.id, spans, lapse)
	if len(set) > 0 {
		s.lapse = lapse
	}
}

func (c *Core) send(now time.Time, s *server, g grants.Grant) {
	c.ids++
	s.id, s.sent, s.busy, s.urgent = c.ids, now, true, false
	c.out = append(c.out, Action{Grant: &Grant{Server: s.Name, ID: s.id, Addr: s.Address, Grant: g}})
}

// Answered takes a server's answer to the call with this id, or its failure, at now.
func (c *Core) Answered(now time.Time, n string, id uint64, r grants.Reply, err error) {
	s := c.servers[n]
	if s == nil || s.id != id {
		return
	}
	s.busy = false
	if err != nil {
		if s.step == fencing {
			s.step = probing
		}
		return
	}
	if !s.alive {
		c.dirty = true
	}
	s.contact, s.alive = now, true
	if s.leaving != r.Leaving {
		s.leaving, c.dirty = r.Leaving, true
	}
	c.observe(s, r)
	seen := lease.Pair{Term: r.Term, Epoch: r.Epoch}
	switch {
	case c.State == Survey || c.State == Idle || c.State == Claiming:
		if seen.Compare(c.high) > 0 {
			c.high = seen
		}
	case seen.Compare(c.Pair) > 0:
		c.yieldTo(now, seen, "refused by "+s.key())
	case s.probe:
		c.probed(now, s, r, seen)
	case r.Accepted:
		c.accepted(now, s, r)
	default:
		c.refused(s)
	}
}

// observe takes the clock reading, and notices a new process.
func (c *Core) observe(s *server, r grants.Reply) {
	if s.incarnation != 0 && s.incarnation != r.Incarnation {
		// What the old process was granted stays counted until it lapses: a new process at the address does not
		// show that the old one has ended.
		c.event("server-restarted", "server", s.Name, "incarnation", r.Incarnation)
		s.restart()
		c.dirty = true
	}
	s.incarnation, s.clock, s.read = r.Incarnation, r.Clock, s.contact
}

func (c *Core) probed(now time.Time, s *server, r grants.Reply, seen lease.Pair) {
	if s.step != probing {
		if seen == c.Pair && s.confirmed {
			c.confirm(now, s.sent, s.key())
		}
		return
	}
	s.reported = make(map[uint32]uint64)
	for _, h := range r.Held {
		for i := h.First; h.Pool == s.pool && i <= h.Last; i++ {
			s.reported[i] = h.Token
		}
	}
	s.step, s.urgent, s.probedAt = fencing, true, s.sent
	s.learn, c.dirty = true, true
}

func (c *Core) accepted(now time.Time, s *server, r grants.Reply) {
	c.expose.Accepted(s.key(), s.id)
	if s.step == fencing {
		if now.Sub(s.probedAt) > reportAge {
			s.reported = nil
		}
		s.step = regular
	}
	if s.step == regular && !s.confirmed {
		s.confirmed, c.dirty = true, true
		c.expose.Known(earlier(s.Name))
	}
	c.confirm(now, s.sent, s.key())
	if len(r.Held) == 0 {
		s.flight = nil // expired on the way
	}
	if !slices.Equal(s.granted, s.flight) {
		s.granted, c.dirty = s.flight, true
	}
	s.urgent = s.urgent || !slices.Equal(s.granted, s.set)
}

// refused handles a grant that the server rejected although pair and incarnation fit: it has seen a higher token.
func (c *Core) refused(s *server) {
	c.expose.Dropped(s.key(), s.id)
	if s.step == regular && len(s.flight) > 0 {
		c.event("grant-refused", "server", s.Name, "slots", len(s.flight))
		s.stale, c.dirty = true, true
	}
}

// earlier names a server's process as the holder of what earlier pairs granted.
func earlier(server string) string { return server + "/earlier" }

// down reports whether a server can be given no work at now.
func (c *Core) down(now time.Time, s *server) bool {
	if !s.Checks {
		return s.failing
	}
	return now.Sub(s.contact) >= detect && now.Sub(c.since) >= detect
}

// liveness notes servers that stopped answering.
func (c *Core) liveness(now time.Time) {
	for _, n := range keys(c.servers) {
		s := c.servers[n]
		if up := !c.down(now, s); up != s.up {
			s.up, c.dirty = up, true
			c.event("server", "server", n, "up", up)
		}
		if s.Checks && now.Sub(s.contact) >= detect {
			s.alive = false
		}
	}
}
