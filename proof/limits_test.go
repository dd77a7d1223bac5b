package proof

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mostAtOnce returns how many requests ran at all engines together at the busiest
// moment, by the engines' logs.
func mostAtOnce(y *system) int {
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
	// Of two at one moment the end counts first: a step ends one and begins another.
	slices.SortFunc(edges, func(a, b edge) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.delta, b.delta)) })
	running, most := 0, 0
	for _, e := range edges {
		running += e.delta
		most = max(most, running)
	}
	return most
}

func TestLimitHoldsAcrossGateways(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 3, engines: 2, slots: 4})
	k := y.contract()
	const limit = 4
	k.RequestsAtOnce = limit
	y.apply(k)
	l := startLoad(y, 12, 3, 0, 1, 2)
	l.reach(c, 60)
	y.gateways[0].kill()
	l.reach(c, 40)
	y.gateways[0].start()
	y.controllers[y.leader()].kill()
	l.reach(c, 40)
	y.gateways[1].stop()
	y.gateways[1].start()
	l.reach(c, 40)
	l.end()
	c.Assert(l.wrong, qt.HasLen, 0)
	most := mostAtOnce(y)
	c.Assert(most <= limit, qt.IsTrue, qt.Commentf("%d ran at once of %d", most, limit))
	c.Assert(most >= limit-1, qt.IsTrue, qt.Commentf(fmt.Sprintf("only %d ran at once; the test shows little", most)))
}
