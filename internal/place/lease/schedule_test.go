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

// simulation runs would-be controllers, witnesses and servers in invented time. Messages are delayed, lost and reordered,
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
	LossPercent, PausePercent              int // per 100
	CutPermille                            int // per 1000
	MaxDelayMS                             int // longest, in ms
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

// term is a claim in the log. Only the last may be made ready, which forgets the sets before it.
type term struct {
	witnesses   []string
	earlierSets map[uint64][]string
	ready       bool
}

// clock is a process's own time.
type clock struct {
	offset      time.Duration
	rate        float64
	pausedUntil time.Duration // until then
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

// controller keeps slots as package ctrl does, in the smallest form.
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
	noMoveBefore    time.Time     // no move before
	lastMoveAt      time.Time     // when an owner last changed
	nextQuorum      *lease.Quorum // of the new term while renewing with authority
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
	confirmedNewTerm         bool // confirmed the new term while renewing
	probedAt                 time.Time
	lastGrantLapse           time.Time
	callOpen                 bool
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.lastSeq, run: do})
}

// runWhenAwake runs do when the process of c is not paused.
func (w *simulation) runWhenAwake(c *clock, do func()) {
	if c.pausedUntil > w.now {
		w.schedule(c.pausedUntil-w.now, func() { w.runWhenAwake(c, do) })
		return
	}
	do()
}

func (w *simulation) randomDelay() time.Duration {
	d := w.params.MaxDelayMS
	if w.rng.IntN(4) > 0 {
		d = min(d, 20)
	}
	return time.Duration(w.rng.IntN(d)+1) * time.Millisecond
}

// send delivers a message from one process to another, or not.
func (w *simulation) send(from, to string, c *clock, do func()) {
	if w.cutUntil[[2]string{from, to}] > w.now || w.rng.IntN(100) < w.params.LossPercent {
		return
	}
	w.schedule(w.randomDelay(), func() { w.runWhenAwake(c, do) })
}

func (w *simulation) newClock() clock {
	return clock{offset: time.Duration(w.rng.IntN(1e6)) * time.Millisecond, rate: 0.9951 + w.rng.Float64()*0.0098}
}

func simulate(p params, length time.Duration) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(p.Seed, 1)), params: p, witnesses: make(map[string]*lease.Witness),
		servers: make(map[string]*server), cutUntil: make(map[[2]string]time.Duration),
	}
	for i := range p.Instances {
		w.ids = append(w.ids, fmt.Sprintf("i%d", i))
	}
	for i := range p.Servers {
		id := fmt.Sprintf("s%d", i)
		w.ids = append(w.ids, id)
		w.servers[id] = &server{clock: w.newClock()}
	}
	for _, id := range w.ids {
		w.witnesses[id] = &lease.Witness{}
	}
	for i := range p.Controllers {
		c := &controller{clock: w.newClock(), sim: w, name: fmt.Sprintf("c%d", i)}
		w.controllers = append(w.controllers, c)
		w.schedule(time.Duration(w.rng.IntN(2000))*time.Millisecond, c.tick)
	}
	for w.now < length && w.fault == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
		w.checkExclusive()
	}
	return w
}

// checkExclusive looks for a slot that two servers hold validly.
func (w *simulation) checkExclusive() {
	for slot := range uint32(w.params.Slots) {
		var holders []string
		for id, s := range w.servers {
			if s.held[slot] && s.read(w.now).Before(s.validUntil) {
				holders = append(holders, id)
			}
		}
		if len(holders) > 1 {
			w.fault = fmt.Sprintf("at %v slot %d is held by %v", w.now, slot, holders)
		}
	}
}

