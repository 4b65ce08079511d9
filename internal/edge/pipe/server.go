// Package pipe serves callers' connections on which requests may be sent before earlier ones are answered. It reads ahead,
// has repeatable requests served side by side and writes the answers in the order of the requests.
package pipe

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

// Config holds the settings and functions of a Server whose requests are decoded to T. All fields are required.
type Config[T any] struct {
	// Limits bound each connection.
	Limits
	// SpareBytes bounds the bytes that all connections together may hold before no further request is read behind another.
	SpareBytes int64
	// ReadBuffer is the longest header in bytes, MaxBody returns the length of the longest body.
	ReadBuffer int
	MaxBody    func() int
	// Budget counts long heads, bodies and answers. Bodies that exceed it fail with intake.ErrOver.
	Budget *intake.Budget
	// HeaderTimeout returns the bound on the reading of a header from its first byte. ReadTimeout bounds the reading of the body
	// after that, IdleTimeout the wait for the first byte, and WriteTimeout the writing of an answer.
	HeaderTimeout                          func() time.Duration
	ReadTimeout, IdleTimeout, WriteTimeout time.Duration

	// Read decodes a request. A body that is not nil is that of the request, which h lacks, and may be kept. once means that it must
	// not repeat, size is what it holds in bytes.
	Read func(h *fasthttp.Request, body []byte, now time.Time) (r T, once bool, size int)
	// Answer serves a request. ctx ends when the caller is gone.
	Answer func(ctx context.Context, r T, now time.Time) work.Answer
	// Write encodes an answer.
	Write func(h *fasthttp.Response, r T, a *work.Answer)
	// Malformed encodes the answer to input that is no request.
	Malformed func(h *fasthttp.Response, err error)
	// Done is called once for each request that was answered. behind is how long it and its answer waited for earlier ones.
	Done func(r T, behind time.Duration, now time.Time)
	// CloseAfterAnswer reports whether connections are to be closed with their next answer.
	CloseAfterAnswer func() bool
	// Panicked is called when a connection is closed because of a panic.
	Panicked func(err error)
}

// Server serves connections. Its methods may be called by many goroutines.
type Server[T any] struct {
	cfg        Config[T]
	heldBytes  atomic.Int64 // of all connections
	inProgress atomic.Int64

	mu       sync.Mutex
	ln       net.Listener
	conns    map[*conn[T]]struct{}
	stopping bool
	done     chan struct{} // closed when the server is stopping and has no connections
}

// New returns a server without a listener.
func New[T any](cfg Config[T]) *Server[T] {
	return &Server[T]{cfg: cfg, conns: make(map[*conn[T]]struct{}), done: make(chan struct{})}
}

// InProgress returns the number of requests that are being served.
func (s *Server[T]) InProgress() int { return int(s.inProgress.Load()) }

// HeldBytes returns the bytes of requests and answers that all connections hold.
func (s *Server[T]) HeldBytes() int64 { return s.heldBytes.Load() }

// Serve serves connections from ln until Stop, after which it returns nil. It must be called only once.
func (s *Server[T]) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		return ln.Close()
	}
	for {
		nc, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.stopping {
				return nil
			}
			return err
		}
		if c := s.addConn(nc); c != nil {
			go s.serveConn(c)
		}
	}
}

func (s *Server[T]) addConn(nc net.Conn) *conn[T] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		_ = nc.Close() // nothing was read from it
		return nil
	}
	c := newConn(s, nc)
	s.conns[c] = struct{}{}
	return c
}

func (s *Server[T]) serveConn(c *conn[T]) {
	defer s.removeConn(c)
	if p := panics.Try(c.serve); p != nil {
		s.cfg.Panicked(p.AsError())
	}
	c.abandon()
	_ = c.Close()
}

func (s *Server[T]) removeConn(c *conn[T]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.stopping && len(s.conns) == 0 {
		close(s.done)
	}
}

// Stop closes the listener and idle connections, and the others with their next answer. It waits for them until ctx ends.
func (s *Server[T]) Stop(ctx context.Context) error {
	if err := s.beginStop(); err != nil {
		return err
	}
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server[T]) beginStop() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil
	}
	s.stopping = true
	for c := range s.conns {
		c.stop()
	}
	if len(s.conns) == 0 {
		close(s.done)
	}
	if s.ln == nil {
		return nil
	}
	return s.ln.Close()
}
