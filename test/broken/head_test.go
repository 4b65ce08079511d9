package broken_test

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a server's malformed head that reaches the caller as an answer, with the malformed line passed on or with a body that is
// framed otherwise than the server's.
func TestMalformedHead(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nSTAMP"
	for name, text := range map[string]string{
		"blank in a name":             whole + "X Bad: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank in Content-Length":     whole + "Content Length: 2\r\n\r\nok more",
		"blank before the colon":      whole + "Content-Length : 2\r\n\r\nok more",
		"tab before the colon":        whole + "X-Bad\t: 1\r\nContent-Length: 2\r\n\r\nok",
		"no name":                     whole + ": 1\r\nContent-Length: 2\r\n\r\nok",
		"no colon":                    whole + "X-Bad\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a name":      whole + "X-\x01Bad: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte before a name":  whole + "\x0bContent-Length: 2\r\n\r\nok more",
		"DEL in a name":               whole + "X-Bad\x7f: 1\r\nContent-Length: 2\r\n\r\nok",
		"NUL after a name":            whole + "Content-Length\x00: 2\r\n\r\nok more",
		"high byte in a name":         whole + "X-B\xe4d: 1\r\nContent-Length: 2\r\n\r\nok",
		"separator in a name":         whole + "X(Bad): 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte in a value":     whole + "X-Bad: a\x01b\r\nContent-Length: 2\r\n\r\nok",
		"NUL in a value":              whole + "X-Bad: a\x00b\r\nContent-Length: 2\r\n\r\nok",
		"CR in a value":               whole + "X-Bad: a\rb\r\nContent-Length: 2\r\n\r\nok",
		"continued line":              whole + "X-Bad: a\r\n b: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank before the first name": "HTTP/1.1 200 OK\r\n X-Bad: 1\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"line without CR":             whole + "X-Bad: 1\nContent-Length: 2\r\n\r\nok",
		"end without CR":              whole + "Content-Length: 6\r\n\nok\r\n\r\n",
		"status 000":                  "HTTP/1.1 000 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"status of two digits":        "HTTP/1.1 20 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"status of four digits":       "HTTP/1.1 2000 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"signed status":               "HTTP/1.1 +20 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"status 101":                  "HTTP/1.1 101 Switching Protocols\r\nSTAMPConnection: upgrade\r\nUpgrade: x\r\n\r\nok",
		"status 600":                  "HTTP/1.1 600 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"no version":                  "HTTP 200 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"version 2.0":                 "HTTP/2.0 200 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"version 1.9":                 "HTTP/1.9 200 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"tab in the status line":      "HTTP/1.1\t200 OK\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"control byte in the reason":  "HTTP/1.1 200 O\x01K\r\nSTAMPContent-Length: 2\r\n\r\nok",
		"interim head, blank in name": "HTTP/1.1 103 Early\r\nX Bad: 1\r\n\r\n" + whole + "Content-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startRouter(t, false, startServer(t, "s", func(c *serverConn) {
				if id, err := c.next(); err == nil {
					c.reply(text, id)
				}
			}))
			if a := call(t, addr, "GET", "/once/", "r1", nil); a.status != 502 {
				t.Errorf("got %d %q, %v", a.status, a.body, a.header)
			}
		})
	}
}

// Guards against a head or body that the end of the connection cuts at any byte, and that reaches the caller as an answer.
func TestCutAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nSTAMPX-Other: 1\r\nContent-Length: 2\r\n\r\nok",
		"chunks":  "HTTP/1.1 200 OK\r\nSTAMPTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Other: 1\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\nSTAMP\r\n",
		"interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSTAMPContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := expand(text, "r1")
			for cut := range whole {
				addr := startRouter(t, false, startServer(t, "s", func(c *serverConn) {
					if _, err := c.next(); err == nil {
						_, _ = c.Write([]byte(whole[:cut]))
					}
				}))
				if a := call(t, addr, "GET", "/once/", "r1", nil); a.status != 502 {
					t.Errorf("cut at %d: got %d %q, %v", cut, a.status, a.body, a.header)
				}
			}
		})
	}
}

