package pipe

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

const (
	// lingerTime bounds how long input is discarded after the last answer. Closing a socket with unread input resets the
	// connection, and the reset could overtake the answer.
	lingerTime = time.Second
	// maxLingerBytes bounds that input.
	maxLingerBytes = 256 << 10
	// headBuffer is the read buffer of a connection until a longer head arrives.
	headBuffer = 4 << 10
	// smallBody is the length up to which a body is read into the buffer of its connection. Most requests are shorter.
	smallBody      = 4 << 10
	continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n"
)

// conn is one connection. The goroutine that runs serve reads from it; whoever completes the oldest answer writes.
type conn[T any] struct {
	net.Conn
	s  *Server[T]
	br *bufio.Reader
	// headPart counts the read buffer of a long head, nil if it is short.
	headPart *intake.Part
	// ctx ends when the caller is gone.
	ctx   context.Context //nolint:containedctx // lives as long as the connection
	leave context.CancelFunc

	mu      sync.Mutex
	changed sync.Cond // signalled when the line has changed
	line    Line
	pending []*pending[T] // requests of the line
	counted int           // part of Server.heldBytes
	failed  bool          // a panic has left a request without an answer
	bw      *bufio.Writer // used by the goroutine that has set writing
	written *intake.Part  // a long answer that is being written; used by that goroutine too
	resp    fasthttp.Response
	writing bool
	reading bool // a request has begun to arrive
	broken  bool // nothing can be written any more
	// closed tells that an answer has closed the connection.
	closed atomic.Bool
}

// pending is a request whose answer is not written.
type pending[T any] struct {
	request                        T
	malformed                      error // set if the input was no request
	head                           bool
	answer                         work.Answer
	readAt, startedAt, completedAt time.Time
}

func newConn[T any](s *Server[T], nc net.Conn) *conn[T] {
	c := &conn[T]{Conn: nc, s: s, br: bufio.NewReaderSize(nc, min(headBuffer, s.cfg.ReadBuffer))}
	c.bw = bufio.NewWriter(writer[T]{c})
	c.changed.L = &c.mu
	c.line.Limits = s.cfg.Limits
	c.ctx, c.leave = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends or an answer closes it, and waits for the answers.
func (c *conn[T]) serve() {
	defer c.shrinkHead()
	h := new(fasthttp.Request)
	for c.readRequest(h) {
		if c.headPart != nil && c.br.Buffered() == 0 {
			c.shrinkHead()
			h = new(fasthttp.Request) // drops its buffers
		}
		c.wait(func() bool {
			return c.broken || c.line.Stopped() || c.line.HasRoom(c.s.heldBytes.Load() < c.s.cfg.SpareBytes)
		})
	}
	c.wait(func() bool { return c.broken || c.line.Done() && !c.writing })
	if c.closed.Load() && c.ctx.Err() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.br, maxLingerBytes) // ends when the caller closes
	}
}

// wait waits until ready holds, and notices if the caller leaves meanwhile.
func (c *conn[T]) wait(ready func() bool) {
	c.mu.Lock()
	now := ready()
	c.mu.Unlock()
	if now {
		return
	}
	defer work.WatchClose(c.Conn, c.callerGone)()
	c.mu.Lock()
	defer c.mu.Unlock()
	for !ready() {
		c.changed.Wait()
	}
}

// callerGone cancels what the caller no longer waits for.
func (c *conn[T]) callerGone() {
	c.leave()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopLine()
}

// stopLine drops the requests that were not started. c.mu is held.
func (c *conn[T]) stopLine() {
	c.line.Stop()
	c.pending = c.pending[:c.line.Len()]
	c.countBytes()
	c.changed.Broadcast()
}

// abandon ends the connection's part in the server. Requests in progress are completed, their answers dropped.
func (c *conn[T]) abandon() {
	c.leave()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	c.stopLine()
}

// countBytes brings Server.heldBytes and the budget up to date. What requests in progress hold counts until they are completed, also
// when the caller is gone. c.mu is held.
func (c *conn[T]) countBytes() {
	held := c.line.Held()
	if c.failed {
		held = 0
	}
	n := int64(held - c.counted)
	c.counted = held
	c.s.heldBytes.Add(n)
	c.s.cfg.Budget.Add(n)
}

// stop closes the connection with its next answer, or now if it is idle.
func (c *conn[T]) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line.Close()
	if !c.reading && c.line.Len() == 0 {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // ends awaitInput
	}
}

