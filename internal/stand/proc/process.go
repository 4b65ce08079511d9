// Package proc builds and runs the processes of integration tests.
package proc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one stand-in or instance. It can be restarted after it has ended.
type Process struct {
	Name        string
	ProgramPath string
	Args        []string
	ExtraEnv    []string // added to the environment of this process
	LogPath     string   // file that all output is appended to, across restarts

	mu              sync.Mutex
	cmd             *exec.Cmd     // nil before the first start
	ended           chan struct{} // closed when the process has ended
	listeningFields map[string]string
}

// StartTimeout limits the time from the start of a process to its log line event=listening. It is long because
// processes start slowly while the machine builds and tests.
const StartTimeout = 30 * time.Second

// Start starts the process and waits for its log line event=listening.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	watch := &outputWatcher{file: out, listeningFields: make(chan map[string]string, 1)}
	cmd := exec.Command(p.ProgramPath, p.Args...)
	cmd.Stdout, cmd.Stderr = watch, watch
	cmd.Env = append(os.Environ(), p.ExtraEnv...)
	// The kernel kills the process if the test process dies. In the process group of the tests, a stopped process would
	// get SIGHUP when the shell that started them ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	p.mu.Lock()
	p.cmd, p.ended, p.listeningFields = cmd, ended, nil
	p.mu.Unlock()
	return p.awaitListening(watch)
}

func (p *Process) awaitListening(watch *outputWatcher) error {
	select {
	case fields := <-watch.listeningFields:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listeningFields = fields
		return nil
	case <-p.ended:
		return fmt.Errorf("%s ended before it listened (%s):\n%s", p.Name, p.exitState(), p.Tail())
	case <-time.After(StartTimeout):
		return fmt.Errorf("%s did not listen within %v:\n%s", p.Name, StartTimeout, p.Tail())
	}
}

// Address returns an address that the process printed in its listening line.
func (p *Process) Address(field string) (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, err := netip.ParseAddrPort(p.listeningFields[field])
	if err != nil {
		return addr, fmt.Errorf("%s printed %s=%q: %w", p.Name, field, p.listeningFields[field], err)
	}
	return addr, nil
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Pid returns the process id, or 0 if the process was never started.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal. It fails if the process is not running.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s is not running (%s)", p.Name, p.exitState())
	}
	return p.cmd.Process.Signal(sig)
}

// exitState describes how the process ended.
func (p *Process) exitState() string {
	if p.cmd == nil {
		return "never started"
	}
	return p.cmd.ProcessState.String()
}

// Wait waits for the process to end and returns its exit code, or -1 if a signal ended it.
func (p *Process) Wait(within time.Duration) (int, error) {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(within):
		return 0, fmt.Errorf("%s has not ended within %v", p.Name, within)
	}
}

// maxTailSize is the largest size of Tail in bytes.
const maxTailSize = 32 << 10

// Tail returns the end of the process's output. It omits event=refused lines except in the last maxTailSize/4 bytes:
// under load they would displace the decisions that led to them.
func (p *Process) Tail() []byte {
	data, err := os.ReadFile(p.LogPath)
	if err != nil {
		return []byte(err.Error())
	}
	cut := max(0, len(data)-maxTailSize/4)
	var out []byte
	for line := range bytes.Lines(data[:cut]) {
		if !bytes.Contains(line, []byte("event=refused")) {
			out = append(out, line...)
		}
	}
	out = append(out, data[cut:]...)
	return out[max(0, len(out)-maxTailSize):]
}

// outputWatcher copies the output of a process to a file and sends the fields of its first listening line.
type outputWatcher struct {
	file            io.Writer
	partialLine     []byte
	seenListening   bool
	listeningFields chan map[string]string
}

// Write is called by one goroutine at a time, because it is both Stdout and Stderr of an exec.Cmd.
func (w *outputWatcher) Write(data []byte) (int, error) {
	if !w.seenListening {
		w.partialLine = append(w.partialLine, data...)
		for !w.seenListening {
			line, rest, ok := bytes.Cut(w.partialLine, []byte("\n"))
			if !ok {
				break
			}
			w.partialLine = rest
			if fields := parseFields(string(line)); fields["event"] == "listening" {
				w.seenListening = true
				w.listeningFields <- fields
			}
		}
	}
	return w.file.Write(data)
}

func parseFields(line string) map[string]string {
	out := map[string]string{}
	for _, part := range strings.Fields(line) {
		if k, v, ok := strings.Cut(part, "="); ok {
			out[k] = strings.Trim(v, `"`)
		}
	}
	return out
}
