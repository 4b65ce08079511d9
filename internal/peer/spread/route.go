package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// RelayFrom is the number of instances from which on relays are used. Below, a leader's own pushes cost little, and
	// each relay is one more process whose loss delays news.
	RelayFrom = 24
	// relayGroup is the least number of instances of a data centre that has a relay.
	relayGroup = 4
	// relayPatience is how long after its last exchange with a relay a member is left to it: two intervals. It hears from
	// the leader itself before it gives that up as silent.
	relayPatience = 2 * Interval
	// directs is how many members that their relay does not reach get news of the leader itself in a round. News of 25 KB to
	// each of 74 members fill the link between regions, on which the push to their relay has just failed.
	directs = 4
	// relayTrial is how long a relay has to reach half of its members.
	relayTrial = 2 * time.Second
	// relayPause is how long one that does not is not chosen again.
	relayPause = 10 * time.Second
)

// assignment is the instance that passes news on in a data centre, and since when.
type assignment struct {
	addr  string
	since time.Time
}

// assign chooses the relays and returns the members that each of them serves. p.mu is held.
func (p *Pusher) assign(now time.Time) map[string][]string {
	if p.flat || len(p.peers)+1 < RelayFrom {
		p.relays = nil
		return nil
	}
	members := make(map[string][]string)
	for _, addr := range slices.Sorted(maps.Keys(p.peers)) {
		if dc := p.peers[addr].dc; dc != "" {
			members[dc] = append(members[dc], addr)
		}
	}
	relays, serves := make(map[string]assignment), make(map[string][]string)
	for dc, addrs := range members {
		if len(addrs) < relayGroup {
			continue
		}
		r, ok := p.relays[dc]
		if !ok || !p.fit(now, r, addrs) {
			if r, ok = p.choose(now, addrs); !ok {
				continue
			}
		}
		relays[dc] = r
		for _, a := range addrs {
			if x := p.peers[a]; a != r.addr && (x.failures == 0 || x.reached(now)) {
				serves[r.addr] = append(serves[r.addr], a)
			}
		}
	}
	p.relays = relays
	return serves
}

// reached reports whether its relay has reached a member just now.
func (x *peer) reached(now time.Time) bool { return now.Sub(x.relayed) < relayPatience }

// fit reports whether a relay does its work: it answers, and it reaches members.
func (p *Pusher) fit(now time.Time, r assignment, addrs []string) bool {
	x := p.peers[r.addr]
	if x == nil || x.failures > 0 || now.Before(x.unfit) {
		return false
	}
	reached := 0
	for _, a := range addrs {
		if p.peers[a].reached(now) {
			reached++
		}
	}
	if now.Sub(r.since) > relayTrial && 2*reached < len(addrs)-1 {
		x.unfit = now.Add(relayPause)
		return false
	}
	return true
}

// choose returns the relay for a data centre: a large instance that answers, the first by address, so that a new leader
// chooses the same one. addrs are in order. One that has just started and knows nothing yet is chosen if all have: it gets
// the state once, instead of all of them over the link between regions.
func (p *Pusher) choose(now time.Time, addrs []string) (assignment, bool) {
	best, least := "", 0
	for _, a := range addrs {
		x := p.peers[a]
		if x.state == unknown || x.failures > 0 || now.Before(x.unfit) {
			continue
		}
		against := 0
		if x.small {
			against++
		}
		if x.state == empty {
			against += 2
		}
		if best == "" || against < least {
			best, least = a, against
		}
	}
	return assignment{addr: best, since: now}, best != ""
}

// covered reports whether a member is left to its relay for now. A new relay, and one that has a new member, is given time
// from the leader's last own exchange with the member on. p.mu is held.
func (p *Pusher) covered(now time.Time, addr string, x *peer) bool {
	r, ok := p.relays[x.dc]
	reached := x.relayed
	if (reached.IsZero() || now.Sub(r.since) < relayTrial) && x.heard.After(reached) {
		reached = x.heard
	}
	if !ok || r.addr == addr {
		return false
	}
	// A relay that has just been chosen has not reached anybody yet.
	replaced := now.Sub(r.since) < relayPatience && now.Sub(x.heard) < 2*relayPatience
	if now.Sub(reached) >= relayPatience && !replaced {
		return false
	}
	via := p.peers[r.addr]
	return via != nil && via.failures == 0
}

// viaRelay reports whether an instance is a member of a data centre with a relay, and its relay could bring what it lacks.
func (p *Pusher) viaRelay(addr string, x *peer) bool {
	r, ok := p.relays[x.dc]
	return ok && r.addr != addr && x.state != unknown
}

// word is an answer that came over a relay.
type word struct {
	start time.Time
	addr  string
	reply *sitepb.PushReply
}

// takeRelayed takes the answers of members that came with one of their relay. Its exchange began at start, so that theirs
// began no earlier than their age before that. p.mu is held.
func (p *Pusher) takeRelayed(start time.Time, relayed []*sitepb.Relayed) (out []word) {
	for _, r := range relayed {
		x := p.peers[r.GetMember()]
		if x == nil {
			continue
		}
		began := start.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
		if began.After(x.relayed) {
			x.relayed = began
		}
		if began.After(x.heard) {
			x.heard = began
		}
		x.dc, x.small, x.state = r.GetReply().GetDc(), r.GetReply().GetSmall(), behind
		x.has(r.GetReply())
		if r.GetReply().GetStopping() {
			delete(p.peers, r.GetMember())
		}
		out = append(out, word{began, r.GetMember(), r.GetReply()})
	}
	return out
}
