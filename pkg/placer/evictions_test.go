package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
)

// fillEngine fills the slots of an engine with adapters that were requested a second ago.
func fillEngine(p *Placer, id string, rates ...float64) {
	for i, rate := range rates {
		adapter := "m/" + id + string(rune('0'+i))
		p.engines[id].slots[adapter] = &adapterSlot{state: ready}
		p.demand[adapter] = &demand{rate: rate, evictionRate: rate, lastRequest: startTime().Add(-time.Second)}
	}
}

// leaving lists the adapters that are being unloaded.
func leaving(p *Placer) []string {
	var list []string
	for _, id := range []string{"a", "b", "c"} {
		for i := range 4 {
			if adapter := "m/" + id + string(rune('0'+i)); p.engines[id].isLeaving(adapter) {
				list = append(list, adapter)
			}
		}
	}
	return list
}

// Each engine kept one of 8 slots free, also while 129 adapters were queued for slots, and
// evicted adapters in demand for that.
func TestNoSlotIsKeptFreeWhileAdaptersAreQueued(t *testing.T) {
	for label, test := range map[string]struct {
		rate   float64
		queued bool
		off    bool
		want   []string
	}{
		"cold adapters":                         {0.001, false, false, []string{"m/a0", "m/b0", "m/c0"}},
		"adapters in demand":                    {0.5, false, false, nil},
		"cold adapters, others queued":          {0.001, true, false, []string{"m/a0"}},
		"adapters in demand, without this":      {0.5, false, true, []string{"m/a0", "m/b0", "m/c0"}},
		"cold adapters, others queued, without": {0.001, true, true, []string{"m/a0", "m/a1", "m/b0", "m/c0"}},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			var off []ablator.Mechanism
			if test.off {
				off = append(off, ablator.ScarceSlots)
			}
			p := placerWithout(off...)
			for _, id := range []string{"a", "b", "c"} {
				fillEngine(p, id, test.rate, 2, 3, 4)
			}
			if test.queued {
				p.engines["a"].queue = []queuedLoad{{adapter: "m/new", deadline: startTime().Add(time.Second)}}
			}
			p.Plan(startTime())
			c.Check(leaving(p), qt.DeepEquals, test.want)
		})
	}
}

// A new adapter replaced the least requested one of the engine with the fewest requests, and that
// was loaded again within a second, while colder adapters stayed at other engines.
func TestColdestAdapterOfAllEnginesIsEvicted(t *testing.T) {
	for label, test := range map[string]struct {
		busy float64
		off  []ablator.Mechanism
		want []string
	}{
		"engines alike":             {0, nil, []string{"m/c2"}},
		"the engine is busier":      {2, nil, []string{"m/c2"}},
		"the engine is full":        {8, nil, []string{"m/a1"}},
		"engine is busier, without": {4, []ablator.Mechanism{ablator.ScarceSlots}, []string{"m/a1"}},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout(append(test.off, ablator.WarmFirst, ablator.Homes)...)
			p.policy.ReservedSlots = 0
			fillEngine(p, "a", 0.5, 0.3, 0.5, 0.5)
			fillEngine(p, "b", 0.6, 0.6, 0.6, 0.6)
			fillEngine(p, "c", 0.5, 0.5, 0.05, 0.5)
			p.SetUsage(map[string]*Usage{"c": {Requests: test.busy}})
			p.RequestLoad(startTime(), "m/new", nil, startTime().Add(time.Second))
			p.Plan(startTime())
			c.Check(leaving(p), qt.DeepEquals, test.want)
		})
	}
}

// A replica that the demand no longer needs goes before the only replica of a rare adapter, which
// would have to be loaded again. Never do both replicas go.
func TestSurplusReplicasAreEvictedFirst(t *testing.T) {
	c := qt.New(t)
	p := placerWithout()
	p.policy.ReservedSlots = 0
	fillEngine(p, "a", 0.1, 0.1, 0.1)
	fillEngine(p, "b", 0.1, 0.1, 0.1)
	fillEngine(p, "c", 5, 5, 5, 5)
	for _, id := range []string{"a", "b"} {
		p.engines[id].slots["m/shared"] = &adapterSlot{state: ready}
		p.engines[id].queue = []queuedLoad{{adapter: "m/new" + id, deadline: startTime().Add(time.Second)}}
	}
	p.demand["m/shared"] = &demand{rate: 0.8, evictionRate: 0.8, lastRequest: startTime().Add(-time.Second)}
	p.Plan(startTime())
	c.Check(p.engines["a"].isLeaving("m/shared"), qt.IsTrue)
	c.Check(p.engines["b"].isLeaving("m/shared"), qt.IsFalse)
	c.Check(leaving(p), qt.HasLen, 1)
}

