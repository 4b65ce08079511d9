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

// Programs holds the paths of the binaries that tests run.
type Programs struct {
	Daemon, Standin string
}

// WithoutRace makes Build compile the daemon without the race detector, which takes several times the memory. It is set by
// TestMain.
var WithoutRace bool

// The result of Build. RunTests removes programsDir.
var (
	programs    Programs
	programsDir string
	buildErr    error
	buildOnce   sync.Once
)

// Build compiles both programs once per test process, the daemon with the race detector if the tests have it.
func Build() (Programs, error) {
	buildOnce.Do(func() {
		programsDir, buildErr = os.MkdirTemp("", "bramleycove-system-")
		if buildErr != nil {
			return
		}
		programs = Programs{filepath.Join(programsDir, "bramleycove"), filepath.Join(programsDir, "standin")}
		var args []string
		if raceEnabled && !WithoutRace {
			args = []string{"-race"}
		}
		if buildErr = compile(programs.Daemon, "cmd/bramleycove", args...); buildErr == nil {
			buildErr = compile(programs.Standin, "cmd/standin")
		}
	})
	return programs, buildErr
}

func compile(out, pkg string, args ...string) error {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return err
	}
	cmd := exec.Command("go", append([]string{"build", "-o", out}, append(args, "./"+pkg)...)...)
	cmd.Dir = filepath.Dir(strings.TrimSpace(string(mod)))
	if output, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build %s: %w\n%s", pkg, err, output)
	}
	return nil
}

// RunTests runs the tests of a package, removes the binaries and returns the exit code. Call it from TestMain.
func RunTests(m *testing.M) int {
	code := m.Run()
	if programsDir != "" {
		_ = os.RemoveAll(programsDir)
	}
	return code
}
