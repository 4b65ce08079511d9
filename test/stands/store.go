// Package stands holds stand-ins of the users' platform for tests: its metadata store, its operator and its backend
// servers, which speak the published protocol.
package stands

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
)

// Mode is how the store behaves.
type Mode int

// Modes of a store.
const (
	Up     Mode = iota
	Busy        // answers 503
	Silent      // answers nothing
	Lost        // loses a third of the answers to appends
	Late        // loses a third of the answers to appends and carries those out seconds later
	Slow        // answers after 300 ms
)

// quiet drops the server's lines on connections that a stand-in has closed on purpose.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// record is one record of a keyed partition.
type record struct {
	key, value string
	at         time.Time
}

// Store is a stand-in of the metadata store. Its methods may be called by many goroutines.
type Store struct {
	Address netip.AddrPort

	http *fasthttp.Server
	rng  *rand.Rand

	// MaxBody is the longest body of a request in the published limits, in bytes.
	MaxBody int

	mu     sync.Mutex
	mode   Mode
	topics map[string][]record
	first  map[string]uint64 // oldest retained record of each topic
	grown  chan struct{}
	calls  int
	era    int // number of restorations
}

// NewStore starts a store on loopback.
func NewStore(seed uint64) (*Store, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: netip.MustParseAddrPort(ln.Addr().String()), rng: rand.New(rand.NewPCG(seed, 7)),
		MaxBody: 1 << 20, topics: make(map[string][]record), first: make(map[string]uint64), grown: make(chan struct{}),
	}
	s.http = &fasthttp.Server{Handler: s.handle, Logger: quiet{}}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.http.Shutdown() }

// Set changes the mode.
func (s *Store) Set(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a record as the operator or a backend server does. It reports whether the store took it.
func (s *Store) Put(topic, key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == Busy || s.mode == Silent {
		return false
	}
	s.add(topic, []record{{key: key, value: value}})
	return true
}

// Restore replaces all records by a copy of some time ago. Offsets go back and are given out again. The newest lost records of
// the operator and the backend servers are written again after a delay.
func (s *Store) Restore(ago, rewriteDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	lost, kept := make(map[string][]record), make(map[string]int)
	for topic, rs := range s.topics {
		n := len(rs)
		for n > 0 && time.Since(rs[n-1].at) < ago {
			n--
		}
		if topic != "keyed.place" {
			lost[topic], kept[topic] = rs[n:], n
		}
		s.topics[topic], s.first[topic] = append([]record(nil), rs[:n]...), min(s.first[topic], uint64(n))
	}
	close(s.grown)
	s.grown = make(chan struct{})
	time.AfterFunc(rewriteDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for topic, rs := range lost {
			last := make(map[string]int)
			for i, r := range rs {
				last[r.key] = i
			}
			for _, r := range s.topics[topic][kept[topic]:] {
				delete(last, r.key) // its writer has written something newer
			}
			for i, r := range rs {
				if n, ok := last[r.key]; ok && n == i {
					s.add(topic, []record{r})
				}
			}
		}
	})
}

// Forget deletes all records but the newest of each key.
func (s *Store) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[topic] = uint64(len(s.topics[topic]))
}

func (s *Store) add(topic string, rs []record) {
	for i := range rs {
		rs[i].at = time.Now()
	}
	s.topics[topic] = append(s.topics[topic], rs...)
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *Store) handle(h *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.calls++
	mode, unlucky := s.mode, s.rng.IntN(3) == 0
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		h.Response.Header.Set("Store-Era", strconv.Itoa(s.era))
	}()
	switch mode {
	case Busy:
		h.SetStatusCode(503)
		return
	case Silent:
		time.Sleep(3 * time.Second)
		h.Conn().Close()
		return
	case Slow:
		time.Sleep(300 * time.Millisecond)
	}
	path := string(h.Path())
	if path == "/bramleycove/log-append" && unlucky && (mode == Lost || mode == Late) {
		args, body := string(h.QueryArgs().QueryString()), string(h.PostBody())
		do := func() {
			var a fasthttp.Args
			a.Parse(args)
			s.append(&a, []byte(body))
		}
		if mode == Late {
			time.AfterFunc(2*time.Second, do)
		} else {
			do()
		}
		h.Conn().Close()
		return
	}
	switch path {
	case "/bramleycove/log-append":
		answer(h, s.append(h.QueryArgs(), h.PostBody()))
	case "/bramleycove/log-read":
		s.read(h)
	case "/bramleycove/log-newest":
		answer(h, s.newest(h))
	default:
		h.SetStatusCode(404)
	}
}

