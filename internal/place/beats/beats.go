// Package beats keeps what a controller remembers of the heartbeats that it answered: which reply each instance has
// certainly received, and the strikes that travel on them.
package beats

import (
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// strikeAge is how long a strike is handed on to instances.
const strikeAge = time.Minute

// Book holds the heartbeats of one data centre. The zero value is empty. It is not safe for concurrent use.
type Book struct {
	beats   map[string]*beat
	strikes []strike
	nonce   uint64
	seq     uint64
}

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

// Renew makes earlier nonces void, for a new pair.
func (b *Book) Renew() {
	for _, m := range b.beats {
		m.nonce = 0
	}
}

// Silent reports whether an instance has sent no heartbeat within a lease.
func (b *Book) Silent(now time.Time, id string) bool {
	m := b.beats[id]
	return m == nil || now.Sub(m.last) > lease.L
}

// Take notes a heartbeat at now. It reports whether the heartbeat proves that the instance received the last reply,
// and when that was sent.
func (b *Book) Take(now time.Time, req *peerpb.HeartbeatRequest) (sent time.Time, echoed bool) {
	m := b.beats[req.GetInstance()]
	if m == nil {
		if b.beats == nil {
			b.beats = make(map[string]*beat)
		}
		m = &beat{}
		b.beats[req.GetInstance()] = m
	}
	m.last = now
	b.Strike(now, req.GetInstance(), req.GetStrikes())
	if m.nonce == 0 || req.GetEcho() != m.nonce {
		return time.Time{}, false
	}
	m.acked = max(m.acked, m.told)
	return m.sent, true
}

// Reply puts a nonce and the strikes that the instance may not have received into the reply to its heartbeat.
func (b *Book) Reply(now time.Time, id string, rep *peerpb.HeartbeatReply) {
	m := b.beats[id]
	b.nonce++
	m.nonce, m.sent = b.nonce, now
	rep.Nonce = m.nonce
	for i := range b.strikes {
		s := &b.strikes[i]
		if s.seq > m.acked && s.from != id {
			rep.Strikes = append(rep.Strikes, s.aged(now))
		}
		m.told = max(m.told, s.seq)
	}
}

// Strike adds strikes to hand on to all instances but from.
func (b *Book) Strike(now time.Time, from string, list []*peerpb.Strike) {
	for _, s := range list {
		b.seq++
		at := now.Add(-time.Duration(s.GetAge()) * time.Millisecond)
		b.strikes = append(b.strikes, strike{Strike: s, seq: b.seq, from: from, at: at})
	}
	b.strikes = slices.DeleteFunc(b.strikes, func(s strike) bool { return now.Sub(s.at) > strikeAge })
}

// Strikes returns the strikes of the last minute, for other data centres.
func (b *Book) Strikes(now time.Time) []*peerpb.Strike {
	var out []*peerpb.Strike
	for i := range b.strikes {
		out = append(out, b.strikes[i].aged(now))
	}
	return out
}

func (s *strike) aged(now time.Time) *peerpb.Strike {
	return &peerpb.Strike{Fingerprint: s.Fingerprint, Server: s.Server, Age: now.Sub(s.at).Milliseconds()}
}
