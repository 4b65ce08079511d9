package lease_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/lease"
)

// simulation runs controllers, witnesses and servers in simulated time. Messages are delayed, lost and reordered,
// processes pause, and every process has a clock with its own offset and rate.
type simulation struct {
	rng         *rand.Rand
	params      params
	now         time.Duration
	queue       eventQueue
	lastSeq     int
	ids         []string // all witnesses: instances, then servers
	witnesses   map[string]*lease.Witness
	servers     map[string]*server
	controllers []*controller
	terms       []term // the log
	cutUntil    map[[2]string]time.Duration
	fault       string
	granted     int
	renewals    int
}

type params struct {
	Instances, Servers, Controllers, Slots int
	LossPercent, PausePercent              int
	CutPermille                            int
	MaxDelayMS                             int
	Seed                                   uint64
}

var schedules = rapid.Custom(func(t *rapid.T) params {
	return params{
		Instances: rapid.IntRange(1, 3).Draw(t, "instances"), Servers: rapid.IntRange(2, 4).Draw(t, "servers"),
		Controllers: rapid.IntRange(2, 3).Draw(t, "controllers"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
		LossPercent: rapid.IntRange(0, 20).Draw(t, "loss"), PausePercent: rapid.IntRange(0, 4).Draw(t, "pause"),
		CutPermille: rapid.IntRange(0, 8).Draw(t, "cut"), MaxDelayMS: rapid.SampledFrom([]int{5, 50, 400, 2500}).Draw(t, "delay"),
		Seed: rapid.Uint64().Draw(t, "seed"),
	}
})

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// term is a Term record in the log. Only the last one may become ready; the earlier witness sets then no longer count.
type term struct {
	witnesses   []string
	earlierSets map[uint64][]string
	ready       bool
}

type clock struct {
	offset      time.Duration
	rate        float64
	pausedUntil time.Duration
}

func (c *clock) read(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(c.offset + time.Duration(float64(now)*c.rate))
}

type server struct {
	clock
	held       map[uint32]bool
	validUntil time.Time
}

type grant struct {
	pair       lease.Pair
	validUntil time.Time // on the server's clock
	slots      []uint32
}

type reply struct {
	pair  lease.Pair
	ok    bool
	clock time.Time
	held  map[uint32]bool
}

// controller is a minimal version of the controller in package ctrl.
type controller struct {
	clock
	sim             *simulation
	name            string
	pair            lease.Pair
	fence           *lease.Fence
	quorum          *lease.Quorum
	grants          lease.GrantTracker
	earlierLapsedAt time.Time
	serving         bool
	noMoveBefore    time.Time
	lastMoveAt      time.Time     // when an owner last changed
	nextQuorum      *lease.Quorum // of the new term, while renewing with authority
	owners          []string
	servers         map[string]*serverState
	lastCallID      uint64
}

type serverState struct {
	serverClock, clockReadAt time.Time
	probed                   bool
	confirmed                bool
	reported                 map[uint32]bool
	assigned                 map[uint32]bool
	confirmedNewTerm         bool // while the controller renews its term
	probedAt                 time.Time
	lastGrantLapse           time.Time
	callOpen                 bool
}

func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.lastSeq++
	heap.Push(&sim.queue, event{at: sim.now + d, seq: sim.lastSeq, run: do})
}

// runWhenAwake runs do once the process with clock c is not paused.
func (sim *simulation) runWhenAwake(c *clock, do func()) {
	if c.pausedUntil > sim.now {
		sim.schedule(c.pausedUntil-sim.now, func() { sim.runWhenAwake(c, do) })
		return
	}
	do()
}

func (sim *simulation) randomDelay() time.Duration {
	d := sim.params.MaxDelayMS
	if sim.rng.IntN(4) > 0 {
		d = min(d, 20)
	}
	return time.Duration(sim.rng.IntN(d)+1) * time.Millisecond
}

// send runs do at the receiver, whose clock is c, after a random delay, unless the message is lost.
func (sim *simulation) send(from, to string, c *clock, do func()) {
	if sim.cutUntil[[2]string{from, to}] > sim.now || sim.rng.IntN(100) < sim.params.LossPercent {
		return
	}
	sim.schedule(sim.randomDelay(), func() { sim.runWhenAwake(c, do) })
}

func (sim *simulation) newClock() clock {
	return clock{offset: time.Duration(sim.rng.IntN(1e6)) * time.Millisecond, rate: 0.9951 + sim.rng.Float64()*0.0098}
}

