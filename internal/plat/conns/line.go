package conns

import (
	"context"
	"net/netip"

	"github.com/valyala/fasthttp"
)

// Line sends requests to one address, one at a time on a single connection. The process at the other end of a connection stays the same,
// whatever listens at the address by now. Line is safe for concurrent use.
type Line struct {
	pool *Pool
	busy chan struct{} // holds an element during a request
}

// NewLine returns a line without a connection.
func NewLine(addr netip.AddrPort, o Options) *Line {
	return &Line{pool: NewWith(addr, 1, o), busy: make(chan struct{}, 1)}
}

// Do is like Pool.Do, after the requests before it. only, unless 0, is the number of the connection on which req must go out; if that
// is closed, Do fails with ErrNotOpen. n is the number of the connection that was used.
func (l *Line) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, only uint64) (n uint64, sent bool, err error) {
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-ctx.Done():
		return 0, false, ctx.Err()
	}
	if only != 0 && only != l.pool.opened() {
		return 0, false, ErrNotOpen
	}
	sent, err = l.pool.DoWith(ctx, req, resp, SendOptions{MaxIdle: l.pool.idleTimeout(), OnlyOpen: only != 0})
	if err == nil && resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		// A copy of the answer would count against the next request, which may be for the process at the other end.
		l.pool.closeIdle()
	}
	return l.pool.opened(), sent, err
}

// Open opens the connection, unless it is open, and returns its number.
func (l *Line) Open(ctx context.Context) (n uint64, err error) {
	select {
	case l.busy <- struct{}{}:
		defer func() { <-l.busy }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	c, _, err := l.pool.acquire(ctx, SendOptions{MaxIdle: l.pool.idleTimeout()})
	if err != nil {
		return 0, err
	}
	c.maxIdle = l.pool.idleTimeout()
	l.pool.release(c, true)
	return l.pool.opened(), nil
}

// opened returns how many connections have been opened so far, attempts included.
func (p *Pool) opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedCount
}