// awaitInput waits for the first byte of a request and reports whether one may be read.
func (c *conn[T]) awaitInput() bool {
	for {
		c.mu.Lock()
		idle := c.line.Len() == 0
		if c.line.Stopped() || idle && c.line.Closing() && c.br.Buffered() == 0 {
			c.stopLine()
			c.mu.Unlock()
			return false
		}
		_ = c.SetReadDeadline(time.Now().Add(c.s.cfg.IdleTimeout))
		c.mu.Unlock()
		_, err := c.br.Peek(1)
		c.mu.Lock()
		busy := c.line.Len() > 0
		if err == nil && !c.line.Stopped() {
			c.reading = true
			_ = c.SetReadDeadline(time.Now().Add(c.s.cfg.ReadTimeout))
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		if err == nil {
			return false
		}
		if timedOut := errors.Is(err, os.ErrDeadlineExceeded); !timedOut || !busy {
			if !timedOut {
				c.leave()
			}
			c.mu.Lock()
			c.stopLine()
			c.mu.Unlock()
			return false
		}
	}
}

// readRequest reads a request and adds it to the line. It reports whether more may follow.
func (c *conn[T]) readRequest(h *fasthttp.Request) bool {
	if !c.awaitInput() {
		return false
	}
	h.Reset()
	err := c.readHead(h)
	if err == nil && h.MayContinue() {
		err = c.sendContinue()
	}
	var (
		body []byte
		part *intake.Part
	)
	if err == nil {
		body, part, err = c.readBody(h)
	}
	if part != nil {
		defer part.End() // the line counts the request from then on
	}
	now := time.Now()
	p := &pending[T]{readAt: now, malformed: err}
	once, last, size := true, true, 0
	switch {
	case errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF):
		c.callerGone()
		return false
	case err == nil:
		last = h.ConnectionClose() || !h.Header.IsHTTP11()
		p.head = h.Header.IsHead()
		p.request, once, size = c.s.cfg.Read(h, body, now)
		size += cap(body) - len(body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.line.Stopped() {
		return false
	}
	c.line.Add(once, last, size)
	c.pending = append(c.pending, p)
	c.countBytes()
	c.start(now)
	return !last
}

// readHead reads the head of a request. The buffer grows only for a long one.
func (c *conn[T]) readHead(h *fasthttp.Request) error {
	c.readWithin(c.s.cfg.HeaderTimeout())
	err := h.Header.Read(c.br)
	if _, long := err.(*fasthttp.ErrSmallBuffer); long && c.br.Size() < c.s.cfg.ReadBuffer {
		part := c.s.cfg.Budget.Begin(time.Now(), true, c.stopReading)
		c.headPart = part
		if !part.Await(int64(c.s.cfg.ReadBuffer), nil) {
			return intake.ErrOver
		}
		begun, _ := c.br.Peek(c.br.Buffered())
		c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(begun), c.Conn), c.s.cfg.ReadBuffer)
		h.Reset()
		if err = h.Header.Read(c.br); err != nil && part.IsCut() {
			return intake.ErrOver
		}
		part.Keep()
	}
	c.readWithin(c.s.cfg.ReadTimeout)
	return err
}

// readWithin bounds the next reads, unless the connection ends.
func (c *conn[T]) readWithin(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.line.Stopped() {
		_ = c.SetReadDeadline(time.Now().Add(d))
	}
}

// shrinkHead returns to a short read buffer. Nothing may be buffered, unless no more is read.
func (c *conn[T]) shrinkHead() {
	if c.headPart != nil {
		c.headPart.End()
		c.headPart, c.br = nil, bufio.NewReaderSize(c.Conn, min(headBuffer, c.s.cfg.ReadBuffer))
	}
}

// stopReading makes reads fail until the next deadline is set.
func (c *conn[T]) stopReading() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// readBody reads the body of a request. Unless it is small, it has a buffer of its own, which part counts.
func (c *conn[T]) readBody(h *fasthttp.Request) (body []byte, part *intake.Part, err error) {
	length, maxBody := h.Header.ContentLength(), c.s.cfg.MaxBody()
	switch {
	case length > maxBody:
		return nil, nil, intake.ErrTooLong
	case length >= 0 && length <= smallBody || length == lengthNone:
		return nil, nil, h.ContinueReadBody(c.br, maxBody, false)
	}
	part = c.s.cfg.Budget.Begin(time.Now(), true, c.stopReading)
	if err = h.ContinueReadBodyStream(c.br, maxBody, false); err == nil {
		body, err = part.ReadBody(h.BodyStream(), length, maxBody)
	}
	h.ResetBody() // drops the stream and what it has read ahead
	return body, part, err
}

// lengthNone is fasthttp's length of a request without a body.
const lengthNone = -2

