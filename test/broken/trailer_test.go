package broken_test

import "testing"

const chunked = "HTTP/1.1 200 OK\r\nSTAMPTransfer-Encoding: chunked\r\nTrailer: X-Bramleycove-Not-Run, X-Other\r\n\r\n2\r\nok\r\n0\r\n"

// Guards against a trailer that changes what the head of the answer says, or that reaches the caller as a part of the head.
func TestTrailer(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"field":                 {chunked + "X-Other: 1\r\n\r\n", 200},
		"refusal":               {chunked + "X-Bramleycove-Not-Run: 1\r\n\r\n", 200},
		"length":                {chunked + "Content-Length: 1\r\n\r\n", 502},
		"other id":              {chunked + "X-Bramleycove-Request-Id: other\r\n\r\n", 200},
		"signature":             {"HTTP/1.1 200 OK\r\nX-Bramleycove-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Bramleycove-Server-Stamp: s\r\n\r\n", 502},
		"blank in a name":       {chunked + "X Bad: 1\r\n\r\n", 502},
		"blank before colon":    {chunked + "X-Bad : 1\r\n\r\n", 502},
		"control byte in value": {chunked + "X-Bad: \x01\r\n\r\n", 502},
		"continued line":        {chunked + "X-Other: 1\r\n 2\r\n\r\n", 502},
		"no colon":              {chunked + "X-Bad\r\n\r\n", 502},
		"line without CR":       {chunked + "X-Other: 1\n\r\n", 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startRouter(t, false, startServer(t, "s", answering(c.text)))
			a := call(t, addr, "GET", "/once/", "r1", nil)
			if a.status != c.status || a.status == 200 && (a.body != "ok" || a.header.Get("X-Bramleycove-Request-Id") != "r1") {
				t.Errorf("got %d %q, %v", a.status, a.body, a.header)
			}
			if a.header.Get("X-Other")+a.header.Get("X-Bramleycove-Not-Run") != "" {
				t.Errorf("the trailer was passed on: %v", a.header)
			}
		})
	}
}
