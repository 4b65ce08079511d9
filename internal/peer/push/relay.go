package push

import (
	"slices"
	"sync"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// answerWait is how long a relay waits for its members before it answers the leader: ten round trips within a data
// centre. Later replies are part of its next answer.
const answerWait = 50 * time.Millisecond

// Relay forwards the leader's pushes to members of its data centre and returns their replies. It pushes only what the
// leader has just sent, so that its members notice when the leader falls silent.
type Relay struct {
	Pusher
	now           func() time.Time
	noteStrikes   func(strikes []*sitepb.Strike)
	answerArrived chan struct{} // receives a value after an answer

	stateMu      sync.Mutex // guards the fields below
	lastPush     *sitepb.PushRequest
	lastPushTime time.Time // when lastPush arrived
	answers      map[string]*answer
	loads        map[loadKey]uint32
	seen         map[string]*sitepb.Seen
}

// answer is the latest answer of a member.
type answer struct {
	start    time.Time
	reply    *sitepb.PushReply
	reported bool // already sent to the leader
}

type loadKey struct {
	pool string
	key  uint32
}

// NewRelay returns a relay without members. noteStrikes is called with the strikes that members report; they reach the
// leader with those of the instance itself. Other settings are those of leader.
func NewRelay(leader *Pusher, now func() time.Time, noteStrikes func([]*sitepb.Strike)) *Relay {
	r := &Relay{
		Pusher: Pusher{
			Self: leader.Self, Client: leader.Client, Streams: leader.Streams, OnFailure: leader.OnFailure, CrashOnPanic: leader.CrashOnPanic, noRelays: true, minGap: minPushGap / 2,
		},
		now: now, noteStrikes: noteStrikes, answerArrived: make(chan struct{}, 1),
	}
	r.NewRequest, r.OnReply = r.repeatRequest, r.recordAnswer
	r.resetAnswers()
	return r
}

func (r *Relay) resetAnswers() {
	r.answers, r.loads, r.seen = make(map[string]*answer), make(map[loadKey]uint32), make(map[string]*sitepb.Seen)
}

// Forward sends a push to the members that it names and adds their answers to the reply. peers are the addresses of all
// instances.
func (r *Relay) Forward(now time.Time, req *sitepb.PushRequest, peers []string, reply *sitepb.PushReply) {
	r.SetPeers(now, req.GetServes())
	r.stateMu.Lock()
	if len(req.GetServes()) == 0 {
		r.lastPush = nil
		r.resetAnswers()
		r.stateMu.Unlock()
		return
	}
	r.lastPush, r.lastPushTime = req, now
	r.stateMu.Unlock()
	r.PushRound(now, req.GetNumber(), peers)
	t := time.NewTimer(answerWait)
	defer t.Stop()
	for waiting := true; waiting && !r.allAnswered(now, req.GetServes()); {
		select {
		case <-r.answerArrived:
		case <-t.C:
			waiting = false
		}
	}
	r.addToReply(reply)
}

// Repeat sends the leader's last push again to members that have not received it or lack entries, while it is recent.
func (r *Relay) Repeat(now time.Time, peers []string) {
	r.stateMu.Lock()
	last := r.lastPush
	recent := last != nil && now.Sub(r.lastPushTime) < Interval
	r.stateMu.Unlock()
	if recent {
		r.PushRound(now, last.GetNumber(), peers)
	}
}

// repeatRequest returns the leader's last push with its times updated to now.
func (r *Relay) repeatRequest(now time.Time) *sitepb.PushRequest {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	age := now.Sub(r.lastPushTime).Milliseconds()
	out := &sitepb.PushRequest{
		From: r.lastPush.GetFrom(), Term: r.lastPush.GetTerm(), LeadOffset: r.lastPush.GetLeadOffset(), UnconfirmedMs: r.lastPush.GetUnconfirmedMs() + age,
		Number: r.lastPush.GetNumber(), Latencies: r.lastPush.GetLatencies(),
	}
	for _, s := range r.lastPush.GetStrikes() {
		out.Strikes = append(out.Strikes, &sitepb.Strike{Print: s.GetPrint(), Server: s.GetServer(), AgeMs: s.GetAgeMs() + age})
	}
	for _, l := range r.lastPush.GetLimits() {
		out.Limits = append(out.Limits, &sitepb.Limit{Server: l.GetServer(), Rate: l.GetRate(), Ended: l.GetEnded(), AgeMs: l.GetAgeMs() + age})
	}
	for _, m := range r.lastPush.GetMoving() {
		out.Moving = append(out.Moving, &sitepb.Range{
			Pool: m.GetPool(), First: m.GetFirst(), Last: m.GetLast(), WaitMs: max(0, m.GetWaitMs()-age),
		})
	}
	return out
}

// recordAnswer stores a member's answer and sums up its statistics.
func (r *Relay) recordAnswer(start time.Time, addr string, reply *sitepb.PushReply) {
	r.noteStrikes(reply.GetStrikes())
	r.stateMu.Lock()
	for _, l := range reply.GetLoads() {
		r.loads[loadKey{l.GetPool(), l.GetKey()}] += l.GetCount()
	}
	for _, s := range reply.GetSeen() {
		r.addSeen(s)
	}
	reply.Loads, reply.Seen, reply.Strikes = nil, nil, nil
	r.answers[addr] = &answer{start: start, reply: reply}
	r.stateMu.Unlock()
	select {
	case r.answerArrived <- struct{}{}:
	default:
	}
}

// addSeen adds a member's statistics of a server. r.stateMu is held.
func (r *Relay) addSeen(s *sitepb.Seen) {
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

// allAnswered reports whether all members have answered since start.
func (r *Relay) allAnswered(start time.Time, members []string) bool {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return !slices.ContainsFunc(members, func(m string) bool {
		a := r.answers[m]
		return a == nil || a.start.Before(start)
	})
}

// addToReply adds what the members have reported since the last call.
func (r *Relay) addToReply(reply *sitepb.PushReply) {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	now := r.now()
	for addr, a := range r.answers {
		if !a.reported {
			a.reported = true
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
