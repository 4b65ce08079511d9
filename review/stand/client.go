package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Call is one request of a client and its outcome. Status 0 means that the connection ended without a complete answer.
type Call struct {
	ID, Daemon   string
	Kept         bool // it was sent on a connection that had carried another before
	Sent, Done   time.Time
	Status       int
	Stamp, Error string
}

// Clients send requests and collect their outcomes.
type Clients struct {
	record *Record
	ids    atomic.Int64
	mu     sync.Mutex
	calls  []Call
}

// Calls returns the outcomes so far.
func (c *Clients) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}

// Request is what a client sends.
type Request struct {
	Method, Path string
	Key          int // -1 without one
	Body         string
	Deadline     time.Duration
	// Rate is how fast the body is sent, in bytes per second; 0 means without a limit.
	Rate int
}

// chunkInterval is the time between the parts of a body that is sent at a limited rate.
const chunkInterval = 20 * time.Millisecond

// Conn is a client's connection to a daemon. It is not safe for concurrent use.
type Conn struct {
	*Clients
	Daemon *Daemon
	conn   net.Conn
	br     *bufio.Reader
	used   bool
}

// Do sends a request on the kept connection, or on a new one, and waits for the answer.
func (c *Conn) Do(q Request) Call {
	x := Call{ID: fmt.Sprintf("%016x", c.ids.Add(1)), Daemon: c.Daemon.Name, Sent: time.Now()}
	err := c.send(q, &x)
	x.Done = time.Now()
	if err != nil {
		x.Error = err.Error()
		c.close()
	}
	c.record.Note("answer %s from %s: status %d stamp %q kept %v error %q", x.ID, x.Daemon, x.Status, x.Stamp, x.Kept, x.Error)
	c.mu.Lock()
	c.calls = append(c.calls, x)
	c.mu.Unlock()
	return x
}

func (c *Conn) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

func (c *Conn) send(q Request, x *Call) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Daemon.Callers.String(), time.Second)
		if err != nil {
			return err
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	}
	x.Kept, c.used = c.used, true
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Bramleycove-Request-Id: %s\r\nX-Bramleycove-Deadline-Ms: %d\r\n", q.Method, q.Path, host, x.ID, q.Deadline.Milliseconds())
	if q.Key >= 0 {
		fmt.Fprintf(&b, "X-Bramleycove-Shard-Key: %d\r\n", q.Key)
	}
	if q.Body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	c.record.Note("send %s to %s: %s %s, body %d bytes, kept %v", x.ID, x.Daemon, q.Method, q.Path, len(q.Body), x.Kept)
	_ = c.conn.SetDeadline(time.Now().Add(q.Deadline + time.Second))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return err
	}
	if err := c.sendBody(q); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: q.Method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	x.Status, x.Stamp = resp.StatusCode, resp.Header.Get("X-Bramleycove-Server-Stamp")
	if resp.Close {
		c.close()
	}
	return nil
}

func (c *Conn) sendBody(q Request) error {
	part := len(q.Body)
	if q.Rate > 0 {
		part = q.Rate * int(chunkInterval) / int(time.Second)
	}
	for rest := q.Body; rest != ""; {
		n := min(part, len(rest))
		if _, err := io.WriteString(c.conn, rest[:n]); err != nil {
			return err
		}
		if rest = rest[n:]; rest != "" {
			time.Sleep(chunkInterval)
		}
	}
	return nil
}
