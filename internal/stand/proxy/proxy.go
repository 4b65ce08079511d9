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

// Direction is one of the two ways of a connection.
type Direction int

// The directions, seen from who opened the connection.
const (
	Out  Direction = iota // to the target
	Back                  // from the target
)

// Fault is what happens to the bytes of one direction. The zero value passes them on.
type Fault struct {
	Drop  bool          // bytes are lost; connections that lost any are reset once Drop ends
	Delay time.Duration // of each byte; the order is kept
	Limit *rate.Limiter // bytes per second, with a burst of at least ChunkSize; proxies may share one
	Reset int           // bytes after which a connection is reset; 0 means never
}

// ChunkSize is the largest number of bytes that the proxy passes on at once.
const ChunkSize = 16 << 10

// Proxy forwards connections to one target. It may be used by many goroutines.
type Proxy struct {
	ln    *ports.Listener
	tasks conc.WaitGroup
	bytes [2]atomic.Int64

	mu      sync.Mutex
	target  netip.AddrPort
	faults  [2]Fault
	cut     [2]bool
	swallow int
	changed chan struct{} // closed when any of the above changes
	links   map[*link]bool
	closed  bool
}

// New returns a proxy that listens on a loopback port. Connections are refused until the target is set.
func New() (*Proxy, error) {
	ln, err := ports.NewListener(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, changed: make(chan struct{}), links: map[*link]bool{}}
	if err := ln.SetRefusing(true); err != nil {
		return nil, err
	}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens. It stays the same for the life of the proxy.
func (p *Proxy) Address() netip.AddrPort { return p.ln.AddrPort() }

// Target sets where new connections go and accepts them. Open connections stay as they are.
func (p *Proxy) Target(addr netip.AddrPort) error {
	p.change(func() { p.target = addr })
	return p.ln.SetRefusing(false)
}

// Refuse makes the proxy refuse new connections, as the machine of an ended process does, or accept them again.
func (p *Proxy) Refuse(on bool) error { return p.ln.SetRefusing(on) }

// Set replaces the fault of one direction.
func (p *Proxy) Set(d Direction, f Fault) { p.change(func() { p.faults[d] = f }) }

// Cut stops all bytes of the given directions, or of both if none is given. Connections stay open. What was sent
// meanwhile arrives after Heal, as TCP repeats it. A new connection is accepted but reaches the target only after
// Heal: unlike in a real network, its opener does not notice the cut by the connection attempt.
func (p *Proxy) Cut(ds ...Direction) {
	p.change(func() {
		if len(ds) == 0 {
			ds = []Direction{Out, Back}
		}
		for _, d := range ds {
			p.cut[d] = true
		}
	})
}

// Heal ends the effects of Cut.
func (p *Proxy) Heal() { p.change(func() { p.cut = [2]bool{} }) }

// Swallow makes the proxy discard the next n answers: the connection is reset when the answer's first bytes arrive.
func (p *Proxy) Swallow(n int) { p.change(func() { p.swallow = n }) }

// HalfOpen ends the open connections towards one side only. The other side is not told: what it sends is lost and
// it receives nothing more. Out ends the target's side.
func (p *Proxy) HalfOpen(d Direction) {
	for _, l := range p.open() {
		l.half(d)
	}
}

// ResetAll resets all open connections on both sides.
func (p *Proxy) ResetAll() {
	for _, l := range p.open() {
		l.reset()
	}
}

// Bytes returns how many bytes were passed on in a direction.
func (p *Proxy) Bytes(d Direction) int64 { return p.bytes[d].Load() }

// Links returns the number of open connections.
func (p *Proxy) Links() int { return len(p.open()) }

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	p.change(func() { p.closed = true })
	_ = p.ln.Close()
	p.ResetAll()
	p.tasks.Wait()
}

func (p *Proxy) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) open() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for l := range p.links {
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
		l := &link{proxy: p, done: make(chan struct{})}
		l.ends[Back] = c.(*net.TCPConn)
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			l.reset()
			return
		}
		p.links[l] = true
		p.mu.Unlock()
		p.tasks.Go(l.run)
	}
}

func (p *Proxy) forget(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// state returns the fault of a direction, whether it is cut, and a channel that is closed when that changes.
func (p *Proxy) state(d Direction) (Fault, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[d], p.cut[d], p.changed
}

// takeSwallow tells whether an answer that begins now is discarded.
func (p *Proxy) takeSwallow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.swallow == 0 {
		return false
	}
	p.swallow--
	return true
}
