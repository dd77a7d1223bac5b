package ageestimator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func TestAge(t *testing.T) {
	// Callers have timeouts of 1.3 to 1.5 s.
	spread := make([]time.Duration, 0, 21)
	for i := range 21 {
		spread = append(spread, 1300*ms+time.Duration(i)*10*ms)
	}
	for name, test := range map[string]struct {
		first []time.Duration
		left  time.Duration
		want  time.Duration
	}{
		"nothing is known":                            {nil, 100 * ms, 0},
		"too little is known":                         {spread[:minSamples-1], 100 * ms, 0},
		"a first attempt":                             {spread, 1400 * ms, 0},
		"the shortest first attempt":                  {spread, 1300 * ms, 0},
		"a little less than all observed":             {spread, 1280 * ms, 0},
		"a retry":                                     {spread, 1100 * ms, 300 * ms},
		"callers of which some wait for a short time": {append([]time.Duration{300 * ms}, spread...), 1100 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Estimator{}
			for _, left := range test.first {
				e.Observe(left)
			}
			qt.New(t).Check(e.Age(test.left), qt.Equals, test.want)
		})
	}
}

// After a change of their timeout, callers are known by it after as many first attempts as are
// remembered.
func TestOldFirstAttemptsAreDiscarded(t *testing.T) {
	c := qt.New(t)
	e := &Estimator{}
	for range 100 {
		e.Observe(400 * ms)
	}
	for range capacity {
		e.Observe(1500 * ms)
	}
	c.Check(e.Age(1000*ms), qt.Equals, 500*ms)
}
