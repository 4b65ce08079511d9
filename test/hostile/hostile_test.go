// Package hostile_test sends what a hostile client may send to single processes of the daemon. It judges only what does not
// depend on the speed of the machine.
package hostile_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/test/platf"
)

const (
	// maxBody is the longest body in the published limits and settings of the tests.
	maxBody = 4 << 20
	// platformMemory is the memory of an instance in the settings, in MB, that of the smallest instances. ownMemory is the
	// default of the own interface.
	platformMemory, ownMemory = 184, 256
	// crowdSize is such that bodies or answers of maxBody, held once, exceed both memories.
	crowdSize = 100
	// spareFiles is what a process may have open besides connections of the crowd.
	spareFiles = 150
	// sendTimeout ends a write to a process that has stopped reading.
	sendTimeout = 20 * time.Second
	// answerTimeout bounds the wait for an ordinary answer; it is no target.
	answerTimeout = 60 * time.Second
)

func TestMain(m *testing.M) {
	proc.WithoutRace = true
	os.Exit(proc.RunTests(m))
}

// target is a running process with an ordinary request.
type target struct {
	addr     netip.AddrPort
	pid      int
	memory   int // MB
	head     string
	running  func() bool
	ordinary func() (status int)
}

func startPlatform(t *testing.T, maxBody, memory int) *target {
	f, err := platf.New(t.TempDir(), 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	f.Store.MaxBody = maxBody
	in := f.Instances[0]
	path := filepath.Join(f.Dir, in.Name+".conf")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.Replace(text, []byte("memory-mb=256"), []byte("memory-mb="+strconv.Itoa(memory)), 1)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	f.Routes[1].Timeout = 8 * time.Second
	if err := f.Start(2); err != nil {
		t.Fatal(err)
	}
	client := f.NewClient()
	return &target{
		in.Callers, in.Pid(), memory, "POST /order/a?size=%d HTTP/1.1\r\nHost: test.example\r\n", in.Running,
		func() int { return client.Do(in, "/order/a", -1, 5*time.Second).Status },
	}
}

func startOwn(t *testing.T, maxBody, memory int) *target {
	p := fleet.Plan(1, fleet.DCSize{Instances: 1, StockServers: 1, CutServers: 1})
	p.Settings = map[string]any{"limits": map[string]any{"body": maxBody}}
	sys := fleet.StartSystem(t, p)
	return &target{
		sys.Address("i1", "caller"), sys.Pid("i1"), memory, "POST /notes?size=%d HTTP/1.1\r\nHost: h\r\n",
		func() bool { return sys.Running("i1") }, func() int { return sys.Call("i1", fleet.Note("note")).Status },
	}
}

// onBoth runs a test on the platform's and the own interface, one process at a time.
func onBoth(t *testing.T, test func(t *testing.T, x *target)) {
	t.Run("platform", func(t *testing.T) { test(t, startPlatform(t, maxBody, platformMemory)) })
	t.Run("own", func(t *testing.T) { test(t, startOwn(t, maxBody, ownMemory)) })
}

// status returns a value of the process's status file, which is in kB.
func (x *target) status(name string) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.pid))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// judge checks the process while the crowd's connections are open.
func (x *target) judge(t *testing.T) {
	t.Helper()
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", x.pid))
	status := 0
	for end := time.Now().Add(answerTimeout); status != 200 && time.Now().Before(end) && x.running(); time.Sleep(50 * time.Millisecond) {
		status = x.ordinary()
	}
	now := x.status("VmRSS") >> 10
	peak := max(now, x.status("VmHWM")>>10) // the kernel updates VmHWM late
	t.Logf("memory %d MB at most, %d MB now; %d files", peak, now, len(files))
	if !x.running() {
		t.Error("the process has ended")
	}
	if status != 200 {
		t.Errorf("an ordinary request got %d", status)
	}
	if peak == 0 || peak > x.memory {
		t.Errorf("the process took %d MB, its memory is %d MB", peak, x.memory)
	}
	if len(files) == 0 || len(files) > crowdSize+spareFiles {
		t.Errorf("%d files are open", len(files))
	}
}

// attack opens a connection for each client of the crowd, lets all send at once, and judges the process when all have sent
// what they could. The connections stay open until the test ends.
func (x *target) attack(t *testing.T, send func(c net.Conn, i int) error) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range crowdSize {
		c, err := net.Dial("tcp", x.addr.String())
		if err != nil {
			t.Fatal(err)
		}
		// A short receive buffer keeps answers that are not read in the process.
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		t.Cleanup(func() { _ = c.Close() })
		wg.Go(func() {
			_ = send(c, i) // the process may refuse the client
		})
	}
	wg.Wait()
	x.judge(t)
}

