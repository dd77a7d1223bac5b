package ageestimator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func TestAge(t *testing.T) {
	// Callers wait for 1.3 to 1.5 s.
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
		"too little is known":                         {spread[:leastKnown-1], 100 * ms, 0},
		"a first try":                                 {spread, 1400 * ms, 0},
		"the shortest first try":                      {spread, 1300 * ms, 0},
		"a little less than all observed":             {spread, 1280 * ms, 0},
		"a retry":                                     {spread, 1100 * ms, 300 * ms},
		"callers of which some wait for a short time": {append([]time.Duration{300 * ms}, spread...), 1100 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := &Estimator{}
			for _, left := range test.first {
				b.Observe(left)
			}
			qt.New(t).Check(b.Age(test.left), qt.Equals, test.want)
		})
	}
}

// Callers that have changed how long they wait are known after as many of their first tries as are
// remembered.
func TestOldFirstTriesAreForgotten(t *testing.T) {
	c := qt.New(t)
	b := &Estimator{}
	for range 100 {
		b.Observe(400 * ms)
	}
	for range capacity {
		b.Observe(1500 * ms)
	}
	c.Check(b.Age(1000*ms), qt.Equals, 500*ms)
}
