package main

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
)

// defaultReadKB is how much a read returns at most if it names no bound.
const defaultReadKB = 1024

// record is one record of a keyed topic.
type record struct{ key, value string }

// store is a stand-in of the platform's metadata store with the three calls that the daemon makes.
type store struct {
	addr string

	mu     sync.Mutex
	topics map[string][]record
	grown  chan struct{} // closed and replaced by each append
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), topics: make(map[string][]record), grown: make(chan struct{})}
	srv := &fasthttp.Server{Handler: s.handle, Logger: quiet{}}
	go func() { _ = srv.Serve(ln) }()
	return s, nil
}

// quiet drops the lines of a server about connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// put writes a record as the operator or a backend server does.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, record{key, value})
}

// add appends records. s.mu is held.
func (s *store) add(topic string, rs ...record) {
	s.topics[topic] = append(s.topics[topic], rs...)
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *store) handle(h *fasthttp.RequestCtx) {
	topic := string(h.QueryArgs().Peek("topic"))
	switch string(h.Path()) {
	case "/bramleycove/log-append":
		s.append(h, topic)
	case "/bramleycove/log-read":
		s.read(h, topic)
	case "/bramleycove/log-newest":
		s.newest(h, topic)
	default:
		h.SetStatusCode(404)
	}
}

func reply(h *fasthttp.RequestCtx, status int, body map[string]any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = 500
	}
	h.SetStatusCode(status)
	h.SetContentType("application/json")
	h.SetBody(data)
}

func (s *store) append(h *fasthttp.RequestCtx, topic string) {
	if topic == "keyed.op" || topic == "keyed.servers" {
		h.SetStatusCode(403)
		return
	}
	var rs []record
	for body := h.PostBody(); len(body) >= 5; {
		n := 4 + int(binary.BigEndian.Uint32(body))
		rec := body[4:n]
		rs = append(rs, record{string(rec[1 : 1+int(rec[0])]), string(rec[1+int(rec[0]):])})
		body = body[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := string(h.QueryArgs().Peek("at")); at != "" && at != strconv.Itoa(end) {
		reply(h, 412, map[string]any{"end": end})
		return
	}
	s.add(topic, rs...)
	reply(h, 200, map[string]any{"offset": end, "end": end + len(rs)})
}

func (s *store) read(h *fasthttp.RequestCtx, topic string) {
	from, err := strconv.ParseUint(string(h.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		h.SetStatusCode(400)
		return
	}
	until := time.Now().Add(time.Duration(h.QueryArgs().GetUintOrZero("wait-ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		rs, grown := s.topics[topic], s.grown
		s.mu.Unlock()
		left := time.Until(until)
		if uint64(len(rs)) <= from && left > 0 {
			select {
			case <-grown:
			case <-time.After(left):
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(rs)))
		out = binary.BigEndian.AppendUint64(out, 0)
		most := 1024 * cmp.Or(h.QueryArgs().GetUintOrZero("max-kb"), defaultReadKB)
		for _, r := range rs[min(from, uint64(len(rs))):] {
			if size := len(r.key) + len(r.value); len(out) > 16 && len(out)+size > most {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
			out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
		}
		h.SetBody(out)
		return
	}
}

func (s *store) newest(h *fasthttp.RequestCtx, topic string) {
	const page, pageBytes = 500, 1 << 20
	after := string(h.QueryArgs().Peek("after"))
	s.mu.Lock()
	rs := s.topics[topic]
	s.mu.Unlock()
	last := make(map[string]int)
	for i, r := range rs {
		last[r.key] = i
	}
	var keys []string
	for key, i := range last {
		if key > after && rs[i].value != "" {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		i := last[key]
		if size += len(key) + base64.StdEncoding.EncodedLen(len(rs[i].value)); len(items) == page || len(items) > 0 && size > pageBytes {
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(rs[i].value)), "offset": i})
	}
	reply(h, 200, map[string]any{"items": items, "has-more": len(keys) > len(items), "end": len(rs)})
}