func (c *controller) tick() {
	w := c.sim
	w.schedule(time.Duration(60+w.rng.IntN(60))*time.Millisecond, func() { w.runWhenAwake(&c.clock, c.tick) })
	w.injectFaults(c)
	if w.rng.IntN(40) == 0 {
		c.claimTerm()
	}
	if c.fence == nil {
		return
	}
	now := c.read(w.now)
	if !c.serving && c.fence.Complete() && c.quorum.Holds(now) {
		c.startServing()
	}
	if c.nextQuorum != nil {
		c.finishRenewal(now)
	}
	if w.rng.IntN(20) == 0 {
		c.noMoveBefore = now.Add(time.Duration(w.rng.IntN(8000)) * time.Millisecond)
	}
	if c.serving && c.nextQuorum == nil && now.After(c.noMoveBefore) && w.rng.IntN(4) == 0 {
		c.owners[w.rng.IntN(len(c.owners))] = w.ids[w.params.Instances+w.rng.IntN(w.params.Servers)]
		c.lastMoveAt = now
	}
	if c.serving {
		c.assignSlots()
	}
	for _, id := range w.ids {
		if w.servers[id] != nil {
			c.callServer(id)
		} else {
			c.askInstance(id)
		}
	}
}

// injectFaults pauses processes and cuts connections.
func (w *simulation) injectFaults(c *controller) {
	if w.rng.IntN(100) < w.params.PausePercent {
		c.pausedUntil = w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond
	}
	if w.rng.IntN(100) < w.params.PausePercent {
		w.servers[w.ids[w.params.Instances+w.rng.IntN(w.params.Servers)]].pausedUntil = w.now + time.Duration(w.rng.IntN(3000))*time.Millisecond
	}
	if w.rng.IntN(1000) < w.params.CutPermille {
		w.partition(c, w.now+time.Duration(w.rng.IntN(12000))*time.Millisecond)
	}
}

// partition partitions the network: c is left with some of the witnesses, the other controllers with the rest.
func (w *simulation) partition(c *controller, until time.Duration) {
	share, whole := w.rng.IntN(4), w.rng.IntN(2) == 0
	for _, id := range w.ids {
		far := w.rng.IntN(4) <= share
		for _, o := range w.controllers {
			if far == (o == c) && (whole || o == c) {
				w.cutUntil[[2]string{o.name, id}], w.cutUntil[[2]string{id, o.name}] = until, until
			}
		}
	}
}

// claimTerm takes the next term, or the next epoch of the last one.
func (c *controller) claimTerm() {
	w := c.sim
	n := uint64(len(w.terms))
	last := lease.Pair{Term: n + 1}
	if c.pair != (lease.Pair{Term: n}) {
		last = lease.Pair{} // not the holder
	}
	if n > 0 && w.rng.IntN(3) == 0 && c.pair.Term < n {
		c.pair = lease.Pair{Term: n, Epoch: uint32(1 + slices.Index(w.controllers, c))}
	} else {
		t := term{earlierSets: make(map[uint64][]string)}
		if n > 0 {
			last := w.terms[n-1]
			t.earlierSets[n] = last.witnesses
			for k, set := range last.earlierSets {
				if !last.ready {
					t.earlierSets[k] = set
				}
			}
		}
		// Sets of few witnesses, often disjoint: the claimant named those that it reaches.
		for _, id := range w.ids {
			if w.cutUntil[[2]string{c.name, id}] <= w.now && w.rng.IntN(3) > 0 {
				t.witnesses = append(t.witnesses, id)
			}
		}
		if len(t.witnesses) == 0 {
			t.witnesses = w.ids
		}
		w.terms = append(w.terms, t)
		c.pair = lease.Pair{Term: n + 1}
	}
	t := w.terms[c.pair.Term-1]
	var earlier [][]string
	for _, set := range t.earlierSets {
		if !t.ready {
			earlier = append(earlier, set)
		}
	}
	now := c.read(w.now)
	renewing := c.serving && c.nextQuorum == nil && c.pair == last && c.quorum.Holds(now) && now.Sub(c.lastMoveAt) >= renewalQuietTime
	c.fence = lease.NewFence(t.witnesses, earlier, c.pair == lease.Pair{Term: 1})
	if renewing {
		c.nextQuorum = lease.NewQuorum(t.witnesses)
		for _, k := range c.servers {
			k.confirmedNewTerm = false
		}
		w.renewals++
		return
	}
	c.nextQuorum, c.quorum = nil, lease.NewQuorum(t.witnesses)
	c.serving, c.servers, c.owners = false, make(map[string]*serverState), make([]string, w.params.Slots)
	for id := range w.servers {
		c.servers[id] = &serverState{}
	}
}

