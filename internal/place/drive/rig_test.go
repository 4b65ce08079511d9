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

var errDown = errors.New("unreachable")

// memlog is a log in memory. lose makes appends take effect without an answer.
type memlog struct {
	mu         sync.Mutex
	recs       []*record.Record
	down, lose bool
}

func (l *memlog) set(down, lose bool) {
	l.mu.Lock()
	l.down, l.lose = down, lose
	l.mu.Unlock()
}

func (l *memlog) append(ctx context.Context, rec *record.Record) (uint64, error) {
	l.mu.Lock()
	down, lose := l.down, l.lose
	var offset uint64
	if !down {
		l.recs = append(l.recs, rec)
		offset = uint64(len(l.recs))
	}
	l.mu.Unlock()
	if down || lose {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return offset, nil
}

// backend is a token-checking server with a clock of its own.
type backend struct {
	mu          sync.Mutex
	start       time.Time
	incarnation uint64
	pair        lease.Pair
	held        []grants.Range
	until       time.Time
	seen        map[uint32]uint64
	down        bool
}

func (b *backend) grant(ctx context.Context, g grants.Grant) (grants.Reply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return grants.Reply{}, errDown
	}
	now := time.Now()
	p := lease.Pair{Term: g.Term, Epoch: g.Epoch}
	ok := g.Incarnation == b.incarnation && p.Compare(b.pair) >= 0
	for _, r := range g.Slots {
		for i := r.First; i <= r.Last; i++ {
			ok = ok && r.Token >= b.seen[i]
		}
	}
	if ok {
		b.pair, b.held, b.until = p, g.Slots, b.start.Add(time.Duration(g.Until))
		for _, r := range g.Slots {
			for i := r.First; i <= r.Last; i++ {
				b.seen[i] = r.Token
			}
		}
	}
	rep := grants.Reply{
		Incarnation: b.incarnation, Clock: uint64(now.Sub(b.start)), Term: b.pair.Term, Epoch: b.pair.Epoch, Accepted: ok,
	}
	if now.Before(b.until) && len(b.held) > 0 {
		rep.Held, rep.Until = b.held, uint64(b.until.Sub(b.start))
	}
	return rep, ctx.Err()
}

// holds returns the slots validly held at now. The lock is held.
func (b *backend) holds(now time.Time) []uint32 {
	var out []uint32
	if now.Before(b.until) {
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
	rig    *rig
	name   string
	peer   netip.AddrPort
	driver *drive.Driver
	member *member.Member
	cancel context.CancelFunc

	mu    sync.Mutex
	place fold.Placement
	read  time.Time
	cut   bool // reaches nobody
	lanes map[string]*peerpb.Lane
	until time.Time
	freed []*peerpb.Release
	fails map[string]bool // servers that this dispatcher cannot use
}

// rig is one data centre in one process.
type rig struct {
	t       *testing.T
	log     memlog
	mu      sync.Mutex
	nodes   map[netip.AddrPort]*node
	servers map[netip.AddrPort]*backend
	names   map[netip.AddrPort]string
	list    roster.List
	tables  *tables.Tables
	wait    conc.WaitGroup
	checks  bool
	balance func(slots []homes.Slot) []homes.Move // nil: no planned moves
	made    int
}

const slots = 64

// newRig starts a data centre of instances and keyed servers, which check tokens if checks is set.
func newRig(t *testing.T, instances, servers int, checks bool) *rig {
	t.Parallel() // the tests mostly wait
	r := &rig{
		t: t, nodes: make(map[netip.AddrPort]*node), servers: make(map[netip.AddrPort]*backend),
		names: make(map[netip.AddrPort]string), checks: checks,
	}
	pool := tables.Pool{Name: "stock", Keyed: true, Slots: slots}
	plain := tables.Pool{Name: "orders"}
	for i := range servers {
		s := tables.Server{Name: fmt.Sprintf("s%d", i), Address: r.addr(), DC: "east", Slots: 3, Connections: 46, Checks: checks}
		pool.Servers = append(pool.Servers, s)
		r.servers[s.Address] = &backend{
			start: time.Now().Add(-time.Duration(i) * time.Hour), incarnation: uint64(100 + i), seen: make(map[uint32]uint64),
		}
		r.names[s.Address] = s.Name
		o := tables.Server{Name: fmt.Sprintf("o%d", i), Address: r.addr(), DC: "east", Slots: 3, Connections: 46}
		plain.Servers = append(plain.Servers, o)
	}
	r.tables = &tables.Tables{Pools: []tables.Pool{pool, plain}, Routes: []tables.Route{
		{Name: "stock", Path: "/*", Pool: "stock", Timeout: 200 * time.Millisecond},
	}}
	for i := range instances {
		r.list.Instances = append(r.list.Instances, roster.Instance{Name: fmt.Sprintf("n%d", i), DC: "east", Peer: r.addr()})
	}
	for _, i := range r.list.Instances {
		r.start(i)
	}
	t.Cleanup(func() {
		for _, n := range r.all() {
			n.cancel()
		}
		r.wait.Wait()
	})
	return r
}

// plan is the balancer of all instances.
func (r *rig) plan(_ string, _ time.Time, _ []homes.Server, slots []homes.Slot) []homes.Move {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.balance == nil {
		return nil
	}
	return r.balance(slots)
}

func (r *rig) addr() netip.AddrPort {
	r.made++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+r.made))
}

