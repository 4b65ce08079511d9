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

// The test binary runs as one of these roles if the variable is set.
const (
	roleEnv      = "PROC_TEST_ROLE"
	starterRole  = "starter" // starts a process, stops it and continues it once its own shell has ended
	listenerRole = "started" // listens until it is killed
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
	// The kernel sends its signals when the shell ends; the process needs a moment to be gone and to be waited for.
	time.Sleep(200 * time.Millisecond)
	return p.Signal(syscall.SIGCONT)
}

// Guards against stopped processes that end with the shell that started the tests: the kernel sends SIGHUP to a process
// group with stopped members whose leader ends.
func TestStoppedOutlivesShell(t *testing.T) {
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	// The shell ends once the process is stopped, or after 10 s.
	cmd := exec.Command("sh", "-c", `"$0" & for n in $(seq 100); do [ -e "$PROC_TEST_LOG.stopped" ] && exit; sleep 0.1; done`, os.Args[0])
	cmd.Env = append(os.Environ(), roleEnv+"="+starterRole, "PROC_TEST_LOG="+out.Name()+".log")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Run(); err != nil {
		t.Fatal(err)
	}
	var said []byte
	for begun := time.Now(); len(said) == 0 && time.Since(begun) < proc.StartTimeout; time.Sleep(10 * time.Millisecond) {
		if said, err = os.ReadFile(out.Name()); err != nil {
			t.Fatal(err)
		}
	}
	if string(said) != "continued\n" {
		t.Errorf("said %q", said)
	}
}
