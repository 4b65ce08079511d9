package pipe_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/edge/pipe"
)

// Two lookups run side by side. The order behind them waits for both, and the lookup behind it for the order.
func ExampleLine() {
	l := pipe.Line{Limits: pipe.Limits{Requests: 8, Bytes: 1000}}
	start := func() (started []int) {
		for {
			n, ok := l.Start()
			if !ok {
				return started
			}
			started = append(started, n)
		}
	}
	for _, once := range []bool{false, false, true, false} {
		l.Add(once, false, 100)
	}
	fmt.Println("started", start())
	l.Answer(1, 10)
	_, ok := l.Write()
	fmt.Println("started", start(), "written", ok)
	l.Answer(0, 10)
	fmt.Println("started", start())
	// Output:
	// started [0 1]
	// started [] written false
	// started [2]
}

// lineModel records what a line did and checks it after each step.
type lineModel struct {
	pipe.Line
	t               *rapid.T
	once            []bool
	last            int // number of the request that closes the connection by itself, or -1
	running         map[int]bool
	answered        map[int]bool
	starts, written int
	closed          bool // Close was called
	cut             bool // Stop was called
	finished        bool // the answer that closes the connection was written
}

func (m *lineModel) start() {
	for {
		n, ok := m.Start()
		if !ok {
			return
		}
		if n != m.starts {
			m.t.Fatalf("request %d started after %d", n, m.starts-1)
		}
		if m.finished || m.cut {
			m.t.Fatalf("request %d started on a connection that ends", n)
		}
		if m.closed && m.written < n {
			m.t.Fatalf("request %d started behind an answer that may close the connection", n)
		}
		if len(m.running) > 0 && m.once[n] {
			m.t.Fatalf("request %d, which must not repeat, started before earlier answers", n)
		}
		for r := range m.running {
			if m.once[r] {
				m.t.Fatalf("request %d started beside %d, which must not repeat", n, r)
			}
		}
		m.running[n] = true
		m.starts++
	}
}

func (m *lineModel) write() {
	for {
		last, ok := m.Write()
		if !ok {
			return
		}
		if m.finished || !m.answered[m.written] {
			m.t.Fatalf("answer %d written: finished %v, answered %v", m.written, m.finished, m.answered[m.written])
		}
		n := m.written
		m.written++
		if want := n == m.last || (m.closed || m.cut) && m.written == m.starts; last != want {
			m.t.Fatalf("answer %d: closes the connection %v, want %v", n, last, want)
		}
		m.finished = m.finished || last
		m.start()
	}
}

func (m *lineModel) check(*rapid.T) {
	m.start()
	if m.finished && m.written != m.starts {
		m.t.Fatalf("%d requests started, %d answered before the connection was closed", m.starts, m.written)
	}
	if m.Len() == 0 && m.Held() != 0 {
		m.t.Fatalf("an empty line holds %d bytes", m.Held())
	}
	if m.Len() > m.Requests {
		m.t.Fatalf("%d requests held", m.Len())
	}
	if m.Len() == 0 && !m.Stopped() && !m.HasRoom(false) {
		m.t.Fatal("the oldest request is not admitted")
	}
}

// Guards against answers out of order, against requests that reach a server behind a closing answer or beside one that must
// not repeat, and against bytes that stay counted.
func TestLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &lineModel{t: t, last: -1, running: make(map[int]bool), answered: make(map[int]bool)}
		m.Limits = pipe.Limits{Requests: rapid.IntRange(2, 6).Draw(t, "requests"), Bytes: rapid.IntRange(200, 2000).Draw(t, "bytes")}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"read": func(t *rapid.T) {
				if m.last >= 0 || m.Stopped() || !m.HasRoom(rapid.Bool().Draw(t, "spare")) {
					t.Skip("no room")
				}
				once, last := rapid.Bool().Draw(t, "once"), rapid.IntRange(0, 9).Draw(t, "last") == 0
				n := m.Add(once, last, rapid.IntRange(0, 200).Draw(t, "size"))
				m.once = append(m.once, once)
				if n != len(m.once)-1 {
					t.Fatalf("request %d numbered %d", len(m.once)-1, n)
				}
				if last {
					m.last = n
				}
				m.start()
			},
			"answer": func(t *rapid.T) {
				if len(m.running) == 0 {
					t.Skip("none running")
				}
				var all []int
				for n := range m.starts {
					if m.running[n] {
						all = append(all, n)
					}
				}
				n := rapid.SampledFrom(all).Draw(t, "n")
				delete(m.running, n)
				m.answered[n] = true
				m.Answer(n, rapid.IntRange(0, 300).Draw(t, "size"))
				m.start()
				m.write()
			},
			"end": func(t *rapid.T) {
				switch rapid.IntRange(0, 20).Draw(t, "end") {
				case 0, 1:
					m.Close()
					m.closed = true
				case 2:
					m.Stop()
					m.cut = true
				default:
					t.Skip("goes on")
				}
			},
		})
		for n := 0; n < m.starts; n++ { // answers start others
			if m.running[n] {
				delete(m.running, n)
				m.answered[n] = true
				m.Answer(n, 1)
				m.write()
			}
		}
		if m.written != m.starts || !m.Stopped() && m.Len() != 0 {
			t.Fatalf("%d of %d answers written, %d left", m.written, m.starts, m.Len())
		}
	})
}
