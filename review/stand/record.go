package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Run is one execution of a request.
type Run struct {
	Server string
	At     time.Time
}

// Record collects what was sent, answered and run, and writes it to a file.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	runs  map[string][]Run
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, begin: time.Now(), runs: make(map[string][]Run)}, nil
}

// Note writes a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(format, args...)
}

func (r *Record) note(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...)) // a full disk shows in the file
}

// Run notes that a server has begun a request.
func (r *Record) Run(id, server, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], Run{server, time.Now()})
	r.note("run %s at %s: %s", id, server, line)
}

// Runs returns the executions of a request.
func (r *Record) Runs(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs[id]...)
}
