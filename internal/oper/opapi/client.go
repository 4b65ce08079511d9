package opapi

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
)

const (
	connectTimeout = 500 * time.Millisecond
	requestTimeout = 2 * time.Second
)

// Client queries the operator interfaces of instances. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// NewClient returns a client with fixed connect and request timeouts.
func NewClient() *Client {
	dial := func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, connectTimeout) }
	return &Client{http: &fasthttp.Client{Dial: dial}}
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
	if err := ctx.Err(); err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	u := url.URL{Scheme: "http", Host: addr.String(), Path: path, RawQuery: query.Encode()}
	req.SetRequestURI(u.String())
	deadline := time.Now().Add(requestTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s answered %d to GET %s", addr, resp.StatusCode(), path)
	}
	return json.Unmarshal(resp.Body(), out)
}
