// Package beats keeps what a controller remembers of the heartbeats that it answered: which reply each instance has
// certainly received, and the strikes that travel on them.
package beats

import (
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// maxStrikeAge is how long a strike is handed on to instances.
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
	sentSeq  uint64    // last strike in that reply
	ackedSeq uint64    // last strike certainly received
}

type strike struct {
	*peerpb.Strike
	seq      uint64
	sender   string
	struckAt time.Time
}

// VoidNonces makes earlier nonces void, for a new pair.
func (b *Tracker) VoidNonces() {
	for _, m := range b.instances {
		m.nonce = 0
	}
}

// IsSilent reports whether an instance has sent no heartbeat within a lease.
func (b *Tracker) IsSilent(now time.Time, id string) bool {
	m := b.instances[id]
	return m == nil || now.Sub(m.lastBeat) > lease.Validity
}

// Observe notes a heartbeat at now. It reports whether the heartbeat proves that the instance received the last reply,
// and when that was sent.
func (b *Tracker) Observe(now time.Time, req *peerpb.HeartbeatRequest) (sent time.Time, echoed bool) {
	m := b.instances[req.GetInstance()]
	if m == nil {
		if b.instances == nil {
			b.instances = make(map[string]*instance)
		}
		m = &instance{}
		b.instances[req.GetInstance()] = m
	}
	m.lastBeat = now
	b.AddStrikes(now, req.GetInstance(), req.GetStrikes())
	if m.nonce == 0 || req.GetEcho() != m.nonce {
		return time.Time{}, false
	}
	m.ackedSeq = max(m.ackedSeq, m.sentSeq)
	return m.sentAt, true
}

// FillReply puts a nonce and the strikes that the instance may not have received into the reply to its heartbeat.
func (b *Tracker) FillReply(now time.Time, id string, rep *peerpb.HeartbeatReply) {
	m := b.instances[id]
	b.lastNonce++
	m.nonce, m.sentAt = b.lastNonce, now
	rep.Nonce = m.nonce
	for i := range b.strikes {
		s := &b.strikes[i]
		if s.seq > m.ackedSeq && s.sender != id {
			rep.Strikes = append(rep.Strikes, s.withAge(now))
		}
		m.sentSeq = max(m.sentSeq, s.seq)
	}
}

// AddStrikes adds strikes to hand on to all instances but from.
func (b *Tracker) AddStrikes(now time.Time, from string, list []*peerpb.Strike) {
	for _, s := range list {
		b.lastSeq++
		at := now.Add(-time.Duration(s.GetAge()) * time.Millisecond)
		b.strikes = append(b.strikes, strike{Strike: s, seq: b.lastSeq, sender: from, struckAt: at})
	}
	b.strikes = slices.DeleteFunc(b.strikes, func(s strike) bool { return now.Sub(s.struckAt) > maxStrikeAge })
}

// RecentStrikes returns the strikes of the last minute, for other data centres.
func (b *Tracker) RecentStrikes(now time.Time) []*peerpb.Strike {
	var out []*peerpb.Strike
	for i := range b.strikes {
		out = append(out, b.strikes[i].withAge(now))
	}
	return out
}

func (s *strike) withAge(now time.Time) *peerpb.Strike {
	return &peerpb.Strike{Fingerprint: s.Fingerprint, Server: s.Server, Age: now.Sub(s.struckAt).Milliseconds()}
}
