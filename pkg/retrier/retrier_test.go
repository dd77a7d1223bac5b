package retrier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestWaitsDoubleUpToABound(t *testing.T) {
	b := Backoff{Initial: 10 * time.Millisecond, Max: 70 * time.Millisecond}
	for name, test := range map[string]struct {
		failures int
		spread   float64
		want     time.Duration
	}{
		"no failure":         {0, 0, 0},
		"one":                {1, 0, 10 * time.Millisecond},
		"three":              {3, 0, 40 * time.Millisecond},
		"many":               {4, 0, 70 * time.Millisecond},
		"very many":          {1 << 30, 0, 70 * time.Millisecond},
		"one, spread by all": {1, 1, 5 * time.Millisecond},
		"many, by a half":    {9, 0.5, 52500 * time.Microsecond},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(b.Delay(test.failures, test.spread), qt.Equals, test.want)
		})
	}
}
