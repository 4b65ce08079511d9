package room_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/pick"
	"github.com/bramleycove/bramleycove/internal/flow/room"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// The players below put loads on a few servers in virtual time. They use the real choice of servers with their limits (package pick)
// and let the requests that find no room be decided by package room, or as they were before it.

// play is a load on the servers of one pool and the instances in front of them, in virtual time.
type play struct {
	instances, servers, slots, queue int
	length                           time.Duration
	routes                           []playedRoute
	slow                             func(server int, at time.Duration) float64 // factor of the work; 0 means that the server is gone
	today                            bool                                       // decide as before package room
	rnd                              *rand.Rand                                 // of decisions and servers
	arrivals                         *rand.Rand                                 // equal for equal seeds, whatever is decided

	now    time.Time
	last   int
	events eventHeap
	inst   []*instance
	backs  []*backend
	got    map[int]*tally
}

type playedRoute struct {
	name                  string
	priority              int
	work, target, timeout time.Duration
	rate                  func(at time.Duration) float64
	clump                 int // requests that come together; 0 means 1
}

// tally is what became of the requests of a priority. Those that come again are offered once.
type tally struct {
	offered, served, inTime, waits, refusals int
	credit                                   float64
	waited, refusedWait                      time.Duration
	returned, returnedRefused                int
	newServed                                int // newcomers sent
	overtaken                                int // newcomers sent within overtakeTime of the refusal of a request that came again
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.offered)) }

type backend struct{ running, waiting []*visit }

type instance struct {
	stats               []*pick.ServerStats
	lastReturnedRefused map[int]time.Time // by priority
	room                *room.Room[*visit]
}

// visit is a request at an instance.
type visit struct {
	room.Request
	*playedRoute
	in        *instance
	firstAt   time.Time // when the caller first sent it
	again     bool
	tried     map[int]bool
	waitsFrom time.Time     // when it last found no room
	hasWaited time.Duration // before it was sent
	sentAt    time.Time
	server    int
	finished  bool
}

