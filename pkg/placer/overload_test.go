package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// overload asks for a new adapter in each step, many times what the engines can load, and
// returns how many loads ended and how many of them while requests still waited.
func overload(w *world, steps int, patience time.Duration) (loaded, inTime int) {
	gaveUp := map[string]time.Time{}
	seen := map[string]bool{}
	for i := range steps {
		adapter := name(i)
		gaveUp[adapter] = w.now.Add(patience)
		w.p.Demand(w.now, adapter, 1)
		w.p.Want(w.now, adapter, nil, gaveUp[adapter])
		w.pass(10 * time.Millisecond)
		for _, f := range w.fakes {
			for held := range f.held {
				if seen[held] {
					continue
				}
				seen[held] = true
				loaded++
				if !w.now.After(gaveUp[held]) {
					inTime++
				}
			}
		}
	}
	return loaded, inTime
}

// After the loss of many engines far more adapters are wanted than can be loaded. What is
// loaded is what somebody still waits for: otherwise the loads that nobody needs any more
// take the places of those that are needed, and it goes on like that when the engines are
// back.
func TestLoadsThatComeTooLateAreNotMade(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 6, 4)
	w.pass(100 * time.Millisecond)
	loaded, inTime := overload(w, 300, 600*time.Millisecond)
	c.Check(loaded >= 60, qt.IsTrue, qt.Commentf("%d loads", loaded))
	c.Check(float64(inTime) >= 0.95*float64(loaded), qt.IsTrue, qt.Commentf("%d of %d in time", inTime, loaded))
}

// Adapters that wait at an engine that is lost are loaded elsewhere, as long as anybody
// waits for them.
func TestWhatWaitsAtALostEngineIsLoadedElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		left   time.Duration
		wanted bool
	}{
		"somebody waits": {time.Second, true},
		"nobody does":    {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			p.buildIndex()
			until := time.Time{}
			if test.left > 0 {
				until = begin().Add(test.left)
			}
			p.enqueue("a", "m/x", until)
			p.engines["a"].failures = failuresToAvoid - 1
			p.countFailure(begin(), p.engines["a"], Unknown)
			c.Check(p.engines["a"].queue, qt.HasLen, 0)
			c.Assert(p.wants["m/x"] != nil, qt.Equals, test.wanted)
			if test.wanted {
				c.Check(p.wants["m/x"].avoid, qt.DeepEquals, []string{"a"})
				c.Check(p.wants["m/x"].until, qt.Equals, until)
			}
		})
	}
}
