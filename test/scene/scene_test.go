package scene_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/bramleycove/bramleycove/internal/stand/bench"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// TestScenario measures one scenario. scripts/bench runs it; its variable BENCH holds the flags.
func TestScenario(t *testing.T) {
	flags, ok := os.LookupEnv("BENCH")
	if !ok {
		t.Skip("a measurement, run by scripts/bench")
	}
	var s bench.Settings
	parser, err := kong.New(&s, kong.Name("bench"), kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse(strings.Fields(flags)); err != nil {
		t.Fatal(err)
	}
	s.Root = filepath.Join("..", "..")
	rep := bench.Run(t, s)
	t.Logf("%s\n%s", flags, rep.Text())
}
