package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store: a log of keyed topics with one partition each.
type Store struct {
	Address netip.AddrPort

	mu     sync.Mutex
	topics map[string][]entry
	grown  chan struct{}
}

type entry struct{ key, value string }

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	ln, addr, err := listen()
	if err != nil {
		return nil, err
	}
	s := &Store{Address: addr, topics: make(map[string][]entry), grown: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bramleycove/log-append", s.append)
	mux.HandleFunc("GET /bramleycove/log-read", s.read)
	mux.HandleFunc("GET /bramleycove/log-newest", s.newest)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// Put appends a record, as the operator and the backend servers do.
func (s *Store) Put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, []entry{{key, value}})
}

// add appends records and wakes the reads that wait. s.mu is held.
func (s *Store) add(topic string, es []entry) {
	s.topics[topic] = append(s.topics[topic], es...)
	close(s.grown)
	s.grown = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var es []entry
	for err == nil && len(body) > 0 {
		if len(body) < 5 || len(body)-4 < int(binary.BigEndian.Uint32(body)) {
			err = io.ErrUnexpectedEOF
			break
		}
		rec := body[4 : 4+int(binary.BigEndian.Uint32(body))]
		body = body[4+len(rec):]
		n := int(rec[0])
		if len(rec) < 1+n {
			err = io.ErrUnexpectedEOF
			break
		}
		es = append(es, entry{string(rec[1 : 1+n]), string(rec[1+n:])})
	}
	topic := r.URL.Query().Get("topic")
	switch {
	case err != nil:
		reply(w, http.StatusBadRequest, nil)
		return
	case topic == "keyed.op" || topic == "keyed.servers":
		reply(w, http.StatusForbidden, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	s.add(topic, es)
	reply(w, http.StatusOK, map[string]int{"offset": end, "end": end + len(es)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait-ms")) // optional
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		es, grown := s.topics[q.Get("topic")], s.grown
		s.mu.Unlock()
		if uint64(len(es)) > from || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(es)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, e := range es[min(from, uint64(len(es))):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(e.key)+len(e.value)))
				out = append(append(append(out, byte(len(e.key))), e.key...), e.value...)
			}
			_, _ = w.Write(out) // the caller may be gone
			return
		}
		select {
		case <-grown:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	es := s.topics[r.URL.Query().Get("topic")]
	last := make(map[string]int)
	for i, e := range es {
		last[e.key] = i
	}
	items := []map[string]any{}
	for i, e := range es {
		if last[e.key] == i && e.value != "" {
			items = append(items, map[string]any{"key": e.key, "value": base64.StdEncoding.EncodeToString([]byte(e.value)), "offset": i})
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "end": len(es)})
}
