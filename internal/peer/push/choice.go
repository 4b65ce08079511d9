package push

import (
	"maps"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// MinInstancesForRelays is the number of instances from which relays are used. With fewer, direct pushes cost little,
	// and each relay is one more process whose loss delays changes.
	MinInstancesForRelays = 24
	// minRelayGroup is the least number of members in a data centre with a relay.
	minRelayGroup = 4
	// relayMaxSilence is how long after its last exchange with its relay a member gets direct pushes. They arrive before it
	// takes the leader for lost.
	relayMaxSilence = 2 * Interval
	// maxDirectPushes limits the direct pushes per round to members that their relay does not reach. Sending 25 KB to each
	// of 74 members fills the link between regions, on which the push to their relay has just failed.
	maxDirectPushes = 4
	// relayTrialTime is how long a relay has to reach half of its members.
	relayTrialTime = 2 * time.Second
	// relayExclusion is how long a relay that failed to do so is not chosen again.
	relayExclusion = 10 * time.Second
)

// relayChoice is the relay of a data centre and the time at which it was chosen.
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

// reachedByRelay reports whether the member's relay has reached it within relayMaxSilence.
func (x *peer) reachedByRelay(now time.Time) bool { return now.Sub(x.lastRelayed) < relayMaxSilence }

// relayWorks reports whether a relay answers and, after relayTrialTime, reaches half of its members.
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

// chooseRelay returns the relay for a data centre: preferably a large instance, the first by address, so a new leader
// chooses the same one. addrs are sorted. If all have just started and are empty, one is chosen: only it gets the state
// over the link between regions.
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

// leftToRelay reports whether only its relay pushes to a member for now. For a new relay or a new member, the leader's own
// last exchange with the member counts as well. p.mu is held.
func (p *Pusher) leftToRelay(now time.Time, addr string, x *peer) bool {
	choice, ok := p.relays[x.dc]
	lastReached := x.lastRelayed
	if (lastReached.IsZero() || now.Sub(choice.since) < relayTrialTime) && x.lastHeard.After(lastReached) {
		lastReached = x.lastHeard
	}
	if !ok || choice.addr == addr {
		return false
	}
	// A relay that has just been chosen has not reached any member yet.
	justReplaced := now.Sub(choice.since) < relayMaxSilence && now.Sub(x.lastHeard) < 2*relayMaxSilence
	if now.Sub(lastReached) >= relayMaxSilence && !justReplaced {
		return false
	}
	relay := p.peers[choice.addr]
	return relay != nil && relay.failuresInRow == 0
}

// servedByRelay reports whether an instance has a relay that could send it what it lacks.
func (p *Pusher) servedByRelay(addr string, x *peer) bool {
	choice, ok := p.relays[x.dc]
	return ok && choice.addr != addr && x.state != stateUnknown
}

// relayedAnswer is the answer of a member that its relay returned.
type relayedAnswer struct {
	start time.Time
	addr  string
	reply *sitepb.PushReply
}

// recordRelayed records and returns the answers of members that came from their relay. The exchange with the relay began
// at start, so those with the members began no earlier than their age before that. p.mu is held.
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
