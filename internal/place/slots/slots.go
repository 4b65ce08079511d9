// Package slots decides which server owns each slot that is homed in a data centre. It gives a slot to another server
// only after the old one can no longer serve it. It reads no clock.
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
	// maxDrain bounds how long a planned move waits for the requests in progress at a server that checks tokens.
	// The server refuses those that this cuts off as not run.
	maxDrain        = 2 * time.Second
	balanceInterval = time.Second
	// tokenRenewInterval limits the appends that are caused by a server that refuses each token.
	tokenRenewInterval = 5 * time.Second
	// unreachableAfter is how long no instance of a data centre must have answered before its slots are seized.
	unreachableAfter = 3 * time.Second
)

// stage is the progress of a move.
type stage uint8

const (
	draining  stage = iota // the dispatcher stops using the slot
	revoking               // new grants leave the slot out; earlier ones may still be valid
	assigning              // the new assignment is being recorded
)

// move is a move of a slot from its owner to another server. to is empty if the slot leaves the data centre.
type move struct {
	to         string
	reason     string
	stage      stage
	startedAt  time.Time
	renewToken bool // same owner, higher token
	oldToken   uint64
}

// Pool is the state of one keyed pool. The zero value is not usable; NewPool returns one.
type Pool struct {
	cfg              *tables.Pool
	longestTimeout   time.Duration // longest route timeout
	homes            []string      // by slot
	unlogged         map[uint32]fold.Slot
	moves            map[uint32]*move
	ownerless        map[uint32]ownerlessSlot
	slotLoads        map[uint32]loadReport
	serverLoads      map[string]loadReport // requests in progress and queued, by server
	loadHigh         bool                  // a server is so busy that slots move by load
	pendingAppend    *writes.Pending
	retryAt          time.Time
	lastBalance      time.Time
	lastTokenRenewal time.Time // when tokens that a server refused were last replaced
	localSlots       []uint32  // slots that were or should have been homed here at the last pass
	stopped          bool      // no contact with the log for longer than the declared yield time
}

// ownerlessSlot is a seized slot that has no owner yet. The token distinguishes seizures.
type ownerlessSlot struct {
	token     uint64
	firstSeen time.Time // when first seen by this controller
}

// loadReport is the load of a slot or server as a dispatcher reported it. Only the slots with the highest load are
// reported; others count as without load.
type loadReport struct {
	value      float64
	reportedAt time.Time
}

const maxLoadAge = 3 * time.Second

func (p *Pool) slotLoad(slot uint32, now time.Time) float64 {
	if r := p.slotLoads[slot]; now.Sub(r.reportedAt) < maxLoadAge {
		return r.value
	}
	return 0
}

const (
	// balanceStartPart is the part of a server's concurrency slots above which slots move by load. Below it uneven load
	// delays no request, but a move does: the slot is not served for a fraction of a second.
	balanceStartPart = 0.5
	// balanceStopPart is lower, so that a load near the limit does not keep starting and stopping the moves.
	balanceStopPart = 0.3
)

// updateLoadHigh sets and returns loadHigh: whether a server of the pool is so busy that slots should move by load.
func (p *Pool) updateLoadHigh(now time.Time, servers []homes.Server) bool {
	limit := balanceStartPart
	if p.loadHigh {
		limit = balanceStopPart
	}
	p.loadHigh = slices.ContainsFunc(servers, func(s homes.Server) bool {
		r := p.serverLoads[s.Name]
		return now.Sub(r.reportedAt) < maxLoadAge && r.value > limit*s.Capacity
	})
	return p.loadHigh
}

// NewPool returns the state of a pool without moves or load reports.
func NewPool() *Pool {
	return &Pool{
		unlogged: make(map[uint32]fold.Slot), moves: make(map[uint32]*move),
		ownerless: make(map[uint32]ownerlessSlot), slotLoads: make(map[uint32]loadReport), serverLoads: make(map[string]loadReport),
	}
}

