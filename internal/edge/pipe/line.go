package pipe

// Limits bound what one connection may hold. The oldest request is always admitted.
type Limits struct {
	Requests int // requests that are read and not answered
	Bytes    int // their sizes, and those of answers that wait for earlier ones
}

// Line decides in which order the requests of one connection are started and their answers written. Requests are numbered from
// 0 as they were read. They start in this order: repeatable ones side by side, one that must not repeat alone. Answers are
// written in the same order. The zero value has no limits to admit by; set Limits first.
type Line struct {
	Limits
	entries []entry // requests whose answer is not written, oldest first
	first   int     // number of entries[0]
	started int     // number of the next request to start
	running int     // requests that were started and have no answer
	alone   bool    // the running request must not repeat
	held    int     // bytes
	closing bool
	stopped bool
}

type entry struct {
	once, last, answered bool
	size                 int
}

// HasRoom reports whether another request may be read. spare tells whether the instance has room for requests behind others.
func (l *Line) HasRoom(spare bool) bool {
	return len(l.entries) == 0 || spare && len(l.entries) < l.Requests && l.held < l.Bytes
}

// Add adds a request of size bytes and returns its number. once means that it must not repeat, last that the connection is
// to be closed after its answer. It must not be called after Stop or a last request.
func (l *Line) Add(once, last bool, size int) int {
	l.entries = append(l.entries, entry{once: once, last: last, size: size})
	l.held += size
	return l.first + len(l.entries) - 1
}

// Start returns the number of the next request to start, if one may start now. While the line is closing, one starts only
// if no other is left whose answer can close the connection: what lies behind that answer must not reach a server.
func (l *Line) Start() (n int, ok bool) {
	i := l.started - l.first
	if l.stopped || i >= len(l.entries) || l.closing && i > 0 {
		return 0, false
	}
	if once := l.entries[i].once; l.running > 0 && (once || l.alone) {
		return 0, false
	}
	l.alone = l.entries[i].once
	l.running++
	l.started++
	return l.started - 1, true
}

// Answer records that request n, which was started, has an answer of size bytes.
func (l *Line) Answer(n, size int) {
	e := &l.entries[n-l.first]
	e.answered = true
	e.size += size
	l.held += size
	l.running--
}

// Write removes the oldest request if it is answered. Its answer is to be written next. If last is set, the answer closes the
// connection: the line has stopped, and requests that were not started are dropped.
func (l *Line) Write() (last, ok bool) {
	if len(l.entries) == 0 || !l.entries[0].answered {
		return false, false
	}
	e := l.entries[0]
	l.entries = l.entries[:copy(l.entries, l.entries[1:])]
	l.first++
	l.held -= e.size
	last = e.last || (l.closing || l.stopped) && l.started == l.first
	if last {
		l.Stop()
	}
	return last, true
}

// Close lets the connection be closed with the answer to a request that was started, or else with the next answer.
func (l *Line) Close() { l.closing = true }

// Stop drops the requests that were not started.
func (l *Line) Stop() {
	l.stopped = true
	for _, e := range l.entries[l.started-l.first:] {
		l.held -= e.size
	}
	l.entries = l.entries[:l.started-l.first]
}

// First returns the number of the oldest request whose answer is not written.
func (l *Line) First() int { return l.first }

// Len returns the number of requests whose answer is not written.
func (l *Line) Len() int { return len(l.entries) }

// Held returns the bytes of requests and answers.
func (l *Line) Held() int { return l.held }

// Closing reports whether Close was called.
func (l *Line) Closing() bool { return l.closing }

// Stopped reports whether no further request starts.
func (l *Line) Stopped() bool { return l.stopped }

// Done reports whether the line has stopped and all its answers are written.
func (l *Line) Done() bool { return l.stopped && len(l.entries) == 0 }
