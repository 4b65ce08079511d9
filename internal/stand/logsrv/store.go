package logsrv

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// era is a restoration from an older copy. A stream has lost what it held from offset First on.
type era struct {
	number, first uint64
}

// Batch is the answer to a read. First is the oldest retained offset, and equals Next when nothing is retained.
type Batch struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

type entry struct {
	data []byte
	at   time.Time
}

type stream struct {
	first   uint64 // offset of entries[0]
	entries []entry
	changed chan struct{} // closed at the next append or restoration
	eras    []era         // oldest first
}

// store holds all streams. keep and age bound the records retained of each stream; 0 means no bound.
type store struct {
	keep int
	age  time.Duration

	mu         sync.Mutex
	streams    map[string]*stream
	era        uint64 // number of restorations
	restoredAt time.Time
}

func (s *store) open(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{first: 1, changed: make(chan struct{})}
		if s.era > 0 {
			st.eras = []era{{s.era, 1}}
		}
		s.streams[name] = st
	}
	return st
}

// condition is what an append requires. at is the offset that the first record must get, 0 for any.
type condition struct {
	era, at uint64
}

// append adds records if the condition holds, and returns the offset of the last.
func (s *store) append(now time.Time, name string, c condition, records ...[]byte) (offset uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.open(name)
	if c.era != s.era || c.at != 0 && c.at != st.next() {
		return 0, false
	}
	for _, data := range records {
		st.entries = append(st.entries, entry{data: bytes.Clone(data), at: now})
	}
	offset = st.next() - 1
	s.retain(now, st)
	st.wake()
	return offset, true
}

// restore replaces all streams by a copy of some time ago and begins an era.
func (s *store) restore(now time.Time, ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.restoredAt = now
	for _, st := range s.streams {
		n := len(st.entries)
		for n > 0 && now.Sub(st.entries[n-1].at) < ago {
			n--
		}
		st.entries = st.entries[:n]
		st.eras = append(st.eras, era{s.era, st.next()})
		st.wake()
	}
}

// erasOf returns the eras of a stream, and the age of the newest.
func (s *store) erasOf(now time.Time, name string) ([]era, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.open(name).eras), now.Sub(s.restoredAt)
}

func (s *store) isRestored() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era > 0
}

func (st *stream) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// read returns at most limit records from offset from on, and a channel that is closed at the next append.
func (s *store) read(now time.Time, name string, from uint64, limit int) (Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.open(name)
	s.retain(now, st)
	b := Batch{First: st.first, Next: st.next(), Records: []Record{}}
	for offset := max(from, st.first); offset < b.Next && len(b.Records) < limit; offset++ {
		b.Records = append(b.Records, Record{Offset: offset, Data: st.entries[offset-st.first].data})
	}
	return b, st.changed
}

// trim drops all records of a stream below an offset.
func (s *store) trim(name string, below uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.open(name)
	if n := min(below, st.next()); n > st.first {
		st.drop(n - st.first)
	}
}

// ranges returns the first and next offset of each stream.
func (s *store) ranges() map[string][2]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][2]uint64, len(s.streams))
	for name, st := range s.streams {
		out[name] = [2]uint64{st.first, st.next()}
	}
	return out
}

func (s *store) retain(now time.Time, st *stream) {
	n := 0
	if s.keep > 0 {
		n = max(0, len(st.entries)-s.keep)
	}
	for s.age > 0 && n < len(st.entries) && now.Sub(st.entries[n].at) > s.age {
		n++
	}
	st.drop(uint64(n))
}

func (st *stream) next() uint64 { return st.first + uint64(len(st.entries)) }

func (st *stream) drop(n uint64) {
	clear(st.entries[:n])
	st.entries = st.entries[n:]
	st.first += n
}
