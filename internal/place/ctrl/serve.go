package ctrl

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lanes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	// planEvery bounds how often the slots are gone through while something is under way, and idleEvery otherwise.
	planEvery = 50 * time.Millisecond
	idleEvery = lease.Interval
	// laneSize is the largest number of servers in a lane of an unkeyed pool.
	laneSize = 16
	// strikeAge is how long a strike is handed on to instances.
	strikeAge = time.Minute
)

func keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// serve holds the role.
func (c *Core) serve(now time.Time) {
	if c.superseded() {
		if c.cell.Holder == c.ID {
			if !c.renewing || c.Pair.Term != c.cell.Term {
				c.begin(now, lease.Pair{Term: c.cell.Term}, c.quorum.Holds(now))
			}
		} else if !c.quorum.Holds(now) {
			c.yieldTo(now, lease.Pair{Term: c.cell.Term}, "superseded")
			return
		}
	}
	if c.renewing {
		c.displace(now)
	}
	if c.State != Serving {
		return
	}
	c.Authority = c.quorum.Until()
	c.table.Beat(now, c.ID, c.Peer.String(), c.leaving)
	c.liveness(now)
	c.refence(now)
	c.expose.Prune(now)
	if c.dirty || now.Sub(c.planned) >= idleEvery || (c.Moves+c.Unlogged > 0 && now.Sub(c.planned) >= planEvery) {
		c.arrange(now)
	}
	c.announce(now)
	c.renewTerm(now)
	c.rounds(now)
}

// refence goes on asking instances that have not confirmed the pair, which also tells them who the controller is.
func (c *Core) refence(now time.Time) {
	for _, n := range keys(c.peers) {
		p := c.peers[n]
		silent := c.beats[p.id] == nil || now.Sub(c.beats[p.id].last) > lease.L
		if silent && now.Sub(p.asked) >= lease.Interval {
			c.ask(now, n, p, c.fenceRequest())
		}
	}
}

// arrange goes through all pools and sets the lanes.
func (c *Core) arrange(now time.Time) {
	c.dirty, c.planned = false, now
	c.Moves, c.Unlogged = 0, 0
	var specs []lanes.Spec
	var owners []*peerpb.Owner
	for i := range c.tables.Pools {
		t := &c.tables.Pools[i]
		if !t.Keyed {
			specs = append(specs, c.unkeyed(t)...)
			continue
		}
		c.plan(now, t)
		p := c.pools[t.Name]
		c.Moves += len(p.moves)
		c.Unlogged += len(p.over)
		specs = append(specs, c.keyed(t, p)...)
		owners = append(owners, p.owners(t.Name)...)
	}
	c.seizures(now)
	c.table.Owners(owners)
	c.table.Update(specs)
	c.table.Elect(now, c.settle)
}

func (p *pool) owners(n string) []*peerpb.Owner {
	var out []*peerpb.Owner
	for _, i := range slices.Sorted(maps.Keys(p.over)) {
		o := p.over[i]
		if k := len(out) - 1; k >= 0 && out[k].Last+1 == i && out[k].Server == o.Owner && out[k].Token == o.Token {
			out[k].Last = i
			continue
		}
		out = append(out, &peerpb.Owner{Pool: n, First: i, Last: i, Server: o.Owner, Token: o.Token})
	}
	return out
}

func (s *server) proto() *peerpb.Server {
	return &peerpb.Server{
		Name: s.Name, Address: s.Address.String(), Checks: s.Checks, Leaving: s.parting(),
		Slots: uint32(s.Slots), Connections: uint32(s.Connections), Incarnation: s.incarnation,
	}
}

// keyed returns one lane for each server, with the slots that the server may serve now.
func (c *Core) keyed(t *tables.Pool, p *pool) []lanes.Spec {
	var out []lanes.Spec
	for i := range t.Servers {
		s := c.servers[t.Servers[i].Name]
		if s == nil {
			continue
		}
		spec := lanes.Spec{Name: lane(t.Name, s.Name), Pool: t.Name, Keyed: true, Servers: []*peerpb.Server{s.proto()}}
		held := s.granted
		if !s.Checks {
			held, spec.Linger = s.set, max(p.linger, time.Millisecond)
		}
		for _, r := range held {
			for i := r.First; i <= r.Last; i++ {
				if p.moves[i] == nil && has(s.set, i, r.Token) {
					spec.Slots = join(spec.Slots, i, r.Token)
				}
			}
		}
		out = append(out, spec)
	}
	return out
}

func join(list []*peerpb.Range, i uint32, token uint64) []*peerpb.Range {
	if n := len(list); n > 0 && list[n-1].Last+1 == i && list[n-1].Token == token {
		list[n-1].Last = i
		return list
	}
	return append(list, &peerpb.Range{First: i, Last: i, Token: token})
}

