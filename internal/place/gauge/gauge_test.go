package gauge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/gauge"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

func server(id string) *topo.Server {
	return &topo.Server{Owner: spans.Owner{Server: id, Born: 1}, Slots: 3}
}

func all(*topo.Server) bool { return true }

// Guards against an overloaded server that looks slow because its requests queue: more would be taken from it than needed.
func TestQueueing(t *testing.T) {
	g := gauge.New()
	for range 60 {
		// Both run 6 requests a turn; one of them with a queue that trebles the time of each.
		g.Answered("free", 6, 150*time.Millisecond)
		g.Answered("full", 6, 450*time.Millisecond)
		g.Turn()
	}
	for _, c := range g.Capacities([]*topo.Server{server("free"), server("full")}, all) {
		if c.Capacity < 19 || c.Capacity > 21 {
			t.Errorf("%s can run %.1f, want 20", c.Server, c.Capacity)
		}
	}
}

// Guards against a server that nobody has used and that counts as able to run nothing, so that it never gets keys.
func TestNewServer(t *testing.T) {
	g := gauge.New()
	for range 30 {
		g.Answered("old", 3, 300*time.Millisecond)
		g.Turn()
	}
	cs := g.Capacities([]*topo.Server{server("old"), server("new")}, all)
	if cs[1].Capacity < 0.9*cs[0].Capacity {
		t.Errorf("%+v", cs)
	}
}

// Guards against loads that start from nothing and take seconds to show, and against moves by the first counts.
func ExampleGauge() {
	g := gauge.New()
	for range 5 {
		g.Count("p", 7, 3)
		g.Turn()
		fmt.Printf("%.1f %v\n", g.Load("p")[7], g.Settled())
	}
	// Output:
	// 10.0 false
	// 10.0 false
	// 10.0 false
	// 10.0 true
	// 10.0 true
}

// Guards against an overloaded server that leaves orders unanswered and is taken for lost while it answers requests.
func TestAnswers(t *testing.T) {
	g := gauge.New()
	if g.Answers("a") {
		t.Error("a server that was never used answers")
	}
	g.Answered("a", 1, 400*time.Millisecond)
	g.Turn()
	g.Turn()
	if !g.Answers("a") {
		t.Error("a server that answered 0.6 s ago does not answer")
	}
	g.Turn()
	g.Turn()
	if g.Answers("a") {
		t.Error("a server that was silent for 1.2 s answers")
	}
}
