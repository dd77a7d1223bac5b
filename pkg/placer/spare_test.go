package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
)

// A spare replica was loaded whenever a gateway saw an engine that was busy by chance: it took
// the slot of an adapter that was loaded again within a second. It is granted only if the
// adapter's own demand is worth a slot.
func TestSpareReplicasNeedDemand(t *testing.T) {
	for label, test := range map[string]struct {
		rate, evicted float64
		queued        bool
		overloadedFor time.Duration
		off           bool
		granted       bool
	}{
		"a rare adapter":                              {rate: 0.3},
		"a rare adapter, without this":                {rate: 0.3, off: true, granted: true},
		"a moderate one, free slots":                  {rate: 1, granted: true},
		"a moderate one, no free slots":               {rate: 1, evicted: 0.1},
		"a frequent one":                              {rate: 3, evicted: 0.1, granted: true},
		"a frequent one, in place of a frequent one":  {rate: 3, evicted: 1.5},
		"a frequent one, while others wait":           {rate: 3, evicted: 0.1, queued: true},
		"a hot one, while others wait":                {rate: 6, evicted: 0.1, queued: true, granted: true},
		"its engine is overloaded for a moment":       {rate: 0.3, overloadedFor: 100 * time.Millisecond},
		"its engine stays overloaded":                 {rate: 0.3, overloadedFor: 1500 * time.Millisecond, granted: true},
		"its engine stays overloaded, no slot for it": {rate: 0.3, evicted: 1.5, overloadedFor: 1500 * time.Millisecond},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			var off []ablator.Mechanism
			if test.off {
				off = append(off, ablator.SpareReplicas)
			}
			p := placerWithout(off...)
			now := startTime().Add(2 * time.Second)
			p.engines["a"].slots["m/x"] = &adapterSlot{state: ready}
			// The rate over the last seconds, without a burst.
			p.demand["m/x"] = &demand{rate: test.rate, lastRequest: now}
			for i, id := range []string{"b", "c"} {
				for j := range 4 {
					if test.evicted > 0 {
						p.engines[id].slots[name(10*i+j)] = &adapterSlot{state: ready}
						p.demand[name(10*i+j)] = &demand{rate: test.evicted, lastRequest: now}
					}
				}
			}
			if test.queued {
				p.engines["b"].queue = []queuedLoad{{adapter: "m/waiting", deadline: now.Add(time.Second)}}
			}
			if test.overloadedFor > 0 {
				for at := now.Add(-test.overloadedFor); at.Before(now); at = at.Add(100 * time.Millisecond) {
					p.SetUsage(map[string]*Usage{"a": {Requests: 7}})
					p.observeOverload(at)
				}
			}
			p.RequestSpare(now, "m/x", []string{"a"})
			p.Plan(now)
			s := p.Summary()
			placed := len(enginesQueueing(p, "m/x")) > 0
			for _, id := range []string{"b", "c"} {
				placed = placed || p.engines[id].slots["m/x"] != nil
			}
			c.Check(placed, qt.Equals, test.granted)
			if !test.off {
				c.Check([]int{s.SparesGranted, s.SparesDenied}, qt.DeepEquals, map[bool][]int{true: {1, 0}, false: {0, 1}}[test.granted])
			}
		})
	}
}

// Many adapters with little demand each keep an engine overloaded. Their gateways request spare
// replicas, of which one a second is granted, so that the engine is relieved without losing all
// adapters at once.
func TestOverloadedEngineIsRelievedGradually(t *testing.T) {
	c := qt.New(t)
	p := placerWithout()
	for i := range 4 {
		p.engines["a"].slots[name(i)] = &adapterSlot{state: ready}
	}
	for step := range 35 {
		now := startTime().Add(time.Duration(step) * 100 * time.Millisecond)
		p.SetUsage(map[string]*Usage{"a": {Requests: 7}})
		for i := range 4 {
			p.demand[name(i)] = &demand{rate: 0.3, lastRequest: now}
			p.RequestSpare(now, name(i), []string{"a"})
		}
		p.Plan(now)
	}
	granted := p.Summary().SparesGranted
	c.Check(granted >= 2 && granted <= 3, qt.IsTrue, qt.Commentf("%d", granted))
}

// A spare replica that is denied must not count as a load that was not possible in time: the
// gateway would refuse the requests that wait for the adapter's engine.
func TestDeniedSparesAreNotDeclined(t *testing.T) {
	c := qt.New(t)
	p := placerWithout()
	p.engines["a"].slots["m/x"] = &adapterSlot{state: ready}
	p.RequestSpare(startTime(), "m/x", []string{"a"})
	p.Plan(startTime())
	p.Plan(startTime().Add(5 * time.Second))
	c.Check(p.TakeDeclined(), qt.HasLen, 0)
	c.Check(p.Summary().Dropped, qt.Equals, 0)
}
