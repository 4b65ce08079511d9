package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// link is one connection through the proxy.
type link struct {
	proxy *Proxy
	once  sync.Once
	done  chan struct{} // closed when the link is reset

	mu   sync.Mutex
	ends [2]*net.TCPConn // Out: the target's connection, nil before it is opened; Back: the opener's
	dead [2]bool         // ends that HalfOpen closed
}

// chunk is a piece of a direction. A piece without data is the end of the direction; err tells a reset from a
// regular end.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// backlog is the number of chunks on their way in one direction.
const backlog = 64

const dialTimeout = 5 * time.Second

// errReset ends a link.
var errReset = errors.New("connection reset by the proxy")

func (l *link) run() {
	defer l.proxy.forget(l)
	defer l.close()
	if !l.handshake() {
		return
	}
	l.proxy.mu.Lock()
	target := l.proxy.target
	l.proxy.mu.Unlock()
	c, err := net.DialTimeout("tcp", target.String(), dialTimeout)
	if err != nil {
		l.reset()
		return
	}
	l.mu.Lock()
	l.ends[Out] = c.(*net.TCPConn)
	l.mu.Unlock()
	select {
	case <-l.done:
		_ = c.Close()
		return
	default:
	}
	var tasks conc.WaitGroup
	for _, d := range []Direction{Out, Back} {
		pieces := make(chan chunk, backlog)
		tasks.Go(func() { l.read(d, pieces) })
		tasks.Go(func() { l.write(d, pieces) })
	}
	tasks.Wait()
}

// passable waits until the direction is not cut. It returns false if the link ended first, or if the sender has reset
// its connection during the cut: what a sender has given up is not repeated any more.
func (l *link) passable(d Direction) bool {
	for waited := false; ; waited = true {
		_, cut, changed := l.proxy.state(d)
		if !cut {
			return !waited || l.ends[1-d] == nil || !wasReset(l.ends[1-d])
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// wasReset reports whether the remote side of c has reset the connection, though data that came before may be unread.
func wasReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	broken := false
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			broken = info.State == tcpClose
		}
	})
	return broken || err != nil
}

// tcpClose is the kernel's state of a connection that was reset.
const tcpClose = 7

// handshake waits until neither direction is cut. An opener that has given up meanwhile has never been connected, so that
// nothing it wrote is passed on, whichever direction was cut.
func (l *link) handshake() bool {
	return l.passable(Out) && l.passable(Back) && !wasReset(l.ends[Back])
}

func (l *link) read(d Direction, out chan<- chunk) {
	defer close(out)
	from := l.ends[1-d]
	for {
		buf := make([]byte, ChunkSize)
		n, err := from.Read(buf)
		f, _, _ := l.proxy.state(d)
		due := time.Now().Add(f.Delay)
		if n > 0 && !l.push(out, chunk{data: buf[:n], due: due}) {
			return
		}
		if err != nil {
			if !l.silent(1 - d) {
				l.push(out, chunk{due: due, err: err})
			}
			return
		}
	}
}

func (l *link) push(out chan<- chunk, c chunk) bool {
	select {
	case out <- c:
		return true
	case <-l.done:
		return false
	}
}

// write passes chunks on. It goes on taking them after an error, so that the reader never waits.
func (l *link) write(d Direction, in <-chan chunk) {
	w := writer{link: l, dir: d}
	for c := range in {
		if err := w.pass(c); err != nil {
			l.reset()
		}
	}
}

// writer is the state of one direction of a link.
type writer struct {
	link *link
	dir  Direction
	sent int
	lost bool // bytes were dropped
}

func (w *writer) pass(c chunk) error {
	if !w.link.sleep(time.Until(c.due)) || !w.link.passable(w.dir) {
		return errReset
	}
	f, _, _ := w.link.proxy.state(w.dir)
	if f.Drop {
		w.lost = true
		return nil
	}
	if w.lost || w.dir == Back && len(c.data) > 0 && w.link.proxy.takeSwallow() {
		return errReset
	}
	if len(c.data) == 0 {
		return w.end(c.err)
	}
	if f.Limit != nil && !w.link.limit(f, len(c.data)) {
		return errReset
	}
	if f.Reset > 0 && w.sent+len(c.data) >= f.Reset {
		_ = w.write(c.data[:max(0, f.Reset-w.sent)])
		return errReset
	}
	return w.write(c.data)
}

func (w *writer) write(data []byte) error {
	if w.link.silent(w.dir) {
		return nil
	}
	// Counted first, since the answer may be back before the write returns.
	count := &w.link.proxy.bytes[w.dir]
	count.Add(int64(len(data)))
	n, err := w.link.ends[w.dir].Write(data)
	w.sent += n
	count.Add(int64(n - len(data)))
	if w.link.silent(w.dir) {
		return nil
	}
	return err
}

func (w *writer) end(err error) error {
	if !errors.Is(err, io.EOF) {
		return errReset
	}
	if !w.link.silent(w.dir) {
		_ = w.link.ends[w.dir].CloseWrite()
	}
	return nil
}

func (l *link) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.done:
		return false
	}
}

func (l *link) limit(f Fault, n int) bool {
	r := f.Limit.ReserveN(time.Now(), n)
	return r.OK() && l.sleep(r.Delay())
}

// half closes the end in direction d without telling the other one.
func (l *link) half(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ends[d] != nil && !l.dead[d] {
		l.dead[d] = true
		_ = l.ends[d].Close()
	}
}

func (l *link) silent(d Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead[d]
}

// close closes both ends in the regular way: the kernel still delivers what was written.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.ends {
		if c != nil {
			_ = c.Close()
		}
	}
}

// reset ends the link with a reset of both ends.
func (l *link) reset() {
	l.once.Do(func() { close(l.done) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.ends {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}
