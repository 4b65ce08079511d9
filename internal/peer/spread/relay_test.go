package spread_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/feed"
	"github.com/bramleycove/bramleycove/internal/peer/spread"
	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// relayed is a member that passes pushes on when it is told to.
type relayed struct {
	t       *testing.T
	book    feed.Book
	addr    string
	relay   *spread.Relay
	stopped atomic.Bool // it does not answer, like a process that stands still

	mu      sync.Mutex
	heard   time.Time
	longest time.Duration // between two pushes
	serves  int           // members that it was told to serve last
}

func listenRelayed(t *testing.T, dc string, small bool) *relayed {
	t.Helper()
	m := &relayed{t: t}
	m.addr = serve(t, func(r *sitepb.PushRequest) *sitepb.PushReply { return m.push(r, dc, small) })
	m.relay = spread.NewRelay(newPusher(&m.book), time.Now, func([]*sitepb.Strike) {})
	m.relay.Self = m.addr
	return m
}

func (m *relayed) push(r *sitepb.PushRequest, dc string, small bool) *sitepb.PushReply {
	for m.stopped.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	now := time.Now()
	m.mu.Lock()
	if !m.heard.IsZero() {
		m.longest = max(m.longest, now.Sub(m.heard))
	}
	m.heard, m.serves = now, len(r.GetServes())
	m.mu.Unlock()
	if err := stream.Apply(&m.book, r.GetStreams()); err != nil {
		m.t.Error(err)
	}
	reply := &sitepb.PushReply{
		Term: r.GetTerm(), Dc: dc, Small: small, Have: stream.Have(&m.book),
		Loads: []*sitepb.KeyLoad{{Pool: "p", Key: 7, Count: 1}},
		Seen:  []*sitepb.Seen{{Server: "s", Answers: 1, Seconds: 0.25}},
	}
	m.relay.Pass(now, r, nil, reply)
	return reply
}

// lead is a leader of members in one data centre.
type lead struct {
	spread.Pusher
	pushes atomic.Int64 // by the leader itself

	mu      sync.Mutex
	last    map[string]time.Time // start of the last exchange of each member
	loads   int
	answers int
}

func newLead(t *testing.T, members []*relayed) *lead {
	l := &lead{last: make(map[string]time.Time)}
	l.Self, l.Client, l.Book = "127.0.0.1:1", spread.NewClient(), newBook([]byte("c"), "a")
	l.Base = func(time.Time) *sitepb.PushRequest { return &sitepb.PushRequest{Term: 1, From: l.Self} }
	l.Heard = func(start time.Time, addr string, r *sitepb.PushReply) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.last[addr] = start
		for _, k := range r.GetLoads() {
			l.loads += int(k.GetCount())
		}
		for _, s := range r.GetSeen() {
			l.answers += int(s.GetAnswers())
		}
	}
	l.Failed = func(string, error) {}
	l.Guard = func(send func()) {
		l.pushes.Add(1)
		send()
	}
	for _, m := range members {
		l.Meet(time.Now(), m.addr)
	}
	t.Cleanup(l.Wait)
	return l
}

// run pushes for d, or until cond holds if it is not nil.
func (l *lead) run(d time.Duration, members []*relayed, cond func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond != nil && cond() {
			return true
		}
		l.Round(time.Now(), 1, l.Peers())
		for _, m := range members {
			m.relay.Again(time.Now(), nil)
		}
	}
	return cond == nil
}

// serving returns a member that passes pushes on to at least n others, nil if there is none.
func serving(members []*relayed, n int) *relayed {
	for _, m := range members {
		m.mu.Lock()
		serves := m.serves
		m.mu.Unlock()
		if serves >= n {
			return m
		}
	}
	return nil
}

// Guards against a leader that sends to every instance itself, and loses reports or hears late of members behind a relay.
func TestRelay(t *testing.T) {
	var members []*relayed
	for i := range 26 {
		members = append(members, listenRelayed(t, "a", i%2 == 0))
	}
	l := newLead(t, members)
	if !l.run(5*time.Second, members, func() bool { return serving(members, 20) != nil }) {
		t.Fatal("no relay")
	}
	l.run(time.Second, members, nil)
	before := l.pushes.Load()
	l.run(2*time.Second, members, nil)
	if n := l.pushes.Load() - before; n > 3*2000/350 {
		t.Errorf("%d pushes in 2s by the leader itself", n)
	}
	l.Book.Apply(keyed.Servers, entry("a", 6, []byte("y")), false)
	begun := time.Now()
	if !l.run(time.Second, members, func() bool {
		for _, m := range members {
			if m.book.Get(keyed.Servers, "a").Offset != 6 {
				return false
			}
		}
		return true
	}) {
		t.Error("news not within 1s")
	}
	t.Logf("news took %v", time.Since(begun))
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		if age := time.Since(l.last[m.addr]); age > 700*time.Millisecond {
			t.Errorf("%s was heard of %v ago", m.addr, age)
		}
	}
	if l.loads < 26*5 || l.loads != l.answers {
		t.Errorf("%d requests and %d answers reported", l.loads, l.answers)
	}
}

