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
	ID   string // name/incarnation
	DC   string
	Peer netip.AddrPort

	Cell    func() fold.Cell // control state of the data centre in the own fold
	List    func() roster.List
	Leaving func() bool // nil: never
	// Send delivers a heartbeat to the instance at peer.
	Send func(ctx context.Context, peer netip.AddrPort, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	// Serve answers a heartbeat as the controller, if this instance is one.
	Serve func(now time.Time, req *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply
	// Heard tells the local candidate about the holder of pair. nil: nobody.
	Heard func(now time.Time, pair lease.Pair, authority, leaving bool)

	// Update hands on all lanes that this instance dispatches until the given time. Called with every accepted reply.
	Update   func(now time.Time, lanes []*peerpb.Lane, until time.Time)
	Released func() []*peerpb.Release // lane revisions that ended since the last call
	Reports  func(now time.Time) []*peerpb.ServerReport
	Strikes  func() []*peerpb.Strike // new ones since the last call
	Roster   func(members []*peerpb.Member, owners []*peerpb.Owner)
	Struck   func(strikes []*peerpb.Strike)
}

// Member is safe for concurrent use, but for Beat, which one goroutine calls.
type Member struct {
	Config

	mu      sync.Mutex
	witness lease.Witness
	fencer  source // of the highest pair fenced here
	last    answer
	members map[string]string // peer address by instance id
	lanes   []*peerpb.Lane
	unsent  *peerpb.HeartbeatRequest // releases and strikes of a heartbeat that was not answered
	tries   int                      // unanswered heartbeats in a row
	waits   int                      // answers without authority in a row
	kick    chan struct{}
}

// source is where the holder of a pair can be reached.
type source struct {
	pair lease.Pair
	peer netip.AddrPort
}

// answer is the last reply.
type answer struct {
	pair  lease.Pair
	nonce uint64
	view  uint64
	from  netip.AddrPort
}

// New returns a member that has seen nothing.
func New(cfg Config) *Member { return &Member{Config: cfg, kick: make(chan struct{}, 1)} }

// Kick makes the next heartbeat due at once. It is called when a release is waiting, since a slot may be unserved
// until the controller knows of it.
func (m *Member) Kick() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// Run sends heartbeats until ctx ends.
func (m *Member) Run(ctx context.Context) {
	tick := time.NewTicker(lease.Interval)
	defer tick.Stop()
	for {
		// A controller that is taking over has authority soon, and with it lanes.
		var soon <-chan time.Time
		if !m.Beat(ctx, time.Now()) && m.hasty() {
			soon = time.After(hurry)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-soon:
		case <-m.kick:
		}
	}
}

const (
	hurry   = 50 * time.Millisecond
	hurries = 10 // heartbeats in a row that are sent early
)

// hasty reports whether the next heartbeat should come early, since the last answer was of a controller that had no
// authority yet.
func (m *Member) hasty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.waits > 0 && m.waits <= hurries
}

// Beat sends one heartbeat, begun at now, and takes its reply in. It reports whether a controller with authority
// answered.
func (m *Member) Beat(ctx context.Context, now time.Time) bool {
	peer, ok := m.target()
	if !ok {
		return false
	}
	req := m.request(now)
	var rep *peerpb.HeartbeatReply
	var err error
	if peer == m.Peer {
		rep = m.Serve(now, req)
	} else {
		ctx, cancel := context.WithTimeout(ctx, lease.Interval)
		rep, err = m.Send(ctx, peer, req)
		cancel()
	}
	if err != nil || rep == nil {
		m.mu.Lock()
		m.tries++
		m.unsent = req
		m.mu.Unlock()
		return false
	}
	return m.take(now, peer, req, rep)
}

// target returns the address of the controller as far as it is known. After several heartbeats without an answer it
// goes through the other sources in turn.
func (m *Member) target() (netip.AddrPort, bool) {
	cell, list := m.Cell(), m.List()
	m.mu.Lock()
	defer m.mu.Unlock()
	found := m.sources(cell, list)
	if len(found) == 0 {
		return netip.AddrPort{}, false
	}
	return found[(m.tries/patience)%len(found)], true
}

// patience is how many heartbeats go to one address before the next is tried.
const patience = 2

func (m *Member) sources(cell fold.Cell, list roster.List) []netip.AddrPort {
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
	high := m.witness.High()
	if p := (lease.Pair{Term: cell.Term}); cell.Term != 0 && p.Compare(high) > 0 {
		add(m.address(cell.Holder, list))
	}
	if m.fencer.pair == high {
		add(m.fencer.peer)
	}
	if m.last.pair == high {
		add(m.last.from)
	}
	if cell.Term == high.Term {
		switch e := int(high.Epoch); {
		case e == 0:
			add(m.address(cell.Holder, list))
		case e <= len(cell.Successors):
			add(m.address(cell.Successors[e-1], list))
		}
	}
	add(m.address(cell.Holder, list))
	for _, id := range cell.Successors {
		add(m.address(id, list))
	}
	return out
}

