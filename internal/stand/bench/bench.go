package bench

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/stand/load"
	"github.com/bramleycove/bramleycove/internal/stand/system"
)

// run is one run of a scenario.
type run struct {
	Settings
	system   *system.System
	plan     system.Plan
	mu       sync.Mutex
	line     map[string][]int // answers in each second of arrival, by kind
	refused  []int            // refused attempts in each second of their end
	attempts int
	begin    time.Time
	lost     int64 // requests that killed servers received
}

// Run plays the scenario, writes its files and returns the report.
func Run(tb testing.TB, s Settings) Report {
	tb.Helper()
	t, routes, err := s.tables()
	if err != nil {
		tb.Fatal(err)
	}
	r := &run{Settings: s, plan: s.plan(t), line: make(map[string][]int)}
	r.refused = make([]int, int(s.Duration.Seconds())+60)
	r.system = s.start(tb, r.plan, routes)
	received, place := r.received(), r.moves()
	var event conc.WaitGroup
	r.begin = time.Now()
	event.Go(func() { r.event(tb) })
	moves := r.sample(&event)
	res, err := r.load().Play(context.Background())
	if err != nil {
		tb.Fatal(err)
	}
	event.Wait()
	rep := r.report(res, t)
	rep.Sent = r.received() + r.lost - received
	rep.Amplification = float64(rep.Sent) / float64(max(1, rep.Answers))
	for _, n := range *moves {
		rep.Placed = append(rep.Placed, n-place)
	}
	if err := r.write(&rep); err != nil {
		tb.Fatal(err)
	}
	return rep
}

func (r *run) load() load.Settings {
	s := load.Settings{
		Profile: r.Profile, Scenario: r.Scenario, Duration: r.Duration, Service: r.Service, Scale: r.Scale,
		Factor: r.Factor, Shift: time.Hour, Tries: r.Tries, Again: time.Second, Open: 20000, Seed: r.Seed, Seen: r.seen,
	}
	for _, in := range r.plan.Instances {
		s.Instances = append(s.Instances, r.system.CallerAddress(in.Name))
	}
	if r.Scenario == "hot-key" {
		s.Shift = r.Duration / 3
	}
	return s
}

// seen counts an attempt of a caller.
func (r *run) seen(a load.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	if a.Status == 200 {
		if r.line[a.Kind] == nil {
			r.line[a.Kind] = make([]int, int(math.Ceil(r.Duration.Seconds())))
		}
		r.line[a.Kind][int(a.At.Seconds())]++
	} else if i := int(a.End.Sub(r.begin).Seconds()); i < len(r.refused) {
		r.refused[i]++
	}
}

// event carries the scenario's event out after a third of the run.
func (r *run) event(tb testing.TB) {
	tb.Helper()
	time.Sleep(r.Duration / 3)
	names := r.victims()
	for _, name := range names {
		st := r.system.ServerStatus(name)
		r.lost += st.Committed + st.Refused
	}
	r.system.Kill(names...)
	if r.Scenario == "cold" {
		r.system.Start(names...)
	}
}

// victims are the servers that the event kills: all, or a fifth, the first of each pool in turn.
func (r *run) victims() (names []string) {
	taken := map[string]bool{}
	for _, s := range r.plan.Servers {
		fifth := len(names)*5 < len(r.plan.Servers)-2 && !taken[s.Pool]
		if r.Scenario == "cold" || r.Scenario == "loss" && fifth {
			names = append(names, s.Name)
			taken[s.Pool] = true
		}
	}
	return names
}

// received returns the requests that the running servers have received.
func (r *run) received() (n int64) {
	for _, s := range r.plan.Servers {
		if r.system.Running(s.Name) {
			st := r.system.ServerStatus(s.Name)
			n += st.Committed + st.Refused
		}
	}
	return n
}

// moves returns the number of records of the stream of placements.
func (r *run) moves() uint64 { return r.system.LogCounts().Streams["place"][1] }

// sample reads the number of placements each second until the run is over.
func (r *run) sample(g *conc.WaitGroup) *[]uint64 {
	out := &[]uint64{}
	g.Go(func() {
		for i := range int(r.Duration.Seconds()) {
			time.Sleep(time.Until(r.begin.Add(time.Duration(i+1) * time.Second)))
			*out = append(*out, r.moves())
		}
	})
	return out
}

func (r *run) write(rep *Report) error {
	if err := os.MkdirAll(r.Out, 0o750); err != nil {
		return err
	}
	base := filepath.Join(r.Out, r.Profile+"-"+r.Scenario)
	for ext, text := range map[string][]byte{".json": rep.json(), ".txt": rep.Text(), ".svg": rep.plot()} {
		if err := os.WriteFile(base+ext, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}
