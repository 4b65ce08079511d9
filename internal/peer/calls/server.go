package calls

import (
	"context"

	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Handlers answers the calls of other instances. A nil field answers that the call is unimplemented.
type Handlers struct {
	OnHeartbeat func(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	OnFence     func(context.Context, *peerpb.FenceRequest) (*peerpb.FenceReply, error)
	OnState     func(context.Context) (*peerpb.StateReply, error)
	OnRead      func(context.Context, *peerpb.ReadRequest) (*peerpb.ReadReply, error)
	OnGossip    func(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error)
}

// Handler returns the handler for the peer listener.
func (h *Handlers) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(peerpb.NewPeerServer(h))
}

// Heartbeat implements peerpb.Peer, as do the other methods.
func (h *Handlers) Heartbeat(ctx context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return answer(ctx, req, h.OnHeartbeat)
}

// Fence passes the request to OnFence.
func (h *Handlers) Fence(ctx context.Context, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	return answer(ctx, req, h.OnFence)
}

// State passes the request to OnState.
func (h *Handlers) State(ctx context.Context, _ *peerpb.StateRequest) (*peerpb.StateReply, error) {
	if h.OnState == nil {
		return nil, unimplemented()
	}
	return h.OnState(detach(ctx))
}

// Read passes the request to OnRead.
func (h *Handlers) Read(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	return answer(ctx, req, h.OnRead)
}

// Gossip passes the request to OnGossip.
func (h *Handlers) Gossip(ctx context.Context, req *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	return answer(ctx, req, h.OnGossip)
}

func answer[Q, A any](ctx context.Context, req *Q, f func(context.Context, *Q) (*A, error)) (*A, error) {
	if f == nil {
		return nil, unimplemented()
	}
	return f(detach(ctx), req)
}

// detached ends with the listener. It does not refer to the context of the request, which the HTTP server uses again
// for the next request: a timer of a handler that fires as the handler returns would still look up values in it.
type detached struct {
	context.Context
	done <-chan struct{}
}

func detach(ctx context.Context) context.Context {
	return detached{context.Background(), ctx.Done()}
}

// Done returns a channel that is closed when the listener is shut down.
func (d detached) Done() <-chan struct{} { return d.done }

// Err returns context.Canceled after that.
func (d detached) Err() error {
	select {
	case <-d.done:
		return context.Canceled
	default:
		return nil
	}
}

func unimplemented() error { return twirp.NewError(twirp.Unimplemented, "not served by this instance") }
