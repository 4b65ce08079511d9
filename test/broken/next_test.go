package broken_test

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an earlier refusal that counts for the same request, or for another one without an id, while that runs: the server writes
// it once more on the connection in use or on a later one. The caller would be told to try again, or the router would.
func TestRefusalOnLaterConnection(t *testing.T) {
	const onKept, onAccept, onRequest = "kept connection", "next one, at once", "next one, on the request"
	for _, status := range []int{400, 421, 429, 503} {
		for _, id := range []string{"r1", ""} {
			for _, where := range []string{onKept, onAccept, onRequest} {
				t.Run(fmt.Sprint(status, " ", id, " ", where), func(t *testing.T) {
					t.Parallel()
					echo := ""
					if id != "" {
						echo = "X-Bramleycove-Request-Id: " + id + "\r\n"
					}
					refusal := fmt.Sprintf("HTTP/1.1 %d No\r\n%sX-Bramleycove-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status, echo)
					success := "HTTP/1.1 200 OK\r\n" + echo + "X-Bramleycove-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
					var requests atomic.Int32
					addr := startRouter(t, false, startServer(t, "s", func(c *serverConn) {
						if where == onAccept && requests.Load() > 0 {
							_, _ = io.WriteString(c, refusal)
						}
						for n := 0; ; n++ {
							if _, err := c.next(); err != nil {
								return
							}
							if requests.Add(1) == 1 {
								_, _ = io.WriteString(c, refusal)
								continue
							}
							if where == onKept && n > 0 || where == onRequest && n == 0 {
								_, _ = io.WriteString(c, refusal)
							}
							_, _ = io.WriteString(c, success)
						}
					}))
					if a := call(t, addr, "POST", "/once/", id, nil); a.status != 503 || requests.Load() != 1 {
						t.Fatalf("refused: %d, %d requests", a.status, requests.Load())
					}
					a := call(t, addr, "POST", "/once/", id, nil)
					// A connection on which the copy was read first is closed, perhaps before the server has read the request.
					if a.status != 200 && a.status != 502 || where == onKept && a.status != 200 || requests.Load() > 2 {
						t.Errorf("%d %q, %d requests", a.status, a.body, requests.Load())
					}
				})
			}
		}
	}
}

// Guards against refusals of full servers that are passed on as anything else than a refusal.
func TestGenuineRefusals(t *testing.T) {
	addr := startRouter(t, false, startServer(t, "s", answering(refusal)), startServer(t, "other", answering(strings.Replace(refusal, "503 Full", "429 Slow", 1))))
	for i := range 3 {
		if a := call(t, addr, "POST", "/once/", fmt.Sprint("r", i), nil); a.status != 503 || a.header.Get("Retry-After") == "" {
			t.Errorf("request %d: %d, %v", i, a.status, a.header)
		}
	}
}