// Guards against unusual answers of sound servers that are refused.
func TestUnusualHead(t *testing.T) {
	for name, c := range map[string]struct {
		text, body string
		status     int
	}{
		"no reason":              {"HTTP/1.1 200\r\nSTAMPContent-Length: 2\r\n\r\nok", "ok", 200},
		"empty reason":           {"HTTP/1.1 200 \r\nSTAMPContent-Length: 2\r\n\r\nok", "ok", 200},
		"reason in other bytes":  {"HTTP/1.1 200 Sch\xf6n\tund gut\r\nSTAMPContent-Length: 2\r\n\r\nok", "ok", 200},
		"unknown status":         {"HTTP/1.1 299 Other\r\nSTAMPContent-Length: 2\r\n\r\nok", "ok", 299},
		"highest status":         {"HTTP/1.1 599 Other\r\nSTAMPContent-Length: 2\r\n\r\nok", "ok", 599},
		"version 1.0":            {"HTTP/1.0 200 OK\r\nSTAMPContent-Length: 2\r\n\r\nok", "ok", 200},
		"version 1.0, no length": {"HTTP/1.0 200 OK\r\nSTAMP\r\nok", "ok", 200},
		"no length":              {"HTTP/1.1 200 OK\r\nSTAMP\r\nok", "ok", 200},
		"names in any case":      {"HTTP/1.1 200 OK\r\nSTAMPcOnTeNt-LeNgTh: 2\r\n\r\nok", "ok", 200},
		"every byte of a name":   {"HTTP/1.1 200 OK\r\nSTAMP!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"empty value":            {"HTTP/1.1 200 OK\r\nSTAMPX-Other:\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"blanks around a value":  {"HTTP/1.1 200 OK\r\nSTAMPContent-Length: \t 2\t \r\n\r\nok", "ok", 200},
		"value in other bytes":   {"HTTP/1.1 200 OK\r\nSTAMPX-Other: \xfc\t\"a:b\"\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"chunks":                 {"HTTP/1.1 200 OK\r\nSTAMPTransfer-Encoding: Chunked\r\n\r\n01;a=\"b\"\r\no\r\n1\r\nk\r\n000\r\n\r\n", "ok", 200},
		"extensions of chunks":   {"HTTP/1.1 200 OK\r\nSTAMPTransfer-Encoding: chunked\r\n\r\n2 ; a=b;c=\"d;e\"\r\nok\r\n0;f\r\nX-Other:\r\n\r\n", "ok", 200},
		"blank behind a size":    {"HTTP/1.1 200 OK\r\nSTAMPTransfer-Encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n", "ok", 200},
		"interim answers":        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nSTAMPContent-Length: 2\r\n\r\nok", "ok", 200},
		"no content":             {"HTTP/1.1 204 No Content\r\nSTAMP\r\n", "", 204},
		"not modified":           {"HTTP/1.1 304 Not Modified\r\nSTAMPContent-Length: 2\r\n\r\n", "", 304},
		"blank line before":      {"\r\nHTTP/1.1 200 OK\r\nSTAMPContent-Length: 2\r\n\r\nok", "ok", 200},
		"head of 3 kB":           {"HTTP/1.1 200 OK\r\nSTAMPX-Other: " + strings.Repeat("x", 3000) + "\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		"same field twice":       {"HTTP/1.1 200 OK\r\nSTAMPSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startRouter(t, false, startServer(t, "s", func(s *serverConn) {
				// Byte by byte, so that every part of the answer arrives alone.
				if id, err := s.next(); err == nil {
					for _, b := range []byte(expand(c.text, id)) {
						_, _ = s.Write([]byte{b})
					}
				}
			}))
			a := call(t, addr, "GET", "/once/", "r1", nil)
			if a.status != c.status || a.body != c.body || a.header.Get("X-Bramleycove-Server-Stamp") != "s.r1" {
				t.Errorf("got %d %q, %v", a.status, a.body, a.header)
			}
			if cookies := fmt.Sprint(a.header["Set-Cookie"]); name == "same field twice" && cookies != "[a=1 b=2]" {
				t.Errorf("got %s", cookies)
			}
		})
	}
}
