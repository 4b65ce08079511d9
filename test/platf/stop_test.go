package platf_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/test/stands"
)

// Guards against requests that arrive late in the grace of a stop, are passed on and cut without an answer at its end.
func TestLateRequestOfStop(t *testing.T) {
	t.Parallel()
	const (
		grace = 6 * time.Second // as in the fleet's settings
		work  = 1500 * time.Millisecond
		body  = "an order that arrives slowly"
	)
	f := up(t, 3, 3)
	in := f.Instances[0]
	for _, s := range f.Live("orders") {
		s.SetWork(work)
	}
	stopped := time.Now()
	if err := in.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	type outcome struct {
		id     string
		sent   time.Duration
		status int
		err    error
	}
	outcomes := make(chan outcome, 10)
	for i := range cap(outcomes) {
		go func() {
			o := outcome{id: fmt.Sprint("late-", i)}
			defer func() { outcomes <- o }()
			c, err := net.Dial("tcp", in.Callers.String())
			if o.err = err; err != nil {
				return
			}
			defer c.Close()
			_, _ = fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: test.example\r\nX-Bramleycove-Request-Id: %s\r\n"+
				"X-Bramleycove-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", o.id, len(body), body[:10])
			// The last bytes come between the half and the end of the grace.
			time.Sleep(time.Until(stopped.Add(grace/2 + time.Duration(1+i)*200*time.Millisecond)))
			o.sent = time.Since(stopped)
			_, _ = fmt.Fprint(c, body[10:])
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if o.err = err; err == nil {
				o.status = resp.StatusCode
				_ = resp.Body.Close()
			}
		}()
	}
	status := make(map[string]int)
	for range cap(outcomes) {
		o := <-outcomes
		if status[o.id] = o.status; o.err != nil || o.status != 200 && o.status != 503 {
			t.Errorf("%s, sent %v after the signal: status %d, %v", o.id, o.sent, o.status, o.err)
		}
	}
	f.Journal.Each(func(r stands.Run) {
		if status[r.Request] == 503 {
			t.Errorf("%s ran, and the caller was told that it did not", r.Request)
		}
	})
}