// startServing starts to serve: what other servers may hold by earlier grants is unknown.
func (c *controller) startServing() {
	c.serving, c.earlierLapsedAt = true, c.fence.EarlierGrantsExpiry()
	for _, id := range c.sim.ids[c.sim.params.Instances:] {
		k := c.servers[id]
		if !k.confirmed {
			c.grants.AssumeHoldsPool(id+"/earlier", "p", c.earlierLapsedAt)
		}
		if c.read(c.sim.now).Sub(k.probedAt) > maxReportAge {
			k.reported = nil
		}
		for slot := range k.reported {
			c.owners[slot] = id
		}
	}
	if n := uint64(len(c.sim.terms)); c.pair.Term == n {
		c.sim.terms[n-1].ready = true
	}
}

// renewalQuietTime is how long no slot may have moved before a holder renews its term, as in package ctrl.
const renewalQuietTime = 2 * (lease.ConfirmationValidity + lease.Validity)

const maxReportAge = 500 * time.Millisecond

// finishRenewal ends the renewal of a term: the holder goes on if it had authority until the new term was confirmed.
func (c *controller) finishRenewal(now time.Time) {
	if !c.quorum.Holds(now) {
		c.fence, c.serving, c.nextQuorum = nil, false, nil
		return
	}
	if !c.fence.Complete() {
		return
	}
	for _, id := range c.sim.ids[c.sim.params.Instances:] {
		if k := c.servers[id]; !k.confirmedNewTerm && k.lastGrantLapse.After(now.Add(-lease.ConfirmationValidity-maxReportAge)) {
			c.grants.AssumeHoldsPool(id+"/earlier", "p", now.Add(lease.AddDriftMargin(lease.ConfirmationValidity+lease.Validity)))
		}
	}
	c.quorum, c.nextQuorum = c.nextQuorum, nil
	c.sim.terms[c.pair.Term-1].ready = c.sim.terms[c.pair.Term-1].ready || c.pair.Term == uint64(len(c.sim.terms))
}

// confirm notes that a witness confirmed the pair after sent.
func (c *controller) confirm(id string, sent time.Time) {
	c.fence.Confirm(id, c.read(c.sim.now))
	if c.nextQuorum != nil {
		c.nextQuorum.Confirm(id, sent)
	} else {
		c.quorum.Confirm(id, sent)
	}
}

// askInstance lets an instance confirm the pair.
func (c *controller) askInstance(id string) {
	w, pair, sent := c.sim, c.pair, c.read(c.sim.now)
	w.send(c.name, id, &clock{}, func() {
		ok := w.witnesses[id].Offer(pair)
		w.send(id, c.name, &c.clock, func() {
			if ok && c.pair == pair && c.fence != nil {
				c.confirm(id, sent)
			}
		})
	})
}

// callServer probes a server, fences it, or sends it the slots it may serve.
func (c *controller) callServer(id string) {
	k, now := c.servers[id], c.read(c.sim.now)
	if k == nil || k.callOpen {
		return
	}
	k.callOpen = true
	g := grant{pair: c.pair, validUntil: k.serverClock.Add(lease.Validity)}
	switch {
	case !k.probed:
		c.sendGrant(id, grant{}, 0)
		return
	case k.confirmed && (!c.serving || !c.quorum.Holds(now)):
		k.callOpen = false
		return
	}
	var spans []lease.SlotRange
	for slot := range k.assigned {
		g.slots = append(g.slots, slot)
	}
	slices.Sort(g.slots)
	for _, s := range g.slots {
		spans = append(spans, lease.SlotRange{Pool: "p", First: s, Last: s})
	}
	c.lastCallID++
	c.grants.RecordSent(id, c.lastCallID, spans, k.clockReadAt.Add(lease.AddDriftMargin(lease.Validity)))
	if len(spans) > 0 {
		k.lastGrantLapse = k.clockReadAt.Add(lease.AddDriftMargin(lease.Validity))
	}
	c.sendGrant(id, g, c.lastCallID)
}

