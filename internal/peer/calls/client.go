// Package calls carries the control calls between instances: a client that calls any instance at the address of its peer
// listener, and handlers for the server side with one function field for each call.
package calls

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/trip"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

const (
	// connectTimeout is shorter than the heartbeat interval, so that an unreachable instance costs only one heartbeat.
	connectTimeout = 250 * time.Millisecond
	idleTimeout    = 20 * time.Second // less than that of the instances' servers
)

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	clients sync.Map // peerpb.Peer by netip.AddrPort
	// DialAddr returns the address to dial for an instance. If nil, the instance's own address is dialled.
	DialAddr func(netip.AddrPort) netip.AddrPort
}

// NewClient returns a client that connects on demand.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: trip.New(conns.Options{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout})}}
}

func (c *Client) client(addr netip.AddrPort) peerpb.Peer {
	if p, ok := c.clients.Load(addr); ok {
		return p.(peerpb.Peer)
	}
	dialAddr := addr
	if c.DialAddr != nil {
		dialAddr = c.DialAddr(addr)
	}
	p, _ := c.clients.LoadOrStore(addr, peerpb.NewPeerProtobufClient("http://"+dialAddr.String(), c.http))
	return p.(peerpb.Peer)
}

// Heartbeat sends a heartbeat to the instance at addr.
func (c *Client) Heartbeat(ctx context.Context, addr netip.AddrPort, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return c.client(addr).Heartbeat(ctx, req)
}

// Fence asks the instance at addr to confirm the term and epoch of req.
func (c *Client) Fence(ctx context.Context, addr netip.AddrPort, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	return c.client(addr).Fence(ctx, req)
}

// State fetches the state of both folds of the instance at addr.
func (c *Client) State(ctx context.Context, addr netip.AddrPort) (*peerpb.StateReply, error) {
	return c.client(addr).State(ctx, &peerpb.StateRequest{})
}

// Read reads records of a stream from the instance at addr.
func (c *Client) Read(ctx context.Context, addr netip.AddrPort, req *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	return c.client(addr).Read(ctx, req)
}

// Gossip exchanges strikes with the instance at addr.
func (c *Client) Gossip(ctx context.Context, addr netip.AddrPort, req *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	return c.client(addr).Gossip(ctx, req)
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
