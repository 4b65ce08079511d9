package push

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// MinInstancesForRelays is the number of instances from which on relays are used. Below, a leader's own pushes cost little, and
	// each relay is one more process whose loss delays news.
	MinInstancesForRelays = 24
	// minRelayGroup is the least number of instances of a data centre that has a relay.
	minRelayGroup = 4
	// relayMaxSilence is how long after its last exchange with a relay a member is left to it: two intervals. It hears from
	// the leader itself before it gives that up as silent.
	relayMaxSilence = 2 * Interval
	// maxDirectPushes is how many members that their relay does not reach get news of the leader itself in a round. News of 25 KB to
	// each of 74 members fill the link between regions, on which the push to their relay has just failed.
	maxDirectPushes = 4
	// relayTrialTime is how long a relay has to reach half of its members.
	relayTrialTime = 2 * time.Second
	// relayExclusion is how long one that does not is not chosen again.
	relayExclusion = 10 * time.Second
)

// relayChoice is the instance that passes news on in a data centre, and since when.
type relayChoice struct {
	addr  string
	since time.Time
}

// assignRelays chooses the relays and returns the members that each of them serves. p.mu is held.
func (p *Pusher) assignRelays(now time.Time) map[string][]string {
	if p.noRelays || len(p.peers)+1 < MinInstancesForRelays {
		p.relays = nil
		return nil
	}
	members := make(map[string][]string)
	for _, addr := range slices.Sorted(maps.Keys(p.peers)) {
		if dc := p.peers[addr].dc; dc != "" {
			members[dc] = append(members[dc], addr)
		}
	}
	relays, servedBy := make(map[string]relayChoice), make(map[string][]string)
	for dc, addrs := range members {
		if len(addrs) < minRelayGroup {
			continue
		}
		r, ok := p.relays[dc]
		if !ok || !p.relayWorks(now, r, addrs) {
			if r, ok = p.chooseRelay(now, addrs); !ok {
				continue
			}
		}
		relays[dc] = r
		for _, a := range addrs {
			if x := p.peers[a]; a != r.addr && (x.failuresInRow == 0 || x.reachedByRelay(now)) {
				servedBy[r.addr] = append(servedBy[r.addr], a)
			}
		}
	}
	p.relays = relays
	return servedBy
}

// reachedByRelay reports whether its relay has reached a member just now.
func (x *peer) reachedByRelay(now time.Time) bool { return now.Sub(x.lastRelayed) < relayMaxSilence }

// relayWorks reports whether a relay does its work: it answers, and it reaches members.
func (p *Pusher) relayWorks(now time.Time, r relayChoice, addrs []string) bool {
	x := p.peers[r.addr]
	if x == nil || x.failuresInRow > 0 || now.Before(x.unfitUntil) {
		return false
	}
	reached := 0
	for _, a := range addrs {
		if p.peers[a].reachedByRelay(now) {
			reached++
		}
	}
	if now.Sub(r.since) > relayTrialTime && 2*reached < len(addrs)-1 {
		x.unfitUntil = now.Add(relayExclusion)
		return false
	}
	return true
}

// chooseRelay returns the relay for a data centre: a large instance that answers, the first by address, so that a new leader
// chooses the same one. addrs are in order. One that has just started and knows nothing yet is chosen if all have: it gets
// the state once, instead of all of them over the link between regions.
func (p *Pusher) chooseRelay(now time.Time, addrs []string) (relayChoice, bool) {
	best, leastPenalty := "", 0
	for _, a := range addrs {
		x := p.peers[a]
		if x.state == stateUnknown || x.failuresInRow > 0 || now.Before(x.unfitUntil) {
			continue
		}
		penalty := 0
		if x.small {
			penalty++
		}
		if x.state == stateEmpty {
			penalty += 2
		}
		if best == "" || penalty < leastPenalty {
			best, leastPenalty = a, penalty
		}
	}
	return relayChoice{addr: best, since: now}, best != ""
}

// leftToRelay reports whether a member is left to its relay for now. A new relay, and one that has a new member, is given time
// from the leader's last own exchange with the member on. p.mu is held.
func (p *Pusher) leftToRelay(now time.Time, addr string, x *peer) bool {
	r, ok := p.relays[x.dc]
	lastReached := x.lastRelayed
	if (lastReached.IsZero() || now.Sub(r.since) < relayTrialTime) && x.lastHeard.After(lastReached) {
		lastReached = x.lastHeard
	}
	if !ok || r.addr == addr {
		return false
	}
	// A relay that has just been chosen has not reached anybody yet.
	justReplaced := now.Sub(r.since) < relayMaxSilence && now.Sub(x.lastHeard) < 2*relayMaxSilence
	if now.Sub(lastReached) >= relayMaxSilence && !justReplaced {
		return false
	}
	relay := p.peers[r.addr]
	return relay != nil && relay.failuresInRow == 0
}

// servedByRelay reports whether an instance is a member of a data centre with a relay, and its relay could bring what it lacks.
func (p *Pusher) servedByRelay(addr string, x *peer) bool {
	r, ok := p.relays[x.dc]
	return ok && r.addr != addr && x.state != stateUnknown
}

// relayedAnswer is an answer that came over a relay.
type relayedAnswer struct {
	start time.Time
	addr  string
	reply *sitepb.PushReply
}

// recordRelayed takes the answers of members that came with one of their relay. Its exchange began at start, so that theirs
// began no earlier than their age before that. p.mu is held.
func (p *Pusher) recordRelayed(start time.Time, relayed []*sitepb.Relayed) (out []relayedAnswer) {
	for _, r := range relayed {
		x := p.peers[r.GetMember()]
		if x == nil {
			continue
		}
		began := start.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
		if began.After(x.lastRelayed) {
			x.lastRelayed = began
		}
		if began.After(x.lastHeard) {
			x.lastHeard = began
		}
		x.dc, x.small, x.state = r.GetReply().GetDc(), r.GetReply().GetSmall(), stateBehind
		x.updateEnds(r.GetReply())
		if r.GetReply().GetStopping() {
			delete(p.peers, r.GetMember())
		}
		out = append(out, relayedAnswer{began, r.GetMember(), r.GetReply()})
	}
	return out
}
