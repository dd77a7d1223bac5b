package limiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/limiter"
)

const name = "volantes"

// gateway models a gateway's session, which uses no more than its share.
type gateway struct {
	id      limiter.SessionID
	share   uint32
	running uint32
	waiting uint32
	alive   bool
}

func (g *gateway) report(l *limiter.Limiter, now time.Time, arrives bool) {
	held := max(g.share, g.running)
	share := l.Report(now, g.id, limiter.Demand{Customer: name, Held: held, Wanted: g.running + g.waiting})
	if arrives {
		g.share = share
		return
	}
	// After a lost answer the next report is a full one, of what the gateway knows.
	l.Reset(g.id, []limiter.Demand{{Customer: name, Held: held}})
}

func (g *gateway) startRequests() {
	for g.waiting > 0 && g.running < g.share {
		g.waiting--
		g.running++
	}
}

func TestGrantedSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := &limiter.Limiter{}
		limit := rapid.Uint32Range(1, 12).Draw(rt, "limit")
		l.SetLimit(name, limit)
		now := time.Unix(0, 0)
		gateways := make([]*gateway, 5)
		for i := range gateways {
			gateways[i] = &gateway{id: limiter.SessionID(i + 1), alive: true}
		}
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			g := gateways[rapid.IntRange(0, 4).Draw(rt, "gateway")]
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0:
				g.waiting += rapid.Uint32Range(0, 6).Draw(rt, "arrivals")
			case 1:
				g.running -= min(g.running, 1)
			case 2:
				g.report(l, now, rapid.Bool().Draw(rt, "arrives"))
			case 3:
				// The session ends, and is forgotten once nothing of it runs any more.
				l.Forget(g.id)
				*g = gateway{id: g.id + 10, alive: true}
			default:
				g.report(l, now, true)
			}
			g.startRequests()
			var running uint32
			for _, other := range gateways {
				running += other.running
			}
			if running > limit || l.TotalGranted(name) > limit {
				rt.Fatalf("%d are running and %d granted of %d", running, l.TotalGranted(name), limit)
			}
		}
	})
}

func TestNoGatewayStarves(t *testing.T) {
	cases := map[string]struct {
		limit    uint32
		gateways int
	}{
		"more units than gateways":  {limit: 20, gateways: 9},
		"as many":                   {limit: 9, gateways: 9},
		"fewer units than gateways": {limit: 2, gateways: 9},
		"one unit":                  {limit: 1, gateways: 9},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			served := busyGateways(tc.limit, tc.gateways)
			for i, n := range served {
				c.Assert(n > 0, qt.IsTrue, qt.Commentf("gateway %d was never served: %v", i, served))
			}
		})
	}
}

// busyGateways lets every gateway want more than the limit, and counts what each runs.
func busyGateways(limit uint32, n int) []int {
	l := &limiter.Limiter{}
	l.SetLimit(name, limit)
	now := time.Unix(0, 0)
	gateways := make([]*gateway, n)
	served := make([]int, n)
	for i := range gateways {
		gateways[i] = &gateway{id: limiter.SessionID(i + 1), waiting: 50}
	}
	for range 400 {
		for i, g := range gateways {
			now = now.Add(10 * time.Millisecond)
			served[i] += int(g.running)
			g.running, g.waiting = 0, 50
			for _, d := range l.Reductions(g.id) {
				g.share = d.Held
			}
			g.report(l, now, true)
			g.startRequests()
		}
	}
	return served
}

func TestReportCannotRaiseShare(t *testing.T) {
	c := qt.New(t)
	l := &limiter.Limiter{}
	l.SetLimit(name, 10)
	now := time.Unix(0, 0)
	l.Report(now, 1, limiter.Demand{Customer: name, Wanted: 10})
	l.Report(now, 2, limiter.Demand{Customer: name, Wanted: 10})
	l.Report(now, 1, limiter.Demand{Customer: name, Held: 3, Wanted: 3})
	// A report of more than was granted, such as a delayed one, adds nothing.
	l.Report(now, 1, limiter.Demand{Customer: name, Held: 10, Wanted: 10})
	l.Report(now, 2, limiter.Demand{Customer: name, Held: 10, Wanted: 10})
	c.Assert(l.TotalGranted(name) <= 10, qt.IsTrue, qt.Commentf("%d were granted", l.TotalGranted(name)))
}

func TestNewLeaderGrantsNothingBeforeAllReported(t *testing.T) {
	c := qt.New(t)
	l := &limiter.Limiter{}
	l.SetLimit(name, 10)
	l.ExpectReport(1)
	l.ExpectReport(2)
	now := time.Unix(0, 0)
	l.Reset(1, []limiter.Demand{{Customer: name, Held: 4}})
	c.Assert(l.Report(now, 1, limiter.Demand{Customer: name, Held: 4, Wanted: 9}), qt.Equals, uint32(4))
	// The second session may hold anything up to the limit until it has reported.
	l.Reset(2, []limiter.Demand{{Customer: name, Held: 5}})
	c.Assert(l.Report(now, 1, limiter.Demand{Customer: name, Held: 4, Wanted: 9}), qt.Equals, uint32(5))
}
