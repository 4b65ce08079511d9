// Package listsv plays the platform's list of instances and backend servers: it lags by a set time and shows faults
// on demand.
package listsv

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v2"

	"github.com/bramleycove/bramleycove/internal/stand/faults"
)

// The states of an entry.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is an entry instance in the list.
type Instance struct {
	ID     string `json:"id"`
	DC     string `json:"dc"`
	Region string `json:"region"`
	Peer   string `json:"peer"`
	State  string `json:"state"`
}

// Server is a backend server in the list.
type Server struct {
	Pool    string `json:"pool"`
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// List is the answer of the service.
type List struct {
	Instances []Instance `json:"instances"`
	Servers   []Server   `json:"servers"`
}

// Command is the body of POST /control. Put adds or replaces entries. Leave and Remove name instances by id and
// servers as "pool/name".
type Command struct {
	faults.Fault
	Lag    string   `json:"lag,omitempty"`
	Put    List     `json:"put"`
	Leave  []string `json:"leave,omitempty"`
	Remove []string `json:"remove,omitempty"`
}

type version struct {
	at        time.Time
	instances map[string]Instance
	servers   map[string]Server
}

// Service is a list service. It may be used by many goroutines.
type Service struct {
	*faults.StandIn
	mu       sync.Mutex
	lag      time.Duration
	versions []version // oldest first; never empty
}

// New returns a service with an empty list whose answers are lag behind.
func New(lag time.Duration) *Service {
	s := &Service{StandIn: faults.NewStandIn(), lag: lag, versions: []version{{}}}
	s.Service.Get("/v1/instances", s.get)
	s.Control.Post("/control", s.control)
	s.Control.Get("/control", func(c *fiber.Ctx) error { return c.JSON(s.current()) })
	return s
}

func (s *Service) get(c *fiber.Ctx) error {
	switch s.Inject(c, "get") {
	case faults.Down:
		return nil
	case faults.Lost:
		faults.ResetConnection(c)
		return nil
	}
	body, err := json.Marshal(s.Shown(time.Now()))
	if err != nil {
		return err
	}
	tag := fmt.Sprintf(`"%x"`, xxhash.Sum64(body))
	c.Set(fiber.HeaderETag, tag)
	if c.Get(fiber.HeaderIfNoneMatch) == tag {
		return c.SendStatus(fiber.StatusNotModified)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

// Shown returns the list as callers see it at now.
func (s *Service) Shown(now time.Time) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.versions) - 1
	for i > 0 && s.versions[i].at.After(now.Add(-s.lag)) {
		i--
	}
	return s.versions[i].list()
}

func (s *Service) current() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[len(s.versions)-1].list()
}

func (v version) list() List {
	out := List{Instances: []Instance{}, Servers: []Server{}} // empty lists have to show as [], not null
	for _, id := range slices.Sorted(maps.Keys(v.instances)) {
		out.Instances = append(out.Instances, v.instances[id])
	}
	for _, id := range slices.Sorted(maps.Keys(v.servers)) {
		out.Servers = append(out.Servers, v.servers[id])
	}
	return out
}

func (s *Service) control(c *fiber.Ctx) error {
	var cmd Command
	if err := json.Unmarshal(c.Body(), &cmd); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	if cmd.Lag != "" {
		lag, err := time.ParseDuration(cmd.Lag)
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
		s.mu.Lock()
		s.lag = lag
		s.mu.Unlock()
	}
	s.Apply(time.Now(), cmd)
	if cmd.Mode != "" {
		if err := s.SetFault(cmd.Fault); err != nil {
			return fiber.NewError(fiber.StatusBadRequest, err.Error())
		}
	}
	return c.JSON(s.current())
}

// Apply changes the entries as cmd says, visible to callers once the lag has passed.
func (s *Service) Apply(now time.Time, cmd Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.versions[len(s.versions)-1]
	v := version{at: now, instances: maps.Clone(last.instances), servers: maps.Clone(last.servers)}
	if v.instances == nil {
		v.instances, v.servers = map[string]Instance{}, map[string]Server{}
	}
	v.put(cmd.Put)
	for _, id := range cmd.Leave {
		v.leave(id)
	}
	for _, id := range cmd.Remove {
		delete(v.instances, id)
		delete(v.servers, id)
	}
	s.versions = append(s.versions, v)
}

func (v version) put(entries List) {
	for _, in := range entries.Instances {
		if in.State == "" {
			in.State = Live
		}
		v.instances[in.ID] = in
	}
	for _, sv := range entries.Servers {
		if sv.State == "" {
			sv.State = Live
		}
		v.servers[sv.Pool+"/"+sv.Name] = sv
	}
}

func (v version) leave(id string) {
	if in, ok := v.instances[id]; ok {
		in.State = Leaving
		v.instances[id] = in
	}
	if sv, ok := v.servers[id]; ok {
		sv.State = Leaving
		v.servers[id] = sv
	}
}
