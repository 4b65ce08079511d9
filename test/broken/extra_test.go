package broken_test

import (
	"testing"
	"time"
)

// Guards against what a server sends behind a complete answer, at once or while the next request runs, and that reaches the next caller.
func TestBytesBehindAnswer(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nX-Bramleycove-Request-Id: other\r\nX-Bramleycove-Server-Stamp: s.other\r\n"
	for name, c := range map[string]struct {
		extra string
		late  bool
		want  int // status of the next answer, or 502
	}{
		"garbage":                      {"\x00\xff garbage\r\n\r\n", false, 200},
		"blank line":                   {"\r\n", false, 200},
		"other answer":                 {other + "Content-Length: 2\r\n\r\nno", false, 200},
		"part of an answer":            {"HTTP/1.1 200 OK\r\nContent-Le", false, 200},
		"garbage, late":                {"\x00\xff garbage\r\n\r\n", true, 502},
		"blank line, late":             {"\r\n", true, 200},
		"other answer, late":           {other + "Content-Length: 2\r\n\r\nno", true, 200},
		"two other answers, late":      {other + "Content-Length: 2\r\n\r\nno" + other + "Content-Length: 2\r\n\r\nno", true, 200},
		"other answer in chunks, late": {other + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", true, 200},
		"endless other answer, late":   {other + "\r\nno", true, 502},
		"answer without id, late":      {"HTTP/1.1 200 OK\r\nX-Bramleycove-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno", true, 200},
		"part of an answer, late":      {"HTTP/1.1 200 OK\r\nContent-Le", true, 502},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startRouter(t, false, startServer(t, "s", func(sc *serverConn) {
				for first := true; ; first = false {
					id, err := sc.next()
					if err != nil {
						return
					}
					if !first && c.late {
						sc.reply(c.extra, id)
					}
					sc.reply("HTTP/1.1 200 OK\r\nSTAMPContent-Length: 2\r\n\r\nID", id)
					if first && !c.late {
						sc.reply(c.extra, id)
					}
				}
			}))
			if a := call(t, addr, "GET", "/once/", "r1", nil); a.status != 200 || a.body != "r1" {
				t.Fatalf("first: %d %q", a.status, a.body)
			}
			time.Sleep(20 * time.Millisecond) // what was sent at once has arrived
			a := call(t, addr, "GET", "/once/", "r2", nil)
			if a.status != c.want || a.status == 200 && (a.body != "r2" || a.header.Get("X-Bramleycove-Server-Stamp") != "s.r2") {
				t.Errorf("next: %d %q, %v", a.status, a.body, a.header)
			}
		})
	}
}
