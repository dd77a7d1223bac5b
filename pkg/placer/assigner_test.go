package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// queues returns the engines at which an adapter waits for its load.
func queues(p *Placer, adapter string) []string {
	var ids []string
	for _, id := range []string{"a", "b", "c"} {
		if p.engines[id].waits(adapter) >= 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// plan decides where what is wanted goes, without giving orders.
func plan(p *Placer) {
	p.coldKnown = false
	p.buildIndex()
	p.findRooms(begin())
	p.assignWants(begin())
	p.assignCopies(begin())
}

// An adapter is asked for just as it goes. It comes back to the engine that keeps its
// weights, unless its unload has to wait for runs or that engine can't be used.
func TestAnAdapterThatGoesComesBack(t *testing.T) {
	for name, test := range map[string]struct {
		change func(p *Placer)
		avoid  []string
		waits  bool
	}{
		"it goes at once":          {func(*Placer) {}, nil, true},
		"it waits for runs":        {func(p *Placer) { p.engines["a"].places["m/x"].pending = true }, nil, false},
		"the engine can't be used": {func(*Placer) {}, []string{"a"}, false},
		"the engine is lost":       {func(p *Placer) { p.engines["a"].failures = failuresToAvoid }, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			p.engines["a"].remember("m/x")
			p.engines["a"].places["m/x"] = &place{state: dropping}
			test.change(p)
			p.RequestLoad(begin(), "m/x", test.avoid, begin().Add(time.Second))
			plan(p)
			c.Check(len(queues(p, "m/x")) == 0, qt.Equals, test.waits)
			delete(p.engines["a"].places, "m/x")
			plan(p)
			c.Check(len(queues(p, "m/x")) == 1, qt.IsTrue)
			if test.waits {
				c.Check(queues(p, "m/x"), qt.DeepEquals, []string{"a"})
			}
		})
	}
}

// While the weight store is full a hot adapter gets no further copy from it, one from an
// engine's own memory all the same; and what no engine has goes before what is elsewhere.
func TestCopiesWaitWhileTheStoreIsFull(t *testing.T) {
	for name, test := range map[string]struct {
		full   bool
		warmAt string
		want   []string
	}{
		"the store has room":   {false, "", []string{"b", "c"}},
		"the store is full":    {true, "", nil},
		"another one keeps it": {true, "b", []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			p.maxComing = 10
			p.engines["a"].places["m/hot"] = &place{state: ready}
			p.RecordRequests(begin(), "m/hot", 100)
			if test.full {
				for i := range 9 {
					p.engines["c"].places[name+string(rune('0'+i))] = &place{state: loading}
				}
			}
			if test.warmAt != "" {
				p.engines[test.warmAt].remember("m/hot")
			}
			plan(p)
			got := queues(p, "m/hot")
			if len(test.want) == 2 {
				c.Assert(got, qt.HasLen, 1)
				return
			}
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}

// Of adapters that wait, one that no engine has goes before one that is held elsewhere by an
// engine which is busy, for as long as the store is full.
func TestWhatNoEngineHasGoesFirst(t *testing.T) {
	for name, test := range map[string]struct {
		full  bool
		first string
	}{
		"the store has room": {false, "m/hot"},
		"the store is full":  {true, "m/rare"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			p.maxComing = 10
			p.engines["a"].places["m/hot"] = &place{state: ready}
			if test.full {
				for i := range 9 {
					p.engines["a"].places[string(rune('0'+i))] = &place{state: loading}
				}
			}
			// Each of the two other engines takes one more.
			for _, id := range []string{"b", "c"} {
				for i := range maxQueue {
					p.engines[id].queue = append(p.engines[id].queue, queued{adapter: "m/" + id + string(rune('0'+i))})
				}
			}
			p.engines["b"].queue = p.engines["b"].queue[1:]
			p.RequestLoad(begin(), "m/rare", []string{"a"}, begin().Add(time.Second))
			p.RequestLoad(begin(), "m/hot", []string{"a"}, begin().Add(time.Second))
			p.RequestLoad(begin(), "m/hot", []string{"a"}, begin().Add(time.Second))
			plan(p)
			c.Check(queues(p, test.first), qt.DeepEquals, []string{"b"})
		})
	}
}
