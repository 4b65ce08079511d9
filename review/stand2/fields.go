package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// headBytes is the length of a head, fieldLine one of the lines that fill it.
	headBytes = 16000
	fieldLine = "a: 1\r\n"
	// bodyBytes is the announced length of a body, of which the last byte never comes.
	bodyBytes = 100
	// crowd is the number of such connections to a machine, openPause the time between two.
	crowd     = 1200
	openPause = time.Millisecond
	stayTime  = 12 * time.Second

	memoryLimit  = 284 << 20 // of a process
	restartDelay = 500 * time.Millisecond
	crowdTime    = 20 * time.Second
	// The rule counts ends of processes on two machines or more, from three on each.
	leastEnds, leastMachines = 3, 2
)

// shortFields shows that requests within the published limits, whose heads hold many short fields and whose bodies stop short of their
// end, make processes exceed their memory. Without the trouble, heads of the same length hold one long field.
func shortFields(c *trial) (broken bool, err error) {
	if err := c.addServers("orders", 8); err != nil {
		return false, err
	}
	if err := c.addServers("catalogue", 8); err != nil {
		return false, err
	}
	err = c.publish(1, route{"read", "/read/", "idempotent", "catalogue"}, route{"order", "/order/", "non_idempotent", "orders"})
	if err != nil {
		return false, err
	}
	if err := c.start(); err != nil {
		return false, err
	}
	load := c.startClients(6, "/read/x")
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var wg sync.WaitGroup
	ends := make([]int, leastMachines)
	for i := range ends {
		d := c.daemons[i]
		wg.Go(func() { c.sendCrowd(ctx, d) })
		wg.Go(func() { ends[i] = c.enforceMemory(ctx, d) })
	}
	wg.Wait()
	calls, served := load.stop(), 0
	for _, x := range calls {
		c.note("sent %s at %s to %s: %d %s at %s", x.id, c.at(x.sent), x.daemon, x.status, x.body, c.at(x.done))
		if x.status == 200 {
			served++
		}
	}
	c.noteRuns()
	c.note("%d of %d ordinary requests were served", served, len(calls))
	most := 0
	for i, n := range ends {
		c.note("processes of %s that exceeded their memory: %d", c.daemons[i].Name, n)
		if n >= leastEnds {
			most++
		}
	}
	return most >= leastMachines, nil
}

// head returns the head of an order.
func (c *trial) head(id string) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "POST /order/x HTTP/1.1\r\nHost: %s\r\nX-Bramleycove-Request-Id: %s\r\nX-Bramleycove-Deadline-Ms: 4000\r\nContent-Length: %d\r\n",
		host, id, bodyBytes)
	if c.trouble {
		for b.Len()+len(fieldLine) <= headBytes {
			_, _ = b.WriteString(fieldLine)
		}
	} else {
		_, _ = b.WriteString("a: " + strings.Repeat("1", headBytes-b.Len()-len("a: \r\n")) + "\r\n")
	}
	_, _ = b.WriteString("\r\n")
	return b.Bytes()
}

// sendCrowd keeps a crowd of connections to a daemon open, each with an order whose body lacks its last byte.
func (c *trial) sendCrowd(ctx context.Context, d *daemon) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range crowd {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.holdOrder(ctx, d, fmt.Sprintf("c-%s-%d-%d", d.Name, i, n))
				time.Sleep(restartDelay)
			}
		})
		time.Sleep(openPause)
	}
}

// holdOrder sends an order without the end of its body and waits until the connection ends or stayTime has passed.
func (c *trial) holdOrder(ctx context.Context, d *daemon, id string) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", d.front)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := conn.Write(append(c.head(id), bytes.Repeat([]byte("x"), bodyBytes-1)...)); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(stayTime))
	_, _ = io.Copy(io.Discard, conn)
}

// enforceMemory does what the platform does: it kills a process that exceeds its memory and starts it again after a short delay. It
// returns how often that happened.
func (c *trial) enforceMemory(ctx context.Context, d *daemon) (ends int) {
	most := 0
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		used := memoryOf(d.Pid())
		most = max(most, used)
		if used <= memoryLimit && d.Running() {
			continue
		}
		ends++
		c.note("%s holds %d MB of memory and is killed", d.Name, used>>20)
		_ = d.Signal(syscall.SIGKILL) // it may have ended by itself
		if _, err := d.Wait(5 * time.Second); err != nil {
			c.note("%v", err)
		}
		time.Sleep(restartDelay)
		if err := d.Start(); err != nil {
			c.note("%v", err)
			return ends
		}
	}
	c.note("%s held %d MB of memory at most", d.Name, most>>20)
	return ends
}

// memoryOf returns the anonymous memory of a process in bytes: its own, without that of its program file.
func memoryOf(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _, _ := strings.Cut(strings.TrimSpace(text), " ")
			n, err := strconv.Atoi(kb)
			if err != nil {
				return 0
			}
			return n << 10
		}
	}
	return 0
}
