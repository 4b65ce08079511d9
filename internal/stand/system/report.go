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

	"github.com/bramleycove/bramleycove/internal/stand/judge"
	"github.com/bramleycove/bramleycove/internal/stand/trace"
)

// reportFailure fails the test if a process logged a data race, and prints the end of each log if the test failed.
func (r *System) reportFailure() {
	for _, name := range slices.Sorted(maps.Keys(r.procs)) {
		data, err := os.ReadFile(r.procs[name].LogPath)
		if err == nil && bytes.Contains(data, []byte("WARNING: DATA RACE")) {
			r.tb.Errorf("%s reported a data race", name)
		}
	}
	if !r.tb.Failed() {
		return
	}
	dir := os.Getenv(logsEnv)
	for _, name := range slices.Sorted(maps.Keys(r.procs)) {
		r.tb.Logf("--- end of the log of %s\n%s", name, r.procs[name].Tail())
		if data, err := os.ReadFile(r.procs[name].LogPath); err == nil && dir != "" {
			file := strings.ReplaceAll(r.tb.Name(), "/", "-") + "-" + name + ".log"
			r.check(os.WriteFile(filepath.Join(dir, file), data, 0o644))
		}
	}
}

// logsEnv is the variable for a directory that receives the complete logs of a failed test.
const logsEnv = "SYSTEM_LOGS"

// dumpStacks makes the instances of a failed test print the stacks of their goroutines and exit, to show where they
// are blocked. It does nothing unless logsEnv is set.
func (r *System) dumpStacks() {
	if !r.tb.Failed() || os.Getenv(logsEnv) == "" {
		return
	}
	for _, in := range r.Plan.Instances {
		if p := r.procs[in.Name]; p.Running() {
			_ = p.Signal(syscall.SIGQUIT)
			_, _ = p.Wait(dumpTimeout)
		}
	}
}

const dumpTimeout = 5 * time.Second

// ReadJournals reads the journals of calls and servers written so far.
func (r *System) ReadJournals() *judge.Record {
	r.tb.Helper()
	until := trace.Now()
	paths := []string{r.callJournalPath}
	for _, s := range r.Plan.Servers {
		paths = append(paths, r.journalPath(s.Name))
	}
	rec, err := judge.Load(until, paths...)
	r.check(err)
	return rec
}

// Judge reports each violation found in the journals as a test error, and returns the counts of the journals.
func (r *System) Judge() judge.Counts {
	r.tb.Helper()
	rec := r.ReadJournals()
	for _, v := range rec.All() {
		r.tb.Error(v)
	}
	c := rec.Counts()
	r.tb.Logf("checked the journals: %+v", c)
	return c
}