func simulate(p params, length time.Duration) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(p.Seed, 1)), params: p, witnesses: make(map[string]*lease.Witness),
		servers: make(map[string]*server), cutUntil: make(map[[2]string]time.Duration),
	}
	for i := range p.Instances {
		sim.ids = append(sim.ids, fmt.Sprintf("i%d", i))
	}
	for i := range p.Servers {
		id := fmt.Sprintf("s%d", i)
		sim.ids = append(sim.ids, id)
		sim.servers[id] = &server{clock: sim.newClock()}
	}
	for _, id := range sim.ids {
		sim.witnesses[id] = &lease.Witness{}
	}
	for i := range p.Controllers {
		c := &controller{clock: sim.newClock(), sim: sim, name: fmt.Sprintf("c%d", i)}
		sim.controllers = append(sim.controllers, c)
		sim.schedule(time.Duration(sim.rng.IntN(2000))*time.Millisecond, c.tick)
	}
	for sim.now < length && sim.fault == "" {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
		sim.checkExclusive()
	}
	return sim
}

// checkExclusive sets fault if two servers hold valid grants of one slot.
func (sim *simulation) checkExclusive() {
	for slot := range uint32(sim.params.Slots) {
		var holders []string
		for id, s := range sim.servers {
			if s.held[slot] && s.read(sim.now).Before(s.validUntil) {
				holders = append(holders, id)
			}
		}
		if len(holders) > 1 {
			sim.fault = fmt.Sprintf("at %v slot %d is held by %v", sim.now, slot, holders)
		}
	}
}

func (c *controller) tick() {
	sim := c.sim
	sim.schedule(time.Duration(60+sim.rng.IntN(60))*time.Millisecond, func() { sim.runWhenAwake(&c.clock, c.tick) })
	sim.injectFaults(c)
	if sim.rng.IntN(40) == 0 {
		c.claimTerm()
	}
	if c.fence == nil {
		return
	}
	now := c.read(sim.now)
	if !c.serving && c.fence.Complete() && c.quorum.Holds(now) {
		c.startServing()
	}
	if c.nextQuorum != nil {
		c.finishRenewal(now)
	}
	if sim.rng.IntN(20) == 0 {
		c.noMoveBefore = now.Add(time.Duration(sim.rng.IntN(8000)) * time.Millisecond)
	}
	if c.serving && c.nextQuorum == nil && now.After(c.noMoveBefore) && sim.rng.IntN(4) == 0 {
		c.owners[sim.rng.IntN(len(c.owners))] = sim.ids[sim.params.Instances+sim.rng.IntN(sim.params.Servers)]
		c.lastMoveAt = now
	}
	if c.serving {
		c.assignSlots()
	}
	for _, id := range sim.ids {
		if sim.servers[id] != nil {
			c.callServer(id)
		} else {
			c.askInstance(id)
		}
	}
}

// injectFaults pauses processes and partitions the network at random.
func (sim *simulation) injectFaults(c *controller) {
	if sim.rng.IntN(100) < sim.params.PausePercent {
		c.pausedUntil = sim.now + time.Duration(sim.rng.IntN(4000))*time.Millisecond
	}
	if sim.rng.IntN(100) < sim.params.PausePercent {
		sim.servers[sim.ids[sim.params.Instances+sim.rng.IntN(sim.params.Servers)]].pausedUntil = sim.now + time.Duration(sim.rng.IntN(3000))*time.Millisecond
	}
	if sim.rng.IntN(1000) < sim.params.CutPermille {
		sim.partition(c, sim.now+time.Duration(sim.rng.IntN(12000))*time.Millisecond)
	}
}

// partition cuts c off from some of the witnesses, and the other controllers either from the rest or from none.
func (sim *simulation) partition(c *controller, until time.Duration) {
	cutShare, cutOthers := sim.rng.IntN(4), sim.rng.IntN(2) == 0
	for _, id := range sim.ids {
		cutFromC := sim.rng.IntN(4) <= cutShare
		for _, o := range sim.controllers {
			if cutFromC == (o == c) && (cutOthers || o == c) {
				sim.cutUntil[[2]string{o.name, id}], sim.cutUntil[[2]string{id, o.name}] = until, until
			}
		}
	}
}

