// Package admin serves the operator interface of an instance over HTTP.
package admin

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/goccy/go-json"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/oper/opapi"
)

// Sources provides the contents of the answers. All fields must be set and safe for concurrent use.
type Sources struct {
	Status  func() opapi.Status
	Explain func(method, path, key string) opapi.Explanation
	// Metrics returns the metrics in the Prometheus text format.
	Metrics func() ([]byte, error)
}

// Server serves the operator interface.
type Server struct {
	sources Sources
	app     *fiber.App
}

const (
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = time.Minute
	// maxConnections bounds what a faulty monitoring system can take from the instance.
	maxConnections = 64
)

// New returns a server, to be used through Serve or Handler.
func New(sources Sources) *Server {
	s := &Server{sources: sources}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, Immutable: true, JSONEncoder: json.Marshal, JSONDecoder: json.Unmarshal,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, Concurrency: maxConnections,
	})
	// A panic in a handler must not end the process.
	s.app.Use(recover.New())
	s.app.Get("/status", s.status)
	s.app.Get("/explain", s.explain)
	s.app.Get("/metrics", s.metrics)
	s.app.Get("/healthz", s.healthz)
	return s
}

// Serve answers on ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error { return s.app.Listener(ln) }

// Shutdown stops Serve and waits for the requests in progress. If ctx ends first, it returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// Handler returns the operator interface as a handler, for a listener that serves other paths too.
func (s *Server) Handler() fasthttp.RequestHandler { return s.app.Handler() }

func (s *Server) status(c *fiber.Ctx) error {
	status := s.sources.Status()
	if status.Lanes == nil {
		status.Lanes = []opapi.Lane{}
	}
	return c.JSON(status)
}

func (s *Server) explain(c *fiber.Ctx) error {
	path := c.Query("path")
	if !strings.HasPrefix(path, "/") {
		return c.Status(fiber.StatusBadRequest).SendString("the parameter path must start with \"/\"\n")
	}
	return c.JSON(s.sources.Explain(c.Query("method", fiber.MethodGet), path, c.Query("key")))
}

func (s *Server) metrics(c *fiber.Ctx) error {
	text, err := s.sources.Metrics()
	if err != nil && len(text) == 0 {
		return errors.Join(fiber.ErrInternalServerError, err)
	}
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
	return c.Send(text)
}

// healthz tells the platform's load balancer whether to send callers to this instance.
func (s *Server) healthz(c *fiber.Ctx) error {
	switch status := s.sources.Status(); {
	case status.Leaving:
		return c.Status(fiber.StatusServiceUnavailable).SendString("leaving\n")
	case !status.Ready:
		return c.Status(fiber.StatusServiceUnavailable).SendString("starting\n")
	}
	return c.SendString("ok\n")
}
