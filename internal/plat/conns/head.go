package conns

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"
)

const (
	// maxInterim bounds the interim (1xx) answers to one request. Each costs processor time.
	maxInterim           = 16
	minStatus, maxStatus = 100, 599
)

// readHeader reads the header of the final answer and skips interim (1xx) ones.
func readHeader(resp *fasthttp.Response, br *bufio.Reader) error {
	for range maxInterim + 1 {
		zero := hasStatusZero(br)
		if err := resp.Header.Read(br); err != nil {
			return err
		}
		s := resp.StatusCode()
		if zero || s < minStatus || s > maxStatus {
			return ErrStatus
		}
		if s >= 200 || s == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return ErrInterim
}

// hasStatusZero waits for the status line of an answer, without consuming it, and reports whether the status is 000. The HTTP library
// gives 200 for it.
func hasStatusZero(br *bufio.Reader) bool {
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return false // reading the header fails too
		}
		buffered, _ := br.Peek(br.Buffered())
		line, _, complete := bytes.Cut(bytes.TrimLeft(buffered, "\r\n"), []byte{'\n'})
		if complete {
			fields := bytes.Fields(line)
			return len(fields) > 1 && string(fields[1]) == "000"
		}
	}
}