// unkeyed returns lanes of at most laneSize servers, of even size.
func (c *Core) unkeyed(t *tables.Pool) []lanes.Spec {
	var names []string
	for i := range t.Servers {
		if c.servers[t.Servers[i].Name] != nil {
			names = append(names, t.Servers[i].Name)
		}
	}
	slices.Sort(names)
	count := (len(names) + laneSize - 1) / laneSize
	out := make([]lanes.Spec, count)
	for k := range out {
		out[k] = lanes.Spec{Name: fmt.Sprintf("%s/%s/%d", t.Name, c.DC, k), Pool: t.Name}
		for _, n := range names[k*len(names)/count : (k+1)*len(names)/count] {
			out[k].Servers = append(out[k].Servers, c.servers[n].proto())
		}
	}
	return out
}

// announce records that earlier terms are displaced, which Assign records require.
func (c *Core) announce(now time.Time) {
	if c.ready != nil {
		done, late := c.ready.over(now, c.place.Offset())
		if !done {
			return
		}
		c.ready = nil
		c.logState(late)
		c.retry = now.Add(retryEvery)
	}
	if c.cell.Ready || c.cell.Term != c.Pair.Term || c.renewing || now.Before(c.retry) {
		return
	}
	c.ready = c.append(now, &record.Record{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: c.DC, Term: c.Pair.Term}}})
}

// renewTerm claims a new term when the witness set has differed from what is alive for some time. Moves that are
// not recorded yet come first, so that the log tells every successor of the old term what the new one builds on.
func (c *Core) renewTerm(now time.Time) {
	if c.term != nil {
		if done, late := c.term.over(now, c.place.Offset()); done {
			c.term = nil
			c.drift = now
			c.logState(late)
		}
		return
	}
	if c.superseded() || c.renewing || !c.cell.Ready || c.leaving || c.alike(now) {
		c.drift = time.Time{}
		return
	}
	if c.drift.IsZero() {
		c.drift = now
	}
	if now.Sub(c.drift) < drifting || c.Unlogged > 0 || !c.authority(now) {
		return
	}
	for _, p := range c.peers {
		p.done = p.id == c.ID || (c.beats[p.id] != nil && now.Sub(c.beats[p.id].last) <= lease.L)
	}
	rec := c.claimRecord()
	c.event("renew-term", "old", len(c.cell.Witnesses), "new", len(rec.GetTerm().GetWitnesses()))
	c.term = c.append(now, rec)
}

// alike reports whether the witness set is what is alive now.
func (c *Core) alike(now time.Time) bool {
	live := make(map[string]bool)
	for _, id := range c.table.Live(now) {
		live[id] = true
	}
	for _, s := range c.servers {
		if s.Checks && s.alive && s.confirmed {
			live[s.key()] = true
		}
	}
	if len(live) != len(c.cell.Witnesses) {
		return false
	}
	for _, id := range c.cell.Witnesses {
		if !live[id] {
			return false
		}
	}
	return true
}

// beat is what the controller remembers of an instance.
type beat struct {
	last  time.Time
	nonce uint64
	sent  time.Time // of the reply with that nonce
	told  uint64    // last strike in that reply
	acked uint64    // last strike certainly received
}

type strike struct {
	*peerpb.Strike
	seq  uint64
	from string
	at   time.Time
}

