// Package accept takes callers' connections, within a limit and beyond failures that pass.
package accept

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pause is the time between two tries after a failure that passes. Requests end within tens of milliseconds, and each may
	// free a descriptor.
	pause = 20 * time.Millisecond
	// refusalTimeout bounds the write of Full, which fits into an empty send buffer.
	refusalTimeout = 10 * time.Millisecond
	// crowded is the part of the limit from which on connections should not be kept between requests.
	crowded = 0.75
)

// passing are the errors that say nothing about the listener itself: there are too many descriptors or too little memory
// for now, or the remote side has gone already.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
}

// Listener is a listener that goes on after failures that pass and bounds the connections that are open at once. Fields are
// set before the first use.
type Listener struct {
	net.Listener
	// Most is the number of connections that are open at once; 0 means no limit.
	Most int
	// Full is written to a connection beyond the limit before it is closed.
	Full []byte
	// Failed is called with the first of several failures in a row, Resumed after the last one. Both may be nil.
	Failed  func(err error)
	Resumed func()

	open atomic.Int64
}

// conn is a connection that counts.
type conn struct {
	*net.TCPConn
	once sync.Once
	done func()
}

// Close closes the connection and frees its place.
func (c *conn) Close() error {
	defer c.once.Do(c.done)
	return c.TCPConn.Close()
}

// Crowded reports whether connections should be closed after their next answer, to leave places to others.
func (l *Listener) Crowded() bool {
	return l.Most > 0 && float64(l.open.Load()) >= crowded*float64(l.Most)
}

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.next()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if n := l.open.Add(1); l.Most <= 0 || n <= int64(l.Most) {
			return &conn{TCPConn: tcp, done: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		l.refuse(c)
	}
}

// next returns the next connection, or an error that lasts.
func (l *Listener) next() (net.Conn, error) {
	for failing := false; ; failing = true {
		c, err := l.Listener.Accept()
		if err != nil && errors.IsAny(err, passing...) {
			if !failing && l.Failed != nil {
				l.Failed(err)
			}
			time.Sleep(pause)
			continue
		}
		if failing && err == nil && l.Resumed != nil {
			l.Resumed()
		}
		return c, err
	}
}

// refuse closes a connection. The remote side may be gone, so that nothing depends on the outcome.
func (l *Listener) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write(l.Full)
	_ = c.Close()
}
