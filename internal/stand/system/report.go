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

// reportFailure fails the test if a process reported a data race, and shows all logs if the test failed.
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

// logsEnv names a directory to which the whole logs of a failed test are copied.
const logsEnv = "SYSTEM_LOGS"

// dumpStacks makes the instances of a failed test write the stacks of their goroutines, which ends them. It shows what a part
// that stands still waits for.
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

// ReadJournals reads the journals written so far.
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

// Judge fails the test for each violation in the journals, and returns what the journals hold.
func (r *System) Judge() judge.Counts {
	r.tb.Helper()
	rec := r.ReadJournals()
	for _, v := range rec.All() {
		r.tb.Error(v)
	}
	c := rec.Counts()
	r.tb.Logf("judged %+v", c)
	return c
}
