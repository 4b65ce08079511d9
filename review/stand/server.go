package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 870 * time.Millisecond
	// queueLength is how many requests a server queues beside those at work.
	queueLength = 12
	slots       = 3
)

// Server is a stand-in of a backend server.
type Server struct {
	ID, Service, Zone string
	Address           netip.AddrPort
	Work              time.Duration // of each request

	store  *Store
	record *Record
	born   int64
	slots  chan struct{}
	http   *http.Server
	ended  chan struct{} // closed when the process has crashed
	// crashes says whether a request makes the process crash once it has sent the first part of the answer. It may be nil.
	crashes func(r *http.Request) bool
	// onCrash is called once after the crash.
	onCrash func()

	mu     sync.Mutex
	down   bool
	busy   int
	holds  []hold
	fences []hold
}

// hold is a range of keys with the fencing token and the end of its lease.
type hold struct {
	First int     `json:"from"`
	Last  int     `json:"target"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold-s"`
	until time.Time
}

// NewServer starts a server that registers itself with every heartbeat.
func NewServer(store *Store, record *Record, id, service, zone string, work time.Duration) (*Server, error) {
	s := &Server{ID: id, Service: service, Zone: zone, Work: work, store: store, record: record}
	return s, s.Start()
}

// Start listens on a free port and registers the server.
func (s *Server) Start() error {
	ln, addr, err := listen()
	if err != nil {
		return err
	}
	s.Address, s.born, s.slots, s.ended = addr, time.Now().UnixMilli(), make(chan struct{}, slots), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bramleycove/grant", s.grant)
	mux.HandleFunc("POST /bramleycove/release", s.release)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Bramleycove-Instance-Id", s.ID) })
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(ln) }()
	go func() {
		for seq := 1; ; seq++ {
			s.register(seq)
			select {
			case <-s.ended:
				// The store removes the entry after three heartbeats of silence.
				time.Sleep(3 * heartbeat)
				s.store.Put("keyed.servers", s.ID, "")
				return
			case <-time.After(heartbeat):
			}
		}
	}()
	return nil
}

// crash sends the first part of an answer and ends the process: its listener and all its connections.
func (s *Server) crash(w http.ResponseWriter, id string) {
	conn, bw, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\nX-Bramleycove-Request-Id: %s\r\nX-Bramleycove-Server-Stamp: %s.%s\r\nContent-Length: 1000\r\n\r\npart", id, s.ID, id)
		_ = bw.Flush()
	}
	s.mu.Lock()
	first := !s.down
	s.down = true
	s.mu.Unlock()
	if first {
		s.record.Note("crash of %s", s.ID)
		close(s.ended)
		_ = s.http.Close()
		s.onCrash()
	}
	if err == nil {
		_ = conn.Close()
	}
}

func (s *Server) register(seq int) {
	value, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Address.String(), "zone": s.Zone, "version": "v1", "slots": slots, "state": "ready", "cold-left-s": 0,
		"seq": seq, "born": s.born,
	})
	if err == nil {
		s.store.Put("keyed.servers", s.ID, string(value))
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var h hold
	arrival := time.Now()
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil || h.Hold <= 0 || h.First > h.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.until = arrival.Add(time.Duration(h.Hold * float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.fences {
		if f.First <= h.Last && h.First <= f.Last && f.Fence > h.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	s.drop(h)
	s.holds, s.fences = append(s.holds, h), append(s.fences, h)
}

// drop ends the holds of a range; parts outside it go on. s.mu is held.
func (s *Server) drop(r hold) {
	var kept []hold
	for _, h := range s.holds {
		for _, part := range [][2]int{{h.First, min(h.Last, r.First-1)}, {max(h.First, r.Last+1), h.Last}} {
			if part[0] <= part[1] {
				n := h
				n.First, n.Last = part[0], part[1]
				kept = append(kept, n)
			}
		}
	}
	s.holds = kept
}

func (s *Server) release(w http.ResponseWriter, r *http.Request) {
	var h hold
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.drop(h)
	s.mu.Unlock()
	w.Header().Set("X-Bramleycove-Handover", fmt.Sprintf("%s-%d", s.ID, h.Fence))
}

func (s *Server) holdsKey(key int, now time.Time) bool {
	for _, h := range s.holds {
		if h.First <= key && key <= h.Last && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id, expect := r.Header.Get("X-Bramleycove-Request-Id"), r.Header.Get("X-Bramleycove-Expect-Instance")
	w.Header().Set("X-Bramleycove-Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body) // a body cut short shows in the answer's failure
	refuse := func(status int) {
		w.Header().Set("X-Bramleycove-Not-Run", "1")
		w.WriteHeader(status)
	}
	key, err := strconv.Atoi(r.Header.Get("X-Bramleycove-Shard-Key"))
	s.mu.Lock()
	switch {
	case expect != "" && expect != s.ID, err == nil && !s.holdsKey(key, time.Now()):
		s.mu.Unlock()
		refuse(http.StatusMisdirectedRequest)
		return
	case s.busy >= slots+queueLength:
		s.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	s.busy++
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.record.Run(id, s.ID, r.Method+" "+r.RequestURI)
	time.Sleep(s.Work)
	<-s.slots
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
	if s.crashes != nil && s.crashes(r) {
		s.crash(w, id)
		return
	}
	w.Header().Set("X-Bramleycove-Server-Stamp", s.ID+"."+id)
	_, _ = fmt.Fprintf(w, "%s by %s\n", id, s.ID) // the caller may be gone
}
