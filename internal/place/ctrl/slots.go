package ctrl

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	// drainMax bounds how long a planned move waits for the requests in progress at a checking server. Those that
	// are cut off by it are refused by the server as not run.
	drainMax     = 2 * time.Second
	balanceEvery = time.Second
	retryEvery   = time.Second // between appends while the log does not answer
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

// pool is the state of one keyed pool.
type pool struct {
	cfg      *tables.Pool
	linger   time.Duration // longest route timeout
	homes    []string      // by slot
	over     map[uint32]fold.Slot
	moves    map[uint32]*move
	orphans  map[uint32]time.Time // slots seized without an owner yet, and when first seen
	load     map[uint32]float64
	append   *pending
	retry    time.Time
	balanced time.Time
	stopped  bool // cut off from the log for longer than yield
}

// pool returns the state of a pool.
func (c *Core) pool(n string) *pool {
	p := c.pools[n]
	if p == nil {
		p = &pool{
			over: make(map[uint32]fold.Slot), moves: make(map[uint32]*move),
			orphans: make(map[uint32]time.Time), load: make(map[uint32]float64),
		}
		c.pools[n] = p
	}
	return p
}

// learn takes moves that were made without the log from what a server holds.
func (c *Core) learn(s *server) {
	s.learn = false
	p := c.pool(s.pool)
	slots := c.place.Slots(s.pool)
	for i, token := range s.reported {
		if int(i) < len(slots) && slots[i].DC == c.DC && token > max(slots[i].Token, p.over[i].Token) {
			p.over[i] = fold.Slot{DC: c.DC, Owner: s.Name, Token: token}
			c.dirty = true
		}
	}
}

// slot returns the assignment in force: the recorded one, or a later one that is not recorded yet.
func (p *pool) slot(i uint32, recorded fold.Slot) fold.Slot {
	if o, ok := p.over[i]; ok && o.Token > recorded.Token && recorded.DC == o.DC {
		return o
	}
	return recorded
}

// view is one pass over a pool: the slots that are or should be homed here.
type view struct {
	*pool
	name    string
	slots   []fold.Slot // of the whole pool, in force
	mine    []uint32
	servers []homes.Server
}

// look collects what is homed here, and who can own it.
func (c *Core) look(t *tables.Pool) *view {
	p := c.pool(t.Name)
	p.cfg = t
	for _, n := range keys(c.servers) {
		if s := c.servers[n]; s.learn && s.pool == t.Name {
			c.learn(s)
		}
	}
	recorded := c.place.Slots(t.Name)
	v := &view{pool: p, name: t.Name, slots: make([]fold.Slot, max(len(recorded), int(t.Slots)))}
	if len(recorded) > 0 {
		v.slots = v.slots[:len(recorded)]
	}
	if len(p.homes) != len(v.slots) {
		p.home(c.lost, t, len(v.slots))
		p.linger = longest(c.tables, t.Name)
	}
	for i := range v.slots {
		if i < len(recorded) {
			v.slots[i] = p.slot(uint32(i), recorded[i])
			if o, ok := p.over[uint32(i)]; ok && (o.Token <= recorded[i].Token || recorded[i].DC != c.DC) {
				delete(p.over, uint32(i))
			}
		}
		if dc := v.slots[i].DC; dc == c.DC || (dc == "" && p.homes[i] == c.DC) {
			v.mine = append(v.mine, uint32(i))
		}
	}
	for i := range t.Servers {
		if s := c.servers[t.Servers[i].Name]; s != nil {
			v.servers = append(v.servers, homes.Server{
				Name: s.Name, Capacity: float64(s.Slots), Up: s.up, Leaving: s.parting(),
			})
		}
	}
	return v
}

