package broken_test

import "testing"

// Guards against bodies whose framing is contradictory or malformed and that reach the caller as some answer.
func TestMalformedFraming(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nSTAMP"
	const chunks = whole + "Transfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]string{
		"length and chunks":          whole + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks and length":          whole + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks of 1.0":              "HTTP/1.0 200 OK\r\nSTAMPTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks and length of 1.0":   "HTTP/1.0 200 OK\r\nSTAMPContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"two lengths":                whole + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
		"two lengths in a line":      whole + "Content-Length: 2, 3\r\n\r\nok!",
		"no digits":                  whole + "Content-Length: \r\n\r\nok",
		"sign":                       whole + "Content-Length: +2\r\n\r\nok",
		"negative length":            whole + "Content-Length: -2\r\n\r\nok",
		"hexadecimal length":         whole + "Content-Length: 0x2\r\n\r\nok",
		"blank in the length":        whole + "Content-Length: 2 3\r\n\r\nok",
		"length of more than 64 bit": whole + "Content-Length: 18446744073709551618\r\n\r\nok",
		"unknown coding":             whole + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"identity":                   whole + "Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nok",
		"chunked twice":              whole + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"empty coding":               whole + "Transfer-Encoding: \r\nContent-Length: 2\r\n\r\nok",
		"chunk without size":         chunks + "\r\nok\r\n0\r\n\r\n",
		"chunk of negative size":     chunks + "-2\r\nok\r\n0\r\n\r\n",
		"chunk with sign":            chunks + "+2\r\nok\r\n0\r\n\r\n",
		"chunk with prefix":          chunks + "0x2\r\nok\r\n0\r\n\r\n",
		"chunk of more than 64 bit":  chunks + "10000000000000002\r\nok\r\n0\r\n\r\n",
		"control byte in extension":  chunks + "2;a=\x01b\r\nok\r\n0\r\n\r\n",
		"NUL in an extension":        chunks + "2;\x00\r\nok\r\n0\r\n\r\n",
		"CR in an extension":         chunks + "2;a\rb\r\nok\r\n0\r\n\r\n",
		"text behind a size":         chunks + "2 a\r\nok\r\n0\r\n\r\n",
		"chunk too short":            chunks + "1\r\nok\r\n0\r\n\r\n",
		"chunk too long":             chunks + "3\r\nok\r\n0\r\n\r\n",
		"chunk size without CR":      chunks + "2\nok\r\n0\r\n\r\n",
		"chunk without CR":           chunks + "2\r\nok\n0\r\n\r\n",
		"no last chunk":              chunks + "2\r\nok\r\n",
		"no end of the trailer":      chunks + "2\r\nok\r\n0\r\n",
		"body of an interim answer":  "HTTP/1.1 103 Early\r\nContent-Length: 2\r\n\r\nok" + whole + "Content-Length: 2\r\n\r\nok",
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
