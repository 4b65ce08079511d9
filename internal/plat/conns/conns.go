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
	// ErrLength means that an answer declares no length, so that a cut answer would look whole.
	ErrLength = errors.New("answer without declared length")
	// ErrLate means that the permission to send ended before the request was written.
	ErrLate = errors.New("permission to send has ended")
	// ErrCut means that an answer began and did not come whole.
	ErrCut = errors.New("answer cut short")
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
	// idleTimeout is shorter than the keep-alive time of common servers (5 s and more), since a server that closes
	// a connection while a request is being written leaves the outcome of the request unknown.
	idleTimeout = 4 * time.Second
	maxAnswer   = 64 << 20
)

// Pool is a set of connections to one address. It may be used by many goroutines.
type Pool struct {
	Options
	addr  string
	limit int

	mu        sync.Mutex
	idleConns []*conn // most recently used last
	open      int
	closed    bool
}

// Options adapt a pool to the protocol of its servers. The zero value is for servers of our own protocol.
type Options struct {
	// Echo is the name of the header that answers echo; empty means work.RequestID.
	Echo string
	// Unframed accepts answers without a length that end with their connection, if it ends without a reset.
	Unframed bool
	// Foreign is how many whole answers to other requests are skipped before the one that is waited for.
	Foreign int
	// Idle is the time after which an idle connection is not used again; 0 means 4 s. A shorter time that a server
	// states is kept to.
	Idle time.Duration
}

// New returns a pool of at most limit connections to addr; limit 0 means no limit.
func New(addr netip.AddrPort, limit int) *Pool {
	return &Pool{addr: addr.String(), limit: limit}
}

// NewWith is New for servers of another protocol.
func NewWith(addr netip.AddrPort, limit int, o Options) *Pool {
	return &Pool{Options: o, addr: addr.String(), limit: limit}
}

func (o *Options) echo() string {
	if o.Echo == "" {
		return work.RequestIDHeader
	}
	return o.Echo
}

func (o *Options) idle() time.Duration {
	if o.Idle == 0 {
		return idleTimeout
	}
	return o.Idle
}

// conn notes whether any byte was handed to the operating system since the last request began.
type conn struct {
	net.Conn
	sent  bool
	until time.Time     // no first byte is written later; zero means no limit
	since time.Time     // start of idleness
	keep  time.Duration // how long the connection may be idle
	// abandoned tells that the answer was not waited for.
	abandoned bool
	br        *bufio.Reader
	bw        *bufio.Writer
}

