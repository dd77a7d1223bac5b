package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

// placerWithout returns a placer of three empty engines, with mechanisms disabled.
func placerWithout(off ...ablator.Mechanism) *Placer {
	policy := DefaultPolicy()
	policy.Disabled = ablator.Disable(off...)
	p := New(policy)
	p.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{Name: "s", Engine: &wire.EngineLimits{AdapterSlots: 4}}}})
	for _, id := range []string{"a", "b", "c"} {
		p.SetEngine(&wire.Announcement{Id: id, Service: "s", Slots: 8, Address: id})
		p.engines[id].reported, p.engines[id].modelLoaded = true, true
	}
	return p
}

// An adapter prefers one engine with affinity; without it all idle engines cost the same.
func TestAffinityCanBeDisabled(t *testing.T) {
	c := qt.New(t)
	on, off := placerWithout(), placerWithout(ablator.Homes)
	for _, id := range []string{"a", "b", "c"} {
		c.Check(off.cost(startTime(), off.engines[id], id, "m/x"), qt.Equals, off.cost(startTime(), off.engines["a"], "a", "m/x"))
	}
	c.Check(on.cost(startTime(), on.engines["a"], "a", "m/x"), qt.Not(qt.Equals), on.cost(startTime(), on.engines["b"], "b", "m/x"))
}

// An engine that keeps a copy of the weights is cheaper by the cost of a cold load.
func TestWarmFirstCanBeDisabled(t *testing.T) {
	for name, test := range map[string]struct {
		off  []ablator.Mechanism
		want float64
	}{
		"on":  {[]ablator.Mechanism{ablator.Homes}, coldWeight},
		"off": {[]ablator.Mechanism{ablator.Homes, ablator.WarmFirst}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := placerWithout(test.off...)
			p.engines["a"].recordSeen("m/x")
			qt.New(t).Check(p.cost(startTime(), p.engines["b"], "b", "m/x")-p.cost(startTime(), p.engines["a"], "a", "m/x"), qt.Equals, test.want)
		})
	}
}

// A burst counts by its burst rate, or by the rate over some seconds alone.
func TestBurstReplicasCanBeDisabled(t *testing.T) {
	c := qt.New(t)
	on, off := placerWithout(), placerWithout(ablator.RisingCopies)
	for _, p := range []*Placer{on, off} {
		p.RecordRequests(startTime(), "m/x", 20)
	}
	c.Check(on.demand["m/x"].peakRate(startTime(), &on.policy) > 4*off.demand["m/x"].peakRate(startTime(), &off.policy), qt.IsTrue)
}

// Slow loads at several engines change the estimates of the store and of the engines' memories,
// unless that is disabled.
func TestLearningCanBeDisabled(t *testing.T) {
	for name, test := range map[string]struct {
		off                     []ablator.Mechanism
		storeLearns, hostLearns bool
	}{
		"on":         {nil, true, true},
		"store off":  {[]ablator.Mechanism{ablator.LearntStore}, false, true},
		"memory off": {[]ablator.Mechanism{ablator.LearntHost}, true, false},
		"both off":   {[]ablator.Mechanism{ablator.LearntHost, ablator.LearntStore}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout(test.off...)
			concurrency, host := p.storeConcurrency, p.hostAdapters
			for range storeWindow {
				for _, e := range p.engines {
					p.learnLoadTime(startTime().Add(time.Second), e, &adapterSlot{orderedAt: startTime(), reuseDistance: 40, coldLoads: 100, checkedEarly: true})
				}
			}
			c.Check(p.storeConcurrency != concurrency, qt.Equals, test.storeLearns)
			c.Check(p.hostAdapters != host, qt.Equals, test.hostLearns)
		})
	}
}
