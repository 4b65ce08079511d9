package audit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

// Change is one difference between two versions of the tables.
type Change struct {
	Action string        `json:"action"` // added, removed or changed
	Kind   string        `json:"kind"`
	Name   string        `json:"name,omitempty"`
	Fields []FieldChange `json:"fields,omitempty"` // of a changed entry
}

// FieldChange is a field of an entry with both values. Times have units, other values are as in the tables.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// String returns the change as one line.
func (c Change) String() string {
	s := strings.TrimSuffix(c.Action+" "+c.Kind+" "+c.Name, " ")
	for i, f := range c.Fields {
		s += map[bool]string{true: ": ", false: ", "}[i == 0] + f.Field + " " + cmp.Or(f.Old, `""`) + " -> " + cmp.Or(f.New, `""`)
	}
	return s
}

// Diff returns the differences between the routes, pools and limits of old and next, by kind and name.
func Diff(old, next *tables.Tables) []Change {
	return slices.Concat(
		compareEntries(KindRoute, routeFields(old), routeFields(next)),
		compareEntries(KindPool, poolFields(old), poolFields(next)),
		compareEntries(KindLimits, limitFields(old), limitFields(next)),
	)
}

// entries holds the fields of the entries of one kind by the entry's name. Fields have the same order in all entries.
type entries map[string][]FieldChange

func field(name string, value any) FieldChange {
	return FieldChange{Field: name, New: fmt.Sprint(value)}
}

func routeFields(t *tables.Tables) entries {
	out := make(entries)
	for i := range t.Routes {
		r := &t.Routes[i]
		shares := make([]string, len(r.Split))
		for j, s := range r.Split {
			shares[j] = fmt.Sprintf("%s:%g", s.Pool, s.Weight)
		}
		out[r.Name] = []FieldChange{
			field("host", r.Host), field("path", r.Path), field("repeatable", r.MayRepeat()), field("timeout", r.Timeout),
			field("target", r.Target), field("priority", r.Priority), field("pool", r.Pool), field("split", shares),
			field("attempts", r.Attempts), field("regions", r.Regions),
		}
	}
	return out
}

func poolFields(t *tables.Tables) entries {
	out := make(entries)
	for i := range t.Pools {
		p := &t.Pools[i]
		out[p.Name] = []FieldChange{
			field("connections", p.Connections), field("keyed", p.Keyed), field("warm", p.Warm),
			field("coldstart", p.ColdStart), field("coldrate", p.ColdRate),
		}
	}
	return out
}

func limitFields(t *tables.Tables) entries {
	l := t.Limits
	return entries{"": {field("header", l.Header), field("body", l.Body), field("headertime", l.HeaderTime), field("idle", l.Idle)}}
}

func compareEntries(kind string, old, next entries) []Change {
	names := maps.Clone(old)
	maps.Copy(names, next)
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(names)) {
		c := Change{Kind: kind, Name: name}
		before, wasThere := old[name]
		after, isThere := next[name]
		switch {
		case !wasThere:
			c.Action = "added"
		case !isThere:
			c.Action = "removed"
		default:
			c.Action = "changed"
			for i, f := range after {
				if f.Old = before[i].New; f.Old != f.New {
					c.Fields = append(c.Fields, f)
				}
			}
			if len(c.Fields) == 0 {
				continue
			}
		}
		changes = append(changes, c)
	}
	return changes
}
