// Package conns exchanges HTTP messages with one address over a bounded pool of connections. A connection carries one
// request at a time and is reused only after a complete answer. Failures report whether any byte of the request may have
// left this process, which determines the verdict.
package conns

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/plat/heads"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

var (
	// ErrLimit means that all permitted connections are in use.
	ErrLimit = errors.New("connection limit reached")
	// ErrNoLength means that an answer declares no length, so that a truncated answer would look complete.
	ErrNoLength = errors.New("answer without declared length")
	// ErrExpired means that the permission to send ended before the request was written.
	ErrExpired = errors.New("permission to send has ended")
	// ErrTruncated means that an answer ended before it was complete.
	ErrTruncated = errors.New("answer cut short")
	// ErrMismatch means that an answer does not echo the request's id.
	ErrMismatch = errors.New("answer of another request")
	// ErrReset means that the server reset a new connection before anything was sent.
	ErrReset = errors.New("new connection reset")
	// ErrRepeated means that an answer may be another copy of an earlier one on its connection.
	ErrRepeated = errors.New("copy of an earlier answer")
	// ErrNotOpen means that no open connection is idle, and the request must not go out on a new one.
	ErrNotOpen = errors.New("no open connection")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.New("connection pool closed")
)

const (
	// defaultConnectTimeout bounds a connection attempt; the latency to servers is at most 20 ms.
	defaultConnectTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is shorter than the keep-alive time of common servers (5 s and more): if a server closes a
	// connection during a write, it is unknown whether the request ran.
	defaultIdleTimeout = 4 * time.Second
	maxAnswerSize      = 64 << 20 // bytes
)

// Pool is a set of connections to one address. It is safe for concurrent use.
type Pool struct {
	Options
	addr     string
	maxConns int

	mu        sync.Mutex
	idleConns []*conn // most recently used last
	openCount int
	closed    bool
	refused   idRing // ids of refused requests
	// openedCount is how many connections were opened so far, attempts included.
	openedCount uint64
}

// Options adapt a pool to the protocol of its servers. The zero value is for bramleycove's own protocol.
type Options struct {
	// EchoHeader is the name of the header that answers echo; empty means work.RequestIDHeader. If it is set, a request without it gets a
	// connection of its own, as nothing tells its answer from a copy of an earlier one.
	EchoHeader string
	// AcceptUnframed accepts answers that end when the server closes the connection without a reset.
	AcceptUnframed bool
	// IsRefusal reports whether an answer says that its request did not run. If it is set, the second refusal of an id, or of a request
	// without one, fails with ErrRepeated: it may be a copy of the first, on whichever connection.
	IsRefusal func(*fasthttp.Response) bool
	// MaxForeign is how many complete answers to other requests are skipped before the expected one.
	MaxForeign int
	// ConnectTimeout bounds a connection attempt; 0 means 500 ms.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection may be used again; 0 means 4 s. A shorter time in a server's
	// Keep-Alive header takes precedence unless IgnoreKeepAlive is set.
	IdleTimeout time.Duration
	// IgnoreKeepAlive is for calls that come so regularly that connections are never idle for long.
	IgnoreKeepAlive bool
	// TokenHeader, unless empty, is the name of a header by which answers differ. It is for servers that echo no id and may send copies of
	// earlier answers on a connection. An answer with a token that the connection had before is no answer: the request, which must be
	// repeatable, is sent again on a new connection. After an answer without a token, the connection is not used again.
	TokenHeader string
	// Budget bounds the large answers that are being read; nil means intake.Default.
	Budget *intake.Budget
}

// New returns a pool of at most limit connections to addr; limit 0 means no limit.
func New(addr netip.AddrPort, limit int) *Pool {
	return &Pool{addr: addr.String(), maxConns: limit}
}

// NewWith is like New, for servers of another protocol.
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

