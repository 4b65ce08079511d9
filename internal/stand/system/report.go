package system

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/bramleycove/bramleycove/internal/stand/trace"
	"github.com/bramleycove/bramleycove/internal/stand/verify"
)

// reportFailure fails the test if a process logged a data race, and prints the end of all logs on failure.
func (sys *System) reportFailure() {
	for _, name := range slices.Sorted(maps.Keys(sys.procs)) {
		data, err := os.ReadFile(sys.procs[name].LogPath)
		if err == nil && bytes.Contains(data, []byte("WARNING: DATA RACE")) {
			sys.tb.Errorf("%s reported a data race", name)
		}
	}
	if !sys.tb.Failed() {
		return
	}
	dir := os.Getenv(logsEnv)
	for _, name := range slices.Sorted(maps.Keys(sys.procs)) {
		sys.tb.Logf("--- end of the log of %s\n%s", name, sys.procs[name].Tail())
		if data, err := os.ReadFile(sys.procs[name].LogPath); err == nil && dir != "" {
			file := strings.ReplaceAll(sys.tb.Name(), "/", "-") + "-" + name + ".log"
			sys.check(os.WriteFile(filepath.Join(dir, file), data, 0o644))
		}
	}
}

// logsEnv names a directory that receives the complete logs of a failed test.
const logsEnv = "SYSTEM_LOGS"

// dumpStacks makes the instances of a failed test print the stacks of their goroutines and exit, to show where they
// block. It requires logsEnv.
func (sys *System) dumpStacks() {
	if !sys.tb.Failed() || os.Getenv(logsEnv) == "" {
		return
	}
	for _, in := range sys.Plan.Instances {
		if p := sys.procs[in.Name]; p.Running() {
			_ = p.Signal(syscall.SIGQUIT)
			_, _ = p.Wait(dumpTimeout)
		}
	}
}

const dumpTimeout = 5 * time.Second

// ReadJournals reads the journals of calls and servers written so far.
func (sys *System) ReadJournals() *verify.History {
	sys.tb.Helper()
	until := trace.Now()
	paths := []string{sys.callJournalPath}
	for _, s := range sys.Plan.Servers {
		paths = append(paths, sys.journalPath(s.Name))
	}
	rec, err := verify.Load(until, paths...)
	sys.check(err)
	return rec
}

// Judge fails the test for each violation in the journals, and returns their counts.
func (sys *System) Judge() verify.Counts {
	sys.tb.Helper()
	rec := sys.ReadJournals()
	for _, v := range rec.Violations() {
		sys.tb.Error(v)
	}
	c := rec.Counts()
	sys.tb.Logf("checked the journals: %+v", c)
	return c
}
