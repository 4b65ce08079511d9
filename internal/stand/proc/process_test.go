package proc_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/stand/proc"
)

// The test binary takes the role that the variable roleEnv names.
const (
	roleEnv      = "PROC_TEST_ROLE"
	starterRole  = "starter" // starts and stops a listener, and continues it after its parent shell has ended
	listenerRole = "started" // prints its listening line and sleeps for a minute
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleEnv) {
	case starterRole:
		if err := stopAndContinue(); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println("continued")
	case listenerRole:
		fmt.Println("event=listening")
		time.Sleep(time.Minute)
	default:
		os.Exit(m.Run())
	}
}

func stopAndContinue() error {
	p := &proc.Process{
		Name: listenerRole, ProgramPath: os.Args[0], ExtraEnv: []string{roleEnv + "=" + listenerRole}, LogPath: os.Getenv("PROC_TEST_LOG"),
	}
	if err := p.Start(); err != nil {
		return err
	}
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	shell := os.Getppid()
	if err := os.WriteFile(p.LogPath+".stopped", nil, 0o644); err != nil {
		return err
	}
	for os.Getppid() == shell {
		time.Sleep(10 * time.Millisecond)
	}
	// Allow time for a SIGHUP at the end of the shell to end the process.
	time.Sleep(200 * time.Millisecond)
	return p.Signal(syscall.SIGCONT)
}

// Guards against stopped processes that end with the shell that started the tests: the kernel sends SIGHUP to a process
// group with stopped members when its leader ends.
func TestStoppedOutlivesShell(t *testing.T) {
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	// The shell ends when the process has been stopped, or after 10 s.
	cmd := exec.Command("sh", "-c", `"$0" & for n in $(seq 100); do [ -e "$PROC_TEST_LOG.stopped" ] && exit; sleep 0.1; done`, os.Args[0])
	cmd.Env = append(os.Environ(), roleEnv+"="+starterRole, "PROC_TEST_LOG="+out.Name()+".log")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
	var printed []byte
	for start := time.Now(); len(printed) == 0 && time.Since(start) < proc.StartTimeout; time.Sleep(10 * time.Millisecond) {
		if printed, err = os.ReadFile(out.Name()); err != nil {
			t.Fatal(err)
		}
	}
	if string(printed) != "continued\n" {
		t.Errorf("starter printed %q, want \"continued\\n\"", printed)
	}
}