// conn records whether any byte was handed to the operating system since the last request began.
type conn struct {
	net.Conn
	sent       bool
	sendBefore time.Time     // latest time for the first byte of a request; zero means no limit
	idleSince  time.Time     // when it was last put back into the pool
	maxIdle    time.Duration // how long the connection may be idle
	// abandoned means that ctx ended during the exchange.
	abandoned bool
	br        *bufio.Reader
	bw        *bufio.Writer
	budget    *intake.Budget
	tokens    map[string]bool // of the answers so far
	sentIDs   sentIDs
	// received counts the bytes of the answer in progress, budgeted what was taken from budget for them. part is set once anything
	// was taken. declared means that the body's buffer is counted instead of the bytes received.
	received, budgeted int64
	part               *intake.Part
	declared           bool
}

// Write records whether any byte of p was accepted. Only the first write of a request is bound by sendBefore: the permission
// to send applies to its start, and a long body may take longer than the rest of a lease.
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

// Do sends req and reads the answer into resp. sent reports whether any byte of the request was written. sendBefore, if
// not zero, is when the permission to send ends: no request is begun later. When ctx ends, the connection is closed, so
// that a late answer cannot reach another request.
func (p *Pool) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, sendBefore time.Time) (sent bool, err error) {
	return p.DoWith(ctx, req, resp, SendOptions{SendBefore: sendBefore, MaxIdle: p.idleTimeout()})
}

// SendOptions restrict which connection a request may use and when it may be sent.
type SendOptions struct {
	// SendBefore is when the permission to send ends; zero means never.
	SendBefore time.Time
	// MaxIdle is how long the connection may have been idle. A server may drop an idle one without notice; it is then
	// unknown whether a request sent on it ran.
	MaxIdle time.Duration
	// SettleTime limits the wait before sending on a new connection, which is as long as opening it took. A server with too
	// many connections resets it in that time, and the request certainly did not run.
	SettleTime time.Duration
	// OnlyOpen restricts the request to a connection that is open already. The process at its other end is the one that answered
	// on it before, whereas a new connection may reach a restarted server.
	OnlyOpen bool
	// onlyNew restricts the request to a new connection.
	onlyNew bool
	id      []byte // of the request
}

// DoWith is like Do with the given options.
func (p *Pool) DoWith(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, opts SendOptions) (sent bool, err error) {
	// While a long request is written, its header must not be read.
	opts.id = append([]byte(nil), req.Header.Peek(p.echoHeader())...)
	alone := p.EchoHeader != "" && len(opts.id) == 0
	opts.onlyNew = opts.onlyNew || alone
	for {
		c, isNew, err := p.acquire(ctx, opts)
		if err != nil {
			return false, err
		}
		reuse, err := p.exchange(ctx, c, req, resp, opts)
		sent = c.sent // once released, the connection may serve another request
		c.maxIdle = p.idleLimit(resp)
		p.release(c, reuse && !alone && !resp.ConnectionClose() && !req.ConnectionClose())
		if errors.Is(err, ErrRepeated) && p.TokenHeader != "" && !opts.onlyNew {
			opts.onlyNew = true
			if earlier, err := p.DoWith(ctx, req, resp, opts); err != nil {
				return sent || earlier, err
			}
			return true, nil
		}
		// An idle connection may have been closed by the server between the check and the write. As no byte was
		// accepted, the request certainly did not run and goes out on another connection.
		if err == nil || sent || isNew || ctx.Err() != nil || errors.Is(err, ErrExpired) {
			return sent, err
		}
	}
}

// exchange sends req and reads the answer. reuse reports whether the connection may carry another request.
func (p *Pool) exchange(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response, opts SendOptions) (reuse bool, err error) {
	c.sent, c.sendBefore = false, opts.SendBefore
	c.sentIDs.add(opts.id)
	defer c.resetReceived()
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	reuse, err = p.sendAndReceive(ctx, c, req, resp, opts.id)
	if err == nil && p.TokenHeader != "" {
		var isNew bool
		isNew, reuse = c.noteToken(string(resp.Header.Peek(p.TokenHeader)), reuse)
		if !isNew {
			err = ErrRepeated
		}
	}
	if err == nil && p.IsRefusal != nil && p.IsRefusal(resp) && !p.isFirstRefusal(opts.id) {
		err = ErrRepeated
	}
	// Once ctx has ended, its function may set the deadline at any moment, which would break the next request.
	c.abandoned = !stop()
	if c.abandoned && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// All connections may have died without a reset; each would make another request time out.
		p.CloseIdle()
	}
	return !c.abandoned && err == nil && reuse && !c.sentIDs.full(), err
}

