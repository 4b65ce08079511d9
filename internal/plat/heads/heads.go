// Package heads reads the heads and trailers of HTTP answers. It rejects all that no sound server sends, where the HTTP library accepts
// more: such an answer is damaged, and where its body ends depends on the reader.
package heads

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

var (
	// ErrStatus means that an answer does not begin with a status line, or that its status is 101, below 100 or above 599.
	ErrStatus = errors.New("answer without valid status")
	// ErrMalformed means that a line of the head or the trailer of an answer is malformed.
	ErrMalformed = errors.New("malformed answer")
	// ErrInterim means that a server sent too many interim (1xx) answers.
	ErrInterim = errors.New("too many interim answers")
)

const (
	// maxInterim bounds the interim (1xx) answers to one request. Each costs processor time.
	maxInterim           = 16
	minStatus, maxStatus = 100, 599
)

// Read reads the header of the final answer into resp and skips interim (1xx) ones.
func Read(resp *fasthttp.Response, br *bufio.Reader) error {
	for range maxInterim + 1 {
		if _, err := peekLines(br, true, new(checker).check); err != nil {
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

// checker checks the lines of a head in turn.
type checker struct {
	isHTTP10             bool
	hasLength, hasCoding bool // fields that frame the body
}

// check returns an error if line n is malformed, or if it contradicts the framing that earlier lines state. Recipients differ in which
// of the two they believe.
func (h *checker) check(n int, line []byte) error {
	if n == 0 {
		h.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0"))
		return checkStatusLine(line)
	}
	h.hasLength = h.hasLength || isField(line, fasthttp.HeaderContentLength)
	h.hasCoding = h.hasCoding || isField(line, fasthttp.HeaderTransferEncoding)
	if h.hasCoding && (h.hasLength || h.isHTTP10) {
		return errors.Wrapf(ErrMalformed, "framing with %.100q", line)
	}
	return checkField(line)
}

// SkipTrailer reads a trailer and checks its lines. Its fields are dropped: nothing that decides about an answer may come after its body.
func SkipTrailer(br *bufio.Reader) error {
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
		return errors.Wrapf(ErrMalformed, "trailer %.100q", line)
	}
	return nil
}
