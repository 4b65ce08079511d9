package heads

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ReadChunkSize reads the line before a chunk and returns the chunk's size in bytes. Extensions are checked for control bytes and ignored.
func ReadChunkSize(br *bufio.Reader) (int, error) {
	line, err := peekLine(br, 0)
	if err != nil {
		return 0, err
	}
	text, hasCR := bytes.CutSuffix(line, []byte("\r\n"))
	digits, extension := text, []byte(nil)
	if i := bytes.IndexAny(text, "; \t"); i >= 0 {
		digits, extension = text[:i], bytes.TrimLeft(text[i:], " \t")
	}
	size, err := strconv.ParseUint(string(digits), 16, 31)
	if err != nil || !hasCR || !isText(text) || len(extension) > 0 && extension[0] != ';' {
		return 0, errors.Wrapf(ErrMalformed, "chunk %.100q", line)
	}
	_, err = br.Discard(len(line))
	return int(size), err
}

// ReadChunkEnd reads the line end behind a chunk.
func ReadChunkEnd(br *bufio.Reader) error {
	var end [2]byte
	for i := range end {
		b, err := br.ReadByte()
		if err != nil {
			return err
		}
		end[i] = b
	}
	if string(end[:]) != "\r\n" {
		return errors.Wrapf(ErrMalformed, "end of chunk %q", end)
	}
	return nil
}
