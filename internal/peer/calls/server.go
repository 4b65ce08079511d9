package calls

import (
	"context"

	"github.com/sourcegraph/conc"
	"github.com/twitchtv/twirp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// Handlers answers the calls of other instances. A call whose field is nil gets the error Unimplemented.
type Handlers struct {
	OnHeartbeat func(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	OnFence     func(context.Context, *peerpb.FenceRequest) (*peerpb.FenceReply, error)
	OnState     func(context.Context) (*peerpb.StateReply, error)
	OnRead      func(context.Context, *peerpb.ReadRequest) (*peerpb.ReadReply, error)
	OnGossip    func(context.Context, *peerpb.GossipRequest) (*peerpb.GossipReply, error)
}

// Handler returns the HTTP handler of these calls for the peer listener.
func (h *Handlers) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(peerpb.NewPeerServer(h))
}

// Heartbeat passes the request to OnHeartbeat. The methods of Handlers implement peerpb.Peer.
func (h *Handlers) Heartbeat(ctx context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return handle(ctx, req, h.OnHeartbeat)
}

// Fence passes the request to OnFence.
func (h *Handlers) Fence(ctx context.Context, req *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	return handle(ctx, req, h.OnFence)
}

// State calls OnState.
func (h *Handlers) State(ctx context.Context, _ *peerpb.StateRequest) (*peerpb.StateReply, error) {
	if h.OnState == nil {
		return nil, unimplementedError()
	}
	detached, release := detachContext(ctx)
	defer release()
	return h.OnState(detached)
}

// Read passes the request to OnRead.
func (h *Handlers) Read(ctx context.Context, req *peerpb.ReadRequest) (*peerpb.ReadReply, error) {
	return handle(ctx, req, h.OnRead)
}

// Gossip passes the request to OnGossip.
func (h *Handlers) Gossip(ctx context.Context, req *peerpb.GossipRequest) (*peerpb.GossipReply, error) {
	return handle(ctx, req, h.OnGossip)
}

func handle[Q, A any](ctx context.Context, req *Q, f func(context.Context, *Q) (*A, error)) (*A, error) {
	if f == nil {
		return nil, unimplementedError()
	}
	detached, release := detachContext(ctx)
	defer release()
	return f(detached, req)
}

// detachContext returns a context that is cancelled with ctx but not derived from it. ctx belongs to fasthttp, which
// reuses it for the next request, when the timer of a derived context could still read it.
func detachContext(ctx context.Context) (detached context.Context, release func()) {
	detached, cancel := context.WithCancel(context.Background())
	done := ctx.Done()
	var wg conc.WaitGroup
	wg.Go(func() {
		select {
		case <-done:
			cancel()
		case <-detached.Done():
		}
	})
	return detached, func() {
		cancel()
		wg.Wait()
	}
}

func unimplementedError() error {
	return twirp.NewError(twirp.Unimplemented, "not served by this instance")
}
