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
	Fence  *FenceCall
	Grant  *fleet.Call // its result goes to Answered
	Event  *Event
}

// FenceCall asks an instance to confirm a pair, or with term 0 for its id. Its result goes to Fenced.
type FenceCall struct {
	Name     string // as in the list
	PeerAddr netip.AddrPort
	Request  *peerpb.FenceRequest
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
	// Surveying means that a candidate asks who is there.
	Surveying
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
	ID            string // instance id, name/incarnation
	DC            string
	PeerAddr      netip.AddrPort // own peer listener
	StartedAt     time.Time
	RemoteContact func(dc string) time.Time // last time an instance of another data centre answered; nil: always now
	// Balance proposes planned moves of a pool. nil: slots move only when their owner is lost or leaving.
	Balance func(pool string, now time.Time, servers []homes.Server, slots []homes.Slot) []homes.Move
}

// Core is the state of a controller or candidate. It is not safe for concurrent use.
type Core struct {
	Config
	Status

	tables       *tables.Tables
	lostDCs      []string
	placement    *fold.Placement // valid during Step only
	list         roster.List
	listReceived bool // a list was received
	logContact   time.Time
	leaving      bool
	dispatchers  []*peerpb.Member

	stateSince         time.Time // start of the state
	foldOffset         uint64    // offset of the fold in the last step
	cell               fold.Cell
	cellSeen           time.Time // when the current term appeared in the fold
	highestPair        lease.Pair
	holderSeenAt       time.Time // last sign of life of the holder of high
	noAuthoritySince   time.Time // since when that holder has had no authority; zero if it has
	noClaimBefore      time.Time // no claim before
	holderLeavingSince time.Time // since when the holder has been leaving; zero if it is not
	holderSaysLeaving  bool      // the holder's own word

	quorum           *lease.Quorum
	nextQuorum       *lease.Quorum // of the new term while renewing
	fence            *lease.Fence
	missingEventAt   time.Time // last event about missing witnesses
	earlierLapsedAt  time.Time // when everything granted by earlier pairs has lapsed
	answersWithLanes bool      // lanes are answered with
	renewing         bool      // a holder with authority that claims a new term for itself
	lastMoveAt       time.Time // when a slot was last on the move
	driftSince       time.Time // since when the witness set has differed from what is alive
	absence          lease.AbsenceTracker
	readyRetryAt     time.Time // next Ready append

	peers        map[string]*peer // by name in the list
	fleet        *fleet.Fleet
	pools        map[string]*slots.Pool
	laneTable    *lanes.Table
	heartbeats   beats.Tracker
	appends      writes.Tracker
	pendingTerm  *writes.Pending // Term append in flight
	pendingReady *writes.Pending

	fleetSynced bool // the fleet knows the tables and the list
	dirty       bool
	plannedAt   time.Time
	queued      []Action
}

// Status is what operators see.
type Status struct {
	State          State
	Pair           lease.Pair
	AuthorityUntil time.Time // until when, by the last confirmations
	MovingSlots    int       // slots being moved
	UnloggedMoves  int       // moves that are not in the log yet
	LogDown        bool      // the log did not answer the last append in time
}

// New returns an idle core.
func New(cfg Config) *Core {
	c := &Core{Config: cfg, stateSince: cfg.StartedAt, holderSeenAt: cfg.StartedAt, cellSeen: cfg.StartedAt}
	c.fleet = fleet.New(c.logEvent)
	c.appends.LogEvent = c.logEvent
	c.peers = make(map[string]*peer)
	c.reset()
	return c
}

func (c *Core) reset() {
	c.pools = make(map[string]*slots.Pool)
	c.heartbeats = beats.Tracker{}
	c.laneTable = lanes.New(c.Pair)
	c.quorum, c.fence, c.pendingTerm, c.pendingReady = nil, nil, nil, nil
	c.renewing, c.answersWithLanes, c.driftSince = false, false, time.Time{}
}

// SetTables replaces the tables. lost are the data centres that operators declare destroyed.
func (c *Core) SetTables(t *tables.Tables, lost []string) {
	c.tables, c.lostDCs, c.dirty, c.fleetSynced = t, lost, true, false
	for _, p := range c.pools {
		p.ClearHomes()
	}
}

// SetList replaces the platform's list, received at now.
func (c *Core) SetList(l roster.List) {
	c.list, c.listReceived, c.dirty, c.fleetSynced = l, true, true, false
}

// SetDispatchers notes which instance dispatches which lane, by the word of the controller.
func (c *Core) SetDispatchers(members []*peerpb.Member) { c.dispatchers = members }

// Leave makes the core give the role to another instance and claim it no more.
func (c *Core) Leave() { c.leaving = true }

