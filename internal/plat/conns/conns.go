// Package conns exchanges HTTP messages with one address over a bounded set of connections. A connection carries one
// request at a time and is reused only after a whole answer. For each failure it says whether any byte of the request
// may have left this process, which decides the verdict.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/work"
)

var (
	// ErrLimit means that all permitted connections are in use.
	ErrLimit = errors.New("connection limit reached")
	// ErrNoLength means that an answer declares no length, so that a cut answer would look whole.
	ErrNoLength = errors.New("answer without declared length")
	// ErrExpired means that the permission to send ended before the request was written.
	ErrExpired = errors.New("permission to send has ended")
	// ErrTruncated means that an answer began and did not come whole.
	ErrTruncated = errors.New("answer cut short")
	// ErrMismatch means that an answer does not echo the id of the request.
	ErrMismatch = errors.New("answer of another request")
	// ErrReset means that the server reset a new connection before anything was sent.
	ErrReset = errors.New("new connection reset")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("connection pool closed")
)

const (
	// connectTimeout bounds a connection attempt; servers are at most 20 ms away.
	connectTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is shorter than the keep-alive time of common servers (5 s and more), since a server that closes
	// a connection while a request is being written leaves the outcome of the request unknown.
	defaultIdleTimeout = 4 * time.Second
	maxAnswerSize      = 64 << 20
)

// Pool is a set of connections to one address. It may be used by many goroutines.
type Pool struct {
	Options
	addr     string
	maxConns int

	mu        sync.Mutex
	idleConns []*conn // most recently used last
	openCount int
	closed    bool
}

// Options adapt a pool to the protocol of its servers. The zero value is for servers of our own protocol.
type Options struct {
	// EchoHeader is the name of the header that answers echo; empty means work.RequestID.
	EchoHeader string
	// AcceptUnframed accepts answers without a length that end with their connection, if it ends without a reset.
	AcceptUnframed bool
	// MaxForeign is how many whole answers to other requests are skipped before the one that is waited for.
	MaxForeign int
	// IdleTimeout is the time after which an idle connection is not used again; 0 means 4 s. A shorter time that a server
	// states is kept to.
	IdleTimeout time.Duration
}

// New returns a pool of at most limit connections to addr; limit 0 means no limit.
func New(addr netip.AddrPort, limit int) *Pool {
	return &Pool{addr: addr.String(), maxConns: limit}
}

// NewWith is New for servers of another protocol.
func NewWith(addr netip.AddrPort, limit int, o Options) *Pool {
	return &Pool{Options: o, addr: addr.String(), maxConns: limit}
}

func (o *Options) echoHeader() string {
	if o.EchoHeader == "" {
		return work.RequestIDHeader
	}
	return o.EchoHeader
}

func (o *Options) idleTimeout() time.Duration {
	if o.IdleTimeout == 0 {
		return defaultIdleTimeout
	}
	return o.IdleTimeout
}

// conn notes whether any byte was handed to the operating system since the last request began.
type conn struct {
	net.Conn
	sent       bool
	sendBefore time.Time     // no first byte is written later; zero means no limit
	idleSince  time.Time     // start of idleness
	maxIdle    time.Duration // how long the connection may be idle
	// abandoned tells that the answer was not waited for.
	abandoned bool
	br        *bufio.Reader
	bw        *bufio.Writer
}

// Write passes p on and notes a first byte that was accepted. Only the first write is bound by until: the permission
// to send concerns the start of a request, and a long body may take longer than the rest of a lease.
func (c *conn) Write(p []byte) (int, error) {
	first := !c.sent && !c.sendBefore.IsZero()
	if first {
		if err := c.SetWriteDeadline(c.sendBefore); err != nil {
			return 0, err
		}
		if !time.Now().Before(c.sendBefore) {
			return 0, ErrExpired
		}
	}
	n, err := c.Conn.Write(p)
	c.sent = c.sent || n > 0
	if first && err == nil {
		err = c.SetWriteDeadline(time.Time{})
	}
	return n, err
}

// Do sends req and reads the answer into resp. sent reports whether any byte of the request was written. until, if
// not zero, is when the permission to send ends: no byte is written later. When ctx ends the connection is closed, so
// that a late answer cannot reach another request.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, sendBefore time.Time) (sent bool, err error) {
	return p.DoWith(ctx, req, resp, SendOptions{SendBefore: sendBefore, MaxIdle: p.idleTimeout()})
}

