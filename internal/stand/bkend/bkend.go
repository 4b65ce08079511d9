// Package bkend plays a backend server: concurrency slots, a connection limit, cold start, draining, shedding,
// cancellation, deadlines, fenced grants, misleading health and load, and faults on demand. It journals every grant
// and execution, so that a test can be judged by what servers did and not by what anybody says.
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

	"github.com/bramleycove/bramleycove/internal/stand/fence"
	"github.com/bramleycove/bramleycove/internal/stand/gate"
	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// Settings of a server.
type Settings struct {
	Name        string
	Checks      bool          // accepts grants, and checks tokens if Keyed
	Keyed       bool          // the pool is keyed: requests have a slot; otherwise their slot and token are ignored
	Slots       int           // requests that run at once
	Queue       int           // requests that wait for a slot; more are shed
	Connections int           // limit; 0 means none
	Connect     time.Duration // time of a new connection
	Probe       time.Duration // time of a health or load answer
	Service     time.Duration // mean service time
	Jitter      time.Duration // service time varies evenly by this much to both sides
	Seed        uint64        // of the jitter
	Cold        time.Duration // after the start, service times fall evenly from Chill times to normal
	Chill       float64
	Grace       time.Duration // time from the start of draining until new work is refused
	Size        int           // least length of an answer in bytes
	CrashBody   string        // a request with this body ends the process; empty means none
	CrashHeader string        // likewise for a request with this header
	Journal     string        // path; empty means none
	Exit        func(code int)
}

// Command is the body of POST /control. Its mode applies to requests of the kinds "work", "grant" and "probe".
type Command struct {
	gate.Order
	Drain   bool   `json:"drain,omitempty"`
	Shed    *bool  `json:"shed,omitempty"`    // refuse all work
	Service string `json:"service,omitempty"` // new mean service time
	Answer  string `json:"answer,omitempty"`  // how committed work is answered
	Wait    string `json:"wait,omitempty"`    // of answer Delayed
	Answers int    `json:"answers,omitempty"` // number of answers that Answer applies to; 0 means all
}

// The ways to answer committed work.
const (
	Whole     = "whole"
	Truncated = "truncated" // the body ends halfway and the connection is closed
	Delayed   = "delayed"
	Misnamed  = "misnamed" // with the id of another request
)

// Status is the answer to GET /control.
type Status struct {
	Incarnation    uint64 `json:"incarnation"`
	Connections    int64  `json:"connections"`
	MaxConnections int64  `json:"maxconnections"`
	Rejected       int64  `json:"rejected"` // connections above the limit
	Running        int64  `json:"running"`
	Committed      int64  `json:"committed"`
	Refused        int64  `json:"refused"`
	Grants         int64  `json:"grants"`
	Draining       bool   `json:"draining"`
}

// Server is a backend server. It may be used by many goroutines.
type Server struct {
	*gate.Node
	cfg         Settings
	incarnation uint64
	started     time.Time
	grants      *fence.Grants
	journal     *trace.Writer
	conns       gate.Conns
	slots       chan struct{}

	active, waiting, running, committed, refused, granted, runs atomic.Int64

	mu      sync.Mutex
	random  *rand.Rand
	service time.Duration
	shed    bool
	drained time.Time // end of the grace time; zero while not draining
	answer  string
	answers int
	wait    time.Duration
	jobs    map[string]*job // running requests by id
}

// New returns a server that does not listen yet.
func New(cfg Settings) (*Server, error) {
	s := &Server{
		Node: gate.NewNode(), cfg: cfg, incarnation: rand.Uint64()>>1 | 1, started: time.Now(),
		slots:  make(chan struct{}, cfg.Slots),
		random: rand.New(rand.NewPCG(cfg.Seed, 0)), service: cfg.Service, answer: Whole, jobs: map[string]*job{},
	}
	s.conns.Limit, s.conns.Setup = int64(cfg.Connections), cfg.Connect
	s.grants = fence.New(s.incarnation, rand.Int64N(int64(time.Hour)))
	if s.cfg.Exit == nil {
		s.cfg.Exit = os.Exit
	}
	if cfg.Journal != "" {
		w, err := trace.Open(cfg.Journal)
		if err != nil {
			return nil, err
		}
		s.journal = w
	}
	s.record(&trace.Event{Kind: trace.Start, Checks: cfg.Checks, From: trace.Now(), Slot: trace.NoSlot})
	s.Control.Post("/control", s.control)
	s.Control.Get("/control", func(c *fiber.Ctx) error { return c.JSON(s.Status()) })
	s.Service.Get("/health", s.health)
	s.Service.Get("/load", s.load)
	s.Service.Delete("/requests/:id", s.cancel)
	if cfg.Checks {
		s.Service.Post("/grant", s.grant)
	}
	s.Service.All("/*", s.work)
	return s, nil
}

