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
					w.p.RecordRequests(w.now, name2(next), 1)
					w.p.RequestLoad(w.now, name2(next), nil, w.now.Add(time.Second))
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

// A leader has so little processor time that it makes five plans a second, and sees the end of
// each load late. The weight store carries as much as before and the engines keep as many
// copies: what is learnt of them stands, or the leader would load less and less while more and
// more is wanted, and go on so once it has its time again.
func TestASlowLeaderDoesNotTakeTheStoreForSlow(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 30, 8)
	store := &storeFake{width: 70}
	for _, f := range w.fakes {
		f.store = store
	}
	w.pass(100 * time.Millisecond)
	ask := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			for range 40 {
				adapter := name(w.random.IntN(1500))
				w.p.RecordRequests(w.now, adapter, 1)
				w.p.RequestLoad(w.now, adapter, nil, w.now.Add(time.Second))
			}
			w.pass(100 * time.Millisecond)
		}
	}
	ask(5 * time.Second)
	before := w.p.Summary()
	w.planEvery = 200 * time.Millisecond
	ask(15 * time.Second)
	after := w.p.Summary()
	c.Check(after.MaxComing >= before.MaxComing*3/4, qt.IsTrue, qt.Commentf("%d at once, from %d", after.MaxComing, before.MaxComing))
	c.Check(after.HostAdapters >= before.HostAdapters*3/4, qt.IsTrue, qt.Commentf("%d copies, from %d", after.HostAdapters, before.HostAdapters))
}
