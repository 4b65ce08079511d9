// Package push distributes state from the leader to the other instances, the members: the leader pushes changes of the
// shared streams, and each reply reports what a member has observed. Calls to the store are billed and limited, so one
// instance reads it for all. In a data centre with many instances, one relays the pushes and the replies.
package push

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// Interval is the time between pushes when nothing changes. Members take the leader for lost after missing three.
	Interval = 350 * time.Millisecond
	// minPushGap is the least time between two pushes to an instance, whose changes are sent together.
	minPushGap = 100 * time.Millisecond
	// pushGapPerMember times the number of receivers is the least time between two rounds: a push takes about 1 ms on a
	// third of a core. A relay that pushed to 75 members every 0.1 s had too little CPU time to reach them all.
	pushGapPerMember = 5 * time.Millisecond
	// callTimeout bounds a call, for the latency between regions and a slow instance.
	callTimeout = 800 * time.Millisecond
	// healthyTimeout bounds a push to an instance that answered the last: ten times the latency between regions.
	healthyTimeout = 450 * time.Millisecond
	// minLinkRate is the assumed bandwidth for a push, in bytes per second: a tenth of a small instance's link.
	minLinkRate = 100 << 10
	// forgetAfter is how long an instance that does not answer is kept. It introduces itself when it is back.
	forgetAfter = 8 * time.Second
	// backoff is the pause after a failed push.
	backoff = 500 * time.Millisecond
)

// Pusher is the leader's side. It may be used by many goroutines.
type Pusher struct {
	Self    string
	Client  *Client
	Streams *mirror.Streams
	// NewRequest returns a push without streams. It is called at most once per round.
	NewRequest func(now time.Time) *sitepb.PushRequest
	// OnReply is called with each reply and the start of its exchange, on PushRound's clock.
	OnReply func(start time.Time, addr string, r *sitepb.PushReply)
	// OnFailure is called for each push that was not answered.
	OnFailure func(addr string, err error)
	// CrashOnPanic runs part, on its own goroutine, and ends the process if it panics.
	CrashOnPanic func(part func())

	mu         sync.Mutex
	peers      map[string]*peer
	relays     map[string]relayChoice // by data centre
	noRelays   bool                   // never use relays
	minGap     time.Duration          // 0 means minPushGap
	lastNumber uint64                 // of the last push if NewRequest sets none
	wg         conc.WaitGroup
}

// peer is another instance. ackedSeqs holds, by topic, the number of the last change that it has.
type peer struct {
	ackedSeqs     [keyed.TopicCount]uint64
	state         peerState
	ackedEnds     [keyed.TopicCount]uint64 // offset up to which it has each stream
	inFlight      bool
	lastSent      time.Time
	lastHeard     time.Time
	retryAfter    time.Time
	failuresInRow int      // pushes that failed in a row
	newsNumber    uint64   // newsNumber of the last push to it, 0 if that failed
	knownPeers    []string // instances that it was last told of
	dc            string
	small         bool
	lastRelayed   time.Time // start of its last exchange with its relay
	unfitUntil    time.Time // it is not chosen as a relay before then
}

// peerState says which entries an instance is sent.
type peerState uint8

const (
	stateUnknown peerState = iota // none yet: its reply tells what it has
	stateBehind                   // those after the offsets it reported; another leader or a relay sent the rest
	stateEmpty                    // all entries
	stateCurrent                  // those that change
)

// AddPeer adds an instance, or resets the state of a known one, which has restarted.
func (p *Pusher) AddPeer(now time.Time, addr string) {
	if addr == "" || addr == p.Self {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = make(map[string]*peer)
	}
	p.peers[addr] = &peer{lastHeard: now}
}

// AddMissing adds instances that are not known yet.
func (p *Pusher) AddMissing(now time.Time, addrs []string) {
	for _, a := range addrs {
		p.mu.Lock()
		_, ok := p.peers[a]
		p.mu.Unlock()
		if !ok {
			p.AddPeer(now, a)
		}
	}
}

