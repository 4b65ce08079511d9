// Package logsrv plays the platform's append-only log service: streams in memory, an append limit, retention, and
// faults on demand.
package logsrv

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v2"
	"golang.org/x/time/rate"

	"github.com/bramleycove/bramleycove/internal/stand/faults"
)

// Settings of a log service.
type Settings struct {
	Rate  float64       // appends per second over all streams
	Queue time.Duration // longest wait of an append above the rate; beyond it is answered 429
	Keep  int           // records retained of a stream; 0 means all
	Age   time.Duration // longest age of a retained record; 0 means any
}

// Server is a log service. Requests of kind "append" and "read" can be given different modes.
type Server struct {
	*faults.StandIn
	store   store
	queue   time.Duration
	limiter *rate.Limiter
	counts  counts
}

type counts struct {
	appends, refused, reads, in, out atomic.Int64
}

// Counts is what the service has done since its start. Bytes are those of bodies.
type Counts struct {
	Streams map[string][2]uint64 `json:"streams"` // first and next offset
	Appends int64                `json:"appends"`
	Refused int64                `json:"refused"`
	Reads   int64                `json:"reads"`
	In      int64                `json:"in"`
	Out     int64                `json:"out"`
}

// Command is the body of POST /control.
type Command struct {
	faults.Fault
	Trim *Trim `json:"trim,omitempty"`
	// Restore is the age, in milliseconds, of the copy from which the service is restored.
	Restore int64 `json:"restore,omitempty"`
}

// Trim drops the records of a stream below an offset.
type Trim struct {
	Stream string `json:"stream"`
	Below  uint64 `json:"below"`
}

const defaultMax = 1000

// New returns a service that does not listen yet.
func New(cfg Settings) *Server {
	s := &Server{
		StandIn: faults.NewStandIn(),
		store:   store{keep: cfg.Keep, age: cfg.Age, streams: map[string]*stream{}},
		queue:   cfg.Queue,
		limiter: rate.NewLimiter(rate.Limit(cfg.Rate), max(1, int(cfg.Rate/10))),
	}
	s.Service.Post("/v1/streams/:stream/records", s.append)
	s.Service.Get("/v1/streams/:stream/records", s.read)
	s.Control.Post("/control", s.control)
	s.Control.Get("/control", func(c *fiber.Ctx) error { return c.JSON(s.Counts()) })
	return s
}

func (s *Server) append(c *fiber.Ctx) error {
	mode := s.Inject(c, "append")
	if mode == faults.Down {
		return nil
	}
	r := s.limiter.Reserve()
	if wait := r.Delay(); wait > s.queue {
		r.Cancel()
		s.counts.refused.Add(1)
		return c.SendStatus(fiber.StatusTooManyRequests)
	} else if wait > 0 {
		time.Sleep(wait)
	}
	body, records := c.Body(), [][]byte{c.Body()}
	want := condition{era: uint64(c.QueryInt("era")), at: uint64(c.QueryInt("at"))}
	if want.at > 0 {
		if err := json.Unmarshal(body, &records); err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
	}
	offset, ok := s.store.append(time.Now(), c.Params("stream"), want, records...)
	s.setEras(c)
	if !ok {
		return c.SendStatus(fiber.StatusConflict)
	}
	s.counts.appends.Add(1)
	s.counts.in.Add(int64(len(body)))
	if mode == faults.Lost {
		faults.ResetConnection(c)
		return nil
	}
	return c.JSON(fiber.Map{"offset": offset})
}

func (s *Server) read(c *fiber.Ctx) error {
	from, limit := uint64(max(1, c.QueryInt("from", 1))), c.QueryInt("max", defaultMax)
	deadline := time.Now().Add(time.Duration(c.QueryInt("wait")) * time.Millisecond)
	for {
		mode := s.Inject(c, "read")
		if mode == faults.Down {
			return nil
		}
		mood := s.NextChange()
		now := time.Now()
		batch, more := s.store.read(now, c.Params("stream"), from, limit)
		// What a reader beyond the end of a restored stream waits for may never be appended again.
		lacksRecords := from > batch.Next && s.store.isRestored()
		if len(batch.Records) > 0 || !now.Before(deadline) || from < batch.First || lacksRecords {
			return s.answer(c, mode, batch)
		}
		timer := time.NewTimer(deadline.Sub(now))
		select {
		case <-more:
		case <-mood:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// setEras tells how often the service was restored, and what the stream lost each time.
func (s *Server) setEras(c *fiber.Ctx) {
	eras, age := s.store.erasOf(time.Now(), c.Params("stream"))
	if len(eras) == 0 {
		return
	}
	var list []string
	for _, e := range eras {
		list = append(list, fmt.Sprintf("%d=%d", e.number, e.first))
	}
	c.Set("Log-Eras", strings.Join(list, ","))
	c.Set("Log-Era-Age", strconv.FormatInt(age.Milliseconds(), 10))
}

func (s *Server) answer(c *fiber.Ctx, mode faults.Mode, batch Batch) error {
	s.counts.reads.Add(1)
	if mode == faults.Lost {
		faults.ResetConnection(c)
		return nil
	}
	s.setEras(c)
	err := c.JSON(batch)
	s.counts.out.Add(int64(len(c.Response().Body())))
	return err
}

func (s *Server) control(c *fiber.Ctx) error {
	var cmd Command
	if err := json.Unmarshal(c.Body(), &cmd); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if cmd.Trim != nil {
		s.store.trim(cmd.Trim.Stream, cmd.Trim.Below)
	}
	if cmd.Restore > 0 {
		s.Restore(time.Now(), time.Duration(cmd.Restore)*time.Millisecond)
	}
	if cmd.Mode != "" {
		if err := s.SetFault(cmd.Fault); err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
	}
	return c.JSON(s.Counts())
}

// Restore replaces all records by a copy of some time ago: offsets go back and are given out again.
func (s *Server) Restore(now time.Time, ago time.Duration) { s.store.restore(now, ago) }

// Counts returns what the service has done so far.
func (s *Server) Counts() Counts {
	return Counts{
		Streams: s.store.ranges(),
		Appends: s.counts.appends.Load(), Refused: s.counts.refused.Load(), Reads: s.counts.reads.Load(),
		In: s.counts.in.Load(), Out: s.counts.out.Load(),
	}
}
