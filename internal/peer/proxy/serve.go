package proxy

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// Limits of the peer listener. idleTimeout is longer than a Forwarder keeps idle connections, so that the sender closes
// first and no request meets a closing connection.
const (
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 64 << 10
	readTimeout    = 30 * time.Second
	idleTimeout    = 30 * time.Second
)

// Server returns the HTTP server of the peer listener. Requests that are not hops go to other.
func (f *Forwarder) Server(other fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: f.Handler(other), MaxRequestBodySize: maxBodyBytes, ReadBufferSize: maxHeaderBytes,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultServerHeader: true, NoDefaultContentType: true,
		CloseOnShutdown: true, DisablePreParseMultipartForm: true,
	}
}

// Handler returns the handler of the peer listener. Requests that are not hops go to other, for example the twirp
// handlers of the instance.
func (f *Forwarder) Handler(other fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		if len(c.Request.Header.Peek(hopsHeader)) == 0 {
			other(c)
			return
		}
		f.serveHop(c)
	}
}

func (f *Forwarder) serveHop(c *fasthttp.RequestCtx) {
	now := time.Now()
	c.Response.Header.SetBytesV(work.RequestIDHeader, c.Request.Header.Peek(work.RequestIDHeader))
	req, ok := decodeRequest(&c.Request, now)
	if !ok {
		encodeError(&c.Response, &result.Error{
			Verdict: result.NotRun, Status: fasthttp.StatusBadRequest, Reason: ReasonMalformedHop,
		})
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	stop := work.WatchClose(c.Conn(), cancel)
	a, err := f.handleHop(ctx, req)
	stop()
	if err != nil {
		encodeError(&c.Response, result.FromError(err))
		return
	}
	a.WriteResponse(&c.Response)
}

// handleHop dispatches a request from another instance. A request without a lane comes from another data centre, whose
// view does not show the lanes here, and is forwarded to the dispatcher.
func (f *Forwarder) handleHop(ctx context.Context, req *work.Request) (work.Answer, error) {
	if req.Lane != "" {
		return f.dispatch(ctx, req)
	}
	return f.Send(ctx, req)
}