// write writes in pieces, each with a timeout.
func write(c net.Conn, data []byte, piece int) error {
	for len(data) > 0 {
		n := min(piece, len(data))
		_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
		if _, err := c.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// short returns how many bytes a client leaves out: one in four sends all.
func short(i int) int { return min(1, i%4) }

// Guards against bodies of legal size that are held without a bound on their sum: the process ran out of memory.
func TestLargeBodies(t *testing.T) {
	body := make([]byte, maxBody)
	for _, piece := range []int{maxBody, 16 << 10} {
		t.Run(fmt.Sprintf("pieces of %d", piece), func(t *testing.T) {
			onBoth(t, func(t *testing.T, x *target) {
				x.attack(t, func(c net.Conn, i int) error {
					head := fmt.Sprintf(x.head+"Content-Length: %d\r\n\r\n", 0, len(body))
					return write(c, append([]byte(head), body[short(i):]...), piece)
				})
			})
		})
	}
}

// Guards against chunked bodies that are held without a bound on their sum, and against small chunks that cost many times
// their size.
func TestChunks(t *testing.T) {
	for chunk, size := range map[int]int{1: maxBody/4 + 1000, 1 << 20: maxBody} {
		data := bytes.Repeat(append(fmt.Appendf(nil, "%x\r\n", chunk), append(make([]byte, chunk), "\r\n"...)...), size/chunk)
		t.Run(fmt.Sprintf("chunks of %d", chunk), func(t *testing.T) {
			onBoth(t, func(t *testing.T, x *target) {
				x.attack(t, func(c net.Conn, i int) error {
					body := append([]byte(fmt.Sprintf(x.head, 0)+"Transfer-Encoding: chunked\r\n\r\n"), data...)
					if short(i) == 0 {
						body = append(body, "0\r\n\r\n"...)
					}
					return write(c, body, 64<<10)
				})
			})
		})
	}
}

// Guards against bodies over the limit that are read on. One client in four announces the length, the others send chunks
// without end and reach the limit together.
func TestOverLimit(t *testing.T) {
	chunk := append([]byte("10000\r\n"), append(make([]byte, 64<<10), "\r\n"...)...)
	onBoth(t, func(t *testing.T, x *target) {
		var below sync.WaitGroup
		below.Add(crowdSize)
		x.attack(t, func(c net.Conn, i int) error {
			framing := "Transfer-Encoding: chunked"
			if i%4 == 0 {
				framing = "Content-Length: 10000000000"
			}
			err := write(c, fmt.Appendf(nil, x.head+framing+"\r\n\r\n", 0), 1<<10)
			sendUpTo := func(end int) {
				for n := 0; err == nil && n < end; n += 64 << 10 {
					err = write(c, chunk, len(chunk))
				}
			}
			sendUpTo(maxBody - 64<<10)
			below.Done()
			below.Wait()
			time.Sleep(time.Second) // until the process has read it
			sendUpTo(7 * maxBody)
			return err
		})
	})
}

// Guards against answers that are held for callers that don't read them. Servers of the own interface echo the body.
func TestSlowReaders(t *testing.T) {
	body := make([]byte, maxBody)
	onBoth(t, func(t *testing.T, x *target) {
		x.attack(t, func(c net.Conn, _ int) error {
			size, echoed := 2*maxBody, body[:0]
			if strings.Contains(x.head, "/notes") {
				size, echoed = 0, body
			}
			br := bufio.NewReader(c)
			for range 50 { // servers take few such requests at once
				head := fmt.Sprintf(x.head+"Content-Length: %d\r\n\r\n", size, len(echoed))
				if err := write(c, append([]byte(head), echoed...), maxBody); err != nil {
					return err
				}
				_ = c.SetReadDeadline(time.Now().Add(sendTimeout))
				resp, err := http.ReadResponse(br, nil)
				if err != nil || resp.StatusCode == 200 {
					return err
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					return err
				}
				time.Sleep(200 * time.Millisecond)
			}
			return nil
		})
	})
}

// Guards against limits that refuse a single request of legal size in calm.
func TestLargeBodyInCalm(t *testing.T) {
	const maxBody = 64 << 20
	body := make([]byte, maxBody)
	for _, framing := range []string{fmt.Sprint("Content-Length: ", maxBody), "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			x := startPlatform(t, maxBody, platformMemory)
			c, err := net.Dial("tcp", x.addr.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			data := append([]byte(fmt.Sprintf(x.head, 0)+framing+"\r\n\r\n"), body...)
			if strings.HasSuffix(framing, "chunked") {
				data = append(fmt.Appendf(nil, x.head+framing+"\r\n\r\n%x\r\n", 0, maxBody), body...)
				data = append(data, "\r\n0\r\n\r\n"...)
			}
			if err := write(c, data, 64<<10); err != nil {
				t.Error(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
			if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, " 200 ") {
				t.Errorf("%q, %v", line, err)
			}
			x.judge(t)
		})
	}
}
