package app

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/shedder"
)

const (
	// delayInterval is the interval at which the delay of work is measured.
	delayInterval = 200 * time.Millisecond
	// sheddingLogInterval is the time between two log lines on closed connections.
	sheddingLogInterval = time.Second
	// schedulerDelays is the runtime's histogram of how long work waited for the processor, in seconds.
	schedulerDelays = "/sched/latencies:seconds"
	// delayQuantile is the part of the work that waits at most as long as the measured delay.
	delayQuantile = 0.9
)

// connectionShedder closes new connections while the processor can't keep up with the requests of those
// that were accepted, as if most callers came to this gateway. Set the exported fields before use.
type connectionShedder struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter

	mu      sync.Mutex
	shedder shedder.Shedder
	delay   time.Duration
	// accepted and closed count new connections since loggedAt.
	accepted, closed int64
	loggedAt         time.Time

	// samples and counts belong to the goroutine that runs the measurements.
	samples []metrics.Sample
	counts  []uint64
}

// Run measures the delay of work until ctx ends.
func (c *connectionShedder) Run(ctx context.Context) {
	repeater.Run(ctx, c.Clock, delayInterval, c.measure)
}

func (c *connectionShedder) measure() {
	delay, now := c.takeDelay(), c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shedder.Observe(now, delay)
	c.delay = max(c.delay, delay)
	if now.Sub(c.loggedAt) < sheddingLogInterval {
		return
	}
	if c.closed > 0 {
		c.Log.Warn("closed connections: work waits for the processor", "Closed", c.closed, "Accepted", c.accepted,
			"Shed", c.shedder.Shed(), "Delay", c.delay.Milliseconds())
		c.Meter.Add("connections", "outcome", "Shed", c.closed)
	}
	c.accepted, c.closed, c.delay, c.loggedAt = 0, 0, 0, now
}

// takeDelay returns how long most work waited for the processor since the last call.
func (c *connectionShedder) takeDelay() time.Duration {
	if c.samples == nil {
		c.samples = []metrics.Sample{{Name: schedulerDelays}}
	}
	metrics.Read(c.samples)
	if c.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	delays := c.samples[0].Value.Float64Histogram()
	if c.counts == nil {
		c.counts = make([]uint64, len(delays.Counts))
	}
	delay := quantile(delays, c.counts, delayQuantile)
	copy(c.counts, delays.Counts)
	return delay
}

// quantile returns the lower bound of the bucket with a quantile of what was counted since earlier counts.
func quantile(h *metrics.Float64Histogram, earlier []uint64, q float64) time.Duration {
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - earlier[i]
	}
	below := uint64(0)
	for i, n := range h.Counts {
		below += n - earlier[i]
		if total > 0 && float64(below) >= q*float64(total) {
			return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}

// Admit reports whether to serve a connection.
func (c *connectionShedder) Admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shedder.Accept() {
		c.accepted++
		return true
	}
	c.closed++
	return false
}
