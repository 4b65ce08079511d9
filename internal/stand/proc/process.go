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

// Process is one stand-in or instance. It may be started again after its end.
type Process struct {
	Name        string
	ProgramPath string // of the program
	Args        []string
	ExtraEnv    []string // variables besides those of this process
	LogPath     string   // path of the file that receives all output, of all lives

	mu              sync.Mutex
	cmd             *exec.Cmd     // nil before the first start
	ended           chan struct{} // closed when the process has ended
	listeningFields map[string]string
}

// StartTimeout bounds the time from the start of a process to its listening line. It is generous, because a machine
// that builds and tests at once starts processes slowly.
const StartTimeout = 30 * time.Second

// Start runs the process and waits until it has printed its listening line.
func (p *Process) Start() error {
	out, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	watch := &outputWatcher{file: out, listeningFields: make(chan map[string]string, 1)}
	cmd := exec.Command(p.ProgramPath, p.Args...)
	cmd.Stdout, cmd.Stderr = watch, watch
	cmd.Env = append(os.Environ(), p.ExtraEnv...)
	// The kernel ends the process if the test process dies. In the group of the tests, a stopped process would get SIGHUP
	// when the shell that started them ends.
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

// Address returns a field of the listening line.
func (p *Process) Address(field string) (netip.AddrPort, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr, err := netip.ParseAddrPort(p.listeningFields[field])
	if err != nil {
		return addr, fmt.Errorf("%s printed %s=%q: %w", p.Name, field, p.listeningFields[field], err)
	}
	return addr, nil
}

// Running tells whether the process was started and has not ended.
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

// Pid returns the id of the process, 0 if it was never started.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal. It fails if the process does not run.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s does not run (%s)", p.Name, p.exitState())
	}
	return p.cmd.Process.Signal(sig)
}

// exitState says how the process ended.
func (p *Process) exitState() string {
	if p.cmd == nil {
		return "never started"
	}
	return p.cmd.ProcessState.String()
}

// Wait waits for the end of the process and returns its exit code, -1 if a signal ended it.
func (p *Process) Wait(within time.Duration) (int, error) {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(within):
		return 0, fmt.Errorf("%s has not ended after %v", p.Name, within)
	}
}

// maxTailSize is the length of the end of a log that is shown when a test fails.
const maxTailSize = 32 << 10

// Tail returns the end of the process's output. Refusals of single requests are left out but for the last ones: under
// load they would push out the decisions that led to them.
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

// outputWatcher copies the output of a process to a file and finds its listening line.
type outputWatcher struct {
	file            io.Writer
	partialLine     []byte
	seenListening   bool
	listeningFields chan map[string]string
}

// Write is called by one goroutine at a time, since both outputs of the process are the same writer.
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