// SetPeers makes addrs the known instances. Those already known keep their state.
func (p *Pusher) SetPeers(now time.Time, addrs []string) {
	p.mu.Lock()
	for a := range p.peers {
		if !slices.Contains(addrs, a) {
			delete(p.peers, a)
		}
	}
	p.mu.Unlock()
	p.AddMissing(now, addrs)
}

// AllAddresses returns the sorted addresses of all instances, including this one.
func (p *Pusher) AllAddresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{p.Self}
	for a := range p.peers {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// LastNumber returns the number of the newest push.
func (p *Pusher) LastNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastNumber
}

// Member is an instance as its replies describe it. DC is empty if it has not answered yet.
type Member struct {
	Address, DC string
	Small       bool
}

// Members returns all other instances in no particular order.
func (p *Pusher) Members() (out []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, x := range p.peers {
		out = append(out, Member{a, x.dc, x.small})
	}
	return out
}

// PushRound pushes to each instance that lacks entries, and to all if newsNumber has changed or if Interval has
// passed. newsNumber changes whenever NewRequest returns something new; peers are the addresses of all instances.
func (p *Pusher) PushRound(now time.Time, newsNumber uint64, peers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, x := range p.peers {
		if now.Sub(x.lastHeard) > forgetAfter {
			delete(p.peers, addr)
		}
	}
	servedBy, cache, directPushes := p.assignRelays(now), make(encodingCache), 0
	var base *sitepb.PushRequest
	for addr, x := range p.peers {
		if x.inFlight || now.Before(x.retryAfter) || now.Sub(x.lastSent) < p.minInterval(len(servedBy[addr])) || p.leftToRelay(now, addr, x) {
			continue
		}
		if now.Sub(x.lastSent) < Interval && x.newsNumber == newsNumber && !p.lacksEntries(x) {
			continue
		}
		if p.servedByRelay(addr, x) {
			if directPushes++; directPushes > maxDirectPushes {
				continue
			}
		}
		x.inFlight, x.lastSent, x.newsNumber = true, now, newsNumber
		if base == nil {
			base = p.NewRequest(now)
		}
		req := &sitepb.PushRequest{
			From: base.From, Term: base.Term, LeadOffset: base.LeadOffset, UnconfirmedMs: base.UnconfirmedMs, Number: base.Number,
			Moving: base.Moving, Strikes: base.Strikes, Serves: servedBy[addr], Latencies: base.Latencies,
			Limits: base.Limits,
		}
		if req.Number == 0 {
			p.lastNumber++
			req.Number = p.lastNumber
		}
		seqs, state := p.addStreams(req, x, cache), x.state
		if !slices.Equal(x.knownPeers, peers) {
			req.Peers = peers
		}
		p.wg.Go(func() { p.CrashOnPanic(func() { p.sendPush(now, addr, x, req, state, seqs) }) })
	}
}

// minInterval returns the least time between two pushes to an instance that forwards them to n others. p.mu is held.
func (p *Pusher) minInterval(n int) time.Duration {
	if p.noRelays {
		n = len(p.peers)
	}
	return max(cmp.Or(p.minGap, minPushGap), time.Duration(n)*pushGapPerMember)
}

func (p *Pusher) lacksEntries(x *peer) bool {
	for t := range keyed.TopicCount {
		if p.Streams.LastChange(t) != x.ackedSeqs[t] {
			return true
		}
	}
	return x.state != stateCurrent
}

// addStreams adds the entries that x lacks to req.
func (p *Pusher) addStreams(req *sitepb.PushRequest, x *peer, cache encodingCache) (seqs [keyed.TopicCount]uint64) {
	if x.state == stateUnknown {
		return seqs
	}
	for t := range keyed.TopicCount {
		var s *sitepb.Stream
		s, seqs[t] = p.encodeStream(encodingKey{t, x.state, x.firstMissing(t)}, cache)
		req.Streams = append(req.Streams, s)
	}
	return seqs
}

// firstMissing returns where x begins to lack entries: an offset in stateBehind, else a change number.
func (x *peer) firstMissing(t keyed.Topic) uint64 {
	switch x.state {
	case stateBehind:
		return x.ackedEnds[t]
	case stateCurrent:
		return x.ackedSeqs[t]
	default:
		return 0
	}
}