func (p *pool) home(lost []string, t *tables.Pool, n int) {
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
func (c *Core) plan(now time.Time, t *tables.Pool) {
	v := c.look(t)
	c.settleAppend(now, v)
	v.stopped = c.cutOff(now, v)
	if !c.superseded() {
		c.decide(now, v)
		c.progress(now, v)
		c.record(now, v)
	}
	c.allot(now, v)
}

// superseded reports whether a later term of another holder is in the log: this one then only renews grants.
func (c *Core) superseded() bool { return c.cell.Term > c.Pair.Term }

func (v *view) server(n string) (homes.Server, bool) {
	for _, s := range v.servers {
		if s.Name == n {
			return s, true
		}
	}
	return homes.Server{}, false
}

// decide starts moves.
func (c *Core) decide(now time.Time, v *view) {
	for i, m := range v.moves {
		s, ok := v.server(m.to)
		if m.to != "" && (!ok || !s.Up || v.slots[i].DC == "" && v.homes[i] != c.DC) {
			delete(v.moves, i)
		}
	}
	c.leaveHome(now, v)
	list := make([]homes.Slot, len(v.mine))
	var idle int
	for k, i := range v.mine {
		list[k] = homes.Slot{Owner: c.keeper(v, i), Load: v.load[i]}
		if list[k].Owner == "" {
			idle++
		}
	}
	if idle > 0 {
		for _, mv := range homes.Spread(v.servers, list) {
			i := v.mine[mv.Slot]
			if v.moves[i] == nil && c.vacant(now, v, i) {
				c.start(now, v, i, mv.To)
			}
		}
	}
	if c.Balance == nil || now.Sub(v.balanced) < balanceEvery || idle > 0 || len(v.moves) > 0 {
		return
	}
	v.balanced = now
	for _, mv := range c.Balance(v.name, now, v.servers, list) {
		i := v.mine[mv.Slot]
		if s, ok := v.server(mv.To); ok && s.Up && !s.Leaving && v.moves[i] == nil && v.slots[i].Owner != mv.To {
			v.moves[i] = &move{to: mv.To, why: "balance", since: now, from: v.slots[i].Token}
		}
	}
	c.tell(v, now)
}

// keeper returns the server that owns a slot or is about to, "" if it has to be given to another.
func (c *Core) keeper(v *view, i uint32) string {
	if m := v.moves[i]; m != nil {
		if m.to == "" {
			return "-"
		}
		return m.to
	}
	if s, ok := v.server(v.slots[i].Owner); ok && s.Up && !s.Leaving {
		return s.Name
	}
	return ""
}

// vacant reports whether a slot without a usable owner may be given to another now.
func (c *Core) vacant(now time.Time, v *view, i uint32) bool {
	s := v.slots[i]
	if s.DC == "" {
		return !c.logdown || v.append == nil
	}
	if s.Owner != "" {
		return true
	}
	first, ok := v.orphans[i]
	if !ok {
		v.orphans[i] = now
		return false
	}
	return now.Sub(first) >= c.seizeWait(v.name)
}

// start begins to move a slot whose owner is missing, lost or leaving.
func (c *Core) start(now time.Time, v *view, i uint32, to string) {
	m := &move{to: to, since: now, stage: giving, from: v.slots[i].Token}
	s, known := v.server(v.slots[i].Owner)
	switch {
	case v.slots[i].Owner == "":
		m.why = "adopt"
	case !known:
		m.why = "removed"
	case !s.Up:
		m.why = "lost"
	default:
		m.why, m.stage = "leaving", draining
	}
	v.moves[i] = m
	c.note(v, m.why, v.slots[i].Owner, to, i)
}

// note collects decisions, so that the log has one line for many slots moved for one reason.
func (c *Core) note(v *view, why, from, to string, i uint32) {
	for k := len(c.out) - 1; k >= 0; k-- {
		e := c.out[k].Event
		if e != nil && e.Name == "move" && e.Fields[1] == v.name && e.Fields[3] == why && e.Fields[5] == from && e.Fields[7] == to {
			list := e.Fields[9].(*slotList)
			list.add(i)
			return
		}
	}
	list := &slotList{}
	list.add(i)
	c.event("move", "pool", v.name, "why", why, "from", from, "to", to, "slots", list)
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
func (c *Core) tell(v *view, now time.Time) {
	for _, i := range slices.Sorted(maps.Keys(v.moves)) {
		if m := v.moves[i]; m.why == "balance" && m.since.Equal(now) {
			c.note(v, m.why, v.slots[i].Owner, m.to, i)
		}
	}
}

// leaveHome starts to drain slots whose home is another data centre now. That needs the log.
func (c *Core) leaveHome(now time.Time, v *view) {
	if c.logdown {
		return
	}
	for _, i := range v.mine {
		s := v.slots[i]
		if s.DC == c.DC && v.homes[i] != c.DC && v.homes[i] != "" && v.moves[i] == nil {
			v.moves[i] = &move{why: "home", since: now, from: s.Token}
			c.note(v, "home", s.Owner, v.homes[i], i)
		}
	}
}

// progress takes slots away from their owners.
func (c *Core) progress(now time.Time, v *view) {
	for i, m := range v.moves {
		s := v.slots[i]
		if (m.to == "" && s.DC != c.DC) || (m.to != "" && s.Owner == m.to && s.DC == c.DC && (!m.bump || s.Token > m.from)) {
			delete(v.moves, i)
			delete(v.orphans, i)
			continue
		}
		owner := c.servers[s.Owner]
		if m.stage == draining && (owner == nil || c.table.Clear(now, lane(v.name, s.Owner), i) ||
			(owner.Checks && now.Sub(m.since) >= drainMax)) {
			m.stage = revoking
		}
		if m.stage == revoking && c.free(now, v, i, "") && (m.to != "" || !now.Before(c.settle)) {
			m.stage = giving
		}
	}
}

// lane names the lane of a server of a keyed pool.
func lane(pool, server string) string { return pool + "/" + server }

// free reports whether at now nobody but server may serve the slot.
func (c *Core) free(now time.Time, v *view, i uint32, server string) bool {
	key := ""
	if s := c.servers[server]; s != nil && s.Checks {
		key = s.key()
	}
	return c.expose.Free(v.name, i, key, now) && c.table.Unused(now, v.name, lane(v.name, server), i)
}

// settled reports whether a slot may be granted although earlier pairs may still have granted it: they gave it to
// this very server, by the server's own word after which nobody else could get it.
func (c *Core) settled(now time.Time, v *view, i uint32, s *server, token uint64) bool {
	if !s.Checks {
		return !now.Before(c.settle.Add(v.linger))
	}
	return !now.Before(c.settle) || s.reported[i] == token
}

// allot sets what each server may serve.
func (c *Core) allot(now time.Time, v *view) {
	sets := make(map[string][]grants.Range)
	for _, i := range v.mine {
		cur := v.slots[i]
		if cur.DC != c.DC || cur.Owner == "" || v.stopped {
			continue
		}
		if m := v.moves[i]; m != nil && m.stage != draining {
			continue
		}
		s := c.servers[cur.Owner]
		if s == nil || s.pool != v.name || (s.Checks && !s.confirmed) {
			continue
		}
		if has(s.set, i, cur.Token) || (c.settled(now, v, i, s, cur.Token) && c.free(now, v, i, s.Name)) {
			sets[s.Name] = extend(sets[s.Name], v.name, i, cur.Token)
		}
	}
	for _, sv := range v.servers {
		s := c.servers[sv.Name]
		if set := sets[s.Name]; !slices.Equal(set, s.set) {
			s.set, s.urgent = set, true
			s.spans = make([]lease.Span, len(set))
			for k, r := range set {
				s.spans[k] = lease.Span{Pool: r.Pool, First: r.First, Last: r.Last}
			}
		}
	}
}

func extend(set []grants.Range, pool string, i uint32, token uint64) []grants.Range {
	if n := len(set); n > 0 && set[n-1].Last+1 == i && set[n-1].Token == token {
		set[n-1].Last = i
		return set
	}
	return append(set, grants.Range{Pool: pool, First: i, Last: i, Token: token})
}

func has(set []grants.Range, i uint32, token uint64) bool {
	k, found := slices.BinarySearchFunc(set, i, func(r grants.Range, s uint32) int { return cmp.Compare(r.First, s) })
	if !found {
		k--
	}
	return k >= 0 && set[k].Last >= i && set[k].Token == token
}

// settleAppend ends the append in flight when its effect is known, or when waiting longer is useless.
func (c *Core) settleAppend(now time.Time, v *view) {
	if v.append == nil {
		return
	}
	done, late := v.append.over(now, c.place.Offset())
	if !done {
		return
	}
	v.append = nil
	c.logState(late)
	if late {
		v.retry = now.Add(retryEvery)
	}
}

func (c *Core) logState(down bool) {
	if down != c.logdown {
		c.logdown, c.LogDown = down, down
		c.event("log", "down", down)
	}
}

// record appends the moves whose slot is taken away. While the log does not answer they take effect without it.
func (c *Core) record(now time.Time, v *view) {
	if c.logdown {
		c.override(v)
	}
	if v.append != nil || now.Before(v.retry) || !c.cell.Ready || c.cell.Term != c.Pair.Term {
		return
	}
	if c.releaseHomes(now, v) {
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
	if len(changes) == 0 && (yield == c.place.Yield(v.name, c.DC) || c.place.Version(v.name, c.DC) == 0) {
		return
	}
	v.append = c.append(now, &record.Record{Kind: &record.Record_Assign{Assign: &record.Assign{
		Dc: c.DC, Pool: v.name, Term: c.cell.Term, Base: c.place.Version(v.name, c.DC), Changes: changes,
		Slots: uint32(len(v.slots)), Yield: yield.Milliseconds(),
	}}})
}

// releaseHomes gives up the home of slots that nobody serves any more, and reports whether it appended.
func (c *Core) releaseHomes(now time.Time, v *view) bool {
	var slots []uint32
	for _, i := range v.mine {
		if m := v.moves[i]; m != nil && m.to == "" && m.stage == giving {
			slots = append(slots, i)
		}
	}
	if len(slots) == 0 {
		return false
	}
	v.append = c.append(now, &record.Record{Kind: &record.Record_Release{Release: &record.Release{
		Dc: c.DC, Pool: v.name, Term: c.cell.Term, Base: c.place.Version(v.name, c.DC), Slots: slots,
	}}})
	return true
}

// override moves slots without the log.
func (c *Core) override(v *view) {
	for i, m := range v.moves {
		s := v.slots[i]
		if m.stage != giving || m.to == "" || s.DC != c.DC {
			continue
		}
		token, ok := lease.Next(s.Token, c.Pair)
		if !ok {
			continue
		}
		v.over[i] = fold.Slot{DC: c.DC, Owner: m.to, Token: token}
		v.slots[i] = v.over[i]
		delete(v.moves, i)
		delete(v.orphans, i)
		c.note(v, "unlogged", s.Owner, m.to, i)
		c.dirty = true
	}
}
