package heads

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// peekLines waits for lines that end with an empty one, without consuming them, and returns their length with it. Each line must end
// with CR and LF and be accepted by check, which gets its number from 0. Empty lines before a head are skipped: servers may end a body
// with one that belongs to no answer.
//
// The HTTP library also accepts line feeds alone, lines that are continued in the next one, and blanks in names. Others may read such an
// answer otherwise.
func peekLines(br *bufio.Reader, isHead bool, check func(n int, line []byte) error) (size int, err error) {
	for n := 0; ; {
		line, err := peekLine(br, size)
		if err != nil {
			return 0, err
		}
		size += len(line)
		text, hasCR := bytes.CutSuffix(line, []byte("\r\n"))
		switch {
		case !hasCR:
			return 0, errors.Wrapf(ErrMalformed, "line %.100q", line)
		case len(text) == 0 && (n > 0 || !isHead):
			return size, nil
		case len(text) == 0:
			continue
		}
		if err := check(n, text); err != nil {
			return 0, err
		}
		n++
	}
}

// peekLine waits for the line that begins after skip bytes and returns it with its LF. It is valid until the next read.
func peekLine(br *bufio.Reader, skip int) ([]byte, error) {
	for {
		buffered, _ := br.Peek(br.Buffered())
		if end := bytes.IndexByte(buffered[skip:], '\n'); end >= 0 {
			return buffered[skip : skip+end+1], nil
		}
		_, err := br.Peek(len(buffered) + 1)
		switch {
		case errors.Is(err, io.EOF) && len(buffered) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// checkStatusLine returns an error unless line is the status line of an HTTP/1.0 or HTTP/1.1 answer with a valid status.
func checkStatusLine(line []byte) error {
	const version, status = len("HTTP/1.1"), len("HTTP/1.1 200")
	ok := len(line) >= status && (string(line[:version]) == "HTTP/1.1" || string(line[:version]) == "HTTP/1.0") && line[version] == ' ' &&
		(len(line) == status || line[status] == ' ') && isText(line[status:])
	if !ok {
		return errors.Wrapf(ErrStatus, "line %.100q", line)
	}
	n, err := strconv.ParseUint(string(line[version+1:status]), 10, 16)
	if err != nil || n < minStatus || n > maxStatus {
		return errors.Wrapf(ErrStatus, "line %.100q", line)
	}
	return nil
}

// checkField returns an error unless line is a field with a valid name and value.
func checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !isToken(name) || !isText(value) {
		return errors.Wrapf(ErrMalformed, "field %.100q", line)
	}
	return nil
}

// isField reports whether line is a field with that name.
func isField(line []byte, name string) bool {
	return len(line) > len(name) && line[len(name)] == ':' && bytes.EqualFold(line[:len(name)], []byte(name))
}

// inToken tells which bytes may be in the name of a field.
var inToken = func() (t [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		t[b] = true
	}
	return t
}()

func isToken(name []byte) bool {
	for _, b := range name {
		if !inToken[b] {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether text has no control bytes except tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
