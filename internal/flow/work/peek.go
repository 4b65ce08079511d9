package work

import (
	"net"
	"syscall"
)

// socketState is the state of a socket as far as peek can see it.
type socketState uint8

const (
	idle        socketState = iota // open, no unread input
	unreadInput                    // open, unread input
	closed                         // closed or reset by the remote side
	unknown                        // c is not a syscall.Conn
)

// IsClosed reports whether the remote side has closed or reset c, or has only shut down its sending direction, which
// looks the same. It does not consume input.
func IsClosed(c net.Conn) bool { return peek(c) == closed }

// IsReusable reports whether c is open and has no unread input, or is no socket. Unread input on an idle connection
// belongs to no request or to an earlier one, so the connection must not be used.
func IsReusable(c net.Conn) bool {
	s := peek(c)
	return s == idle || s == unknown
}

func peek(c net.Conn) socketState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closed
	}
	var (
		buf  [1]byte
		n    int
		rerr error
	)
	err = raw.Control(func(fd uintptr) {
		n, _, rerr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return closed
	case rerr == syscall.EAGAIN || rerr == syscall.EINTR:
		return idle
	case rerr != nil || n == 0:
		return closed
	default:
		return unreadInput
	}
}
