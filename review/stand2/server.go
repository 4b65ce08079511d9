package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"
)

const (
	heartbeat = 870 * time.Millisecond
	slots     = 3
	maxQueued = 12
	workTime  = 20 * time.Millisecond
	// slowClock is how much longer than hold-s a grant lasts by a clock that runs 2 % slow.
	slowClock = 1.02
)

// keyedPrefix begins the names of services that are divided by key.
const keyedPrefix = "keyed-"

func isKeyed(service string) bool { return strings.HasPrefix(service, keyedPrefix) }

// hold is a run of keys that a server holds, and when.
type hold struct {
	server      string
	first, last int
	fence       uint64
	from, until time.Time
}

// run is the beginning of a request at a server.
type run struct {
	request, server string
	key             int
	at              time.Time
}

// journal collects what all servers did.
type journal struct {
	mu    sync.Mutex
	holds []*hold
	runs  []run
}

// server is a stand-in of a backend server.
type server struct {
	id, service, zone string
	born              int64
	addr              string
	store             *store
	journal           *journal

	ln    net.Listener
	slots chan struct{}

	mu     sync.Mutex
	queued int
	holds  []*hold
	fences []hold
	seq    int
	// closeNext tells that the next answer to a grant closes its connection.
	closeNext bool
}

func newServer(st *store, j *journal, id, service, zone string) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, born: time.Now().UnixMilli(), addr: ln.Addr().String(), store: st, journal: j, ln: ln,
		slots: make(chan struct{}, slots),
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	go func() {
		for {
			s.register()
			time.Sleep(heartbeat)
		}
	}()
	return s, nil
}

// entry returns what a server says of itself.
func entry(service, addr, zone string, seq int, born int64) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-left-s":0,"seq":%d,"born":%d}`,
		service, addr, zone, slots, seq, born)
}

func (s *server) register() {
	s.mu.Lock()
	s.seq++
	text := entry(s.service, s.addr, s.zone, s.seq, s.born)
	s.mu.Unlock()
	s.store.put("keyed.servers", s.id, text)
}

// closeNextGrant makes the next answer to a grant close its connection, as answers do occasionally.
func (s *server) closeNextGrant() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeNext = true
}

// closesGrant reports whether the answer to a grant is to close its connection.
func (s *server) closesGrant() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.closeNext = false }()
	return s.closeNext
}

// ServeHTTP serves orders and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("X-Bramleycove-Expect-Instance"); expect != "" && expect != s.id {
		s.refuse(w, r, http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/bramleycove/grant":
		if s.closesGrant() {
			w.Header().Set("Connection", "close")
		}
		s.order(w, r, s.grant)
	case "/bramleycove/release":
		s.order(w, r, s.release)
	default:
		s.serve(w, r)
	}
}

// order is the body of grant and release calls.
type order struct {
	From   int     `json:"from"`
	Target int     `json:"target"`
	Fence  uint64  `json:"fence"`
	Hold   float64 `json:"hold-s"`
}

func (s *server) order(w http.ResponseWriter, r *http.Request, do func(now time.Time, w http.ResponseWriter, o order) int) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From < 0 || o.From > o.Target || o.Target > 65535 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.WriteHeader(do(time.Now(), w, o))
}

// grant takes keys. s.mu is held.
func (s *server) grant(now time.Time, _ http.ResponseWriter, o order) int {
	for _, f := range s.fences {
		if f.first <= o.Target && o.From <= f.last && f.fence > o.Fence {
			return http.StatusConflict
		}
	}
	s.drop(now, o.From, o.Target)
	s.keep(&hold{
		server: s.id, first: o.From, last: o.Target, fence: o.Fence, from: now,
		until: now.Add(time.Duration(o.Hold * slowClock * float64(time.Second))),
	})
	s.fences = append(s.fences, hold{first: o.From, last: o.Target, fence: o.Fence})
	return http.StatusOK
}

func (s *server) keep(h *hold) {
	s.holds = append(s.holds, h)
	s.journal.mu.Lock()
	defer s.journal.mu.Unlock()
	s.journal.holds = append(s.journal.holds, h)
}

// drop ends the holds of a run of keys; parts outside it go on. s.mu is held.
func (s *server) drop(now time.Time, first, last int) {
	old := s.holds
	s.holds = nil
	for _, h := range old {
		switch {
		case !now.Before(h.until):
		case h.last < first || h.first > last:
			s.holds = append(s.holds, h)
		default:
			rest := *h
			s.journal.mu.Lock()
			h.until = now
			s.journal.mu.Unlock()
			for _, part := range [][2]int{{rest.first, first - 1}, {last + 1, rest.last}} {
				if part[0] <= part[1] {
					n := rest
					n.first, n.last, n.from = part[0], part[1], now
					s.keep(&n)
				}
			}
		}
	}
}

// release drops keys. The stand-in answers at once, as its work takes 20 ms. s.mu is held.
func (s *server) release(now time.Time, w http.ResponseWriter, o order) int {
	s.drop(now, o.From, o.Target)
	w.Header().Set("X-Bramleycove-Handover", fmt.Sprintf("%s-%d-%d", s.id, o.Fence, now.UnixNano()))
	return http.StatusOK
}

func (s *server) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set("X-Bramleycove-Request-Id", r.Header.Get("X-Bramleycove-Request-Id"))
	w.Header().Set("X-Bramleycove-Not-Run", "1")
	w.WriteHeader(status)
}

// holdsKey reports whether the server holds a key. s.mu is held.
func (s *server) holdsKey(now time.Time, key int) bool {
	for _, h := range s.holds {
		if h.first <= key && key <= h.last && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Bramleycove-Request-Id")
	key, err := strconv.Atoi(r.Header.Get("X-Bramleycove-Shard-Key"))
	if err != nil || !isKeyed(s.service) {
		key = -1
	}
	now := time.Now()
	s.mu.Lock()
	status := 0
	switch {
	case key >= 0 && !s.holdsKey(now, key):
		status = http.StatusMisdirectedRequest
	case s.queued >= slots+maxQueued:
		status = http.StatusServiceUnavailable
	default:
		s.queued++
	}
	s.mu.Unlock()
	if status != 0 {
		s.refuse(w, r, status)
		return
	}
	s.slots <- struct{}{}
	s.journal.mu.Lock()
	s.journal.runs = append(s.journal.runs, run{id, s.id, key, time.Now()})
	s.journal.mu.Unlock()
	time.Sleep(workTime)
	<-s.slots
	s.mu.Lock()
	s.queued--
	s.mu.Unlock()
	w.Header().Set("X-Bramleycove-Request-Id", id)
	w.Header().Set("X-Bramleycove-Server-Stamp", s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s\n", s.id, id)
}