// assignSlots decides for all servers in one pass what each may serve: a slot that stays in a server's set needs no check.
func (c *controller) assignSlots() {
	now, next := c.read(c.sim.now), make(map[string]map[uint32]bool)
	for i, id := range c.owners {
		k, slot := c.servers[id], uint32(i)
		if k == nil || !k.confirmed {
			continue
		}
		early := !now.Before(c.earlierLapsedAt) || k.reported[slot]
		if k.assigned[slot] || (early && c.grants.IsFreeFor("p", slot, id, now)) {
			if next[id] == nil {
				next[id] = make(map[uint32]bool)
			}
			next[id][slot] = true
			c.sim.granted++
		}
	}
	for id, k := range c.servers {
		k.assigned = next[id]
	}
}

// sendGrant sends a grant to a server; the zero grant only asks. The call times out, but the grant may arrive later.
func (c *controller) sendGrant(id string, g grant, call uint64) {
	w, pair, sent, k := c.sim, c.pair, c.read(c.sim.now), c.servers[id]
	open := true
	w.schedule(lease.Interval, func() {
		if open {
			open, k.callOpen, k.probed = false, false, k.confirmed
		}
	})
	w.send(c.name, id, &w.servers[id].clock, func() {
		r := w.servers[id].handleGrant(w, id, g)
		w.send(id, c.name, &c.clock, func() {
			if !open || c.servers[id] != k || c.fence == nil || c.pair != pair {
				return
			}
			open, k.callOpen = false, false
			c.handleReply(id, k, r, call, sent, pair)
		})
	})
}

func (s *server) handleGrant(w *simulation, id string, g grant) reply {
	now := s.read(w.now)
	r := reply{clock: now}
	if g.pair != (lease.Pair{}) && w.witnesses[id].Offer(g.pair) {
		r.ok, s.validUntil, s.held = true, g.validUntil, make(map[uint32]bool)
		for _, slot := range g.slots {
			s.held[slot] = true
		}
	}
	if now.Before(s.validUntil) {
		r.held = s.held
	}
	r.pair = w.witnesses[id].Highest()
	return r
}

func (c *controller) handleReply(id string, k *serverState, r reply, call uint64, sent time.Time, pair lease.Pair) {
	now := c.read(c.sim.now)
	k.serverClock, k.clockReadAt = r.clock, now
	switch {
	case r.pair.Compare(pair) > 0:
		c.fence, c.serving = nil, false
	case call == 0:
		k.probed, k.reported, k.probedAt = true, r.held, sent
	case r.ok:
		if !k.confirmed && now.Sub(k.probedAt) > maxReportAge {
			k.reported = nil
		}
		k.confirmed, k.confirmedNewTerm = true, true
		c.grants.RecordAccepted(id, call)
		c.grants.ClearAssumed(id + "/earlier")
		c.confirm(id, sent)
	}
}

// Guards invariant 1: fails when a new controller doesn't wait D+L, when it needs fewer than n-m+1 witnesses of an
// earlier set, or when a slot is given away while another server may hold it.
func TestSlotIsNeverHeldTwice(t *testing.T) {
	gave, renewals := 0, 0
	for seed := range 400 {
		p := schedules.Example(seed)
		w := simulate(p, 40*time.Second)
		gave += w.granted
		renewals += w.renewals
		if w.fault != "" {
			t.Fatalf("schedule %d %+v: %s", seed, p, w.fault)
		}
	}
	t.Logf("schedules 0 to 399, slots granted %d times, terms renewed %d times", gave, renewals)
	if gave < 10000 || renewals < 100 {
		t.Fatalf("the schedules grant too little to show anything")
	}
}
