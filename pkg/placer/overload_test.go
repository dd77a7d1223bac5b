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
		w.p.RecordRequests(w.now, adapter, 1)
		w.p.RequestLoad(w.now, adapter, nil, gaveUp[adapter])
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

// Who can't be served hears so long before giving up, and as many are served as if all had
// been kept waiting.
func TestHopelessWantsAreDeclinedSoon(t *testing.T) {
	c := qt.New(t)
	const patience = 800 * time.Millisecond
	w := newWorld(c, 6, 4)
	w.pass(100 * time.Millisecond)
	begun := map[string]time.Time{}
	declined, soon := 0, 0
	for i := range 400 {
		adapter := name(i)
		begun[adapter] = w.now
		w.p.RecordRequests(w.now, adapter, 1)
		w.p.RequestLoad(w.now, adapter, nil, w.now.Add(patience))
		w.pass(10 * time.Millisecond)
		for _, adapter := range w.p.TakeDeclined() {
			declined++
			if w.now.Sub(begun[adapter]) <= patience/4 {
				soon++
			}
		}
	}
	c.Check(w.orders[Load] >= 80, qt.IsTrue, qt.Commentf("%d loads", w.orders[Load]))
	c.Check(float64(soon) >= 0.7*float64(declined), qt.IsTrue, qt.Commentf("%d of %d declined soon", soon, declined))
}

// A burst of a moment is no reason to decline anything, nor are a few that wait.
func TestNobodyIsDeclinedWithoutNeed(t *testing.T) {
	for name, test := range map[string]struct{ wants, steps int }{
		"a burst":                    {20, 1},
		"as many as engines, always": {3, 100},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := placerWithout()
			for range test.steps {
				p.isCrowded(begin(), test.wants)
			}
			c.Check(p.isCrowded(begin().Add(crowdedFor-time.Millisecond), test.wants), qt.IsFalse)
			c.Check(p.isCrowded(begin().Add(crowdedFor), test.wants), qt.Equals, test.wants > 3)
			c.Check(p.isCrowded(begin().Add(2*crowdedFor), 1), qt.IsFalse)
			c.Check(p.isCrowded(begin().Add(2*crowdedFor), test.wants), qt.IsFalse)
		})
	}
}
