// Package ctrl decides for the controller of a data centre: when to claim the role, what authority it has, which
// server may serve which slot, and what has to be certain before a slot moves. It contains no clock, socket or
// goroutine. Package drive carries its actions out and hands the results back.
package ctrl

import (
	"net/netip"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/beats"
	"github.com/bramleycove/bramleycove/internal/place/fleet"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lanes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/place/slots"
	"github.com/bramleycove/bramleycove/internal/place/writes"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Action is something for the driver to do. Exactly one field is set.
type Action struct {
	Append *writes.Append // its result goes to Appended
	Fence  *Fence
	Grant  *fleet.Call // its result goes to Answered
	Event  *Event
}

// Fence asks an instance to confirm a pair, or with term 0 for its id. Its result goes to Fenced.
type Fence struct {
	Name    string // as in the list
	Peer    netip.AddrPort
	Request *peerpb.FenceRequest
}

// Event is one decision, for the log.
type Event struct {
	Name   string
	Fields []any // alternating keys and values
}

// State is what the controller is doing.
type State uint8

const (
	// Idle means that another instance has the role, or should claim it.
	Idle State = iota
	// Survey means that a candidate asks who is there.
	Survey
	// Claiming means that a Term was appended and is not yet in the fold.
	Claiming
	// Fencing means that earlier pairs are being displaced.
	Fencing
	// Serving means that the role is held. Authority may still be lacking at times.
	Serving
)

// String returns the state as it appears in logs.
func (s State) String() string {
	return [...]string{"idle", "survey", "claiming", "fencing", "serving"}[s]
}

// Config is what a Core is told once.
type Config struct {
	ID     string // instance id, name/incarnation
	DC     string
	Peer   netip.AddrPort // own peer listener
	Start  time.Time
	Remote func(dc string) time.Time // last time an instance of another data centre answered; nil: always now
	// Balance proposes planned moves of a pool. nil: slots move only when their owner is lost or leaving.
	Balance func(pool string, now time.Time, servers []homes.Server, slots []homes.Slot) []homes.Move
}

// Core is the state of a controller or candidate. It is not safe for concurrent use.
type Core struct {
	Config
	Status

	tables  *tables.Tables
	lost    []string
	place   *fold.Placement // valid during Step only
	list    roster.List
	listed  bool // a list was received
	contact time.Time
	leaving bool
	roster  []*peerpb.Member

	since      time.Time // start of the state
	folded     uint64    // offset of the fold in the last step
	cell       fold.Cell
	cellSeen   time.Time // when the current term appeared in the fold
	high       lease.Pair
	heard      time.Time // last sign of life of the holder of high
	weak       time.Time // since when that holder has had no authority; zero if it has
	backoff    time.Time // no claim before
	parting    time.Time // since when the holder has been leaving; zero if it is not
	holderLeft bool      // the holder's own word

	quorum   *lease.Quorum
	next     *lease.Quorum // of the new term while renewing
	fence    *lease.Fence
	told     time.Time // last event about missing witnesses
	settle   time.Time // when everything granted by earlier pairs has lapsed
	opened   bool      // lanes are answered with
	renewing bool      // a holder with authority that claims a new term for itself
	moved    time.Time // when a slot was last on the move
	drift    time.Time // since when the witness set has differed from what is alive
	absent   lease.AbsenceTracker
	retry    time.Time // next Ready append

	peers map[string]*peer // by name in the list
	fleet *fleet.Fleet
	pools map[string]*slots.Pool
	table *lanes.Table
	book  beats.Tracker
	log   writes.Tracker
	term  *writes.Pending // Term append in flight
	ready *writes.Pending

	synced  bool // the fleet knows the tables and the list
	dirty   bool
	planned time.Time
	out     []Action
}

// Status is what operators see.
type Status struct {
	State     State
	Pair      lease.Pair
	Authority time.Time // until when, by the last confirmations
	Moves     int       // slots being moved
	Unlogged  int       // moves that are not in the log yet
	LogDown   bool      // the log did not answer the last append in time
}

// New returns an idle core.
func New(cfg Config) *Core {
	c := &Core{Config: cfg, since: cfg.Start, heard: cfg.Start, cellSeen: cfg.Start}
	c.fleet = fleet.New(c.event)
	c.log.LogEvent = c.event
	c.peers = make(map[string]*peer)
	c.reset()
	return c
}

func (c *Core) reset() {
	c.pools = make(map[string]*slots.Pool)
	c.book = beats.Tracker{}
	c.table = lanes.New(c.Pair)
	c.quorum, c.fence, c.term, c.ready = nil, nil, nil, nil
	c.renewing, c.opened, c.drift = false, false, time.Time{}
}

// Tables replaces the tables. lost are the data centres that operators declare destroyed.
func (c *Core) Tables(t *tables.Tables, lost []string) {
	c.tables, c.lost, c.dirty, c.synced = t, lost, true, false
	for _, p := range c.pools {
		p.ClearHomes()
	}
}

// List replaces the platform's list, received at now.
func (c *Core) List(l roster.List) { c.list, c.listed, c.dirty, c.synced = l, true, true, false }

// Roster notes which instance dispatches which lane, by the word of the controller.
func (c *Core) Roster(members []*peerpb.Member) { c.roster = members }

// Leave makes the core give the role to another instance and claim it no more.
func (c *Core) Leave() { c.leaving = true }

// Heard notes at now that the member side got word from the holder of pair: whether it has authority,
// and whether it is leaving.
func (c *Core) Heard(now time.Time, p lease.Pair, authority, leaving bool) {
	if p.Compare(c.high) < 0 {
		return
	}
	c.holderLeft = leaving
	if p != c.high || authority {
		c.weak = time.Time{}
	} else if c.weak.IsZero() {
		c.weak = now
	}
	c.high, c.heard = p, now
	if p.Compare(c.Pair) > 0 {
		c.yieldTo(now, p, "heard")
	}
}

// yieldTo gives the role up when a higher pair shows up.
func (c *Core) yieldTo(now time.Time, p lease.Pair, why string) {
	if p.Compare(c.high) > 0 {
		c.high, c.heard, c.weak, c.holderLeft = p, now, time.Time{}, false
	}
	if c.State == Fencing || c.State == Serving {
		c.event("stepdown", "pair", c.Pair, "higher", p, "why", why)
		c.enter(now, Idle)
		c.Pair = lease.Pair{}
		c.reset()
	}
}

func (c *Core) enter(now time.Time, s State) {
	if s != c.State {
		c.event("state", "from", c.State, "to", s)
	}
	c.State, c.since, c.dirty = s, now, true
}

func (c *Core) event(name string, fields ...any) {
	c.out = append(c.out, Action{Event: &Event{Name: name, Fields: fields}})
}

// Controller reports whether the role is held or being taken.
func (c *Core) Controller() bool { return c.State == Fencing || c.State == Serving }

// authority reports whether the pair may grant at now.
func (c *Core) authority(now time.Time) bool { return c.State == Serving && c.quorum.Holds(now) }

// Step brings the core up to now and returns what to do. place is only read, and only during the call; contact is
// when the log itself, not a relay, was last asked successfully.
func (c *Core) Step(now time.Time, place *fold.Placement, contact time.Time) []Action {
	c.place, c.contact = place, contact
	c.watch(now)
	switch c.State {
	case Idle:
		c.candidate(now)
	case Survey:
		c.survey(now)
	case Claiming:
		c.claim(now)
	case Fencing:
		c.displace(now)
	case Serving:
		c.serve(now)
	}
	c.place = nil
	return c.actions()
}

// actions returns what is to be done, events first.
func (c *Core) actions() []Action {
	out := c.out
	c.out = nil
	for _, a := range c.log.TakeQueued() {
		out = append(out, Action{Append: &a})
	}
	for _, o := range c.fleet.TakeCalls() {
		out = append(out, Action{Grant: &o})
	}
	return out
}

// watch takes in what changed in the fold and the list.
func (c *Core) watch(now time.Time) {
	cell := c.place.Cell(c.DC)
	if c.place.Offset() != c.folded {
		c.folded, c.dirty = c.place.Offset(), true
	}
	if cell.Term != c.cell.Term {
		c.cellSeen = now
		if p := (lease.Pair{Term: cell.Term}); p.Compare(c.high) > 0 {
			c.high, c.heard, c.weak, c.holderLeft = p, now, time.Time{}, false
		}
	}
	c.cell = cell
	c.present(now)
	if !c.synced && c.tables != nil {
		c.synced = true
		c.fleet.SetServers(now, c.DC, c.tables, &c.list)
	}
}

// Appended takes the result of an append. An unknown outcome has offset 0 and failed false.
func (c *Core) Appended(tag, offset uint64, failed bool) {
	c.log.SetResult(tag, offset, failed)
	c.dirty = true
}

// Answered takes a server's answer to the call with this id, or its failure, at now.
func (c *Core) Answered(now time.Time, server string, id uint64, r grants.Reply, err error) {
	res := c.fleet.HandleAnswer(now, server, id, r, err, c.Controller())
	switch {
	case !res.Answered:
	case !c.Controller():
		if res.HighestPair.Compare(c.high) > 0 {
			c.high = res.HighestPair
		}
	case res.HighestPair.Compare(c.Pair) > 0:
		c.yieldTo(now, res.HighestPair, "refused by "+res.ProcessID)
	case res.Confirmed:
		c.confirm(now, res.SentAt, res.ProcessID)
	}
}
