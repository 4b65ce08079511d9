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

// session is one connection through the proxy.
type session struct {
	proxy     *Proxy
	resetOnce sync.Once
	resetDone chan struct{} // closed when the link is reset

	mu               sync.Mutex
	conns            [2]*net.TCPConn // Out: the target's connection, nil before it is opened; Back: the opener's
	closedByHalfOpen [2]bool         // ends that HalfOpen closed
}

// queuedChunk is a piece of a direction. A piece without data is the end of the direction; err tells a reset from a
// regular end.
type queuedChunk struct {
	data []byte
	due  time.Time
	err  error
}

// maxQueuedChunks is the number of chunks on their way in one direction.
const maxQueuedChunks = 64

const dialTimeout = 5 * time.Second

// errReset ends a link.
var errReset = errors.New("connection reset by the proxy")

func (l *session) run() {
	defer l.proxy.remove(l)
	defer l.close()
	if !l.awaitConnectable() {
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
	l.conns[ToTarget] = c.(*net.TCPConn)
	l.mu.Unlock()
	select {
	case <-l.resetDone:
		_ = c.Close()
		return
	default:
	}
	var tasks conc.WaitGroup
	for _, d := range []Direction{ToTarget, FromTarget} {
		pieces := make(chan queuedChunk, maxQueuedChunks)
		tasks.Go(func() { l.readChunks(d, pieces) })
		tasks.Go(func() { l.writeChunks(d, pieces) })
	}
	tasks.Wait()
}

// awaitNoCut waits until the direction is not cut. It returns false if the link ended first, or if the sender has reset
// its connection during the cut: what a sender has given up is not repeated any more.
func (l *session) awaitNoCut(d Direction) bool {
	for waited := false; ; waited = true {
		_, cut, changed := l.proxy.state(d)
		if !cut {
			return !waited || l.conns[1-d] == nil || !wasReset(l.conns[1-d])
		}
		select {
		case <-changed:
		case <-l.resetDone:
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
			broken = info.State == tcpStateClose
		}
	})
	return broken || err != nil
}

// tcpStateClose is the kernel's state of a connection that was reset.
const tcpStateClose = 7

// awaitConnectable waits until neither direction is cut. An opener that has given up meanwhile has never been connected, so that
// nothing it wrote is passed on, whichever direction was cut.
func (l *session) awaitConnectable() bool {
	return l.awaitNoCut(ToTarget) && l.awaitNoCut(FromTarget) && !wasReset(l.conns[FromTarget])
}

func (l *session) readChunks(d Direction, out chan<- queuedChunk) {
	defer close(out)
	from := l.conns[1-d]
	for {
		buf := make([]byte, ChunkSize)
		n, err := from.Read(buf)
		f, _, _ := l.proxy.state(d)
		due := time.Now().Add(f.Delay)
		if n > 0 && !l.enqueue(out, queuedChunk{data: buf[:n], due: due}) {
			return
		}
		if err != nil {
			if !l.isHalfClosed(1 - d) {
				l.enqueue(out, queuedChunk{due: due, err: err})
			}
			return
		}
	}
}

func (l *session) enqueue(out chan<- queuedChunk, c queuedChunk) bool {
	select {
	case out <- c:
		return true
	case <-l.resetDone:
		return false
	}
}

// writeChunks passes chunks on. It goes on taking them after an error, so that the reader never waits.
func (l *session) writeChunks(d Direction, in <-chan queuedChunk) {
	w := directionWriter{session: l, dir: d}
	for c := range in {
		if err := w.forward(c); err != nil {
			l.reset()
		}
	}
}

// directionWriter is the state of one direction of a link.
type directionWriter struct {
	session *session
	dir     Direction
	sent    int
	dropped bool // bytes were dropped
}

func (w *directionWriter) forward(c queuedChunk) error {
	if !w.session.sleep(time.Until(c.due)) || !w.session.awaitNoCut(w.dir) {
		return errReset
	}
	f, _, _ := w.session.proxy.state(w.dir)
	if f.Drop {
		w.dropped = true
		return nil
	}
	if w.dropped || w.dir == FromTarget && len(c.data) > 0 && w.session.proxy.takeDiscard() {
		return errReset
	}
	if len(c.data) == 0 {
		return w.closeWrite(c.err)
	}
	if f.Limiter != nil && !w.session.awaitLimiter(f, len(c.data)) {
		return errReset
	}
	if f.ResetAfter > 0 && w.sent+len(c.data) >= f.ResetAfter {
		_ = w.write(c.data[:max(0, f.ResetAfter-w.sent)])
		return errReset
	}
	return w.write(c.data)
}

func (w *directionWriter) write(data []byte) error {
	if w.session.isHalfClosed(w.dir) {
		return nil
	}
	// Counted first, since the answer may be back before the write returns.
	count := &w.session.proxy.bytesPassed[w.dir]
	count.Add(int64(len(data)))
	n, err := w.session.conns[w.dir].Write(data)
	w.sent += n
	count.Add(int64(n - len(data)))
	if w.session.isHalfClosed(w.dir) {
		return nil
	}
	return err
}

func (w *directionWriter) closeWrite(err error) error {
	if !errors.Is(err, io.EOF) {
		return errReset
	}
	if !w.session.isHalfClosed(w.dir) {
		_ = w.session.conns[w.dir].CloseWrite()
	}
	return nil
}

func (l *session) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.resetDone:
		return false
	}
}

func (l *session) awaitLimiter(f Fault, n int) bool {
	r := f.Limiter.ReserveN(time.Now(), n)
	return r.OK() && l.sleep(r.Delay())
}

// closeHalf closes the end in direction d without telling the other one.
func (l *session) closeHalf(d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns[d] != nil && !l.closedByHalfOpen[d] {
		l.closedByHalfOpen[d] = true
		_ = l.conns[d].Close()
	}
}

func (l *session) isHalfClosed(d Direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedByHalfOpen[d]
}

// close closes both ends in the regular way: the kernel still delivers what was written.
func (l *session) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// reset ends the link with a reset of both ends.
func (l *session) reset() {
	l.resetOnce.Do(func() { close(l.resetDone) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}
