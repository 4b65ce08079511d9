package answer_test

import (
	"os"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/bkend"
	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// Guards against callers that receive a partial answer or that of another request as theirs.
func TestBadAnswers(t *testing.T) {
	t.Parallel()
	r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 2, StockServers: 1, CutServers: 1, ServerArgs: []string{"--size", "20000"}}))
	for _, tc := range []struct {
		how    string
		status int
	}{{bkend.AnswerTruncated, 502}, {bkend.AnswerWrongID, 502}, {bkend.AnswerDelayed, 504}} {
		r.CommandServer("c1", bkend.Command{AnswerMode: tc.how, AnswerDelay: "4s", AnswerCount: 1})
		a := r.Call("i1", fleet.Note(tc.how))
		if a.Err != nil || a.Status != tc.status || a.Verdict != "may-have-run" {
			t.Errorf("%s: status %d, verdict %q, %v", tc.how, a.Status, a.Verdict, a.Err)
		}
		if a := r.Call("i2", fleet.Note("next")); !fleet.HasVerdictRan(a) {
			t.Errorf("after %s: %+v", tc.how, a)
		}
	}
	r.Judge()
}

// Guards against answers that are mixed up between requests when connections break under load.
func TestBrokenConnections(t *testing.T) {
	t.Parallel()
	r := fleet.StartSystem(t, fleet.Plan(1, fleet.DCSize{Instances: 3, StockServers: 2, CutServers: 2}))
	l := fleet.StartLoad(r, 8, []string{"i1", "i2", "i3"}, func(n int) system.Call {
		if n%2 == 0 {
			return fleet.Note("note")
		}
		return fleet.Lookup(n % 100)
	})
	for round := range 20 {
		before := l.Count(fleet.HasVerdictRan)
		for _, to := range []string{"c1", "s1", "i1"} {
			r.SharedProxy(to).ResetAll()
		}
		r.SharedProxy("c2").DiscardAnswers(round % 2)
		r.Await("work goes on", fleet.AwaitTimeout, func() bool { return l.Count(fleet.HasVerdictRan) > before+20 })
	}
	l.Stop()
	r.Judge()
}
