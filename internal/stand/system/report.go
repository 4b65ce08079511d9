package system

import (
	"bytes"
	"maps"
	"os"
	"slices"

	"github.com/bramleycove/bramleycove/internal/stand/judge"
)

// report fails the test if a process reported a data race, and shows all logs if the test failed.
func (r *System) report() {
	for _, name := range slices.Sorted(maps.Keys(r.procs)) {
		data, err := os.ReadFile(r.procs[name].Log)
		if err == nil && bytes.Contains(data, []byte("WARNING: DATA RACE")) {
			r.tb.Errorf("%s reported a data race", name)
		}
	}
	if !r.tb.Failed() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(r.procs)) {
		r.tb.Logf("--- end of the log of %s\n%s", name, r.procs[name].Tail())
	}
}

// Record reads the journals written so far.
func (r *System) Record() *judge.Record {
	r.tb.Helper()
	// Calls come first: an execution is journalled before its answer, so each answer read finds its execution.
	paths := []string{r.callLog}
	for _, s := range r.Plan.Servers {
		paths = append(paths, r.journal(s.Name))
	}
	rec, err := judge.Load(paths...)
	r.check(err)
	return rec
}

// Judge fails the test for each violation in the journals, and returns what the journals hold.
func (r *System) Judge() judge.Counts {
	r.tb.Helper()
	rec := r.Record()
	for _, v := range rec.All() {
		r.tb.Error(v)
	}
	c := rec.Counts()
	r.tb.Logf("judged %+v", c)
	return c
}
