package audit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/audit"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

func ExampleCheck() {
	t := &tables.Tables{
		Routes: []tables.Route{{Name: "read", Path: "/a/", Pool: "store", Timeout: time.Second, Target: 2 * time.Second, Attempts: 3}},
		Pools:  []tables.Pool{{Name: "stores", ColdRate: 5}},
	}
	for _, f := range audit.Check(t, audit.Options{Servers: 2}) {
		fmt.Println(f.Warning, f.Kind, f.Name, f.Field, f.Message)
	}
	// Output:
	// true route read timeout 1s is below the target latency of 2s
	// false route read attempts 3 attempts exceed the 2 servers
	// false route read pool "store" is not defined; did you mean "stores"?
	// true pool stores coldrate has no effect, as the time for which a server is cold is not set
}

func ExampleDiff() {
	old := &tables.Tables{
		Routes: []tables.Route{{Name: "read", Path: "/a/", Pool: "store", Timeout: time.Second}, {Name: "write"}},
		Pools:  []tables.Pool{{Name: "store"}},
	}
	next := &tables.Tables{
		Routes: []tables.Route{{Name: "read", Path: "/b/", Pool: "store", Timeout: 2 * time.Second}},
		Pools:  []tables.Pool{{Name: "store"}, {Name: "copy"}},
		Limits: tables.Limits{Body: 10},
	}
	for _, c := range audit.Diff(old, next) {
		fmt.Println(c)
	}
	// Output:
	// changed route read: path /a/ -> /b/, timeout 1s -> 2s
	// removed route write
	// added pool copy
	// changed limits: body 0 -> 10
}

// Guards against checks of what the options leave unknown.
func TestUnknownSystem(t *testing.T) {
	tb := &tables.Tables{
		Routes: []tables.Route{{Name: "r", Path: "/", Pool: "p", Attempts: 9, Regions: []string{"east"}}},
		Pools:  []tables.Pool{{Name: "p"}}, Limits: tables.Limits{Body: 1 << 40},
	}
	if got := audit.Check(tb, audit.Options{}); len(got) > 0 {
		t.Error(got)
	}
	if got := audit.Check(tb, audit.Options{Regions: []string{"west"}, Servers: 1, Memory: 1}); len(got) != 3 {
		t.Errorf("%d findings, want 3: %v", len(got), got)
	}
}
