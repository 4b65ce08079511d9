package conns

import (
	"bufio"

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
		if _, err := peekLines(br, true, checkHeadLine); err != nil {
			return err
		}
		if err := resp.Header.Read(br); err != nil {
			return err
		}
		if s := resp.StatusCode(); s >= 200 || s == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return ErrInterim
}

func checkHeadLine(n int, line []byte) error {
	if n == 0 {
		return checkStatusLine(line)
	}
	return checkField(line)
}
