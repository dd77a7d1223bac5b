package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// enginesQueueing returns the engines at which an adapter is queued.
func enginesQueueing(p *Placer, adapter string) []string {
	var ids []string
	for _, id := range []string{"a", "b", "c"} {
		if p.engines[id].queueIndex(adapter) >= 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// assign assigns pending loads and replicas, without giving orders.
func assign(p *Placer) {
	p.coldLoadCountValid = false
	p.buildLocations()
	p.computeSlotCosts(startTime())
	p.assignPendingLoads(startTime())
	p.assignReplicas(startTime())
}

// An adapter is requested while it is unloaded. It is loaded again at the engine that keeps its
// weights, unless the unload has to wait for running requests or that engine can't be used.
func TestUnloadingAdapterIsReloadedAtItsEngine(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(p *Placer)
		avoid   []string
		reloads bool
	}{
		"it is unloaded at once":        {func(*Placer) {}, nil, true},
		"the unload waits for requests": {func(p *Placer) { p.engines["a"].slots["m/x"].unloadPending = true }, nil, false},
		"the engine can't be used":      {func(*Placer) {}, []string{"a"}, false},
		"the engine is lost":            {func(p *Placer) { p.engines["a"].failures = avoidAfterFailures }, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			p.engines["a"].recordSeen("m/x")
			p.engines["a"].slots["m/x"] = &adapterSlot{state: unloading}
			test.change(p)
			p.RequestLoad(startTime(), "m/x", test.avoid, startTime().Add(time.Second))
			assign(p)
			c.Check(len(enginesQueueing(p, "m/x")) == 0, qt.Equals, test.reloads)
			delete(p.engines["a"].slots, "m/x")
			assign(p)
			c.Check(len(enginesQueueing(p, "m/x")) == 1, qt.IsTrue)
			if test.reloads {
				c.Check(enginesQueueing(p, "m/x"), qt.DeepEquals, []string{"a"})
			}
		})
	}
}

// While the weight store is saturated, a hot adapter gets no further replica from it, but still
// one from an engine's own memory.
func TestReplicasWaitWhileTheStoreIsSaturated(t *testing.T) {
	for name, test := range map[string]struct {
		full   bool
		warmAt string
		want   []string
	}{
		"the store has room":       {false, "", []string{"b", "c"}},
		"the store is saturated":   {true, "", nil},
		"another engine caches it": {true, "b", []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			p.storeConcurrency = 10
			p.engines["a"].slots["m/hot"] = &adapterSlot{state: ready}
			p.RecordRequests(startTime(), "m/hot", 100)
			if test.full {
				for i := range 9 {
					p.engines["c"].slots[name+string(rune('0'+i))] = &adapterSlot{state: loading}
				}
			}
			if test.warmAt != "" {
				p.engines[test.warmAt].recordSeen("m/hot")
			}
			assign(p)
			got := enginesQueueing(p, "m/hot")
			if len(test.want) == 2 {
				c.Assert(got, qt.HasLen, 1)
				return
			}
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

// While the store is saturated, a pending adapter that no engine has goes before one that is
// held by a busy engine.
func TestUnplacedAdaptersGoFirstWhenTheStoreIsSaturated(t *testing.T) {
	for name, test := range map[string]struct {
		full  bool
		first string
	}{
		"the store has room":     {false, "m/hot"},
		"the store is saturated": {true, "m/rare"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			p.storeConcurrency = 10
			p.engines["a"].slots["m/hot"] = &adapterSlot{state: ready}
			if test.full {
				for i := range 9 {
					p.engines["a"].slots[string(rune('0'+i))] = &adapterSlot{state: loading}
				}
			}
			// Of the two other engines only b has room, for one more.
			for _, id := range []string{"b", "c"} {
				for i := range maxQueue {
					p.engines[id].queue = append(p.engines[id].queue, queuedLoad{adapter: "m/" + id + string(rune('0'+i))})
				}
			}
			p.engines["b"].queue = p.engines["b"].queue[1:]
			p.RequestLoad(startTime(), "m/rare", []string{"a"}, startTime().Add(time.Second))
			p.RequestLoad(startTime(), "m/hot", []string{"a"}, startTime().Add(time.Second))
			p.RequestLoad(startTime(), "m/hot", []string{"a"}, startTime().Add(time.Second))
			assign(p)
			c.Check(enginesQueueing(p, test.first), qt.DeepEquals, []string{"b"})
		})
	}
}
