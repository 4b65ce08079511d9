// Package bkend simulates a backend server for tests: concurrency and connection limits, cold start, draining, load
// shedding, cancellation, deadlines, fenced grants, misleading health and load answers, and faults on demand. It journals
// every grant and execution, so that tests check what servers did, not what processes report.
package bkend

import (
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v2"

	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/fence"
	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// Settings configures a server.
type Settings struct {
	Name           string
	ChecksTokens   bool          // accept grants, and check tokens if Keyed
	Keyed          bool          // the pool is keyed; otherwise the server ignores the slots and tokens of requests
	Concurrency    int           // running requests
	MaxQueued      int           // waiting requests; more are shed
	MaxConnections int           // 0 means no limit
	ConnectDelay   time.Duration // before the first read from a connection
	ProbeDelay     time.Duration // of health and load answers
	ServiceTime    time.Duration // mean
	Jitter         time.Duration // service times are uniform within ServiceTime +- Jitter
	Seed           uint64        // of the random numbers
	WarmUp         time.Duration // after the start, in which the service time falls linearly to normal
	ColdFactor     float64       // factor of the service time at the start
	GracePeriod    time.Duration // from the start of draining until new work is refused
	MinAnswerSize  int           // in bytes
	CrashBody      string        // a request with this body ends the process; empty means none
	CrashHeader    string        // as CrashBody, for a request with this header
	JournalPath    string        // empty means no journal
	Exit           func(code int)
}

// Command is the body of POST /control. Its mode applies to requests of the kinds "work", "grant" and "probe".
type Command struct {
	faults.Fault
	Drain       bool   `json:"drain,omitempty"`
	Shed        *bool  `json:"shed,omitempty"`    // refuse all work
	ServiceTime string `json:"service,omitempty"` // new mean service time
	AnswerMode  string `json:"answer,omitempty"`  // how committed work is answered
	AnswerDelay string `json:"wait,omitempty"`    // delay of AnswerDelayed
	AnswerCount int    `json:"answers,omitempty"` // how many answers AnswerMode applies to; 0 means all
}

// The ways to answer committed work.
const (
	AnswerWhole     = "whole"
	AnswerTruncated = "truncated" // the connection is closed after half of the body
	AnswerDelayed   = "delayed"
	AnswerWrongID   = "misnamed" // with another request id
)

// Status is the answer to GET /control.
type Status struct {
	Incarnation     uint64 `json:"incarnation"`
	Connections     int64  `json:"connections"`
	PeakConnections int64  `json:"maxconnections"`
	Rejected        int64  `json:"rejected"` // connections beyond the limit
	Running         int64  `json:"running"`
	Committed       int64  `json:"committed"`
	Refused         int64  `json:"refused"`
	GrantsAccepted  int64  `json:"grants"`
	Draining        bool   `json:"draining"`
}

// Server is a backend server. It may be used by many goroutines.
type Server struct {
	*faults.StandIn
	cfg         Settings
	incarnation uint64
	startTime   time.Time
	fenceState  *fence.State
	journal     *trace.Writer
	conns       faults.Conns
	semaphore   chan struct{}

	active, waiting, running, committed, refused, grantsAccepted, answersComposed atomic.Int64

	mu          sync.Mutex
	random      *rand.Rand
	serviceTime time.Duration
	shedding    bool
	graceEnd    time.Time // zero unless draining
	answerMode  string
	answersLeft int
	answerDelay time.Duration
	jobs        map[string]*job // running and waiting requests by id
}

// New returns a server that does not listen yet.
func New(cfg Settings) (*Server, error) {
	s := &Server{
		StandIn: faults.NewStandIn(), cfg: cfg, incarnation: rand.Uint64()>>1 | 1, startTime: time.Now(),
		semaphore: make(chan struct{}, cfg.Concurrency),
		random:    rand.New(rand.NewPCG(cfg.Seed, 0)), serviceTime: cfg.ServiceTime, answerMode: AnswerWhole, jobs: map[string]*job{},
	}
	s.conns.Limit, s.conns.SetupTime = int64(cfg.MaxConnections), cfg.ConnectDelay
	s.fenceState = fence.New(s.incarnation, rand.Int64N(int64(time.Hour)))
	if s.cfg.Exit == nil {
		s.cfg.Exit = os.Exit
	}
	if cfg.JournalPath != "" {
		w, err := trace.Open(cfg.JournalPath)
		if err != nil {
			return nil, err
		}
		s.journal = w
	}
	s.writeJournal(&trace.Event{Kind: trace.KindStart, ChecksTokens: cfg.ChecksTokens, From: trace.Now(), Slot: trace.NoSlot})
	s.Control.Post("/control", s.handleControl)
	s.Control.Get("/control", func(c *fiber.Ctx) error { return c.JSON(s.Status()) })
	s.Service.Get("/health", s.handleHealth)
	s.Service.Get("/load", s.handleLoad)
	s.Service.Delete("/requests/:id", s.handleCancel)
	if cfg.ChecksTokens {
		s.Service.Post("/grant", s.handleGrant)
	}
	s.Service.All("/*", s.handleWork)
	return s, nil
}

// Start opens the listeners.
func (s *Server) Start(service, control netip.AddrPort) error {
	return s.Listen(service, control, s.conns.Wrap)
}

// Close ends the server at once.
func (s *Server) Close() {
	s.StandIn.Close()
	_ = s.journal.Close()
}

// writeJournal writes an event to the journal. It panics on failure, since unjournalled work would look undone.
func (s *Server) writeJournal(ev *trace.Event) {
	ev.Server, ev.Incarnation = s.cfg.Name, s.incarnation
	if err := s.journal.Write(ev); err != nil {
		panic(err)
	}
}

func (s *Server) handleGrant(c *fiber.Ctx) error {
	mode := s.Inject(c, "grant")
	if mode == faults.Down {
		return nil
	}
	var req fence.Request
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if !req.Valid() {
		return fiber.NewError(fiber.StatusBadRequest, "invalid range of slots")
	}
	reply := s.fenceState.Apply(trace.Now, req, s.writeJournal)
	reply.Leaving = s.Draining()
	if reply.Accepted {
		s.grantsAccepted.Add(1)
	}
	if mode == faults.Lost {
		faults.ResetConnection(c)
		return nil
	}
	return c.JSON(reply)
}

// handleHealth answers "ok", whatever the state of the server.
func (s *Server) handleHealth(c *fiber.Ctx) error {
	if s.Inject(c, "probe") == faults.Down {
		return nil
	}
	time.Sleep(s.cfg.ProbeDelay)
	return c.JSON(fiber.Map{"status": "ok"})
}

// handleLoad answers with a random number of running requests.
func (s *Server) handleLoad(c *fiber.Ctx) error {
	if s.Inject(c, "probe") == faults.Down {
		return nil
	}
	time.Sleep(s.cfg.ProbeDelay)
	s.mu.Lock()
	n := s.random.IntN(s.cfg.Concurrency + 1)
	s.mu.Unlock()
	return c.JSON(fiber.Map{"running": n, "slots": s.cfg.Concurrency})
}

func (s *Server) handleControl(c *fiber.Ctx) error {
	var cmd Command
	err := json.Unmarshal(c.Body(), &cmd)
	if err == nil {
		err = s.Apply(cmd)
	}
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.JSON(s.Status())
}

// Apply executes a control command.
func (s *Server) Apply(cmd Command) error {
	times := map[string]time.Duration{}
	for _, text := range []string{cmd.ServiceTime, cmd.AnswerDelay} {
		if text != "" {
			d, err := time.ParseDuration(text)
			if err != nil {
				return err
			}
			times[text] = d
		}
	}
	s.mu.Lock()
	if cmd.ServiceTime != "" {
		s.serviceTime = times[cmd.ServiceTime]
	}
	if cmd.Shed != nil {
		s.shedding = *cmd.Shed
	}
	if cmd.AnswerMode != "" {
		s.answerMode, s.answersLeft, s.answerDelay = cmd.AnswerMode, cmd.AnswerCount, times[cmd.AnswerDelay]
	}
	s.mu.Unlock()
	if cmd.Drain {
		s.Drain(time.Now())
	}
	if cmd.Mode != "" {
		return s.SetFault(cmd.Fault)
	}
	return nil
}

// Drain makes the server announce that it is leaving, and refuse new work after the grace period.
func (s *Server) Drain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.graceEnd.IsZero() {
		s.graceEnd = now.Add(s.cfg.GracePeriod)
	}
}

// Draining tells whether Drain was called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.graceEnd.IsZero()
}

// Drained tells whether the grace period is over and no request runs or waits.
func (s *Server) Drained(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.graceEnd.IsZero() && now.After(s.graceEnd) && s.active.Load() == 0
}

// Status returns the state and the counters.
func (s *Server) Status() Status {
	return Status{
		Incarnation: s.incarnation, Connections: s.conns.Open.Load(), PeakConnections: s.conns.Peak.Load(),
		Rejected: s.conns.Rejected.Load(), Running: s.running.Load(), Committed: s.committed.Load(),
		Refused: s.refused.Load(), GrantsAccepted: s.grantsAccepted.Load(), Draining: s.Draining(),
	}
}