// Pass is the input of one pass over the pools.
type Pass struct {
	Now           time.Time
	DC            string
	Pair          lease.Pair
	Cell          fold.Cell
	Placement     *fold.Placement
	Tables        *tables.Tables
	LostDCs       []string  // data centres that operators declare destroyed
	EarlierLapsed time.Time // when everything granted by earlier pairs has lapsed
	LogContact    time.Time // when the log itself was last asked successfully
	Fleet         *fleet.Fleet
	Lanes         *lanes.Table
	Log           *writes.Tracker
	Frozen        bool // no slot may move now
	Event         func(name string, fields ...any)
	RemoteContact func(dc string) time.Time
	Balance       func(pool string, now time.Time, servers []homes.Server, slots []homes.Slot) []homes.Move
}

// learnUnlogged adds moves that were made without the log, as seen in the slots that a server reported to hold.
func (c *Pass) learnUnlogged(p *Pool, s *fleet.Server) {
	slots := c.Placement.Slots(s.Pool)
	for i, token := range s.TakeReport() {
		if int(i) < len(slots) && slots[i].DC == c.DC && token > max(slots[i].Token, p.unlogged[i].Token) {
			p.unlogged[i] = fold.Slot{DC: c.DC, Owner: s.Name, Token: token}
		}
	}
}

// poolView is the state of one pass over a pool.
type poolView struct {
	*Pool
	poolName   string
	recorded   []fold.Slot // of the whole pool, empty before the first assignment
	slotCount  int         // of slots
	localSlots []uint32
	servers    []homes.Server
	lastServer int // index of the server looked up last
	movesToLog map[moveGroup]*slotList
	logOrder   []moveGroup
}

// assignment returns the assignment in force: the recorded one, or a later one that is not in the log yet.
func (v *poolView) assignment(i uint32) fold.Slot {
	if len(v.unlogged) > 0 {
		if o, ok := v.unlogged[i]; ok {
			return o
		}
	}
	if len(v.recorded) == 0 {
		return fold.Slot{}
	}
	return v.recorded[i]
}

// newPoolView collects the local slots and the servers that may own them.
func (c *Pass) newPoolView(p *Pool, t *tables.Pool) *poolView {
	p.cfg = t
	for i := range t.Servers {
		if s := c.Fleet.Server(t.Servers[i].Name); s != nil && s.Pool == t.Name {
			c.learnUnlogged(p, s)
		}
	}
	v := &poolView{Pool: p, poolName: t.Name, movesToLog: make(map[moveGroup]*slotList), recorded: c.Placement.Slots(t.Name)}
	v.slotCount = len(v.recorded)
	if v.slotCount == 0 {
		v.slotCount = int(t.Slots)
	}
	if len(p.homes) != v.slotCount {
		p.computeHomes(c.LostDCs, t, v.slotCount)
		p.longestTimeout = longestTimeout(c.Tables, t.Name)
	}
	for i, o := range p.unlogged {
		if int(i) >= len(v.recorded) || o.Token <= v.recorded[i].Token || v.recorded[i].DC != c.DC {
			delete(p.unlogged, i)
		}
	}
	p.localSlots = p.localSlots[:0]
	for i := range uint32(v.slotCount) {
		dc := ""
		if len(v.recorded) > 0 {
			dc = v.recorded[i].DC
		}
		if dc == c.DC || (dc == "" && p.homes[i] == c.DC) {
			p.localSlots = append(p.localSlots, i)
		}
	}
	v.localSlots = p.localSlots
	for i := range t.Servers {
		if s := c.Fleet.Server(t.Servers[i].Name); s != nil {
			v.servers = append(v.servers, homes.Server{
				Name: s.Name, Capacity: float64(s.Slots), Up: s.Up, Leaving: s.IsLeaving(),
			})
		}
	}
	return v
}

func (p *Pool) computeHomes(lost []string, t *tables.Pool, n int) {
	weights := homes.Weights(t, lost)
	p.homes = make([]string, n)
	for i := range p.homes {
		p.homes[i] = homes.Home(t.Name, uint32(i), weights)
	}
}

