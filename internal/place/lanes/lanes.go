// Package lanes keeps the lane table of a controller: what each lane consists of, which instance dispatches it, and
// what earlier dispatchers may still be doing. It reads no clock.
package lanes

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Spec is what a lane should consist of.
type Spec struct {
	Name    string
	Pool    string
	Keyed   bool
	Servers []*peerpb.Server
	Slots   []*peerpb.Range // keyed pools, sorted
	// Linger is how long after a lease has lapsed a request sent under it may still take effect: the longest route
	// timeout of a keyed pool whose server does not check, otherwise 0.
	Linger time.Duration
}

// lane is a Spec with its dispatcher.
type lane struct {
	Spec
	revision uint64
	holder   string // "" if no instance may dispatch it
	drawn    bool   // the holder must stop; its lease is not renewed
	gone     bool   // no longer in the tables
	past     []term
}

// term is one revision as one instance received it.
type term struct {
	holder   string
	revision uint64
	slots    []*peerpb.Range
	last     time.Time // of the last reply that renewed it
}

type member struct {
	peer    string
	leaving bool
	seen    time.Time
	up      bool // heard within a lease
	view    uint64
}

// Table is the lane table of one pair. It is not safe for concurrent use.
type Table struct {
	lanes   map[string]*lane
	members map[string]*member
	owners  []*peerpb.Owner
	prior   map[string]string // dispatchers under the earlier pair
	counter uint64
	started time.Time // first election
	shared  uint64    // view of what all members see
}

// New returns a table whose revisions and views are above those of all earlier pairs.
func New(p lease.Pair) *Table {
	return &Table{
		lanes: make(map[string]*lane), members: make(map[string]*member),
		counter: base(p),
	}
}

// patience is how long a lane waits for a sign of life of the instance that dispatched it under the earlier pair.
const patience = 150 * time.Millisecond

// forget is how long a silent instance is kept, so that one that returns is not taken for a new one.
const forget = time.Minute

// base is the first revision of a pair. A term is a log offset: 24 bits for the counter leave 37 for the offset.
func base(p lease.Pair) uint64 { return p.Term<<27 | uint64(p.Epoch)<<24 }

// Raise lets later revisions be above those of all pairs before p.
func (t *Table) Raise(p lease.Pair) { t.counter = max(t.counter, base(p)) }

func (t *Table) next() uint64 {
	t.counter++
	return t.counter
}

// Prior sets which instance dispatched each lane under the earlier pair, as far as is known. It keeps the lane if it
// is heard.
func (t *Table) Prior(members []*peerpb.Member) {
	t.prior = make(map[string]string)
	for _, m := range members {
		for _, name := range m.GetLanes() {
			t.prior[name] = m.GetInstance()
		}
	}
}

// Beat notes a sign of life of an instance at now.
func (t *Table) Beat(now time.Time, id, peer string, leaving bool) {
	m := t.members[id]
	if m == nil {
		m = &member{up: true}
		t.members[id] = m
		t.shared = t.next()
	}
	if m.peer != peer || m.leaving != leaving {
		m.peer, m.leaving = peer, leaving
		t.shared = t.next()
	}
	m.seen = now
}

