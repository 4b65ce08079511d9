package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-json"
)

// Row is the outcome of one kind in one phase, by time of arrival. Latencies are in milliseconds.
type Row struct {
	Kind      string  `json:"kind"`
	Rank      string  `json:"rank"`
	Phase     string  `json:"phase"`
	Offered   int64   `json:"offered"`
	Answered  int64   `json:"answered"`  // got a whole answer
	Within    int64   `json:"within"`    // of these, within the target
	Refused   int64   `json:"refused"`   // given up, and no attempt has run
	Uncertain int64   `json:"uncertain"` // given up, and an attempt may have run
	Resends   int64   `json:"resends"`
	Unsent    int64   `json:"unsent"` // not sent because the tool was at its limit; makes the run void
	P50       float64 `json:"p50"`
	P90       float64 `json:"p90"`
	P99       float64 `json:"p99"`
	Max       float64 `json:"max"`
}

// Result is the outcome of a run.
type Result struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Rows     []Row   `json:"rows"`
	Score    float64 `json:"score"` // worth of the answers within target, as a part of that of all requests
}

// cell counts one kind in one phase.
type cell struct {
	mu sync.Mutex
	Row
	latency *hdrhistogram.Histogram
}

const highest = int64(10 * time.Minute / time.Microsecond) // longest latency told apart, in microseconds

func newStats(kinds []Kind) [][phases]*cell {
	all := make([][phases]*cell, len(kinds))
	for i, k := range kinds {
		for p, name := range [phases]string{"before", "during", "after"} {
			all[i][p] = &cell{Row: Row{Kind: k.Name, Rank: k.Rank, Phase: name}, latency: hdrhistogram.New(1, highest, 3)}
		}
	}
	return all
}

func (c *cell) add(count func(*Row)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count(&c.Row)
}

// finish counts a request by the status of its last attempt.
func (c *cell) finish(k *Kind, status int, unknown bool, took time.Duration) {
	c.add(func(r *Row) {
		r.Offered++
		switch {
		case status >= 200 && status < 300:
			r.Answered++
			if took <= k.Target {
				r.Within++
			}
			_ = c.latency.RecordValue(min(took.Microseconds(), highest))
		case unknown:
			r.Uncertain++
		default:
			r.Refused++
		}
	})
}

// result is called when all requests have ended.
func (r *runner) result() Result {
	out := Result{Scenario: r.Scenario, Seed: r.Seed, Seconds: r.Duration.Seconds()}
	var worth, all float64
	for i, k := range r.kinds {
		for _, c := range r.stats[i] {
			ms := func(q float64) float64 { return float64(c.latency.ValueAtQuantile(q)) / 1000 }
			c.P50, c.P90, c.P99, c.Max = ms(50), ms(90), ms(99), ms(100)
			out.Rows = append(out.Rows, c.Row)
			worth += k.Worth * float64(c.Within)
			all += k.Worth * float64(c.Offered+c.Unsent)
		}
	}
	out.Score = worth / max(all, 1)
	return out
}

// Run plays the load and writes the result to w.
func (s Settings) Run(ctx context.Context, w io.Writer) error {
	r, err := s.Play(ctx)
	switch {
	case err != nil:
		return err
	case s.JSON:
		return json.NewEncoder(w).Encode(r)
	}
	return r.Table(w)
}

// Table writes the result as aligned text.
func (r *Result) Table(w io.Writer) error {
	fmt.Fprintf(w, "scenario %s, seed %d, %g s, score %.4f\n", r.Scenario, r.Seed, r.Seconds, r.Score)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\trank\tphase\toffered\tanswered\twithin\trefused\tuncertain\tresends\tunsent\tp50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", x.Kind, x.Rank, x.Phase,
			x.Offered, x.Answered, x.Within, x.Refused, x.Uncertain, x.Resends, x.Unsent, x.P50, x.P90, x.P99, x.Max)
	}
	return t.Flush()
}