// An engine with 4 loads in flight kept queued loads whose requests had timed out, and unloaded
// adapters for them.
func TestQueuedLoadsOfEndedRequestsAreCancelled(t *testing.T) {
	c := qt.New(t)
	p := placerWithout()
	p.policy.ReservedSlots, p.policy.MaxLoadsPerEngine = 0, 0
	fillEngine(p, "a", 1, 1, 1, 0.1)
	p.engines["a"].queue = []queuedLoad{{adapter: "m/new", deadline: startTime().Add(p.coldLoad + 50*time.Millisecond)}}
	for _, id := range []string{"b", "c"} {
		fillEngine(p, id, 1, 1, 1, 1)
	}
	p.Plan(startTime())
	c.Assert(leaving(p), qt.DeepEquals, []string{"m/a3"})
	p.Plan(startTime().Add(60 * time.Millisecond))
	c.Check(p.engines["a"].queue, qt.HasLen, 0)
	c.Check(p.TakeDeclined(), qt.DeepEquals, []string{"m/new"})
	c.Check(leaving(p), qt.HasLen, 0, qt.Commentf("its slot is not needed any more"))
}

// An adapter was queued for a slot at one engine while another had a free one.
func TestQueuedLoadsMoveToFreeSlots(t *testing.T) {
	for label, test := range map[string]struct {
		cached bool
		avoid  []string
		moved  bool
	}{
		"the other engine has a free slot":       {false, nil, true},
		"its requests can't be served there":     {false, []string{"b"}, false},
		"the engine keeps a copy of the weights": {true, nil, false},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			fillEngine(p, "a", 1, 1, 1, 1)
			fillEngine(p, "b", 1, 1, 1)
			fillEngine(p, "c", 1, 1, 1, 1)
			p.engines["a"].queue = []queuedLoad{{adapter: "m/new", deadline: startTime().Add(time.Second), avoid: test.avoid}}
			if test.cached {
				p.engines["a"].recordSeen("m/new")
			}
			p.Plan(startTime())
			c.Check(p.engines["b"].slots["m/new"] != nil, qt.Equals, test.moved)
			c.Check(p.engines["a"].queueIndex("m/new") < 0, qt.Equals, test.moved)
		})
	}
}

// A load that ends after the requests have timed out was queued until its engine had a turn. The
// callers are told at once.
func TestLoadsThatEndTooLateAreDeclinedAtOnce(t *testing.T) {
	for label, test := range map[string]struct {
		left     time.Duration
		cached   bool
		declined bool
	}{
		"enough time":                         {300 * time.Millisecond, false, false},
		"not enough time":                     {200 * time.Millisecond, false, true},
		"enough time for a load from memory":  {200 * time.Millisecond, true, false},
		"not enough for a load from anywhere": {10 * time.Millisecond, true, true},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			for _, id := range []string{"a", "b", "c"} {
				p.engines[id].queue = []queuedLoad{{adapter: "m/1"}, {adapter: "m/2"}, {adapter: "m/3"}}
			}
			if test.cached {
				p.engines["b"].recordSeen("m/new")
			}
			p.RequestLoad(startTime(), "m/new", nil, startTime().Add(test.left))
			assign(p)
			c.Check(len(p.TakeDeclined()) > 0, qt.Equals, test.declined)
		})
	}
}

// With a saturated store, adapters were loaded from it at the engine with the coldest adapter,
// although another engine kept a copy of their weights: fewer adapters were loaded in time.
func TestSaturatedStoreIsSparedByCopies(t *testing.T) {
	for label, test := range map[string]struct {
		saturated bool
		want      []string
	}{
		"the store has room":     {false, []string{"b"}},
		"the store is saturated": {true, []string{"a"}},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout(ablator.Homes)
			p.storeConcurrency = 10
			fillEngine(p, "a", 2, 2, 2, 2)
			fillEngine(p, "b", 0.01, 0.01, 0.01, 0.01)
			if test.saturated {
				for i := range 9 {
					p.engines["c"].slots[name(i)] = &adapterSlot{state: loading}
				}
			}
			p.engines["a"].recordSeen("m/new")
			p.RequestLoad(startTime(), "m/new", []string{"c"}, startTime().Add(time.Second))
			assign(p)
			c.Check(enginesQueueing(p, "m/new"), qt.DeepEquals, test.want)
		})
	}
}
