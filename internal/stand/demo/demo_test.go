package demo_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/demo"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// Guards against a quick start that fails, shows no key moving, or leaves files behind.
func TestRun(t *testing.T) {
	bin, err := proc.Build()
	if err != nil {
		t.Fatal(err)
	}
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	var out bytes.Buffer
	if err := demo.Run(t.Context(), &out, bin.Daemon, bin.Standin); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	for _, want := range []string{"urgent", "normal", "bulk", "served again", "All processes have ended"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	if left, _ := filepath.Glob(filepath.Join(tmp, "*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// Guards against leftovers of a demo whose daemon does not start.
func TestCannotStart(t *testing.T) {
	bin, err := proc.Build()
	if err != nil {
		t.Fatal(err)
	}
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	if err := demo.Run(t.Context(), &bytes.Buffer{}, "/nonexistent", bin.Standin); err == nil {
		t.Error("no error")
	}
	if left, _ := filepath.Glob(filepath.Join(tmp, "*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}
