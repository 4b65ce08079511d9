// Package member is the side of an instance that heartbeats to the controller of its data centre: it keeps the
// instance's lane leases alive and is one of the witnesses that give a controller its authority.
package member

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Config is what a Member is told once. Function fields must not block and may be called from several goroutines.
type Config struct {
	ID       string // name/incarnation
	DC       string
	PeerAddr netip.AddrPort

	Cell      func() fold.Cell // control state of the data centre in the own fold
	List      func() roster.List
	IsLeaving func() bool // nil: never
	// SendHeartbeat delivers a heartbeat to the instance at peer.
	SendHeartbeat func(ctx context.Context, peer netip.AddrPort, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	// AnswerHeartbeat answers a heartbeat as the controller, if this instance is one.
	AnswerHeartbeat func(now time.Time, req *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply
	// OnHolder tells the local candidate about the holder of pair. nil: nobody.
	OnHolder func(now time.Time, pair lease.Pair, authority, leaving bool)

	// OnLanes hands on all lanes that this instance dispatches until the given time. Called with every accepted reply.
	OnLanes       func(now time.Time, lanes []*peerpb.Lane, until time.Time)
	TakeReleases  func() []*peerpb.Release // lane revisions that ended since the last call
	ServerReports func(now time.Time) []*peerpb.ServerReport
	RecentStrikes func() []*peerpb.Strike // new ones since the last call
	OnMembers     func(members []*peerpb.Member, owners []*peerpb.Owner)
	OnStrikes     func(strikes []*peerpb.Strike)
}

// Member is safe for concurrent use, but for Beat, which one goroutine calls.
type Member struct {
	Config

	mu               sync.Mutex
	witness          lease.Witness
	fencedHolder     holderAddr // of the highest pair fenced here
	lastReply        replyInfo
	peerAddrs        map[string]string // peer address by instance id
	lanes            []*peerpb.Lane
	unsent           *peerpb.HeartbeatRequest // releases and strikes of a heartbeat that was not answered
	unanswered       int                      // unanswered heartbeats in a row
	withoutAuthority int                      // answers without authority in a row
	heartbeatNow     chan struct{}
}

// holderAddr is where the holder of a pair can be reached.
type holderAddr struct {
	pair     lease.Pair
	peerAddr netip.AddrPort
}

// replyInfo is the last reply.
type replyInfo struct {
	pair     lease.Pair
	nonce    uint64
	view     uint64
	peerAddr netip.AddrPort
}

// New returns a member that has seen nothing.
func New(cfg Config) *Member { return &Member{Config: cfg, heartbeatNow: make(chan struct{}, 1)} }

// HeartbeatNow makes the next heartbeat due at once. It is called when a release is waiting, since a slot may be unserved
// until the controller knows of it.
func (m *Member) HeartbeatNow() {
	select {
	case m.heartbeatNow <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx ends.
func (m *Member) Run(ctx context.Context) {
	ticker := time.NewTicker(lease.Interval)
	defer ticker.Stop()
	for {
		// A controller that is taking over has authority soon, and with it lanes.
		var early <-chan time.Time
		if !m.HeartbeatOnce(ctx, time.Now()) && m.shouldSendEarly() {
			early = time.After(earlyPause)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-early:
		case <-m.heartbeatNow:
		}
	}
}

const (
	earlyPause         = 50 * time.Millisecond
	maxEarlyHeartbeats = 10 // heartbeats in a row that are sent early
)

// shouldSendEarly reports whether the next heartbeat should come early, since the last answer was of a controller that had no
// authority yet.
func (m *Member) shouldSendEarly() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.withoutAuthority > 0 && m.withoutAuthority <= maxEarlyHeartbeats
}

// HeartbeatOnce sends one heartbeat, begun at now, and takes its reply in. It reports whether a controller with authority
// answered.
func (m *Member) HeartbeatOnce(ctx context.Context, now time.Time) bool {
	peer, ok := m.controllerAddr()
	if !ok {
		return false
	}
	req := m.newRequest(now)
	var reply *peerpb.HeartbeatReply
	var err error
	if peer == m.PeerAddr {
		reply = m.AnswerHeartbeat(now, req)
	} else {
		ctx, cancel := context.WithTimeout(ctx, lease.Interval)
		reply, err = m.SendHeartbeat(ctx, peer, req)
		cancel()
	}
	if err != nil || reply == nil {
		m.mu.Lock()
		m.unanswered++
		m.unsent = req
		m.mu.Unlock()
		return false
	}
	return m.handleReply(now, peer, req, reply)
}

// controllerAddr returns the address of the controller as far as it is known. After several heartbeats without an answer it
// goes through the other sources in turn.
func (m *Member) controllerAddr() (netip.AddrPort, bool) {
	cell, list := m.Cell(), m.List()
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.controllerCandidates(cell, list)
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return candidates[(m.unanswered/heartbeatsPerAddr)%len(candidates)], true
}

// heartbeatsPerAddr is how many heartbeats go to one address before the next is tried.
const heartbeatsPerAddr = 2

func (m *Member) controllerCandidates(cell fold.Cell, list roster.List) []netip.AddrPort {
	var out []netip.AddrPort
	add := func(a netip.AddrPort) {
		for _, b := range out {
			if a == b {
				return
			}
		}
		if a.IsValid() {
			out = append(out, a)
		}
	}
	highest := m.witness.Highest()
	if p := (lease.Pair{Term: cell.Term}); cell.Term != 0 && p.Compare(highest) > 0 {
		add(m.instanceAddr(cell.Holder, list))
	}
	if m.fencedHolder.pair == highest {
		add(m.fencedHolder.peerAddr)
	}
	if m.lastReply.pair == highest {
		add(m.lastReply.peerAddr)
	}
	if cell.Term == highest.Term {
		switch e := int(highest.Epoch); {
		case e == 0:
			add(m.instanceAddr(cell.Holder, list))
		case e <= len(cell.Successors):
			add(m.instanceAddr(cell.Successors[e-1], list))
		}
	}
	add(m.instanceAddr(cell.Holder, list))
	for _, id := range cell.Successors {
		add(m.instanceAddr(id, list))
	}
	return out
}

// instanceAddr returns the peer address of an instance id, by the controller's word or the list's.
func (m *Member) instanceAddr(id string, list roster.List) netip.AddrPort {
	if id == m.ID {
		return m.PeerAddr
	}
	if a, err := netip.ParseAddrPort(m.peerAddrs[id]); err == nil {
		return a
	}
	name, _, _ := strings.Cut(id, "/")
	for _, i := range list.Instances {
		if i.DC == m.DC && i.Name == name {
			return i.Peer
		}
	}
	return netip.AddrPort{}
}

func (m *Member) newRequest(now time.Time) *peerpb.HeartbeatRequest {
	req := &peerpb.HeartbeatRequest{Instance: m.ID, Dc: m.DC, Peer: m.PeerAddr.String()}
	req.Leaving = m.IsLeaving != nil && m.IsLeaving()
	if m.TakeReleases != nil {
		req.Releases = m.TakeReleases()
	}
	if m.ServerReports != nil {
		req.Servers = m.ServerReports(now)
	}
	if m.RecentStrikes != nil {
		req.Strikes = m.RecentStrikes()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unsent != nil {
		req.Releases = append(m.unsent.Releases, req.Releases...)
		req.Strikes = append(m.unsent.Strikes, req.Strikes...)
		m.unsent = nil
	}
	highest := m.witness.Highest()
	req.Term, req.Epoch = highest.Term, highest.Epoch
	if m.lastReply.pair == highest {
		req.Echo, req.Known = m.lastReply.nonce, m.lastReply.view
	}
	return req
}

// handleReply accepts a reply unless a higher pair was seen meanwhile.
func (m *Member) handleReply(sent time.Time, peer netip.AddrPort, req *peerpb.HeartbeatRequest, reply *peerpb.HeartbeatReply) bool {
	pair := lease.Pair{Term: reply.GetTerm(), Epoch: reply.GetEpoch()}
	m.mu.Lock()
	if reply.GetNonce() == 0 || !m.witness.Offer(pair) {
		// Not the controller, or one that was replaced.
		m.unanswered++
		m.unsent = req
		m.mu.Unlock()
		return false
	}
	m.unanswered = 0
	m.withoutAuthority++
	if reply.GetAccepted() {
		m.withoutAuthority = 0
	}
	// The controller leaves lanes and members out exactly if the view is the known one, also when it has renewed its
	// term while the heartbeat was on its way. Views of different controllers are never equal.
	changed := reply.GetAccepted() && reply.GetView() != req.GetKnown()
	view := m.lastReply.view
	if reply.GetAccepted() {
		view = reply.GetView()
	} else if m.lastReply.pair != pair {
		view = 0
	}
	m.lastReply = replyInfo{pair: pair, nonce: reply.GetNonce(), view: view, peerAddr: peer}
	if changed {
		m.lanes = reply.GetLanes()
		m.peerAddrs = make(map[string]string)
		for _, i := range reply.GetMembers() {
			m.peerAddrs[i.GetInstance()] = i.GetPeer()
		}
	}
	lanes, leaving := m.lanes, m.controllerLeaves(peer)
	m.mu.Unlock()
	m.notifyOwner(sent, reply, lanes, changed)
	if m.OnHolder != nil {
		m.OnHolder(time.Now(), pair, reply.GetAccepted(), leaving)
	}
	return reply.GetAccepted()
}

// controllerLeaves reports whether the controller at peer left itself out of its list of members, which says that it leaves.
func (m *Member) controllerLeaves(peer netip.AddrPort) bool {
	for _, a := range m.peerAddrs {
		if a == peer.String() {
			return false
		}
	}
	return len(m.peerAddrs) > 0
}

func (m *Member) notifyOwner(sent time.Time, reply *peerpb.HeartbeatReply, lanes []*peerpb.Lane, changed bool) {
	if len(reply.GetStrikes()) > 0 && m.OnStrikes != nil {
		m.OnStrikes(reply.GetStrikes())
	}
	if !reply.GetAccepted() {
		return
	}
	if changed && m.OnMembers != nil {
		m.OnMembers(reply.GetMembers(), reply.GetOwners())
	}
	if m.OnLanes != nil {
		m.OnLanes(time.Now(), lanes, sent.Add(time.Duration(reply.GetLease())*time.Millisecond))
	}
}

// HighestPair returns the highest pair seen.
func (m *Member) HighestPair() lease.Pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.witness.Highest()
}

// HandleFence confirms a pair unless a higher one was seen. With term 0 it only asks. The reply names the highest pair
// seen.
func (m *Member) HandleFence(_ context.Context, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	pair := lease.Pair{Term: req.GetTerm(), Epoch: req.GetEpoch()}
	m.mu.Lock()
	accepted := req.GetDc() == m.DC && pair.Term != 0 && m.witness.Offer(pair)
	highest := m.witness.Highest()
	if peer, err := netip.ParseAddrPort(req.GetPeer()); accepted && err == nil {
		m.fencedHolder = holderAddr{pair: pair, peerAddr: peer}
		m.unanswered = 0
	}
	m.mu.Unlock()
	if accepted {
		if m.OnHolder != nil {
			// Only a reply can tell that a holder lacks authority.
			m.OnHolder(time.Now(), pair, true, false)
		}
		m.HeartbeatNow()
	}
	return &peerpb.FenceReply{Instance: m.ID, Accepted: accepted, Term: highest.Term, Epoch: highest.Epoch}, nil
}

// HandleHeartbeat passes a heartbeat of an instance to the controller, if this instance is one.
func (m *Member) HandleHeartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return m.AnswerHeartbeat(time.Now(), req), nil
}
