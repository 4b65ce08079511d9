package room_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/room"
)

const (
	usualTimeout = 6 * time.Second
	usualTarget  = 2 * time.Second
)

// newBusy returns a room whose servers have answered ten requests of 0.3 s in each of the last three seconds.
func newBusy(now time.Time) *room.Room[string] {
	m := room.New[string](rand.New(rand.NewPCG(1, 1)))
	for i := range 30 {
		at := now.Add(time.Duration(i-30) * 100 * time.Millisecond)
		m.Observe(at, room.Answer{Request: request(at.Add(-300*time.Millisecond), 1), Took: 300 * time.Millisecond, OK: true})
	}
	return m
}

func request(at time.Time, priority int) room.Request {
	return room.Request{Route: routes[priority], Priority: priority, ReceivedAt: at, Deadline: at.Add(usualTimeout), Target: usualTarget}
}

var routes = [...]string{"r0", "r1", "r2"} // by priority

func ExampleRoom() {
	now := time.Unix(1000, 0)
	m := newBusy(now)
	for _, priority := range []int{1, 0} {
		r := request(now, priority)
		if v := m.Worth(now, r); v.Wait {
			m.Join(now, &room.Waiter[string]{Request: r, Value: r.Route})
		}
	}
	m.Fill(now, func(w *room.Waiter[string]) room.Turn {
		fmt.Println(w.Value)
		return room.Sent
	})
	// Output:
	// r0
	// r1
}

// Guards against requests that are sent after less urgent ones, or after such of their priority that can be sent later.
func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newBusy(now)
	join := func(name string, r room.Request) {
		m.Join(now, &room.Waiter[string]{Request: r, Value: name})
	}
	sent := request(now, 1)
	sent.Sends = 1
	tight := request(now, 1)
	tight.Target = time.Second
	join("less urgent", request(now, 2))
	join("usual", request(now, 1))
	join("tight target", tight)
	join("sent before", sent)
	join("urgent", request(now, 0))
	var got []string
	for _, w := range m.Waiting(now) {
		got = append(got, w.Value)
	}
	if want := []string{"urgent", "sent before", "tight target", "usual", "less urgent"}; !slices.Equal(got, want) {
		t.Errorf("order %q, want %q", got, want)
	}
}

// Guards against requests that wait though their answer would come after their deadline, and against those kept waiting when servers stop
// answering.
func TestHopeless(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newBusy(now)
	short := request(now, 1)
	short.Deadline = now.Add(200 * time.Millisecond)
	if m.Worth(now, short).Wait {
		t.Error("a request with 0.2 s left waits for work of 0.3 s")
	}
	r := request(now, 1)
	if !m.Worth(now, r).Wait {
		t.Fatal("a request doesn't wait for the next of ten answers in a second")
	}
	m.Join(now, &room.Waiter[string]{Request: r})
	if got := m.Hopeless(now.Add(100 * time.Millisecond)); len(got) > 0 {
		t.Error("a request is given up after 0.1 s")
	}
	if got := m.Hopeless(now.Add(4 * time.Second)); len(got) != 1 {
		t.Error("a request still waits after 4 s without an answer")
	}
}

// Guards against callers that are told to come again all at once, before room is expected, or later than they would obey.
func TestRetryAfter(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newBusy(now)
	var tenths [10]int
	for range 100 {
		after := m.Refuse(now, request(now, 1))
		if after < 100*time.Millisecond || after > usualTimeout/3 {
			t.Errorf("told to come again after %v", after)
		}
		tenths[min(9, after/(100*time.Millisecond))]++
	}
	for i, n := range tenths[2:8] {
		if n < 5 || n > 30 {
			t.Errorf("%d of 100 callers come again between %d and %d tenths of a second: %v", n, i+2, i+3, tenths)
		}
	}
}

// Guards against callers who come again and are refused while the room goes to newcomers.
func TestReturnedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newBusy(now)
	for range 20 {
		m.Refuse(now, request(now, 1))
	}
	now = now.Add(300 * time.Millisecond)
	back := request(now, 1)
	back.Deadline = now.Add(usualTimeout - 300*time.Millisecond)
	for range 9 {
		if m.Worth(now, request(now, 1)).Wait {
			m.Join(now, &room.Waiter[string]{Request: request(now, 1), Value: "new"})
		}
	}
	if !m.Worth(now, back).Wait {
		t.Fatal("a request that comes again is refused")
	}
	m.Join(now, &room.Waiter[string]{Request: back, Value: "back"})
	if first := m.Waiting(now)[0].Value; first != "back" {
		t.Errorf("the first is %q", first)
	}
	for range 20 {
		m.Worth(now, back)
	}
	if m.Worth(now, request(now, 1)).Wait {
		t.Error("a newcomer waits though more come again than there is room for")
	}
}

// Guards against a priority that gets nothing while more urgent requests need all the room.
func TestStarved(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newBusy(now)
	for range 10 {
		m.Refuse(now, request(now, 2))
	}
	m.Join(now, &room.Waiter[string]{Request: request(now, 1), Value: "urgent"})
	m.Join(now, &room.Waiter[string]{Request: request(now, 2), Value: "starved"})
	if first := m.Waiting(now)[0]; first.Value != "starved" || !first.Due() {
		t.Errorf("the first is %q", first.Value)
	}
}

// BenchmarkObserve measures what each answered request costs while there is room.
func BenchmarkObserve(b *testing.B) {
	now := time.Unix(1000, 0)
	m := newBusy(now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		m.Observe(now, room.Answer{Request: request(now, 1), Took: 300 * time.Millisecond, OK: true})
	}
}

// Guards against a request that waits for room that it may not use: its servers have not answered for long, others do.
func TestPlaces(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newBusy(now)
	m.Observe(now.Add(-20*time.Second), room.Answer{Request: request(now.Add(-20*time.Second), 1), Place: "b", Took: 300 * time.Millisecond, OK: true})
	r := request(now, 1)
	if r.MayUse = func(place string) bool { return place == "b" }; m.Worth(now, r).Wait {
		t.Error("a request waits for servers that haven't answered for 20 s")
	}
}