// Live returns the instances that were heard within L, sorted.
func (t *Table) Live(now time.Time) []string {
	var out []string
	for id, m := range t.members {
		if now.Sub(m.seen) <= lease.Validity {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Peer returns the address of a member, "" if unknown.
func (t *Table) Peer(id string) string {
	if m := t.members[id]; m != nil {
		return m.peer
	}
	return ""
}

// Owners replaces the list of moves that are not in the log.
func (t *Table) Owners(owners []*peerpb.Owner) {
	if !slices.EqualFunc(owners, t.owners, func(a, b *peerpb.Owner) bool { return proto.Equal(a, b) }) {
		t.owners = owners
		t.shared = t.next()
	}
}

// Update sets what the lanes should consist of. Lanes that are not in specs end.
func (t *Table) Update(specs []Spec) {
	named := make(map[string]bool, len(specs))
	for _, s := range specs {
		named[s.Name] = true
		t.update(s)
	}
	for name, l := range t.lanes {
		if !named[name] && !l.gone {
			l.gone, l.drawn = true, true
			t.touch(l.holder)
		}
	}
}

func (t *Table) update(s Spec) {
	l := t.lanes[s.Name]
	if l == nil {
		l = &lane{}
		t.lanes[s.Name] = l
	} else if !l.gone && same(&l.Spec, &s) {
		return
	}
	l.Spec, l.gone, l.revision = s, false, t.next()
	t.touch(l.holder)
}

func same(a, b *Spec) bool {
	return a.Linger == b.Linger &&
		slices.EqualFunc(a.Servers, b.Servers, func(x, y *peerpb.Server) bool { return proto.Equal(x, y) }) &&
		slices.EqualFunc(a.Slots, b.Slots, func(x, y *peerpb.Range) bool {
			return x.First == y.First && x.Last == y.Last && x.Token == y.Token
		})
}

// touch makes the next reply to a member carry its lanes.
func (t *Table) touch(id string) {
	if m := t.members[id]; m != nil {
		m.view = t.next()
	}
}

// Elect chooses dispatchers at now. Before open, lanes whose requests nobody checks at the server stay without one,
// since a dispatcher of an earlier pair may still be at work. It reports whether anything changed.
func (t *Table) Elect(now, open time.Time) bool {
	before := t.counter
	if t.started.IsZero() {
		t.started = now
	}
	var able []string
	for id, m := range t.members {
		if up := now.Sub(m.seen) <= lease.AddDriftMargin(lease.Validity); up != m.up {
			m.up = up
			t.shared = t.next()
		}
		if now.Sub(m.seen) > forget {
			delete(t.members, id)
		}
		if m.up && !m.leaving {
			able = append(able, id)
		}
	}
	slices.Sort(able)
	held := t.held()
	for _, name := range slices.Sorted(maps.Keys(t.lanes)) {
		l := t.lanes[name]
		t.expire(l, now)
		switch {
		case l.gone && len(l.past) == 0:
			delete(t.lanes, name)
		case !l.gone:
			t.elect(l, able, held, now, open)
		}
	}
	return t.counter != before
}

// held returns the number of lanes of each dispatcher.
func (t *Table) held() map[string]int {
	out := make(map[string]int)
	for _, l := range t.lanes {
		if l.holder != "" && !l.drawn {
			out[l.holder]++
		}
	}
	return out
}

// choose returns the first instance in rendezvous order that dispatches less than an equal part of the lanes. With few
// lanes, rendezvous hashing alone leaves some instances without any and others with several.
func (t *Table) choose(name string, able []string, held map[string]int) string {
	bound := (len(t.lanes) + len(able) - 1) / len(able)
	order := homes.Rank(name, able)
	for _, id := range order {
		if held[id] < bound {
			return id
		}
	}
	return order[0]
}

func (t *Table) expire(l *lane, now time.Time) {
	l.past = slices.DeleteFunc(l.past, func(p term) bool {
		return now.After(p.last.Add(lease.AddDriftMargin(lease.Validity) + l.Linger))
	})
}

func (t *Table) elect(l *lane, able []string, held map[string]int, now, open time.Time) {
	if l.holder != "" && slices.Contains(able, l.holder) && !l.drawn {
		return
	}
	if l.holder != "" && !l.drawn {
		l.drawn = true
		t.touch(l.holder)
	}
	if slices.ContainsFunc(l.past, func(p term) bool { return p.holder == l.holder }) {
		return
	}
	if len(able) == 0 || (l.Linger > 0 && now.Before(open.Add(l.Linger))) {
		return
	}
	best := t.choose(l.Name, able, held)
	if id := t.prior[l.Name]; slices.Contains(able, id) {
		best = id
	} else if id != "" && now.Sub(t.started) < patience && t.members[id] == nil {
		return
	}
	delete(t.prior, l.Name)
	l.holder, l.drawn, l.revision = best, false, t.next()
	held[best]++
	t.touch(l.holder)
	t.shared = t.next()
}

// Released notes that a member has no request of a lane revision in progress and starts none.
func (t *Table) Released(id, name string, revision uint64) {
	if l := t.lanes[name]; l != nil {
		l.past = slices.DeleteFunc(l.past, func(p term) bool { return p.holder == id && p.revision == revision })
	}
}

// Clear reports whether at now no dispatcher works under a revision of the lane that includes the slot. For a lane
// of another name it is asked with that name.
func (t *Table) Clear(now time.Time, name string, slot uint32) bool {
	l := t.lanes[name]
	if l == nil {
		return true
	}
	t.expire(l, now)
	return !slices.ContainsFunc(l.past, func(p term) bool { return covers(p.slots, slot) })
}

// Unused reports whether at now no dispatcher may send requests of the slot to a server that does not check them,
// other than through the lane except.
func (t *Table) Unused(now time.Time, pool, except string, slot uint32) bool {
	for name, l := range t.lanes {
		if l.Linger > 0 && l.Pool == pool && name != except && !t.Clear(now, name, slot) {
			return false
		}
	}
	return true
}

func covers(slots []*peerpb.Range, slot uint32) bool {
	i, found := slices.BinarySearchFunc(slots, slot, func(r *peerpb.Range, s uint32) int { return int(r.First) - int(s) })
	if !found {
		i--
	}
	return i >= 0 && slots[i].First <= slot && slot <= slots[i].Last
}

// Holder returns the dispatcher of a lane, "" if it has none.
func (t *Table) Holder(name string) string {
	if l := t.lanes[name]; l != nil && !l.drawn {
		return l.holder
	}
	return ""
}

// Fill completes the reply to a heartbeat of id at now and renews the leases on its lanes.
func (t *Table) Fill(now time.Time, id string, known uint64, rep *peerpb.HeartbeatReply) {
	m := t.members[id]
	if m == nil {
		return
	}
	rep.View = max(m.view, t.shared)
	full := rep.View != known
	for _, l := range t.lanes {
		if l.holder != id || l.drawn {
			continue
		}
		t.renew(l, now)
		if full {
			rep.Lanes = append(rep.Lanes, &peerpb.Lane{
				Name: l.Name, Pool: l.Pool, Revision: l.revision, Servers: l.Servers, Slots: l.Slots,
			})
		}
	}
	if full {
		rep.Members, rep.Owners = t.list(), t.owners
	}
}

func (t *Table) renew(l *lane, now time.Time) {
	for i := range l.past {
		if l.past[i].holder == l.holder && l.past[i].revision == l.revision {
			l.past[i].last = now
			return
		}
	}
	l.past = append(l.past, term{holder: l.holder, revision: l.revision, slots: l.Slots, last: now})
}

// list returns the live instances that stay. That a controller is missing says that it leaves.
func (t *Table) list() []*peerpb.Member {
	held := make(map[string][]string)
	for name, l := range t.lanes {
		if l.holder != "" && !l.drawn {
			held[l.holder] = append(held[l.holder], name)
		}
	}
	var out []*peerpb.Member
	for id, m := range t.members {
		if !m.up || m.leaving {
			continue
		}
		slices.Sort(held[id])
		out = append(out, &peerpb.Member{Instance: id, Peer: m.peer, Lanes: held[id]})
	}
	slices.SortFunc(out, func(a, b *peerpb.Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return out
}
