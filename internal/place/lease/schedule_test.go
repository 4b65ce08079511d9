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

// world runs would-be controllers, witnesses and servers in invented time. Messages are delayed, lost and reordered,
// processes pause, and every process has a clock with its own offset and rate.
type world struct {
	rng      *rand.Rand
	p        params
	now      time.Duration
	queue    events
	seq      int
	ids      []string // all witnesses: instances, then servers
	witness  map[string]*lease.Witness
	servers  map[string]*server
	ctrls    []*controller
	terms    []term // the log
	cut      map[[2]string]time.Duration
	fault    string
	gave     int
	renewals int
}

type params struct {
	Instances, Servers, Controllers, Slots int
	Loss, Pause                            int // per 100
	Cut                                    int // per 1000
	Delay                                  int // longest, in ms
	Seed                                   uint64
}

var schedules = rapid.Custom(func(t *rapid.T) params {
	return params{
		Instances: rapid.IntRange(1, 3).Draw(t, "instances"), Servers: rapid.IntRange(2, 4).Draw(t, "servers"),
		Controllers: rapid.IntRange(2, 3).Draw(t, "controllers"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
		Loss: rapid.IntRange(0, 20).Draw(t, "loss"), Pause: rapid.IntRange(0, 4).Draw(t, "pause"),
		Cut: rapid.IntRange(0, 8).Draw(t, "cut"), Delay: rapid.SampledFrom([]int{5, 50, 400, 2500}).Draw(t, "delay"),
		Seed: rapid.Uint64().Draw(t, "seed"),
	}
})

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// term is a claim in the log. Only the last may be made ready, which forgets the sets before it.
type term struct {
	set     []string
	earlier map[uint64][]string
	ready   bool
}

// clock is a process's own time.
type clock struct {
	offset time.Duration
	rate   float64
	paused time.Duration // until then
}

func (c *clock) read(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(c.offset + time.Duration(float64(now)*c.rate))
}

type server struct {
	clock
	held  map[uint32]bool
	until time.Time
}

type grant struct {
	pair  lease.Pair
	until time.Time // on the server's clock
	slots []uint32
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
	w       *world
	name    string
	pair    lease.Pair
	fence   *lease.Fence
	quorum  *lease.Quorum
	expose  lease.Exposure
	settle  time.Time
	serving bool
	calm    time.Time     // no move before
	moved   time.Time     // when an owner last changed
	next    *lease.Quorum // of the new term while renewing with authority
	owner   []string
	backend map[string]*known
	calls   uint64
}

type known struct {
	read, readAt time.Time
	probed       bool
	confirmed    bool
	reported     map[uint32]bool
	set          map[uint32]bool
	fresh        bool // confirmed the new term while renewing
	probedAt     time.Time
	lapse        time.Time
	busy         bool
}

func (w *world) at(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, do: do})
}

// wake runs do when the process of c is not paused.
func (w *world) wake(c *clock, do func()) {
	if c.paused > w.now {
		w.at(c.paused-w.now, func() { w.wake(c, do) })
		return
	}
	do()
}

func (w *world) delay() time.Duration {
	d := w.p.Delay
	if w.rng.IntN(4) > 0 {
		d = min(d, 20)
	}
	return time.Duration(w.rng.IntN(d)+1) * time.Millisecond
}

// send delivers a message from one process to another, or not.
func (w *world) send(from, to string, c *clock, do func()) {
	if w.cut[[2]string{from, to}] > w.now || w.rng.IntN(100) < w.p.Loss {
		return
	}
	w.at(w.delay(), func() { w.wake(c, do) })
}

func (w *world) clock() clock {
	return clock{offset: time.Duration(w.rng.IntN(1e6)) * time.Millisecond, rate: 0.9951 + w.rng.Float64()*0.0098}
}

