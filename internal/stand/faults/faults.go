// Package faults is the common frame of the stand-ins: a service listener that shows faults on demand, and a control
// listener for tests that stays usable meanwhile.
package faults

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Mode is a kind of fault.
type Mode string

// The modes of a stand-in.
const (
	Up   Mode = "up"   // answers
	Down Mode = "down" // refuses connections and resets open ones at their next request
	Hang Mode = "hang" // accepts and never answers; the request has no effect
	Slow Mode = "slow" // waits before it handles a request
	Lost Mode = "lost" // the request takes effect, then the connection is closed without an answer
)

// Fault is a mode as a test sets it.
type Fault struct {
	Mode        Mode   `json:"mode"`
	Delay       string `json:"delay,omitempty"` // of Slow, for example "200ms"
	Kind        string `json:"only,omitempty"`  // kind of request that the mode applies to; empty means all
	MaxRequests int    `json:"count,omitempty"` // number of requests it applies to; 0 means until the next order
}

// Injector holds the mode of a stand-in. The zero value is not usable; use newGate.
type Injector struct {
	mu      sync.Mutex
	fault   Fault
	delay   time.Duration
	changed chan struct{} // closed at the next order
	closed  bool
}

func newInjector() *Injector { return &Injector{fault: Fault{Mode: Up}, changed: make(chan struct{})} }

func (g *Injector) setFault(o Fault) error {
	var delay time.Duration
	if o.Delay != "" {
		d, err := time.ParseDuration(o.Delay)
		if err != nil {
			return err
		}
		delay = d
	}
	switch o.Mode {
	case Up, Down, Hang, Slow, Lost:
	default:
		return fmt.Errorf("unknown mode %q", o.Mode)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault, g.delay = o, delay
	g.notify()
	return nil
}

func (g *Injector) notify() {
	if !g.closed {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

func (g *Injector) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		close(g.changed)
	}
}

// NextChange is closed at the next order and at the end of the stand-in.
func (g *Injector) NextChange() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// nextMode returns the mode for a request of the given kind, and counts the request.
func (g *Injector) nextMode(kind string) (Mode, time.Duration, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return Down, 0, g.changed
	}
	if g.fault.Mode == Up || g.fault.Kind != "" && g.fault.Kind != kind {
		return Up, 0, g.changed
	}
	mode, delay := g.fault.Mode, g.delay
	if g.fault.MaxRequests > 0 {
		if g.fault.MaxRequests--; g.fault.MaxRequests == 0 {
			g.fault = Fault{Mode: Up}
		}
	}
	return mode, delay, g.changed
}

// Inject applies the mode to a request. If it returns Down, the connection is dropped and the handler has to return
// without any effect. If it returns Lost, the handler has to take effect and then call Drop.
func (g *Injector) Inject(c *fiber.Ctx, kind string) Mode {
	mode, delay, changed := g.nextMode(kind)
	switch mode {
	case Down:
		ResetConnection(c)
	case Hang:
		<-changed
		ResetConnection(c)
		return Down
	case Slow:
		time.Sleep(delay)
		return Up
	}
	return mode
}

// ResetConnection makes the server reset the connection of c without an answer when the handler returns.
func ResetConnection(c *fiber.Ctx) {
	if tcp, ok := c.Context().Conn().(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	c.Context().HijackSetNoResponse(true)
	c.Context().Hijack(func(net.Conn) {})
}
