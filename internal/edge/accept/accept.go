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
	// retryPause is the time between two tries after a failure that passes. Requests end within tens of milliseconds, and each may
	// free a descriptor.
	retryPause = 20 * time.Millisecond
	// refusalTimeout bounds the write of Full, which fits into an empty send buffer.
	refusalTimeout = 10 * time.Millisecond
	// crowdedShare is the part of the limit from which on connections should not be kept between requests.
	crowdedShare = 0.75
)

// transientErrors are the errors that say nothing about the listener itself: there are too many descriptors or too little memory
// for now, or the remote side has gone already.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
}

// Listener is a listener that goes on after failures that pass and bounds the connections that are open at once. Fields are
// set before the first use.
type Listener struct {
	net.Listener
	// MaxOpen is the number of connections that are open at once; 0 means no limit.
	MaxOpen int
	// FullAnswer is written to a connection beyond the limit before it is closed.
	FullAnswer []byte
	// OnFailed is called with the first of several failures in a row, Resumed after the last one. Both may be nil.
	OnFailed  func(err error)
	OnResumed func()

	openCount atomic.Int64
}

// countedConn is a connection that counts.
type countedConn struct {
	*net.TCPConn
	once    sync.Once
	release func()
}

// Close closes the connection and frees its place.
func (c *countedConn) Close() error {
	defer c.once.Do(c.release)
	return c.TCPConn.Close()
}

// Crowded reports whether connections should be closed after their next answer, to leave places to others.
func (l *Listener) Crowded() bool {
	return l.MaxOpen > 0 && float64(l.openCount.Load()) >= crowdedShare*float64(l.MaxOpen)
}

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptRetrying()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		if n := l.openCount.Add(1); l.MaxOpen <= 0 || n <= int64(l.MaxOpen) {
			return &countedConn{TCPConn: tcp, release: func() { l.openCount.Add(-1) }}, nil
		}
		l.openCount.Add(-1)
		l.refuse(c)
	}
}

// acceptRetrying returns the next connection, or an error that lasts.
func (l *Listener) acceptRetrying() (net.Conn, error) {
	for failing := false; ; failing = true {
		c, err := l.Listener.Accept()
		if err != nil && errors.IsAny(err, transientErrors...) {
			if !failing && l.OnFailed != nil {
				l.OnFailed(err)
			}
			time.Sleep(retryPause)
			continue
		}
		if failing && err == nil && l.OnResumed != nil {
			l.OnResumed()
		}
		return c, err
	}
}

// refuse closes a connection. The remote side may be gone, so that nothing depends on the outcome.
func (l *Listener) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write(l.FullAnswer)
	_ = c.Close()
}