// ObserveHolder notes at now that the member side got word from the holder of pair: whether it has authority,
// and whether it is leaving.
func (c *Core) ObserveHolder(now time.Time, p lease.Pair, authority, leaving bool) {
	if p.Compare(c.highestPair) < 0 {
		return
	}
	c.holderSaysLeaving = leaving
	if p != c.highestPair || authority {
		c.noAuthoritySince = time.Time{}
	} else if c.noAuthoritySince.IsZero() {
		c.noAuthoritySince = now
	}
	c.highestPair, c.holderSeenAt = p, now
	if p.Compare(c.Pair) > 0 {
		c.yieldTo(now, p, "heard")
	}
}

// yieldTo gives the role up when a higher pair shows up.
func (c *Core) yieldTo(now time.Time, p lease.Pair, reason string) {
	if p.Compare(c.highestPair) > 0 {
		c.highestPair, c.holderSeenAt, c.noAuthoritySince, c.holderSaysLeaving = p, now, time.Time{}, false
	}
	if c.State == Fencing || c.State == Serving {
		c.logEvent("stepdown", "pair", c.Pair, "higher", p, "why", reason)
		c.setState(now, Idle)
		c.Pair = lease.Pair{}
		c.reset()
	}
}

func (c *Core) setState(now time.Time, s State) {
	if s != c.State {
		c.logEvent("state", "from", c.State, "to", s)
	}
	c.State, c.stateSince, c.dirty = s, now, true
}

func (c *Core) logEvent(name string, fields ...any) {
	c.queued = append(c.queued, Action{Event: &Event{Name: name, Fields: fields}})
}

// IsController reports whether the role is held or being taken.
func (c *Core) IsController() bool { return c.State == Fencing || c.State == Serving }

// hasAuthority reports whether the pair may grant at now.
func (c *Core) hasAuthority(now time.Time) bool { return c.State == Serving && c.quorum.Holds(now) }

// Step brings the core up to now and returns what to do. place is only read, and only during the call; contact is
// when the log itself, not a relay, was last asked successfully.
func (c *Core) Step(now time.Time, place *fold.Placement, contact time.Time) []Action {
	c.placement, c.logContact = place, contact
	c.updateInputs(now)
	switch c.State {
	case Idle:
		c.startSurveyIfDue(now)
	case Surveying:
		c.survey(now)
	case Claiming:
		c.awaitClaim(now)
	case Fencing:
		c.displaceEarlierPairs(now)
	case Serving:
		c.serve(now)
	}
	c.placement = nil
	return c.takeActions()
}

// takeActions returns what is to be done, events first.
func (c *Core) takeActions() []Action {
	out := c.queued
	c.queued = nil
	for _, a := range c.appends.TakeQueued() {
		out = append(out, Action{Append: &a})
	}
	for _, o := range c.fleet.TakeCalls() {
		out = append(out, Action{Grant: &o})
	}
	return out
}

// updateInputs takes in what changed in the fold and the list.
func (c *Core) updateInputs(now time.Time) {
	cell := c.placement.Cell(c.DC)
	if c.placement.Offset() != c.foldOffset {
		c.foldOffset, c.dirty = c.placement.Offset(), true
	}
	if cell.Term != c.cell.Term {
		c.cellSeen = now
		if p := (lease.Pair{Term: cell.Term}); p.Compare(c.highestPair) > 0 {
			c.highestPair, c.holderSeenAt, c.noAuthoritySince, c.holderSaysLeaving = p, now, time.Time{}, false
		}
	}
	c.cell = cell
	c.updatePeers(now)
	if !c.fleetSynced && c.tables != nil {
		c.fleetSynced = true
		c.fleet.SetServers(now, c.DC, c.tables, &c.list)
	}
}

// HandleAppendResult takes the result of an append. An unknown outcome has offset 0 and failed false.
func (c *Core) HandleAppendResult(tag, offset uint64, failed bool) {
	c.appends.SetResult(tag, offset, failed)
	c.dirty = true
}

// HandleGrantReply takes a server's answer to the call with this id, or its failure, at now.
func (c *Core) HandleGrantReply(now time.Time, server string, id uint64, r grants.Reply, err error) {
	res := c.fleet.HandleAnswer(now, server, id, r, err, c.IsController())
	switch {
	case !res.Answered:
	case !c.IsController():
		if res.HighestPair.Compare(c.highestPair) > 0 {
			c.highestPair = res.HighestPair
		}
	case res.HighestPair.Compare(c.Pair) > 0:
		c.yieldTo(now, res.HighestPair, "refused by "+res.ProcessID)
	case res.Confirmed:
		c.recordConfirmation(now, res.SentAt, res.ProcessID)
	}
}
