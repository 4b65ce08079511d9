package jsonc

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/goccy/go-json"
	"github.com/tailscale/hujson"
)

// Node is a value of a document. The readers report a fault and return a zero value when the value is of another
// kind; on the zero Node they return zero values and report nothing.
type Node struct {
	doc *Doc
	v   *hujson.Value
}

// Valid reports whether the node stands for a value.
func (n Node) Valid() bool { return n.v != nil }

// Fault records a fault at the value.
func (n Node) Fault(format string, args ...any) { n.report(false, format, args...) }

// Warn records a warning at the value.
func (n Node) Warn(format string, args ...any) { n.report(true, format, args...) }

func (n Node) report(warning bool, format string, args ...any) {
	if n.doc == nil {
		return
	}
	offset := 0
	if n.v != nil {
		offset = n.v.StartOffset
	}
	n.doc.add(offset, warning, fmt.Sprintf(format, args...))
}

// kind reports whether the value is of kind k, and records a fault if not.
func (n Node) kind(k hujson.Kind, name string) bool {
	if n.v == nil {
		return false
	}
	if n.v.Value.Kind() != k {
		n.Fault("must be %s", name)
		return false
	}
	return true
}

// Is reports whether the value is a string, number, object or array, named by '"', '0', '{' or '['.
func (n Node) Is(kind byte) bool { return n.v != nil && n.v.Value.Kind() == hujson.Kind(kind) }

// Text reads a string.
func (n Node) Text() string {
	if !n.kind('"', "a string") {
		return ""
	}
	var s string
	if err := json.Unmarshal(n.v.Value.(hujson.Literal), &s); err != nil {
		n.Fault("unreadable string")
	}
	return s
}

// Bool reads true or false.
func (n Node) Bool() bool {
	if n.v == nil {
		return false
	}
	switch n.v.Value.Kind() {
	case 't':
		return true
	case 'f':
		return false
	}
	n.Fault("must be true or false")
	return false
}

// Int reads a whole number from low to high.
func (n Node) Int(low, high int) int {
	if !n.kind('0', "a number") {
		return 0
	}
	i, err := strconv.Atoi(string(n.v.Value.(hujson.Literal)))
	if err != nil || i < low || i > high {
		n.Fault("must be a whole number from %d to %d", low, high)
		return 0
	}
	return i
}

// Number reads a number from low to high.
func (n Node) Number(low, high float64) float64 {
	if !n.kind('0', "a number") {
		return 0
	}
	f, err := strconv.ParseFloat(string(n.v.Value.(hujson.Literal)), 64)
	if err != nil || f < low || f > high {
		n.Fault("must be a number from %g to %g", low, high)
		return 0
	}
	return f
}

// Duration reads a string such as "250ms" that is above zero and at most high.
func (n Node) Duration(high time.Duration) time.Duration {
	if n.v == nil {
		return 0
	}
	if !n.Is('"') {
		n.Fault(`must be a duration with unit, as a string such as "250ms"`)
		return 0
	}
	s := n.Text()
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		n.Fault(`%s is no duration; write it with a unit, such as "250ms", "2s" or "24h"`, Quote(s))
	case d <= 0:
		n.Fault("the duration must be above zero")
	case d > high:
		n.Fault("the duration must be at most %s", high)
	default:
		return d
	}
	return 0
}

// Address reads a string of the form ip:port.
func (n Node) Address() netip.AddrPort {
	s := n.Text()
	if !n.Is('"') {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		n.Fault("%s is no address; write it as ip:port", Quote(s))
	}
	return a
}

// maxName bounds names, which appear in headers, metrics and log lines.
const maxName = 64

// Name reads a string that can stand in a header, a metric label and a log line as it is.
func (n Node) Name() string {
	s := n.Text()
	if !n.Is('"') {
		return ""
	}
	if s == "" || len(s) > maxName {
		n.Fault("a name has 1 to %d characters", maxName)
		return ""
	}
	for _, c := range []byte(s) {
		if !nameByte(c) {
			n.Fault("%s: a name consists of letters, digits, '.', '_' and '-'", Quote(s))
			return ""
		}
	}
	return s
}

func nameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-'
}

// Array reads the elements of an array.
func (n Node) Array() []Node {
	if !n.kind('[', "an array") {
		return nil
	}
	elements := n.v.Value.(*hujson.Array).Elements
	nodes := make([]Node, len(elements))
	for i := range elements {
		nodes[i] = Node{n.doc, &elements[i]}
	}
	return nodes
}

// Entry is a member of an object whose names are data.
type Entry struct {
	Name, Value Node
}

// Entries reads the members of an object in their order.
func (n Node) Entries() []Entry {
	if !n.kind('{', "an object") {
		return nil
	}
	members := n.v.Value.(*hujson.Object).Members
	out := make([]Entry, len(members))
	for i := range members {
		out[i] = Entry{Node{n.doc, &members[i].Name}, Node{n.doc, &members[i].Value}}
	}
	return out
}

// maxQuote bounds how much of a value a message repeats.
const maxQuote = 60

// Quote returns s quoted and shortened for a message.
func Quote(s string) string {
	if len(s) > maxQuote {
		return strconv.Quote(s[:maxQuote]) + "..."
	}
	return strconv.Quote(s)
}
