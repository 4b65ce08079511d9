// Package trace defines, writes and reads the journals that tests check: one JSON object per line, with times of the
// machine's monotonic clock, so that journals of several processes on one machine can be compared.
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
	KindStart = "start" // a server process started
	KindGrant = "grant" // a server accepted a grant
	KindExec  = "exec"  // a server committed or abandoned an execution
	KindCrash = "crash" // a server is about to exit because of a request
	KindCall  = "call"  // a caller received an answer, or gave up
)

// SlotRange is a range of slots of a pool, Last included, with one token.
type SlotRange struct {
	Pool  string `json:"pool"`
	First uint32 `json:"first"`
	Last  uint32 `json:"last"`
	Token uint64 `json:"token"`
}

// NoSlot is the slot of events without one, such as requests to an unkeyed pool.
const NoSlot = -1

// Event is one line of a journal. Which fields are set depends on the kind; some comments name it. Times are those of Now.
type Event struct {
	Kind         string `json:"event"`
	Server       string `json:"server,omitempty"`
	Incarnation  uint64 `json:"incarnation,omitempty"`
	ChecksTokens bool   `json:"checks,omitempty"` // start: the server checks tokens

	Term    uint64      `json:"term,omitempty"`
	Epoch   uint64      `json:"epoch,omitempty"`
	From    int64       `json:"from,omitempty"`  // start: when; grant: when it replaced the earlier grant of the process
	Until   int64       `json:"until,omitempty"` // grant: when it lapses
	Slots   []SlotRange `json:"slots,omitempty"`
	Revoked []SlotRange `json:"revoked,omitempty"` // grant: slots no longer held

	Pool      string `json:"pool,omitempty"`
	Slot      int64  `json:"slot"`
	Token     uint64 `json:"token,omitempty"`
	Request   string `json:"request,omitempty"`
	Identity  string `json:"identity,omitempty"`
	Mark      string `json:"mark,omitempty"` // header by which a caller in a test tells its calls apart
	Rank      string `json:"rank,omitempty"`
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	Begin     int64  `json:"begin,omitempty"` // exec: start of the work; call: when it was sent
	End       int64  `json:"end,omitempty"`   // exec: commit or abandonment; call: answer received or given up
	Committed bool   `json:"committed,omitempty"`
	Reason    string `json:"reason,omitempty"` // exec: why it was not committed; call: error
	Hash      string `json:"hash,omitempty"`   // exec: SHA-256 of Body in hex
	Body      []byte `json:"body,omitempty"`   // the answer

	Source string `json:"-"` // set by Read: file and line

	Instance string `json:"instance,omitempty"` // call: where it was sent
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

// String returns the source of the event and its journal line.
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

// Open opens the journal at path for appending, and creates it if it does not exist.
func Open(path string) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return &Writer{file: f}, nil
}

// Write passes the event to the kernel before it returns, so that the event survives the death of the process.
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

// Read returns the events of the journal at path in the order written. It ignores a last line without a line
// break, which was still being written when it was read or when its process was killed.
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
