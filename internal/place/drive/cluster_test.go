package drive_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/peer/member"
	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/drive"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

var errUnreachable = errors.New("unreachable")

// memoryLog is a log in memory. With loseAnswers, appends take effect but get no answer.
type memoryLog struct {
	mu                sync.Mutex
	records           []*record.Record
	down, loseAnswers bool
}

func (l *memoryLog) setFaults(down, loseAnswers bool) {
	l.mu.Lock()
	l.down, l.loseAnswers = down, loseAnswers
	l.mu.Unlock()
}

func (l *memoryLog) append(ctx context.Context, rec *record.Record) (uint64, error) {
	l.mu.Lock()
	down, loseAnswers := l.down, l.loseAnswers
	var offset uint64
	if !down {
		l.records = append(l.records, rec)
		offset = uint64(len(l.records))
	}
	l.mu.Unlock()
	if down || loseAnswers {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return offset, nil
}

// backend is a token-checking server. Its clock reads the time since start.
type backend struct {
	mu            sync.Mutex
	start         time.Time
	incarnation   uint64
	pair          lease.Pair
	held          []grants.Range
	validUntil    time.Time
	highestTokens map[uint32]uint64
	down          bool
}

func (b *backend) grant(ctx context.Context, g grants.Grant) (grants.Reply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return grants.Reply{}, errUnreachable
	}
	now := time.Now()
	p := lease.Pair{Term: g.Term, Epoch: g.Epoch}
	ok := g.Incarnation == b.incarnation && p.Compare(b.pair) >= 0
	for _, r := range g.Slots {
		for i := r.First; i <= r.Last; i++ {
			ok = ok && r.Token >= b.highestTokens[i]
		}
	}
	if ok {
		b.pair, b.held, b.validUntil = p, g.Slots, b.start.Add(time.Duration(g.Until))
		for _, r := range g.Slots {
			for i := r.First; i <= r.Last; i++ {
				b.highestTokens[i] = r.Token
			}
		}
	}
	rep := grants.Reply{
		Incarnation: b.incarnation, Clock: uint64(now.Sub(b.start)), Term: b.pair.Term, Epoch: b.pair.Epoch, Accepted: ok,
	}
	if now.Before(b.validUntil) && len(b.held) > 0 {
		rep.Held, rep.Until = b.held, uint64(b.validUntil.Sub(b.start))
	}
	return rep, ctx.Err()
}

// validSlots returns the slots validly held at now. The caller holds b.mu.
func (b *backend) validSlots(now time.Time) []uint32 {
	var out []uint32
	if now.Before(b.validUntil) {
		for _, r := range b.held {
			for i := r.First; i <= r.Last; i++ {
				out = append(out, i)
			}
		}
	}
	return out
}

// node is one instance.
type node struct {
	cluster *cluster
	name    string
	peer    netip.AddrPort
	driver  *drive.Driver
	member  *member.Member
	cancel  context.CancelFunc

	mu             sync.Mutex
	placement      fold.Placement
	logReadAt      time.Time
	cutOff         bool // it reaches no other process
	lanes          map[string]*peerpb.Lane
	lanesUntil     time.Time
	releases       []*peerpb.Release
	failingServers map[string]bool // reported as failing
}

// cluster is one data centre in one process.
type cluster struct {
	t            *testing.T
	log          memoryLog
	mu           sync.Mutex
	nodes        map[netip.AddrPort]*node
	servers      map[netip.AddrPort]*backend
	serverNames  map[netip.AddrPort]string
	list         roster.List
	tables       *tables.Tables
	goroutines   conc.WaitGroup
	checksTokens bool
	planMoves    func(slots []homes.Slot) []homes.Move // nil: no planned moves
	counter      int                                   // for unique addresses and instance ids
}

const slotCount = 64

