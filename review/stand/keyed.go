package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// Pool holds the servers of a service that is divided by key, and what they did that the rules forbid.
type Pool struct {
	Service string
	// Work returns how long a request is at work.
	Work func() time.Duration
	// RepeatShare returns the part of its answers to orders that a server, given by its number, sends once more, when the next answer on the connection is
	// expected.
	RepeatShare func(server int) float64

	store  *Store
	record *Record

	mu       sync.Mutex
	servers  []*KeyServer
	repeated int
	releases int
	faults   []string
}

// hold is a range of keys with the fencing token and the end of its lease.
type hold struct {
	First int     `json:"from"`
	Last  int     `json:"target"`
	Fence uint64  `json:"fence"`
	Hold  float64 `json:"hold-s"`
	until time.Time
}

func (h *hold) has(key int) bool { return h.First <= key && key <= h.Last }

// KeyServer is a stand-in of a backend server that holds keys. Its state is guarded by the pool's mutex.
type KeyServer struct {
	*Pool
	ID, Zone string
	Address  netip.AddrPort

	number   int
	born     int64
	slots    chan struct{}
	holds    []hold
	released []hold // with the end that their leases had
	fences   []hold
	running  map[string]int // key by request
	changed  sync.Cond      // signalled when a request has ended
}

// Add starts a server that registers itself with every heartbeat.
func (p *Pool) Add(number int, id, zone string) error {
	ln, addr, err := listen()
	if err != nil {
		return err
	}
	s := &KeyServer{Pool: p, number: number, ID: id, Zone: zone, Address: addr, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), running: make(map[string]int)}
	s.changed.L = &p.mu
	p.servers = append(p.servers, s)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			register(p.store, id, p.Service, addr, zone, seq, s.born)
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// answer is what a server sends.
type answer struct {
	status int
	header map[string]string
	body   string
}

func (a *answer) write(w io.Writer) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.status, http.StatusText(a.status), len(a.body))
	for name, value := range a.header {
		text += name + ": " + value + "\r\n"
	}
	_, err := io.WriteString(w, text+"\r\n"+a.body)
	return err
}

func (s *KeyServer) serveConn(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	var again *answer // is sent before the next answer
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		isOrder := r.URL.Path == "/bramleycove/grant" || r.URL.Path == "/bramleycove/release"
		if s.RepeatShare(s.number) == 0 {
			again = nil
		}
		if isOrder && again != nil {
			s.record.Note("%s sends an earlier answer once more, before it has answered %s %s", s.ID, r.URL.Path, body)
			if err := again.write(conn); err != nil {
				return
			}
			again = nil
		}
		var a answer
		switch r.URL.Path {
		case "/bramleycove/grant":
			a = s.grant(body)
		case "/bramleycove/release":
			a = s.release(body)
		case "/health":
			a = answer{status: http.StatusOK, header: map[string]string{"X-Bramleycove-Instance-Id": s.ID}}
		default:
			a = s.work(r)
		}
		if isOrder && rand.Float64() < s.RepeatShare(s.number) {
			s.mu.Lock()
			s.repeated++
			s.mu.Unlock()
			again = &a
		}
		if err := a.write(conn); err != nil {
			return
		}
	}
}

