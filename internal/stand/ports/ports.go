// Package ports reserves loopback ports even while nothing listens on them, so that a test can make an address refuse
// connections, or restart a process at its old address, without another process taking the port meanwhile.
package ports

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Port is a reserved port. The kernel assigns it to no other process, and refuses connections to it until a listener made by
// Listen exists.
type Port struct {
	Addr netip.AddrPort
	fd   int
}

// Reserve reserves addr. Port 0 lets the kernel choose. Only IPv4 addresses are supported.
func Reserve(addr netip.AddrPort) (*Port, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	p := &Port{fd: fd}
	if err := p.bind(addr); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return p, nil
}

func (p *Port) bind(addr netip.AddrPort) error {
	if err := unix.SetsockoptInt(p.fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return err
	}
	if err := unix.Bind(p.fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		return err
	}
	name, err := unix.Getsockname(p.fd)
	if err != nil {
		return err
	}
	p.Addr = netip.AddrPortFrom(addr.Addr(), uint16(name.(*unix.SockaddrInet4).Port))
	return nil
}

// Release ends the reservation. Listeners on the port stay open.
func (p *Port) Release() error { return unix.Close(p.fd) }

// Listen listens at addr, which may be reserved by a Port of any process of the same user.
func Listen(addr netip.AddrPort) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); e != nil {
			return e
		}
		return err
	}}
	return cfg.Listen(context.Background(), "tcp4", addr.String())
}

// Listener is a net.Listener that can refuse connections for a time while it keeps its port. It may be used by many
// goroutines.
type Listener struct {
	port    *Port
	mu      sync.Mutex
	changed *sync.Cond
	ln      net.Listener // nil while connections are refused
	closed  bool
}

// NewListener listens at addr.
func NewListener(addr netip.AddrPort) (*Listener, error) {
	port, err := Reserve(addr)
	if err != nil {
		return nil, err
	}
	l := &Listener{port: port}
	l.changed = sync.NewCond(&l.mu)
	if err := l.SetRefusing(false); err != nil {
		_ = port.Release()
		return nil, err
	}
	return l, nil
}

// SetRefusing makes the kernel refuse connections, or accept them again. Connections accepted earlier stay open.
func (l *Listener) SetRefusing(refuse bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || refuse == (l.ln == nil) {
		return nil
	}
	if refuse {
		ln := l.ln
		l.ln = nil
		return ln.Close()
	}
	ln, err := Listen(l.port.Addr)
	if err != nil {
		return err
	}
	l.ln = ln
	l.changed.Broadcast()
	return nil
}

// Accept waits for the next connection, also while connections are refused. It fails with net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		ln := l.waitListener()
		if ln == nil {
			return nil, net.ErrClosed
		}
		c, err := ln.Accept()
		if err == nil {
			return c, nil
		}
		if l.waitListener() == ln {
			return nil, err
		}
	}
}

func (l *Listener) waitListener() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.ln == nil && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil
	}
	return l.ln
}

// Close closes the listener and releases its port.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.changed.Broadcast()
	if l.ln != nil {
		_ = l.ln.Close()
	}
	return l.port.Release()
}

// Addr returns the reserved address.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.port.Addr) }

// AddrPort returns the reserved address.
func (l *Listener) AddrPort() netip.AddrPort { return l.port.Addr }
