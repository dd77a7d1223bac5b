package proof

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxConcurrent returns the highest number of requests that ran at all engines together, by the
// engines' logs.
func maxConcurrent(y *system) int {
	type edge struct {
		at    time.Time
		delta int
	}
	var edges []edge
	for i := range y.engines {
		open := map[string]bool{}
		for _, e := range y.engineLog(i) {
			switch {
			case e.What == "Ran":
				open[e.RequestID] = true
				edges = append(edges, edge{e.At, 1})
			case (e.What == "Finished" || e.What == "Cancelled") && open[e.RequestID]:
				delete(open, e.RequestID)
				edges = append(edges, edge{e.At, -1})
			}
		}
	}
	// At equal times an end sorts first, since one engine step ends a request and begins
	// another.
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta)) })
	running, peak := 0, 0
	for _, e := range edges {
		running += e.delta
		peak = max(peak, running)
	}
	return peak
}

func TestLimitHoldsAcrossGateways(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 3, engines: 2, slots: 4})
	contract := y.contract()
	const limit = 4
	contract.RequestsAtOnce = limit
	y.apply(contract)
	l := startLoad(y, 12, 3, 0, 1, 2)
	l.waitComplete(c, 60)
	y.gateways[0].kill()
	l.waitComplete(c, 40)
	y.gateways[0].start()
	y.controllers[y.leader()].kill()
	l.waitComplete(c, 40)
	y.gateways[1].stop()
	y.gateways[1].start()
	l.waitComplete(c, 40)
	l.finish()
	c.Assert(l.violations, qt.HasLen, 0)
	peak := maxConcurrent(y)
	c.Assert(peak <= limit, qt.IsTrue, qt.Commentf("%d ran concurrently, limit %d", peak, limit))
	c.Assert(peak >= limit-1, qt.IsTrue, qt.Commentf(fmt.Sprintf("only %d ran concurrently; the limit was not exercised", peak)))
}
