package front

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// full is the answer to a connection beyond the limit. What it asks for is not known: it may be a resend of work that
// has run, which must not be called not run.
const full = "HTTP/1.1 503 Service Unavailable\r\nBramleycove-Verdict: may-have-run\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n\r\n"

// bounded is a listener that keeps at most limit connections open and refuses the others with an answer.
type bounded struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// counted is a connection of a bounded listener.
type counted struct {
	*net.TCPConn
	once sync.Once
	done func()
}

// Close closes the connection and frees its place.
func (c *counted) Close() error {
	defer c.once.Do(c.done)
	return c.TCPConn.Close()
}

// Accept returns the next connection within the limit.
func (b *bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if b.open.Add(1) <= b.limit {
			return &counted{TCPConn: tcp, done: func() { b.open.Add(-1) }}, nil
		}
		b.open.Add(-1)
		_ = c.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
		_, _ = c.Write([]byte(full))
		_ = c.Close()
	}
}
