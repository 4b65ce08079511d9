// Package grants is the client of the grant protocol of token-checking servers.
package grants

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
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
	http *fasthttp.Client
}

const (
	connectTimeout = 250 * time.Millisecond
	defaultTimeout = time.Second
	// One grant is in flight per server; the second connection replaces one that is being closed after a timeout.
	connsPerServer = 2
	// maxAnswerSize is above the answer of a server that holds each slot of its pools in a range of its own. A faulty server may
	// send bytes without end.
	maxAnswerSize = 8 << 20 // bytes
)

// New returns a client without connections.
func New() *Client {
	dial := func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, connectTimeout) }
	return &Client{http: &fasthttp.Client{
		Dial: dial, MaxConnsPerHost: connsPerServer, MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, MaxResponseBodySize: maxAnswerSize,
	}}
}

// neverRetry is set since the controller counts each grant that it sends and would miss a repeated one.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Send sends g to the server at addr. After an error the grant may still take effect later.
func (c *Client) Send(ctx context.Context, addr netip.AddrPort, g Grant) (Reply, error) {
	var out Reply
	if err := ctx.Err(); err != nil {
		return out, err
	}
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
	req.SetRequestURI("http://" + addr.String() + "/grant")
	req.SetBody(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return out, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return out, fmt.Errorf("server answered a grant with status %d", resp.StatusCode())
	}
	return out, json.Unmarshal(resp.Body(), &out)
}
