package work

import (
	"net"
	"syscall"
)

// socket states as far as a peek shows them.
type state uint8

const (
	quiet   state = iota // open, no unread input
	input                // open, unread input
	closed               // closed or reset by the remote side
	unknown              // no socket
)

// Broken reports whether the remote side has closed or reset c. It does not consume input. A side that has only
// shut down its sending direction looks the same and is reported as closed.
func Broken(c net.Conn) bool { return peek(c) == closed }

// Quiet reports whether c is open and has no unread input. An idle connection that is not quiet must not be used:
// its next bytes belong to no request or to an earlier one.
func Quiet(c net.Conn) bool {
	s := peek(c)
	return s == quiet || s == unknown
}

func peek(c net.Conn) state {
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
		return quiet
	case rerr != nil || n == 0:
		return closed
	default:
		return input
	}
}
