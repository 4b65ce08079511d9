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

// StandIn is a stand-in's pair of HTTP servers. Set the routes of Service and Control before Start.
type StandIn struct {
	*Injector
	Service *fiber.App
	Control *fiber.App

	serviceListener, controlListener *ports.Listener
	tasks                            conc.WaitGroup
}

// bodyLimit is above the largest record and request of any test.
const bodyLimit = 64 << 20

// NewStandIn returns a node in mode Up.
func NewStandIn() *StandIn {
	cfg := fiber.Config{
		DisableStartupMessage: true, Immutable: true, BodyLimit: bodyLimit,
		JSONEncoder: json.Marshal, JSONDecoder: json.Unmarshal,
	}
	return &StandIn{Injector: newInjector(), Service: fiber.New(cfg), Control: fiber.New(cfg)}
}

// Listen opens the listeners and starts to serve. Wrap, if not nil, is put around the service listener.
func (n *StandIn) Listen(service, control netip.AddrPort, wrap func(net.Listener) net.Listener) error {
	ln, err := ports.NewListener(service)
	if err != nil {
		return err
	}
	ctl, err := ports.NewListener(control)
	if err != nil {
		_ = ln.Close()
		return err
	}
	n.serviceListener, n.controlListener = ln, ctl
	var outer net.Listener = ln
	if wrap != nil {
		outer = wrap(ln)
	}
	n.tasks.Go(func() { _ = n.Service.Listener(outer) })
	n.tasks.Go(func() { _ = n.Control.Listener(ctl) })
	return nil
}

// Address returns the address of the service listener.
func (n *StandIn) Address() netip.AddrPort { return n.serviceListener.AddrPort() }

// ControlAddress returns the address of the control listener.
func (n *StandIn) ControlAddress() netip.AddrPort { return n.controlListener.AddrPort() }

// SetFault changes the mode.
func (n *StandIn) SetFault(o Fault) error {
	if err := n.setFault(o); err != nil {
		return err
	}
	return n.serviceListener.SetRefusing(o.Mode == Down)
}

// shutdownTimeout bounds the wait for open connections at the end.
const shutdownTimeout = time.Second

// Close ends both servers. Requests that wait are dropped.
func (n *StandIn) Close() {
	n.close()
	_ = n.serviceListener.Close()
	_ = n.controlListener.Close()
	_ = n.Service.ShutdownWithTimeout(shutdownTimeout)
	_ = n.Control.ShutdownWithTimeout(shutdownTimeout)
	n.tasks.Wait()
}
