package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

// placerWithout returns a placer of three empty engines that does without mechanisms.
func placerWithout(off ...ablator.Mechanism) *Placer {
	policy := DefaultPolicy()
	policy.Off = ablator.Disable(off...)
	p := New(policy)
	p.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{Name: "s", Engine: &wire.EngineLimits{AdapterSlots: 4}}}})
	for _, id := range []string{"a", "b", "c"} {
		p.SetEngine(&wire.Announcement{Id: id, Service: "s", Slots: 8, Address: id})
		p.engines[id].reported, p.engines[id].model = true, true
	}
	return p
}

// An adapter prefers one engine as long as homes count; else any of the idle ones is as
// good.
func TestHomesCanBeSwitchedOff(t *testing.T) {
	c := qt.New(t)
	on, off := placerWithout(), placerWithout(ablator.Homes)
	for _, id := range []string{"a", "b", "c"} {
		c.Check(off.cost(begin(), off.engines[id], id, "m/x"), qt.Equals, off.cost(begin(), off.engines["a"], "a", "m/x"))
	}
	c.Check(on.cost(begin(), on.engines["a"], "a", "m/x"), qt.Not(qt.Equals), on.cost(begin(), on.engines["b"], "b", "m/x"))
}

// An engine that keeps a copy of the weights is cheaper by a load from the weight store.
func TestWarmFirstCanBeSwitchedOff(t *testing.T) {
	for name, test := range map[string]struct {
		off  []ablator.Mechanism
		want float64
	}{
		"on":  {[]ablator.Mechanism{ablator.Homes}, coldWeight},
		"off": {[]ablator.Mechanism{ablator.Homes, ablator.WarmFirst}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := placerWithout(test.off...)
			p.engines["a"].remember("m/x")
			qt.New(t).Check(p.cost(begin(), p.engines["b"], "b", "m/x")-p.cost(begin(), p.engines["a"], "a", "m/x"), qt.Equals, test.want)
		})
	}
}

// A burst of a few moments counts by its quick rate, or by the rate of some seconds alone.
func TestRisingCopiesCanBeSwitchedOff(t *testing.T) {
	c := qt.New(t)
	on, off := placerWithout(), placerWithout(ablator.RisingCopies)
	for _, p := range []*Placer{on, off} {
		p.RecordRequests(begin(), "m/x", 20)
	}
	c.Check(on.demand["m/x"].peak(begin(), &on.policy) > 4*off.demand["m/x"].peak(begin(), &off.policy), qt.IsTrue)
}

// Loads that take long change what is believed of the store and of engines' memories, unless
// that is switched off.
func TestLearningCanBeSwitchedOff(t *testing.T) {
	for name, test := range map[string]struct {
		off                     []ablator.Mechanism
		storeLearns, hostLearns bool
	}{
		"on":           {nil, true, true},
		"store off":    {[]ablator.Mechanism{ablator.LearntStore}, false, true},
		"memory off":   {[]ablator.Mechanism{ablator.LearntHost}, true, false},
		"both are off": {[]ablator.Mechanism{ablator.LearntHost, ablator.LearntStore}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout(test.off...)
			width, host := p.maxComing, p.hostAdapters
			p.learn(begin().Add(time.Second), &place{begun: begin(), depth: 1, coming: 100})
			c.Check(p.maxComing != width, qt.Equals, test.storeLearns)
			c.Check(p.hostAdapters != host, qt.Equals, test.hostLearns)
		})
	}
}
