// Package bench_test measures the cost of each role of an instance by size. docs/CAPACITY.md gives the results.
package bench_test

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// cpu returns the processor time used by this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// counter is a listener that counts the bytes of its connections, without those of TCP and IP.
type counter struct {
	net.Listener
	in, out atomic.Int64
}

func (c *counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &counted{conn, c}, nil
}

type counted struct {
	net.Conn
	c *counter
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(int64(n))
	return n, err
}
