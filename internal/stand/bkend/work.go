package bkend

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/stand/gate"
	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// The outcome of a job is decided once: by its commit or by its cancellation.
const (
	undecided int32 = iota
	committed
	cancelled
)

// job is one request from its arrival to its answer.
type job struct {
	trace.Event
	body     []byte
	arrival  time.Time
	deadline time.Time // zero means none
	outcome  atomic.Int32
	stop     chan struct{} // closed by cancellation
}

// refusal says why work was not done.
type refusal struct {
	status int
	reason string
}

func (s *Server) parse(c *fiber.Ctx) *job {
	now := time.Now()
	j := &job{body: c.Body(), arrival: now, stop: make(chan struct{})}
	j.Event = trace.Event{
		Kind: trace.Exec, Pool: c.Get("Pool"), Slot: trace.NoSlot, Request: c.Get("Request-Id"), Identity: c.Get("Identity"),
		Mark: c.Get("Mark"), Rank: c.Get("Rank"), Method: c.Method(), Path: c.OriginalURL(),
	}
	if slot, err := strconv.ParseUint(c.Get("Slot"), 10, 32); err == nil && s.cfg.Keyed {
		j.Slot = int64(slot)
	}
	j.Token, _ = strconv.ParseUint(c.Get("Token"), 10, 64)
	if ms, err := strconv.ParseInt(c.Get("Timeout"), 10, 64); err == nil {
		j.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return j
}

func (s *Server) work(c *fiber.Ctx) error {
	mode := s.Admit(c, "work")
	if mode == gate.Down {
		return nil
	}
	j := s.parse(c)
	s.list(j)
	defer s.unlist(j)
	if r := s.enter(j); r != nil {
		return s.refuse(c, j, r)
	}
	defer func() { <-s.slots }()
	s.crash(c, j)
	if r := s.run(j); r != nil {
		return s.refuse(c, j, r)
	}
	if mode == gate.Lost {
		gate.Drop(c)
		return nil
	}
	return s.reply(c, j)
}

func (s *Server) list(j *job) {
	s.active.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.Request] = j
}

func (s *Server) unlist(j *job) {
	s.active.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	// A second request with the same id may have taken the entry.
	if s.jobs[j.Request] == j {
		delete(s.jobs, j.Request)
	}
}

// enter takes a concurrency slot, or says why the work may not begin.
func (s *Server) enter(j *job) *refusal {
	s.mu.Lock()
	shed, drained := s.shed, s.drained
	s.mu.Unlock()
	switch {
	case !drained.IsZero() && j.arrival.After(drained):
		return &refusal{fiber.StatusServiceUnavailable, "leaving"}
	case shed:
		return &refusal{fiber.StatusServiceUnavailable, "shed"}
	case !s.permits(j, func(int64) {}):
		return &refusal{fiber.StatusConflict, "token"}
	}
	if r := s.queue(j); r != nil {
		return r
	}
	if !s.permits(j, func(now int64) { j.Begin = now }) {
		<-s.slots
		return &refusal{fiber.StatusConflict, "token"}
	}
	return nil
}

// queue waits for a concurrency slot.
func (s *Server) queue(j *job) *refusal {
	select {
	case s.slots <- struct{}{}:
		return nil
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > int64(s.cfg.Queue) {
		return &refusal{fiber.StatusServiceUnavailable, "shed"}
	}
	expired, stop := j.expiry()
	defer stop()
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-expired:
		return &refusal{fiber.StatusServiceUnavailable, "deadline"}
	case <-j.stop:
		return &refusal{fiber.StatusServiceUnavailable, "cancelled"}
	}
}

func (j *job) expiry() (<-chan time.Time, func()) {
	if j.deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(j.deadline))
	return t.C, func() { t.Stop() }
}

// permits checks the token of the request and calls then, with the time of the check, if it is valid. A server that
// does not check, or whose pool is not keyed, permits everything.
func (s *Server) permits(j *job, then func(now int64)) bool {
	if s.cfg.Checks && s.cfg.Keyed {
		return s.grants.Holds(trace.Now, j.Pool, j.Slot, j.Token, then)
	}
	then(trace.Now())
	return true
}

// crash ends the process if the request is one that servers do not survive.
func (s *Server) crash(c *fiber.Ctx, j *job) {
	if s.cfg.CrashBody != "" && string(j.body) == s.cfg.CrashBody || s.cfg.CrashHeader != "" && c.Get(s.cfg.CrashHeader) != "" {
		ev := j.Event
		ev.Kind, ev.End = trace.Crash, trace.Now()
		s.record(&ev)
		s.cfg.Exit(3)
	}
}

