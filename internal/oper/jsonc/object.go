package jsonc

import (
	"slices"

	"github.com/tailscale/hujson"
)

// Object is an object whose fields have been checked against the known names.
type Object struct {
	Node
	fields map[string]Node
}

// Object reads an object. Fields not in known and duplicate fields are faults.
func (n Node) Object(known ...string) Object {
	o := Object{Node: n, fields: make(map[string]Node)}
	if !n.checkKind('{', "an object") {
		o.value = nil
		return o
	}
	members := n.value.Value.(*hujson.Object).Members
	for i := range members {
		key := Node{n.doc, &members[i].Name}
		name := key.Text()
		switch _, duplicate := o.fields[name]; {
		case duplicate:
			key.AddFault("field %s is given twice", Quote(name))
		case !slices.Contains(known, name):
			key.AddFault("unknown field %s%s", Quote(name), Hint(name, known))
		default:
			o.fields[name] = Node{n.doc, &members[i].Value}
		}
	}
	return o
}

// Get returns the named field, or an invalid node if it is absent.
func (o Object) Get(name string) Node { return o.fields[name] }

// Has reports whether the named field is present.
func (o Object) Has(name string) bool { return o.fields[name].Valid() }

// Required returns the named field and records a fault if it is absent.
func (o Object) Required(name string) Node {
	n := o.fields[name]
	if !n.Valid() && o.Valid() {
		o.AddFault("field %q is missing", name)
	}
	return n
}
