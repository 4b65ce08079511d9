package member_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/peer/member"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

var (
	selfPeer      = netip.MustParseAddrPort("127.0.0.1:1")
	holderPeer    = netip.MustParseAddrPort("127.0.0.1:2")
	successorPeer = netip.MustParseAddrPort("127.0.0.1:3")
)

// testMember is a member whose controller is simulated by reply.
type testMember struct {
	*member.Member
	askedPeers []netip.AddrPort
	reqs       []*peerpb.HeartbeatRequest
	reply      func(req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	lanes      []*peerpb.Lane
	until      time.Time
	updates    int
}

func newTestMember() *testMember {
	r := &testMember{}
	r.Member = member.New(member.Config{
		ID: "n0/1", DC: "e", PeerAddr: selfPeer,
		Cell: func() fold.Cell { return fold.Cell{Term: 5, Holder: "n1/1", Successors: []string{"n2/1"}} },
		List: func() roster.List {
			return roster.List{Instances: []roster.Instance{
				{Name: "n1", DC: "e", Peer: holderPeer}, {Name: "n2", DC: "e", Peer: successorPeer},
			}}
		},
		SendHeartbeat: func(_ context.Context, peer netip.AddrPort, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
			r.askedPeers, r.reqs = append(r.askedPeers, peer), append(r.reqs, req)
			return r.reply(req)
		},
		TakeReleases: func() []*peerpb.Release { return []*peerpb.Release{{Lane: "l", Revision: uint64(len(r.reqs))}} },
		OnLanes: func(_ time.Time, lanes []*peerpb.Lane, until time.Time) {
			r.lanes, r.until = lanes, until
			r.updates++
		},
	})
	return r
}

func (r *testMember) acceptHeartbeat(req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	rep := &peerpb.HeartbeatReply{Accepted: true, Term: 5, Nonce: uint64(len(r.reqs)), Lease: 1200, View: 9}
	if req.Known != 9 {
		rep.Lanes = []*peerpb.Lane{{Name: "l"}}
	}
	return rep, nil
}

// Guards against leases that count from the reply and not from sending, and against a reply without lanes not renewing
// the known ones.
func TestLeaseCountsFromSending(t *testing.T) {
	r := newTestMember()
	r.reply = r.acceptHeartbeat
	for range 2 {
		sent := time.Now().Add(-time.Second)
		if !r.HeartbeatOnce(t.Context(), sent) || len(r.lanes) != 1 || !r.until.Equal(sent.Add(lease.Validity)) {
			t.Fatalf("lanes %v until %v", r.lanes, r.until)
		}
	}
	if last := r.reqs[1]; last.Echo != 1 || last.Known != 9 || last.Term != 5 {
		t.Errorf("second heartbeat doesn't confirm the first reply: %v", last)
	}
}

// Guards against losing the releases of an unanswered heartbeat.
func TestUnansweredReleasesAreRepeated(t *testing.T) {
	r := newTestMember()
	r.reply = func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) { return nil, errors.New("lost") }
	r.HeartbeatOnce(t.Context(), time.Now())
	r.reply = r.acceptHeartbeat
	r.HeartbeatOnce(t.Context(), time.Now())
	if n := len(r.reqs[1].Releases); n != 2 {
		t.Errorf("%d releases, want those of both heartbeats", n)
	}
}

// Guards against accepting replies of the old holder, or sending it heartbeats, after a fence by a higher pair.
func TestFencedMemberFollowsNewHolder(t *testing.T) {
	r := newTestMember()
	r.reply = r.acceptHeartbeat
	r.HeartbeatOnce(t.Context(), time.Now())
	r.reply = func(req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
		rep, err := r.HandleFence(t.Context(), &peerpb.FenceRequest{Dc: "e", Term: 5, Epoch: 1, Holder: "n2/1", Peer: successorPeer.String()})
		if err != nil || !rep.Accepted {
			t.Fatalf("higher pair refused: %v %v", rep, err)
		}
		return r.acceptHeartbeat(req)
	}
	calls := r.updates
	if r.HeartbeatOnce(t.Context(), time.Now()) || r.updates != calls {
		t.Error("reply of a replaced holder was accepted")
	}
	r.HeartbeatOnce(t.Context(), time.Now())
	if r.askedPeers[2] != successorPeer || r.reqs[2].Epoch != 1 || r.reqs[2].Echo != 0 {
		t.Errorf("heartbeat went to %v with %v", r.askedPeers[2], r.reqs[2])
	}
	if rep, _ := r.HandleFence(t.Context(), &peerpb.FenceRequest{Dc: "e", Term: 5}); rep.Accepted || rep.Epoch != 1 {
		t.Errorf("lower pair accepted: %v", rep)
	}
}

// Guards against heartbeats that go only to a silent holder and never to its successors.
func TestSuccessorsAskedAfterSilence(t *testing.T) {
	r := newTestMember()
	r.reply = func(*peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) { return nil, errors.New("lost") }
	for range 4 {
		r.HeartbeatOnce(t.Context(), time.Now())
	}
	if r.askedPeers[0] != holderPeer || r.askedPeers[3] != successorPeer {
		t.Errorf("heartbeats went to %v", r.askedPeers)
	}
}

// Guards against losing the lanes when the controller renews its term while a heartbeat is on its way: the reply has
// the new term and omits the lanes, since the view is unchanged.
func TestRenewedTermKeepsLanes(t *testing.T) {
	r := newTestMember()
	term := uint64(5)
	r.reply = func(req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
		rep, err := r.acceptHeartbeat(req)
		rep.Term = term
		return rep, err
	}
	for _, term = range []uint64{5, 6, 6} {
		if !r.HeartbeatOnce(t.Context(), time.Now()) || len(r.lanes) != 1 {
			t.Fatalf("term %d: lanes %v", term, r.lanes)
		}
	}
}
