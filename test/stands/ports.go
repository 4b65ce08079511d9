package stands

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Ports are handed out below the range from which the kernel takes those of listeners and outgoing connections of other tests:
// processes of these go on connecting to ports that they had. Each test process owns whole blocks.
const (
	firstPort = 10000
	blockSize = 500
	blocks    = 40
)

// portBlocks are the blocks of a test process.
type portBlocks struct {
	sync.Mutex
	owned []int
	marks []net.PacketConn // open until the process ends
	next  int              // port within the blocks that is handed out next
}

var freePorts portBlocks

// nextPort returns an address that no other call in this or another test process gets, unless all ports were used.
func (p *portBlocks) nextPort() (netip.AddrPort, error) {
	p.Lock()
	defer p.Unlock()
	if p.next == len(p.owned)*blockSize && !p.claimBlock() {
		if p.next = 0; len(p.owned) == 0 {
			return netip.AddrPort{}, errors.New("all blocks of ports are taken")
		}
	}
	port := firstPort + p.owned[p.next/blockSize]*blockSize + p.next%blockSize
	p.next++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)), nil
}

// maxPortTries bounds how many ports are tried for one use. A port that was just closed may be held by a process that is being
// started at the same time.
const maxPortTries = 200

// OnFreePort calls use with one address after another until it succeeds.
func OnFreePort(use func(netip.AddrPort) error) (err error) {
	for range maxPortTries {
		addr, err2 := freePorts.nextPort()
		if err2 != nil {
			return err2
		}
		if err = use(addr); err == nil {
			return nil
		}
	}
	return err
}

// FreePort returns an address on which nothing listens.
func FreePort() (free netip.AddrPort, err error) {
	err = OnFreePort(func(addr netip.AddrPort) error {
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			return err
		}
		free = addr
		return ln.Close()
	})
	return free, err
}

// claimBlock takes a block that no other process has, marked by a UDP socket at its first port.
func (p *portBlocks) claimBlock() bool {
	for b := range blocks {
		if mark, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", firstPort+b*blockSize)); err == nil {
			p.owned, p.marks = append(p.owned, b), append(p.marks, mark)
			return true
		}
	}
	return false
}

// listen listens on a free port.
func listen() (ln net.Listener, err error) {
	err = OnFreePort(func(addr netip.AddrPort) (err error) {
		ln, err = net.Listen("tcp", addr.String())
		return err
	})
	return ln, err
}