// Start opens the listeners.
func (s *Server) Start(service, control netip.AddrPort) error {
	return s.Listen(service, control, s.conns.Wrap)
}

// Close ends the server at once.
func (s *Server) Close() {
	s.Node.Close()
	_ = s.journal.Close()
}

// record journals an event. A server whose journal cannot be written must not go on: its work would look undone.
func (s *Server) record(ev *trace.Event) {
	ev.Server, ev.Incarnation = s.cfg.Name, s.incarnation
	if err := s.journal.Write(ev); err != nil {
		panic(err)
	}
}

func (s *Server) grant(c *fiber.Ctx) error {
	mode := s.Admit(c, "grant")
	if mode == gate.Down {
		return nil
	}
	var req fence.Request
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if !req.Valid() {
		return fiber.NewError(fiber.StatusBadRequest, "invalid range of slots")
	}
	reply := s.grants.Apply(trace.Now, req, s.record)
	reply.Leaving = s.Draining()
	if reply.Accepted {
		s.granted.Add(1)
	}
	if mode == gate.Lost {
		gate.Drop(c)
		return nil
	}
	return c.JSON(reply)
}

// health says that all is well, whatever the state of the server.
func (s *Server) health(c *fiber.Ctx) error {
	if s.Admit(c, "probe") == gate.Down {
		return nil
	}
	time.Sleep(s.cfg.Probe)
	return c.JSON(fiber.Map{"status": "ok"})
}

// load answers a random number of running requests.
func (s *Server) load(c *fiber.Ctx) error {
	if s.Admit(c, "probe") == gate.Down {
		return nil
	}
	time.Sleep(s.cfg.Probe)
	s.mu.Lock()
	n := s.random.IntN(s.cfg.Slots + 1)
	s.mu.Unlock()
	return c.JSON(fiber.Map{"running": n, "slots": s.cfg.Slots})
}

func (s *Server) control(c *fiber.Ctx) error {
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

// Apply carries a control command out.
func (s *Server) Apply(cmd Command) error {
	times := map[string]time.Duration{}
	for _, text := range []string{cmd.Service, cmd.Wait} {
		if text != "" {
			d, err := time.ParseDuration(text)
			if err != nil {
				return err
			}
			times[text] = d
		}
	}
	s.mu.Lock()
	if cmd.Service != "" {
		s.service = times[cmd.Service]
	}
	if cmd.Shed != nil {
		s.shed = *cmd.Shed
	}
	if cmd.Answer != "" {
		s.answer, s.answers, s.wait = cmd.Answer, cmd.Answers, times[cmd.Wait]
	}
	s.mu.Unlock()
	if cmd.Drain {
		s.Drain(time.Now())
	}
	if cmd.Mode != "" {
		return s.Set(cmd.Order)
	}
	return nil
}

// Drain makes the server announce that it is leaving, and refuse new work after the grace time.
func (s *Server) Drain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained.IsZero() {
		s.drained = now.Add(s.cfg.Grace)
	}
}

// Draining tells whether Drain was called.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drained.IsZero()
}

// Drained tells whether the grace time is over and no request runs or waits.
func (s *Server) Drained(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.drained.IsZero() && now.After(s.drained) && s.active.Load() == 0
}

// Status returns the state and the counters.
func (s *Server) Status() Status {
	return Status{
		Incarnation: s.incarnation, Connections: s.conns.Open.Load(), MaxConnections: s.conns.Max.Load(),
		Rejected: s.conns.Rejected.Load(), Running: s.running.Load(), Committed: s.committed.Load(),
		Refused: s.refused.Load(), Grants: s.granted.Load(), Draining: s.Draining(),
	}
}
