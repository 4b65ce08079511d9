package cmds_test

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/sebdah/goldie/v2"

	"github.com/bramleycove/bramleycove/internal/oper/cmds"
	"github.com/bramleycove/bramleycove/internal/oper/config"
	"github.com/bramleycove/bramleycove/internal/oper/opapi"
	"github.com/bramleycove/bramleycove/internal/oper/pubsvc"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
)

const examplesDir = "../../../examples/"

// fakePlatform is an in-memory log and list with one instance that reports version config in force.
type fakePlatform struct {
	records []logsvc.Record
	config  uint64
	down    bool
}

func (f *fakePlatform) service(netip.AddrPort, netip.AddrPort) *pubsvc.Service {
	return &pubsvc.Service{
		Append: func(_ context.Context, _ string, data []byte) (uint64, error) {
			f.records = append(f.records, logsvc.Record{Offset: uint64(len(f.records)) + 1, Data: data})
			return uint64(len(f.records)), nil
		},
		Read: func(_ context.Context, stream string, from uint64, _ time.Duration, _ int) (logsvc.Batch, error) {
			if f.down {
				return logsvc.Batch{}, errors.New("connection refused")
			}
			if stream != "config" {
				return logsvc.Batch{First: 1, Next: 1}, nil
			}
			n := uint64(len(f.records)) + 1
			return logsvc.Batch{First: 1, Next: n, Records: f.records[min(from, n)-1:]}, nil
		},
		List: func(context.Context) (roster.List, error) {
			return roster.List{Instances: []roster.Instance{{Name: "i1", DC: "rs-1", Peer: netip.MustParseAddrPort("127.0.0.1:9")}}}, nil
		},
		Status: func(context.Context, netip.AddrPort) (opapi.Status, error) {
			return opapi.Status{Instance: "i1-7", DC: "rs-1", ConfigVersion: f.config, Ready: true, IsController: true, Term: 5, Epoch: 1}, nil
		},
		Pause: func(context.Context, time.Duration) error { return context.DeadlineExceeded },
	}
}

func (f *fakePlatform) run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	app := &cmds.App{
		Stdout: &out, Stderr: &errs, Version: "v0", NewService: f.service,
		Serve: func(_ context.Context, cfg *config.Config) error { return errors.New("served " + cfg.Instance) },
		Explain: func(_ context.Context, addr netip.AddrPort, method, path, key string) (opapi.Explanation, error) {
			return opapi.Explanation{Route: method + path, Pool: addr.String(), Key: key, Slot: 7}, nil
		},
	}
	code = app.Run(context.Background(), args)
	return code, out.String(), errs.String()
}

func tableFiles(dir string) []string {
	return []string{"--routes", examplesDir + dir + "/routes.jsonc", "--pools", examplesDir + dir + "/pools.jsonc"}
}

func prepend(args []string, more ...string) []string {
	return append(append([]string{}, more...), args...)
}

// Guards the documented commands and flags.
func TestHelp(t *testing.T) {
	for _, name := range []string{"", "serve", "check", "check-platform", "publish", "diff", "status", "explain", "version"} {
		code, out, errs := new(fakePlatform).run(strings.Fields(name + " --help")...)
		if code != cmds.ExitOK || errs != "" {
			t.Errorf("%s --help: exit %d, %s", name, code, errs)
		}
		goldie.New(t).Assert(t, "help"+name, []byte(out))
	}
}

// Guards against example tables that are invalid or whose pool sizes differ from the design page.
func TestExamples(t *testing.T) {
	for dir, sizes := range map[string]map[string]int{
		"skyggevaev":  {"catalogue": 20, "cutting": 13, "deposits": 8},
		"association": {"availability": 14, "settlements": 8, "bookings": 8},
	} {
		data, err := os.ReadFile(examplesDir + dir + "/pools.jsonc")
		if err != nil {
			t.Fatal(err)
		}
		for pool, n := range sizes {
			if got := strings.Count(string(data), `{"name": "`+pool+"-"); got != n {
				t.Errorf("%s has %d servers of %s, want %d", dir, got, pool, n)
			}
		}
		args := prepend(tableFiles(dir), "check", "--settings", examplesDir+dir+"/settings.jsonc")
		if code, out, errs := new(fakePlatform).run(args...); code != cmds.ExitOK || out+errs != "" {
			t.Errorf("%s: exit %d\n%s", dir, code, errs)
		}
	}
}

