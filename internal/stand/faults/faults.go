// Package faults is the common base of the stand-ins in tests: a service listener that injects faults on demand, and a
// control listener that stays usable meanwhile.
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
	Up   Mode = "up"   // no fault
	Down Mode = "down" // refuses connections and resets open ones at their next request
	Hang Mode = "hang" // accepts requests and never answers; no effect
	Slow Mode = "slow" // waits before it handles a request
	Lost Mode = "lost" // the request takes effect, then the connection is closed without an answer
)

// Fault is a mode and the requests that it applies to, as set by a test.
type Fault struct {
	Mode        Mode   `json:"mode"`
	Delay       string `json:"delay,omitempty"` // of Slow, for example "200ms"
	Kind        string `json:"only,omitempty"`  // of requests that the mode applies to; empty means all
	MaxRequests int    `json:"count,omitempty"` // that the mode applies to; 0 means no limit
}

// Injector applies the fault of a stand-in to its requests. The zero value is not usable; use newInjector.
type Injector struct {
	mu      sync.Mutex
	fault   Fault
	delay   time.Duration
	changed chan struct{} // closed by setFault and close
	closed  bool
}

func newInjector() *Injector { return &Injector{fault: Fault{Mode: Up}, changed: make(chan struct{})} }

func (in *Injector) setFault(f Fault) error {
	var delay time.Duration
	if f.Delay != "" {
		d, err := time.ParseDuration(f.Delay)
		if err != nil {
			return err
		}
		delay = d
	}
	switch f.Mode {
	case Up, Down, Hang, Slow, Lost:
	default:
		return fmt.Errorf("unknown mode %q", f.Mode)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.fault, in.delay = f, delay
	in.notify()
	return nil
}

func (in *Injector) notify() {
	if !in.closed {
		close(in.changed)
		in.changed = make(chan struct{})
	}
}

func (in *Injector) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.closed {
		in.closed = true
		close(in.changed)
	}
}

// NextChange returns a channel that is closed when the fault is set next or the stand-in is closed.
func (in *Injector) NextChange() <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.changed
}

// nextMode returns the mode for a request of the given kind, and counts the request.
func (in *Injector) nextMode(kind string) (Mode, time.Duration, <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return Down, 0, in.changed
	}
	if in.fault.Mode == Up || in.fault.Kind != "" && in.fault.Kind != kind {
		return Up, 0, in.changed
	}
	mode, delay := in.fault.Mode, in.delay
	if in.fault.MaxRequests > 0 {
		if in.fault.MaxRequests--; in.fault.MaxRequests == 0 {
			in.fault = Fault{Mode: Up}
		}
	}
	return mode, delay, in.changed
}

// Inject applies the mode to a request. If it returns Down, the connection will be reset and the handler has to return
// without any effect. If it returns Lost, the handler has to handle the request and then call ResetConnection.
func (in *Injector) Inject(c *fiber.Ctx, kind string) Mode {
	mode, delay, changed := in.nextMode(kind)
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
