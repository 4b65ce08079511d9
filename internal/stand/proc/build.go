package proc

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// Programs are the paths of the binaries under test.
type Programs struct {
	Daemon, Standin string
}

// built holds the binaries of this test process. Main removes them.
var (
	built      Programs
	builtDir   string
	buildError error
	buildOnce  sync.Once
)

// Build compiles both programs once per test process. The daemon gets the race detector if the test has it.
func Build() (Programs, error) {
	buildOnce.Do(func() {
		builtDir, buildError = os.MkdirTemp("", "bramleycove-system-")
		if buildError != nil {
			return
		}
		built = Programs{filepath.Join(builtDir, "bramleycove"), filepath.Join(builtDir, "standin")}
		var args []string
		if race {
			args = []string{"-race"}
		}
		if buildError = compile(built.Daemon, "cmd/bramleycove", args...); buildError == nil {
			buildError = compile(built.Standin, "cmd/standin")
		}
	})
	return built, buildError
}

func compile(out, pkg string, args ...string) error {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return err
	}
	cmd := exec.Command("go", append([]string{"build", "-o", out}, append(args, "./"+pkg)...)...)
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(mod)))
	if text, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build of %s: %w\n%s", pkg, err, text)
	}
	return nil
}

// Main runs the tests of a package and removes the binaries. Call it from TestMain.
func Main(m *testing.M) int {
	code := m.Run()
	if builtDir != "" {
		_ = os.RemoveAll(builtDir)
	}
	return code
}
