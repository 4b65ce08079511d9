package accept_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/edge/accept"
)

// failingListener returns errs from its first calls of Accept.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return f.Listener.Accept()
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func dial(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a process that ends when it runs out of file descriptors under many connections: "accept4: too many open
// files" was treated as the end of the listener.
func TestTransientFailures(t *testing.T) {
	failed, resumed := 0, 0
	l := &accept.Listener{
		Listener: &failingListener{listen(t), []error{syscall.EMFILE, syscall.EMFILE, syscall.ECONNABORTED}},
		OnFailed: func(error) { failed++ }, OnResumed: func() { resumed++ },
	}
	dial(t, l)
	if _, err := l.Accept(); err != nil || failed != 1 || resumed != 1 {
		t.Errorf("error %v, %d calls of OnFailed and %d of OnResumed, want one each", err, failed, resumed)
	}
	l = &accept.Listener{Listener: &failingListener{listen(t), []error{syscall.EINVAL}}}
	if _, err := l.Accept(); err == nil {
		t.Error("a permanent error of the listener was not returned")
	}
}

// Guards against unlimited connections, and against a wrong count when a connection is closed twice.
func TestLimit(t *testing.T) {
	l := &accept.Listener{Listener: listen(t), MaxOpen: 4, FullAnswer: []byte("full")}
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for i := range 2 {
		dial(t, l)
		<-accepted
		if l.Crowded() {
			t.Errorf("crowded with %d of 4 connections", i+1)
		}
	}
	dial(t, l)
	third := <-accepted
	dial(t, l)
	<-accepted
	if !l.Crowded() {
		t.Error("not crowded with 4 of 4 connections")
	}
	if got, err := io.ReadAll(dial(t, l)); err != nil || string(got) != "full" {
		t.Errorf("the connection beyond the limit got %q, %v", got, err)
	}
	for range 2 {
		_ = third.Close() // the second call must change nothing
	}
	dial(t, l)
	select {
	case <-accepted:
	case <-time.After(5 * time.Second):
		t.Fatal("no connection was accepted after one was closed")
	}
	if got, _ := io.ReadAll(dial(t, l)); string(got) != "full" {
		t.Errorf("the connection beyond the limit, after the double close, got %q", got)
	}
}
