// Package lanes keeps a controller's lane table: what each lane consists of, which instance dispatches it, and the
// leases under which earlier dispatchers may still send requests. It reads no clock.
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

// Spec describes a lane as it should be.
type Spec struct {
	Name    string
	Pool    string
	Keyed   bool
	Servers []*peerpb.Server
	Slots   []*peerpb.Range // sorted; only in keyed pools
	// Linger is how long a request may still take effect after its lease has expired: the longest route timeout in a
	// keyed pool if the server does not check tokens, otherwise 0.
	Linger time.Duration
}

// lane is a Spec with its dispatcher.
type lane struct {
	Spec
	revision   uint64
	dispatcher string // "" if no instance may dispatch it
	withdrawn  bool   // the dispatcher must stop; its lease is not renewed
	removed    bool   // not in the last Update
	leases     []laneLease
}

// laneLease lets one instance dispatch one revision of a lane.
type laneLease struct {
	dispatcher string
	revision   uint64
	slots      []*peerpb.Range
	renewedAt  time.Time // of the last reply that renewed it
}

type member struct {
	peerAddr string
	leaving  bool
	lastSeen time.Time
	alive    bool   // seen within the validity of a lease
	view     uint64 // changes with its lanes
}

// Table is the lane table of one pair. It is not safe for concurrent use.
type Table struct {
	lanes            map[string]*lane
	members          map[string]*member
	owners           []*peerpb.Owner
	priorDispatchers map[string]string // dispatchers under the earlier pair
	counter          uint64
	firstElectionAt  time.Time
	sharedView       uint64 // changes with what all members see
}

// New returns a table whose revisions and views are above those of all earlier pairs.
func New(p lease.Pair) *Table {
	return &Table{
		lanes: make(map[string]*lane), members: make(map[string]*member),
		counter: revisionBase(p),
	}
}

// priorDispatcherTimeout is how long a lane waits for contact with its dispatcher under the earlier pair.
const priorDispatcherTimeout = 150 * time.Millisecond

// memberRetention is how long a silent instance is kept, so that it is not taken for new when it returns.
const memberRetention = time.Minute

// revisionBase is below all revisions of p. 24 bits for the counter and 3 for the epoch leave 37 for the term.
func revisionBase(p lease.Pair) uint64 { return p.Term<<27 | uint64(p.Epoch)<<24 }

// RaiseRevisions makes all later revisions higher than those of pairs before p.
func (t *Table) RaiseRevisions(p lease.Pair) { t.counter = max(t.counter, revisionBase(p)) }

func (t *Table) nextRevision() uint64 {
	t.counter++
	return t.counter
}

// SetPriorDispatchers sets which instance dispatched each lane under the earlier pair, as far as is known. It keeps the
// lane if it makes contact in time.
func (t *Table) SetPriorDispatchers(members []*peerpb.Member) {
	t.priorDispatchers = make(map[string]string)
	for _, m := range members {
		for _, name := range m.GetLanes() {
			t.priorDispatchers[name] = m.GetInstance()
		}
	}
}

// RecordContact records contact with an instance at now.
func (t *Table) RecordContact(now time.Time, id, peerAddr string, leaving bool) {
	m := t.members[id]
	if m == nil {
		m = &member{alive: true}
		t.members[id] = m
		t.sharedView = t.nextRevision()
	}
	if m.peerAddr != peerAddr || m.leaving != leaving {
		m.peerAddr, m.leaving = peerAddr, leaving
		t.sharedView = t.nextRevision()
	}
	m.lastSeen = now
}

