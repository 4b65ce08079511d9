package work

import (
	"net"
	"syscall"
)

// socket states as far as a peek shows them.
type socketState uint8

const (
	idle        socketState = iota // open, no unread input
	unreadInput                    // open, unread input
	closed                         // closed or reset by the remote side
	unknown                        // no socket
)

// IsClosed reports whether the remote side has closed or reset c. It does not consume input. A side that has only
// shut down its sending direction looks the same and is reported as closed.
func IsClosed(c net.Conn) bool { return peek(c) == closed }

// IsReusable reports whether c is open and has no unread input. An idle connection that is not quiet must not be used:
// its next bytes belong to no request or to an earlier one.
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