func run(p params, length time.Duration) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(p.Seed, 1)), p: p, witness: make(map[string]*lease.Witness),
		servers: make(map[string]*server), cut: make(map[[2]string]time.Duration),
	}
	for i := range p.Instances {
		w.ids = append(w.ids, fmt.Sprintf("i%d", i))
	}
	for i := range p.Servers {
		id := fmt.Sprintf("s%d", i)
		w.ids = append(w.ids, id)
		w.servers[id] = &server{clock: w.clock()}
	}
	for _, id := range w.ids {
		w.witness[id] = &lease.Witness{}
	}
	for i := range p.Controllers {
		c := &controller{clock: w.clock(), w: w, name: fmt.Sprintf("c%d", i)}
		w.ctrls = append(w.ctrls, c)
		w.at(time.Duration(w.rng.IntN(2000))*time.Millisecond, c.tick)
	}
	for w.now < length && w.fault == "" {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.judge()
	}
	return w
}

// judge looks for a slot that two servers hold validly.
func (w *world) judge() {
	for slot := range uint32(w.p.Slots) {
		var holders []string
		for id, s := range w.servers {
			if s.held[slot] && s.read(w.now).Before(s.until) {
				holders = append(holders, id)
			}
		}
		if len(holders) > 1 {
			w.fault = fmt.Sprintf("at %v slot %d is held by %v", w.now, slot, holders)
		}
	}
}

func (c *controller) tick() {
	w := c.w
	w.at(time.Duration(60+w.rng.IntN(60))*time.Millisecond, func() { w.wake(&c.clock, c.tick) })
	w.disturb(c)
	if w.rng.IntN(40) == 0 {
		c.claim()
	}
	if c.fence == nil {
		return
	}
	now := c.read(w.now)
	if !c.serving && c.fence.Complete() && c.quorum.Holds(now) {
		c.begin()
	}
	if c.next != nil {
		c.renewed(now)
	}
	if w.rng.IntN(20) == 0 {
		c.calm = now.Add(time.Duration(w.rng.IntN(8000)) * time.Millisecond)
	}
	if c.serving && c.next == nil && now.After(c.calm) && w.rng.IntN(4) == 0 {
		c.owner[w.rng.IntN(len(c.owner))] = w.ids[w.p.Instances+w.rng.IntN(w.p.Servers)]
		c.moved = now
	}
	if c.serving {
		c.allot()
	}
	for _, id := range w.ids {
		if w.servers[id] != nil {
			c.serve(id)
		} else {
			c.ask(id)
		}
	}
}

// disturb pauses processes and cuts connections.
func (w *world) disturb(c *controller) {
	if w.rng.IntN(100) < w.p.Pause {
		c.paused = w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond
	}
	if w.rng.IntN(100) < w.p.Pause {
		w.servers[w.ids[w.p.Instances+w.rng.IntN(w.p.Servers)]].paused = w.now + time.Duration(w.rng.IntN(3000))*time.Millisecond
	}
	if w.rng.IntN(1000) < w.p.Cut {
		w.split(c, w.now+time.Duration(w.rng.IntN(12000))*time.Millisecond)
	}
}

// split partitions the network: c is left with some of the witnesses, the other controllers with the rest.
func (w *world) split(c *controller, until time.Duration) {
	share, whole := w.rng.IntN(4), w.rng.IntN(2) == 0
	for _, id := range w.ids {
		far := w.rng.IntN(4) <= share
		for _, o := range w.ctrls {
			if far == (o == c) && (whole || o == c) {
				w.cut[[2]string{o.name, id}], w.cut[[2]string{id, o.name}] = until, until
			}
		}
	}
}

