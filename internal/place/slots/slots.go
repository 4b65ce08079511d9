// Package slots decides which server owns each slot that is homed in a data centre, and takes a slot from one server
// before it gives it to another. It reads no clock.
package slots

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fleet"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lanes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/place/writes"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	// drainMax bounds how long a planned move waits for the requests in progress at a checking server. Those that
	// are cut off by it are refused by the server as not run.
	drainMax     = 2 * time.Second
	balanceEvery = time.Second
	// renewEvery bounds the appends for a server that refuses each token.
	renewEvery = 5 * time.Second
	// unreachable is how long no instance of a data centre has answered before its slots are seized.
	unreachable = 3 * time.Second
)

// stage is the progress of a move.
type stage uint8

const (
	draining stage = iota // the dispatcher stops using the slot
	revoking              // no grant contains the slot any more
	giving                // the new assignment is being recorded
)

// move takes a slot from its owner. to is empty when the slot leaves the data centre.
type move struct {
	to    string
	why   string
	stage stage
	since time.Time
	bump  bool // same owner, higher token
	from  uint64
}

// Pool is the state of one keyed pool. The zero value is not usable; New returns one.
type Pool struct {
	cfg      *tables.Pool
	linger   time.Duration // longest route timeout
	homes    []string      // by slot
	over     map[uint32]fold.Slot
	moves    map[uint32]*move
	orphans  map[uint32]orphan
	load     map[uint32]rate
	busy     map[string]rate // requests in progress and queued, by server
	pressed  bool            // slots move by load
	append   *writes.Pending
	retry    time.Time
	balanced time.Time
	renewed  time.Time // when tokens that a server refused were last replaced
	mine     []uint32  // slots that are or should be homed here, of the last pass
	stopped  bool      // cut off from the log for longer than yield
}

// orphan is a slot that was seized and has no owner yet. The token tells one seizure from another.
type orphan struct {
	token uint64
	seen  time.Time // when first seen by this controller
}

// rate is the load of a slot as a dispatcher reported it. Only the hottest slots are reported, so that silence means
// little load.
type rate struct {
	value float64
	at    time.Time
}

const rateAge = 3 * time.Second

func (p *Pool) rate(slot uint32, now time.Time) float64 {
	if r := p.load[slot]; now.Sub(r.at) < rateAge {
		return r.value
	}
	return 0
}

const (
	// pressAt is the part of a server's concurrency slots in use from which slots move by load. Below it an uneven
	// load delays nobody, and moving a slot for it would: a move leaves the slot unserved for a fraction of a second.
	pressAt = 0.5
	// easeAt is lower, so that a load near the limit does not switch the rule to and fro.
	easeAt = 0.3
)

// press reports whether a server of the pool is so busy that slots should move by load.
func (p *Pool) press(now time.Time, servers []homes.Server) bool {
	limit := pressAt
	if p.pressed {
		limit = easeAt
	}
	p.pressed = slices.ContainsFunc(servers, func(s homes.Server) bool {
		r := p.busy[s.Name]
		return now.Sub(r.at) < rateAge && r.value > limit*s.Capacity
	})
	return p.pressed
}

// New returns the state of a pool of which nothing is known.
func New() *Pool {
	return &Pool{
		over: make(map[uint32]fold.Slot), moves: make(map[uint32]*move),
		orphans: make(map[uint32]orphan), load: make(map[uint32]rate), busy: make(map[string]rate),
	}
}

// Pass is what one pass over the pools goes by.
type Pass struct {
	Now     time.Time
	DC      string
	Pair    lease.Pair
	Cell    fold.Cell
	Place   *fold.Place
	Tables  *tables.Tables
	Lost    []string  // data centres that operators declare destroyed
	Settle  time.Time // when everything granted by earlier pairs has lapsed
	Contact time.Time // when the log itself was last asked successfully
	Fleet   *fleet.Fleet
	Lanes   *lanes.Table
	Log     *writes.Tracker
	Frozen  bool // no slot may move now
	Event   func(name string, fields ...any)
	Remote  func(dc string) time.Time
	Balance func(pool string, now time.Time, servers []homes.Server, slots []homes.Slot) []homes.Move
}

