package conns

import (
	"context"
	"net/netip"
	"slices"

	"github.com/valyala/fasthttp"
)

// Line sends requests to one address, one at a time on a single connection. The process at the other end of a connection stays the same,
// whatever listens at the address by now. Answers name no request: a refusal that the connection had before is no answer, as it may be a
// copy of the earlier one. Line is safe for concurrent use.
type Line struct {
	pool *Pool
	busy chan struct{} // holds an element during a request
	// refusals are the statuses of the refusals that connection refusedOn has had. Only the request that holds busy uses them.
	refusals  []int
	refusedOn uint64
}

// NewLine returns a line without a connection.
func NewLine(addr netip.AddrPort, o Options) *Line {
	return &Line{pool: NewWith(addr, 1, o), busy: make(chan struct{}, 1)}
}

// Do is like Pool.Do, after the requests before it. only, unless 0, is the number of the connection on which req must go out; if that
// is closed, Do fails with ErrNotOpen. After a refusal that may be a copy, it fails with ErrRepeated and closes the connection. n is the
// number of the connection that was used.
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
	n = l.pool.opened()
	switch {
	case err != nil:
		return n, sent, err
	case resp.StatusCode() == fasthttp.StatusMisdirectedRequest:
		// A copy of the answer would count against the next request, which may be for the process at the other end.
		l.pool.CloseIdle()
	case resp.StatusCode() >= fasthttp.StatusBadRequest && !l.isFirstRefusal(n, resp.StatusCode()):
		l.pool.CloseIdle()
		return n, sent, ErrRepeated
	}
	return n, sent, nil
}

// isFirstRefusal reports whether the answer with that status is the first such refusal on connection n. A later one may be a copy.
func (l *Line) isFirstRefusal(n uint64, status int) bool {
	if n != l.refusedOn {
		l.refusals, l.refusedOn = nil, n
	}
	if slices.Contains(l.refusals, status) {
		return false
	}
	l.refusals = append(l.refusals, status)
	return true
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