// LiveInstances returns the ids of the instances seen within lease.Validity, sorted.
func (t *Table) LiveInstances(now time.Time) []string {
	var out []string
	for id, m := range t.members {
		if now.Sub(m.lastSeen) <= lease.Validity {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// PeerAddr returns the peer address of a member, or "" if it is unknown.
func (t *Table) PeerAddr(id string) string {
	if m := t.members[id]; m != nil {
		return m.peerAddr
	}
	return ""
}

// SetOwners replaces the owners of slots whose moves are not in the log.
func (t *Table) SetOwners(owners []*peerpb.Owner) {
	if !slices.EqualFunc(owners, t.owners, func(a, b *peerpb.Owner) bool { return proto.Equal(a, b) }) {
		t.owners = owners
		t.sharedView = t.nextRevision()
	}
}

// Update replaces the specs of all lanes. Lanes that are not in specs end.
func (t *Table) Update(specs []Spec) {
	inSpecs := make(map[string]bool, len(specs))
	for _, s := range specs {
		inSpecs[s.Name] = true
		t.updateLane(s)
	}
	for name, l := range t.lanes {
		if !inSpecs[name] && !l.removed {
			l.removed, l.withdrawn = true, true
			t.renewView(l.dispatcher)
		}
	}
}

func (t *Table) updateLane(s Spec) {
	l := t.lanes[s.Name]
	if l == nil {
		l = &lane{}
		t.lanes[s.Name] = l
	} else if !l.removed && sameSpec(&l.Spec, &s) {
		return
	}
	l.Spec, l.removed, l.revision = s, false, t.nextRevision()
	t.renewView(l.dispatcher)
}

func sameSpec(a, b *Spec) bool {
	return a.Linger == b.Linger &&
		slices.EqualFunc(a.Servers, b.Servers, func(x, y *peerpb.Server) bool { return proto.Equal(x, y) }) &&
		slices.EqualFunc(a.Slots, b.Slots, func(x, y *peerpb.Range) bool {
			return x.First == y.First && x.Last == y.Last && x.Token == y.Token
		})
}

// renewView makes the next reply to a member carry its lanes.
func (t *Table) renewView(id string) {
	if m := t.members[id]; m != nil {
		m.view = t.nextRevision()
	}
}

// Elect chooses dispatchers at now, and reports whether anything changed. Dispatchers of earlier pairs may send requests
// until earlierLapsed; if the server does not check tokens, a lane gets a dispatcher only Linger after that.
func (t *Table) Elect(now, earlierLapsed time.Time) bool {
	before := t.counter
	if t.firstElectionAt.IsZero() {
		t.firstElectionAt = now
	}
	var eligible []string
	for id, m := range t.members {
		if alive := now.Sub(m.lastSeen) <= lease.AddDriftMargin(lease.Validity); alive != m.alive {
			m.alive = alive
			t.sharedView = t.nextRevision()
		}
		if now.Sub(m.lastSeen) > memberRetention {
			delete(t.members, id)
		}
		if m.alive && !m.leaving {
			eligible = append(eligible, id)
		}
	}
	slices.Sort(eligible)
	laneCounts := t.lanesPerDispatcher()
	for _, name := range slices.Sorted(maps.Keys(t.lanes)) {
		l := t.lanes[name]
		t.expireLeases(l, now)
		switch {
		case l.removed && len(l.leases) == 0:
			delete(t.lanes, name)
		case !l.removed:
			t.electDispatcher(l, eligible, laneCounts, now, earlierLapsed)
		}
	}
	return t.counter != before
}

// lanesPerDispatcher returns how many lanes each dispatcher has, without withdrawn ones.
func (t *Table) lanesPerDispatcher() map[string]int {
	out := make(map[string]int)
	for _, l := range t.lanes {
		if l.dispatcher != "" && !l.withdrawn {
			out[l.dispatcher]++
		}
	}
	return out
}

// chooseDispatcher returns the first instance in rendezvous order that dispatches less than an equal share of the lanes.
// With few lanes, rendezvous hashing alone leaves some instances without any and others with several.
func (t *Table) chooseDispatcher(name string, eligible []string, laneCounts map[string]int) string {
	share := (len(t.lanes) + len(eligible) - 1) / len(eligible)
	order := homes.Rank(name, eligible)
	for _, id := range order {
		if laneCounts[id] < share {
			return id
		}
	}
	return order[0]
}

func (t *Table) expireLeases(l *lane, now time.Time) {
	l.leases = slices.DeleteFunc(l.leases, func(held laneLease) bool {
		return now.After(held.renewedAt.Add(lease.AddDriftMargin(lease.Validity) + l.Linger))
	})
}

// electDispatcher replaces an ineligible dispatcher, once its leases on the lane have ended.
func (t *Table) electDispatcher(l *lane, eligible []string, laneCounts map[string]int, now, earlierLapsed time.Time) {
	if l.dispatcher != "" && slices.Contains(eligible, l.dispatcher) && !l.withdrawn {
		return
	}
	if l.dispatcher != "" && !l.withdrawn {
		l.withdrawn = true
		t.renewView(l.dispatcher)
	}
	if slices.ContainsFunc(l.leases, func(held laneLease) bool { return held.dispatcher == l.dispatcher }) {
		return
	}
	if len(eligible) == 0 || (l.Linger > 0 && now.Before(earlierLapsed.Add(l.Linger))) {
		return
	}
	best := t.chooseDispatcher(l.Name, eligible, laneCounts)
	if id := t.priorDispatchers[l.Name]; slices.Contains(eligible, id) {
		best = id
	} else if id != "" && now.Sub(t.firstElectionAt) < priorDispatcherTimeout && t.members[id] == nil {
		return
	}
	delete(t.priorDispatchers, l.Name)
	l.dispatcher, l.withdrawn, l.revision = best, false, t.nextRevision()
	laneCounts[best]++
	t.renewView(l.dispatcher)
	t.sharedView = t.nextRevision()
}

// RecordRelease records that a member has no request of a lane revision in progress and will start none.
func (t *Table) RecordRelease(id, name string, revision uint64) {
	if l := t.lanes[name]; l != nil {
		l.leases = slices.DeleteFunc(l.leases, func(held laneLease) bool { return held.dispatcher == id && held.revision == revision })
	}
}

// IsClear reports whether at now no dispatcher may work under a revision of the named lane that includes the slot.
func (t *Table) IsClear(now time.Time, name string, slot uint32) bool {
	l := t.lanes[name]
	if l == nil {
		return true
	}
	t.expireLeases(l, now)
	return !slices.ContainsFunc(l.leases, func(held laneLease) bool { return containsSlot(held.slots, slot) })
}

// IsUnused reports whether at now no lane, other than except, may send requests for the slot to a server that does not
// check tokens.
func (t *Table) IsUnused(now time.Time, pool, except string, slot uint32) bool {
	for name, l := range t.lanes {
		if l.Linger > 0 && l.Pool == pool && name != except && !t.IsClear(now, name, slot) {
			return false
		}
	}
	return true
}

func containsSlot(slots []*peerpb.Range, slot uint32) bool {
	i, found := slices.BinarySearchFunc(slots, slot, func(r *peerpb.Range, s uint32) int { return int(r.First) - int(s) })
	if !found {
		i--
	}
	return i >= 0 && slots[i].First <= slot && slot <= slots[i].Last
}

// Dispatcher returns the dispatcher of a lane, or "" if it has none.
func (t *Table) Dispatcher(name string) string {
	if l := t.lanes[name]; l != nil && !l.withdrawn {
		return l.dispatcher
	}
	return ""
}

// FillReply renews the lane leases of id at now. It adds the view to the heartbeat reply and, unless this is knownView,
// the lanes, members and owners.
func (t *Table) FillReply(now time.Time, id string, knownView uint64, rep *peerpb.HeartbeatReply) {
	m := t.members[id]
	if m == nil {
		return
	}
	rep.View = max(m.view, t.sharedView)
	full := rep.View != knownView
	for _, l := range t.lanes {
		if l.dispatcher != id || l.withdrawn {
			continue
		}
		t.renewLease(l, now)
		if full {
			rep.Lanes = append(rep.Lanes, &peerpb.Lane{
				Name: l.Name, Pool: l.Pool, Revision: l.revision, Servers: l.Servers, Slots: l.Slots,
			})
		}
	}
	if full {
		rep.Members, rep.Owners = t.memberList(), t.owners
	}
}

func (t *Table) renewLease(l *lane, now time.Time) {
	for i := range l.leases {
		if l.leases[i].dispatcher == l.dispatcher && l.leases[i].revision == l.revision {
			l.leases[i].renewedAt = now
			return
		}
	}
	l.leases = append(l.leases, laneLease{dispatcher: l.dispatcher, revision: l.revision, slots: l.Slots, renewedAt: now})
}

// memberList returns the live instances that are not leaving. A controller missing from its own list is leaving.
func (t *Table) memberList() []*peerpb.Member {
	laneNames := make(map[string][]string)
	for name, l := range t.lanes {
		if l.dispatcher != "" && !l.withdrawn {
			laneNames[l.dispatcher] = append(laneNames[l.dispatcher], name)
		}
	}
	var out []*peerpb.Member
	for id, m := range t.members {
		if !m.alive || m.leaving {
			continue
		}
		slices.Sort(laneNames[id])
		out = append(out, &peerpb.Member{Instance: id, Peer: m.peerAddr, Lanes: laneNames[id]})
	}
	slices.SortFunc(out, func(a, b *peerpb.Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return out
}
