// Package spread carries news between the leader and the other instances: the leader pushes changes of the shared
// streams, and each answer brings back what a member has seen. One reader thus serves all instances, since calls to the
// store are priced and limited. In a data centre with many instances one of them relays the pushes and the answers.
package spread

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/peer/feed"
	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// Interval is the time between two pushes without news. Members tell the leader's loss by three missing ones.
	Interval = 350 * time.Millisecond
	// gap is the least time between two pushes to an instance. The changes of that time share one.
	gap = 100 * time.Millisecond
	// each is the least time between two rounds of news for each instance that gets them: a push takes some 1 ms on a third of
	// a core. A relay that sent news to 75 members each 0.1 s had no processor time left to reach all of them.
	each = 5 * time.Millisecond
	// callTimeout bounds a push: the way between regions and a slow instance.
	callTimeout = 800 * time.Millisecond
	// firstTimeout bounds a push after one that was answered: ten times the way between regions.
	firstTimeout = 450 * time.Millisecond
	// slowest is the rate that a push is given time for, in bytes a second: a tenth of a small instance's link.
	slowest = 100 << 10
	// forget is how long an instance is remembered that does not answer. It introduces itself when it is back.
	forget = 8 * time.Second
	// backoff is the pause after a failed push.
	backoff = 500 * time.Millisecond
)

// Pusher is the leader's side. It may be used by many goroutines.
type Pusher struct {
	Self   string
	Client *Client
	Book   *feed.Book
	// Base returns a push without streams. It is called at most once in a round.
	Base func(now time.Time) *sitepb.PushRequest
	// Heard is called with each answer and the start of its exchange, by the clock of Round.
	Heard func(start time.Time, addr string, r *sitepb.PushReply)
	// Failed is called with each push that was not answered.
	Failed func(addr string, err error)
	// Guard runs a part in the background and ends the process if that panics.
	Guard func(part func())

	mu     sync.Mutex
	peers  map[string]*peer
	relays map[string]assignment // by data centre
	flat   bool                  // no relays
	gap    time.Duration         // 0 means the constant
	number uint64                // of the last push
	wg     conc.WaitGroup
}

// peer is another instance. seqs are the numbers of the changes that it has.
type peer struct {
	seqs     [keyed.Count]uint64
	state    peerState
	ends     [keyed.Count]uint64 // what it has of each stream, once it has answered
	busy     bool
	sent     time.Time
	heard    time.Time
	retry    time.Time
	failures int      // pushes in a row
	fresh    uint64   // number of the news that it got last
	told     []string // the instances that it was told of
	dc       string
	small    bool
	relayed  time.Time // start of its last exchange with its relay
	unfit    time.Time // it is not chosen as a relay until then
}

// peerState says what an instance is sent.
type peerState uint8

const (
	unknown peerState = iota // nothing yet: its answer tells what it has
	behind                   // what it lacks by offset, as it was told by another leader before
	empty                    // everything
	current                  // what changes
)

// Meet adds an instance, or notes that it has started anew.
func (p *Pusher) Meet(now time.Time, addr string) {
	if addr == "" || addr == p.Self {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = make(map[string]*peer)
	}
	p.peers[addr] = &peer{heard: now}
}

// Keep adds instances that are not known yet.
func (p *Pusher) Keep(now time.Time, addrs []string) {
	for _, a := range addrs {
		p.mu.Lock()
		_, ok := p.peers[a]
		p.mu.Unlock()
		if !ok {
			p.Meet(now, a)
		}
	}
}

// Only keeps these instances, adds those of them that are not known yet, and forgets all others.
func (p *Pusher) Only(now time.Time, addrs []string) {
	p.mu.Lock()
	for a := range p.peers {
		if !slices.Contains(addrs, a) {
			delete(p.peers, a)
		}
	}
	p.mu.Unlock()
	p.Keep(now, addrs)
}

