package paceestimator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func begin() time.Time { return time.Unix(1000, 0) }

// An interval that was averaged over all gaps grew with the load of an engine, since prompts are
// read between events; a single gap of two events that arrived together made it too short.
func TestIntervalIgnoresPromptsAndCoalescedEvents(t *testing.T) {
	const step = 40 * ms
	for name, test := range map[string]struct {
		gaps    []time.Duration
		want    time.Duration
		samples int
	}{
		"none":                     {nil, 0, 0},
		"one":                      {[]time.Duration{step}, step, 1},
		"one read with the next":   {[]time.Duration{step, ms, step}, step, 2},
		"pauses are none":          {[]time.Duration{step, time.Minute}, step, 2 - 1},
		"prompts in most gaps":     {repeat(5, step, 3*step, 2*step, 4*step), step, 20},
		"a few are short":          {append(repeat(17, step), 3*ms, 4*ms, 5*ms), step, 20},
		"only the latest are kept": {append(repeat(20, step), repeat(20, 2*step)...), 2 * step, 20},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var w Window
			for _, length := range test.gaps {
				w.Observe(begin(), length)
			}
			interval, samples := w.Interval(begin())
			c.Check(interval, qt.Equals, test.want)
			c.Check(samples, qt.Equals, test.samples)
		})
	}
}

// What was observed long ago says nothing about the engine now.
func TestGapsAgeOut(t *testing.T) {
	c := qt.New(t)
	var w Window
	w.Observe(begin(), 40*ms)
	w.Observe(begin().Add(gapLease/2), 80*ms)
	interval, samples := w.Interval(begin().Add(gapLease))
	c.Check(interval, qt.Equals, 80*ms)
	c.Check(samples, qt.Equals, 1)
	_, samples = w.Interval(begin().Add(2 * gapLease))
	c.Check(samples, qt.Equals, 0)
}

func repeat(n int, list ...time.Duration) []time.Duration {
	var out []time.Duration
	for range n {
		out = append(out, list...)
	}
	return out
}
