package conns

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge means that an answer was longer than the pool reads, or that large answers already use the whole Budget.
var ErrTooLarge = errors.New("answer too large")

const (
	// freeAnswerBytes is the part of an answer that needs no budget, so that usual answers arrive while large ones use all of it.
	freeAnswerBytes = 64 << 10
	// defaultBudgetBytes is the budget of pools without one of their own.
	defaultBudgetBytes = 256 << 20
)

// Budget bounds the memory that large answers take while they are read: a faulty server may send bytes without end until its
// connection is closed. It may be shared by many pools.
type Budget struct {
	limit int64 // bytes
	used  atomic.Int64
}

var defaultBudget = NewBudget(defaultBudgetBytes)

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

func (b *Budget) take(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *Budget) free(n int64) { b.used.Add(-n) }

// Read counts the bytes of an answer and fails once they exceed what the pool may hold.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	over := c.received - freeAnswerBytes - c.budgeted
	if over <= 0 {
		return n, err
	}
	if c.received > maxAnswerSize || !c.budget.take(over) {
		return 0, ErrTooLarge // readers go on as long as they get bytes
	}
	c.budgeted += over
	return n, err
}

// resetReceived begins the count of the next answer.
func (c *conn) resetReceived() {
	c.budget.free(c.budgeted)
	c.received, c.budgeted = 0, 0
}