// reply is a status with a JSON body.
type reply struct {
	status int
	body   map[string]any
}

func answer(h *fasthttp.RequestCtx, r reply) {
	h.SetStatusCode(r.status)
	data, _ := json.Marshal(r.body) // maps of plain values
	h.SetBody(data)
}

func (s *Store) append(q *fasthttp.Args, body []byte) reply {
	topic := string(q.Peek("topic"))
	var rs []record
	for len(body) > 0 {
		n := binary.BigEndian.Uint32(body)
		rec := body[4 : 4+n]
		rs = append(rs, record{key: string(rec[1 : 1+rec[0]]), value: string(rec[1+rec[0]:])})
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at := q.Peek("at"); len(at) > 0 {
		if n, err := strconv.Atoi(string(at)); err != nil || n != end {
			return reply{412, map[string]any{"end": end}}
		}
	}
	s.add(topic, rs)
	return reply{200, map[string]any{"offset": end, "end": end + len(rs)}}
}

func (s *Store) read(h *fasthttp.RequestCtx) {
	topic := string(h.QueryArgs().Peek("topic"))
	from := uint64(h.QueryArgs().GetUintOrZero("from"))
	until := time.Now().Add(time.Duration(h.QueryArgs().GetUintOrZero("wait-ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		rs, first, grown, era := s.topics[topic], s.first[topic], s.grown, s.era
		s.mu.Unlock()
		h.Response.Header.Set("Store-Era", strconv.Itoa(era))
		if from < first || from > uint64(len(rs)) && era > 0 {
			answer(h, reply{410, map[string]any{"first": first}})
			return
		}
		left := time.Until(until)
		if uint64(len(rs)) > from || left <= 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(rs)))
			out = binary.BigEndian.AppendUint64(out, first)
			for _, r := range rs[min(from, uint64(len(rs))):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
				out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
			}
			h.SetBody(out)
			return
		}
		select {
		case <-grown:
		case <-time.After(left):
		}
	}
}

func (s *Store) newest(h *fasthttp.RequestCtx) reply {
	topic := string(h.QueryArgs().Peek("topic"))
	s.mu.Lock()
	defer s.mu.Unlock()
	rs := s.topics[topic]
	last := make(map[string]int)
	for i, r := range rs {
		last[r.key] = i
	}
	items := []map[string]any{}
	for i, r := range rs {
		if last[r.key] == i && r.value != "" {
			items = append(items, map[string]any{"key": r.key, "value": base64.StdEncoding.EncodeToString([]byte(r.value)), "offset": i})
		}
	}
	return reply{200, map[string]any{"items": items, "has-more": false, "end": len(rs)}}
}

// Route is one route of a configuration.
type Route struct {
	Name, Prefix, Service string
	Once                  bool // requests may run at most once
	Timeout               time.Duration
	Priority              int
}

// Publish writes a configuration with these routes. Services with keys are those named in keyed.
func (s *Store) Publish(version int, routes []Route, services, keyed []string) bool {
	var rs []map[string]any
	add := func(kind, name string, spec map[string]any) {
		rs = append(rs, map[string]any{"record-type": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		kind := "idempotent"
		if r.Once {
			kind = "non_idempotent"
		}
		add("routes", r.Name, map[string]any{
			"host": "test.example", "path-prefix": r.Prefix, "kind": kind, "timeout-s": r.Timeout.Seconds(),
			"target-latency-s": 0.5, "priority": r.Priority, "service": r.Service, "max-attempts": 2,
		})
	}
	for _, name := range services {
		add("services", name, map[string]any{"health-path": "/health", "max-conns": 100, "protocol": "h1"})
	}
	for _, name := range keyed {
		add("services", name, map[string]any{"health-path": "/health", "max-conns": 100, "protocol": "h1", "sharded": true, "warm-s": 1})
	}
	add("limits", "", map[string]any{"max-header-bytes": 16384, "max-body-bytes": s.MaxBody, "header-timeout-s": 3, "idle-timeout-s": 15})
	data, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", version), "resources": rs}) // plain values
	return s.Put("keyed.op", "config", string(data))
}