// SendOptions says over which connection a request goes and until when.
type SendOptions struct {
	// SendBefore is when the permission to send ends; zero means never.
	SendBefore time.Time
	// MaxIdle is how long the connection may have been idle. A server may drop an idle one without notice, and what is
	// sent on it then may or may not have run.
	MaxIdle time.Duration
	// SettleTime is how long to wait on a new connection at most before anything is sent, for as long as it took to open. A
	// server that has too many resets it meanwhile, and the request has certainly not run.
	SettleTime time.Duration
}

// DoWith is Do over a connection of choice.
func (p *Pool) DoWith(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, opts SendOptions) (sent bool, err error) {
	for {
		c, isNew, err := p.acquire(ctx, opts)
		if err != nil {
			return false, err
		}
		reuse, err := p.exchange(ctx, c, req, resp, opts.SendBefore)
		sent = c.sent // once put back, the connection belongs to another request
		c.maxIdle = p.idleLimit(resp)
		p.release(c, reuse && !resp.ConnectionClose() && !req.ConnectionClose())
		// An idle connection may have been closed by the server between the check and the write. As no byte was
		// accepted, the request certainly did not run and goes out on another connection.
		if err == nil || sent || isNew || ctx.Err() != nil || errors.Is(err, ErrExpired) {
			return sent, err
		}
	}
}

// exchange sends req and reads the answer. reuse reports whether the connection may carry another request.
func (p *Pool) exchange(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response, sendBefore time.Time) (reuse bool, err error) {
	c.sent, c.sendBefore = false, sendBefore
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	reuse, err = p.sendAndReceive(ctx, c, req, resp)
	// Once ctx has ended, its function may set the deadline at any moment, which would hit the next request.
	c.abandoned = !stop()
	if c.abandoned && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// Connections can go silent together, without a reset. Each of them would cost another request its time.
		p.closeIdle()
	}
	return !c.abandoned && err == nil && reuse, err
}

// sendAndReceive sends req and reads the answer to it. Without an error, reuse reports whether the connection is still in step.
func (p *Pool) sendAndReceive(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response) (reuse bool, err error) {
	var writeDone chan error
	if len(req.Body()) > minConcurrentBody {
		// A server may answer a long body before it has read it, and read on only when its answer has been taken.
		writeDone = make(chan error, 1)
		var wg panics.Catcher
		go wg.Try(func() { writeDone <- c.send(ctx, req) })
	} else if err := c.send(ctx, req); err != nil {
		// A refusal may lie behind the error: the server answers and closes before it has read the request.
		if !c.sent || ctx.Err() != nil || p.receive(c, req, resp) != nil {
			return false, err
		}
		return false, nil
	}
	err = p.receive(c, req, resp)
	reuse = err == nil && resp.Header.ContentLength() != lengthUntilClose && c.br.Buffered() == 0
	if writeDone != nil {
		select {
		case writeErr := <-writeDone:
			reuse = reuse && writeErr == nil
		default:
			// The rest of the body has nowhere to go. Closing ends the write, and the request belongs to the caller again.
			_ = c.Close()
			<-writeDone
			reuse = false
		}
	}
	return reuse, err
}

// lengthUntilClose is what fasthttp shows as the length of an answer that ends with its connection.
const lengthUntilClose = -2

// minConcurrentBody is the length of a body from which on it is written beside reading the answer. Shorter ones fit into the
// buffers of a connection.
const minConcurrentBody = 16 << 10

// receive reads the answer to req, past whole answers to other requests.
func (p *Pool) receive(c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	id := req.Header.Peek(p.echoHeader())
	for n := 0; ; n++ {
		resp.Reset()
		if err := readHeader(resp, c.br); err != nil {
			return err
		}
		foreign := len(id) > 0 && !bytes.Equal(id, resp.Header.Peek(p.echoHeader()))
		if foreign && (n >= p.MaxForeign || resp.Header.ContentLength() == lengthUntilClose) {
			return ErrMismatch
		}
		if !hasNoBody(req, resp) {
			if err := p.readBody(resp, c.br); err != nil {
				return err
			}
		}
		if !foreign {
			return nil
		}
	}
}

