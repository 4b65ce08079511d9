package pubsvc

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

// Change is one difference between two versions of the tables.
type Change struct {
	Kind   string `json:"kind"` // rank, route, region, lost (a data centre), pool or server
	Name   string `json:"name"`
	Action string `json:"action"` // added, removed, changed or reordered
	Detail string `json:"detail,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	s := c.Action + " " + c.Kind + " " + c.Name
	if c.Detail != "" {
		s += ": " + c.Detail
	}
	return s
}

// Diff returns the differences between old and next. Nil stands for empty tables.
func Diff(old, next *tables.Tables) []Change {
	a, b := emptyIfNil(old), emptyIfNil(next)
	return slices.Concat(
		compareLists("rank", a.Ranks, b.Ranks, func(r tables.Rank) string { return r.Name }, true),
		compareLists("route", a.Routes, b.Routes, func(r tables.Route) string { return r.Name }, true),
		compareLists("region", a.Regions, b.Regions, func(r tables.Region) string { return r.Name }, false),
		compareLists("lost", a.Lost, b.Lost, func(dc string) string { return dc }, false),
		compareLists("pool", a.Pools, b.Pools, func(p tables.Pool) string { return p.Name }, false),
		compareLists("server", servers(a), servers(b), func(s poolServer) string { return s.Name }, false),
	)
}

func emptyIfNil(t *tables.Tables) *tables.Tables {
	if t == nil {
		return new(tables.Tables)
	}
	return t
}

// poolServer is a server and the name of its pool.
type poolServer struct {
	tables.Server
	Pool string
}

func servers(t *tables.Tables) []poolServer {
	var all []poolServer
	for i := range t.Pools {
		for _, s := range t.Pools[i].Servers {
			all = append(all, poolServer{s, t.Pools[i].Name})
		}
	}
	return all
}

// compareLists matches items by name. With ordered it also reports a changed order of the items in both lists.
func compareLists[T any](kind string, old, next []T, name func(T) string, ordered bool) []Change {
	oldItems, kept := make(map[string]T, len(old)), make(map[string]bool)
	for _, item := range old {
		oldItems[name(item)] = item
	}
	var changes []Change
	var newOrder []string
	for _, item := range next {
		oldItem, ok := oldItems[name(item)]
		if !ok {
			changes = append(changes, Change{Kind: kind, Name: name(item), Action: "added"})
			continue
		}
		kept[name(item)], newOrder = true, append(newOrder, name(item))
		if detail := fieldDiffs(oldItem, item); detail != "" {
			changes = append(changes, Change{Kind: kind, Name: name(item), Action: "changed", Detail: detail})
		}
	}
	var oldOrder []string
	for _, item := range old {
		if kept[name(item)] {
			oldOrder = append(oldOrder, name(item))
		} else {
			changes = append(changes, Change{Kind: kind, Name: name(item), Action: "removed"})
		}
	}
	if ordered && !slices.Equal(oldOrder, newOrder) {
		changes = append(changes, Change{Kind: kind, Action: "reordered", Name: "list", Detail: strings.Join(newOrder, ", ")})
	}
	return changes
}

// fieldDiffs lists the fields that differ, except the servers of a pool, which Diff compares separately.
func fieldDiffs(old, next any) string {
	a, b := reflect.ValueOf(old), reflect.ValueOf(next)
	if a.Kind() != reflect.Struct {
		return ""
	}
	var out []string
	for _, f := range reflect.VisibleFields(a.Type()) {
		if f.Anonymous || f.Name == "Servers" {
			continue
		}
		x, y := a.FieldByIndex(f.Index), b.FieldByIndex(f.Index)
		if !reflect.DeepEqual(x.Interface(), y.Interface()) {
			out = append(out, fmt.Sprintf("%s %s -> %s", strings.ToLower(f.Name), formatValue(x), formatValue(y)))
		}
	}
	return strings.Join(out, ", ")
}

func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	if s := fmt.Sprintf("%+v", v.Interface()); s != "" {
		return s
	}
	return `""`
}
