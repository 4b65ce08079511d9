package broken_test

import "testing"

// Guards against an answer whose fields name several requests and that counts as the answer to one of them.
func TestSeveralIDs(t *testing.T) {
	const id, other = "X-Bramleycove-Request-Id: ID\r\n", "X-Bramleycove-Request-Id: other\r\n"
	for name, c := range map[string]struct {
		fields string
		status int
	}{"another id last": {id + other, 502}, "another id first": {other + id, 502}, "no id": {"", 502}, "id twice": {id + id, 200}, "id in other case": {"x-bramleycove-request-id:ID\r\n", 200}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startRouter(t, false, startServer(t, "s", func(sc *serverConn) {
				if rid, err := sc.next(); err == nil {
					sc.reply("HTTP/1.1 200 OK\r\nX-Bramleycove-Server-Stamp: s\r\n"+c.fields+"Content-Length: 2\r\n\r\nok", rid)
				}
			}))
			if a := call(t, addr, "GET", "/once/", "r1", nil); a.status != c.status {
				t.Errorf("got %d %q, want %d", a.status, a.body, c.status)
			}
		})
	}
}
