package events

import (
	"bytes"
	"io"
	"sync"
)

// lineWriter converts the flat JSON objects that zerolog writes into lines of key=value pairs. It scans the bytes instead
// of decoding them, because under overload thousands of requests a second are refused, each with an event.
type lineWriter struct {
	mu  sync.Mutex
	out io.Writer
	buf []byte
}

// Write writes one event. data is one JSON object and a newline.
func (l *lineWriter) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buf = l.buf[:0]
	for rest := bytes.TrimPrefix(data, []byte("{")); len(rest) > 1 && rest[0] == '"'; {
		end := quotedLen(rest)
		if len(l.buf) > 0 {
			l.buf = append(l.buf, ' ')
		}
		l.buf = append(append(l.buf, rest[1:end-1]...), '=')
		rest = rest[min(end+1, len(rest)):] // without the colon
		end = valueLen(rest)
		l.buf = appendValue(l.buf, rest[:end])
		rest = rest[min(end+1, len(rest)):] // without the comma or brace
	}
	l.buf = append(l.buf, '\n')
	if _, err := l.out.Write(l.buf); err != nil {
		return 0, err
	}
	return len(data), nil
}

// quotedLen returns the length of the quoted string at the start of b, including the quotes.
func quotedLen(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(b)
}

// valueLen returns the length of the JSON value at the start of b.
func valueLen(b []byte) int {
	if len(b) > 0 && b[0] == '"' {
		return quotedLen(b)
	}
	if end := bytes.IndexAny(b, ",}"); end >= 0 {
		return end
	}
	return len(b)
}

// appendValue appends a JSON value to buf, without quotes if it doesn't need them.
func appendValue(buf, v []byte) []byte {
	if len(v) > 2 && v[0] == '"' && !bytes.ContainsAny(v[1:len(v)-1], ` "\=`) {
		v = v[1 : len(v)-1]
	}
	return append(buf, v...)
}
