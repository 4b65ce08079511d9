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

// session is one proxied connection: the opener's connection and the one to the target.
type session struct {
	proxy     *Proxy
	resetOnce sync.Once
	resetDone chan struct{} // closed when the session is reset

	mu               sync.Mutex
	conns            [2]*net.TCPConn // by the direction of writes to them; ToTarget is nil until dialled
	closedByHalfOpen [2]bool         // by direction, like conns
}

// queuedChunk is data read in one direction, to be written at due. Without data it marks the end of the stream: err is
// io.EOF after a regular close.
type queuedChunk struct {
	data []byte
	due  time.Time
	err  error
}

// maxQueuedChunks limits the chunks queued in one direction of a session.
const maxQueuedChunks = 64

const dialTimeout = 5 * time.Second

// errReset makes writeChunks reset the session.
var errReset = errors.New("connection reset by the proxy")

func (s *session) run() {
	defer s.proxy.remove(s)
	defer s.close()
	if !s.awaitConnectable() {
		return
	}
	s.proxy.mu.Lock()
	target := s.proxy.target
	s.proxy.mu.Unlock()
	c, err := net.DialTimeout("tcp", target.String(), dialTimeout)
	if err != nil {
		s.reset()
		return
	}
	s.mu.Lock()
	s.conns[ToTarget] = c.(*net.TCPConn)
	s.mu.Unlock()
	select {
	case <-s.resetDone:
		_ = c.Close()
		return
	default:
	}
	var tasks conc.WaitGroup
	for _, d := range []Direction{ToTarget, FromTarget} {
		chunks := make(chan queuedChunk, maxQueuedChunks)
		tasks.Go(func() { s.readChunks(d, chunks) })
		tasks.Go(func() { s.writeChunks(d, chunks) })
	}
	tasks.Wait()
}

// awaitNoCut waits until the direction is not cut. It returns false if the session was reset first, or if the sender
// reset its connection during the cut, since TCP does not retransmit after a reset.
func (s *session) awaitNoCut(d Direction) bool {
	for waited := false; ; waited = true {
		_, cut, changed := s.proxy.state(d)
		if !cut {
			return !waited || s.conns[1-d] == nil || !wasReset(s.conns[1-d])
		}
		select {
		case <-changed:
		case <-s.resetDone:
			return false
		}
	}
}

// wasReset reports whether the remote side of c has reset the connection, even if earlier data is still unread.
func wasReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	isReset := false
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			isReset = info.State == tcpStateClose
		}
	})
	return isReset || err != nil
}

// tcpStateClose is TCP_CLOSE in the kernel, the state of a connection that was reset.
const tcpStateClose = 7

// awaitConnectable waits until neither direction is cut. It returns false if the opener reset its connection meanwhile:
// the target must then receive nothing, whichever direction was cut.
func (s *session) awaitConnectable() bool {
	return s.awaitNoCut(ToTarget) && s.awaitNoCut(FromTarget) && !wasReset(s.conns[FromTarget])
}

func (s *session) readChunks(d Direction, out chan<- queuedChunk) {
	defer close(out)
	from := s.conns[1-d]
	for {
		buf := make([]byte, ChunkSize)
		n, err := from.Read(buf)
		f, _, _ := s.proxy.state(d)
		due := time.Now().Add(f.Delay)
		if n > 0 && !s.enqueue(out, queuedChunk{data: buf[:n], due: due}) {
			return
		}
		if err != nil {
			if !s.isHalfClosed(1 - d) {
				s.enqueue(out, queuedChunk{due: due, err: err})
			}
			return
		}
	}
}

func (s *session) enqueue(out chan<- queuedChunk, c queuedChunk) bool {
	select {
	case out <- c:
		return true
	case <-s.resetDone:
		return false
	}
}

// writeChunks forwards chunks. After an error it keeps receiving them, so that readChunks never blocks.
func (s *session) writeChunks(d Direction, in <-chan queuedChunk) {
	w := directionWriter{session: s, dir: d}
	for c := range in {
		if err := w.forward(c); err != nil {
			s.reset()
		}
	}
}

// directionWriter writes one direction of a session.
type directionWriter struct {
	session *session
	dir     Direction
	sent    int
	dropped bool // Fault.Drop has discarded bytes
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
	// Counted first, since the answer may arrive before the write returns.
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

func (s *session) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.resetDone:
		return false
	}
}

func (s *session) awaitLimiter(f Fault, n int) bool {
	r := f.Limiter.ReserveN(time.Now(), n)
	return r.OK() && s.sleep(r.Delay())
}

// closeHalf closes the connection that direction d writes to, and leaves the other one open.
func (s *session) closeHalf(d Direction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[d] != nil && !s.closedByHalfOpen[d] {
		s.closedByHalfOpen[d] = true
		_ = s.conns[d].Close()
	}
}

func (s *session) isHalfClosed(d Direction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedByHalfOpen[d]
}

// close closes both connections without a reset: the kernel still delivers what was written.
func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c != nil {
			_ = c.Close()
		}
	}
}

// reset resets both connections.
func (s *session) reset() {
	s.resetOnce.Do(func() { close(s.resetDone) })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}