// learn takes moves that were made without the log from what a server holds.
func (c *Pass) learn(p *Pool, s *fleet.Server) {
	slots := c.Place.Slots(s.Pool)
	for i, token := range s.Learn() {
		if int(i) < len(slots) && slots[i].DC == c.DC && token > max(slots[i].Token, p.over[i].Token) {
			p.over[i] = fold.Slot{DC: c.DC, Owner: s.Name, Token: token}
		}
	}
}

// view is one pass over a pool: the slots that are or should be homed here.
type view struct {
	*Pool
	name     string
	recorded []fold.Slot // of the whole pool, empty before the first assignment
	count    int         // of slots
	mine     []uint32
	servers  []homes.Server
	last     int // index of the server looked up last
	notes    map[note]*slotList
	order    []note
}

// at returns the assignment in force: the recorded one, or a later one that is not recorded yet.
func (v *view) at(i uint32) fold.Slot {
	if len(v.over) > 0 {
		if o, ok := v.over[i]; ok {
			return o
		}
	}
	if len(v.recorded) == 0 {
		return fold.Slot{}
	}
	return v.recorded[i]
}

// look collects what is homed here, and who can own it.
func (c *Pass) look(p *Pool, t *tables.Pool) *view {
	p.cfg = t
	for i := range t.Servers {
		if s := c.Fleet.Server(t.Servers[i].Name); s != nil && s.Pool == t.Name {
			c.learn(p, s)
		}
	}
	v := &view{Pool: p, name: t.Name, notes: make(map[note]*slotList), recorded: c.Place.Slots(t.Name)}
	v.count = len(v.recorded)
	if v.count == 0 {
		v.count = int(t.Slots)
	}
	if len(p.homes) != v.count {
		p.home(c.Lost, t, v.count)
		p.linger = longest(c.Tables, t.Name)
	}
	for i, o := range p.over {
		if int(i) >= len(v.recorded) || o.Token <= v.recorded[i].Token || v.recorded[i].DC != c.DC {
			delete(p.over, i)
		}
	}
	p.mine = p.mine[:0]
	for i := range uint32(v.count) {
		dc := ""
		if len(v.recorded) > 0 {
			dc = v.recorded[i].DC
		}
		if dc == c.DC || (dc == "" && p.homes[i] == c.DC) {
			p.mine = append(p.mine, i)
		}
	}
	v.mine = p.mine
	for i := range t.Servers {
		if s := c.Fleet.Server(t.Servers[i].Name); s != nil {
			v.servers = append(v.servers, homes.Server{
				Name: s.Name, Capacity: float64(s.Slots), Up: s.Up, Leaving: s.Parting(),
			})
		}
	}
	return v
}

func (p *Pool) home(lost []string, t *tables.Pool, n int) {
	weights := homes.Weights(t, lost)
	p.homes = make([]string, n)
	for i := range p.homes {
		p.homes[i] = homes.Home(t.Name, uint32(i), weights)
	}
}

// longest returns the longest timeout of the pool's routes.
func longest(t *tables.Tables, pool string) time.Duration {
	var d time.Duration
	for i := range t.Routes {
		if t.Routes[i].Pool == pool {
			d = max(d, t.Routes[i].Timeout)
		}
	}
	return d
}

// plan brings the slots of a pool forward: decides moves, takes slots away where that is certain, records new
// owners, and sets what each server may serve.
func (c *Pass) plan(p *Pool, t *tables.Pool) {
	v := c.look(p, t)
	c.settleAppend(v)
	v.stopped = c.cutOff(v)
	if !c.Frozen {
		c.decide(v)
		c.progress(v)
		c.record(v)
		if v.append == nil && !c.Log.LogDown && c.Cell.Ready && !c.Now.Before(v.retry) {
			c.seize(t, p)
		}
	}
	c.allot(v)
	c.tellNotes(v)
}

// server returns a server of the pool. Most slots have the owner of the slot before.
func (v *view) server(n string) (homes.Server, bool) {
	if v.last < len(v.servers) && v.servers[v.last].Name == n {
		return v.servers[v.last], true
	}
	for i, s := range v.servers {
		if s.Name == n {
			v.last = i
			return s, true
		}
	}
	return homes.Server{}, false
}

