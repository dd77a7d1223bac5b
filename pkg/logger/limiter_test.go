package logger

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLimiterCountsOmittedLines(t *testing.T) {
	c := qt.New(t)
	l := Limiter{Interval: time.Second}
	now := time.Unix(100, 0)
	logged, omitted := 0, 0
	for i := range 35 {
		n, ok := l.Take(now.Add(time.Duration(i) * 100 * time.Millisecond))
		if ok {
			logged++
		}
		omitted += n
	}
	c.Check(logged, qt.Equals, 4)
	c.Check(omitted, qt.Equals, 27)
}
