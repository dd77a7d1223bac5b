package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Traffic begins at once with far more rare adapters than the weight store carries at full
// speed. How many it carries is learnt within a second or two: loads one after the other end
// sooner on average than all at once.
func TestTheStoresWidthIsLearntSoon(t *testing.T) {
	for name, test := range map[string]struct{ engines, width int }{
		"half of what is assumed":    {30, 30},
		"a quarter":                  {40, 20},
		"a small store":              {12, 8},
		"as much as is assumed":      {30, 60},
		"more than anybody asks for": {12, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, test.engines, 8)
			store := &storeFake{width: test.width}
			for _, f := range w.fakes {
				f.store = store
			}
			w.pass(100 * time.Millisecond)
			next, coming := 0, 0
			for step := range 300 {
				for range 1 + test.engines/8 {
					w.p.Demand(w.now, name2(next), 1)
					w.p.Want(w.now, name2(next), nil, w.now.Add(time.Second))
					next++
				}
				w.pass(10 * time.Millisecond)
				if step >= 200 {
					coming += store.coming
				}
			}
			used := min(test.width, max(firstMaxComing, comingPerEngine*test.engines))
			mean := float64(coming) / 100
			c.Check(mean <= 1.38*float64(test.width), qt.IsTrue, qt.Commentf("%.1f at once", mean))
			c.Check(mean >= 0.7*float64(used), qt.IsTrue, qt.Commentf("%.1f at once", mean))
		})
	}
}

func name2(i int) string { return name(1000 + i) }

// A leader begins with 62 engines of which it knows nothing, and a third of all answers are
// lost. It asks all of them at once, so that nearly all may be used within a few timeouts.
func TestANewLeaderHasItsEnginesSoon(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 62, 7)
	w.unanswered, w.timeout = 0.35, 60*time.Millisecond
	took := time.Duration(0)
	for w.p.Summary().Engines < 59 && took < 5*time.Second {
		w.pass(10 * time.Millisecond)
		took += 10 * time.Millisecond
	}
	c.Check(took <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("95 in 100 after %s", took))
}
