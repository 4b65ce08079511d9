package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host         = "test.example"
	callDeadline = 2 * time.Second
)

// call is one attempt of a client and its outcome. A status of 0 means that the connection failed.
type call struct {
	id, path, daemon string
	key              int
	sent, done       time.Time
	status           int
	stamp, body      string
}

// clients send requests until stop is called.
type clients struct {
	f    *fleet
	wg   sync.WaitGroup
	end  context.CancelFunc
	mu   sync.Mutex
	all  []*call
	next int
}

// startClients starts n clients that send a GET request to path, with a random key, each 50 ms.
func (f *fleet) startClients(n int, path string) *clients {
	ctx, end := context.WithCancel(context.Background())
	c := &clients{f: f, end: end}
	for i := range n {
		c.wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 1))
			h := &http.Client{Timeout: callDeadline}
			for ctx.Err() == nil {
				c.send(h, f.daemons[rnd.IntN(len(f.daemons))], path, rnd.IntN(65536))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return c
}

func (c *clients) send(h *http.Client, d *daemon, path string, key int) {
	c.mu.Lock()
	c.next++
	x := &call{id: fmt.Sprintf("r%06d", c.next), path: path, daemon: d.Name, key: key, sent: time.Now()}
	c.all = append(c.all, x)
	c.mu.Unlock()
	r, err := http.NewRequest(http.MethodGet, "http://"+d.front+path, http.NoBody)
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set("X-Bramleycove-Request-Id", x.id)
	r.Header.Set("X-Bramleycove-Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	r.Header.Set("X-Bramleycove-Shard-Key", strconv.Itoa(key))
	resp, err := h.Do(r)
	if err == nil {
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			x.status, x.stamp, x.body = resp.StatusCode, resp.Header.Get("X-Bramleycove-Server-Stamp"), strings.TrimSpace(string(body))
		}
	}
	x.done = time.Now()
}

// stop waits for the calls in progress and returns all.
func (c *clients) stop() []*call {
	c.end()
	c.wg.Wait()
	return c.all
}
