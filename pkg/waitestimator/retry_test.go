package waitestimator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A retry time must follow the wait, and must be one that callers follow and that leaves time for
// an answer.
func TestRetryAfter(t *testing.T) {
	report := func(backend string, wait time.Duration) func(e *Estimator) {
		return func(e *Estimator) { e.Report(start(), backend, Report{Wait: wait, ServiceTime: 60 * ms}) }
	}
	refusal := func(backend string, duration time.Duration) func(e *Estimator) {
		return func(e *Estimator) { e.Refused(start(), backend, Refusal{Left: 300 * ms, For: duration}) }
	}
	for name, test := range map[string]struct {
		learn              []func(e *Estimator)
		left, remaining    time.Duration
		earliest, latest   time.Duration
		earliestAfter100ms time.Duration
	}{
		"nothing is known":     {nil, 0, 1500 * ms, 250 * ms, 313 * ms, 250 * ms},
		"a wait":               {[]func(e *Estimator){report("a", 200*ms)}, 0, 1500 * ms, 200 * ms, 250 * ms, 100 * ms},
		"the shorter wait":     {[]func(e *Estimator){report("a", 200*ms), report("b", 100*ms)}, 0, 1500 * ms, 100 * ms, 125 * ms, 20 * ms},
		"no wait":              {[]func(e *Estimator){report("a", 0)}, 0, 1500 * ms, 20 * ms, 25 * ms, 20 * ms},
		"a short overload":     {[]func(e *Estimator){report("a", 60*ms), refusal("a", 90*ms)}, 0, 1500 * ms, 90 * ms, 113 * ms, 20 * ms},
		"an overload persists": {[]func(e *Estimator){report("a", 60*ms), refusal("a", 150*ms)}, 0, 1500 * ms, 300 * ms, 375 * ms, 300 * ms},
		"it could be on time":  {[]func(e *Estimator){report("a", 60*ms), refusal("a", 50*ms)}, 200 * ms, 1500 * ms, 200 * ms, 250 * ms, 200 * ms},
		"a caller leaves soon": {[]func(e *Estimator){report("a", 60*ms), refusal("a", 150*ms)}, 0, 600 * ms, 150 * ms, 200 * ms, 150 * ms},
		"hardly any time left": {[]func(e *Estimator){report("a", 60*ms)}, 0, 150 * ms, 23 * ms, 30 * ms, 20 * ms},
		"no time left":         {[]func(e *Estimator){report("a", 60*ms)}, 0, 100 * ms, 20 * ms, 20 * ms, 20 * ms},
		"the caller has left":  {nil, 0, -ms, 20 * ms, 20 * ms, 20 * ms},
		"an unusual long wait": {[]func(e *Estimator){report("a", time.Hour)}, 0, 1500 * ms, 375 * ms, 500 * ms, 375 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := &Estimator{}
			for _, learn := range test.learn {
				learn(e)
			}
			after := func(passed time.Duration, random float64) time.Duration {
				return e.RetryAfter(start().Add(passed), []string{"a", "b", "c"}, Request{Left: test.left}, test.remaining, random).Round(ms)
			}
			c.Check(after(0, 0), qt.Equals, test.earliest)
			c.Check(after(0, 1), qt.Equals, test.latest)
			c.Check(after(100*ms, 0), qt.Equals, test.earliestAfter100ms)
		})
	}
}
