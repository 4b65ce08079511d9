// Package member sends an instance's heartbeats to the controller of its data centre. They renew its lane leases and
// make it one of the witnesses that give a controller its authority.
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

// Config holds the settings and callbacks of a Member. Functions other than SendHeartbeat must not block; all may be
// called by several goroutines.
type Config struct {
	ID       string // name/incarnation
	DC       string
	PeerAddr netip.AddrPort

	Cell      func() fold.Cell // control state of the data centre, from the own fold
	List      func() roster.List
	IsLeaving func() bool // nil means never
	// SendHeartbeat delivers a heartbeat to the instance at peer.
	SendHeartbeat func(ctx context.Context, peer netip.AddrPort, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	// AnswerHeartbeat answers as the controller, with nonce 0 if this instance is not the controller.
	AnswerHeartbeat func(now time.Time, req *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply
	// OnHolder is called when the holder of pair was heard from. May be nil.
	OnHolder func(now time.Time, pair lease.Pair, authority, leaving bool)

	// OnLanes is called on every accepted reply with all lanes to dispatch until the given time.
	OnLanes       func(now time.Time, lanes []*peerpb.Lane, until time.Time)
	TakeReleases  func() []*peerpb.Release // lane revisions released since the last call
	ServerReports func(now time.Time) []*peerpb.ServerReport
	RecentStrikes func() []*peerpb.Strike // to spread to other instances
	OnMembers     func(members []*peerpb.Member, owners []*peerpb.Owner)
	OnStrikes     func(strikes []*peerpb.Strike)
}

// Member is safe for concurrent use, except that only one goroutine may call HeartbeatOnce.
type Member struct {
	Config

	mu               sync.Mutex
	witness          lease.Witness
	fencedHolder     holderAddr // of the latest pair that HandleFence confirmed
	lastReply        replyInfo
	peerAddrs        map[string]string // peer address by instance id
	lanes            []*peerpb.Lane
	unsent           *peerpb.HeartbeatRequest // holds the releases and strikes of an unanswered heartbeat
	unanswered       int                      // heartbeats in a row without an answer from the current controller
	withoutAuthority int                      // answers in a row from a controller without authority
	heartbeatNow     chan struct{}
}

// holderAddr is the address of the holder of a pair.
type holderAddr struct {
	pair     lease.Pair
	peerAddr netip.AddrPort
}

// replyInfo holds what the next heartbeat needs of a reply.
type replyInfo struct {
	pair     lease.Pair
	nonce    uint64
	view     uint64
	peerAddr netip.AddrPort
}

// New returns a member that has not seen any pair.
func New(cfg Config) *Member { return &Member{Config: cfg, heartbeatNow: make(chan struct{}, 1)} }

// HeartbeatNow makes the next heartbeat due at once. It is called when a release is waiting, since a slot may be
// unserved until the controller knows of it.
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
		// A controller that is taking over will soon have authority and assign lanes.
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

// shouldSendEarly reports whether the last answer came from a controller that had no authority yet.
func (m *Member) shouldSendEarly() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.withoutAuthority > 0 && m.withoutAuthority <= maxEarlyHeartbeats
}

// HeartbeatOnce sends one heartbeat at now, from which leases count, and handles the reply. It reports whether a
// controller with authority answered.
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

// controllerAddr returns the most likely address of the controller. Without answers it goes through the candidates.
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

// heartbeatsPerAddr is how many heartbeats go unanswered before the next address is tried.
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

// instanceAddr returns the peer address of an instance, from the last member list or else the platform's list.
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

// handleReply processes a reply unless it is not from the current controller. It reports whether that had authority.
func (m *Member) handleReply(sent time.Time, peer netip.AddrPort, req *peerpb.HeartbeatRequest, reply *peerpb.HeartbeatReply) bool {
	pair := lease.Pair{Term: reply.GetTerm(), Epoch: reply.GetEpoch()}
	m.mu.Lock()
	if reply.GetNonce() == 0 || !m.witness.Offer(pair) {
		// The sender is not a controller, or has been replaced.
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
	// The controller omits lanes and members exactly if its view is the one known here, even if it renewed its term
	// after the heartbeat was sent. Views of different controllers are never equal.
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

// controllerLeaves reports whether the controller at peer is leaving: it then omits itself from its members.
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
			// Only a reply tells whether the holder lacks authority or leaves.
			m.OnHolder(time.Now(), pair, true, false)
		}
		m.HeartbeatNow()
	}
	return &peerpb.FenceReply{Instance: m.ID, Accepted: accepted, Term: highest.Term, Epoch: highest.Epoch}, nil
}

// HandleHeartbeat answers a heartbeat of another instance by AnswerHeartbeat.
func (m *Member) HandleHeartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return m.AnswerHeartbeat(time.Now(), req), nil
}