// sendContinue asks for the body of a request. The answers before it must be written first.
func (c *conn[T]) sendContinue() error {
	c.wait(func() bool { return c.broken || c.line.Stopped() || c.line.Len() == 0 && !c.writing })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken || c.line.Stopped() {
		return io.ErrUnexpectedEOF
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.s.cfg.WriteTimeout))
	_, err := io.WriteString(c.Conn, continueAnswer)
	return err
}

// start starts the requests whose turn has come. c.mu is held.
func (c *conn[T]) start(now time.Time) {
	if c.s.cfg.CloseAfterAnswer() {
		c.line.Close()
	}
	for {
		n, ok := c.line.Start()
		if !ok {
			return
		}
		p := c.pending[n-c.line.First()]
		p.startedAt = now
		c.s.inProgress.Add(1)
		go c.run(n, p)
	}
}

// run serves a request and writes the answers that are complete. A panic ends the connection.
func (c *conn[T]) run(n int, p *pending[T]) {
	defer c.s.inProgress.Add(-1)
	if caught := panics.Try(func() { c.complete(n, p) }); caught != nil {
		c.s.cfg.Panicked(caught.AsError())
		c.mu.Lock()
		c.failed = true
		c.mu.Unlock()
		c.abandon()
		_ = c.Close()
	}
}

func (c *conn[T]) complete(n int, p *pending[T]) {
	if p.malformed == nil {
		p.answer = c.s.cfg.Answer(c.ctx, p.request, p.startedAt)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.completedAt = time.Now()
	c.line.Answer(n, len(p.answer.Body))
	c.countBytes()
	c.start(p.completedAt)
	c.writeAnswers()
}

// writeAnswers writes the answers whose turn has come, unless another goroutine does. c.mu is held, but not during writes.
func (c *conn[T]) writeAnswers() {
	if c.writing {
		return
	}
	c.writing = true
	for {
		if c.s.cfg.CloseAfterAnswer() {
			c.line.Close()
		}
		last, ok := c.line.Write()
		if !ok {
			if c.broken || c.bw.Buffered() == 0 {
				break
			}
			c.write(c.bw.Flush)
			continue
		}
		p := c.pending[0]
		c.pending = c.pending[:copy(c.pending, c.pending[1:])]
		if last {
			c.pending = c.pending[:c.line.Len()]
		}
		if !c.broken {
			c.write(func() error { return c.encode(p, last) })
		}
		now := time.Now()
		if p.malformed == nil {
			c.s.cfg.Done(p.request, p.startedAt.Sub(p.readAt)+now.Sub(p.completedAt), now)
		}
		c.countBytes()
		c.start(now)
	}
	c.writing = false
	c.changed.Broadcast()
}

// write calls f without c.mu. If f fails, the connection is broken and the caller gone.
func (c *conn[T]) write(f func() error) {
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(c.s.cfg.WriteTimeout))
	var err error
	if caught := panics.Try(func() { err = f() }); caught != nil {
		c.s.cfg.Panicked(caught.AsError())
		err = caught.AsError()
	}
	if err != nil {
		c.leave()
	}
	c.mu.Lock()
	if err != nil {
		c.stopLine()
		c.broken = true
		c.stopReading()
	}
}

// encode writes the answer to p. The last one shuts down the sending direction of the connection.
func (c *conn[T]) encode(p *pending[T], last bool) error {
	c.resp.Reset()
	if p.malformed != nil {
		c.s.cfg.Malformed(&c.resp, p.malformed)
	} else {
		c.s.cfg.Write(&c.resp, p.request, &p.answer)
	}
	c.resp.SkipBody = p.head
	if last {
		c.resp.SetConnectionClose()
	}
	if n := len(p.answer.Body); n > writePiece {
		part := c.s.cfg.Budget.Begin(time.Now(), false, func() { _ = c.SetWriteDeadline(time.Unix(1, 0)) })
		defer part.End()
		c.written = part
		defer func() { c.written = nil }()
		part.Weigh(int64(n))
	}
	if err := c.resp.Write(c.bw); err != nil || !last {
		return err
	}
	if err := c.bw.Flush(); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // ends awaitInput
	c.closed.Store(true)
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// writePiece is the length in bytes of the writes of a long answer, after each of which it counts as moving.
const writePiece = 64 << 10

// writer writes to the connection in pieces.
type writer[T any] struct{ *conn[T] }

func (w writer[T]) Write(data []byte) (n int, err error) {
	for n < len(data) && err == nil {
		var m int
		m, err = w.Conn.Write(data[n:min(len(data), n+writePiece)])
		n += m
		if w.written != nil {
			w.written.Moved(m)
		}
	}
	return n, err
}
