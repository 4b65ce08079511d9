package conns

import (
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/heads"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// ErrTooLarge means that an answer was longer than the pool reads, or that its Budget is used up.
var ErrTooLarge = errors.New("answer too large")

const (
	// freeAnswerBytes is the part of an answer that needs no budget, so that usual answers arrive while large ones use all of it.
	freeAnswerBytes = 64 << 10
	// unknownLengthCost is what a byte of an answer without a declared length takes in growing buffers.
	unknownLengthCost = 2
	// faultyShare is the divisor of the budget for what a single answer takes when it is found too large. One that takes less was
	// refused because of others.
	faultyShare = 2
)

// tooLarge returns the error of an answer that takes n bytes. It is marked as intake.ErrOver unless the answer itself is at fault.
func (c *conn) tooLarge(n int64) error {
	if n > maxAnswerSize || n > c.budget.Limit()/faultyShare {
		return ErrTooLarge
	}
	return errors.Mark(ErrTooLarge, intake.ErrOver)
}

// Read counts the bytes of an answer and fails once they exceed what the pool may hold. While the budget is used up, it waits.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	over := unknownLengthCost*(c.received-freeAnswerBytes) - c.budgeted
	if c.declared || over <= 0 {
		return n, err
	}
	if c.received > maxAnswerSize || !c.beginPart().Await(over, nil) {
		return 0, c.tooLarge(c.budgeted + over) // readers go on as long as they get bytes
	}
	c.budgeted += over
	return n, err
}

// beginPart returns the answer's part of the budget.
func (c *conn) beginPart() *intake.Part {
	if c.part == nil {
		c.part = c.budget.Begin(time.Now(), false, nil)
	}
	return c.part
}

// readDeclared reads a large body of declared length into a buffer of its own.
func (c *conn) readDeclared(resp *fasthttp.Response, length int) error {
	c.declared = true
	body, err := c.beginPart().ReadBody(c.br, length, maxAnswerSize)
	if errors.IsAny(err, intake.ErrOver, intake.ErrTooLong) {
		return c.tooLarge(int64(length))
	}
	resp.SwapBody(body)
	return err
}

// readChunks reads a body in chunks and its trailer. Read bounds its length.
func (c *conn) readChunks(resp *fasthttp.Response) error {
	var body bytes.Buffer
	for {
		size, err := heads.ReadChunkSize(c.br)
		if err != nil {
			return err
		}
		if size == 0 {
			resp.SwapBody(body.Bytes())
			return heads.SkipTrailer(c.br)
		}
		// Memory grows with what arrives, not with what is announced.
		if _, err := io.CopyN(&body, c.br, int64(size)); err != nil {
			return err
		}
		if err := heads.ReadChunkEnd(c.br); err != nil {
			return err
		}
	}
}

// resetReceived begins the count of the next answer.
func (c *conn) resetReceived() {
	if c.part != nil {
		c.part.End()
	}
	c.received, c.budgeted, c.part, c.declared = 0, 0, nil, false
}