// encodingKey says which entries an instance lacks.
type encodingKey struct {
	topic keyed.Topic
	state peerState
	from  uint64 // as returned by firstMissing
}

// encodingCache holds the messages of one round. Most instances lack the same; a thousand servers take milliseconds.
type encodingCache map[encodingKey]cachedStream

type cachedStream struct {
	*sitepb.Stream
	lastSeq uint64
}

func (p *Pusher) encodeStream(key encodingKey, cache encodingCache) (s *sitepb.Stream, lastSeq uint64) {
	if e, ok := cache[key]; ok {
		return e.Stream, e.lastSeq
	}
	batch, snapshot := keyed.Batch{}, key.state == stateEmpty
	if key.state == stateBehind {
		batch, lastSeq, snapshot = p.Streams.EntriesFrom(key.topic, key.from)
	} else {
		batch, lastSeq = p.Streams.ChangesAfter(key.topic, key.from)
	}
	s = stream.Encode(key.topic, batch, snapshot)
	cache[key] = cachedStream{s, lastSeq}
	return s, lastSeq
}

// sendPush sends req, which was filled for a peer in the given state.
func (p *Pusher) sendPush(start time.Time, addr string, x *peer, req *sitepb.PushRequest, state peerState, seqs [keyed.TopicCount]uint64) {
	size := time.Duration(proto.Size(req)) * time.Second / minLinkRate
	timeout := callTimeout + size
	if x.failuresInRow == 0 {
		// A first failure is retried without a pause.
		timeout = healthyTimeout + size
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	reply, err := p.Client.siteAt(addr).Push(ctx, req)
	now := start.Add(time.Since(began)) // on PushRound's clock
	p.mu.Lock()
	x.inFlight = false
	if err != nil {
		// All idle connections may have died without a reset, so the next push uses a new one.
		p.Client.http.CloseIdleConnections()
		if x.failuresInRow++; x.failuresInRow > 1 {
			x.retryAfter = now.Add(backoff)
		}
		// It is unknown whether the push arrived; the next one repeats it.
		x.newsNumber = 0
		p.mu.Unlock()
		p.OnFailure(addr, err)
		return
	}
	x.lastHeard, x.failuresInRow = now, 0
	if len(req.GetPeers()) > 0 {
		x.knownPeers = req.GetPeers()
	}
	x.updateFromReply(req, reply, state, seqs)
	x.dc, x.small = reply.GetDc(), reply.GetSmall()
	if reply.GetStopping() {
		delete(p.peers, addr)
	}
	relayedAnswers := p.recordRelayed(start, reply.GetRelayed())
	p.mu.Unlock()
	p.OnReply(start, addr, reply)
	for _, h := range relayedAnswers {
		p.OnReply(h.start, h.addr, h.reply)
	}
}

// updateFromReply records what an instance has after a push. If that is less than it was sent, it has restarted.
func (x *peer) updateFromReply(req *sitepb.PushRequest, reply *sitepb.PushReply, stateBefore peerState, seqs [keyed.TopicCount]uint64) {
	if stateBefore != stateUnknown {
		x.ackedSeqs, x.state = seqs, stateCurrent
	} else {
		x.state = stateBehind
	}
	x.updateEnds(reply)
	for _, h := range reply.GetHave() {
		if t := h.GetTopic(); stateBefore != stateUnknown && t < uint32(keyed.TopicCount) && h.GetEnd() < req.GetStreams()[t].GetEnd() {
			x.state = stateEmpty
		}
	}
}

// updateEnds records up to which offset an instance has each stream.
func (x *peer) updateEnds(reply *sitepb.PushReply) {
	for _, h := range reply.GetHave() {
		if t := h.GetTopic(); t < uint32(keyed.TopicCount) {
			if x.ackedEnds[t] = h.GetEnd(); h.GetEnd() == 0 {
				x.state = stateEmpty
			}
		}
	}
}

// Wait blocks until no push is in progress.
func (p *Pusher) Wait() { p.wg.Wait() }