func (s *KeyServer) grant(body []byte) answer {
	var h hold
	now := time.Now()
	if err := json.Unmarshal(body, &h); err != nil || h.Hold <= 0 || h.First > h.Last {
		return answer{status: http.StatusBadRequest}
	}
	h.until = now.Add(time.Duration(h.Hold * float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.fences {
		if f.First <= h.Last && h.First <= f.Last && f.Fence > h.Fence {
			return answer{status: http.StatusConflict}
		}
	}
	s.drop(h)
	s.holds, s.fences = append(s.holds, h), append(s.fences, h)
	s.checkOthers(now, h)
	return answer{status: http.StatusOK}
}

// checkOthers notes each request at work at another server on a key of h, if that server's hold would not have run out. The pool's
// mutex is held.
func (s *KeyServer) checkOthers(now time.Time, h hold) {
	for _, o := range s.servers {
		if o == s {
			continue
		}
		for id, key := range o.running {
			if h.has(key) && o.leaseOf(key).After(now) {
				fault := fmt.Sprintf("%s is given key %d with fence %d while %s is at work on it (request %s), whose hold would have run for %.3f s more",
					s.ID, key, h.Fence, o.ID, id, o.leaseOf(key).Sub(now).Seconds())
				s.faults = append(s.faults, fault)
				s.record.Note("OWNER: %s", fault)
			}
		}
	}
}

// leaseOf returns the latest end of the server's leases of a key. The pool's mutex is held.
func (s *KeyServer) leaseOf(key int) (until time.Time) {
	for _, hs := range [][]hold{s.holds, s.released} {
		for _, h := range hs {
			if h.has(key) && h.until.After(until) {
				until = h.until
			}
		}
	}
	return until
}

// drop ends the holds of a range; parts outside it go on. The pool's mutex is held.
func (s *KeyServer) drop(r hold) {
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

func (s *KeyServer) release(body []byte) answer {
	var r hold
	if err := json.Unmarshal(body, &r); err != nil {
		return answer{status: http.StatusBadRequest}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releases++
	now := time.Now()
	for _, h := range s.holds {
		if h.First <= r.Last && r.First <= h.Last {
			h.First, h.Last = max(h.First, r.First), min(h.Last, r.Last)
			s.released = append(s.released, h)
		}
	}
	s.drop(r)
	s.record.Note("%s releases %d to %d", s.ID, r.First, r.Last)
	for s.worksOn(&r) {
		s.changed.Wait()
	}
	kept := s.released[:0]
	for _, h := range s.released {
		if h.until.After(now) {
			kept = append(kept, h)
		}
	}
	s.released = kept
	return answer{status: http.StatusOK, header: map[string]string{"X-Bramleycove-Handover": fmt.Sprintf("%s-%d", s.ID, r.Fence)}}
}

func (s *KeyServer) worksOn(r *hold) bool {
	for _, key := range s.running {
		if r.has(key) {
			return true
		}
	}
	return false
}

func (s *KeyServer) holdsKey(key int, now time.Time) bool {
	for _, h := range s.holds {
		if h.has(key) && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (s *KeyServer) work(r *http.Request) answer {
	id, expect := r.Header.Get("X-Bramleycove-Request-Id"), r.Header.Get("X-Bramleycove-Expect-Instance")
	refused := func(status int) answer {
		return answer{status: status, header: map[string]string{"X-Bramleycove-Request-Id": id, "X-Bramleycove-Not-Run": "1"}}
	}
	key, err := strconv.Atoi(r.Header.Get("X-Bramleycove-Shard-Key"))
	if err != nil || expect != "" && expect != s.ID {
		return refused(http.StatusMisdirectedRequest)
	}
	select {
	case s.slots <- struct{}{}:
	case <-time.After(time.Second):
		return refused(http.StatusServiceUnavailable)
	}
	defer func() { <-s.slots }()
	s.mu.Lock()
	if !s.holdsKey(key, time.Now()) {
		s.mu.Unlock()
		return refused(http.StatusMisdirectedRequest)
	}
	s.running[id] = key
	s.mu.Unlock()
	s.record.Run(id, s.ID, fmt.Sprintf("%s %s, key %d", r.Method, r.RequestURI, key))
	time.Sleep(s.Work())
	s.mu.Lock()
	delete(s.running, id)
	s.changed.Broadcast()
	lapsed := s.leaseOf(key).Before(time.Now())
	s.mu.Unlock()
	a := answer{status: http.StatusOK, header: map[string]string{"X-Bramleycove-Request-Id": id, "X-Bramleycove-Server-Stamp": s.ID + "." + id}, body: id + " by " + s.ID + "\n"}
	if lapsed {
		a.status = http.StatusInternalServerError
	}
	return a
}