// newCluster starts a data centre with instances and keyed servers.
func newCluster(t *testing.T, instances, servers int, checksTokens bool) *cluster {
	t.Parallel() // the tests mostly wait
	c := &cluster{
		t: t, nodes: make(map[netip.AddrPort]*node), servers: make(map[netip.AddrPort]*backend),
		serverNames: make(map[netip.AddrPort]string), checksTokens: checksTokens,
	}
	pool := tables.Pool{Name: "stock", Keyed: true, Slots: slotCount}
	otherPool := tables.Pool{Name: "orders"}
	for i := range servers {
		s := tables.Server{Name: fmt.Sprintf("s%d", i), Address: c.newAddr(), DC: "east", Slots: 3, Connections: 46, Checks: checksTokens}
		pool.Servers = append(pool.Servers, s)
		c.servers[s.Address] = &backend{
			start: time.Now().Add(-time.Duration(i) * time.Hour), incarnation: uint64(100 + i), highestTokens: make(map[uint32]uint64),
		}
		c.serverNames[s.Address] = s.Name
		o := tables.Server{Name: fmt.Sprintf("o%d", i), Address: c.newAddr(), DC: "east", Slots: 3, Connections: 46}
		otherPool.Servers = append(otherPool.Servers, o)
	}
	c.tables = &tables.Tables{Pools: []tables.Pool{pool, otherPool}, Routes: []tables.Route{
		{Name: "stock", Path: "/*", Pool: "stock", Timeout: 200 * time.Millisecond},
	}}
	for i := range instances {
		c.list.Instances = append(c.list.Instances, roster.Instance{Name: fmt.Sprintf("n%d", i), DC: "east", Peer: c.newAddr()})
	}
	for _, i := range c.list.Instances {
		c.startNode(i)
	}
	t.Cleanup(func() {
		for _, n := range c.liveNodes() {
			n.cancel()
		}
		c.goroutines.Wait()
	})
	return c
}

// proposeMoves is the Balance function of all instances.
func (c *cluster) proposeMoves(_ string, _ time.Time, _ []homes.Server, slots []homes.Slot) []homes.Move {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planMoves == nil {
		return nil
	}
	return c.planMoves(slots)
}

func (c *cluster) newAddr() netip.AddrPort {
	c.counter++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+c.counter))
}

func (c *cluster) liveNodes() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*node
	for _, i := range c.list.Instances {
		if n := c.nodes[i.Peer]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// reachableNode returns the node at peer, or nil if n cannot reach it.
func (n *node) reachableNode(peer netip.AddrPort) *node {
	n.cluster.mu.Lock()
	other := n.cluster.nodes[peer]
	n.cluster.mu.Unlock()
	if other == nil || (other != n && (n.isCutOff() || other.isCutOff())) {
		return nil
	}
	return other
}

func (n *node) isCutOff() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutOff
}

func (n *node) setCutOff(cutOff bool) {
	n.mu.Lock()
	n.cutOff = cutOff
	n.mu.Unlock()
}

func (c *cluster) startNode(i roster.Instance) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{cluster: c, name: i.Name, peer: i.Peer, cancel: cancel, lanes: make(map[string]*peerpb.Lane)}
	id := fmt.Sprintf("%s/%d", i.Name, c.counter)
	c.counter++
	n.driver = drive.New(drive.Config{
		Config: ctrl.Config{ID: id, DC: "east", PeerAddr: i.Peer, StartedAt: time.Now(), Balance: c.proposeMoves},
		ViewPlacement: func(f func(*fold.Placement)) {
			n.mu.Lock()
			defer n.mu.Unlock()
			f(&n.placement)
		},
		LogContact: func() time.Time {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.logReadAt
		},
		Append: func(ctx context.Context, rec *record.Record) (uint64, error) {
			if n.isCutOff() {
				return 0, errUnreachable
			}
			return c.log.append(ctx, rec)
		},
		Grant: func(ctx context.Context, addr netip.AddrPort, g grants.Grant) (grants.Reply, error) {
			b := c.servers[addr]
			if b == nil || n.isCutOff() {
				return grants.Reply{}, errUnreachable
			}
			return b.grant(ctx, g)
		},
		Fence: func(ctx context.Context, peer netip.AddrPort, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
			if o := n.reachableNode(peer); o != nil {
				return o.member.HandleFence(ctx, req)
			}
			return nil, errUnreachable
		},
		LogEvent: func(name string, fields ...any) {
			if testing.Verbose() {
				fmt.Println(time.Now().Format("05.000"), n.name, name, fields)
			}
		},
	})
	n.member = member.New(member.Config{
		ID: id, DC: "east", PeerAddr: i.Peer,
		Cell: func() fold.Cell {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.placement.Cell("east")
		},
		List: func() roster.List {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.list
		},
		SendHeartbeat: func(ctx context.Context, peer netip.AddrPort, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
			if o := n.reachableNode(peer); o != nil {
				return o.member.HandleHeartbeat(ctx, req)
			}
			return nil, errUnreachable
		},
		AnswerHeartbeat: n.driver.HandleHeartbeat, OnHolder: n.driver.ObserveHolder, OnLanes: n.updateLanes,
		OnMembers: func(members []*peerpb.Member, _ []*peerpb.Owner) { n.driver.SetDispatchers(members) },
		TakeReleases: func() []*peerpb.Release {
			n.mu.Lock()
			defer n.mu.Unlock()
			out := n.releases
			n.releases = nil
			return out
		},
		ServerReports: func(time.Time) []*peerpb.ServerReport {
			n.mu.Lock()
			defer n.mu.Unlock()
			var out []*peerpb.ServerReport
			for _, l := range n.lanes {
				out = append(out, &peerpb.ServerReport{Name: l.Servers[0].Name, Failing: n.failingServers[l.Servers[0].Name]})
			}
			return out
		},
	})
	c.mu.Lock()
	c.nodes[i.Peer] = n
	c.mu.Unlock()
	n.driver.SetTables(c.tables, nil)
	n.driver.SetList(c.list)
	c.goroutines.Go(func() { n.tailLog(ctx) })
	c.goroutines.Go(func() { n.driver.Run(ctx) })
	c.goroutines.Go(func() { n.member.Run(ctx) })
}

