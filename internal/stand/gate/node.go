package gate

import (
	"net"
	"net/netip"
	"time"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/stand/ports"
)

// Node is a stand-in's pair of HTTP servers. Set the routes of Service and Control before Start.
type Node struct {
	*Gate
	Service *fiber.App
	Control *fiber.App

	ln, ctl *ports.Listener
	tasks   conc.WaitGroup
}

// bodyLimit is above the largest record and request of any test.
const bodyLimit = 64 << 20

// NewNode returns a node in mode Up.
func NewNode() *Node {
	cfg := fiber.Config{
		DisableStartupMessage: true, Immutable: true, BodyLimit: bodyLimit,
		JSONEncoder: json.Marshal, JSONDecoder: json.Unmarshal,
	}
	return &Node{Gate: newGate(), Service: fiber.New(cfg), Control: fiber.New(cfg)}
}

// Listen opens the listeners and starts to serve. Wrap, if not nil, is put around the service listener.
func (n *Node) Listen(service, control netip.AddrPort, wrap func(net.Listener) net.Listener) error {
	ln, err := ports.NewListener(service)
	if err != nil {
		return err
	}
	ctl, err := ports.NewListener(control)
	if err != nil {
		_ = ln.Close()
		return err
	}
	n.ln, n.ctl = ln, ctl
	var outer net.Listener = ln
	if wrap != nil {
		outer = wrap(ln)
	}
	n.tasks.Go(func() { _ = n.Service.Listener(outer) })
	n.tasks.Go(func() { _ = n.Control.Listener(ctl) })
	return nil
}

// Address returns the address of the service listener.
func (n *Node) Address() netip.AddrPort { return n.ln.AddrPort() }

// ControlAddress returns the address of the control listener.
func (n *Node) ControlAddress() netip.AddrPort { return n.ctl.AddrPort() }

// Set changes the mode.
func (n *Node) Set(o Order) error {
	if err := n.set(o); err != nil {
		return err
	}
	return n.ln.SetRefusing(o.Mode == Down)
}

// stopTime bounds the wait for open connections at the end.
const stopTime = time.Second

// Close ends both servers. Requests that wait are dropped.
func (n *Node) Close() {
	n.shut()
	_ = n.ln.Close()
	_ = n.ctl.Close()
	_ = n.Service.ShutdownWithTimeout(stopTime)
	_ = n.Control.ShutdownWithTimeout(stopTime)
	n.tasks.Wait()
}
