package load_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/load"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

func server(id string) *topo.Server {
	return &topo.Server{Owner: spans.Owner{Server: id, StartMs: 1}, Slots: 3}
}

func acceptAll(*topo.Server) bool { return true }

// Guards against an overloaded server that looks slow because its requests queue: more would be taken from it than needed.
func TestQueueing(t *testing.T) {
	e := load.New()
	for range 60 {
		// Both run 6 requests a turn; one of them with a queue that trebles the time of each.
		e.CountAnswers("free", 6, 150*time.Millisecond)
		e.CountAnswers("full", 6, 450*time.Millisecond)
		e.EndInterval()
	}
	for _, c := range e.Capacities([]*topo.Server{server("free"), server("full")}, acceptAll) {
		if c.Capacity < 19 || c.Capacity > 21 {
			t.Errorf("%s can run %.1f, want 20", c.Server, c.Capacity)
		}
	}
}

// Guards against a server that nobody has used and that counts as able to run nothing, so that it never gets keys.
func TestNewServer(t *testing.T) {
	e := load.New()
	for range 30 {
		e.CountAnswers("old", 3, 300*time.Millisecond)
		e.EndInterval()
	}
	servers := e.Capacities([]*topo.Server{server("old"), server("new")}, acceptAll)
	if servers[1].Capacity < 0.9*servers[0].Capacity {
		t.Errorf("%+v", servers)
	}
}

// Guards against loads that start from nothing and take seconds to show, and against moves by the first counts.
func ExampleEstimator() {
	e := load.New()
	for range 5 {
		e.CountRequests("p", 7, 3)
		e.EndInterval()
		fmt.Printf("%.1f %v\n", e.KeyLoads("p")[7], e.IsReliable())
	}
	// Output:
	// 10.0 false
	// 10.0 false
	// 10.0 false
	// 10.0 true
	// 10.0 true
}

// Guards against an overloaded server that leaves orders unanswered and is taken for lost while it answers requests.
func TestHasRecentAnswers(t *testing.T) {
	e := load.New()
	if e.HasRecentAnswers("a") {
		t.Error("a server that was never used answers")
	}
	e.CountAnswers("a", 1, 400*time.Millisecond)
	e.EndInterval()
	e.EndInterval()
	if !e.HasRecentAnswers("a") {
		t.Error("a server that answered 0.6 s ago does not answer")
	}
	e.EndInterval()
	e.EndInterval()
	if e.HasRecentAnswers("a") {
		t.Error("a server that was silent for 1.2 s answers")
	}
}
