package session_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/fleet"
	"github.com/bramleycove/bramleycove/internal/stand/logsrv"
	"github.com/bramleycove/bramleycove/internal/stand/proc"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

func TestMain(m *testing.M) { os.Exit(proc.RunTests(m)) }

// session is the transcript of operators and callers.
type session struct {
	*system.System
	strings.Builder
}

func (s *session) operate(command string, args ...string) {
	code, out := s.RunOperatorCommand(append([]string{command}, args...)...)
	s.print("$ bramleycove "+command, code, out)
}

func (s *session) publish(why, routes string) {
	code, out := s.TryPublish(routes, s.PoolTable())
	s.print("$ bramleycove publish ("+why+")", code, out)
}

func (s *session) print(title string, code int, out string) {
	fmt.Fprintf(s, "%s\n%sexit code %d\n\n", title, out, code)
}

func (s *session) call(why string, c system.Call) {
	a := s.Call("i1", c)
	method := c.Method
	if method == "" {
		method = "GET"
	}
	fmt.Fprintf(s, "> %s %s (%s)\n%d verdict=%s retry=%q error=%v\n%s\n\n", method, c.Path, why, a.Status, a.Verdict, a.RetryAfter, a.Err, a.Body)
}

// normal replaces what differs from run to run: times, ports, ids, offsets and paths.
func normal(text string) string {
	for _, r := range []struct{ what, by string }{
		{`\d{4}-\d\d-\d\dT[0-9:.]+Z`, "TIME"},
		{`127\.0\.0\.1:\d+`, "ADDRESS"},
		{`/\S*/(\w+)-\d+\.table`, "$1.table"},
		{`i1/[0-9a-f]{8}(-\w+)?`, "ID"},
		{`m\d{6}`, "MARK"},
		{`took=\S+`, "took=TIME"},
		{`(token +)\d+`, "${1}TOKEN"},
		{`(?m)^(ID +\S+ +\d+ +)\d+/\d+`, "${1}TERM/EPOCH"},
		{`"request":"[^"]*"`, `"request":"ID"`},
		{` {2,}`, "  "},
		{`(incarnation|token)"?[=:]"?\d+`, "$1=N"},
	} {
		text = regexp.MustCompile(r.what).ReplaceAllString(text, r.by)
	}
	return text
}

// Guards against changes that nobody intended in what operators, callers and the log of an instance show.
func TestSession(t *testing.T) {
	t.Parallel()
	r := system.New(t, fleet.Plan(1, fleet.DCSize{Instances: 1, StockServers: 1, CutServers: 1}))
	s := &session{System: r}
	r.Start("i1")
	s.call("before the first tables", fleet.Order("A"))
	s.publish("unknown pool", strings.Replace(fleet.Routes, `"pool": "stock"`, `"pool": "stok"`, 1))
	s.publish("first version", fleet.Routes)
	s.publish("the same again", fleet.Routes)
	fleet.AwaitSlotsServed(r, "i1")
	r.Await("an order runs", fleet.AwaitTimeout, func() bool { return fleet.HasVerdictRan(r.Call("i1", fleet.Order("first"))) })
	s.operate("status", "--settings", r.OperatorSettingsPath())
	s.operate("explain", "--admin", r.Address("i1", "admin").String(), "--path", "/stock/k1", "--key", "k1")
	s.call("a lookup", fleet.Lookup(1))
	s.call("an order", fleet.Order("A"))
	s.call("the same order again", fleet.Order("A"))
	s.call("no such route", system.Call{Path: "/nowhere"})
	s.call("an order without its identity", system.Call{Method: "POST", Path: "/orders"})
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Down}})
	s.call("a lookup while the log is down", fleet.Lookup(1))
	s.call("an order while the log is down", fleet.Order("B"))
	s.call("an order of before while the log is down", fleet.Order("A"))
	r.CommandLog(logsrv.Command{Fault: faults.Fault{Mode: faults.Up}})
	r.Await("the order runs", fleet.AwaitTimeout, func() bool { return fleet.HasVerdictRan(r.Call("i1", fleet.Order("B"))) })
	s.publish("second version", strings.Replace(fleet.Routes, `"worth": 10`, `"worth": 11`, 1))
	r.Kill("c1")
	s.call("no server", fleet.Note("note"))
	fmt.Fprintf(s, "the instance is told to stop: exit code %d\n\n", r.Stop("i1", fleet.AwaitTimeout))
	s.WriteString("events of the instance\n")
	for line := range strings.Lines(r.Output("i1")) {
		// Other events depend on when parts that run at once notice a state.
		if regexp.MustCompile(`event=(tables-in-force|publication|authority|stopping|stopped)`).MatchString(line) {
			s.WriteString(regexp.MustCompile(`settled=\S+|pair=\S+`).ReplaceAllString(line, "-"))
		}
	}
	r.Judge()
	goldie.New(t).Assert(t, "session", []byte(normal(s.String())))
}
