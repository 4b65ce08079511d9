package push_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/stand/proxy"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// member is an instance that applies the pushes it receives.
type member struct {
	streams mirror.Streams
	addr    string
}

func startMember(t *testing.T) *member {
	t.Helper()
	m := new(member)
	m.addr = servePushes(t, func(r *sitepb.PushRequest) *sitepb.PushReply {
		if err := stream.Apply(&m.streams, r.GetStreams()); err != nil {
			t.Error(err)
		}
		return &sitepb.PushReply{Term: r.GetTerm(), Have: stream.Have(&m.streams)}
	})
	return m
}

// servePushes returns the address of an instance that answers pushes with handle.
func servePushes(t *testing.T, handle func(*sitepb.PushRequest) *sitepb.PushReply) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: (&push.Handlers{OnPush: handle}).Handler()}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Shutdown() })
	return ln.Addr().String()
}

// pushUntil lets a leader push until cond holds, and returns how long that took.
func pushUntil(t *testing.T, p *push.Pusher, within time.Duration, cond func() bool) time.Duration {
	t.Helper()
	begun := time.Now()
	for time.Since(begun) < within {
		if cond() {
			return time.Since(begun)
		}
		p.PushRound(time.Now(), 1, p.AllAddresses())
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("not within %v", within)
	return 0
}

func newPusher(streams *mirror.Streams) *push.Pusher {
	return &push.Pusher{
		Self: "127.0.0.1:1", Client: push.NewClient(), Streams: streams,
		NewRequest: func(time.Time) *sitepb.PushRequest { return &sitepb.PushRequest{Term: 1} },
		OnReply:    func(time.Time, string, *sitepb.PushReply) {}, OnFailure: func(string, error) {},
		CrashOnPanic: func(part func()) { part() },
	}
}

func singleEntry(key string, offset uint64, value []byte) keyed.Batch {
	return keyed.Batch{Entries: []keyed.Entry{{Key: key, Offset: offset, Value: value}}, End: offset + 1}
}

// newStreams returns a copy of the streams with tables, one server and a leader's lease.
func newStreams(tables []byte, server string) *mirror.Streams {
	streams := new(mirror.Streams)
	streams.Apply(keyed.Config, singleEntry("config", 3, tables), true)
	streams.Apply(keyed.Servers, singleEntry(server, 5, []byte("x")), true)
	streams.Apply(keyed.Place, singleEntry("lead", 0, []byte("l")), true)
	return streams
}

// Guards against members that do not get the entries of a new leader, including large values and later changes.
func TestPush(t *testing.T) {
	large := make([]byte, 100<<10)
	m, streams := startMember(t), newStreams(large, "a")
	p := newPusher(streams)
	defer p.Wait()
	p.AddPeer(time.Now(), m.addr)
	pushUntil(t, p, 3*time.Second, func() bool {
		return len(m.streams.Get(keyed.Config, "config").Value) == len(large) && len(m.streams.Get(keyed.Servers, "a").Value) == 1
	})
	streams.Apply(keyed.Servers, singleEntry("a", 6, nil), false)
	pushUntil(t, p, 3*time.Second, func() bool { return m.streams.Get(keyed.Servers, "a").Offset == 6 })
}

// Guards against changes that wait for a timeout and a pause when the leader's connections have died without a reset:
// members rely on hearing of a leaving server within a second.
func TestSilentConnections(t *testing.T) {
	m, streams := startMember(t), new(mirror.Streams)
	link, err := proxy.New()
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	if err := link.SetTarget(netip.MustParseAddrPort(m.addr)); err != nil {
		t.Fatal(err)
	}
	streams.Apply(keyed.Servers, singleEntry("a", 5, []byte("x")), true)
	p := newPusher(streams)
	defer p.Wait()
	p.AddPeer(time.Now(), link.Address().String())
	pushUntil(t, p, 3*time.Second, func() bool { return m.streams.Get(keyed.Servers, "a").Offset == 5 })
	link.MakeHalfOpen(proxy.ToTarget)
	time.Sleep(50 * time.Millisecond)
	streams.Apply(keyed.Servers, singleEntry("a", 6, []byte("y")), false)
	if took := pushUntil(t, p, 3*time.Second, func() bool { return m.streams.Get(keyed.Servers, "a").Offset == 6 }); took > 900*time.Millisecond {
		t.Errorf("the change took %v", took)
	}
}

// Guards against a leader that can push nothing because of one record, by another writer, whose key is not valid UTF-8.
func TestBinaryKey(t *testing.T) {
	m, streams := startMember(t), newStreams([]byte("x"), "\xff\xfe")
	p := newPusher(streams)
	defer p.Wait()
	p.AddPeer(time.Now(), m.addr)
	pushUntil(t, p, 3*time.Second, func() bool { return len(m.streams.Get(keyed.Servers, "\xff\xfe").Value) == 1 })
}

// Guards against members that read the heartbeats of a long time from the store when their leader is lost: heartbeats are
// not pushed, but the offset up to which the leader has read is.
func TestEndWithoutChanges(t *testing.T) {
	m, streams := startMember(t), newStreams([]byte("x"), "a")
	streams.SameValue = func(keyed.Topic, []byte, []byte) bool { return true }
	p := newPusher(streams)
	defer p.Wait()
	p.AddPeer(time.Now(), m.addr)
	end := func() uint64 {
		end, _ := m.streams.End(keyed.Servers)
		return end
	}
	pushUntil(t, p, 3*time.Second, func() bool { return end() == 6 })
	streams.Apply(keyed.Servers, singleEntry("a", 500, []byte("heartbeat")), false)
	pushUntil(t, p, 3*time.Second, func() bool { return end() == 501 })
}

// Guards against a server that was removed while the leader was restarted and stays in use elsewhere: the leader read the servers when the
// removal had been made, and has never known that server.
func TestRemovedWhileLeaderRestarted(t *testing.T) {
	m := startMember(t)
	for topic := range keyed.TopicCount {
		m.streams.Apply(topic, singleEntry("removed", 3, []byte("x")), true)
	}
	restarted := new(mirror.Streams)
	for topic := range keyed.TopicCount {
		restarted.Apply(topic, keyed.Batch{Entries: []keyed.Entry{{Key: "lives", Offset: 4, Value: []byte("y")}}, End: 5}, true)
	}
	p := newPusher(restarted)
	p.AddPeer(time.Now(), m.addr)
	pushUntil(t, p, 2*time.Second, func() bool {
		end, _ := m.streams.End(keyed.Servers)
		return end == 5
	})
	if len(m.streams.Get(keyed.Servers, "removed").Value) > 0 || len(m.streams.Get(keyed.Servers, "lives").Value) == 0 {
		t.Errorf("removed %q, lives %q", m.streams.Get(keyed.Servers, "removed").Value, m.streams.Get(keyed.Servers, "lives").Value)
	}
}
