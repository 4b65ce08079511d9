package meter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/oper/meter"
)

func TestText(t *testing.T) {
	defer goleak.VerifyNone(t)
	m := meter.New()
	for i := range 600 {
		// More tenants than get a series of their own.
		m.Series(fmt.Sprint("tenant", i), "bulk").RecordWait(time.Second)
	}
	s := m.Series("tenant0", "bulk")
	s.RecordAnswer(3*time.Millisecond, result.Ran)
	s.RecordAnswer(time.Minute, result.MayHaveRun)
	s.RecordBehind(300 * time.Millisecond)
	m.Counter("strikes_total", nil).Inc(2)
	m.Gauge("queued", map[string]string{"lane": "l"}).Update(4)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := m.Text()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`bramleycove_latency_seconds_bucket{rank="bulk",tenant="tenant0",le="0.005"} 1`,
		`bramleycove_latency_seconds_count{rank="bulk",tenant="tenant0"} 2`,
		`bramleycove_requests_total{rank="bulk",tenant="tenant0",verdict="may-have-run"} 1`,
		`bramleycove_wait_seconds_count{rank="other",tenant="other"} 100`,
		`bramleycove_behind_seconds_bucket{rank="bulk",tenant="tenant0",le="0.5"} 1`,
		"bramleycove_strikes_total 2",
		`bramleycove_queued{lane="l"} 4`,
	} {
		if !strings.Contains(string(text), want+"\n") {
			t.Errorf("%s is missing", want)
		}
	}
	if strings.Contains(string(text), `tenant="tenant599"`) {
		t.Error("the number of series is not bounded")
	}
}