func hasNoBody(req *fasthttp.Request, resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readBody reads a body whose end the header, the chunks or, if permitted, the end of the connection show.
func (p *Pool) readBody(resp *fasthttp.Response, br *bufio.Reader) error {
	length := resp.Header.ContentLength()
	if length < -1 && !p.AcceptUnframed {
		return ErrNoLength
	}
	err := resp.ReadBody(br, maxAnswerSize)
	if err == nil && length == -1 {
		err = resp.Header.ReadTrailer(br)
	}
	if err != nil {
		return errors.Mark(err, ErrTruncated)
	}
	return nil
}

func (c *conn) send(ctx context.Context, req *fasthttp.Request) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	c.bw.Reset(c)
	err := req.Write(c.bw)
	if err == nil {
		err = c.bw.Flush()
	}
	if !c.sent && ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return ErrExpired
	}
	return err
}

// idleLimit returns how long a connection may be idle after this answer. A server that states a time closes about then, so
// that a second less is safe.
func (p *Pool) idleLimit(resp *fasthttp.Response) time.Duration {
	d := p.idleTimeout()
	if _, after, ok := strings.Cut(string(resp.Header.Peek("Keep-Alive")), "timeout="); ok {
		digits, _, _ := strings.Cut(after, ",")
		if n, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil && n >= 0 {
			d = min(d, max(0, time.Duration(n)*time.Second-time.Second))
		}
	}
	return d
}

// readHeader skips interim answers.
func readHeader(resp *fasthttp.Response, br *bufio.Reader) error {
	for {
		if err := resp.Header.Read(br); err != nil {
			return err
		}
		if s := resp.StatusCode(); s >= 200 || s == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
}

// acquire returns an idle connection that is still quiet, or a new one.
func (p *Pool) acquire(ctx context.Context, opts SendOptions) (c *conn, isNew bool, err error) {
	c, err = p.reserve(time.Now(), opts.MaxIdle)
	if c != nil || err != nil {
		return c, false, err
	}
	begun := time.Now()
	d := net.Dialer{Timeout: connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.discard(nil)
		return nil, false, err
	}
	if opts.SettleTime > 0 {
		time.Sleep(min(opts.SettleTime, time.Since(begun)))
		if work.IsClosed(nc) {
			_ = nc.Close()
			p.discard(nil)
			return nil, false, ErrReset
		}
	}
	return &conn{Conn: nc, br: bufio.NewReader(nc), bw: bufio.NewWriter(nil)}, true, nil
}

func (p *Pool) reserve(now time.Time, maxIdle time.Duration) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	for len(p.idleConns) > 0 {
		c := p.idleConns[len(p.idleConns)-1]
		p.idleConns = p.idleConns[:len(p.idleConns)-1]
		if idle := now.Sub(c.idleSince); idle < min(c.maxIdle, maxIdle) && c.br.Buffered() == 0 && work.IsReusable(c.Conn) {
			return c, nil
		}
		p.openCount--
		_ = c.Close()
	}
	if p.maxConns > 0 && p.openCount >= p.maxConns {
		return nil, ErrLimit
	}
	p.openCount++
	return nil, nil
}

func (p *Pool) release(c *conn, reuse bool) {
	if !reuse {
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.openCount--
		_ = c.Close()
		return
	}
	p.idleConns = append(p.idleConns, c)
	// The oldest idle connection is closed when it has not been needed for a while.
	if old := p.idleConns[0]; c.idleSince.Sub(old.idleSince) >= p.idleTimeout() {
		p.idleConns = append(p.idleConns[:0], p.idleConns[1:]...)
		p.openCount--
		_ = old.Close()
	}
}

func (p *Pool) discard(c *conn) {
	if c != nil {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.abandoned {
			// What is still on its way is lost with a reset. Otherwise it could arrive when a partition heals, long after
			// its sender has given it up.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

// DropClosed drops the idle connections that the server has closed and reports whether there was one. A server that has
// ended closes all of them, so that what is sent next may reach another process at its address.
func (p *Pool) DropClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.idleConns {
		if work.IsReusable(c.Conn) {
			p.idleConns[n] = c
			n++
			continue
		}
		p.openCount--
		_ = c.Close()
	}
	dropped := n < len(p.idleConns)
	p.idleConns = p.idleConns[:n]
	return dropped
}

// closeIdle closes the idle connections.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleConns {
		_ = c.Close()
	}
	p.openCount -= len(p.idleConns)
	p.idleConns = nil
}

// OpenCount returns the number of connections that are open or being opened.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// Close closes idle connections now and the others after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}
