package verify_test

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bramleycove/bramleycove/internal/stand/verify"
)

// validRun is a run without violations: slot 3 moves from s1 (token 5) to s2 (token 6), and s1 restarts while holding
// slot 9. Identity "A" is sent twice and answered twice from one execution.
const validRun = `
{"event":"start","server":"s1","incarnation":1,"checks":true,"from":1}
{"event":"grant","server":"s1","incarnation":1,"from":10,"until":100,"slots":[{"pool":"p","first":0,"last":9,"token":5}]}
{"event":"exec","server":"s1","incarnation":1,"pool":"p","slot":3,"token":5,"mark":"a1","identity":"A","begin":20,"end":30,"committed":true,"body":"YTE="}
{"event":"grant","server":"s1","incarnation":1,"from":40,"until":140,"slots":[{"pool":"p","first":4,"last":9,"token":5}]}
{"event":"exec","server":"s1","incarnation":1,"pool":"p","slot":3,"token":5,"mark":"b","begin":35,"end":45,"reason":"token"}
{"event":"start","server":"s1","incarnation":2,"checks":true,"from":60}
{"event":"start","server":"s2","incarnation":3,"checks":true,"from":1}
{"event":"grant","server":"s2","incarnation":3,"from":50,"until":150,"slots":[{"pool":"p","first":3,"last":3,"token":6}]}
{"event":"grant","server":"s2","incarnation":3,"from":70,"until":170,"slots":[{"pool":"p","first":3,"last":3,"token":6},{"pool":"p","first":9,"last":9,"token":7}]}
{"event":"exec","server":"s2","incarnation":3,"pool":"p","slot":3,"token":6,"mark":"c","begin":60,"end":80,"committed":true,"body":"Yw=="}
{"event":"start","server":"n1","incarnation":4,"from":1}
{"event":"exec","server":"n1","incarnation":4,"pool":"q","slot":2,"mark":"d","begin":60,"end":80,"committed":true,"body":"ZA=="}
{"event":"call","mark":"a1","identity":"A","verdict":"may-have-run","begin":15,"end":31,"slot":-1}
{"event":"call","mark":"a2","identity":"A","verdict":"ran","status":200,"begin":32,"end":40,"body":"YTE=","slot":-1}
{"event":"call","mark":"b","verdict":"not-run","status":503,"begin":34,"end":46,"slot":-1}
{"event":"call","mark":"c","verdict":"ran","status":200,"begin":55,"end":81,"body":"Yw==","slot":-1}
`

func load(t *testing.T, lines string) *verify.History {
	t.Helper()
	return loadUntil(t, math.MaxInt64, lines)
}