type event struct {
	at time.Time
	n  int
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

var playStart = time.Unix(1000, 0)

func (p *play) after(d time.Duration, do func()) {
	p.last++
	heap.Push(&p.events, event{p.now.Add(d), p.last, do})
}

func (p *play) elapsed() time.Duration { return p.now.Sub(playStart) }

// run plays the load and returns what became of the requests, by priority.
func (p *play) run(seed uint64) map[int]*tally {
	p.rnd, p.arrivals = rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	p.now, p.got = playStart, make(map[int]*tally)
	if p.slow == nil {
		p.slow = func(int, time.Duration) float64 { return 1 }
	}
	for range p.servers {
		p.backs = append(p.backs, new(backend))
	}
	for range p.instances {
		in := &instance{lastReturnedRefused: make(map[int]time.Time), room: room.New[*visit](p.rnd)}
		for range p.servers {
			in.stats = append(in.stats, &pick.ServerStats{Share: 3 * float64(p.slots) / float64(p.instances)})
		}
		p.inst = append(p.inst, in)
		if !p.today {
			p.tick(in)
		}
	}
	for i := range p.routes {
		if p.got[p.routes[i].priority] == nil {
			p.got[p.routes[i].priority] = new(tally)
		}
		p.nextArrival(&p.routes[i])
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	return p.got
}

func (p *play) nextArrival(r *playedRoute) {
	clump := max(1, r.clump)
	p.after(time.Duration(p.arrivals.ExpFloat64()*float64(clump)/r.rate(p.elapsed())*float64(time.Second)), func() {
		if p.elapsed() > p.length {
			return
		}
		for range clump {
			p.got[r.priority].offered++
			p.arrive(r, p.now, false)
		}
		p.nextArrival(r)
	})
}

// arrive brings a request to one of the instances.
func (p *play) arrive(r *playedRoute, firstAt time.Time, again bool) {
	v := &visit{playedRoute: r, in: p.inst[p.rnd.IntN(p.instances)], firstAt: firstAt, again: again, tried: make(map[int]bool)}
	v.Request = room.Request{Route: r.name, Priority: r.priority, ReceivedAt: p.now, Deadline: firstAt.Add(r.timeout), Target: r.target}
	if again {
		p.got[r.priority].returned++
	}
	p.decide(v)
}

// decide sends the request, lets it wait, or refuses it.
func (p *play) decide(v *visit) {
	v.waitsFrom = p.now
	if p.today {
		p.poll(v)
		return
	}
	if v.in.room.Len() > 0 && !v.in.room.Before(p.now, v.Request) {
		p.fill(v.in)
	}
	if p.send(v, false) {
		return
	}
	verdict := v.in.room.Worth(p.now, v.Request)
	if !verdict.Wait {
		p.refuse(v, verdict.RetryAfter)
		return
	}
	p.got[v.priority].waits++
	v.in.room.Join(p.now, &room.Waiter[*visit]{Request: v.Request, Value: v})
}

// poll is the decision before package room: it checks for room every 15 ms for an eighth of the target, 150 ms at most.
func (p *play) poll(v *visit) {
	if p.send(v, false) {
		return
	}
	if !p.now.Before(v.ReceivedAt.Add(min(150*time.Millisecond, v.target/8))) {
		p.refuse(v, 300*time.Millisecond+time.Duration(p.rnd.Int64N(int64(600*time.Millisecond))))
		return
	}
	p.after(15*time.Millisecond, func() { p.poll(v) })
}

func (p *play) tick(in *instance) {
	p.after(15*time.Millisecond, func() {
		p.fill(in)
		if p.elapsed() < p.length+10*time.Second {
			p.tick(in)
		}
	})
}

func (p *play) fill(in *instance) {
	for _, w := range in.room.Hopeless(p.now) {
		in.room.Leave(w)
		p.refuse(w.Value, in.room.Refuse(p.now, w.Request))
	}
	in.room.Fill(p.now, func(w *room.Waiter[*visit]) room.Turn {
		if !p.send(w.Value, w.Due()) {
			return room.Full
		}
		w.Value.Waited = true
		return room.Sent
	})
}

func (p *play) refuse(v *visit, after time.Duration) {
	t := p.got[v.priority]
	t.refusals++
	t.refusedWait += v.hasWaited + p.now.Sub(v.waitsFrom)
	if v.again {
		t.returnedRefused++
		if v.Sends == 0 {
			v.in.lastReturnedRefused[v.priority] = p.now
		}
		return
	}
	if left := v.Deadline.Sub(p.now); after > 0 && after <= left/3 {
		p.after(after, func() { p.arrive(v.playedRoute, v.firstAt, true) })
	}
}

// send sends the request if a server has room.
func (p *play) send(v *visit, due bool) bool {
	var candidates []pick.Candidate
	var ids []int
	urgent := v.priority == 0 || due
	for i, st := range v.in.stats {
		if !v.tried[i] {
			candidates, ids = append(candidates, pick.Candidate{ServerStats: st, Server: &topo.Server{Slots: p.slots}}), append(ids, i)
		}
	}
	i, _ := pick.Choose(p.now, p.rnd, urgent, candidates)
	if i < 0 {
		return false
	}
	v.server, v.sentAt = ids[i], p.now
	v.hasWaited += p.now.Sub(v.waitsFrom)
	v.in.stats[v.server].Start()
	if v.Sends == 0 {
		p.got[v.priority].waited += p.now.Sub(v.ReceivedAt)
		if !v.again {
			p.got[v.priority].newServed++
			if p.now.Sub(v.in.lastReturnedRefused[v.priority]) < overtakeTime {
				p.got[v.priority].overtaken++
			}
		}
	}
	v.Sends++
	v.Waited = false
	v.finished = false
	b := p.backs[v.server]
	switch {
	case p.slow(v.server, p.elapsed()) == 0:
		p.after(time.Millisecond, func() { p.failed(v, limit.Broken) })
	case len(b.running)+len(b.waiting) >= p.slots+p.queue:
		p.after(time.Millisecond, func() { p.failed(v, limit.Shed) })
	default:
		b.waiting = append(b.waiting, v)
		p.serve(b)
		p.after(v.Deadline.Sub(p.now), func() { p.finish(v, limit.Timeout) })
	}
	return true
}

func (p *play) serve(b *backend) {
	for len(b.running) < p.slots && len(b.waiting) > 0 {
		v := b.waiting[0]
		b.waiting, b.running = b.waiting[1:], append(b.running, v)
		factor := max(1, p.slow(v.server, p.elapsed())) * (0.8 + 0.4*p.rnd.Float64())
		p.after(time.Duration(float64(v.work)*factor), func() {
			b.running = b.running[1:]
			p.serve(b)
			p.finish(v, limit.Done)
		})
	}
}

// failed ends an attempt that the server refused, and makes a second one.
func (p *play) failed(v *visit, out limit.Outcome) {
	v.tried[v.server] = true
	st := v.in.stats[v.server]
	st.Finish(p.now, out, p.now.Sub(v.sentAt), v.target, false)
	if out == limit.Broken {
		st.RecordConnRefused(p.now)
	}
	v.waitsFrom = p.now
	if v.Sends >= 3 {
		p.refuse(v, 250*time.Millisecond)
		return
	}
	p.decide(v)
}

// finish ends an attempt with an answer, or without one at the deadline.
func (p *play) finish(v *visit, out limit.Outcome) {
	if v.finished {
		return
	}
	v.finished = true
	took := p.now.Sub(v.sentAt)
	v.in.stats[v.server].Finish(p.now, out, took, v.target, false)
	if !p.today {
		v.in.room.Observe(p.now, room.Answer{Request: v.Request, Place: "a", Took: took, OK: out == limit.Done})
	}
	if out == limit.Done {
		t := p.got[v.priority]
		t.served++
		if p.now.Sub(v.firstAt) <= v.target {
			t.inTime++
			t.credit++
		} else {
			t.credit += lateCredit
		}
	}
	if !p.today {
		p.fill(v.in)
	}
}

// overtakeTime is a time in which the room of an instance hardly changes.
const overtakeTime = 30 * time.Millisecond

// lateCredit is the credit for an answer after the target.
const lateCredit = 0.3