// longestTimeout returns the longest timeout of the pool's routes.
func longestTimeout(t *tables.Tables, pool string) time.Duration {
	var d time.Duration
	for i := range t.Routes {
		if t.Routes[i].Pool == pool {
			d = max(d, t.Routes[i].Timeout)
		}
	}
	return d
}

// arrangePool advances the moves of a pool: it starts moves, reassigns slots that are certainly no longer served,
// records new owners, and sets what each server may serve.
func (c *Pass) arrangePool(p *Pool, t *tables.Pool) {
	v := c.newPoolView(p, t)
	c.finishAppend(v)
	v.stopped = c.mustStop(v)
	if !c.Frozen {
		c.startMoves(v)
		c.advanceMoves(v)
		c.appendMoves(v)
		if v.pendingAppend == nil && !c.Log.LogDown && c.Cell.Ready && !c.Now.Before(v.retryAt) {
			c.seize(t, p)
		}
	}
	c.setServable(v)
	c.logMoves(v)
}

// findServer tries the last server found first: neighbouring slots often share an owner.
func (v *poolView) findServer(n string) (homes.Server, bool) {
	if v.lastServer < len(v.servers) && v.servers[v.lastServer].Name == n {
		return v.servers[v.lastServer], true
	}
	for i, s := range v.servers {
		if s.Name == n {
			v.lastServer = i
			return s, true
		}
	}
	return homes.Server{}, false
}

// startMoves drops pointless moves and starts new ones.
func (c *Pass) startMoves(v *poolView) {
	for i, m := range v.moves {
		s, ok := v.findServer(m.to)
		if m.to == "" && v.homes[i] == c.DC || m.to != "" && (!ok || !s.Up || v.assignment(i).DC == "" && v.homes[i] != c.DC) {
			delete(v.moves, i)
		}
	}
	c.startHomeMoves(v)
	c.renewTokens(v)
	if slices.ContainsFunc(v.localSlots, func(i uint32) bool { return c.nextOwner(v, i) == "" }) {
		for _, mv := range homes.AssignUnowned(v.servers, c.balancerSlots(v)) {
			i := v.localSlots[mv.Slot]
			if v.moves[i] == nil && c.assignable(v, i) {
				c.startMove(v, i, mv.To)
			}
		}
		return
	}
	if c.Balance == nil || c.Now.Sub(v.lastBalance) < balanceInterval || len(v.moves) > 0 {
		return
	}
	v.lastBalance = c.Now
	shares := c.balancerSlots(v)
	if !v.updateLoadHigh(c.Now, v.servers) {
		for k := range shares {
			shares[k].Load = 0
		}
	}
	for _, mv := range c.Balance(v.poolName, c.Now, v.servers, shares) {
		if int(mv.Slot) >= len(v.localSlots) {
			continue
		}
		i := v.localSlots[mv.Slot]
		if s, ok := v.findServer(mv.To); ok && s.Up && !s.Leaving && v.moves[i] == nil && v.assignment(i).Owner != mv.To {
			v.moves[i] = &move{to: mv.To, reason: "balance", startedAt: c.Now, oldToken: v.assignment(i).Token}
		}
	}
	c.logBalanceMoves(v)
}

// balancerSlots returns the local slots for the balancer.
func (c *Pass) balancerSlots(v *poolView) []homes.Slot {
	list := make([]homes.Slot, len(v.localSlots))
	for k, i := range v.localSlots {
		list[k] = homes.Slot{Owner: c.nextOwner(v, i), Load: v.slotLoad(i, c.Now)}
	}
	return list
}

// noServer stands for the owner of a slot that has none and needs none here.
const noServer = "-"

// nextOwner returns the server that owns a slot or is about to own it, "" if the slot needs another owner.
func (c *Pass) nextOwner(v *poolView, i uint32) string {
	if m := v.moves[i]; m != nil {
		return cmp.Or(m.to, v.assignment(i).Owner, noServer)
	}
	if s, ok := v.findServer(v.assignment(i).Owner); ok && s.Up && !s.Leaving {
		return s.Name
	}
	return ""
}

