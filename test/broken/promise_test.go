package broken_test

import (
	"fmt"
	"testing"
)

// Guards against a status that promises the caller that its request has not run, though the server has not said so, or says at once that
// it ran and that it did not.
func TestPromise(t *testing.T) {
	const notRun = "X-Bramleycove-Not-Run: 1\r\n"
	for _, c := range []struct {
		status int
		fields string
		want   int
	}{
		{503, "STAMP", 502},
		{503, "X-Bramleycove-Request-Id: ID\r\n", 502},
		{429, "STAMP", 502},
		{408, "STAMP", 502},
		{200, "STAMP" + notRun, 502},
		{302, "STAMP" + notRun, 502},
		{503, "X-Bramleycove-Request-Id: ID\r\n" + notRun, 503},
		{429, "STAMP" + notRun, 503},
		{421, "STAMP" + notRun, 503},
		{400, "STAMP" + notRun, 503},
		{200, "STAMP", 200},
		{302, "STAMP", 302},
		{400, "STAMP", 400},
		{404, "STAMP", 404},
		{500, "STAMP", 500},
		{502, "STAMP", 502},
		{504, "STAMP", 504},
	} {
		t.Run(fmt.Sprint(c.status, c.fields), func(t *testing.T) {
			t.Parallel()
			text := fmt.Sprintf("HTTP/1.1 %d Status\r\n%sRetry-After: 0.1\r\nContent-Length: 2\r\n\r\nok", c.status, c.fields)
			addr := startRouter(t, false, startServer(t, "s", answering(text)))
			if a := call(t, addr, "GET", "/once/", "r1", nil); a.status != c.want || c.want == c.status && c.want < 500 && a.body != "ok" {
				t.Errorf("got %d %q, want %d", a.status, a.body, c.want)
			}
		})
	}
}
