// Package server is the client of backend servers.
package server

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/plat/conns"
	"github.com/bramleycove/bramleycove/internal/plat/heads"
)

// Reasons of failed sends, as they appear in result.Error.
const (
	ReasonRefused   = "server-refused"   // the server answered that it did not run the request
	ReasonConnect   = "server-connect"   // no connection, or it failed before the first byte was written
	ReasonLost      = "server-lost"      // the connection broke after the first byte was written
	ReasonTimeout   = "server-timeout"   // no complete answer before the deadline
	ReasonCancelled = "cancelled"        // the caller gave up
	ReasonMismatch  = "answer-mismatch"  // the answer belongs to another request
	ReasonLength    = "answer-length"    // the answer was truncated, or its length cannot be checked
	ReasonStatus    = "answer-status"    // the answer has no valid status
	ReasonMalformed = "answer-malformed" // a line of the answer's head or trailer is malformed
	ReasonLapsed    = "lease-lapsed"     // permission to send ended before the first byte was written
	ReasonLimit     = "connection-limit" // all permitted connections are in use
)

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	pool          *conns.Pool
	maxConns      int
	cancellations conc.WaitGroup
}

// Reply is the answer of a server. Leaving is set if the server reports that it is draining.
type Reply struct {
	work.Answer
	Leaving bool
	// Limit is the rate of requests that the server takes from all instances together, if it names one.
	Limit quota.Named
}

// New returns a client of the server at addr that opens at most limit connections.
func New(addr netip.AddrPort, limit int) *Client {
	return &Client{pool: conns.New(addr, limit), maxConns: limit}
}

// Send sends req once and returns the complete answer. Errors are *result.Error and tell whether the request may have run.
// sendBefore, if not zero, is when the permission to send ends. Leaving and Limit are valid for refusals as well.
func (c *Client) Send(ctx context.Context, req *work.Request, sendBefore time.Time) (Reply, error) {
	h, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(h)
	defer fasthttp.ReleaseResponse(resp)
	req.WriteRequest(h)
	setHeaders(h, req)
	sent, err := c.pool.Do(ctx, h, resp, sendBefore)
	if err != nil {
		if sent && ctx.Err() != nil && c.maxConns > 1 {
			c.cancelRequest(req.ID)
		}
		return Reply{}, resultError(ctx, sent, err)
	}
	return parseReply(resp)
}

func setHeaders(h *fasthttp.Request, req *work.Request) {
	h.Header.Set("Pool", req.Pool)
	h.Header.Set("Slot", strconv.FormatUint(uint64(req.Slot), 10))
	h.Header.Set("Token", strconv.FormatUint(req.Token, 10))
	h.Header.Set("Timeout", work.FormatMillis(time.Until(req.Deadline)))
	h.Header.Set("Rank", req.Rank)
	if req.Identity != "" {
		h.Header.Set("Identity", req.Identity)
	}
}

// resultError maps an error of the exchange to a verdict.
func resultError(ctx context.Context, sent bool, err error) *result.Error {
	e := &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusServiceUnavailable, Reason: ReasonConnect, Cause: err}
	if sent {
		e.Verdict, e.Status, e.Reason = result.MayHaveRun, fasthttp.StatusGatewayTimeout, ReasonLost
	}
	switch {
	case errors.Is(err, conns.ErrLimit):
		e.Reason = ReasonLimit
	case !sent && errors.Is(err, conns.ErrExpired):
		e.Reason = ReasonLapsed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = ReasonTimeout
	case ctx.Err() != nil:
		e.Reason = ReasonCancelled
	case errors.Is(err, conns.ErrMismatch):
		e.Status, e.Reason = fasthttp.StatusBadGateway, ReasonMismatch
	case errors.Is(err, heads.ErrStatus):
		e.Status, e.Reason = fasthttp.StatusBadGateway, ReasonStatus
	case errors.Is(err, heads.ErrMalformed):
		e.Status, e.Reason = fasthttp.StatusBadGateway, ReasonMalformed
	case sent && isTruncated(err):
		e.Status, e.Reason = fasthttp.StatusBadGateway, ReasonLength
	}
	return e
}

// isTruncated reports whether an answer was truncated or might be.
func isTruncated(err error) bool {
	return errors.Is(err, conns.ErrTruncated) || errors.Is(err, conns.ErrNoLength)
}

// parseReply returns the answer, or an error for a refusal. The pool has checked length and id.
func parseReply(resp *fasthttp.Response) (Reply, error) {
	r := Reply{Leaving: strings.EqualFold(string(resp.Header.Peek("Leaving")), "true"), Limit: quota.ParseNamed(resp.Header.Peek("Limit"))}
	if string(resp.Header.Peek("Verdict")) == result.NotRun.String() {
		e := work.NewRefusal(ReasonRefused, parseSeconds(resp.Header.Peek("Retry-After")))
		e.Cause = errors.Newf("server answered %d", resp.StatusCode())
		return r, e
	}
	r.Answer = work.ReadResponse(resp)
	return r, nil
}

func parseSeconds(b []byte) time.Duration {
	n, err := strconv.ParseUint(string(b), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

// cancelTimeout bounds the cancellation of a request, which is best-effort.
const cancelTimeout = 200 * time.Millisecond

// cancelRequest asks the server, in the background, to drop a request that has been given up.
func (c *Client) cancelRequest(id string) {
	c.cancellations.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		h, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(h)
		defer fasthttp.ReleaseResponse(resp)
		h.Header.SetMethod(fasthttp.MethodDelete)
		h.Header.SetRequestURI("/requests/" + id)
		h.Header.SetHost("bramleycove")
		_, _ = c.pool.Do(ctx, h, resp, time.Time{})
	})
}

// Close waits for cancellations, then closes idle connections at once and the others when their request ends.
func (c *Client) Close() {
	c.cancellations.Wait()
	c.pool.Close()
}

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int { return c.pool.OpenCount() }