// sendAndReceive sends req and reads the answer to it. Without an error, reuse reports whether both were complete, so that
// the connection may carry another request.
func (p *Pool) sendAndReceive(ctx context.Context, c *conn, req *fasthttp.Request, resp *fasthttp.Response, id []byte) (reuse bool, err error) {
	want := expected{id: id, head: req.Header.IsHead()}
	var writeDone chan error
	if len(req.Body()) > minConcurrentBody {
		// A server may answer before it has read a long body, and read the rest only once its answer has been read.
		writeDone = make(chan error, 1)
		var wg panics.Catcher
		go wg.Try(func() { writeDone <- c.send(ctx, req) })
	} else if err := c.send(ctx, req); err != nil {
		// The write may have failed because the server refused the request and closed before it had read all of it.
		if !c.sent || ctx.Err() != nil {
			return false, err
		}
		if untilClose, receiveErr := p.receive(c, want, resp); receiveErr != nil || untilClose {
			return false, err
		}
		return false, nil
	}
	untilClose, err := p.receive(c, want, resp)
	reuse = err == nil && !untilClose && c.br.Buffered() == 0
	if writeDone != nil {
		writeErr := c.endWrite(writeDone)
		reuse = reuse && writeErr == nil
		if err == nil && untilClose && writeErr != nil && !errors.Is(writeErr, net.ErrClosed) {
			// The system reports a reset once. If the write gets the report, reading ends as if the server had closed.
			err = errors.Mark(writeErr, ErrTruncated)
		}
	}
	return reuse, err
}

// endWrite closes the connection if the write of a request, which sends its error to done, is still in progress, and returns that
// error. The server no longer needs the rest of the body, and the caller may reuse the request afterwards.
func (c *conn) endWrite(done <-chan error) error {
	select {
	case err := <-done:
		return err
	default:
		_ = c.Close()
		return errors.CombineErrors(<-done, net.ErrClosed)
	}
}

// maxTokens bounds the tokens that a connection keeps.
const maxTokens = 100

// noteToken keeps the token of an answer. isNew reports whether the connection did not have it before, reuse whether a copy of the answer
// could be told apart from answers to further requests.
func (c *conn) noteToken(token string, reusable bool) (isNew, reuse bool) {
	if c.tokens[token] {
		return false, false
	}
	if c.tokens == nil {
		c.tokens = make(map[string]bool)
	}
	c.tokens[token] = true
	return true, reusable && token != "" && len(c.tokens) < maxTokens
}

// lengthUntilClose is fasthttp's length of an answer that ends with its connection.
const lengthUntilClose = -2

// minConcurrentBody is the body size in bytes above which the answer is read during the write. Smaller bodies fit into
// the buffers of a connection.
const minConcurrentBody = 16 << 10

// expected describes the answer to a request.
type expected struct {
	id   []byte // that the answer echoes, empty if there is none
	head bool   // the request's method is HEAD
}

// receive reads the answer to a request. It skips up to MaxForeign complete answers to other requests. untilClose reports whether the
// body ended with the connection.
func (p *Pool) receive(c *conn, want expected, resp *fasthttp.Response) (untilClose bool, err error) {
	for n := 0; ; n++ {
		resp.Reset()
		if err := heads.Read(resp, c.br); err != nil {
			return false, err
		}
		foreign, err := want.isForeign(resp.Header.PeekAll(p.echoHeader()))
		if err != nil {
			return false, err
		}
		untilClose = !want.hasNoBody(resp) && resp.Header.ContentLength() == lengthUntilClose
		if foreign && (n >= p.MaxForeign || untilClose) {
			return false, ErrMismatch
		}
		if !want.hasNoBody(resp) {
			if err := p.readBody(c, resp); err != nil {
				return untilClose, err
			}
		}
		if !foreign {
			return untilClose, nil
		}
	}
}

// isForeign reports whether an answer that echoes ids is one to another request. It fails if the answer names several requests.
func (e expected) isForeign(ids [][]byte) (bool, error) {
	if len(e.id) == 0 {
		return false, nil
	}
	same := 0
	for _, id := range ids {
		if bytes.Equal(id, e.id) {
			same++
		}
	}
	if same > 0 && same < len(ids) {
		return false, ErrMismatch
	}
	return same == 0, nil
}

