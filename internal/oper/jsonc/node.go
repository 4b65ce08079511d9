package jsonc

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"github.com/tailscale/hujson"
)

// Node is a value of a document. The methods that read it record a fault and return a zero value if it is of another
// kind; on an invalid node they return zero values and record nothing.
type Node struct {
	doc   *Doc
	value *hujson.Value
}

// Valid reports whether the node has a value.
func (n Node) Valid() bool { return n.value != nil }

// Position returns the line and the column, in bytes, of the value, both from 1, or zeros for an invalid node.
func (n Node) Position() (line, column int) {
	if n.value == nil {
		return 0, 0
	}
	return n.doc.position(n.value.StartOffset)
}

// Raw returns the text of the value without the white space and comments around it, or nil for an invalid node.
func (n Node) Raw() []byte {
	if n.value == nil {
		return nil
	}
	v := *n.value
	v.BeforeExtra, v.AfterExtra = nil, nil
	return v.Pack()
}

// AddFault records a fault at the value.
func (n Node) AddFault(format string, args ...any) { n.addMessage(false, format, args...) }

// AddWarning records a warning at the value.
func (n Node) AddWarning(format string, args ...any) { n.addMessage(true, format, args...) }

func (n Node) addMessage(warning bool, format string, args ...any) {
	if n.doc == nil {
		return
	}
	offset := 0
	if n.value != nil {
		offset = n.value.StartOffset
	}
	n.doc.addFault(offset, warning, fmt.Sprintf(format, args...))
}

// checkKind reports whether the value is of kind k, and records a fault with the kind's name if not.
func (n Node) checkKind(k hujson.Kind, name string) bool {
	if n.value == nil {
		return false
	}
	if n.value.Value.Kind() != k {
		n.AddFault("must be %s", name)
		return false
	}
	return true
}

// IsKind reports whether the value is a string ('"'), number ('0'), object ('{') or array ('[').
func (n Node) IsKind(kind byte) bool {
	return n.value != nil && n.value.Value.Kind() == hujson.Kind(kind)
}

// Text reads a string.
func (n Node) Text() string {
	if !n.checkKind('"', "a string") {
		return ""
	}
	var s string
	if err := json.Unmarshal(n.value.Value.(hujson.Literal), &s); err != nil {
		n.AddFault("invalid string")
	}
	return s
}

// Bool reads true or false.
func (n Node) Bool() bool {
	if n.value == nil {
		return false
	}
	switch n.value.Value.Kind() {
	case 't':
		return true
	case 'f':
		return false
	}
	n.AddFault("must be true or false")
	return false
}

// Int reads a whole number from low to high.
func (n Node) Int(low, high int) int {
	if !n.checkKind('0', "a number") {
		return 0
	}
	i, err := strconv.Atoi(string(n.value.Value.(hujson.Literal)))
	if err != nil || i < low || i > high {
		n.AddFault("must be a whole number from %d to %d", low, high)
		return 0
	}
	return i
}

// Number reads a number from low to high.
func (n Node) Number(low, high float64) float64 {
	if !n.checkKind('0', "a number") {
		return 0
	}
	f, err := strconv.ParseFloat(string(n.value.Value.(hujson.Literal)), 64)
	if err != nil || f < low || f > high {
		n.AddFault("must be a number from %g to %g", low, high)
		return 0
	}
	return f
}

// Duration reads a string such as "250ms" as a duration above zero and at most high.
func (n Node) Duration(high time.Duration) time.Duration {
	if n.value == nil {
		return 0
	}
	if !n.IsKind('"') {
		n.AddFault(`must be a duration with unit, as a string such as "250ms"`)
		return 0
	}
	s := n.Text()
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		n.AddFault(`%s is no duration; write it with a unit, such as "250ms", "2s" or "24h"`, Quote(s))
	case d <= 0:
		n.AddFault("the duration must be above zero")
	case d > high:
		n.AddFault("the duration must be at most %s", high)
	default:
		return d
	}
	return 0
}

// Address reads a string of the form ip:port.
func (n Node) Address() netip.AddrPort {
	s := n.Text()
	if !n.IsKind('"') {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		n.AddFault("%s is no address; write it as ip:port", Quote(s))
	}
	return a
}

// maxNameBytes bounds names, which appear in headers, metrics and log lines.
const maxNameBytes = 64

// Name reads a string that needs no escaping in a header, a metric label or a log line.
func (n Node) Name() string {
	s := n.Text()
	if !n.IsKind('"') {
		return ""
	}
	if s == "" || len(s) > maxNameBytes {
		n.AddFault("a name has 1 to %d characters", maxNameBytes)
		return ""
	}
	for _, c := range []byte(s) {
		if !isNameByte(c) {
			n.AddFault("%s: a name consists of letters, digits, '.', '_' and '-'", Quote(s))
			return ""
		}
	}
	return s
}

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-'
}

// Array reads the elements of an array.
func (n Node) Array() []Node {
	if !n.checkKind('[', "an array") {
		return nil
	}
	elements := n.value.Value.(*hujson.Array).Elements
	nodes := make([]Node, len(elements))
	for i := range elements {
		nodes[i] = Node{n.doc, &elements[i]}
	}
	return nodes
}

// Entry is a member of an object with arbitrary field names.
type Entry struct {
	Name, Value Node
}

// Entries reads the members of an object in document order.
func (n Node) Entries() []Entry {
	if !n.checkKind('{', "an object") {
		return nil
	}
	members := n.value.Value.(*hujson.Object).Members
	out := make([]Entry, len(members))
	for i := range members {
		out[i] = Entry{Node{n.doc, &members[i].Name}, Node{n.doc, &members[i].Value}}
	}
	return out
}

// maxQuotedBytes bounds the part of a value that a message quotes.
const maxQuotedBytes = 60

// Quote returns s quoted, and cut to maxQuotedBytes, for a message.
func Quote(s string) string {
	if len(s) > maxQuotedBytes {
		return strconv.Quote(s[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(s)
}
