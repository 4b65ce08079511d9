package bench

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/goccy/go-json"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/stand/load"
)

// Report is the outcome of a run.
type Report struct {
	Settings Settings         `json:"settings"`
	Load     load.Result      `json:"load"`
	Kept     []Kept           `json:"kept"`
	Useful   map[string]Use   `json:"useful"` // by pool, in the second third
	Attempts int              `json:"attempts"`
	Answers  int64            `json:"answers"` // requests that got a whole answer
	Sent     int64            `json:"sent"`    // requests that servers received
	Line     map[string][]int `json:"line"`    // answers in each second of arrival, by kind
	Refused  []int            `json:"refused"` // failed attempts in each second
	Placed   []uint64         `json:"placed"`  // records of the stream of placements up to each second

	Amplification float64 `json:"amplification"` // sent to servers per answer
}

// Kept compares the second and the last third of the run with the first.
type Kept struct {
	Kind    string  `json:"kind"`
	During  float64 `json:"during"` // part of the goodput within target that is kept
	After   float64 `json:"after"`
	P99     float64 `json:"p99"`     // during over before
	Refused float64 `json:"refused"` // part of the requests during the second third
}

// Use is how much of a pool's capacity does useful work.
type Use struct {
	Offered float64 `json:"offered"` // first sends by callers, in multiples of the capacity
	Within  float64 `json:"within"`  // answers within target, as a part of the capacity
	All     float64 `json:"all"`     // answers, as a part of the capacity
}

const third = 3 // phases of a run have equal lengths

func (r *run) report(res load.Result, t *tables.Tables) Report {
	rep := Report{
		Settings: r.Settings, Load: res, Useful: make(map[string]Use), Attempts: r.attempts, Line: r.line, Refused: r.refused,
	}
	slots := map[string]float64{}
	for _, s := range r.plan.Servers {
		slots[s.Pool] += float64(s.Slots)
	}
	good := func(x load.Row) float64 { return float64(x.Within) / float64(max(1, x.Offered+x.Unsent)) }
	for i, k := range load.Kinds(r.Profile) {
		a, b, c := res.Rows[third*i], res.Rows[third*i+1], res.Rows[third*i+2]
		rep.Answers += a.Answered + b.Answered + c.Answered
		rep.Kept = append(rep.Kept, Kept{
			Kind: k.Name, During: good(b) / max(good(a), 1e-9), After: good(c) / max(good(a), 1e-9), P99: b.P99 / max(a.P99, 1e-9),
			Refused: float64(b.Refused+b.Uncertain) / float64(max(1, b.Offered)),
		})
		pool := poolOf(t, k)
		u := rep.Useful[pool]
		part := r.Service.Seconds() / (slots[pool] * r.Duration.Seconds() / third)
		u.Offered += part * float64(b.Offered+b.Unsent)
		u.Within += part * float64(b.Within)
		u.All += part * float64(b.Answered)
		rep.Useful[pool] = u
	}
	return rep
}

func poolOf(t *tables.Tables, k load.Kind) string {
	for _, route := range t.Routes {
		prefix, wild := bytes.CutSuffix([]byte(route.Path), []byte("*"))
		match := k.Path == route.Path || wild && bytes.HasPrefix([]byte(k.Path), prefix) ||
			bytes.HasPrefix([]byte(k.Path), []byte(route.Path+"?"))
		if match && slices.Contains(route.Methods, k.Method) {
			return route.Pool
		}
	}
	return ""
}

func (rep *Report) json() []byte {
	out, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return []byte(err.Error())
	}
	return out
}

// Text returns the report as aligned text.
func (rep *Report) Text() []byte {
	var b bytes.Buffer
	_ = rep.Load.Table(&b)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nkind\tkept during %\tkept after %\tp99 ratio\tfailed %\t")
	for _, k := range rep.Kept {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.2f\t%.1f\t\n", k.Kind, 100*k.During, 100*k.After, k.P99, 100*k.Refused)
	}
	fmt.Fprintln(t, "\npool\toffered\twithin target %\tanswered %\t")
	for _, pool := range slices.Sorted(maps.Keys(rep.Useful)) {
		u := rep.Useful[pool]
		fmt.Fprintf(t, "%s\t%.2f\t%.1f\t%.1f\t\n", pool, u.Offered, 100*u.Within, 100*u.All)
	}
	_ = t.Flush()
	fmt.Fprintf(&b, "\nattempts of callers %d, answered requests %d, sent to servers %d, amplification %.3f\nplacements %v\n",
		rep.Attempts, rep.Answers, rep.Sent, rep.Amplification, rep.Placed)
	return b.Bytes()
}

// Size of the plot in pixels.
const (
	width, height, left, top = 800.0, 400.0, 60.0, 20.0
	label                    = 18.0 // height of a line of the legend
)

var colours = []string{"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d68910", "#555555", "#000000"}

// plot draws the answers of each second by kind, and the failed attempts, as an SVG.
func (rep *Report) plot() []byte {
	seconds := int(rep.Settings.Duration.Seconds())
	lines := maps.Clone(rep.Line)
	lines["failed attempts"] = rep.Refused[:min(seconds, len(rep.Refused))]
	highest := 1
	for _, line := range lines {
		highest = max(highest, slices.Max(line))
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%g" height="%g" font-family="sans-serif" font-size="12">`+"\n",
		left+width+200, top+height+40)
	fmt.Fprintf(&b, `<rect x="%g" y="%g" width="%g" height="%g" fill="none" stroke="#999"/>`+"\n", left, top, width, height)
	fmt.Fprintf(&b, `<text x="4" y="%g">%d /s</text><text x="%g" y="%g">0 to %d s, scenario %s</text>`+"\n",
		top+label, highest, left, top+height+label, seconds, rep.Settings.Scenario)
	for i, name := range slices.Sorted(maps.Keys(lines)) {
		colour := colours[i%len(colours)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke-width="2" stroke="%s" points="`, colour)
		for sec, n := range lines[name] {
			fmt.Fprintf(&b, "%.1f,%.1f ", left+width*(float64(sec)+0.5)/float64(seconds), top+height*(1-float64(n)/float64(highest)))
		}
		fmt.Fprintf(&b, "\"/>\n"+`<text x="%g" y="%g" fill="%s">%s</text>`+"\n", left+width+8, top+label*float64(i+1), colour, name)
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}
