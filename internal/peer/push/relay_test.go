package push_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// relayMember is a member that can forward pushes.
type relayMember struct {
	t       *testing.T
	streams mirror.Streams
	addr    string
	relay   *push.Relay
	stopped atomic.Bool // while set, it does not answer, like a suspended process

	mu          sync.Mutex
	lastHeard   time.Time
	longestGap  time.Duration // between two pushes
	servedCount int           // number of members to forward the last push to
	latencies   []*sitepb.Latency
}

func startRelayMember(t *testing.T, dc string, small bool) *relayMember {
	t.Helper()
	m := &relayMember{t: t}
	m.addr = servePushes(t, func(r *sitepb.PushRequest) *sitepb.PushReply { return m.handlePush(r, dc, small) })
	m.relay = push.NewRelay(newPusher(&m.streams), time.Now, func([]*sitepb.Strike) {})
	m.relay.Self = m.addr
	return m
}

func (m *relayMember) handlePush(r *sitepb.PushRequest, dc string, small bool) *sitepb.PushReply {
	for m.stopped.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	now := time.Now()
	m.mu.Lock()
	if !m.lastHeard.IsZero() {
		m.longestGap = max(m.longestGap, now.Sub(m.lastHeard))
	}
	m.lastHeard, m.servedCount = now, len(r.GetServes())
	if len(r.GetLatencies()) > 0 {
		m.latencies = r.GetLatencies()
	}
	m.mu.Unlock()
	if err := stream.Apply(&m.streams, r.GetStreams()); err != nil {
		m.t.Error(err)
	}
	reply := &sitepb.PushReply{
		Term: r.GetTerm(), Dc: dc, Small: small, Have: stream.Have(&m.streams),
		Loads: []*sitepb.KeyLoad{{Pool: "p", Key: 7, Count: 1}},
		Seen:  []*sitepb.Seen{{Server: "s", Answers: 1, Seconds: 0.25}},
	}
	m.relay.Forward(now, r, nil, reply)
	return reply
}

// leader pushes to members and counts what they report.
type leader struct {
	push.Pusher
	ownPushes atomic.Int64 // sent by the leader itself

	mu           sync.Mutex
	lastExchange map[string]time.Time // start of the last exchange of each member
	loads        int
	answers      int
}

func newLeader(t *testing.T, members []*relayMember) *leader {
	l := &leader{lastExchange: make(map[string]time.Time)}
	l.Self, l.Client, l.Streams = "127.0.0.1:1", push.NewClient(), newStreams([]byte("c"), "a")
	l.NewRequest = func(time.Time) *sitepb.PushRequest { return &sitepb.PushRequest{Term: 1, From: l.Self} }
	l.OnReply = func(start time.Time, addr string, r *sitepb.PushReply) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lastExchange[addr] = start
		for _, k := range r.GetLoads() {
			l.loads += int(k.GetCount())
		}
		for _, s := range r.GetSeen() {
			l.answers += int(s.GetAnswers())
		}
	}
	l.OnFailure = func(string, error) {}
	l.CrashOnPanic = func(send func()) {
		l.ownPushes.Add(1)
		send()
	}
	for _, m := range members {
		l.AddPeer(time.Now(), m.addr)
	}
	t.Cleanup(l.Wait)
	return l
}

// pushFor pushes for d, or until cond holds if it is not nil.
func (l *leader) pushFor(d time.Duration, members []*relayMember, cond func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond != nil && cond() {
			return true
		}
		l.PushRound(time.Now(), 1, l.AllAddresses())
		for _, m := range members {
			m.relay.Repeat(time.Now(), nil)
		}
	}
	return cond == nil
}

// findRelay returns a member that forwards pushes to at least n others, nil if there is none.
func findRelay(members []*relayMember, n int) *relayMember {
	for _, m := range members {
		m.mu.Lock()
		serves := m.servedCount
		m.mu.Unlock()
		if serves >= n {
			return m
		}
	}
	return nil
}

// Guards against a leader that pushes to every instance itself, loses reports of members behind a relay or gets them late.
func TestRelay(t *testing.T) {
	var members []*relayMember
	for i := range 26 {
		members = append(members, startRelayMember(t, "a", i%2 == 0))
	}
	l := newLeader(t, members)
	if !l.pushFor(5*time.Second, members, func() bool { return findRelay(members, 20) != nil }) {
		t.Fatal("no relay")
	}
	l.pushFor(time.Second, members, nil)
	before := l.ownPushes.Load()
	l.pushFor(2*time.Second, members, nil)
	if n := l.ownPushes.Load() - before; n > 3*2000/350 {
		t.Errorf("the leader itself sent %d pushes in 2s", n)
	}
	l.Streams.Apply(keyed.Servers, singleEntry("a", 6, []byte("y")), false)
	begun := time.Now()
	if !l.pushFor(time.Second, members, func() bool {
		for _, m := range members {
			if m.streams.Get(keyed.Servers, "a").Offset != 6 {
				return false
			}
		}
		return true
	}) {
		t.Error("the change did not reach all members within 1s")
	}
	t.Logf("the change took %v to reach all members", time.Since(begun))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		if age := time.Since(l.lastExchange[m.addr]); age > 700*time.Millisecond {
			t.Errorf("the last exchange with %s began %v ago", m.addr, age)
		}
	}
	if l.loads < 26*5 || l.loads != l.answers {
		t.Errorf("members reported %d requests and %d answers, want as many of each and at least 130", l.loads, l.answers)
	}
}

