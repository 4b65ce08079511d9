package faults

import (
	"net"
	"sync/atomic"
	"time"
)

// Conns counts the connections of a listener and enforces a limit. Set Limit and SetupTime before Wrap.
type Conns struct {
	Limit     int64         // 0 means no limit
	SetupTime time.Duration // time that a new connection takes before its first request is read
	Open      atomic.Int64
	Peak      atomic.Int64 // largest value of Open so far
	Rejected  atomic.Int64 // connections beyond the limit
}

type countedListener struct {
	net.Listener
	*Conns
}

type countedConn struct {
	*net.TCPConn
	conns   *Conns
	readyAt time.Time
	closed  atomic.Bool
}

// Wrap returns a listener that counts and limits the connections of ln.
func (c *Conns) Wrap(ln net.Listener) net.Listener { return &countedListener{ln, c} }

// Accept returns the next connection within the limit. Those beyond it are reset.
func (l *countedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp := c.(*net.TCPConn)
		n := l.Open.Add(1)
		if l.Limit > 0 && n > l.Limit {
			l.Open.Add(-1)
			l.Rejected.Add(1)
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
			continue
		}
		l.Peak.Store(max(l.Peak.Load(), n)) // only this goroutine writes Peak
		return &countedConn{TCPConn: tcp, conns: l.Conns, readyAt: time.Now().Add(l.SetupTime)}, nil
	}
}

func (c *countedConn) Read(p []byte) (int, error) {
	if !c.readyAt.IsZero() {
		time.Sleep(time.Until(c.readyAt))
		c.readyAt = time.Time{}
	}
	return c.TCPConn.Read(p)
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.conns.Open.Add(-1)
	}
	return c.TCPConn.Close()
}
