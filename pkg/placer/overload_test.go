package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// overload requests a new adapter in each step, many times what the engines can load, and
// returns how many loads ended and how many of them while requests still waited.
func overload(w *simulation, steps int, clientTimeout time.Duration) (loaded, onTime int) {
	deadlines := map[string]time.Time{}
	seen := map[string]bool{}
	for i := range steps {
		adapter := name(i)
		deadlines[adapter] = w.now.Add(clientTimeout)
		w.p.RecordRequests(w.now, adapter, 1)
		w.p.RequestLoad(w.now, adapter, nil, deadlines[adapter])
		w.advance(10 * time.Millisecond)
		for _, f := range w.engines {
			for held := range f.held {
				if seen[held] {
					continue
				}
				seen[held] = true
				loaded++
				if !w.now.After(deadlines[held]) {
					onTime++
				}
			}
		}
	}
	return loaded, onTime
}

// After the loss of many engines, far more adapters are requested than can be loaded. Only
// adapters with waiting requests may be loaded: otherwise late loads take the slots of needed
// ones, and this persists when the engines are back.
func TestLoadsPastTheirDeadlineAreNotOrdered(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 6, 4)
	w.advance(100 * time.Millisecond)
	loaded, onTime := overload(w, 300, 600*time.Millisecond)
	c.Check(loaded >= 60, qt.IsTrue, qt.Commentf("%d loads", loaded))
	c.Check(float64(onTime) >= 0.95*float64(loaded), qt.IsTrue, qt.Commentf("%d of %d on time", onTime, loaded))
}

// Adapters queued at a lost engine are loaded elsewhere, as long as requests wait for them.
func TestQueueOfALostEngineIsLoadedElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		left     time.Duration
		requeued bool
	}{
		"requests wait": {time.Second, true},
		"none waits":    {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			p.buildLocations()
			deadline := time.Time{}
			if test.left > 0 {
				deadline = startTime().Add(test.left)
			}
			p.enqueue("a", "m/x", deadline)
			p.engines["a"].failures = avoidAfterFailures - 1
			p.recordFailure(startTime(), p.engines["a"], Unknown)
			c.Check(p.engines["a"].queue, qt.HasLen, 0)
			c.Assert(p.pendingLoads["m/x"] != nil, qt.Equals, test.requeued)
			if test.requeued {
				c.Check(p.pendingLoads["m/x"].avoid, qt.DeepEquals, []string{"a"})
				c.Check(p.pendingLoads["m/x"].deadline, qt.Equals, deadline)
			}
		})
	}
}

// Requests that can't be served are declined long before they time out, and as many are served
// as if all had been kept waiting.
func TestHopelessLoadsAreDeclinedEarly(t *testing.T) {
	c := qt.New(t)
	const clientTimeout = 800 * time.Millisecond
	w := newSimulation(c, 6, 4)
	w.advance(100 * time.Millisecond)
	requestedAt := map[string]time.Time{}
	declined, early := 0, 0
	for i := range 400 {
		adapter := name(i)
		requestedAt[adapter] = w.now
		w.p.RecordRequests(w.now, adapter, 1)
		w.p.RequestLoad(w.now, adapter, nil, w.now.Add(clientTimeout))
		w.advance(10 * time.Millisecond)
		for _, adapter := range w.p.TakeDeclined() {
			declined++
			if w.now.Sub(requestedAt[adapter]) <= clientTimeout/4 {
				early++
			}
		}
	}
	c.Check(w.orders[Load] >= 80, qt.IsTrue, qt.Commentf("%d loads", w.orders[Load]))
	c.Check(float64(early) >= 0.7*float64(declined), qt.IsTrue, qt.Commentf("%d of %d declined early", early, declined))
}

// Neither a momentary burst nor a few waiting adapters are a reason to decline loads.
func TestShortBurstsAreNotOverload(t *testing.T) {
	for name, test := range map[string]struct{ waiting, steps int }{
		"a burst":                       {20, 1},
		"as many as engines, sustained": {3, 100},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			for range test.steps {
				p.isOverloaded(startTime(), test.waiting)
			}
			c.Check(p.isOverloaded(startTime().Add(overloadDelay-time.Millisecond), test.waiting), qt.IsFalse)
			c.Check(p.isOverloaded(startTime().Add(overloadDelay), test.waiting), qt.Equals, test.waiting > 3)
			c.Check(p.isOverloaded(startTime().Add(2*overloadDelay), 1), qt.IsFalse)
			c.Check(p.isOverloaded(startTime().Add(2*overloadDelay), test.waiting), qt.IsFalse)
		})
	}
}