func TestPublish(t *testing.T) {
	settings := []string{"publish", "--settings", examplesDir + "association/settings.jsonc"}
	first, second := prepend(tableFiles("association"), settings...), prepend(tableFiles("skyggevaev"), settings...)
	f := &fakePlatform{config: 1}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{first, cmds.ExitOK, "version 1 is in force on all 1 instances"},
		{first, cmds.ExitOK, "the tables are in force already, as version 1"},
		{settings, cmds.ExitUsage, "missing flags"},
		{append(second, "--base", "0"), cmds.ExitConflict, "built on version 0, but version 1 is in force"},
		{append(second, "--base", "1"), cmds.ExitUnconfirmed, "version 2 is accepted, but not confirmed by i1 (127.0.0.1:9)"},
		{[]string{"diff", "--settings", settings[2], "1"}, cmds.ExitOK, "removed pool bookings"},
		{[]string{"diff", "--settings", settings[2], "9"}, cmds.ExitUsage, "holds no accepted version 9; version 2 is in force"},
		{[]string{"status", "--settings", settings[2]}, cmds.ExitOK, "i1-7      rs-1  1       5/1"},
		{[]string{"explain", "--settings", settings[2], "--path", "/p", "--key", "k"}, cmds.ExitOK, "route  GET/p"},
		{[]string{"serve", "--settings", settings[2]}, cmds.ExitFaults, "served rs-1-a"},
		{[]string{"serve", "--settings", "absent"}, cmds.ExitFaults, "absent: open absent: no such file"},
		{[]string{"check"}, cmds.ExitUsage, "nothing to check"},
		{[]string{"version"}, cmds.ExitOK, "bramleycove v0"},
	} {
		if code, out, errs := f.run(c.args...); code != c.code || !strings.Contains(out+errs, c.want) {
			t.Errorf("%v: exit %d, want %d with %q\n%s%s", c.args, code, c.code, c.want, out, errs)
		}
	}
	f.down = true
	code, out, _ := f.run(append(first, "--json")...)
	var answer struct{ Outcome string }
	if err := json.Unmarshal([]byte(out), &answer); err != nil || code != cmds.ExitPlatform || answer.Outcome != "unreachable" {
		t.Errorf("log unreachable: exit %d, %v, %s", code, err, out)
	}
}

// Guards the format of faults, which editors and scripts parse.
func TestFaults(t *testing.T) {
	pools := filepath.Join(t.TempDir(), "pools")
	if err := os.WriteFile(pools, []byte("{\n\"region\": []}"), 0o600); err != nil {
		t.Fatal(err)
	}
	args := []string{"check", "--routes", examplesDir + "association/routes.jsonc", "--pools", pools}
	code, _, errs := new(fakePlatform).run(args...)
	if want := pools + `:2:1: unknown field "region"; did you mean "regions"?`; code != cmds.ExitFaults || !strings.Contains(errs, want) {
		t.Errorf("exit %d: %s", code, errs)
	}
	_, out, _ := new(fakePlatform).run(append(args, "--json")...)
	var answer struct{ Faults []struct{ Line, Column int } }
	if err := json.Unmarshal([]byte(out), &answer); err != nil || len(answer.Faults) == 0 {
		t.Error(err, out)
	}
}

// Guards against undocumented fields and flags.
func TestReference(t *testing.T) {
	page, err := os.ReadFile("../../../docs/reference.md")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, pattern := range []string{examplesDir + "*/*.jsonc", "testdata/help*.golden"} {
		paths, _ := filepath.Glob(pattern)
		for _, path := range paths {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range regexp.MustCompile(`"(\w+)":|(--[a-z]+)`).FindAllStringSubmatch(string(data), -1) {
				names[m[1]+m[2]] = true
			}
		}
	}
	if len(names) < 40 {
		t.Errorf("only %d names found", len(names))
	}
	for name := range names {
		if name != "--help" && !regexp.MustCompile("[`{\" \\[]"+name+`\b`).Match(page) {
			t.Errorf("%s is not in docs/reference.md", name)
		}
	}
}