// Guards against members that hear nothing for longer than members wait before they turn to the store, 1.2 s, when their
// relay stands still.
func TestRelayLost(t *testing.T) {
	var members []*relayed
	for i := range 26 {
		members = append(members, listenRelayed(t, fmt.Sprint("dc", i%2), false))
	}
	l := newLead(t, members)
	if !l.run(5*time.Second, members, func() bool { return serving(members, 10) != nil }) {
		t.Fatal("no relay")
	}
	l.run(time.Second, members, nil)
	lost := serving(members, 10)
	for _, m := range members {
		m.mu.Lock()
		m.longest = 0
		m.mu.Unlock()
	}
	lost.stopped.Store(true)
	defer lost.stopped.Store(false)
	l.run(4*time.Second, members, nil)
	for _, m := range members {
		m.mu.Lock()
		longest := max(m.longest, time.Since(m.heard))
		m.mu.Unlock()
		if m != lost && longest > 1200*time.Millisecond {
			t.Errorf("%s heard nothing for %v", m.addr, longest)
		}
	}
}

// Guards against a leader that stands still because a relay answers for a member whose first direct push is under way: the
// streams that the member lacked were looked up in a push that had none.
func TestRelayedDuringFirstPush(t *testing.T) {
	have := []*sitepb.Have{{Topic: 0, End: 1}, {Topic: 1, End: 1}, {Topic: 2, End: 1}}
	var pushes atomic.Int64
	slow := serve(t, func(*sitepb.PushRequest) *sitepb.PushReply {
		if pushes.Add(1) == 1 {
			time.Sleep(300 * time.Millisecond)
		}
		return &sitepb.PushReply{Dc: "a", Have: have}
	})
	via := serve(t, func(*sitepb.PushRequest) *sitepb.PushReply {
		return &sitepb.PushReply{Dc: "a", Have: have, Relayed: []*sitepb.Relayed{{Member: slow, Reply: &sitepb.PushReply{Dc: "a", Have: have}}}}
	})
	l := newLead(t, nil)
	l.Meet(time.Now(), slow)
	l.Meet(time.Now(), via)
	if !l.run(3*time.Second, nil, func() bool { return pushes.Load() >= 3 }) {
		t.Errorf("%d pushes", pushes.Load())
	}
}

// Guards against a leader that sends its news to all members of a data centre itself because their relay failed once: 74
// instances of another region filled the link, on which the next pushes to relays failed.
func TestRelayReplaced(t *testing.T) {
	var members []*relayed
	for range 26 {
		members = append(members, listenRelayed(t, "a", false))
	}
	l := newLead(t, members)
	if !l.run(5*time.Second, members, func() bool { return serving(members, 20) != nil }) {
		t.Fatal("no relay")
	}
	l.run(time.Second, members, nil)
	lost := serving(members, 20)
	lost.stopped.Store(true)
	defer lost.stopped.Store(false)
	before := l.pushes.Load()
	l.Book.Apply(keyed.Servers, entry("a", 6, []byte("y")), false)
	if !l.run(3*time.Second, members, func() bool {
		for _, m := range members {
			if m != lost && m.book.Get(keyed.Servers, "a").Offset != 6 {
				return false
			}
		}
		return true
	}) {
		t.Error("news not within 3s")
	}
	// Those to the new relay, eight a second, and repeated ones to the lost one.
	if n := l.pushes.Load() - before; n > 20 {
		t.Errorf("%d pushes by the leader itself", n)
	}
}

// Guards against the whole state being sent to each instance of a data centre by the leader when all of them have just
// started, after most of a deployment was killed at once.
func TestAllStartAnew(t *testing.T) {
	var members []*relayed
	for range 26 {
		members = append(members, listenRelayed(t, "a", false))
	}
	l := newLead(t, members)
	if !l.run(5*time.Second, members, func() bool {
		for _, m := range members {
			if m.book.Get(keyed.Servers, "a").Offset == 0 {
				return false
			}
		}
		return true
	}) {
		t.Error("state not within 5s")
	}
	if n := l.pushes.Load(); n > 26+12 {
		t.Errorf("%d pushes by the leader itself", n)
	}
}
