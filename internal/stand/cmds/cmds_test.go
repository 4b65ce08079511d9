package cmds_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/cmds"
)

// Guards against a wrong command line that starts a stand-in with defaults, and against losing the reason.
func TestWrongCommandLine(t *testing.T) {
	for args, want := range map[string]string{
		"log --rate x":                    "--rate",
		"server --slots 3":                "--name",
		"server --name s --service 5":     "--service",
		"list --address localhost":        "--address",
		"log --address 127.0.0.1:0 extra": "extra",
	} {
		var out, errs bytes.Buffer
		if code := cmds.Main(strings.Fields(args), &out, &errs); code != 2 || !strings.Contains(errs.String(), want) {
			t.Errorf("%s: code %d, %q", args, code, errs.String())
		}
	}
}

// Guards against a stand-in that reports itself ready although it cannot listen.
func TestCannotListen(t *testing.T) {
	var out, errs bytes.Buffer
	if code := cmds.Main([]string{"log", "--address", "192.0.2.1:0"}, &out, &errs); code != 1 || out.Len() > 0 {
		t.Errorf("code %d, %q, %q", code, out.String(), errs.String())
	}
}
