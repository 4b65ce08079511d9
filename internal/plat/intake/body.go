package intake

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("body too long")

const (
	// firstBytes is the first allocation for a body, whatever its announced length.
	firstBytes = 4 << 10
	// fastGrowth and slowGrowth are the factors by which buffers grow. A longer buffer may stay unused, a shorter one leaves more
	// garbage. Buffers of bodies of unknown length grow slowly up to slowBytes: beyond that, a body of 64 MB took 183 MB.
	fastGrowth, slowGrowth = 4, 2
	slowBytes              = 16 << 20
)

// nextSize returns the size of the buffer that follows one of size bytes.
func nextSize(size, length, maxLength int) int {
	switch {
	case length >= 0:
		return min(max(firstBytes, size*fastGrowth), length)
	case size < slowBytes:
		return min(max(firstBytes, size*slowGrowth), maxLength+1)
	default:
		return min(size*fastGrowth, maxLength+1)
	}
}

// ReadBody reads a body from r into a buffer of its own, whose bytes it takes as the body arrives. length is the announced
// length, -1 if there is none; then the body ends with r. maxLength bounds the length in bytes.
func (p *Part) ReadBody(r io.Reader, length, maxLength int) ([]byte, error) {
	if length > maxLength {
		return nil, ErrTooLong
	}
	var buf []byte
	for length < 0 || len(buf) < length {
		if len(buf) == cap(buf) {
			next := nextSize(cap(buf), length, maxLength)
			if !p.Await(int64(next-cap(buf)), nil) {
				return nil, ErrOver
			}
			grown := make([]byte, len(buf), next)
			copy(grown, buf)
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		p.Moved(n)
		switch {
		case len(buf) > maxLength:
			return nil, ErrTooLong
		case err == io.EOF && (length < 0 || len(buf) == length):
			return buf, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil && p.IsCut():
			return nil, ErrOver
		case err != nil:
			return nil, err
		}
	}
	return buf, nil
}