// updateLanes simulates a dispatcher whose requests end at once.
func (n *node) updateLanes(_ time.Time, list []*peerpb.Lane, until time.Time) {
	n.mu.Lock()
	next := make(map[string]*peerpb.Lane)
	for _, l := range list {
		next[l.Name] = l
	}
	for name, old := range n.lanes {
		if l := next[name]; l == nil || l.Revision != old.Revision {
			n.releases = append(n.releases, &peerpb.Release{Lane: name, Revision: old.Revision})
		}
	}
	n.lanes, n.lanesUntil = next, until
	hasReleases := len(n.releases) > 0
	n.mu.Unlock()
	if hasReleases {
		n.member.HeartbeatNow()
	}
}

func (n *node) tailLog(ctx context.Context) {
	for ctx.Err() == nil {
		n.cluster.log.mu.Lock()
		records, down := n.cluster.log.records, n.cluster.log.down
		n.cluster.log.mu.Unlock()
		if !down && !n.isCutOff() {
			n.mu.Lock()
			for i := int(n.placement.Offset()); i < len(records); i++ {
				n.placement.Apply(uint64(i+1), records[i])
			}
			n.logReadAt = time.Now()
			n.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// crash stops an instance without notice to the others.
func (c *cluster) crash(n *node) {
	c.mu.Lock()
	delete(c.nodes, n.peer)
	c.mu.Unlock()
	n.cancel()
}

// controller returns the instance that has authority, or nil if there is none.
func (c *cluster) controller() *node {
	for _, n := range c.liveNodes() {
		if st := n.driver.Status(); st.State == ctrl.Serving && time.Now().Before(st.AuthorityUntil) && !n.isCutOff() {
			return n
		}
	}
	return nil
}

// checkExclusive fails the test if two servers validly hold one slot or, without checksTokens, are sent its requests. It
// returns how many slots are dispatched, with checksTokens only to the server that holds them.
func (c *cluster) checkExclusive() (served int) {
	owner := make(map[uint32]netip.AddrPort)
	for _, b := range c.servers {
		b.mu.Lock()
	}
	now := time.Now()
	for addr, b := range c.servers {
		for _, i := range b.validSlots(now) {
			if other, ok := owner[i]; ok {
				c.t.Fatalf("slot %d is held by %s and %s", i, c.serverNames[other], c.serverNames[addr])
			}
			owner[i] = addr
		}
	}
	for _, b := range c.servers {
		b.mu.Unlock()
	}
	dispatchedTo := make(map[uint32]string)
	nodes := c.liveNodes()
	for _, n := range nodes {
		n.mu.Lock()
	}
	now = time.Now()
	for _, n := range nodes {
		for _, l := range n.lanes {
			for _, s := range l.Slots {
				for i := s.First; i <= s.Last && now.Before(n.lanesUntil); i++ {
					if to := dispatchedTo[i]; to != "" && to != l.Servers[0].Name && !c.checksTokens {
						c.t.Fatalf("slot %d is dispatched to %s and %s", i, to, l.Servers[0].Name)
					}
					dispatchedTo[i] = l.Servers[0].Name
				}
			}
		}
	}
	for _, n := range nodes {
		n.mu.Unlock()
	}
	if !c.checksTokens {
		return len(dispatchedTo)
	}
	for i, addr := range owner {
		if dispatchedTo[i] == c.serverNames[addr] {
			served++
		}
	}
	return served
}

// eventually calls checkExclusive until ok returns true, and returns how long that took.
func (c *cluster) eventually(what string, ok func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for time.Since(start) < 20*time.Second {
		c.checkExclusive()
		if ok() {
			return time.Since(start)
		}
		time.Sleep(2 * time.Millisecond)
	}
	c.t.Fatalf("condition not met in 20 s: %s", what)
	return 0
}

func (c *cluster) allServed() bool { return c.checkExclusive() == slotCount }
