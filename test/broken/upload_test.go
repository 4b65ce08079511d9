package broken_test

import (
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"
)

const unframed = "HTTP/1.1 200 OK\r\nSTAMP\r\npart"

// Guards against a part of an answer without a length that reaches the caller as the whole one: the server resets the connection during
// the upload, and the failure of the write hides the reset from the reader.
func TestResetDuringUpload(t *testing.T) {
	for name, size := range map[string]int{"written beside the answer": 4 << 20, "written before the answer": 16 << 10} {
		t.Run(name, func(t *testing.T) {
			var pause atomic.Int64
			s := startServer(t, "s", func(c *serverConn) {
				id, err := c.next()
				if err != nil {
					return
				}
				c.reply(unframed, id)
				time.Sleep(time.Duration(pause.Load()%5) * 100 * time.Microsecond)
				_ = c.SetLinger(0) // closing resets the connection
			})
			body, got := make([]byte, size), make(map[int]int)
			const n = 100
			for i := range n {
				pause.Store(int64(i))
				got[call(t, startRouter(t, false, s), "POST", "/once/", fmt.Sprint("r", i), body).status]++
			}
			if got[502] != n {
				t.Errorf("callers got %v, by status", got)
			}
		})
	}
}

// Guards against a whole answer without a length that is refused because the server gave it before it had read the upload.
func TestEarlyAnswer(t *testing.T) {
	addr := startRouter(t, false, startServer(t, "s", func(c *serverConn) {
		id, err := c.next()
		if err != nil {
			return
		}
		c.reply(unframed, id)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c.br)
	}))
	for i, size := range []int{0, 1 << 10, 16 << 10, 4 << 20} {
		if a := call(t, addr, "POST", "/once/", fmt.Sprint("r", i), make([]byte, size)); a.status != 200 || a.body != "part" {
			t.Errorf("%d bytes: %+v", size, a)
		}
	}
}