// address returns the peer address of an instance id, by the controller's word or the list's.
func (m *Member) address(id string, list roster.List) netip.AddrPort {
	if id == m.ID {
		return m.Peer
	}
	if a, err := netip.ParseAddrPort(m.members[id]); err == nil {
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

func (m *Member) request(now time.Time) *peerpb.HeartbeatRequest {
	req := &peerpb.HeartbeatRequest{Instance: m.ID, Dc: m.DC, Peer: m.Peer.String()}
	req.Leaving = m.Leaving != nil && m.Leaving()
	if m.Released != nil {
		req.Releases = m.Released()
	}
	if m.Reports != nil {
		req.Servers = m.Reports(now)
	}
	if m.Strikes != nil {
		req.Strikes = m.Strikes()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unsent != nil {
		req.Releases = append(m.unsent.Releases, req.Releases...)
		req.Strikes = append(m.unsent.Strikes, req.Strikes...)
		m.unsent = nil
	}
	high := m.witness.High()
	req.Term, req.Epoch = high.Term, high.Epoch
	if m.last.pair == high {
		req.Echo, req.Known = m.last.nonce, m.last.view
	}
	return req
}

// take accepts a reply unless a higher pair was seen meanwhile.
func (m *Member) take(sent time.Time, peer netip.AddrPort, req *peerpb.HeartbeatRequest, rep *peerpb.HeartbeatReply) bool {
	pair := lease.Pair{Term: rep.GetTerm(), Epoch: rep.GetEpoch()}
	m.mu.Lock()
	if rep.GetNonce() == 0 || !m.witness.Offer(pair) {
		// Not the controller, or one that was replaced.
		m.tries++
		m.unsent = req
		m.mu.Unlock()
		return false
	}
	m.tries = 0
	m.waits++
	if rep.GetAccepted() {
		m.waits = 0
	}
	// The controller leaves lanes and members out exactly if the view is the known one, also when it has renewed its
	// term while the heartbeat was on its way. Views of different controllers are never equal.
	fresh := rep.GetAccepted() && rep.GetView() != req.GetKnown()
	view := m.last.view
	if rep.GetAccepted() {
		view = rep.GetView()
	} else if m.last.pair != pair {
		view = 0
	}
	m.last = answer{pair: pair, nonce: rep.GetNonce(), view: view, from: peer}
	if fresh {
		m.lanes = rep.GetLanes()
		m.members = make(map[string]string)
		for _, i := range rep.GetMembers() {
			m.members[i.GetInstance()] = i.GetPeer()
		}
	}
	lanes, leaving := m.lanes, m.departed(peer)
	m.mu.Unlock()
	m.hand(sent, rep, lanes, fresh)
	if m.Heard != nil {
		m.Heard(time.Now(), pair, rep.GetAccepted(), leaving)
	}
	return rep.GetAccepted()
}

// departed reports whether the controller at peer left itself out of its list of members, which says that it leaves.
func (m *Member) departed(peer netip.AddrPort) bool {
	for _, a := range m.members {
		if a == peer.String() {
			return false
		}
	}
	return len(m.members) > 0
}

func (m *Member) hand(sent time.Time, rep *peerpb.HeartbeatReply, lanes []*peerpb.Lane, fresh bool) {
	if len(rep.GetStrikes()) > 0 && m.Struck != nil {
		m.Struck(rep.GetStrikes())
	}
	if !rep.GetAccepted() {
		return
	}
	if fresh && m.Roster != nil {
		m.Roster(rep.GetMembers(), rep.GetOwners())
	}
	if m.Update != nil {
		m.Update(time.Now(), lanes, sent.Add(time.Duration(rep.GetLease())*time.Millisecond))
	}
}

// High returns the highest pair seen.
func (m *Member) High() lease.Pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.witness.High()
}

// Fence confirms a pair unless a higher one was seen. With term 0 it only asks. The reply names the highest pair
// seen.
func (m *Member) Fence(_ context.Context, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	pair := lease.Pair{Term: req.GetTerm(), Epoch: req.GetEpoch()}
	m.mu.Lock()
	ok := req.GetDc() == m.DC && pair.Term != 0 && m.witness.Offer(pair)
	high := m.witness.High()
	if peer, err := netip.ParseAddrPort(req.GetPeer()); ok && err == nil {
		m.fencer = source{pair: pair, peer: peer}
		m.tries = 0
	}
	m.mu.Unlock()
	if ok {
		if m.Heard != nil {
			// Only a reply can tell that a holder lacks authority.
			m.Heard(time.Now(), pair, true, false)
		}
		m.Kick()
	}
	return &peerpb.FenceReply{Instance: m.ID, Accepted: ok, Term: high.Term, Epoch: high.Epoch}, nil
}

// Heartbeat passes a heartbeat of an instance to the controller, if this instance is one.
func (m *Member) Heartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return m.Serve(time.Now(), req), nil
}
