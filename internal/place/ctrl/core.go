// Package ctrl makes the decisions of a data centre's controller: when to claim the role, whether it has authority,
// which server may serve which slot, and when a slot may move. It has no clock, socket or goroutine; package drive
// performs its actions.
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
	Append *writes.Append // its result goes to HandleAppendResult
	Fence  *FenceCall
	Grant  *fleet.Call // its result goes to HandleGrantReply
	Event  *Event
}

// FenceCall asks an instance to confirm a pair or, with term 0, for its id. Its result goes to HandleFenceReply.
type FenceCall struct {
	Name     string // of the instance in the list
	PeerAddr netip.AddrPort
	Request  *peerpb.FenceRequest
}

// Event is an event to log.
type Event struct {
	Name   string
	Fields []any // alternating keys and values
}

// State is what the controller is doing.
type State uint8

const (
	// Idle means that another instance has the role or should claim it.
	Idle State = iota
	// Surveying means that a candidate asks instances and servers for their ids.
	Surveying
	// Claiming means that a Term record was appended and is not yet in the fold.
	Claiming
	// Fencing means that earlier pairs are being displaced.
	Fencing
	// Serving means that this instance holds the role, though at times it may lack authority.
	Serving
)

// String returns the state as it appears in logs.
func (s State) String() string {
	return [...]string{"idle", "survey", "claiming", "fencing", "serving"}[s]
}

// Config is the fixed configuration of a Core.
type Config struct {
	ID            string // instance id, name/incarnation
	DC            string
	PeerAddr      netip.AddrPort // of this instance's peer listener
	StartedAt     time.Time
	RemoteContact func(dc string) time.Time // when an instance of data centre dc last answered; nil: always now
	// Balance proposes planned moves in a pool. If it is nil, slots move only when their owner is lost or leaving.
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
	listReceived bool
	logContact   time.Time
	leaving      bool
	dispatchers  []*peerpb.Member

	stateSince         time.Time
	foldOffset         uint64 // offset of the fold in the last step
	cell               fold.Cell
	cellSeen           time.Time // when the current term appeared in the fold
	highestPair        lease.Pair
	holderSeenAt       time.Time // last sign of life of the holder of highestPair
	noAuthoritySince   time.Time // zero if that holder has authority
	noClaimBefore      time.Time
	holderLeavingSince time.Time // zero if the holder is not leaving
	holderSaysLeaving  bool

	quorum           *lease.Quorum
	nextQuorum       *lease.Quorum // of the new term, while renewing
	fence            *lease.Fence
	missingEventAt   time.Time // last event about missing witnesses
	earlierLapsedAt  time.Time // when all grants of earlier pairs have expired
	answersWithLanes bool      // replies to heartbeats carry lanes
	renewing         bool      // the holder's new term is not confirmed yet, but it has authority by the old one
	lastMoveAt       time.Time // when a slot was last being moved
	driftSince       time.Time // since when the witness set has differed from the live witnesses
	absence          lease.AbsenceTracker
	readyRetryAt     time.Time // no Ready record is appended before

	peers        map[string]*peer // by name in the list
	fleet        *fleet.Fleet
	pools        map[string]*slots.Pool
	laneTable    *lanes.Table
	heartbeats   beats.Tracker
	appends      writes.Tracker
	pendingTerm  *writes.Pending // append of a Term record
	pendingReady *writes.Pending

	fleetSynced bool      // the fleet has the current tables and list
	dirty       bool      // slots or lanes may have to change
	plannedAt   time.Time // last arrangeSlots
	queued      []Action
}

// Status is what operators see.
type Status struct {
	State          State
	Pair           lease.Pair
	AuthorityUntil time.Time // by the confirmations so far
	MovingSlots    int
	UnloggedMoves  int  // moves that are not in the log yet
	LogDown        bool // the log did not answer the last append in time
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

// SetTables replaces the tables. lostDCs are the data centres that operators have declared destroyed.
func (c *Core) SetTables(t *tables.Tables, lostDCs []string) {
	c.tables, c.lostDCs, c.dirty, c.fleetSynced = t, lostDCs, true, false
	for _, p := range c.pools {
		p.ClearHomes()
	}
}

// SetList replaces the platform's list.
func (c *Core) SetList(l roster.List) {
	c.list, c.listReceived, c.dirty, c.fleetSynced = l, true, true, false
}

// SetDispatchers sets which instance dispatches which lane, as last reported by the controller.
func (c *Core) SetDispatchers(members []*peerpb.Member) { c.dispatchers = members }

// Leave makes the core hand over the role and never claim it again.
func (c *Core) Leave() { c.leaving = true }

// ObserveHolder records a message from the holder of p, received at now: whether it has authority, and whether it is
// leaving.
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

// yieldTo gives up the role because the higher pair p exists.
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

// hasAuthority reports whether this instance may grant slots at now.
func (c *Core) hasAuthority(now time.Time) bool { return c.State == Serving && c.quorum.Holds(now) }

// Step advances the core to now and returns the actions to perform. placement is only read during the call; logContact
// is when the log itself, not a relay, last answered.
func (c *Core) Step(now time.Time, placement *fold.Placement, logContact time.Time) []Action {
	c.placement, c.logContact = placement, logContact
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

// takeActions returns the queued actions: events and fence calls first, then appends and grants.
func (c *Core) takeActions() []Action {
	out := c.queued
	c.queued = nil
	for _, a := range c.appends.TakeQueued() {
		out = append(out, Action{Append: &a})
	}
	for _, call := range c.fleet.TakeCalls() {
		out = append(out, Action{Grant: &call})
	}
	return out
}

// updateInputs updates the core from the fold, the list and the tables.
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

// HandleAppendResult handles the result of an append. An unknown outcome has offset 0 and failed false.
func (c *Core) HandleAppendResult(tag, offset uint64, failed bool) {
	c.appends.SetResult(tag, offset, failed)
	c.dirty = true
}

// HandleGrantReply handles a server's answer to the call with this id, or its error, at now.
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