// Peers returns the addresses of all instances, this one included, in order.
func (p *Pusher) Peers() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{p.Self}
	for a := range p.peers {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// Member is an instance as its answers describe it. DC is empty for one that has not answered.
type Member struct {
	Address, DC string
	Small       bool
}

// Members returns all other instances in no order.
func (p *Pusher) Members() (out []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, x := range p.peers {
		out = append(out, Member{a, x.dc, x.small})
	}
	return out
}

// Round sends to each instance what it lacks, if there is news or the interval has passed. news is a number that changes
// with what Base returns, peers are the addresses of all instances.
func (p *Pusher) Round(now time.Time, news uint64, peers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, x := range p.peers {
		if now.Sub(x.heard) > forget {
			delete(p.peers, addr)
		}
	}
	serves, encoded, direct := p.assign(now), make(encodings), 0
	var base *sitepb.PushRequest
	for addr, x := range p.peers {
		if x.busy || now.Before(x.retry) || now.Sub(x.sent) < p.pace(len(serves[addr])) || p.covered(now, addr, x) {
			continue
		}
		if now.Sub(x.sent) < Interval && x.fresh == news && !p.behind(x) {
			continue
		}
		if p.viaRelay(addr, x) {
			if direct++; direct > directs {
				continue
			}
		}
		x.busy, x.sent, x.fresh = true, now, news
		if base == nil {
			base = p.Base(now)
		}
		req := &sitepb.PushRequest{
			From: base.From, Term: base.Term, LeadOffset: base.LeadOffset, UnconfirmedMs: base.UnconfirmedMs, Number: base.Number,
			Moving: base.Moving, Strikes: base.Strikes, Serves: serves[addr],
		}
		if req.Number == 0 {
			p.number++
			req.Number = p.number
		}
		seqs, state := p.fill(req, x, encoded), x.state
		if !slices.Equal(x.told, peers) {
			req.Peers = peers
		}
		p.wg.Go(func() { p.Guard(func() { p.send(now, addr, x, req, state, seqs) }) })
	}
}

// pace returns the least time between two pushes to an instance that passes them on to n others. p.mu is held.
func (p *Pusher) pace(n int) time.Duration {
	if p.flat {
		n = len(p.peers)
	}
	return max(cmp.Or(p.gap, gap), time.Duration(n)*each)
}

func (p *Pusher) behind(x *peer) bool {
	for t := range keyed.Count {
		if p.Book.Last(t) != x.seqs[t] {
			return true
		}
	}
	return x.state != current
}

// fill adds the streams that x lacks to a push.
func (p *Pusher) fill(req *sitepb.PushRequest, x *peer, encoded encodings) (seqs [keyed.Count]uint64) {
	if x.state == unknown {
		return seqs
	}
	for t := range keyed.Count {
		var s *sitepb.Stream
		s, seqs[t] = p.stream(lack{t, x.state, x.basis(t)}, encoded)
		req.Streams = append(req.Streams, s)
	}
	return seqs
}

// basis returns from where on x lacks entries of a topic, as its state counts.
func (x *peer) basis(t keyed.Topic) uint64 {
	switch x.state {
	case behind:
		return x.ends[t]
	case current:
		return x.seqs[t]
	default:
		return 0
	}
}

// lack is what an instance lacks of a topic.
type lack struct {
	topic keyed.Topic
	state peerState
	from  uint64 // an offset for one that is behind, else the number of a change
}

// encodings are the messages of one round. Most instances lack the same, and a thousand servers take milliseconds to encode.
type encodings map[lack]encoding

type encoding struct {
	*sitepb.Stream
	last uint64
}

func (p *Pusher) stream(l lack, encoded encodings) (s *sitepb.Stream, last uint64) {
	if e, ok := encoded[l]; ok {
		return e.Stream, e.last
	}
	var batch keyed.Batch
	if l.state == behind {
		batch, last = p.Book.From(l.topic, l.from)
	} else {
		batch, last = p.Book.Since(l.topic, l.from)
	}
	s = stream.Encode(l.topic, batch, l.state == empty)
	encoded[l] = encoding{s, last}
	return s, last
}

// send pushes req, which was filled for a peer in the given state.
func (p *Pusher) send(start time.Time, addr string, x *peer, req *sitepb.PushRequest, state peerState, seqs [keyed.Count]uint64) {
	size := time.Duration(proto.Size(req)) * time.Second / slowest
	timeout := callTimeout + size
	if x.failures == 0 {
		// A first failure is repeated at once.
		timeout = firstTimeout + size
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	reply, err := p.Client.at(addr).Push(ctx, req)
	now := start.Add(time.Since(began)) // by the clock of Round
	p.mu.Lock()
	x.busy = false
	if err != nil {
		// Idle connections may have gone silent together; the next push goes over a new one.
		p.Client.http.CloseIdleConnections()
		if x.failures++; x.failures > 1 {
			x.retry = now.Add(backoff)
		}
		// Whether the push arrived is not known; the next one repeats it.
		x.fresh = 0
		p.mu.Unlock()
		p.Failed(addr, err)
		return
	}
	x.heard, x.failures = now, 0
	if len(req.GetPeers()) > 0 {
		x.told = req.GetPeers()
	}
	x.learn(req, reply, state, seqs)
	x.dc, x.small = reply.GetDc(), reply.GetSmall()
	if reply.GetStopping() {
		delete(p.peers, addr)
	}
	heard := p.takeRelayed(start, reply.GetRelayed())
	p.mu.Unlock()
	p.Heard(start, addr, reply)
	for _, h := range heard {
		p.Heard(h.start, h.addr, h.reply)
	}
}

// learn takes what an instance says that it has after a push. One that has less than it was sent has started anew.
func (x *peer) learn(req *sitepb.PushRequest, reply *sitepb.PushReply, was peerState, seqs [keyed.Count]uint64) {
	if was != unknown {
		x.seqs, x.state = seqs, current
	} else {
		x.state = behind
	}
	x.has(reply)
	for _, h := range reply.GetHave() {
		if t := h.GetTopic(); was != unknown && t < uint32(keyed.Count) && h.GetEnd() < req.GetStreams()[t].GetEnd() {
			x.state = empty
		}
	}
}

// has takes how far an instance has each stream.
func (x *peer) has(reply *sitepb.PushReply) {
	for _, h := range reply.GetHave() {
		if t := h.GetTopic(); t < uint32(keyed.Count) {
			if x.ends[t] = h.GetEnd(); h.GetEnd() == 0 {
				x.state = empty
			}
		}
	}
}

// Wait returns when no push is under way.
func (p *Pusher) Wait() { p.wg.Wait() }
