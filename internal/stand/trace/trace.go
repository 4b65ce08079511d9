// Package trace is the form of the journals that tests are judged by: one JSON object per line, with times of the
// machine-wide monotonic clock, so that journals of several processes on one machine can be compared.
package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/goccy/go-json"
	"golang.org/x/sys/unix"
)

// The kinds of events.
const (
	KindStart = "start" // a server process began
	KindGrant = "grant" // a server accepted a grant
	KindExec  = "exec"  // a server ended an execution
	KindCrash = "crash" // a server is about to exit because of a request
	KindCall  = "call"  // a caller received an answer, or gave up
)

// SlotRange is a run of slots of a pool with one token.
type SlotRange struct {
	Pool  string `json:"pool"`
	First uint32 `json:"first"`
	Last  uint32 `json:"last"`
	Token uint64 `json:"token"`
}

// NoSlot is the slot of a request to an unkeyed pool.
const NoSlot = -1

// Event is one line of a journal. Which fields are set depends on the kind. Times are in nanoseconds of Now.
type Event struct {
	Kind         string `json:"event"`
	Server       string `json:"server,omitempty"`
	Incarnation  uint64 `json:"incarnation,omitempty"`
	ChecksTokens bool   `json:"checks,omitempty"` // of Start: the server checks tokens

	Term    uint64      `json:"term,omitempty"`
	Epoch   uint64      `json:"epoch,omitempty"`
	From    int64       `json:"from,omitempty"`  // of Grant: when it took effect; it ends all earlier grants of the process
	Until   int64       `json:"until,omitempty"` // of Grant: when it lapses
	Slots   []SlotRange `json:"slots,omitempty"`
	Revoked []SlotRange `json:"revoked,omitempty"` // of Grant: what was held before and is no longer

	Pool      string `json:"pool,omitempty"`
	Slot      int64  `json:"slot"`
	Token     uint64 `json:"token,omitempty"`
	Request   string `json:"request,omitempty"`
	Identity  string `json:"identity,omitempty"`
	Mark      string `json:"mark,omitempty"` // header that a test's caller sets to tell its calls apart
	Rank      string `json:"rank,omitempty"`
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	Begin     int64  `json:"begin,omitempty"` // of Exec: start of the work; of Call: when the caller sent
	End       int64  `json:"end,omitempty"`   // of Exec: commit or abandonment; of Call: when the caller had the answer
	Committed bool   `json:"committed,omitempty"`
	Reason    string `json:"reason,omitempty"` // of Exec: why it was not committed; of Call: error
	Hash      string `json:"hash,omitempty"`   // of Exec: SHA-256 of Body in hex
	Body      []byte `json:"body,omitempty"`   // the answer

	Source string `json:"-"` // set by Read: file and line

	Instance string `json:"instance,omitempty"` // of Call: the instance that the caller asked
	Verdict  string `json:"verdict,omitempty"`
	Status   int    `json:"status,omitempty"`
}

// Now returns the time of the machine's monotonic clock in nanoseconds.
func Now() int64 {
	var ts unix.Timespec
	// CLOCK_MONOTONIC exists on every Linux kernel, so this cannot fail.
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	return ts.Nano()
}

// String returns the event as its line of the journal, after its source.
func (ev *Event) String() string {
	line, err := json.Marshal(ev)
	if err != nil {
		return err.Error()
	}
	return ev.Source + " " + string(line)
}

// Writer appends events to a file. It may be used by many goroutines. A nil Writer discards events.
type Writer struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the journal at path, and keeps the lines it has.
func Open(path string) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return &Writer{file: f}, nil
}

// Write hands the event to the kernel before it returns, so that it outlives the process.
func (w *Writer) Write(ev *Event) error {
	if w == nil {
		return nil
	}
	line, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err = w.file.Write(append(line, '\n'))
	return err
}

// Close closes the file.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	return w.file.Close()
}

// Read returns the events of the journal at path in the order written. A last line without line end was being
// written when its process was killed; it is left out.
func Read(path string) ([]Event, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if end := bytes.LastIndexByte(data, '\n'); end >= 0 {
		data = data[:end+1]
	} else {
		return nil, nil
	}
	var out []Event
	lines := bufio.NewScanner(bytes.NewReader(data))
	lines.Buffer(nil, len(data)+1)
	for n := 1; lines.Scan(); n++ {
		var ev Event
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		ev.Source = fmt.Sprintf("%s:%d", filepath.Base(path), n)
		out = append(out, ev)
	}
	return out, lines.Err()
}
