package faults

import (
	"net"
	"net/netip"
	"time"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/stand/ports"
)

// StandIn is the pair of HTTP servers of a stand-in. Set the routes of Service and Control before Listen.
type StandIn struct {
	*Injector
	Service *fiber.App
	Control *fiber.App

	serviceListener, controlListener *ports.Listener
	tasks                            conc.WaitGroup
}

// bodyLimit is above the largest record and request of any test.
const bodyLimit = 64 << 20

// NewStandIn returns a stand-in in mode Up.
func NewStandIn() *StandIn {
	cfg := fiber.Config{
		DisableStartupMessage: true, Immutable: true, BodyLimit: bodyLimit,
		JSONEncoder: json.Marshal, JSONDecoder: json.Unmarshal,
	}
	return &StandIn{Injector: newInjector(), Service: fiber.New(cfg), Control: fiber.New(cfg)}
}

// Listen opens the listeners and starts to serve. Unless wrap is nil, the service listener is wrapped by it.
func (s *StandIn) Listen(service, control netip.AddrPort, wrap func(net.Listener) net.Listener) error {
	ln, err := ports.NewListener(service)
	if err != nil {
		return err
	}
	ctl, err := ports.NewListener(control)
	if err != nil {
		_ = ln.Close()
		return err
	}
	s.serviceListener, s.controlListener = ln, ctl
	var outer net.Listener = ln
	if wrap != nil {
		outer = wrap(ln)
	}
	s.tasks.Go(func() { _ = s.Service.Listener(outer) })
	s.tasks.Go(func() { _ = s.Control.Listener(ctl) })
	return nil
}

// Address returns the address of the service listener.
func (s *StandIn) Address() netip.AddrPort { return s.serviceListener.AddrPort() }

// ControlAddress returns the address of the control listener.
func (s *StandIn) ControlAddress() netip.AddrPort { return s.controlListener.AddrPort() }

// SetFault replaces the fault.
func (s *StandIn) SetFault(f Fault) error {
	if err := s.setFault(f); err != nil {
		return err
	}
	return s.serviceListener.SetRefusing(f.Mode == Down)
}

// shutdownTimeout bounds the wait for open connections in Close.
const shutdownTimeout = time.Second

// Close closes both servers. Requests that hang are dropped.
func (s *StandIn) Close() {
	s.close()
	_ = s.serviceListener.Close()
	_ = s.controlListener.Close()
	_ = s.Service.ShutdownWithTimeout(shutdownTimeout)
	_ = s.Control.ShutdownWithTimeout(shutdownTimeout)
	s.tasks.Wait()
}
