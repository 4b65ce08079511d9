// Package accept provides a listener that limits open connections and retries after transient errors.
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
	// retryPause is the pause after a transient error. Requests end within tens of milliseconds, and each may free a
	// file descriptor.
	retryPause = 20 * time.Millisecond
	// refusalTimeout bounds the write of FullAnswer, which fits into an empty send buffer.
	refusalTimeout = 10 * time.Millisecond
	// crowdedShare is the share of the limit from which connections should not be kept between requests.
	crowdedShare = 0.75
)

// transientErrors are errors that don't mean that the listener itself has failed: for now there are too many open files or
// too little memory, or the remote side has closed already.
var transientErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR,
}

// Listener retries Accept after transient errors and limits the open connections. Its exported fields must be set before
// the first use.
type Listener struct {
	net.Listener
	// MaxOpen limits the open connections; 0 means no limit.
	MaxOpen int
	// FullAnswer is written to a connection beyond the limit before it is closed.
	FullAnswer []byte
	// OnFailed is called with the first of consecutive transient errors, OnResumed with the next success. Both may be nil.
	OnFailed  func(err error)
	OnResumed func()

	openCount atomic.Int64
}

// countedConn is a connection that counts towards the limit until it is closed.
type countedConn struct {
	*net.TCPConn
	once    sync.Once
	release func()
}

// Close closes the connection and, the first time, stops counting it.
func (c *countedConn) Close() error {
	defer c.once.Do(c.release)
	return c.TCPConn.Close()
}

// Crowded reports whether connections should be closed after their next answer, to make room for others.
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

// acceptRetrying returns the next connection, or an error that is not transient.
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

// refuse writes FullAnswer and closes a connection. Errors are ignored, since the remote side may be gone.
func (l *Listener) refuse(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write(l.FullAnswer)
	_ = c.Close()
}
