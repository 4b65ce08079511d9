// Package intake bounds the bytes that callers and servers make an instance hold: request bodies and answers while they are
// read, requests while they are served, and answers until their callers have taken them.
package intake

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOver means that a body was cut or refused, as the bytes in use have reached the limit of the Budget.
var ErrOver = errors.New("too many bytes held")

const (
	// smallBytes is the size up to which a request or answer may use the reserve, so that usual ones go on while large ones use
	// the whole limit.
	smallBytes = 64 << 10
	// reserveShare is the divisor of the limit that gives the reserve.
	reserveShare = 8
	// stallTime and stallBytes tell when a remote side stalls: it moved fewer bytes than that for so long. Stalled parts are
	// cut only while the budget is used up. Links between regions carry several hundred times as much.
	stallTime  = time.Second
	stallBytes = 16 << 10
	// retryPause is the pause between attempts to take bytes.
	retryPause = 10 * time.Millisecond
	// MaxWait bounds the wait for bytes before a body is refused. Stalled parts are cut earlier.
	MaxWait = 1500 * time.Millisecond
	// memoryShare and memoryShares give the part of an instance's memory that is its budget. The rest is for state, connections and
	// garbage: a body of 64 MB in an instance of 184 MB leaves 40 MB of state and 29 MB of garbage below the collector's limit.
	memoryShare, memoryShares = 3, 8
	// defaultMemory is the memory of an instance that states none.
	defaultMemory = 256 << 20
)

// Default is the budget of everything that is given no other.
var Default = New(ForMemory(defaultMemory))

// ForMemory returns the limit of the budget of an instance with that many bytes of memory.
func ForMemory(bytes int64) int64 { return bytes / memoryShares * memoryShare }

// Budget counts bytes against a limit. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64
	used     int64
	parts    map[*Part]struct{}
	lastID   uint64
	searched time.Time // when parts to cut were last sought
	cut      uint64    // number of parts cut so far
	refused  uint64    // number of parts that got no bytes
}

// Part is one body that is being read or written. Its methods, except those of its Budget, are for one goroutine.
type Part struct {
	b       *Budget
	id      uint64
	stop    func()
	yields  bool
	recent  int   // bytes since movedAt
	held    int64 // taken from the budget
	weight  int64 // held, but counted by others
	movedAt time.Time
	isCut   bool
	pausing bool // waits for bytes itself
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, parts: make(map[*Part]struct{})}
}

// SetLimit changes the limit.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Limit returns the limit.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Refusals returns how many bodies and answers were refused bytes, and how many were cut to make room for others.
func (b *Budget) Refusals() (refused, cut uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused, b.cut
}

// Add counts n bytes that are held whatever the limit; a negative n frees them.
func (b *Budget) Add(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += n
}

// Begin adds a part. stop makes its reads or writes fail; it must not block. A part that yields may be cut for the sake of an
// older one. A part without stop is never cut. End must be called.
func (b *Budget) Begin(now time.Time, yields bool, stop func()) *Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	p := &Part{b: b, id: b.lastID, stop: stop, yields: yields, movedAt: now}
	b.parts[p] = struct{}{}
	return p
}

// End removes the part and frees its bytes.
func (p *Part) End() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.used -= p.held
	p.held = 0
	delete(p.b.parts, p)
}

// IsCut reports whether the part was cut.
func (p *Part) IsCut() bool {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	return p.isCut
}

// Moved records that n bytes were read or written.
func (p *Part) Moved(n int) {
	if p.recent += n; p.recent < stallBytes {
		return
	}
	p.recent = 0
	now := time.Now()
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.movedAt = now
}

// Weigh records that n bytes, which are counted already, become free soon after the part is cut.
func (p *Part) Weigh(n int64) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.weight = n
}

// Add counts n more bytes of the part, whatever the limit.
func (p *Part) Add(n int64) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.used += n
	p.held += n
}

// Keep ends the reading or writing of the part, which still holds its bytes. It is not cut any more.
func (p *Part) Keep() {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.yields, p.stop = false, nil
}

func (p *Part) size() int64 { return p.held + p.weight }

// Take takes n more bytes if the budget has them. Otherwise it cuts parts that make room for a later attempt: those that stall and,
// if that is not enough, those that yield and are younger.
func (p *Part) Take(now time.Time, n int64) bool {
	b := p.b
	b.mu.Lock()
	defer b.mu.Unlock()
	room := b.limit - b.used
	if p.held+n <= smallBytes {
		room += b.limit / reserveShare
	}
	if p.isCut || n > b.limit {
		return false
	}
	if n <= room {
		b.used += n
		p.held += n
		return true
	}
	if now.Sub(b.searched) >= retryPause {
		b.searched = now
		b.makeRoom(now, p, n-room)
	}
	return false
}

// makeRoom cuts parts that hold n bytes together. b.mu is held.
func (b *Budget) makeRoom(now time.Time, p *Part, n int64) {
	for q := range b.parts {
		if q.isCut {
			n -= q.size() // its reader or writer ends soon
		}
	}
	for q := range b.parts {
		if n > 0 && q != p && q.size() > 0 && q.stalls(now) {
			n -= b.cutPart(q)
		}
	}
	for n > 0 && (p.yields || p.stop == nil) {
		var last *Part
		for q := range b.parts {
			if q.yields && !q.isCut && q.size() > 0 && (q.id > p.id || !p.yields) && q != p && (last == nil || q.id > last.id) {
				last = q
			}
		}
		if last == nil {
			return
		}
		n -= b.cutPart(last)
	}
}

// stalls reports whether the remote side of p stalls. b.mu is held.
func (p *Part) stalls(now time.Time) bool {
	return p.stop != nil && !p.isCut && !p.pausing && now.Sub(p.movedAt) >= stallTime
}

// cutPart cuts p and returns what it holds. b.mu is held.
func (b *Budget) cutPart(p *Part) int64 {
	p.isCut = true
	b.cut++
	p.stop()
	return p.size()
}

// Await takes n more bytes as soon as the budget has them. It returns false after MaxWait, or as soon as the part is cut or
// done returns true.
func (p *Part) Await(n int64, done func() bool) bool {
	now := time.Now()
	if p.Take(now, n) {
		return true
	}
	p.setPausing(true)
	defer p.setPausing(false)
	for end := now.Add(MaxWait); now.Before(end) && n <= p.b.Limit() && !p.IsCut() && (done == nil || !done()); {
		time.Sleep(retryPause)
		now = time.Now()
		if p.Take(now, n) {
			return true
		}
	}
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.refused++
	return false
}

func (p *Part) setPausing(on bool) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.pausing, p.movedAt = on, time.Now()
}
