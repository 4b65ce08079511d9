// Package proxy is a TCP proxy that injects network faults between two processes of a test.
package proxy

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"

	"github.com/bramleycove/bramleycove/internal/stand/hold"
)

// Direction is one of the two ways of a connection.
type Direction int

// The directions, seen from who opened the connection.
const (
	ToTarget   Direction = iota // to the target
	FromTarget                  // from the target
)

// Fault is what happens to the bytes of one direction. The zero value passes them on.
type Fault struct {
	Drop       bool          // bytes are lost; connections that lost any are reset once Drop ends
	Delay      time.Duration // of each byte; the order is kept
	Limiter    *rate.Limiter // bytes per second, with a burst of at least ChunkSize; proxies may share one
	ResetAfter int           // bytes after which a connection is reset; 0 means never
}

// ChunkSize is the largest number of bytes that the proxy passes on at once.
const ChunkSize = 16 << 10

// Proxy forwards connections to one target. It may be used by many goroutines.
type Proxy struct {
	ln          *hold.Listener
	tasks       conc.WaitGroup
	bytesPassed [2]atomic.Int64

	mu               sync.Mutex
	target           netip.AddrPort
	faults           [2]Fault
	cut              [2]bool
	answersToDiscard int
	changed          chan struct{} // closed when any of the above changes
	sessions         map[*session]bool
	closed           bool
}

// New returns a proxy that listens on a loopback port. Connections are refused until the target is set.
func New() (*Proxy, error) {
	ln, err := hold.NewListener(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, changed: make(chan struct{}), sessions: map[*session]bool{}}
	if err := ln.Refuse(true); err != nil {
		return nil, err
	}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens. It stays the same for the life of the proxy.
func (p *Proxy) Address() netip.AddrPort { return p.ln.AddrPort() }

// SetTarget sets where new connections go and accepts them. Open connections stay as they are.
func (p *Proxy) SetTarget(addr netip.AddrPort) error {
	p.update(func() { p.target = addr })
	return p.ln.Refuse(false)
}

// SetRefusing makes the proxy refuse new connections, as the machine of an ended process does, or accept them again.
func (p *Proxy) SetRefusing(on bool) error { return p.ln.Refuse(on) }

// SetFault replaces the fault of one direction.
func (p *Proxy) SetFault(d Direction, f Fault) { p.update(func() { p.faults[d] = f }) }

// Cut stops all bytes of the given directions, or of both if none is given. Connections stay open. What was sent
// meanwhile arrives after Heal, as TCP repeats it. A new connection is accepted but reaches the target only after
// Heal: unlike in a real network, its opener does not notice the cut by the connection attempt.
func (p *Proxy) Cut(ds ...Direction) {
	p.update(func() {
		if len(ds) == 0 {
			ds = []Direction{ToTarget, FromTarget}
		}
		for _, d := range ds {
			p.cut[d] = true
		}
	})
}

// Heal ends the effects of Cut.
func (p *Proxy) Heal() { p.update(func() { p.cut = [2]bool{} }) }

// DiscardAnswers makes the proxy discard the next n answers: the connection is reset when the answer's first bytes arrive.
func (p *Proxy) DiscardAnswers(n int) { p.update(func() { p.answersToDiscard = n }) }

// MakeHalfOpen ends the open connections towards one side only. The other side is not told: what it sends is lost and
// it receives nothing more. Out ends the target's side.
func (p *Proxy) MakeHalfOpen(d Direction) {
	for _, l := range p.openSessions() {
		l.closeHalf(d)
	}
}

// ResetAll resets all open connections on both sides.
func (p *Proxy) ResetAll() {
	for _, l := range p.openSessions() {
		l.reset()
	}
}

// BytesPassed returns how many bytes were passed on in a direction.
func (p *Proxy) BytesPassed(d Direction) int64 { return p.bytesPassed[d].Load() }

// OpenConns returns the number of open connections.
func (p *Proxy) OpenConns() int { return len(p.openSessions()) }

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	p.update(func() { p.closed = true })
	_ = p.ln.Close()
	p.ResetAll()
	p.tasks.Wait()
}

func (p *Proxy) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) openSessions() []*session {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*session, 0, len(p.sessions))
	for l := range p.sessions {
		out = append(out, l)
	}
	return out
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		l := &session{proxy: p, resetDone: make(chan struct{})}
		l.conns[FromTarget] = c.(*net.TCPConn)
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			l.reset()
			return
		}
		p.sessions[l] = true
		p.mu.Unlock()
		p.tasks.Go(l.run)
	}
}

func (p *Proxy) remove(l *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, l)
}

// state returns the fault of a direction, whether it is cut, and a channel that is closed when that changes.
func (p *Proxy) state(d Direction) (Fault, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[d], p.cut[d], p.changed
}

// takeDiscard tells whether an answer that begins now is discarded.
func (p *Proxy) takeDiscard() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answersToDiscard == 0 {
		return false
	}
	p.answersToDiscard--
	return true
}
