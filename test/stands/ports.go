package stands

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports are handed out below the range from which the kernel takes those of listeners and outgoing connections of other tests:
// processes of these go on connecting to ports that they had.
var nextPort atomic.Uint32

// pidStride keeps apart the ports of test processes with successive ids, which take some hundred each.
const pidStride = 7919

func init() { nextPort.Store(uint32(os.Getpid()) * pidStride) }

// FreePort returns a loopback address that nothing else of this test process gets.
func FreePort() (netip.AddrPort, error) {
	const first, count, tries = 10000, 20000, 200
	var err error
	for range tries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(first+nextPort.Add(1)%count))
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr.String()); err == nil {
			return addr, ln.Close()
		}
	}
	return netip.AddrPort{}, err
}

// listen listens on a free port.
func listen() (net.Listener, error) {
	addr, err := FreePort()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", addr.String())
}
