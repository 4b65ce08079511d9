package platf_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/test/platf"
	"github.com/bramleycove/bramleycove/test/stands"
)

// brokenServer gives one broken answer and resets the connection behind it if cut is set.
type brokenServer struct {
	text     string
	cut      bool
	requests atomic.Int32
}

func (s *brokenServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	s.requests.Add(1)
	id := req.Header.Get("X-Bramleycove-Request-Id")
	signed := "X-Bramleycove-Request-Id: " + id + "\r\nX-Bramleycove-Server-Stamp: s." + id + "\r\n"
	_, _ = io.WriteString(c, strings.ReplaceAll(s.text, "SIGNED", signed))
	if s.cut {
		time.Sleep(time.Millisecond)
		_ = c.SetLinger(0)
	}
}

// start listens and registers as the only server of a service.
func (s *brokenServer) start(t *testing.T, d *deployment, service string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	registered := &stands.Server{
		ID: "s-" + service, Service: service, DC: d.DCs[0], Born: time.Now().UnixMilli(), Slots: 3, Journal: new(stands.Journal), Store: d.Store,
		Address: netip.MustParseAddrPort(ln.Addr().String()),
	}
	if err := registered.Start(d.Heartbeat); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { registered.Kill(true) })
}

// upload sends a request of 4 MB and returns the status of the answer, 0 if there is none.
func upload(t *testing.T, addr netip.AddrPort, path string) int {
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	const size = 4 << 20
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: test.example\r\nX-Bramleycove-Request-Id: up-%s\r\nContent-Length: %d\r\n\r\n", path, path[1:3], size)
	if _, err := io.WriteString(c, head+strings.Repeat("x", size)); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against broken answers that reach callers through the whole daemon, and against requests that run again after one.
func TestBrokenAnswers(t *testing.T) {
	d := up(t, 2, 2, func(f *platf.Fleet) { f.Store.MaxBody = 4 << 20 })
	servers := make(map[string]*brokenServer)
	for i := range 10 { // the write or the read may get the reset
		servers[fmt.Sprintf("u%d", i)] = &brokenServer{text: "HTTP/1.1 200 OK\r\nSIGNED\r\npart", cut: true}
	}
	for i, text := range []string{
		"HTTP/1.1 200 OK\r\nSIGNEDX Bad: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nSIGNEDContent Length: 2\r\n\r\nok more",
		"HTTP/1.1 200 OK\r\nSIGNEDX\x01Bad: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 OK\r\nSIGNEDContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSIGNEDContent-Le", "HTTP/1.1 200 OK\r\nSIGNEDContent-Length: 9\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "HTTP/1.1 503 Full\r\nSIGNEDContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nSIGNEDTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Bramleycove-Not-Run: 1\r\nX Bad: 1\r\n\r\n",
	} {
		servers[fmt.Sprintf("b%d", i)] = &brokenServer{text: text}
	}
	for service, s := range servers {
		d.Services = append(d.Services, service)
		d.Routes = append(d.Routes, stands.Route{Name: service, Prefix: "/" + service + "/", Service: service, Once: true, Timeout: 2 * time.Second})
		s.start(t, d, service)
	}
	d.Publish()
	c := d.NewClient()
	for service, s := range servers {
		status := 0
		d.await(service+" got a request", 10*time.Second, func() bool {
			if s.cut {
				status = upload(t, d.Instances[0].Callers, "/"+service+"/")
			} else {
				status = c.Do(d.Instances[0], "/"+service+"/", -1, time.Second).Status
			}
			return s.requests.Load() > 0
		})
		if status != 502 || s.requests.Load() != 1 {
			t.Errorf("%s, %q: the caller got %d, the server %d requests", service, s.text, status, s.requests.Load())
		}
	}
}
