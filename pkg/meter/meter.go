// Package meter records counters and timings with tally. There is a set of histograms for each
// customer and class; their number is bounded.
package meter

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	// Customers and classes beyond this number share one series.
	maxSeries      = 500
	otherSeries    = "Other"
	reportInterval = time.Second
	smallestBucket = 100 * time.Microsecond
	bucketFactor   = 2
	bucketCount    = 22
)

// Meter holds a program's metrics. Make one with New.
type Meter struct {
	scope    tally.Scope
	reporter tallyprom.Reporter

	mu       sync.Mutex
	series   map[seriesKey]*Series
	counters map[string]tally.Counter
}

type seriesKey struct{ customer, class string }

// Series holds the histograms of one customer and class.
type Series struct {
	QueueWait     tally.Histogram
	LoadStall     tally.Histogram
	FirstToken    tally.Histogram
	BetweenTokens tally.Histogram
	Duration      tally.Histogram
}

// New returns a meter whose metrics are tagged with the program, instance and zone.
func New(program, instance, zone string) *Meter {
	// A separate registry keeps two meters in one process from colliding. A metric that can't
	// be registered is dropped instead of aborting the measured operation.
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {},
	})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "bronzelead_" + program,
		Tags:                   map[string]string{"instance": instance, "zone": zone},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{scope: scope, reporter: reporter, series: map[seriesKey]*Series{}, counters: map[string]tally.Counter{}}
}

// Handler serves the metrics in text format.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// SeriesFor returns the series of a customer and class.
func (m *Meter) SeriesFor(customer, class string) *Series {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := seriesKey{customer: customer, class: class}
	if s := m.series[key]; s != nil {
		return s
	}
	if len(m.series) >= maxSeries {
		key = seriesKey{customer: otherSeries, class: otherSeries}
		if s := m.series[key]; s != nil {
			return s
		}
	}
	s := m.newSeries(key)
	m.series[key] = s
	return s
}

func (m *Meter) newSeries(key seriesKey) *Series {
	scope := m.scope.Tagged(map[string]string{"customer": key.customer, "class": key.class})
	buckets := tally.MustMakeExponentialDurationBuckets(smallestBucket, bucketFactor, bucketCount)
	return &Series{
		QueueWait:     scope.Histogram("queue_wait", buckets),
		LoadStall:     scope.Histogram("load_stall", buckets),
		FirstToken:    scope.Histogram("first_token", buckets),
		BetweenTokens: scope.Histogram("between_tokens", buckets),
		Duration:      scope.Histogram("duration", buckets),
	}
}

// RecordRequest counts an answered or refused request and records its duration.
func (m *Meter) RecordRequest(customer, class, kind string, took time.Duration) {
	m.SeriesFor(customer, class).Duration.RecordDuration(took)
	m.Increment("requests", "kind", kind)
}

// Increment adds one to a counter with one tag.
func (m *Meter) Increment(name, tag, value string) { m.Add(name, tag, value, 1) }

// Add adds to a counter with one tag.
func (m *Meter) Add(name, tag, value string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := name + "/" + value
	c := m.counters[key]
	if c == nil {
		if len(m.counters) >= maxSeries {
			return
		}
		c = m.scope.Tagged(map[string]string{tag: value}).Counter(name)
		m.counters[key] = c
	}
	c.Inc(n)
}

// SetGauge sets the current value of a gauge.
func (m *Meter) SetGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }

// RecordBatchFill records the fill of an engine's steps as a fraction of its batch size.
func (m *Meter) RecordBatchFill(part float64) {
	m.scope.Histogram("batch_fill", tally.MustMakeLinearValueBuckets(0, 0.1, 11)).RecordValue(part)
}

// RecordDuration records the duration of an internal operation.
func (m *Meter) RecordDuration(what string, d time.Duration) {
	buckets := tally.MustMakeExponentialDurationBuckets(smallestBucket, bucketFactor, bucketCount)
	m.scope.Histogram(what, buckets).RecordDuration(d)
}