// Heartbeat answers an instance at now. Without authority the reply is not accepted, but its nonce lets the next
// heartbeat confirm the pair.
func (c *Core) Heartbeat(now time.Time, req *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply {
	seen := lease.Pair{Term: req.GetTerm(), Epoch: req.GetEpoch()}
	if c.Controller() && seen.Compare(c.Pair) > 0 {
		c.yieldTo(now, seen, "heartbeat of "+req.GetInstance())
	}
	if !c.Controller() || req.GetDc() != c.DC {
		return &peerpb.HeartbeatReply{Term: c.high.Term, Epoch: c.high.Epoch}
	}
	b := c.beats[req.GetInstance()]
	if b == nil {
		b = &beat{}
		c.beats[req.GetInstance()] = b
	}
	b.last = now
	if seen == c.Pair && b.nonce != 0 && req.GetEcho() == b.nonce {
		c.confirm(now, b.sent, req.GetInstance())
		b.acked = max(b.acked, b.told)
	}
	c.take(now, req)
	return c.reply(now, req, b)
}

func (c *Core) take(now time.Time, req *peerpb.HeartbeatRequest) {
	id := req.GetInstance()
	if p := c.peers[name(id)]; p != nil {
		p.id = id
	}
	c.table.Beat(now, id, req.GetPeer(), req.GetLeaving())
	for _, r := range req.GetReleases() {
		c.table.Released(id, r.GetLane(), r.GetRevision())
		c.dirty = true
	}
	for _, r := range req.GetServers() {
		c.report(r)
	}
	c.Strike(now, id, req.GetStrikes())
}

// report takes a dispatcher's word on a server.
func (c *Core) report(r *peerpb.ServerReport) {
	s := c.servers[r.GetName()]
	if s == nil {
		return
	}
	if s.failing != r.GetFailing() || (r.GetLeaving() && !s.leaving) {
		c.dirty = true
	}
	s.failing, s.leaving = r.GetFailing(), s.leaving || r.GetLeaving()
	for _, l := range r.GetSlots() {
		c.pool(s.pool).load[l.GetSlot()] = l.GetRate()
	}
}

// Strike adds strikes to hand on to all instances but from.
func (c *Core) Strike(now time.Time, from string, list []*peerpb.Strike) {
	for _, s := range list {
		at := now.Add(-time.Duration(s.GetAge()) * time.Millisecond)
		c.ids++
		c.strikes = append(c.strikes, strike{Strike: s, seq: c.ids, from: from, at: at})
	}
	c.strikes = slices.DeleteFunc(c.strikes, func(s strike) bool { return now.Sub(s.at) > strikeAge })
}

// Strikes returns the strikes of the last minute, for other data centres.
func (c *Core) Strikes(now time.Time) []*peerpb.Strike {
	var out []*peerpb.Strike
	for _, s := range c.strikes {
		out = append(out, s.aged(now))
	}
	return out
}

func (s *strike) aged(now time.Time) *peerpb.Strike {
	return &peerpb.Strike{Fingerprint: s.Fingerprint, Server: s.Server, Age: now.Sub(s.at).Milliseconds()}
}

func (c *Core) reply(now time.Time, req *peerpb.HeartbeatRequest, b *beat) *peerpb.HeartbeatReply {
	c.nonce++
	b.nonce, b.sent = c.nonce, now
	rep := &peerpb.HeartbeatReply{Term: c.Pair.Term, Epoch: c.Pair.Epoch, Nonce: b.nonce}
	for i := range c.strikes {
		if s := &c.strikes[i]; s.seq > b.acked && s.from != req.GetInstance() {
			rep.Strikes = append(rep.Strikes, s.aged(now))
		}
		b.told = max(b.told, c.strikes[i].seq)
	}
	if !c.authority(now) {
		return rep
	}
	rep.Accepted, rep.Lease = true, lease.L.Milliseconds()
	c.table.Fill(now, req.GetInstance(), req.GetKnown(), rep)
	return rep
}

// seizeWait is how long slots taken from another data centre stay unserved. The data centre they came from is not
// known to a later controller, so the longest declared time counts.
func (c *Core) seizeWait(pool string) time.Duration {
	var yield time.Duration
	for _, dc := range c.place.DCs() {
		yield = max(yield, c.place.Yield(pool, dc))
	}
	return lease.Stretch(yield + lease.D + lease.L)
}

// cutOff reports whether the pool must stop because the log was last reached longer ago than it declared.
func (c *Core) cutOff(now time.Time, v *view) bool {
	yield := c.place.Yield(v.name, c.DC)
	stop := yield > 0 && now.Sub(c.contact) > yield
	if stop != v.stopped {
		c.event("cutoff", "pool", v.name, "stopped", stop, "contact", now.Sub(c.contact))
	}
	return stop
}

// unreachable is how long no instance of a data centre has answered before its slots are seized.
const unreachable = 3 * time.Second

// seizures takes the slots of other data centres that have given them up by declaration or are declared lost.
func (c *Core) seizures(now time.Time) {
	if c.logdown || !c.cell.Ready || c.superseded() {
		return
	}
	for i := range c.tables.Pools {
		t := &c.tables.Pools[i]
		if p := c.pools[t.Name]; t.Keyed && p != nil && p.append == nil && !now.Before(p.retry) {
			c.seize(now, t, p)
		}
	}
}

func (c *Core) seize(now time.Time, t *tables.Pool, p *pool) {
	for _, dc := range homesOf(c.place.Slots(t.Name)) {
		lost := slices.Contains(c.lost, dc)
		cut := c.place.Yield(t.Name, dc) > 0 && c.Remote != nil && now.Sub(c.Remote(dc)) >= unreachable
		if dc == c.DC || (!lost && !cut) || c.heir(now, t, dc) != c.DC {
			continue
		}
		c.event("seize", "pool", t.Name, "from", dc, "lost", lost)
		p.append = c.append(now, &record.Record{Kind: &record.Record_Seize{Seize: &record.Seize{
			Dc: c.DC, From: dc, Pool: t.Name, Term: c.cell.Term, Base: c.place.Version(t.Name, dc), Lost: lost,
		}}})
		return
	}
}

// heir chooses the data centre that seizes the slots of from, the first by rendezvous that is reachable from here.
func (c *Core) heir(now time.Time, t *tables.Pool, from string) string {
	var names []string
	for _, w := range homes.Weights(t, append([]string{from}, c.lost...)) {
		names = append(names, w.DC)
	}
	for _, dc := range homes.Rank(t.Name+"\x00"+from, names) {
		if dc == c.DC || c.Remote == nil || now.Sub(c.Remote(dc)) < unreachable {
			return dc
		}
	}
	return ""
}

// homesOf returns the data centres that have slots, sorted.
func homesOf(slots []fold.Slot) []string {
	var out []string
	for _, s := range slots {
		if s.DC != "" && !slices.Contains(out, s.DC) {
			out = append(out, s.DC)
		}
	}
	slices.Sort(out)
	return out
}
