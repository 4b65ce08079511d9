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

	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// The outcomes of a job. It is set once, by commit or by cancellation.
const (
	undecided int32 = iota
	committed
	cancelled
)

// job is one request from its arrival to its answer.
type job struct {
	trace.Event
	body      []byte
	arrival   time.Time
	deadline  time.Time // zero means none
	outcome   atomic.Int32
	cancelled chan struct{} // closed on cancellation
}

// refusal is the status and the reason with which work is refused.
type refusal struct {
	status int
	reason string
}

func (s *Server) parseJob(c *fiber.Ctx) *job {
	now := time.Now()
	j := &job{body: c.Body(), arrival: now, cancelled: make(chan struct{})}
	j.Event = trace.Event{
		Kind: trace.KindExec, Pool: c.Get("Pool"), Slot: trace.NoSlot, Request: c.Get("Request-Id"), Identity: c.Get("Identity"),
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

func (s *Server) handleWork(c *fiber.Ctx) error {
	mode := s.Inject(c, "work")
	if mode == faults.Down {
		return nil
	}
	j := s.parseJob(c)
	s.addJob(j)
	defer s.removeJob(j)
	if r := s.acquireSlot(j); r != nil {
		return s.refuse(c, j, r)
	}
	defer func() { <-s.semaphore }()
	s.crashIfTriggered(c, j)
	if r := s.execute(j); r != nil {
		return s.refuse(c, j, r)
	}
	if mode == faults.Lost {
		faults.ResetConnection(c)
		return nil
	}
	return s.reply(c, j)
}

func (s *Server) addJob(j *job) {
	s.active.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.Request] = j
}

func (s *Server) removeJob(j *job) {
	s.active.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	// A second request with the same id may have taken the entry.
	if s.jobs[j.Request] == j {
		delete(s.jobs, j.Request)
	}
}

// acquireSlot takes a concurrency slot, or returns why the work may not begin.
func (s *Server) acquireSlot(j *job) *refusal {
	s.mu.Lock()
	shedding, graceEnd := s.shedding, s.graceEnd
	s.mu.Unlock()
	switch {
	case !graceEnd.IsZero() && j.arrival.After(graceEnd):
		return &refusal{fiber.StatusServiceUnavailable, "leaving"}
	case shedding:
		return &refusal{fiber.StatusServiceUnavailable, "shed"}
	case !s.runIfPermitted(j, func(int64) {}):
		return &refusal{fiber.StatusConflict, "token"}
	}
	if r := s.waitForSlot(j); r != nil {
		return r
	}
	if !s.runIfPermitted(j, func(now int64) { j.Begin = now }) {
		<-s.semaphore
		return &refusal{fiber.StatusConflict, "token"}
	}
	return nil
}

func (s *Server) waitForSlot(j *job) *refusal {
	select {
	case s.semaphore <- struct{}{}:
		return nil
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > int64(s.cfg.MaxQueued) {
		return &refusal{fiber.StatusServiceUnavailable, "shed"}
	}
	expired, stop := j.deadlineTimer()
	defer stop()
	select {
	case s.semaphore <- struct{}{}:
		return nil
	case <-expired:
		return &refusal{fiber.StatusServiceUnavailable, "deadline"}
	case <-j.cancelled:
		return &refusal{fiber.StatusServiceUnavailable, "cancelled"}
	}
}

func (j *job) deadlineTimer() (<-chan time.Time, func()) {
	if j.deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(j.deadline))
	return t.C, func() { t.Stop() }
}

// runIfPermitted checks the token of the request. If it is valid, it calls action with the time of the check and returns
// true. A server that does not check tokens, or whose pool is not keyed, permits everything.
func (s *Server) runIfPermitted(j *job, action func(now int64)) bool {
	if s.cfg.ChecksTokens && s.cfg.Keyed {
		return s.fenceState.RunIfHeld(trace.Now, j.Pool, j.Slot, j.Token, action)
	}
	action(trace.Now())
	return true
}

// crashIfTriggered ends the process if the request matches CrashBody or CrashHeader.
func (s *Server) crashIfTriggered(c *fiber.Ctx, j *job) {
	if s.cfg.CrashBody != "" && string(j.body) == s.cfg.CrashBody || s.cfg.CrashHeader != "" && c.Get(s.cfg.CrashHeader) != "" {
		ev := j.Event
		ev.Kind, ev.End = trace.KindCrash, trace.Now()
		s.writeJournal(&ev)
		s.cfg.Exit(3)
	}
}

// execute does the work and commits it, or returns why it was not committed. Either way it is journalled first.
func (s *Server) execute(j *job) *refusal {
	s.running.Add(1)
	defer s.running.Add(-1)
	expired, stop := j.deadlineTimer()
	defer stop()
	done := time.NewTimer(s.drawServiceTime(time.Now()))
	defer done.Stop()
	var r *refusal
	select {
	case <-done.C:
		r = s.commit(j)
	case <-expired:
		r = &refusal{fiber.StatusServiceUnavailable, "deadline"}
	case <-j.cancelled:
		r = &refusal{fiber.StatusServiceUnavailable, "cancelled"}
	}
	if r != nil {
		j.End, j.Reason = trace.Now(), r.reason
		s.writeJournal(&j.Event)
	}
	return r
}

func (s *Server) drawServiceTime(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.serviceTime
	if j := s.cfg.Jitter; j > 0 {
		d += time.Duration(s.random.Int64N(2*int64(j)+1)) - j
	}
	if age := now.Sub(s.startTime); age < s.cfg.WarmUp {
		rest := 1 - float64(age)/float64(s.cfg.WarmUp)
		d = time.Duration(float64(d) * (1 + rest*(s.cfg.ColdFactor-1)))
	}
	return max(0, d)
}

func (s *Server) commit(j *job) *refusal {
	if !j.deadline.IsZero() && time.Now().After(j.deadline) {
		return &refusal{fiber.StatusServiceUnavailable, "deadline"}
	}
	if !s.runIfPermitted(j, func(now int64) {
		if j.outcome.CompareAndSwap(undecided, committed) {
			j.End, j.Committed, j.Body = now, true, s.composeAnswer(j)
			sum := sha256.Sum256(j.Body)
			j.Hash = hex.EncodeToString(sum[:])
			s.writeJournal(&j.Event)
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

// composeAnswer returns an answer that is unique to this execution.
func (s *Server) composeAnswer(j *job) []byte {
	out := fmt.Appendf(nil, "server=%s incarnation=%d run=%d request=%s path=%s\n",
		s.cfg.Name, s.incarnation, s.answersComposed.Add(1), j.Request, j.Path)
	out = append(out, j.body...)
	for i := len(out); i < s.cfg.MinAnswerSize; i++ {
		out = append(out, byte('a'+i%26))
	}
	return out
}

func (s *Server) refuse(c *fiber.Ctx, j *job, r *refusal) error {
	s.refused.Add(1)
	s.setHeaders(c, j.Request)
	c.Set("Verdict", "not-run")
	return c.Status(r.status).SendString(r.reason + "\n")
}

func (s *Server) setHeaders(c *fiber.Ctx, id string) {
	c.Set("Request-Id", id)
	if s.Draining() {
		c.Set("Leaving", "true")
	}
}

func (s *Server) reply(c *fiber.Ctx, j *job) error {
	mode, delay := s.nextAnswerMode()
	switch mode {
	case AnswerDelayed:
		time.Sleep(delay)
	case AnswerWrongID:
		s.setHeaders(c, "other-"+j.Request)
		return c.Send(j.Body)
	case AnswerTruncated:
		c.Context().HijackSetNoResponse(true)
		c.Context().Hijack(func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
				j.Request, len(j.Body), j.Body[:len(j.Body)/2])
		})
		return nil
	}
	s.setHeaders(c, j.Request)
	c.Set(fasthttp.HeaderContentType, "text/plain")
	return c.Send(j.Body)
}

func (s *Server) nextAnswerMode() (string, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mode := s.answerMode
	if s.answersLeft > 0 {
		if s.answersLeft--; s.answersLeft == 0 {
			s.answerMode = AnswerWhole
		}
	}
	return mode, s.answerDelay
}

// handleCancel answers 200 if the work will not be committed, 409 if it has been or was cancelled before, and 404 if no
// request with the id runs or waits.
func (s *Server) handleCancel(c *fiber.Ctx) error {
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
	close(j.cancelled)
	return c.SendStatus(fiber.StatusOK)
}