// Guards against members that get no push for 1.2 s, after which they read the store, when their relay stops answering.
func TestRelayLost(t *testing.T) {
	var members []*relayMember
	for i := range 26 {
		members = append(members, startRelayMember(t, fmt.Sprint("dc", i%2), false))
	}
	l := newLeader(t, members)
	if !l.pushFor(5*time.Second, members, func() bool { return findRelay(members, 10) != nil }) {
		t.Fatal("no relay")
	}
	l.pushFor(time.Second, members, nil)
	lost := findRelay(members, 10)
	for _, m := range members {
		m.mu.Lock()
		m.longestGap = 0
		m.mu.Unlock()
	}
	lost.stopped.Store(true)
	defer lost.stopped.Store(false)
	l.pushFor(4*time.Second, members, nil)
	for _, m := range members {
		m.mu.Lock()
		longest := max(m.longestGap, time.Since(m.lastHeard))
		m.mu.Unlock()
		if m != lost && longest > 1200*time.Millisecond {
			t.Errorf("%s got no push for %v", m.addr, longest)
		}
	}
}

// Guards against a leader that stops when a relay answers for a member whose first direct push is still in progress: the
// reply was compared with the streams of that push, which had none.
func TestRelayedDuringFirstPush(t *testing.T) {
	have := []*sitepb.Have{{Topic: 0, End: 1}, {Topic: 1, End: 1}, {Topic: 2, End: 1}}
	var pushes atomic.Int64
	slow := servePushes(t, func(*sitepb.PushRequest) *sitepb.PushReply {
		if pushes.Add(1) == 1 {
			time.Sleep(300 * time.Millisecond)
		}
		return &sitepb.PushReply{Dc: "a", Have: have}
	})
	via := servePushes(t, func(*sitepb.PushRequest) *sitepb.PushReply {
		return &sitepb.PushReply{Dc: "a", Have: have, Relayed: []*sitepb.Relayed{{Member: slow, Reply: &sitepb.PushReply{Dc: "a", Have: have}}}}
	})
	l := newLeader(t, nil)
	l.AddPeer(time.Now(), slow)
	l.AddPeer(time.Now(), via)
	if !l.pushFor(3*time.Second, nil, func() bool { return pushes.Load() >= 3 }) {
		t.Errorf("the slow member got %d pushes, want at least 3", pushes.Load())
	}
}

// Guards against a leader that pushes to all members of a data centre itself after one failure of their relay. Pushes to 74
// instances of another region filled the link, so the next pushes to relays failed too.
func TestRelayReplaced(t *testing.T) {
	var members []*relayMember
	for range 26 {
		members = append(members, startRelayMember(t, "a", false))
	}
	l := newLeader(t, members)
	if !l.pushFor(5*time.Second, members, func() bool { return findRelay(members, 20) != nil }) {
		t.Fatal("no relay")
	}
	l.pushFor(time.Second, members, nil)
	lost := findRelay(members, 20)
	lost.stopped.Store(true)
	defer lost.stopped.Store(false)
	before := l.ownPushes.Load()
	l.Streams.Apply(keyed.Servers, singleEntry("a", 6, []byte("y")), false)
	if !l.pushFor(3*time.Second, members, func() bool {
		for _, m := range members {
			if m != lost && m.streams.Get(keyed.Servers, "a").Offset != 6 {
				return false
			}
		}
		return true
	}) {
		t.Error("the change did not reach all members within 3s")
	}
	// The leader pushes to the new relay eight times a second and retries the lost one.
	if n := l.ownPushes.Load() - before; n > 20 {
		t.Errorf("the leader itself sent %d pushes", n)
	}
}

// Guards against a leader that sends the full state to each instance of a data centre itself when all of them have just
// restarted, after most of a deployment was killed at once.
func TestAllInstancesRestart(t *testing.T) {
	var members []*relayMember
	for range 26 {
		members = append(members, startRelayMember(t, "a", false))
	}
	l := newLeader(t, members)
	if !l.pushFor(5*time.Second, members, func() bool {
		for _, m := range members {
			if m.streams.Get(keyed.Servers, "a").Offset == 0 {
				return false
			}
		}
		return true
	}) {
		t.Error("the state did not reach all members within 5s")
	}
	if n := l.ownPushes.Load(); n > 26+12 {
		t.Errorf("the leader itself sent %d pushes", n)
	}
}

// Guards against answer times that relays keep to themselves: the leader sends them in a part of its pushes only.
func TestLatenciesRelayed(t *testing.T) {
	var members []*relayMember
	for range 26 {
		members = append(members, startRelayMember(t, "a", false))
	}
	l := newLeader(t, members)
	if !l.pushFor(5*time.Second, members, func() bool { return findRelay(members, 20) != nil }) {
		t.Fatal("no relay")
	}
	since := time.Now()
	l.NewRequest = func(now time.Time) *sitepb.PushRequest {
		r := &sitepb.PushRequest{Term: 1, From: l.Self}
		if now.Sub(since) < push.Interval {
			r.Latencies = []*sitepb.Latency{{Server: "s", Millis: 250}}
		}
		return r
	}
	if !l.pushFor(3*time.Second, members, func() bool {
		for _, m := range members {
			m.mu.Lock()
			n := len(m.latencies)
			m.mu.Unlock()
			if n == 0 {
				return false
			}
		}
		return true
	}) {
		t.Error("not all members got the answer times")
	}
}