// assignable reports whether a slot without a usable owner may be moved to another server now.
func (c *Pass) assignable(v *poolView, i uint32) bool {
	s := v.assignment(i)
	if s.DC == "" {
		return !c.Log.LogDown || v.pendingAppend == nil
	}
	if s.Owner != "" {
		return true
	}
	o, ok := v.ownerless[i]
	if !ok || o.token != s.Token {
		v.ownerless[i] = ownerlessSlot{token: s.Token, firstSeen: c.Now}
		return false
	}
	return c.Now.Sub(o.firstSeen) >= c.seizeWait(v)
}

// startMove moves a slot whose owner is missing, lost or leaving.
func (c *Pass) startMove(v *poolView, i uint32, to string) {
	m := &move{to: to, startedAt: c.Now, stage: assigning, oldToken: v.assignment(i).Token}
	s, known := v.findServer(v.assignment(i).Owner)
	switch {
	case v.assignment(i).Owner == "":
		m.reason = "adopt"
	case !known:
		m.reason = "removed"
	case !s.Up:
		m.reason = "lost"
	default:
		m.reason, m.stage = "leaving", draining
	}
	v.moves[i] = m
	c.addToLog(v, m.reason, v.assignment(i).Owner, to, i)
}

// moveGroup is the part that the logged moves of several slots have in common.
type moveGroup struct {
	reason, from, to string
}

// addToLog collects moves, so that many slots moved for one reason are logged as one line.
func (c *Pass) addToLog(v *poolView, why, from, to string, i uint32) {
	n := moveGroup{why, from, to}
	if v.movesToLog[n] == nil {
		v.movesToLog[n] = &slotList{}
		v.logOrder = append(v.logOrder, n)
	}
	v.movesToLog[n].add(i)
}

func (c *Pass) logMoves(v *poolView) {
	for _, n := range v.logOrder {
		c.Event("move", "pool", v.poolName, "why", n.reason, "from", n.from, "to", n.to, "slots", v.movesToLog[n])
	}
}

// slotList is a list of slots that is printed as ranges.
type slotList struct{ ranges [][2]uint32 }

func (l *slotList) add(i uint32) {
	if n := len(l.ranges); n > 0 && l.ranges[n-1][1]+1 == i {
		l.ranges[n-1][1] = i
		return
	}
	l.ranges = append(l.ranges, [2]uint32{i, i})
}

// String returns ranges separated by commas, for example "3,7-9".
func (l *slotList) String() string {
	var parts []string
	for _, r := range l.ranges {
		s := strconv.Itoa(int(r[0]))
		if r[1] != r[0] {
			s += "-" + strconv.Itoa(int(r[1]))
		}
		parts = append(parts, s)
	}
	return strings.Join(parts, ",")
}

// logBalanceMoves collects the moves that the balancer started in this pass, for the log.
func (c *Pass) logBalanceMoves(v *poolView) {
	for _, i := range slices.Sorted(maps.Keys(v.moves)) {
		if m := v.moves[i]; m.reason == "balance" && m.startedAt.Equal(c.Now) {
			c.addToLog(v, m.reason, v.assignment(i).Owner, m.to, i)
		}
	}
}

// startHomeMoves starts to drain slots that now belong in another data centre. While the log is down no data centre
// would serve them once drained, so their moves are dropped and they are served here again.
func (c *Pass) startHomeMoves(v *poolView) {
	if c.Log.LogDown {
		maps.DeleteFunc(v.moves, func(_ uint32, m *move) bool { return m.to == "" })
		return
	}
	for _, i := range v.localSlots {
		s := v.assignment(i)
		if s.DC == c.DC && v.homes[i] != c.DC && v.homes[i] != "" && v.moves[i] == nil && c.reachable(v.homes[i]) {
			v.moves[i] = &move{reason: "home", startedAt: c.Now, oldToken: s.Token}
			c.addToLog(v, "home", s.Owner, v.homes[i], i)
		}
	}
}

