package jsonc

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// maxBytes bounds a document. Tables for 1,200 instances and 10,000 servers take about 2 MB.
	maxBytes = 16 << 20
	// maxDepth bounds nesting. The parser is recursive, so unbounded nesting would exhaust the stack, which a Go
	// program cannot recover from.
	maxDepth = 32
	// maxFaults bounds the report on a file of an entirely different kind.
	maxFaults = 1000
)

// Doc is a file being read and the faults found in it. It is not safe for concurrent use.
type Doc struct {
	file       string
	lineStarts []int // offset of the first byte of each line
	faults     []Fault
}

// Parse reads a document and returns its root value. If data is not JSON with comments, the node is invalid and the
// document holds the fault.
func Parse(file string, data []byte) (*Doc, Node) {
	d := &Doc{file: file, lineStarts: []int{0}}
	for i, c := range data {
		if c == '\n' {
			d.lineStarts = append(d.lineStarts, i+1)
		}
	}
	if off, msg := checkInput(data); msg != "" {
		d.addFault(off, false, msg)
		return d, Node{doc: d}
	}
	v, err := hujson.Parse(data)
	if err != nil {
		d.addSyntaxError(err)
		return d, Node{doc: d}
	}
	return d, Node{doc: d, value: &v}
}

// Faults returns the faults found so far, ordered by position.
func (d *Doc) Faults() []Fault {
	SortFaults(d.faults)
	return d.faults
}

func (d *Doc) addFault(offset int, warning bool, message string) {
	if len(d.faults) >= maxFaults {
		return
	}
	f := Fault{File: d.file, Message: message, Warning: warning}
	f.Line, f.Column = d.position(offset)
	d.faults = append(d.faults, f)
}

// position returns the line and the column of the byte at offset, both from 1.
func (d *Doc) position(offset int) (line, column int) {
	line, found := slices.BinarySearch(d.lineStarts, offset)
	if found {
		line++
	}
	return line, 1 + offset - d.lineStarts[line-1]
}

// addSyntaxError records a parser error, whose text holds the position.
func (d *Doc) addSyntaxError(err error) {
	f := Fault{File: d.file, Line: 1, Column: 1, Message: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &f.Line, &f.Column); scanErr == nil {
		if inner := errors.Unwrap(err); inner != nil {
			f.Message = inner.Error()
		}
	}
	d.faults = append(d.faults, f)
}

// checkInput finds input that the parser must not get. The message is empty if there is none.
func checkInput(data []byte) (offset int, message string) {
	if len(data) > maxBytes {
		return 0, fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(data), maxBytes)
	}
	if !utf8.Valid(data) {
		for offset < len(data) {
			r, n := utf8.DecodeRune(data[offset:])
			if r == utf8.RuneError && n == 1 {
				break
			}
			offset += n
		}
		return offset, "the file is not valid UTF-8 here"
	}
	if offset := findTooDeep(data); offset >= 0 {
		return offset, fmt.Sprintf("more than %d levels of nesting", maxDepth)
	}
	return 0, ""
}

// findTooDeep returns the offset of the first bracket nested deeper than maxDepth, or -1.
func findTooDeep(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '[', '{':
			if depth++; depth > maxDepth {
				return i
			}
		case ']', '}':
			depth--
		case '"':
			i += stringEnd(data[i:])
		case '/':
			i += commentEnd(data[i:])
		}
	}
	return -1
}

// stringEnd returns the offset of the closing quote of the string at the start of b, or the last offset.
func stringEnd(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(b) - 1
}

// commentEnd returns the offset of the last byte of the comment at the start of b, or 0 if there is none.
func commentEnd(b []byte) int {
	end, skip := []byte("\n"), 0
	switch {
	case bytes.HasPrefix(b, []byte("//")):
	case bytes.HasPrefix(b, []byte("/*")):
		end, skip = []byte("*/"), 2
	default:
		return 0
	}
	n := bytes.Index(b[skip:], end)
	if n < 0 {
		return len(b) - 1
	}
	return skip + n + len(end) - 1
}
