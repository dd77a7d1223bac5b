package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Requests that name adapters which nobody has used up the memory of the controllers.
func TestDemandOfManyNamesIsBounded(t *testing.T) {
	c := qt.New(t)
	s := NewLearnedState(DefaultPolicy())
	now := time.Unix(1000, 0)
	const popular = 100
	for i := range 2 * maxDemand {
		s.RecordRequests(now, fmt.Sprintf("m/unknown-%d", i), 1)
		if i%1000 == 0 {
			now = now.Add(10 * time.Millisecond)
			for p := range popular {
				s.RecordRequests(now, fmt.Sprintf("m/a%d", p), 10)
			}
		}
	}
	c.Check(len(s.demand) <= maxDemand, qt.IsTrue, qt.Commentf("%d", len(s.demand)))
	// Adapters in demand are kept.
	for p := range popular {
		c.Check(s.demand[fmt.Sprintf("m/a%d", p)], qt.IsNotNil)
	}
}
