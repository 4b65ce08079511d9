package front

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/route"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

const (
	// smallBody is the length up to which an announced body is not counted by the budget.
	smallBody = 4 << 10
	// largeAnswer is the length from which an answer counts until it is written, in pieces of that length.
	largeAnswer = 64 << 10
	// overRetryAfter is the Retry-After time of bodies for which there is no memory: bodies that stall are cut within it.
	overRetryAfter = time.Second
	// lingerTime and maxLingerBytes bound the input that is discarded after a refusal in the middle of a body. Closing a socket
	// with unread input resets the connection, and the reset could overtake the answer.
	lingerTime     = time.Second
	maxLingerBytes = 256 << 10
)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	budget *intake.Budget
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, budget: l.budget}, nil
}

// conn counts a large answer until it is written.
type conn struct {
	net.Conn
	budget  *intake.Budget
	answer  atomic.Pointer[intake.Part] // nil unless a large answer is being written
	refused atomic.Bool                 // a body was refused, so that input is unread
	late    atomic.Bool                 // the last read timed out; the HTTP server's errors don't always tell
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("no socket")
	}
	return sc.SyscallConn()
}

func (c *conn) beginAnswer(n int) {
	if n >= largeAnswer {
		part := c.budget.Begin(time.Now(), false, func() { _ = c.SetWriteDeadline(time.Unix(1, 0)) })
		part.Add(int64(n))
		c.answer.Store(part)
	}
}

func (c *conn) endAnswer() {
	if part := c.answer.Swap(nil); part != nil {
		part.End()
	}
}

// Read reads the next request, so that the answer before it was written.
func (c *conn) Read(p []byte) (int, error) {
	c.endAnswer()
	n, err := c.Conn.Read(p)
	c.late.Store(errors.Is(err, os.ErrDeadlineExceeded))
	return n, err
}

// Write writes in pieces, so that the budget sees whether the caller reads.
func (c *conn) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = c.Conn.Write(p[n:min(len(p), n+largeAnswer)])
		n += m
		if part := c.answer.Load(); part != nil {
			part.Moved(m)
		}
	}
	return n, err
}

// Close closes the connection, after a refusal once the caller has had time to read it.
func (c *conn) Close() error {
	c.endAnswer()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.refused.Load() && w.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // ends when the caller closes
	}
	return c.Conn.Close()
}

// readBody reads the body of a request into a buffer of its own. release frees what the budget counts for it.
func (f *Frontend) readBody(c *fasthttp.RequestCtx) (release func(), err error) {
	h := &c.Request
	stream, length := h.BodyStream(), h.Header.ContentLength()
	if stream == nil {
		return func() {}, nil
	}
	if length >= 0 && length <= min(smallBody, f.cfg.MaxBody) {
		body := make([]byte, length)
		if _, err := io.ReadFull(stream, body); err != nil {
			return func() {}, err
		}
		h.SetBodyRaw(body)
		return func() {}, nil
	}
	part := f.cfg.Budget.Begin(time.Now(), true, func() { _ = c.Conn().SetReadDeadline(time.Unix(1, 0)) })
	body, err := part.ReadBody(stream, length, f.cfg.MaxBody)
	if err != nil {
		return part.End, err
	}
	part.Keep()
	h.SetBodyRaw(body)
	return part.End, nil
}

// refuse answers a request whose body was not read and closes the connection.
func (f *Frontend) refuse(c *fasthttp.RequestCtx, err error) {
	if conn, ok := c.Conn().(*conn); ok {
		conn.refused.Store(true)
		if conn.late.Load() && !errors.Is(err, intake.ErrOver) {
			err = os.ErrDeadlineExceeded
		}
	}
	writeError(&c.Response, "", f.bodyError(&c.Request, err))
	c.Response.SetConnectionClose()
}

func (f *Frontend) bodyError(h *fasthttp.Request, err error) *result.Error {
	e := &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusBadRequest, Reason: ReasonBadRequest, Cause: err}
	switch {
	case errors.Is(err, intake.ErrTooLong):
		e.Status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, intake.ErrOver):
		e.Status, e.Reason, e.RetryAfter = fasthttp.StatusServiceUnavailable, ReasonMemory, overRetryAfter
		t := f.cfg.Tables()
		if t == nil {
			e.Verdict = result.MayHaveRun
		} else if r := route.Find(t, string(h.Header.Method()), string(h.URI().Path())); r != nil && r.Once != nil {
			e.Verdict = result.MayHaveRun // it may be a resend of work that has run
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Unlike a malformed request, one sent too slowly may be a resend of work that has run.
		e.Status, e.Verdict = fasthttp.StatusRequestTimeout, result.MayHaveRun
	}
	return e
}
