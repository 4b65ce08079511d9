// Package meter collects the metrics of an instance, per tenant and rank, and writes them as Prometheus text.
package meter

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/plat/intake"
)

const (
	// reportInterval is how old the values of Text can be.
	reportInterval = time.Second
	// maxSeries bounds memory when published tables keep adding tenants. A series takes about 10 KB.
	maxSeries     = 500
	overflowLabel = "other"
)

// buckets are the upper bounds of the histogram buckets. They include the latency targets of the example tables.
var buckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 8 * time.Millisecond, 12 * time.Millisecond,
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// sanitizeOptions keeps names of tenants and ranks unchanged, so that two of them can't become one.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	KeyCharacters:        tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreDashDotCharacters},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Meter holds all metrics of an instance. It may be used by many goroutines.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry

	mu     sync.RWMutex
	series map[seriesKey]*Series
}

type seriesKey struct{ tenant, rank string }

// Series holds the request metrics of one tenant and rank.
type Series struct {
	latency, wait, behind tally.Histogram
	requests              [verdictCount]tally.Counter
}

const verdictCount = int(result.Ran) + 1

// New returns a meter. Close ends its goroutine.
func New() *Meter {
	registry := prometheus.NewRegistry()
	// A metric that can't be registered is left out; the default handler would panic.
	rep := reporter.NewReporter(reporter.Options{Registerer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bramleycove", CachedReporter: rep, Separator: reporter.DefaultSeparator, OmitCardinalityMetrics: true,
		SanitizeOptions: &sanitizeOptions,
	}, reportInterval)
	return &Meter{scope: scope, closer: closer, registry: registry, series: make(map[seriesKey]*Series)}
}

// Series returns the series of a tenant and rank, or a shared one beyond maxSeries. Callers may keep it.
func (m *Meter) Series(tenant, rank string) *Series {
	key := seriesKey{tenant, rank}
	m.mu.RLock()
	s := m.series[key]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.series) >= maxSeries {
		key = seriesKey{overflowLabel, overflowLabel}
	}
	if m.series[key] == nil {
		m.series[key] = m.newSeries(key)
	}
	return m.series[key]
}

func (m *Meter) newSeries(key seriesKey) *Series {
	scope := m.scope.Tagged(map[string]string{"tenant": key.tenant, "rank": key.rank})
	s := &Series{
		latency: scope.Histogram("latency_seconds", buckets), wait: scope.Histogram("wait_seconds", buckets),
		behind: scope.Histogram("behind_seconds", buckets),
	}
	for v := range s.requests {
		tagged := scope.Tagged(map[string]string{"verdict": result.Verdict(v).String()})
		s.requests[v] = tagged.Counter("requests_total")
	}
	return s
}

// RecordAnswer records the total duration of a request and its verdict.
func (s *Series) RecordAnswer(took time.Duration, v result.Verdict) {
	s.latency.RecordDuration(took)
	if int(v) < len(s.requests) {
		s.requests[v].Inc(1)
	}
}

// RecordWait records how long a request waited in the queue of a dispatcher, or for room at full servers.
func (s *Series) RecordWait(d time.Duration) { s.wait.RecordDuration(d) }

// RecordBehind records how long a request and its answer waited for earlier ones of the same connection.
func (s *Series) RecordBehind(d time.Duration) { s.behind.RecordDuration(d) }

// Counter returns the counter with a name, given without prefix, and tags.
func (m *Meter) Counter(name string, tags map[string]string) tally.Counter {
	return m.scope.Tagged(tags).Counter(name)
}

// Gauge returns the gauge with a name, given without prefix, and tags.
func (m *Meter) Gauge(name string, tags map[string]string) tally.Gauge {
	return m.scope.Tagged(tags).Gauge(name)
}

// RecordBudget brings the metrics of a budget up to date.
func (m *Meter) RecordBudget(b *intake.Budget) {
	refused, cut := b.Refusals()
	for name, n := range map[string]float64{"budget_used_bytes": float64(b.Used()), "budget_refused": float64(refused), "budget_cut": float64(cut)} {
		m.Gauge(name, nil).Update(n)
	}
}

// Text returns the metrics in the Prometheus text format, up to a second old. After an error some are missing.
func (m *Meter) Text() ([]byte, error) {
	families, err := m.registry.Gather()
	var out bytes.Buffer
	for _, f := range families {
		if _, writeErr := expfmt.MetricFamilyToText(&out, f); writeErr != nil {
			err = errors.Join(err, writeErr)
		}
	}
	return out.Bytes(), err
}

// Close publishes the latest values for Text and ends the meter's goroutine.
func (m *Meter) Close() error { return m.closer.Close() }
