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

	"github.com/bramleycove/bramleycove/internal/stand/ports"
)

// Direction is a direction of data through the proxy.
type Direction int

// The two directions of a connection.
const (
	ToTarget   Direction = iota // from the opener to the target
	FromTarget                  // from the target to the opener
)

// Fault describes the faults of one direction. The zero value forwards all bytes.
type Fault struct {
	Drop       bool          // bytes are lost; connections that lost any are reset once Drop ends
	Delay      time.Duration // added to each chunk; the order is kept
	Limiter    *rate.Limiter // bytes per second, with a burst of at least ChunkSize; proxies may share one
	ResetAfter int           // number of bytes after which a connection is reset; 0 means never
}

// ChunkSize is the largest number of bytes that the proxy forwards at once.
const ChunkSize = 16 << 10

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	ln          *ports.Listener
	tasks       conc.WaitGroup
	bytesPassed [2]atomic.Int64

	mu               sync.Mutex
	target           netip.AddrPort
	faults           [2]Fault
	cut              [2]bool
	answersToDiscard int
	changed          chan struct{} // closed and replaced by each update
	sessions         map[*session]bool
	closed           bool
}

// New returns a proxy that listens on a loopback port. Connections are refused until the target is set.
func New() (*Proxy, error) { return NewAt(netip.MustParseAddrPort("127.0.0.1:0")) }

// NewAt returns a proxy that listens at addr.
func NewAt(addr netip.AddrPort) (*Proxy, error) {
	ln, err := ports.NewListener(addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, changed: make(chan struct{}), sessions: map[*session]bool{}}
	if err := ln.SetRefusing(true); err != nil {
		return nil, err
	}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens. It never changes.
func (p *Proxy) Address() netip.AddrPort { return p.ln.AddrPort() }

// SetTarget sets the target of new connections and starts accepting them. Open connections keep their target.
func (p *Proxy) SetTarget(addr netip.AddrPort) error {
	p.update(func() { p.target = addr })
	return p.ln.SetRefusing(false)
}

// SetRefusing makes the proxy refuse new connections, as the host of an ended process does, or accept them again.
func (p *Proxy) SetRefusing(on bool) error { return p.ln.SetRefusing(on) }

// SetFault replaces the fault of one direction.
func (p *Proxy) SetFault(d Direction, f Fault) { p.update(func() { p.faults[d] = f }) }

// Cut holds back all bytes of the given directions, or of both if none is given. Connections stay open, and bytes sent
// during the cut arrive after Heal, as if TCP retransmitted them. New connections are accepted but reach the target
// only after Heal: unlike in a real network, connecting does not fail.
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

// Heal ends all cuts.
func (p *Proxy) Heal() { p.update(func() { p.cut = [2]bool{} }) }

// DiscardAnswers makes the proxy discard the next n answers by resetting the connection at the first bytes of each.
func (p *Proxy) DiscardAnswers(n int) { p.update(func() { p.answersToDiscard = n }) }

// MakeHalfOpen closes the open connections to one side only: to the target for ToTarget. The other side gets no signal:
// what it sends is lost, and it receives nothing more.
func (p *Proxy) MakeHalfOpen(d Direction) {
	for _, s := range p.openSessions() {
		s.closeHalf(d)
	}
}

// ResetAll resets all open connections on both sides.
func (p *Proxy) ResetAll() {
	for _, s := range p.openSessions() {
		s.reset()
	}
}

// BytesPassed returns the number of bytes forwarded in a direction.
func (p *Proxy) BytesPassed(d Direction) int64 { return p.bytesPassed[d].Load() }

// OpenConns returns the number of open connections through the proxy.
func (p *Proxy) OpenConns() int { return len(p.openSessions()) }

// Close stops the proxy and resets its connections.
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
	for s := range p.sessions {
		out = append(out, s)
	}
	return out
}

func (p *Proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		s := &session{proxy: p, resetDone: make(chan struct{})}
		s.conns[FromTarget] = c.(*net.TCPConn)
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			s.reset()
			return
		}
		p.sessions[s] = true
		p.mu.Unlock()
		p.tasks.Go(s.run)
	}
}

func (p *Proxy) remove(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// state returns the fault of a direction, whether it is cut, and a channel that is closed by the next update.
func (p *Proxy) state(d Direction) (Fault, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[d], p.cut[d], p.changed
}

// takeDiscard reports whether to discard an answer, and counts it.
func (p *Proxy) takeDiscard() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answersToDiscard == 0 {
		return false
	}
	p.answersToDiscard--
	return true
}