// decide starts moves.
func (c *Pass) decide(v *view) {
	for i, m := range v.moves {
		s, ok := v.server(m.to)
		if m.to == "" && v.homes[i] == c.DC || m.to != "" && (!ok || !s.Up || v.at(i).DC == "" && v.homes[i] != c.DC) {
			delete(v.moves, i)
		}
	}
	c.leaveHome(v)
	c.renewTokens(v)
	if slices.ContainsFunc(v.mine, func(i uint32) bool { return c.keeper(v, i) == "" }) {
		for _, mv := range homes.AssignUnowned(v.servers, c.shares(v)) {
			i := v.mine[mv.Slot]
			if v.moves[i] == nil && c.vacant(v, i) {
				c.start(v, i, mv.To)
			}
		}
		return
	}
	if c.Balance == nil || c.Now.Sub(v.balanced) < balanceEvery || len(v.moves) > 0 {
		return
	}
	v.balanced = c.Now
	shares := c.shares(v)
	if !v.press(c.Now, v.servers) {
		for k := range shares {
			shares[k].Load = 0
		}
	}
	for _, mv := range c.Balance(v.name, c.Now, v.servers, shares) {
		if int(mv.Slot) >= len(v.mine) {
			continue
		}
		i := v.mine[mv.Slot]
		if s, ok := v.server(mv.To); ok && s.Up && !s.Leaving && v.moves[i] == nil && v.at(i).Owner != mv.To {
			v.moves[i] = &move{to: mv.To, why: "balance", since: c.Now, from: v.at(i).Token}
		}
	}
	c.tell(v)
}

// shares returns the slots as the balancer sees them.
func (c *Pass) shares(v *view) []homes.Slot {
	list := make([]homes.Slot, len(v.mine))
	for k, i := range v.mine {
		list[k] = homes.Slot{Owner: c.keeper(v, i), Load: v.rate(i, c.Now)}
	}
	return list
}

// noServer stands for the owner of a slot that has none and is to get none.
const noServer = "-"

// keeper returns the server that owns a slot or is about to, "" if it has to be given to another.
func (c *Pass) keeper(v *view, i uint32) string {
	if m := v.moves[i]; m != nil {
		return cmp.Or(m.to, v.at(i).Owner, noServer)
	}
	if s, ok := v.server(v.at(i).Owner); ok && s.Up && !s.Leaving {
		return s.Name
	}
	return ""
}

// vacant reports whether a slot without a usable owner may be given to another now.
func (c *Pass) vacant(v *view, i uint32) bool {
	s := v.at(i)
	if s.DC == "" {
		return !c.Log.LogDown || v.append == nil
	}
	if s.Owner != "" {
		return true
	}
	o, ok := v.orphans[i]
	if !ok || o.token != s.Token {
		v.orphans[i] = orphan{token: s.Token, seen: c.Now}
		return false
	}
	return c.Now.Sub(o.seen) >= c.seizeWait(v)
}

// start begins to move a slot whose owner is missing, lost or leaving.
func (c *Pass) start(v *view, i uint32, to string) {
	m := &move{to: to, since: c.Now, stage: giving, from: v.at(i).Token}
	s, known := v.server(v.at(i).Owner)
	switch {
	case v.at(i).Owner == "":
		m.why = "adopt"
	case !known:
		m.why = "removed"
	case !s.Up:
		m.why = "lost"
	default:
		m.why, m.stage = "leaving", draining
	}
	v.moves[i] = m
	c.note(v, m.why, v.at(i).Owner, to, i)
}

// note is a decision about slots.
type note struct {
	why, from, to string
}

// note collects decisions, so that the log has one line for many slots moved for one reason.
func (c *Pass) note(v *view, why, from, to string, i uint32) {
	n := note{why, from, to}
	if v.notes[n] == nil {
		v.notes[n] = &slotList{}
		v.order = append(v.order, n)
	}
	v.notes[n].add(i)
}

func (c *Pass) tellNotes(v *view) {
	for _, n := range v.order {
		c.Event("move", "pool", v.name, "why", n.why, "from", n.from, "to", n.to, "slots", v.notes[n])
	}
}

// slotList prints as ranges.
type slotList struct{ runs [][2]uint32 }

func (l *slotList) add(i uint32) {
	if n := len(l.runs); n > 0 && l.runs[n-1][1]+1 == i {
		l.runs[n-1][1] = i
		return
	}
	l.runs = append(l.runs, [2]uint32{i, i})
}

// String returns ranges separated by commas, for example "3,7-9".
func (l *slotList) String() string {
	var parts []string
	for _, r := range l.runs {
		s := strconv.Itoa(int(r[0]))
		if r[1] != r[0] {
			s += "-" + strconv.Itoa(int(r[1]))
		}
		parts = append(parts, s)
	}
	return strings.Join(parts, ",")
}

