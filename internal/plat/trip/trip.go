// Package trip sends the calls of net/http clients over pools of package conns, whose checks of answers are stricter.
package trip

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/conns"
)

// Tripper is an http.RoundTripper for addresses without names, which reads whole answers. It is safe for concurrent use.
type Tripper struct {
	pools *conns.Pools
}

// New returns a Tripper without connections.
func New(o conns.Options) *Tripper { return &Tripper{pools: conns.NewPools(0, o)} }

// CloseIdleConnections closes the idle connections now and the others when their request ends.
func (t *Tripper) CloseIdleConnections() { t.pools.Close() }

// RoundTrip implements http.RoundTripper.
func (t *Tripper) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		body, err = io.ReadAll(r.Body)
		if err := errors.CombineErrors(err, r.Body.Close()); err != nil {
			return nil, err
		}
	}
	addr, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.Method)
	req.Header.SetHost(r.URL.Host)
	req.SetRequestURI(r.URL.RequestURI())
	for name, values := range r.Header {
		for _, v := range values {
			req.Header.Add(name, v)
		}
	}
	req.SetBodyRaw(body)
	if _, err := t.pools.At(time.Now(), addr).Do(r.Context(), req, resp, time.Time{}); err != nil {
		return nil, err
	}
	return convert(r, resp), nil
}

// convert returns resp as the answer to r. It takes the body from resp.
func convert(r *http.Request, resp *fasthttp.Response) *http.Response {
	body := resp.SwapBody(nil)
	out := &http.Response{
		StatusCode: resp.StatusCode(), Status: http.StatusText(resp.StatusCode()), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, resp.Header.Len()), Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Request: r,
	}
	for name, value := range resp.Header.All() {
		out.Header.Add(string(name), string(value))
	}
	return out
}
