package cmds_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/bramleycove/bramleycove/internal/oper/audit"
	"github.com/bramleycove/bramleycove/internal/oper/cmds"
)

// Guards the exit codes, the options and the output of check-platform. The stand-in for the check finds what the document
// says.
func TestCheckPlatform(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"error", "warning", "valid", "old", "broken"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(name), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	var options audit.Options
	check := func(document, inForce []byte, o audit.Options) (*audit.Report, error) {
		options = o
		r := &audit.Report{Version: "2", Findings: []audit.Finding{}, Changes: []audit.Change{}}
		if string(document) != "valid" {
			r.Findings = append(r.Findings, audit.Finding{
				Warning: string(document) == "warning", Line: 3, Column: 5, Kind: "routes", Name: "r", Field: "host", Message: "is odd",
			})
		}
		if string(inForce) == "broken" {
			return nil, errors.New("no configuration")
		}
		if inForce != nil {
			r.Changes = append(r.Changes, audit.Change{Action: "added", Kind: "routes", Name: "r"})
		}
		return r, nil
	}
	for _, c := range []struct {
		args        []string
		code        int
		out, errors string
	}{
		{[]string{"valid"}, cmds.ExitOK, "", ""},
		{[]string{"valid", "--in-force", "old"}, cmds.ExitOK, "added routes r\n", ""},
		{[]string{"warning"}, cmds.ExitOK, "", "warning:3:5: warning: routes r: host: is odd\n"},
		{[]string{"error"}, cmds.ExitFaults, "", "error:3:5: routes r: host: is odd\nbramleycove: 1 fault\n"},
		{[]string{"absent"}, cmds.ExitUsage, "", "bramleycove: open absent: no such file or directory\n"},
		{[]string{"valid", "--in-force", "absent"}, cmds.ExitUsage, "", "bramleycove: open absent: no such file or directory\n"},
		{[]string{"valid", "--in-force", "broken"}, cmds.ExitUsage, "", "bramleycove: broken: no configuration\n"},
		{[]string{"valid", "--servers=-1"}, cmds.ExitUsage, "", "bramleycove: --servers and --memory must not be negative, and --memory must be at most 2^40 (see --help)\n"},
		{[]string{"valid", "--regions", "a,b", "--servers", "3", "--memory", "2"}, cmds.ExitOK, "", ""},
	} {
		var out, errs bytes.Buffer
		app := &cmds.App{Stdout: &out, Stderr: &errs, CheckPlatform: check}
		code := app.Run(context.Background(), append([]string{"check-platform"}, c.args...))
		if code != c.code || out.String() != c.out || errs.String() != c.errors {
			t.Errorf("%v: exit %d, want %d\n%s%s", c.args, code, c.code, out.String(), errs.String())
		}
	}
	if want := (audit.Options{Regions: []string{"a", "b"}, Servers: 3, Memory: 2 << 20}); !reflect.DeepEqual(options, want) {
		t.Errorf("options %+v, want %+v", options, want)
	}
	var out, errs bytes.Buffer
	code := (&cmds.App{Stdout: &out, Stderr: &errs, CheckPlatform: check}).Run(context.Background(), []string{"check-platform", "error", "--in-force", "old", "--json"})
	var r audit.Report
	if err := json.Unmarshal(out.Bytes(), &r); err != nil || code != cmds.ExitFaults || len(r.Findings) != 1 || len(r.Changes) != 1 {
		t.Errorf("exit %d, %v, %s", code, err, out.String())
	}
}