func loadUntil(t *testing.T, until int64, lines string) *verify.History {
	t.Helper()
	path := filepath.Join(t.TempDir(), "j.jsonl")
	if err := os.WriteFile(path, []byte(strings.TrimLeft(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := verify.Load(until, path)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against violations reported for a valid run, and against a pass because nothing was read.
func TestValidRun(t *testing.T) {
	r := load(t, validRun+`{"event":"exec","server":"s2","incarn`)
	if v := r.Violations(); len(v) > 0 {
		t.Errorf("violations in a valid run: %v", v)
	}
	want := verify.Counts{Grants: 4, Executions: 4, Committed: 3, Calls: 4, Ran: 2, NotRun: 1, Slots: 2}
	if got := r.Counts(); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Guards against a rule that misses its violation. Each case changes one thing in the valid run.
func TestViolations(t *testing.T) {
	for _, tc := range []struct{ name, old, new, rule, evidence string }{
		{"slot given before the earlier grant ended", `"from":50,"until":150`, `"from":39,"until":150`, "overlap", `"from":39`},
		{"slot given before the lapse", `"from":40,"until":140,"slots":[{"pool":"p","first":4`, `"from":40,"until":140,"slots":[{"pool":"p","first":3`, "overlap", `"until":140`},
		{"slot given while the earlier process lives", `"incarnation":2,"checks":true,"from":60`, `"incarnation":2,"checks":true,"from":75`, "overlap", `"token":7`},
		{"began before the grant", `"begin":60,"end":80,"committed":true,"body":"Yw`, `"begin":49,"end":80,"committed":true,"body":"Yw`, "unfenced", `"mark":"c"`},
		{"committed after revocation", `"end":45,"reason":"token"`, `"end":45,"committed":true`, "unfenced", `"mark":"b"`},
		{"committed after lapse", `"end":80,"committed":true,"body":"Yw`, `"end":171,"committed":true,"body":"Yw`, "unfenced", `"end":171`},
		{"lower token", `"slot":3,"token":6,"mark":"c"`, `"slot":3,"token":5,"mark":"c"`, "unfenced", `"mark":"c"`},
		{"unknown process", `"incarnation":4,"from":1`, `"incarnation":5,"from":1`, "unfenced", `"mark":"d"`},
		{"two servers at once", `"pool":"q","slot":2,"mark":"d","begin":60`, `"pool":"p","slot":3,"mark":"d","begin":60`, "concurrent", `"mark":"d"`},
		{"identity committed twice", `"mark":"c","begin"`, `"mark":"c","identity":"A","begin"`, "repeat", `"mark":"a1"`},
		{"caller's identity committed twice", `"mark":"d","begin"`, `"mark":"a2","begin"`, "repeat", `"mark":"a2"`},
		{"call committed twice", `"mark":"d","begin"`, `"mark":"c","begin"`, "repeat", `"server":"n1"`},
		{"not-run and committed", `"mark":"c","verdict":"ran"`, `"mark":"c","verdict":"not-run"`, "not-run", `"begin":60,"end":80`},
		{"refusal hides an earlier execution", `"mark":"a2","identity":"A","verdict":"ran","status":200`, `"mark":"a2","identity":"A","verdict":"not-run"`, "denied", `"mark":"a1"`},
		{"answer cut short", `"end":81,"body":"Yw=="`, `"end":81`, "answer", `"end":81`},
		{"answer of another request", `"end":40,"body":"YTE="`, `"end":40,"body":"ZA=="`, "answer", `"mark":"a2"`},
		{"answer without execution", `"mark":"b","verdict":"not-run","status":503`, `"mark":"b","status":200`, "answer", `"mark":"b"`},
	} {
		if strings.Count(validRun, tc.old) != 1 {
			t.Fatalf("%s: %q is not unique", tc.name, tc.old)
		}
		vs := load(t, strings.Replace(validRun, tc.old, tc.new, 1)).Violations()
		found := false
		for _, v := range vs {
			found = found || v.Rule == tc.rule && strings.Contains(v.String(), tc.evidence) && strings.Contains(v.String(), "j.jsonl:")
		}
		if !found {
			t.Errorf("%s: got %v", tc.name, vs)
		}
	}
}

// Guards against a false overlap when the old owner's journal was read before its last grant was written, and the new
// owner's journal after that.
func TestReadWhileRunning(t *testing.T) {
	const lines = `
{"event":"start","server":"s1","incarnation":1,"checks":true,"from":1}
{"event":"grant","server":"s1","incarnation":1,"from":10,"until":100,"slots":[{"pool":"p","first":0,"last":9,"token":5}]}
{"event":"start","server":"s2","incarnation":3,"checks":true,"from":1}
{"event":"grant","server":"s2","incarnation":3,"from":50,"until":150,"slots":[{"pool":"p","first":3,"last":3,"token":6}]}
`
	if v := loadUntil(t, 49, lines).Violations(); len(v) > 0 {
		t.Errorf("events until 49: %v", v)
	}
	if v := loadUntil(t, 50, lines).Violations(); len(v) != 1 || v[0].Rule != "overlap" {
		t.Errorf("events until 50: %v", v)
	}
}
