package tables_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

const routes = `{
  // Most urgent first.
  "ranks": [
    {"name": "urgent", "share": 0.5, "target": "50ms", "worth": 10},
    {"name": "bulk", "share": 0.5, "target": "1s"},
  ],
  "routes": [
    {"name": "stock", "methods": ["GET"], "path": "/stock/*", "pool": "catalogue", "rank": "urgent", "tenant": "t", "key": {"segment": 2}},
    {"name": "order", "path": "/orders", "pool": "cutting", "rank": "bulk", "timeout": "4s", "retry": true,
     "once": {"fields": ["caller", "header:X-Order", "body"], "window": "2h"}},
  ],
}`

const pools = `{
  "regions": [{"name": "east", "dcs": ["e1", "e2"]}],
  "lost": ["e2"],
  "pools": [
    {"name": "catalogue", "keyed": true, "slots": 64, "cutoff": {"yield": "20s"}, "servers": [
      {"name": "c1", "address": "127.0.0.1:7001", "dc": "e1", "slots": 3, "connections": 130, "checks": true},
      {"name": "c2", "address": "127.0.0.1:7002", "dc": "e1", "slots": 3, "connections": 130, "checks": true},
    ]},
    {"name": "cutting", "remote": true, "servers": [
      {"name": "k1", "address": "127.0.0.1:7003", "dc": "e1", "slots": 3, "connections": 130, "checks": true},
    ]},
  ],
}`

func TestParse(t *testing.T) {
	got, faults := tables.Parse([]byte(routes), []byte(pools))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	stock, order := got.Routes[0], got.Routes[1]
	if stock.Key.Segment != 2 || stock.Timeout != 2*time.Second || stock.Once != nil || order.Timeout != 4*time.Second || !order.Retry {
		t.Errorf("routes read as %+v", got.Routes)
	}
	if o := order.Once; o.Window != 2*time.Hour || strings.Join(o.Fields, " ") != "caller header:X-Order body" {
		t.Errorf("once read as %+v", o)
	}
	if c := got.Pool("catalogue"); c.Slots != 64 || c.Yield != 20*time.Second || !c.Server("c2").Checks || !got.Pool("cutting").Remote {
		t.Errorf("pools read as %+v", got.Pools)
	}
	if got.Ranks[0].Worth != 10 || got.Ranks[1].Worth != 1 || got.Lost[0] != "e2" || len(got.Regions[0].DCs) != 2 {
		t.Errorf("tables read as %+v", got)
	}
}

