package spread

import (
	"slices"
	"sync"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// relayWait is how long a relay waits for its members before it answers the leader: ten times the way within a data
// centre and back. Those that are slower are part of its next answer.
const relayWait = 50 * time.Millisecond

// Relay is the side of a member that passes the leader's pushes on and answers for the members that it reaches. It
// pushes only what the leader has just sent, so that its members notice the leader's silence.
type Relay struct {
	Pusher
	now   func() time.Time
	learn func(strikes []*sitepb.Strike)
	heard chan struct{} // has a value after an answer

	news    sync.Mutex // of what follows
	last    *sitepb.PushRequest
	taken   time.Time // arrival of last
	answers map[string]*answer
	loads   map[loadKey]uint32
	seen    map[string]*sitepb.Seen
}

// answer is the latest answer of a member.
type answer struct {
	start  time.Time
	reply  *sitepb.PushReply
	passed bool // the leader has got it
}

type loadKey struct {
	pool string
	key  uint32
}

// NewRelay returns a relay without members. learn takes the strikes that members have seen; they reach the leader with
// those of the instance itself. The relay pushes as leader does otherwise.
func NewRelay(leader *Pusher, now func() time.Time, learn func([]*sitepb.Strike)) *Relay {
	r := &Relay{
		Pusher: Pusher{
			Self: leader.Self, Client: leader.Client, Book: leader.Book, Failed: leader.Failed, Guard: leader.Guard, flat: true, gap: gap / 2,
		},
		now: now, learn: learn, heard: make(chan struct{}, 1),
	}
	r.Base, r.Heard = r.base, r.answered
	r.reset()
	return r
}

func (r *Relay) reset() {
	r.answers, r.loads, r.seen = make(map[string]*answer), make(map[loadKey]uint32), make(map[string]*sitepb.Seen)
}

// Pass passes a push on to the members that it names and adds their answers to the reply. peers are the addresses of all
// instances.
func (r *Relay) Pass(now time.Time, req *sitepb.PushRequest, peers []string, reply *sitepb.PushReply) {
	r.Only(now, req.GetServes())
	r.news.Lock()
	if len(req.GetServes()) == 0 {
		r.last = nil
		r.reset()
		r.news.Unlock()
		return
	}
	r.last, r.taken = req, now
	r.news.Unlock()
	r.Round(now, req.GetNumber(), peers)
	t := time.NewTimer(relayWait)
	defer t.Stop()
	for waiting := true; waiting && !r.complete(now, req.GetServes()); {
		select {
		case <-r.heard:
		case <-t.C:
			waiting = false
		}
	}
	r.report(reply)
}

// Again repeats the leader's last push to members that have not got it, or lack entries, while it is recent.
func (r *Relay) Again(now time.Time, peers []string) {
	r.news.Lock()
	last := r.last
	recent := last != nil && now.Sub(r.taken) < Interval
	r.news.Unlock()
	if recent {
		r.Round(now, last.GetNumber(), peers)
	}
}

// base returns the leader's last push, with times as of now.
func (r *Relay) base(now time.Time) *sitepb.PushRequest {
	r.news.Lock()
	defer r.news.Unlock()
	age := now.Sub(r.taken).Milliseconds()
	out := &sitepb.PushRequest{
		From: r.last.GetFrom(), Term: r.last.GetTerm(), LeadOffset: r.last.GetLeadOffset(), UnconfirmedMs: r.last.GetUnconfirmedMs() + age,
		Number: r.last.GetNumber(),
	}
	for _, s := range r.last.GetStrikes() {
		out.Strikes = append(out.Strikes, &sitepb.Strike{Print: s.GetPrint(), Server: s.GetServer(), AgeMs: s.GetAgeMs() + age})
	}
	for _, m := range r.last.GetMoving() {
		out.Moving = append(out.Moving, &sitepb.Range{
			Pool: m.GetPool(), First: m.GetFirst(), Last: m.GetLast(), WaitMs: max(0, m.GetWaitMs()-age),
		})
	}
	return out
}

// answered takes the answer of a member.
func (r *Relay) answered(start time.Time, addr string, reply *sitepb.PushReply) {
	r.learn(reply.GetStrikes())
	r.news.Lock()
	for _, l := range reply.GetLoads() {
		r.loads[loadKey{l.GetPool(), l.GetKey()}] += l.GetCount()
	}
	for _, s := range reply.GetSeen() {
		r.see(s)
	}
	reply.Loads, reply.Seen, reply.Strikes = nil, nil, nil
	r.answers[addr] = &answer{start: start, reply: reply}
	r.news.Unlock()
	select {
	case r.heard <- struct{}{}:
	default:
	}
}

// see adds what a member saw of a server. r.news is held.
func (r *Relay) see(s *sitepb.Seen) {
	sum := r.seen[s.GetServer()]
	if sum == nil {
		r.seen[s.GetServer()] = s
		return
	}
	if n := sum.GetAnswers() + s.GetAnswers(); n > 0 {
		sum.Seconds = (sum.GetSeconds()*float64(sum.GetAnswers()) + s.GetSeconds()*float64(s.GetAnswers())) / float64(n)
		sum.Answers = n
	}
}

// complete reports whether all members have answered since start.
func (r *Relay) complete(start time.Time, members []string) bool {
	r.news.Lock()
	defer r.news.Unlock()
	return !slices.ContainsFunc(members, func(m string) bool {
		a := r.answers[m]
		return a == nil || a.start.Before(start)
	})
}

// report adds what the members have said since the last call.
func (r *Relay) report(reply *sitepb.PushReply) {
	r.news.Lock()
	defer r.news.Unlock()
	now := r.now()
	for addr, a := range r.answers {
		if !a.passed {
			a.passed = true
			reply.Relayed = append(reply.Relayed, &sitepb.Relayed{Member: addr, AgeMs: now.Sub(a.start).Milliseconds() + 1, Reply: a.reply})
		}
	}
	for k, n := range r.loads {
		reply.Loads = append(reply.Loads, &sitepb.KeyLoad{Pool: k.pool, Key: k.key, Count: n})
	}
	for _, s := range r.seen {
		reply.Seen = append(reply.Seen, s)
	}
	clear(r.loads)
	clear(r.seen)
}