// tell logs the moves that the balancer just started.
func (c *Pass) tell(v *view) {
	for _, i := range slices.Sorted(maps.Keys(v.moves)) {
		if m := v.moves[i]; m.why == "balance" && m.since.Equal(c.Now) {
			c.note(v, m.why, v.at(i).Owner, m.to, i)
		}
	}
}

// leaveHome starts to drain slots whose home is another data centre now. That needs the log: without it
// they would be neither here nor there, so that those already drained are served here again.
func (c *Pass) leaveHome(v *view) {
	if c.Log.LogDown {
		maps.DeleteFunc(v.moves, func(_ uint32, m *move) bool { return m.to == "" })
		return
	}
	for _, i := range v.mine {
		s := v.at(i)
		if s.DC == c.DC && v.homes[i] != c.DC && v.homes[i] != "" && v.moves[i] == nil && c.reachable(v.homes[i]) {
			v.moves[i] = &move{why: "home", since: c.Now, from: s.Token}
			c.note(v, "home", s.Owner, v.homes[i], i)
		}
	}
}

// reachable reports whether another data centre answers. Slots seized from one that does not stay here until it does.
func (c *Pass) reachable(dc string) bool {
	return c.Remote == nil || c.Now.Sub(c.Remote(dc)) < unreachable
}

// renewTokens gives the slots of a server that has seen higher tokens to the same server with new ones. A refusal
// doesn't say which token it was.
func (c *Pass) renewTokens(v *view) {
	if c.Now.Sub(v.renewed) < renewEvery ||
		!slices.ContainsFunc(v.servers, func(s homes.Server) bool { return c.Fleet.Server(s.Name).Stale }) {
		return
	}
	v.renewed = c.Now
	for _, i := range v.mine {
		cur := v.at(i)
		s := c.Fleet.Server(cur.Owner)
		if s == nil || !s.Stale || v.moves[i] != nil || !fleet.Has(s.Set, i, cur.Token) {
			continue
		}
		v.moves[i] = &move{to: cur.Owner, why: "token", since: c.Now, stage: giving, bump: true, from: cur.Token}
		c.note(v, "token", cur.Owner, cur.Owner, i)
	}
	for _, sv := range v.servers {
		c.Fleet.Server(sv.Name).Stale = false
	}
}

// progress takes slots away from their owners.
func (c *Pass) progress(v *view) {
	for i, m := range v.moves {
		s := v.at(i)
		if (m.to == "" && s.DC != c.DC) || (m.to != "" && s.Owner == m.to && s.DC == c.DC && (!m.bump || s.Token > m.from)) {
			delete(v.moves, i)
			delete(v.orphans, i)
			continue
		}
		owner := c.Fleet.Server(s.Owner)
		if m.stage == draining && (owner == nil || !owner.Up || c.Lanes.Clear(c.Now, lane(v.name, s.Owner), i) ||
			(owner.Checks && c.Now.Sub(m.since) >= drainMax)) {
			m.stage = revoking
		}
		if m.stage == revoking && c.free(v, i, "") && (m.to != "" || !c.Now.Before(c.Settle)) {
			m.stage = giving
		}
	}
}

// lane names the lane of a server of a keyed pool.
func lane(pool, server string) string { return pool + "/" + server }

// free reports whether at Now nobody but server may serve the slot.
func (c *Pass) free(v *view, i uint32, server string) bool {
	key := ""
	if s := c.Fleet.Server(server); s != nil && s.Checks {
		key = s.Key()
	}
	return c.Fleet.Expose.Free(v.name, i, key, c.Now) && c.Lanes.Unused(c.Now, v.name, lane(v.name, server), i)
}

// settled reports whether a slot may be granted although earlier pairs may still have granted it: they gave it to
// this very server, by the server's own word after which nobody else could get it.
func (c *Pass) settled(v *view, i uint32, s *fleet.Server, token uint64) bool {
	if !s.Checks {
		return !c.Now.Before(c.Settle.Add(v.linger))
	}
	return !c.Now.Before(c.Settle) || s.Reported[i] == token
}