// reachable reports whether another data centre answers. Slots seized from one that does not are kept until it does.
func (c *Pass) reachable(dc string) bool {
	return c.RemoteContact == nil || c.Now.Sub(c.RemoteContact(dc)) < unreachableAfter
}

// renewTokens assigns the slots of a server that refused a token as too low to the same server again, with higher
// tokens. It renews all of them, since a refusal doesn't say which token was too low.
func (c *Pass) renewTokens(v *poolView) {
	if c.Now.Sub(v.lastTokenRenewal) < tokenRenewInterval ||
		!slices.ContainsFunc(v.servers, func(s homes.Server) bool { return c.Fleet.Server(s.Name).TokenRefused }) {
		return
	}
	v.lastTokenRenewal = c.Now
	for _, i := range v.localSlots {
		cur := v.assignment(i)
		s := c.Fleet.Server(cur.Owner)
		if s == nil || !s.TokenRefused || v.moves[i] != nil || !fleet.Contains(s.Servable, i, cur.Token) {
			continue
		}
		v.moves[i] = &move{to: cur.Owner, reason: "token", startedAt: c.Now, stage: assigning, renewToken: true, oldToken: cur.Token}
		c.addToLog(v, "token", cur.Owner, cur.Owner, i)
	}
	for _, sv := range v.servers {
		c.Fleet.Server(sv.Name).TokenRefused = false
	}
}

// advanceMoves drops moves that have taken effect and advances the stages of the others.
func (c *Pass) advanceMoves(v *poolView) {
	for i, m := range v.moves {
		s := v.assignment(i)
		if (m.to == "" && s.DC != c.DC) || (m.to != "" && s.Owner == m.to && s.DC == c.DC && (!m.renewToken || s.Token > m.oldToken)) {
			delete(v.moves, i)
			delete(v.ownerless, i)
			continue
		}
		owner := c.Fleet.Server(s.Owner)
		if m.stage == draining && (owner == nil || !owner.Up || c.Lanes.IsClear(c.Now, laneName(v.poolName, s.Owner), i) ||
			(owner.Checks && c.Now.Sub(m.startedAt) >= maxDrain)) {
			m.stage = revoking
		}
		if m.stage == revoking && c.freeFor(v, i, "") && (m.to != "" || !c.Now.Before(c.EarlierLapsed)) {
			m.stage = assigning
		}
	}
}

func laneName(pool, server string) string { return pool + "/" + server }

// freeFor reports whether at Now no server or dispatcher lane but that of server may serve the slot.
func (c *Pass) freeFor(v *poolView, i uint32, server string) bool {
	key := ""
	if s := c.Fleet.Server(server); s != nil && s.Checks {
		key = s.ProcessID()
	}
	return c.Fleet.Exposure.IsFreeFor(v.poolName, i, key, c.Now) && c.Lanes.IsUnused(c.Now, v.poolName, laneName(v.poolName, server), i)
}

// grantSafe reports whether grants of earlier pairs allow granting the slot to s: they have lapsed, or s itself
// reported, after which no other server could get the slot, that it holds it with this token.
func (c *Pass) grantSafe(v *poolView, i uint32, s *fleet.Server, token uint64) bool {
	if !s.Checks {
		return !c.Now.Before(c.EarlierLapsed.Add(v.longestTimeout))
	}
	return !c.Now.Before(c.EarlierLapsed) || s.ReportedSlots[i] == token
}