func (r *rig) all() []*node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*node
	for _, i := range r.list.Instances {
		if n := r.nodes[i.Peer]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// reach returns the node at peer as seen from n.
func (n *node) reach(peer netip.AddrPort) *node {
	n.rig.mu.Lock()
	other := n.rig.nodes[peer]
	n.rig.mu.Unlock()
	if other == nil || (other != n && (n.isCut() || other.isCut())) {
		return nil
	}
	return other
}

func (n *node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

func (n *node) setCut(cut bool) {
	n.mu.Lock()
	n.cut = cut
	n.mu.Unlock()
}

func (r *rig) start(i roster.Instance) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{rig: r, name: i.Name, peer: i.Peer, cancel: cancel, lanes: make(map[string]*peerpb.Lane)}
	id := fmt.Sprintf("%s/%d", i.Name, r.made)
	r.made++
	n.driver = drive.New(drive.Config{
		Config: ctrl.Config{ID: id, DC: "east", PeerAddr: i.Peer, StartedAt: time.Now(), Balance: r.plan},
		View: func(f func(*fold.Placement)) {
			n.mu.Lock()
			defer n.mu.Unlock()
			f(&n.place)
		},
		LogContact: func() time.Time {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.read
		},
		Append: func(ctx context.Context, rec *record.Record) (uint64, error) {
			if n.isCut() {
				return 0, errDown
			}
			return r.log.append(ctx, rec)
		},
		Grant: func(ctx context.Context, addr netip.AddrPort, g grants.Grant) (grants.Reply, error) {
			b := r.servers[addr]
			if b == nil || n.isCut() {
				return grants.Reply{}, errDown
			}
			return b.grant(ctx, g)
		},
		Fence: func(ctx context.Context, peer netip.AddrPort, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
			if o := n.reach(peer); o != nil {
				return o.member.HandleFence(ctx, req)
			}
			return nil, errDown
		},
		Event: func(name string, fields ...any) {
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
			return n.place.Cell("east")
		},
		List: func() roster.List {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.list
		},
		SendHeartbeat: func(ctx context.Context, peer netip.AddrPort, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
			if o := n.reach(peer); o != nil {
				return o.member.HandleHeartbeat(ctx, req)
			}
			return nil, errDown
		},
		AnswerHeartbeat: n.driver.Heartbeat, OnHolder: n.driver.Heard, OnLanes: n.update,
		OnMembers: func(members []*peerpb.Member, _ []*peerpb.Owner) { n.driver.SetRoster(members) },
		TakeReleases: func() []*peerpb.Release {
			n.mu.Lock()
			defer n.mu.Unlock()
			out := n.freed
			n.freed = nil
			return out
		},
		ServerReports: func(time.Time) []*peerpb.ServerReport {
			n.mu.Lock()
			defer n.mu.Unlock()
			var out []*peerpb.ServerReport
			for _, l := range n.lanes {
				out = append(out, &peerpb.ServerReport{Name: l.Servers[0].Name, Failing: n.fails[l.Servers[0].Name]})
			}
			return out
		},
	})
	r.mu.Lock()
	r.nodes[i.Peer] = n
	r.mu.Unlock()
	n.driver.SetTables(r.tables, nil)
	n.driver.SetList(r.list)
	r.wait.Go(func() { n.tail(ctx) })
	r.wait.Go(func() { n.driver.Run(ctx) })
	r.wait.Go(func() { n.member.Run(ctx) })
}

// update plays a dispatcher whose requests end at once.
func (n *node) update(_ time.Time, list []*peerpb.Lane, until time.Time) {
	n.mu.Lock()
	next := make(map[string]*peerpb.Lane)
	for _, l := range list {
		next[l.Name] = l
	}
	for name, old := range n.lanes {
		if l := next[name]; l == nil || l.Revision != old.Revision {
			n.freed = append(n.freed, &peerpb.Release{Lane: name, Revision: old.Revision})
		}
	}
	n.lanes, n.until = next, until
	free := len(n.freed) > 0
	n.mu.Unlock()
	if free {
		n.member.HeartbeatNow()
	}
}

func (n *node) tail(ctx context.Context) {
	for ctx.Err() == nil {
		n.rig.log.mu.Lock()
		recs, down := n.rig.log.recs, n.rig.log.down
		n.rig.log.mu.Unlock()
		if !down && !n.isCut() {
			n.mu.Lock()
			for i := int(n.place.Offset()); i < len(recs); i++ {
				n.place.Apply(uint64(i+1), recs[i])
			}
			n.read = time.Now()
			n.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// stop ends an instance like a crash.
func (r *rig) stop(n *node) {
	r.mu.Lock()
	delete(r.nodes, n.peer)
	r.mu.Unlock()
	n.cancel()
}

// controller returns the instance with authority, nil if there is none.
func (r *rig) controller() *node {
	for _, n := range r.all() {
		if st := n.driver.Status(); st.State == ctrl.Serving && time.Now().Before(st.AuthorityUntil) && !n.isCut() {
			return n
		}
	}
	return nil
}

// check fails the test if a slot is validly held by two servers, and returns how many slots are held and dispatched
// to the server that holds them.
func (r *rig) check() (served int) {
	owner := make(map[uint32]netip.AddrPort)
	for _, b := range r.servers {
		b.mu.Lock()
	}
	now := time.Now()
	for addr, b := range r.servers {
		for _, i := range b.holds(now) {
			if other, ok := owner[i]; ok {
				r.t.Fatalf("slot %d is held by %s and %s", i, r.names[other], r.names[addr])
			}
			owner[i] = addr
		}
	}
	for _, b := range r.servers {
		b.mu.Unlock()
	}
	sent := make(map[uint32]string)
	nodes := r.all()
	for _, n := range nodes {
		n.mu.Lock()
	}
	now = time.Now()
	for _, n := range nodes {
		for _, l := range n.lanes {
			for _, s := range l.Slots {
				for i := s.First; i <= s.Last && now.Before(n.until); i++ {
					if to := sent[i]; to != "" && to != l.Servers[0].Name && !r.checks {
						r.t.Fatalf("slot %d is dispatched to %s and %s", i, to, l.Servers[0].Name)
					}
					sent[i] = l.Servers[0].Name
				}
			}
		}
	}
	for _, n := range nodes {
		n.mu.Unlock()
	}
	if !r.checks {
		return len(sent)
	}
	for i, addr := range owner {
		if sent[i] == r.names[addr] {
			served++
		}
	}
	return served
}

// eventually waits until ok holds, checking exclusive ownership all the while.
func (r *rig) eventually(what string, ok func() bool) time.Duration {
	r.t.Helper()
	start := time.Now()
	for time.Since(start) < 20*time.Second {
		r.check()
		if ok() {
			return time.Since(start)
		}
		time.Sleep(2 * time.Millisecond)
	}
	r.t.Fatalf("not reached in 20 s: %s", what)
	return 0
}

func (r *rig) served() bool { return r.check() == slots }
