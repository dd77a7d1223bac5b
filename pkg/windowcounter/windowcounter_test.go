package windowcounter

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestWindowCountsAmountsWithinLength(t *testing.T) {
	start := time.Unix(100, 0)
	for name, test := range map[string]struct {
		after time.Duration
		want  float64
	}{
		"at once":                {0, 7},
		"just before it is over": {3900 * time.Millisecond, 7},
		"after the first part":   {4 * time.Second, 4},
		"long after":             {time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := Window{Length: 4 * time.Second}
			w.Add(start.Add(-100*time.Millisecond), 3)
			w.Add(start, 4)
			c.Check(w.Sum(start.Add(test.after)), qt.Equals, test.want)
		})
	}
}

func TestAddPartsReproducesWindow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	w, other := Window{Length: 4 * time.Second}, Window{Length: 4 * time.Second}
	c.Check(w.Parts(now), qt.IsNil)
	for i := range 30 {
		w.Add(now.Add(time.Duration(i)*100*time.Millisecond), 2)
	}
	now = now.Add(3 * time.Second)
	other.AddParts(now, w.Parts(now))
	c.Check(other.Sum(now), qt.Equals, 60.0)
	c.Check(other.Sum(now.Add(2500*time.Millisecond)) >= w.Sum(now.Add(2500*time.Millisecond)), qt.IsTrue)
}