func (c *Pass) setServable(v *poolView) {
	sets := make(map[string][]grants.Range)
	var s *fleet.Server
	for _, i := range v.localSlots {
		cur := v.assignment(i)
		if cur.DC != c.DC || cur.Owner == "" || v.stopped {
			continue
		}
		if m := v.moves[i]; m != nil && m.stage != draining {
			continue
		}
		if s == nil || s.Name != cur.Owner {
			s = c.Fleet.Server(cur.Owner)
		}
		if s == nil || s.Pool != v.poolName || (s.Checks && !s.IsFenced()) {
			continue
		}
		if fleet.Contains(s.Servable, i, cur.Token) || (c.grantSafe(v, i, s, cur.Token) && c.freeFor(v, i, s.Name)) {
			sets[s.Name] = appendGrant(sets[s.Name], v.poolName, i, cur.Token)
		}
	}
	for _, sv := range v.servers {
		c.Fleet.Server(sv.Name).SetServable(sets[sv.Name])
	}
}

func appendGrant(set []grants.Range, pool string, i uint32, token uint64) []grants.Range {
	if n := len(set); n > 0 && set[n-1].Last+1 == i && set[n-1].Token == token {
		set[n-1].Last = i
		return set
	}
	return append(set, grants.Range{Pool: pool, First: i, Last: i, Token: token})
}

// finishAppend clears the pending append once its effect is known or waiting is useless.
func (c *Pass) finishAppend(v *poolView) {
	if v.pendingAppend == nil {
		return
	}
	done, late := c.Log.Outcome(c.Now, v.pendingAppend, c.Placement.Offset())
	if !done {
		return
	}
	v.pendingAppend = nil
	if late {
		v.retryAt = c.Now.Add(writes.RetryInterval)
	}
}

// appendMoves records the moves whose slots are no longer served. While the log is down they take effect without it.
func (c *Pass) appendMoves(v *poolView) {
	if c.Log.LogDown {
		c.moveUnlogged(v)
	}
	if v.pendingAppend != nil || c.Now.Before(v.retryAt) || !c.Cell.Ready || c.Cell.Term != c.Pair.Term {
		return
	}
	if c.appendRelease(v) {
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
	for _, i := range v.localSlots {
		if m := v.moves[i]; m != nil && m.stage == assigning && m.to != "" {
			add(i, m.to, 0)
		} else if o, ok := v.unlogged[i]; ok {
			add(i, o.Owner, o.Token)
		}
	}
	yield := v.cfg.Yield
	if len(changes) == 0 && (yield == c.Placement.YieldAfter(v.poolName, c.DC) || c.Placement.Version(v.poolName, c.DC) == 0) {
		return
	}
	v.pendingAppend = c.Log.Append(c.Now, &record.Record{Kind: &record.Record_Assign{Assign: &record.Assign{
		Dc: c.DC, Pool: v.poolName, Term: c.Cell.Term, Base: c.Placement.Version(v.poolName, c.DC), Changes: changes,
		Slots: uint32(v.slotCount), Yield: yield.Milliseconds(),
	}}})
}

// appendRelease releases slots that leave this data centre and are no longer served. It reports whether it appended.
func (c *Pass) appendRelease(v *poolView) bool {
	var slots []uint32
	for _, i := range v.localSlots {
		if m := v.moves[i]; m != nil && m.to == "" && m.stage == assigning {
			slots = append(slots, i)
		}
	}
	if len(slots) == 0 {
		return false
	}
	v.pendingAppend = c.Log.Append(c.Now, &record.Record{Kind: &record.Record_Release{Release: &record.Release{
		Dc: c.DC, Pool: v.poolName, Term: c.Cell.Term, Base: c.Placement.Version(v.poolName, c.DC), Slots: slots,
	}}})
	return true
}

// moveUnlogged makes moves within the data centre take effect without the log.
func (c *Pass) moveUnlogged(v *poolView) {
	for _, i := range slices.Sorted(maps.Keys(v.moves)) {
		m, s := v.moves[i], v.assignment(i)
		if m.stage != assigning || m.to == "" || s.DC != c.DC {
			continue
		}
		token, ok := lease.NextToken(s.Token, c.Pair)
		if !ok {
			continue
		}
		v.unlogged[i] = fold.Slot{DC: c.DC, Owner: m.to, Token: token}
		delete(v.moves, i)
		delete(v.ownerless, i)
		c.addToLog(v, "unlogged", s.Owner, m.to, i)
	}
}