// TestFaults checks that faults are found and point at the faulty value.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, at, want string }{
		{`"methods"`, `"method"`, `"method":`, `routes: unknown field "method"; did you mean "methods"?`},
		{`"name": "order"`, `"name": "stock"`, `"stock"`, `routes: route "stock" is declared twice`},
		{`"pool": "cutting"`, `"pool": "cuting"`, `"cuting"`, `routes: unknown pool "cuting"; did you mean "cutting"?`},
		{`"rank": "bulk"`, `"rank": "blk"`, `"blk"`, `routes: unknown rank "blk"; did you mean "bulk"?`},
		{`, "key": {"segment": 2}`, ``, `"catalogue"`, `routes: pool "catalogue" is keyed, so the route needs a key`},
		{`"retry": true`, `"retry": true, "key": {"query": "k"}`, `{"query"`, `routes: pool "cutting" is not keyed, so the route must have no key`},
		{`{"segment": 2}`, `{"segment": 2, "query": "k"}`, `{"segment": 2, `, `routes: a key needs exactly one of header, query and segment`},
		{`"share": 0.5, "target": "1s"`, `"share": 0.6, "target": "1s"`, `0.6`, `routes: the shares of the ranks add up to more than 1`},
		{`"target": "1s"`, `"target": 1`, `1}`, `routes: must be a duration with unit, as a string such as "250ms"`},
		{`"window"`, `"header": "X-Id", "window"`, `{"fields"`, `routes: once needs exactly one of header and fields`},
		{`"path": "/orders"`, `"path": "/orders", "path": "/"`, `"path": "/",`, `routes: field "path" is given twice`},
		{`"path": "/orders"`, `"path": "/stock/a", "methods": ["GET"]`, `"/stock/a"`, `routes: warning: the route never matches: the earlier route "stock" matches all its requests`},
		{`"fields": ["caller"`, `"fields": ["calller"`, `"calller"`, `routes: unknown field "calller"; did you mean "caller"?`},
		{`"slots": 64`, `"slots": 0`, `0,`, `pools: must be a whole number from 1 to 65536`},
		{`"slots": 64`, `"slots": 65537`, `65537`, `pools: must be a whole number from 1 to 65536`},
		{`"name": "c2"`, `"name": "c1"`, `"c1"`, `pools: server "c1" is declared twice`},
		{`7002`, `7001`, `"127.0.0.1:7001"`, `pools: address 127.0.0.1:7001 is already used by server "c1"`},
		{`127.0.0.1:7002`, `localhost:7002`, `"localhost`, `pools: "localhost:7002" is no address; write it as ip:port`},
		{`"lost": ["e2"]`, `"lost": ["e3"]`, `"e3"`, `pools: data centre "e3" is in no region; did you mean "e1"?`},
		{`"lost": ["e2"]`, `"lost": []`, ``, ``},
		{`"dc": "e1", "slots": 3, "connections": 130, "checks": true},
    ]},
  ]`, `"dc": "e1", "slots": 3, "connections": 130},
    ]},
  ]`, `"e1"`, `pools: warning: data centre "e1" has 2 token-checking servers; with its instances it needs 3 witnesses to survive the loss of one`},
		{`"slots": 3, "connections": 130`, `"connections": 130`, `{"name": "c1"`, `pools: field "slots" is missing`},
		{`{"yield": "20s"}`, `"go"`, `"go"`, `pools: cutoff must be "stay" or {"yield": time}, not "go"`},
		{`"lost"`, `lost`, `lost`, `pools: invalid literal: lost`},
	} {
		files := map[string]string{"routes": strings.Replace(routes, c.old, c.new, 1), "pools": strings.Replace(pools, c.old, c.new, 1)}
		_, faults := tables.Parse([]byte(files["routes"]), []byte(files["pools"]))
		var got []string
		for _, f := range faults {
			if line := strings.Split(files[f.File], "\n")[f.Line-1]; !strings.HasPrefix(line[f.Column-1:], c.at) {
				t.Errorf("%s points at %s, want %s", f, line[f.Column-1:], c.at)
			}
			warning := map[bool]string{true: "warning: "}[f.Warning]
			got = append(got, f.File+": "+warning+f.Message)
		}
		if strings.Join(got, "\n") != c.want {
			t.Errorf("%s for %s: got %q, want %q", c.new, c.old, got, c.want)
		}
	}
}

// TestSeveralFaults checks that parsing does not stop at the first fault.
func TestSeveralFaults(t *testing.T) {
	_, faults := tables.Parse([]byte(`{"ranks": 1, "routes": [{}, {"nme": 2}]}`), []byte(`[`))
	// A value that is no array, four fields missing in each of two routes, an unknown field and a syntax error.
	if len(faults) != 11 {
		t.Errorf("%d faults: %v", len(faults), faults)
	}
}

// FuzzParse guards against input that crashes an instance or that two instances read differently.
func FuzzParse(f *testing.F) {
	f.Add([]byte(routes), []byte(pools))
	f.Add([]byte(strings.Repeat("[", 1<<12)), []byte(`{"regions":[{"name":"\ud800","dcs":[1e999,-0]}]} /*`))
	f.Add([]byte(`{"ranks":[{"share":1e400}],"routes":[{"key":null}]}//`), []byte("\xff"))
	f.Fuzz(func(t *testing.T, routes, pools []byte) {
		first, faults := tables.Parse(routes, pools)
		second, again := tables.Parse(routes, pools)
		if !reflect.DeepEqual(first, second) || !reflect.DeepEqual(faults, again) {
			t.Fatal("parsing the same input twice gave different results")
		}
		if (first == nil) != jsonc.HasErrors(faults) {
			t.Fatalf("got tables %v with faults %v", first, faults)
		}
		for _, fault := range faults {
			src := routes
			if fault.File == tables.PoolsFile {
				src = pools
			}
			lines := strings.Split(string(src), "\n")
			if fault.Line < 1 || fault.Line > len(lines) || fault.Column < 1 || fault.Column > len(lines[fault.Line-1])+1 {
				t.Fatal(fmt.Sprint(fault, " is outside the file"))
			}
		}
	})
}