// allot sets what each server may serve.
func (c *Pass) allot(v *view) {
	sets := make(map[string][]grants.Range)
	var s *fleet.Server
	for _, i := range v.mine {
		cur := v.at(i)
		if cur.DC != c.DC || cur.Owner == "" || v.stopped {
			continue
		}
		if m := v.moves[i]; m != nil && m.stage != draining {
			continue
		}
		if s == nil || s.Name != cur.Owner {
			s = c.Fleet.Server(cur.Owner)
		}
		if s == nil || s.Pool != v.name || (s.Checks && !s.Clean()) {
			continue
		}
		if fleet.Has(s.Set, i, cur.Token) || (c.settled(v, i, s, cur.Token) && c.free(v, i, s.Name)) {
			sets[s.Name] = extend(sets[s.Name], v.name, i, cur.Token)
		}
	}
	for _, sv := range v.servers {
		c.Fleet.Server(sv.Name).Allot(sets[sv.Name])
	}
}

func extend(set []grants.Range, pool string, i uint32, token uint64) []grants.Range {
	if n := len(set); n > 0 && set[n-1].Last+1 == i && set[n-1].Token == token {
		set[n-1].Last = i
		return set
	}
	return append(set, grants.Range{Pool: pool, First: i, Last: i, Token: token})
}

// settleAppend ends the append in flight when its effect is known, or when waiting longer is useless.
func (c *Pass) settleAppend(v *view) {
	if v.append == nil {
		return
	}
	done, late := c.Log.Outcome(c.Now, v.append, c.Place.Offset())
	if !done {
		return
	}
	v.append = nil
	if late {
		v.retry = c.Now.Add(writes.RetryInterval)
	}
}

// record appends the moves whose slot is taken away. While the log does not answer they take effect without it.
func (c *Pass) record(v *view) {
	if c.Log.LogDown {
		c.override(v)
	}
	if v.append != nil || c.Now.Before(v.retry) || !c.Cell.Ready || c.Cell.Term != c.Pair.Term {
		return
	}
	if c.releaseHomes(v) {
		return
	}
	var changes []*record.Change
	add := func(i uint32, owner string, token uint64) {
		if n := len(changes); n > 0 && changes[n-1].Last+1 == i && changes[n-1].Owner == owner && changes[n-1].Token == token {
			changes[n-1].Last = i
			return
		}
		changes = append(changes, &record.Change{First: i, Last: i, Owner: owner, Token: token})
	}
	for _, i := range v.mine {
		if m := v.moves[i]; m != nil && m.stage == giving && m.to != "" {
			add(i, m.to, 0)
		} else if o, ok := v.over[i]; ok {
			add(i, o.Owner, o.Token)
		}
	}
	yield := v.cfg.Yield
	if len(changes) == 0 && (yield == c.Place.Yield(v.name, c.DC) || c.Place.Version(v.name, c.DC) == 0) {
		return
	}
	v.append = c.Log.Append(c.Now, &record.Record{Kind: &record.Record_Assign{Assign: &record.Assign{
		Dc: c.DC, Pool: v.name, Term: c.Cell.Term, Base: c.Place.Version(v.name, c.DC), Changes: changes,
		Slots: uint32(v.count), Yield: yield.Milliseconds(),
	}}})
}

// releaseHomes gives up the home of slots that nobody serves any more, and reports whether it appended.
func (c *Pass) releaseHomes(v *view) bool {
	var slots []uint32
	for _, i := range v.mine {
		if m := v.moves[i]; m != nil && m.to == "" && m.stage == giving {
			slots = append(slots, i)
		}
	}
	if len(slots) == 0 {
		return false
	}
	v.append = c.Log.Append(c.Now, &record.Record{Kind: &record.Record_Release{Release: &record.Release{
		Dc: c.DC, Pool: v.name, Term: c.Cell.Term, Base: c.Place.Version(v.name, c.DC), Slots: slots,
	}}})
	return true
}

// override moves slots without the log.
func (c *Pass) override(v *view) {
	for _, i := range slices.Sorted(maps.Keys(v.moves)) {
		m, s := v.moves[i], v.at(i)
		if m.stage != giving || m.to == "" || s.DC != c.DC {
			continue
		}
		token, ok := lease.Next(s.Token, c.Pair)
		if !ok {
			continue
		}
		v.over[i] = fold.Slot{DC: c.DC, Owner: m.to, Token: token}
		delete(v.moves, i)
		delete(v.orphans, i)
		c.note(v, "unlogged", s.Owner, m.to, i)
	}
}