// run does the work and commits it, or says why it was not committed. Either way it is journalled before run returns.
func (s *Server) run(j *job) *refusal {
	s.running.Add(1)
	defer s.running.Add(-1)
	expired, stop := j.expiry()
	defer stop()
	done := time.NewTimer(s.serviceTime(time.Now()))
	defer done.Stop()
	var r *refusal
	select {
	case <-done.C:
		r = s.commit(j)
	case <-expired:
		r = &refusal{fiber.StatusServiceUnavailable, "deadline"}
	case <-j.stop:
		r = &refusal{fiber.StatusServiceUnavailable, "cancelled"}
	}
	if r != nil {
		j.End, j.Reason = trace.Now(), r.reason
		s.record(&j.Event)
	}
	return r
}

func (s *Server) serviceTime(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.service
	if j := s.cfg.Jitter; j > 0 {
		d += time.Duration(s.random.Int64N(2*int64(j)+1)) - j
	}
	if age := now.Sub(s.started); age < s.cfg.Cold {
		rest := 1 - float64(age)/float64(s.cfg.Cold)
		d = time.Duration(float64(d) * (1 + rest*(s.cfg.Chill-1)))
	}
	return max(0, d)
}

func (s *Server) commit(j *job) *refusal {
	if !j.deadline.IsZero() && time.Now().After(j.deadline) {
		return &refusal{fiber.StatusServiceUnavailable, "deadline"}
	}
	if !s.permits(j, func(now int64) {
		if j.outcome.CompareAndSwap(undecided, committed) {
			j.End, j.Committed, j.Body = now, true, s.compose(j)
			sum := sha256.Sum256(j.Body)
			j.Hash = hex.EncodeToString(sum[:])
			s.record(&j.Event)
		}
	}) {
		return &refusal{fiber.StatusConflict, "token"}
	}
	if !j.Committed {
		return &refusal{fiber.StatusServiceUnavailable, "cancelled"}
	}
	s.committed.Add(1)
	return nil
}

// compose returns an answer that no other execution gives.
func (s *Server) compose(j *job) []byte {
	out := fmt.Appendf(nil, "server=%s incarnation=%d run=%d request=%s path=%s\n",
		s.cfg.Name, s.incarnation, s.runs.Add(1), j.Request, j.Path)
	out = append(out, j.body...)
	for i := len(out); i < s.cfg.Size; i++ {
		out = append(out, byte('a'+i%26))
	}
	return out
}

func (s *Server) refuse(c *fiber.Ctx, j *job, r *refusal) error {
	s.refused.Add(1)
	s.head(c, j.Request)
	c.Set("Verdict", "not-run")
	return c.Status(r.status).SendString(r.reason + "\n")
}

func (s *Server) head(c *fiber.Ctx, id string) {
	c.Set("Request-Id", id)
	if s.Draining() {
		c.Set("Leaving", "true")
	}
}

func (s *Server) reply(c *fiber.Ctx, j *job) error {
	how, wait := s.nextAnswer()
	switch how {
	case Delayed:
		time.Sleep(wait)
	case Misnamed:
		s.head(c, "other-"+j.Request)
		return c.Send(j.Body)
	case Truncated:
		c.Context().HijackSetNoResponse(true)
		c.Context().Hijack(func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
				j.Request, len(j.Body), j.Body[:len(j.Body)/2])
		})
		return nil
	}
	s.head(c, j.Request)
	c.Set(fasthttp.HeaderContentType, "text/plain")
	return c.Send(j.Body)
}

func (s *Server) nextAnswer() (string, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	how := s.answer
	if s.answers > 0 {
		if s.answers--; s.answers == 0 {
			s.answer = Whole
		}
	}
	return how, s.wait
}

// cancel answers 200 if the work will certainly not be committed, 409 if it has been, and 404 if the request is not here.
func (s *Server) cancel(c *fiber.Ctx) error {
	c.Set("Request-Id", c.Get("Request-Id"))
	s.mu.Lock()
	j := s.jobs[c.Params("id")]
	s.mu.Unlock()
	if j == nil {
		return c.SendStatus(fiber.StatusNotFound)
	}
	if !j.outcome.CompareAndSwap(undecided, cancelled) {
		return c.SendStatus(fiber.StatusConflict)
	}
	close(j.stop)
	return c.SendStatus(fiber.StatusOK)
}