func (e expected) hasNoBody(resp *fasthttp.Response) bool {
	status := resp.StatusCode()
	return e.head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readBody reads a body that ends by the header, by its chunks or, with AcceptUnframed, with the connection.
func (p *Pool) readBody(c *conn, resp *fasthttp.Response) (err error) {
	length := resp.Header.ContentLength()
	switch {
	case length < -1 && !p.AcceptUnframed:
		return ErrNoLength
	case length > freeAnswerBytes:
		err = c.readDeclared(resp, length)
	case length == -1:
		err = c.readChunks(resp)
	default:
		err = resp.ReadBody(c.br, maxAnswerSize)
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

// idleLimit returns how long a connection may be idle after this answer. A server closes it after about the time in its
// Keep-Alive header, so the limit is a second less.
func (p *Pool) idleLimit(resp *fasthttp.Response) time.Duration {
	d := p.idleTimeout()
	if p.IgnoreKeepAlive {
		return d
	}
	if _, after, ok := strings.Cut(string(resp.Header.Peek("Keep-Alive")), "timeout="); ok {
		digits, _, _ := strings.Cut(after, ",")
		if n, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil && n >= 0 {
			d = min(d, max(0, time.Duration(n)*time.Second-time.Second))
		}
	}
	return d
}

// acquire returns an idle connection on which nothing has arrived, or a new one.
func (p *Pool) acquire(ctx context.Context, opts SendOptions) (c *conn, isNew bool, err error) {
	c, err = p.reserve(time.Now(), opts)
	if c != nil || err != nil {
		return c, false, err
	}
	begun := time.Now()
	d := net.Dialer{Timeout: cmp.Or(p.ConnectTimeout, defaultConnectTimeout)}
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
	c = &conn{Conn: nc, bw: bufio.NewWriter(nil), budget: p.Budget}
	if c.budget == nil {
		c.budget = intake.Default
	}
	c.br = bufio.NewReader(c)
	return c, true, nil
}

func (p *Pool) reserve(now time.Time, opts SendOptions) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	for i := len(p.idleConns) - 1; i >= 0 && !opts.onlyNew; i-- {
		c := p.idleConns[i]
		if c.sentIDs.has(opts.id) {
			continue
		}
		p.idleConns = slices.Delete(p.idleConns, i, i+1)
		if idle := now.Sub(c.idleSince); idle < min(c.maxIdle, opts.MaxIdle) && c.br.Buffered() == 0 && work.IsReusable(c.Conn) {
			return c, nil
		}
		p.openCount--
		_ = c.Close()
	}
	if opts.OnlyOpen {
		return nil, ErrNotOpen
	}
	if p.maxConns > 0 && p.openCount >= p.maxConns {
		if len(p.idleConns) == 0 {
			return nil, ErrLimit
		}
		// The idle connections have carried the request before.
		_ = p.idleConns[0].Close()
		p.idleConns = slices.Delete(p.idleConns, 0, 1)
		p.openCount--
	}
	p.openCount++
	p.openedCount++
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
	// The longest idle connection is closed after the idle timeout.
	if old := p.idleConns[0]; c.idleSince.Sub(old.idleSince) >= p.idleTimeout() {
		p.idleConns = append(p.idleConns[:0], p.idleConns[1:]...)
		p.openCount--
		_ = old.Close()
	}
}

func (p *Pool) discard(c *conn) {
	if c != nil {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && c.abandoned {
			// A reset discards unsent data, which could otherwise arrive when a network partition heals, long after the sender
			// has given up.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	p.mu.Lock()
	p.openCount--
	p.mu.Unlock()
}

// HasOpen reports whether the server has left an idle connection open, so that the process which accepted it still runs.
func (p *Pool) HasOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleConns {
		if work.IsReusable(c.Conn) {
			return true
		}
	}
	return false
}

// isFirstRefusal reports whether no request with this id was refused before, and keeps the id.
func (p *Pool) isFirstRefusal(id []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused.add(id)
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
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

// Close closes idle connections now and the others when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}
