package heads_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/heads"
)

// Guards against a head that is accepted though another reader rejects it, or takes another status or length from it.
func FuzzRead(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nX: a\tb\r\n\r\n",
		"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nset-cookie: b=2\r\nDate:\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n", "HTTP/1.1 200 OK\nX: 1\r\n y\r\n\r\n", "HTTP/1.1 101 OK\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 000\r\n\r\n",
		"\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		resp := new(fasthttp.Response)
		if heads.Read(resp, bufio.NewReader(bytes.NewReader(text))) != nil {
			return
		}
		br := bufio.NewReader(bytes.NewReader(text))
		other := &http.Response{StatusCode: 100}
		for other.StatusCode < 200 {
			for b, _ := br.Peek(2); string(b) == "\r\n"; b, _ = br.Peek(2) {
				_, _ = br.Discard(2) // the other reader skips no empty lines
			}
			var err error
			if other, err = http.ReadResponse(br, nil); err != nil {
				t.Fatalf("%q is accepted: %v", text, err)
			}
		}
		if other.StatusCode != resp.StatusCode() {
			t.Errorf("%q: status %d, want %d", text, resp.StatusCode(), other.StatusCode)
		}
		if other.StatusCode == 204 || other.StatusCode == 304 {
			return // without a body, whatever the head says
		}
		want := other.ContentLength
		if want == -1 && len(other.TransferEncoding) == 0 {
			want = -2
		}
		if n := int64(resp.Header.ContentLength()); n != want {
			t.Errorf("%q: length %d, want %d", text, n, want)
		}
	})
}

func ExampleRead() {
	const text = "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\nok"
	fmt.Println(heads.Read(new(fasthttp.Response), bufio.NewReader(bytes.NewReader([]byte(text)))))
	// Output: field "Content Length: 2": malformed answer
}