// claimTerm takes a new term or, as a successor, an epoch of the last one.
func (c *controller) claimTerm() {
	sim := c.sim
	n := uint64(len(sim.terms))
	renewable := lease.Pair{Term: n + 1}
	if c.pair != (lease.Pair{Term: n}) {
		renewable = lease.Pair{} // c does not hold the last term
	}
	if n > 0 && sim.rng.IntN(3) == 0 && c.pair.Term < n {
		c.pair = lease.Pair{Term: n, Epoch: uint32(1 + slices.Index(sim.controllers, c))}
	} else {
		t := term{earlierSets: make(map[uint64][]string)}
		if n > 0 {
			last := sim.terms[n-1]
			t.earlierSets[n] = last.witnesses
			for number, set := range last.earlierSets {
				if !last.ready {
					t.earlierSets[number] = set
				}
			}
		}
		// Name only some of the reachable witnesses, so that sets are small and often disjoint.
		for _, id := range sim.ids {
			if sim.cutUntil[[2]string{c.name, id}] <= sim.now && sim.rng.IntN(3) > 0 {
				t.witnesses = append(t.witnesses, id)
			}
		}
		if len(t.witnesses) == 0 {
			t.witnesses = sim.ids
		}
		sim.terms = append(sim.terms, t)
		c.pair = lease.Pair{Term: n + 1}
	}
	t := sim.terms[c.pair.Term-1]
	var earlier [][]string
	for _, set := range t.earlierSets {
		if !t.ready {
			earlier = append(earlier, set)
		}
	}
	now := c.read(sim.now)
	renewing := c.serving && c.nextQuorum == nil && c.pair == renewable && c.quorum.Holds(now) && now.Sub(c.lastMoveAt) >= renewalQuietTime
	c.fence = lease.NewFence(t.witnesses, earlier, c.pair == lease.Pair{Term: 1})
	if renewing {
		c.nextQuorum = lease.NewQuorum(t.witnesses)
		for _, state := range c.servers {
			state.confirmedNewTerm = false
		}
		sim.renewals++
		return
	}
	c.nextQuorum, c.quorum = nil, lease.NewQuorum(t.witnesses)
	c.serving, c.servers, c.owners = false, make(map[string]*serverState), make([]string, sim.params.Slots)
	for id := range sim.servers {
		c.servers[id] = &serverState{}
	}
}

// startServing assumes that servers which have not confirmed the pair hold any slot by earlier grants.
func (c *controller) startServing() {
	c.serving, c.earlierLapsedAt = true, c.fence.EarlierGrantsExpiry()
	for _, id := range c.sim.ids[c.sim.params.Instances:] {
		state := c.servers[id]
		if !state.confirmed {
			c.grants.AssumeHoldsPool(id+"/earlier", "p", c.earlierLapsedAt)
		}
		if c.read(c.sim.now).Sub(state.probedAt) > maxReportAge {
			state.reported = nil
		}
		for slot := range state.reported {
			c.owners[slot] = id
		}
	}
	if n := uint64(len(c.sim.terms)); c.pair.Term == n {
		c.sim.terms[n-1].ready = true
	}
}

// renewalQuietTime is the same as in package ctrl.
const renewalQuietTime = 2 * (lease.ConfirmationValidity + lease.Validity)

const maxReportAge = 500 * time.Millisecond

// finishRenewal ends a renewal: the holder must have kept its authority until the new term was confirmed.
func (c *controller) finishRenewal(now time.Time) {
	if !c.quorum.Holds(now) {
		c.fence, c.serving, c.nextQuorum = nil, false, nil
		return
	}
	if !c.fence.Complete() {
		return
	}
	for _, id := range c.sim.ids[c.sim.params.Instances:] {
		if state := c.servers[id]; !state.confirmedNewTerm && state.lastGrantLapse.After(now.Add(-lease.ConfirmationValidity-maxReportAge)) {
			c.grants.AssumeHoldsPool(id+"/earlier", "p", now.Add(lease.AddDriftMargin(lease.ConfirmationValidity+lease.Validity)))
		}
	}
	c.quorum, c.nextQuorum = c.nextQuorum, nil
	c.sim.terms[c.pair.Term-1].ready = c.sim.terms[c.pair.Term-1].ready || c.pair.Term == uint64(len(c.sim.terms))
}

// confirm records that a witness confirmed the pair after sentAt.
func (c *controller) confirm(id string, sentAt time.Time) {
	c.fence.Confirm(id, c.read(c.sim.now))
	if c.nextQuorum != nil {
		c.nextQuorum.Confirm(id, sentAt)
	} else {
		c.quorum.Confirm(id, sentAt)
	}
}

// askInstance asks an instance to confirm the pair.
func (c *controller) askInstance(id string) {
	sim, pair, sentAt := c.sim, c.pair, c.read(c.sim.now)
	sim.send(c.name, id, &clock{}, func() {
		ok := sim.witnesses[id].Offer(pair)
		sim.send(id, c.name, &c.clock, func() {
			if ok && c.pair == pair && c.fence != nil {
				c.confirm(id, sentAt)
			}
		})
	})
}

