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

// Guards against an overloaded server estimated too slow because its requests queue: it would lose too many keys.
func TestQueueing(t *testing.T) {
	e := load.New()
	for range 60 {
		// Both run 6 requests per interval; on one, queueing triples the answer time.
		e.CountAnswers("free", 6, 150*time.Millisecond)
		e.CountAnswers("full", 6, 450*time.Millisecond)
		e.EndInterval()
	}
	for _, c := range e.Capacities([]*topo.Server{server("free"), server("full")}, acceptAll) {
		if c.Capacity < 19 || c.Capacity > 21 {
			t.Errorf("server %s has capacity %.1f, want 19 to 21", c.Server, c.Capacity)
		}
	}
}

// Guards against an unused server that never gets keys because its capacity is estimated as 0.
func TestNewServer(t *testing.T) {
	e := load.New()
	for range 30 {
		e.CountAnswers("old", 3, 300*time.Millisecond)
		e.EndInterval()
	}
	servers := e.Capacities([]*topo.Server{server("old"), server("new")}, acceptAll)
	if servers[1].Capacity < 0.9*servers[0].Capacity {
		t.Errorf("the unused server has less capacity than the other: %+v", servers)
	}
}

// Guards against loads that rise from zero over seconds, and against moves based on the first counts.
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

// Guards against an overloaded server that counts as lost because orders go unanswered although it answers requests.
func TestHasRecentAnswers(t *testing.T) {
	e := load.New()
	if e.HasRecentAnswers("a") {
		t.Error("an unused server has recent answers")
	}
	e.CountAnswers("a", 1, 400*time.Millisecond)
	e.EndInterval()
	e.EndInterval()
	if !e.HasRecentAnswers("a") {
		t.Error("a server that answered 0.6 s ago has no recent answers")
	}
	e.EndInterval()
	e.EndInterval()
	if e.HasRecentAnswers("a") {
		t.Error("a server that last answered 1.2 s ago has recent answers")
	}
}

// Guards against answer times of servers that have not answered for long, which would draw requests to them, and against memory
// that grows with each server that was ever seen.
func TestMeanLatencies(t *testing.T) {
	e := load.New()
	servers := []*topo.Server{{Owner: spans.Owner{Server: "quick"}}, {Owner: spans.Owner{Server: "silent"}}, {Owner: spans.Owner{Server: "unknown"}}}
	e.CountAnswers("silent", 3, time.Second)
	latencies := func(intervals int) (out string) {
		for range intervals {
			e.CountAnswers("quick", 2, 200*time.Millisecond)
			e.EndInterval()
		}
		for _, l := range e.MeanLatencies(servers) {
			out += fmt.Sprint(l.GetServer(), " ", l.GetMillis(), ";")
		}
		return out
	}
	if got := latencies(1); got != "quick 200;silent 1000;" {
		t.Errorf("after one interval: %s", got)
	}
	if got := latencies(30); got != "quick 200;" {
		t.Errorf("after nine seconds without an answer of one server: %s", got)
	}
	latencies(200)
	e.CountAnswers("silent", 1, 300*time.Millisecond)
	if got := latencies(1); got != "quick 200;silent 300;" {
		t.Errorf("after its next answer: %s; want its former answer time forgotten", got)
	}
}
