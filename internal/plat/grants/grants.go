// Package grants is the client of the grant protocol of token-checking servers.
package grants

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// Range is a range of slots of one pool with the same token.
type Range struct {
	Pool  string `json:"pool"`
	First uint32 `json:"first"`
	Last  uint32 `json:"last"`
	Token uint64 `json:"token"`
}

// Grant is the complete set of slots that a server may serve. Until is in nanoseconds of the server's monotonic clock.
// With Incarnation 0 it only queries the server's state.
type Grant struct {
	Incarnation uint64  `json:"incarnation"`
	Term        uint64  `json:"term"`
	Epoch       uint32  `json:"epoch"`
	Until       uint64  `json:"until"`
	Slots       []Range `json:"slots"`
}

// Reply is the state of the server after the grant. Held is empty and Until 0 if it holds nothing.
type Reply struct {
	Incarnation uint64  `json:"incarnation"`
	Clock       uint64  `json:"clock"` // nanoseconds
	Term        uint64  `json:"term"`
	Epoch       uint32  `json:"epoch"`
	Accepted    bool    `json:"accepted"`
	Held        []Range `json:"held"`
	Until       uint64  `json:"until"`
	Leaving     bool    `json:"leaving"`
}

// Client sends grants. It is safe for concurrent use.
type Client struct {
	pools *conns.Pools

	mu     sync.Mutex
	latest map[netip.AddrPort]reading
}

// reading is the clock reading of a server in its latest answer.
type reading struct{ incarnation, clock uint64 }

const (
	connectTimeout = 250 * time.Millisecond
	defaultTimeout = time.Second
	// One grant is in flight per server; the second connection replaces one that is being closed after a timeout.
	connsPerServer = 2
	// maxAnswerSize, for all answers that are being read, is above the answer of a server that holds each slot of its pools in a range
	// of its own. A faulty server may send bytes without end.
	maxAnswerSize = 8 << 20 // bytes
)

// New returns a client without connections.
func New() *Client {
	o := conns.Options{AcceptUnframed: true, ConnectTimeout: connectTimeout, Budget: intake.New(maxAnswerSize)}
	return &Client{pools: conns.NewPools(connsPerServer, o), latest: make(map[netip.AddrPort]reading)}
}

// Send sends g to the server at addr. After an error the grant may still take effect later. It fails with conns.ErrRepeated if the answer
// may be a copy of an earlier one. Calls to one server must not overlap.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, g Grant) (Reply, error) {
	var out Reply
	if g.Slots == nil {
		g.Slots = []Range{}
	}
	body, err := json.Marshal(g)
	if err != nil {
		return out, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.SetHost(addr.String())
	req.SetRequestURI("/grant")
	req.SetBody(body)
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	pool := c.pools.At(time.Now(), addr)
	if _, err := pool.Do(ctx, req, resp, time.Time{}); err != nil {
		return out, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return out, fmt.Errorf("server answered a grant with status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &out); err != nil {
		return out, err
	}
	if !c.isNew(addr, out) {
		pool.CloseIdle() // the connection still gets the answer to this grant
		return Reply{}, conns.ErrRepeated
	}
	return out, nil
}

// isNew reports whether the clock reading of r is later than that of the process's latest answer, and keeps it. Answers name no grant,
// and only their readings differ for certain.
func (c *Client) isNew(addr netip.AddrPort, r Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, known := c.latest[addr]
	if known && before.incarnation == r.Incarnation && before.clock >= r.Clock {
		return false
	}
	c.latest[addr] = reading{r.Incarnation, r.Clock}
	return true
}
