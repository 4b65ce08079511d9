// Package beats tracks the heartbeats that a controller answers: which reply each instance has certainly received, and the
// strikes that they carry.
package beats

import (
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// maxStrikeAge is the age up to which a strike is passed on.
const maxStrikeAge = time.Minute

// Tracker holds the heartbeats of one data centre. The zero value is empty. It is not safe for concurrent use.
type Tracker struct {
	instances map[string]*instance
	strikes   []strike
	lastNonce uint64
	lastSeq   uint64
}

type instance struct {
	lastBeat time.Time
	nonce    uint64
	sentAt   time.Time // of the reply with that nonce
	sentSeq  uint64    // last strike known at that time
	ackedSeq uint64    // last strike certainly received
}

type strike struct {
	*peerpb.Strike
	seq      uint64
	sender   string
	struckAt time.Time
}

// VoidNonces invalidates all earlier nonces, for a new term and epoch.
func (t *Tracker) VoidNonces() {
	for _, inst := range t.instances {
		inst.nonce = 0
	}
}

// IsSilent reports whether an instance has sent no heartbeat for longer than a lease.
func (t *Tracker) IsSilent(now time.Time, id string) bool {
	inst := t.instances[id]
	return inst == nil || now.Sub(inst.lastBeat) > lease.Validity
}

// Observe takes a heartbeat. It reports whether its nonce proves that the instance received the last reply, and when that was
// sent.
func (t *Tracker) Observe(now time.Time, req *peerpb.HeartbeatRequest) (sentAt time.Time, echoed bool) {
	inst := t.instances[req.GetInstance()]
	if inst == nil {
		if t.instances == nil {
			t.instances = make(map[string]*instance)
		}
		inst = &instance{}
		t.instances[req.GetInstance()] = inst
	}
	inst.lastBeat = now
	t.AddStrikes(now, req.GetInstance(), req.GetStrikes())
	if inst.nonce == 0 || req.GetEcho() != inst.nonce {
		return time.Time{}, false
	}
	inst.ackedSeq = max(inst.ackedSeq, inst.sentSeq)
	return inst.sentAt, true
}

// FillReply adds a nonce, and the strikes that the instance may not have received, to the reply to a heartbeat passed to Observe.
func (t *Tracker) FillReply(now time.Time, id string, rep *peerpb.HeartbeatReply) {
	inst := t.instances[id]
	t.lastNonce++
	inst.nonce, inst.sentAt = t.lastNonce, now
	rep.Nonce = inst.nonce
	for i := range t.strikes {
		s := &t.strikes[i]
		if s.seq > inst.ackedSeq && s.sender != id {
			rep.Strikes = append(rep.Strikes, s.withAge(now))
		}
		inst.sentSeq = max(inst.sentSeq, s.seq)
	}
}

// AddStrikes adds strikes to pass on to all instances except sender.
func (t *Tracker) AddStrikes(now time.Time, sender string, list []*peerpb.Strike) {
	for _, s := range list {
		t.lastSeq++
		struckAt := now.Add(-time.Duration(s.GetAge()) * time.Millisecond)
		t.strikes = append(t.strikes, strike{Strike: s, seq: t.lastSeq, sender: sender, struckAt: struckAt})
	}
	t.strikes = slices.DeleteFunc(t.strikes, func(s strike) bool { return now.Sub(s.struckAt) > maxStrikeAge })
}

// RecentStrikes returns the strikes of the last minute, for other data centres.
func (t *Tracker) RecentStrikes(now time.Time) []*peerpb.Strike {
	var out []*peerpb.Strike
	for i := range t.strikes {
		out = append(out, t.strikes[i].withAge(now))
	}
	return out
}

func (s *strike) withAge(now time.Time) *peerpb.Strike {
	return &peerpb.Strike{Fingerprint: s.Fingerprint, Server: s.Server, Age: now.Sub(s.struckAt).Milliseconds()}
}