// callServer probes a server, fences it, or sends it the slots it may serve.
func (c *controller) callServer(id string) {
	state, now := c.servers[id], c.read(c.sim.now)
	if state == nil || state.callOpen {
		return
	}
	state.callOpen = true
	g := grant{pair: c.pair, validUntil: state.serverClock.Add(lease.Validity)}
	switch {
	case !state.probed:
		c.sendGrant(id, grant{}, 0)
		return
	case state.confirmed && (!c.serving || !c.quorum.Holds(now)):
		state.callOpen = false
		return
	}
	var ranges []lease.SlotRange
	for slot := range state.assigned {
		g.slots = append(g.slots, slot)
	}
	slices.Sort(g.slots)
	for _, s := range g.slots {
		ranges = append(ranges, lease.SlotRange{Pool: "p", First: s, Last: s})
	}
	c.lastCallID++
	c.grants.RecordSent(id, c.lastCallID, ranges, state.clockReadAt.Add(lease.AddDriftMargin(lease.Validity)))
	if len(ranges) > 0 {
		state.lastGrantLapse = state.clockReadAt.Add(lease.AddDriftMargin(lease.Validity))
	}
	c.sendGrant(id, g, c.lastCallID)
}

// assignSlots decides in one pass what each server may serve. Slots that stay with their server need no check.
func (c *controller) assignSlots() {
	now, next := c.read(c.sim.now), make(map[string]map[uint32]bool)
	for i, id := range c.owners {
		state, slot := c.servers[id], uint32(i)
		if state == nil || !state.confirmed {
			continue
		}
		earlierOver := !now.Before(c.earlierLapsedAt) || state.reported[slot]
		if state.assigned[slot] || (earlierOver && c.grants.IsFreeFor("p", slot, id, now)) {
			if next[id] == nil {
				next[id] = make(map[uint32]bool)
			}
			next[id][slot] = true
			c.sim.granted++
		}
	}
	for id, state := range c.servers {
		state.assigned = next[id]
	}
}

// sendGrant sends a grant to a server; the zero grant is a probe. The grant may still arrive after the call timed out.
func (c *controller) sendGrant(id string, g grant, call uint64) {
	sim, pair, sentAt, state := c.sim, c.pair, c.read(c.sim.now), c.servers[id]
	open := true
	sim.schedule(lease.Interval, func() {
		if open {
			open, state.callOpen, state.probed = false, false, state.confirmed
		}
	})
	sim.send(c.name, id, &sim.servers[id].clock, func() {
		r := sim.servers[id].handleGrant(sim, id, g)
		sim.send(id, c.name, &c.clock, func() {
			if !open || c.servers[id] != state || c.fence == nil || c.pair != pair {
				return
			}
			open, state.callOpen = false, false
			c.handleReply(id, state, r, call, sentAt, pair)
		})
	})
}

func (s *server) handleGrant(sim *simulation, id string, g grant) reply {
	now := s.read(sim.now)
	r := reply{clock: now}
	if g.pair != (lease.Pair{}) && sim.witnesses[id].Offer(g.pair) {
		r.ok, s.validUntil, s.held = true, g.validUntil, make(map[uint32]bool)
		for _, slot := range g.slots {
			s.held[slot] = true
		}
	}
	if now.Before(s.validUntil) {
		r.held = s.held
	}
	r.pair = sim.witnesses[id].Highest()
	return r
}

func (c *controller) handleReply(id string, state *serverState, r reply, call uint64, sentAt time.Time, pair lease.Pair) {
	now := c.read(c.sim.now)
	state.serverClock, state.clockReadAt = r.clock, now
	switch {
	case r.pair.Compare(pair) > 0:
		c.fence, c.serving = nil, false
	case call == 0:
		state.probed, state.reported, state.probedAt = true, r.held, sentAt
	case r.ok:
		if !state.confirmed && now.Sub(state.probedAt) > maxReportAge {
			state.reported = nil
		}
		state.confirmed, state.confirmedNewTerm = true, true
		c.grants.RecordAccepted(id, call)
		c.grants.ClearAssumed(id + "/earlier")
		c.confirm(id, sentAt)
	}
}

// Guards against two servers that hold one slot (invariant 1). It fails if a new controller does not wait D+L, needs
// fewer than n-m+1 witnesses of an earlier set (n witnesses, majority m), or grants a slot that another server may hold.
func TestSlotIsNeverHeldTwice(t *testing.T) {
	granted, renewals := 0, 0
	for seed := range 400 {
		p := schedules.Example(seed)
		sim := simulate(p, 40*time.Second)
		granted += sim.granted
		renewals += sim.renewals
		if sim.fault != "" {
			t.Fatalf("schedule %d %+v: %s", seed, p, sim.fault)
		}
	}
	t.Logf("schedules 0 to 399: %d slot grants, %d term renewals", granted, renewals)
	if granted < 10000 || renewals < 100 {
		t.Fatalf("the schedules produced too few slot grants or renewals to test anything")
	}
}
