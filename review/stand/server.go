package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeat = 870 * time.Millisecond
	// queueLength is how many requests a server queues beside those at work.
	queueLength = 12
	slots       = 3
)

// Server is a stand-in of a backend server of a service without keys.
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

	mu   sync.Mutex
	down bool
	busy int
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
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Bramleycove-Instance-Id", s.ID) })
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(ln) }()
	go func() {
		for seq := 1; ; seq++ {
			register(s.store, s.ID, s.Service, s.Address, s.Zone, seq, s.born)
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

// register writes a server's entry into the store.
func register(store *Store, id, service string, addr netip.AddrPort, zone string, seq int, born int64) {
	value, err := json.Marshal(map[string]any{
		"service": service, "address": addr.String(), "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold-left-s": 0,
		"seq": seq, "born": born,
	})
	if err == nil {
		store.Put("keyed.servers", id, string(value))
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id, expect := r.Header.Get("X-Bramleycove-Request-Id"), r.Header.Get("X-Bramleycove-Expect-Instance")
	w.Header().Set("X-Bramleycove-Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body) // a body cut short shows in the answer's failure
	refuse := func(status int) {
		w.Header().Set("X-Bramleycove-Not-Run", "1")
		w.WriteHeader(status)
	}
	s.mu.Lock()
	switch {
	case expect != "" && expect != s.ID:
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
