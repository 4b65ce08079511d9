package push

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/trip"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// connectTimeout covers the latency between regions, but not the retransmission of a lost packet.
	connectTimeout = 400 * time.Millisecond
	idleTimeout    = 20 * time.Second // less than that of the instances' servers
)

// Client calls other instances.
type Client struct {
	http  *http.Client
	sites sync.Map // sitepb.Site by address
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: trip.New(conns.Options{ConnectTimeout: connectTimeout, IdleTimeout: idleTimeout})}}
}

func (c *Client) siteAt(addr string) sitepb.Site {
	if p, ok := c.sites.Load(addr); ok {
		return p.(sitepb.Site)
	}
	p, _ := c.sites.LoadOrStore(addr, sitepb.NewSiteProtobufClient("http://"+addr, c.http))
	return p.(sitepb.Site)
}

// Pull introduces the instance self to the one at addr and returns the latter's state.
func (c *Client) Pull(ctx context.Context, addr, self string) (*sitepb.PushRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.siteAt(addr).Pull(ctx, &sitepb.PullRequest{From: self})
}

// FindLeader asks the instance at addr for the leader and all instances that it knows.
func (c *Client) FindLeader(ctx context.Context, addr, self string) (leader string, peers []string, err error) {
	r, err := c.siteAt(addr).Pull(ctx, &sitepb.PullRequest{From: self, Brief: true})
	return r.GetFrom(), r.GetPeers(), err
}

// Permit asks the leader at addr for permits.
func (c *Client) Permit(ctx context.Context, addr string, r *sitepb.PermitRequest) (*sitepb.PermitReply, error) {
	return c.siteAt(addr).Permit(ctx, r)
}

// Handlers answers calls from other instances. All fields must be set.
type Handlers struct {
	OnPush   func(*sitepb.PushRequest) *sitepb.PushReply
	OnPull   func(*sitepb.PullRequest) *sitepb.PushRequest
	OnPermit func(*sitepb.PermitRequest) *sitepb.PermitReply
}

// Handler returns the HTTP handler for the peer listener.
func (h *Handlers) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(sitepb.NewSiteServer(h))
}

// Push implements sitepb.Site.
func (h *Handlers) Push(_ context.Context, r *sitepb.PushRequest) (*sitepb.PushReply, error) {
	return h.OnPush(r), nil
}

// Pull implements sitepb.Site.
func (h *Handlers) Pull(_ context.Context, r *sitepb.PullRequest) (*sitepb.PushRequest, error) {
	return h.OnPull(r), nil
}

// Permit implements sitepb.Site.
func (h *Handlers) Permit(_ context.Context, r *sitepb.PermitRequest) (*sitepb.PermitReply, error) {
	return h.OnPermit(r), nil
}