// claim takes the next term, or the next epoch of the last one.
func (c *controller) claim() {
	w := c.w
	n := uint64(len(w.terms))
	last := lease.Pair{Term: n + 1}
	if c.pair != (lease.Pair{Term: n}) {
		last = lease.Pair{} // not the holder
	}
	if n > 0 && w.rng.IntN(3) == 0 && c.pair.Term < n {
		c.pair = lease.Pair{Term: n, Epoch: uint32(1 + slices.Index(w.ctrls, c))}
	} else {
		t := term{earlier: make(map[uint64][]string)}
		if n > 0 {
			last := w.terms[n-1]
			t.earlier[n] = last.set
			for k, set := range last.earlier {
				if !last.ready {
					t.earlier[k] = set
				}
			}
		}
		// Sets of few witnesses, often disjoint: the claimant named those that it reaches.
		for _, id := range w.ids {
			if w.cut[[2]string{c.name, id}] <= w.now && w.rng.IntN(3) > 0 {
				t.set = append(t.set, id)
			}
		}
		if len(t.set) == 0 {
			t.set = w.ids
		}
		w.terms = append(w.terms, t)
		c.pair = lease.Pair{Term: n + 1}
	}
	t := w.terms[c.pair.Term-1]
	var earlier [][]string
	for _, set := range t.earlier {
		if !t.ready {
			earlier = append(earlier, set)
		}
	}
	now := c.read(w.now)
	renewing := c.serving && c.next == nil && c.pair == last && c.quorum.Holds(now) && now.Sub(c.moved) >= quietFor
	c.fence = lease.NewFence(t.set, earlier, c.pair == lease.Pair{Term: 1})
	if renewing {
		c.next = lease.NewQuorum(t.set)
		for _, k := range c.backend {
			k.fresh = false
		}
		w.renewals++
		return
	}
	c.next, c.quorum = nil, lease.NewQuorum(t.set)
	c.serving, c.backend, c.owner = false, make(map[string]*known), make([]string, w.p.Slots)
	for id := range w.servers {
		c.backend[id] = &known{}
	}
}

// begin starts to serve: what other servers may hold by earlier grants is unknown.
func (c *controller) begin() {
	c.serving, c.settle = true, c.fence.Lapsed()
	for _, id := range c.w.ids[c.w.p.Instances:] {
		k := c.backend[id]
		if !k.confirmed {
			c.expose.Unknown(id+"/earlier", "p", c.settle)
		}
		if c.read(c.w.now).Sub(k.probedAt) > reportAge {
			k.reported = nil
		}
		for slot := range k.reported {
			c.owner[slot] = id
		}
	}
	if n := uint64(len(c.w.terms)); c.pair.Term == n {
		c.w.terms[n-1].ready = true
	}
}

// quietFor is how long no slot may have moved before a holder renews its term, as in package ctrl.
const quietFor = 2 * (lease.D + lease.L)

const reportAge = 500 * time.Millisecond

// renewed ends the renewal of a term: the holder goes on if it had authority until the new term was confirmed.
func (c *controller) renewed(now time.Time) {
	if !c.quorum.Holds(now) {
		c.fence, c.serving, c.next = nil, false, nil
		return
	}
	if !c.fence.Complete() {
		return
	}
	for _, id := range c.w.ids[c.w.p.Instances:] {
		if k := c.backend[id]; !k.fresh && k.lapse.After(now.Add(-lease.D-reportAge)) {
			c.expose.Unknown(id+"/earlier", "p", now.Add(lease.Stretch(lease.D+lease.L)))
		}
	}
	c.quorum, c.next = c.next, nil
	c.w.terms[c.pair.Term-1].ready = c.w.terms[c.pair.Term-1].ready || c.pair.Term == uint64(len(c.w.terms))
}

// confirm notes that a witness confirmed the pair after sent.
func (c *controller) confirm(id string, sent time.Time) {
	c.fence.Confirm(id, c.read(c.w.now))
	if c.next != nil {
		c.next.Confirm(id, sent)
	} else {
		c.quorum.Confirm(id, sent)
	}
}

// ask lets an instance confirm the pair.
func (c *controller) ask(id string) {
	w, pair, sent := c.w, c.pair, c.read(c.w.now)
	w.send(c.name, id, &clock{}, func() {
		ok := w.witness[id].Offer(pair)
		w.send(id, c.name, &c.clock, func() {
			if ok && c.pair == pair && c.fence != nil {
				c.confirm(id, sent)
			}
		})
	})
}

