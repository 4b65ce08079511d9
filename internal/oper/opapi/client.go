package opapi

import (
	"context"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

const (
	requestTimeout = 2 * time.Second
	maxAnswerSize  = 64 << 20 // bytes, for all answers that are being read
)

// Client queries the operator interfaces of instances. It is safe for concurrent use.
type Client struct {
	pools *conns.Pools
}

// NewClient returns a client with fixed connect and request timeouts.
func NewClient() *Client {
	return &Client{pools: conns.NewPools(0, conns.Options{AcceptUnframed: true, Budget: intake.New(maxAnswerSize)})}
}

// Status asks the instance at addr for its status.
func (c *Client) Status(ctx context.Context, addr netip.AddrPort) (Status, error) {
	var s Status
	return s, c.get(ctx, addr, "/status", nil, &s)
}

// Explain asks the instance at addr where a request would go. If key is empty, the instance takes the key
// from path.
func (c *Client) Explain(ctx context.Context, addr netip.AddrPort, method, path, key string) (Explanation, error) {
	var e Explanation
	return e, c.get(ctx, addr, "/explain", url.Values{"method": {method}, "path": {path}, "key": {key}}, &e)
}

func (c *Client) get(ctx context.Context, addr netip.AddrPort, path string, query url.Values, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u := url.URL{Path: path, RawQuery: query.Encode()}
	req.Header.SetHost(addr.String())
	req.SetRequestURI(u.String())
	if _, err := c.pools.At(time.Now(), addr).Do(ctx, req, resp, time.Time{}); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s answered %d to GET %s", addr, resp.StatusCode(), path)
	}
	return json.Unmarshal(resp.Body(), out)
}