// Write passes p on and notes a first byte that was accepted. Only the first write is bound by until: the permission
// to send concerns the start of a request, and a long body may take longer than the rest of a lease.
func (c *conn) Write(p []byte) (int, error) {
	first := !c.sent && !c.until.IsZero()
	if first {
		if err := c.SetWriteDeadline(c.until); err != nil {
			return 0, err
		}
		if !time.Now().Before(c.until) {
			return 0, ErrLate
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
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, until time.Time) (sent bool, err error) {
	return p.DoFresh(ctx, req, resp, Choice{Until: until, MaxIdle: p.idle()})
}

// Choice says over which connection a request goes and until when.
type Choice struct {
	// Until is when the permission to send ends; zero means never.
	Until time.Time
	// MaxIdle is how long the connection may have been idle. A server may drop an idle one without notice, and what is
	// sent on it then may or may not have run.
	MaxIdle time.Duration
	// Settle is how long to wait on a new connection at most before anything is sent, for as long as it took to open. A
	// server that has too many resets it meanwhile, and the request has certainly not run.
	Settle time.Duration
}

// DoFresh is Do over a connection of choice.
func (p *Pool) DoFresh(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, ch Choice) (sent bool, err error) {
	for {
		c, fresh, err := p.take(ctx, ch)
		if err != nil {
			return false, err
		}
		reuse, err := p.exchange(ctx, c, req, resp, ch.Until)
		sent = c.sent // once put back, the connection belongs to another request
		c.keep = p.keep(resp)
		p.put(c, reuse && !resp.ConnectionClose() && !req.ConnectionClose())
		// An idle connection may have been closed by the server between the check and the write. As no byte was
		// accepted, the request certainly did not run and goes out on another connection.
		if err == nil || sent || fresh || ctx.Err() != nil || errors.Is(err, ErrLate) {
			return sent, err
		}
	}
}

// exchange sends req and reads the answer. reuse reports whether the connection may carry another request.
func (p *Pool) exchange(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response, until time.Time) (reuse bool, err error) {
	c.sent, c.until = false, until
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	reuse, err = p.talk(ctx, c, req, resp)
	// Once ctx has ended, its function may set the deadline at any moment, which would hit the next request.
	c.abandoned = !stop()
	if c.abandoned && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// Connections can go silent together, without a reset. Each of them would cost another request its time.
		p.dropIdle()
	}
	return !c.abandoned && err == nil && reuse, err
}

// talk sends req and reads the answer to it. Without an error, reuse reports whether the connection is still in step.
func (p *Pool) talk(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response) (reuse bool, err error) {
	var wrote chan error
	if len(req.Body()) > earlyBody {
		// A server may answer a long body before it has read it, and read on only when its answer has been taken.
		wrote = make(chan error, 1)
		var wg panics.Catcher
		go wg.Try(func() { wrote <- c.send(ctx, req) })
	} else if err := c.send(ctx, req); err != nil {
		// A refusal may lie behind the error: the server answers and closes before it has read the request.
		if !c.sent || ctx.Err() != nil || p.receive(c, req, resp) != nil {
			return false, err
		}
		return false, nil
	}
	err = p.receive(c, req, resp)
	reuse = err == nil && resp.Header.ContentLength() != identity && c.br.Buffered() == 0
	if wrote != nil {
		select {
		case werr := <-wrote:
			reuse = reuse && werr == nil
		default:
			// The rest of the body has nowhere to go. Closing ends the write, and the request belongs to the caller again.
			_ = c.Close()
			<-wrote
			reuse = false
		}
	}
	return reuse, err
}

// identity is what fasthttp shows as the length of an answer that ends with its connection.
const identity = -2

// earlyBody is the length of a body from which on it is written beside reading the answer. Shorter ones fit into the
// buffers of a connection.
const earlyBody = 16 << 10

// receive reads the answer to req, past whole answers to other requests.
func (p *Pool) receive(c *conn, req *fasthttp.Request, resp *fasthttp.Response) error {
	id := req.Header.Peek(p.echo())
	for n := 0; ; n++ {
		resp.Reset()
		if err := readHeader(resp, c.br); err != nil {
			return err
		}
		foreign := len(id) > 0 && !bytes.Equal(id, resp.Header.Peek(p.echo()))
		if foreign && (n >= p.Foreign || resp.Header.ContentLength() == identity) {
			return ErrMismatch
		}
		if !bodyless(req, resp) {
			if err := p.readBody(resp, c.br); err != nil {
				return err
			}
		}
		if !foreign {
			return nil
		}
	}
}

func bodyless(req *fasthttp.Request, resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return req.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readBody reads a body whose end the header, the chunks or, if permitted, the end of the connection show.
func (p *Pool) readBody(resp *fasthttp.Response, br *bufio.Reader) error {
	length := resp.Header.ContentLength()
	if length < -1 && !p.Unframed {
		return ErrLength
	}
	err := resp.ReadBody(br, maxAnswer)
	if err == nil && length == -1 {
		err = resp.Header.ReadTrailer(br)
	}
	if err != nil {
		return errors.Mark(err, ErrCut)
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
		return ErrLate
	}
	return err
}

// keep returns how long a connection may be idle after this answer. A server that states a time closes about then, so
// that a second less is safe.
func (p *Pool) keep(resp *fasthttp.Response) time.Duration {
	d := p.idle()
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

// take returns an idle connection that is still quiet, or a new one.
func (p *Pool) take(ctx context.Context, ch Choice) (c *conn, fresh bool, err error) {
	c, err = p.reserve(time.Now(), ch.MaxIdle)
	if c != nil || err != nil {
		return c, false, err
	}
	begun := time.Now()
	d := net.Dialer{Timeout: connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.drop(nil)
		return nil, false, err
	}
	if ch.Settle > 0 {
		time.Sleep(min(ch.Settle, time.Since(begun)))
		if work.IsClosed(nc) {
			_ = nc.Close()
			p.drop(nil)
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
		if idle := now.Sub(c.since); idle < min(c.keep, maxIdle) && c.br.Buffered() == 0 && work.IsReusable(c.Conn) {
			return c, nil
		}
		p.open--
		_ = c.Close()
	}
	if p.limit > 0 && p.open >= p.limit {
		return nil, ErrLimit
	}
	p.open++
	return nil, nil
}

func (p *Pool) put(c *conn, reuse bool) {
	if !reuse {
		p.drop(c)
		return
	}
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		_ = c.Close()
		return
	}
	p.idleConns = append(p.idleConns, c)
	// The oldest idle connection is closed when it has not been needed for a while.
	if old := p.idleConns[0]; c.since.Sub(old.since) >= p.idle() {
		p.idleConns = append(p.idleConns[:0], p.idleConns[1:]...)
		p.open--
		_ = old.Close()
	}
}

func (p *Pool) drop(c *conn) {
	if c != nil {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.abandoned {
			// What is still on its way is lost with a reset. Otherwise it could arrive when a partition heals, long after
			// its sender has given it up.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Broken drops the idle connections that the server has closed and reports whether there was one. A server that has
// ended closes all of them, so that what is sent next may reach another process at its address.
func (p *Pool) Broken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.idleConns {
		if work.IsReusable(c.Conn) {
			p.idleConns[n] = c
			n++
			continue
		}
		p.open--
		_ = c.Close()
	}
	broken := n < len(p.idleConns)
	p.idleConns = p.idleConns[:n]
	return broken
}

// dropIdle closes the idle connections.
func (p *Pool) dropIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleConns {
		_ = c.Close()
	}
	p.open -= len(p.idleConns)
	p.idleConns = nil
}

// Open returns the number of connections that are open or being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes idle connections now and the others after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.dropIdle()
}
