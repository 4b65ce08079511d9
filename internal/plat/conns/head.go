package conns

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
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
		if _, err := peekLines(br, true, new(headChecker).check); err != nil {
			return err
		}
		if err := resp.Header.Read(br); err != nil {
			return err
		}
		switch s := resp.StatusCode(); {
		case s >= 200:
			return nil
		case s == fasthttp.StatusSwitchingProtocols:
			return ErrStatus // no request asks for another protocol
		}
	}
	return ErrInterim
}

// headChecker checks the lines of a head in turn.
type headChecker struct {
	isHTTP10             bool
	hasLength, hasCoding bool // fields that frame the body
}

// check returns an error if line n is malformed, or if it contradicts the framing that earlier lines state. Recipients differ in which
// of the two they believe.
func (h *headChecker) check(n int, line []byte) error {
	if n == 0 {
		h.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		return checkStatusLine(line)
	}
	h.hasLength = h.hasLength || isField(line, fasthttp.HeaderContentLength)
	h.hasCoding = h.hasCoding || isField(line, fasthttp.HeaderTransferEncoding)
	if h.hasCoding && (h.hasLength || h.isHTTP10) {
		return errors.Wrapf(ErrMalformed, "framing with %q", line)
	}
	return checkField(line)
}

// skipTrailer checks the lines of a trailer. Its fields are dropped: nothing that decides about an answer may come after its body.
func skipTrailer(br *bufio.Reader) error {
	size, err := peekLines(br, false, checkTrailerLine)
	if err != nil {
		return err
	}
	_, err = br.Discard(size)
	return err
}

func checkTrailerLine(_ int, line []byte) error {
	if err := checkField(line); err != nil {
		return err
	}
	if isField(line, fasthttp.HeaderContentLength) || isField(line, fasthttp.HeaderTransferEncoding) {
		return errors.Wrapf(ErrMalformed, "trailer %q", line)
	}
	return nil
}