// serve probes a server, fences it, or sends it the slots it may serve.
func (c *controller) serve(id string) {
	k, now := c.backend[id], c.read(c.w.now)
	if k == nil || k.busy {
		return
	}
	k.busy = true
	g := grant{pair: c.pair, until: k.read.Add(lease.L)}
	switch {
	case !k.probed:
		c.call(id, grant{}, 0)
		return
	case k.confirmed && (!c.serving || !c.quorum.Holds(now)):
		k.busy = false
		return
	}
	var spans []lease.Span
	for slot := range k.set {
		g.slots = append(g.slots, slot)
	}
	slices.Sort(g.slots)
	for _, s := range g.slots {
		spans = append(spans, lease.Span{Pool: "p", First: s, Last: s})
	}
	c.calls++
	c.expose.Sent(id, c.calls, spans, k.readAt.Add(lease.Stretch(lease.L)))
	if len(spans) > 0 {
		k.lapse = k.readAt.Add(lease.Stretch(lease.L))
	}
	c.call(id, g, c.calls)
}

// allot decides for all servers in one pass what each may serve: a slot that stays in a server's set needs no check.
func (c *controller) allot() {
	now, next := c.read(c.w.now), make(map[string]map[uint32]bool)
	for i, id := range c.owner {
		k, slot := c.backend[id], uint32(i)
		if k == nil || !k.confirmed {
			continue
		}
		early := !now.Before(c.settle) || k.reported[slot]
		if k.set[slot] || (early && c.expose.Free("p", slot, id, now)) {
			if next[id] == nil {
				next[id] = make(map[uint32]bool)
			}
			next[id][slot] = true
			c.w.gave++
		}
	}
	for id, k := range c.backend {
		k.set = next[id]
	}
}

// call sends a grant to a server; the zero grant only asks. The call times out, but the grant may arrive later.
func (c *controller) call(id string, g grant, call uint64) {
	w, pair, sent, k := c.w, c.pair, c.read(c.w.now), c.backend[id]
	open := true
	w.at(lease.Interval, func() {
		if open {
			open, k.busy, k.probed = false, false, k.confirmed
		}
	})
	w.send(c.name, id, &w.servers[id].clock, func() {
		r := w.servers[id].apply(w, id, g)
		w.send(id, c.name, &c.clock, func() {
			if !open || c.backend[id] != k || c.fence == nil || c.pair != pair {
				return
			}
			open, k.busy = false, false
			c.answered(id, k, r, call, sent, pair)
		})
	})
}

func (s *server) apply(w *world, id string, g grant) reply {
	now := s.read(w.now)
	r := reply{clock: now}
	if g.pair != (lease.Pair{}) && w.witness[id].Offer(g.pair) {
		r.ok, s.until, s.held = true, g.until, make(map[uint32]bool)
		for _, slot := range g.slots {
			s.held[slot] = true
		}
	}
	if now.Before(s.until) {
		r.held = s.held
	}
	r.pair = w.witness[id].High()
	return r
}

func (c *controller) answered(id string, k *known, r reply, call uint64, sent time.Time, pair lease.Pair) {
	now := c.read(c.w.now)
	k.read, k.readAt = r.clock, now
	switch {
	case r.pair.Compare(pair) > 0:
		c.fence, c.serving = nil, false
	case call == 0:
		k.probed, k.reported, k.probedAt = true, r.held, sent
	case r.ok:
		if !k.confirmed && now.Sub(k.probedAt) > reportAge {
			k.reported = nil
		}
		k.confirmed, k.fresh = true, true
		c.expose.Accepted(id, call)
		c.expose.Known(id + "/earlier")
		c.confirm(id, sent)
	}
}

// Guards invariant 1: fails when a new controller doesn't wait D+L, when it needs fewer than n-m+1 witnesses of an
// earlier set, or when a slot is given away while another server may hold it.
func TestSlotIsNeverHeldTwice(t *testing.T) {
	gave, renewals := 0, 0
	for seed := range 400 {
		p := schedules.Example(seed)
		w := run(p, 40*time.Second)
		gave += w.gave
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
