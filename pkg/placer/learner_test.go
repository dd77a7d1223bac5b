package placer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load begins with far more rare adapters than the weight store carries at full speed. How many
// it carries is learned within a second or two: sequential loads end sooner on average than all
// at once.
func TestStoreConcurrencyIsLearnedQuickly(t *testing.T) {
	for name, test := range map[string]struct{ engines, concurrency int }{
		"half of the initial estimate":  {30, 30},
		"a quarter of it":               {40, 20},
		"a small store":                 {12, 8},
		"equal to the initial estimate": {30, 60},
		"more than is requested":        {12, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(c, test.engines, 8)
			store := &fakeStore{concurrency: test.concurrency}
			for _, f := range w.engines {
				f.store = store
			}
			w.advance(100 * time.Millisecond)
			next, loading := 0, 0
			for step := range 300 {
				for range 1 + test.engines/8 {
					w.p.RecordRequests(w.now, newName(next), 1)
					w.p.RequestLoad(w.now, newName(next), nil, w.now.Add(time.Second))
					next++
				}
				w.advance(10 * time.Millisecond)
				if step >= 200 {
					loading += store.loading
				}
			}
			used := min(test.concurrency, max(initialStoreConcurrency, storeConcurrencyPerEngine*test.engines))
			mean := float64(loading) / 100
			c.Check(mean <= 1.38*float64(test.concurrency), qt.IsTrue, qt.Commentf("%.1f concurrent loads", mean))
			c.Check(mean >= 0.7*float64(used), qt.IsTrue, qt.Commentf("%.1f concurrent loads", mean))
		})
	}
}

func newName(i int) string { return name(1000 + i) }

// A new leader knows nothing of its 62 engines, and a third of all answers are lost. It
// requests the state of all of them at once, so that nearly all may be used within a few
// timeouts.
func TestNewLeaderRecoversEngineStateQuickly(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 62, 7)
	w.lostShare, w.timeout = 0.35, 60*time.Millisecond
	took := time.Duration(0)
	for w.p.Summary().Engines < 59 && took < 5*time.Second {
		w.advance(10 * time.Millisecond)
		took += 10 * time.Millisecond
	}
	c.Check(took <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("95% of the engines after %s", took))
}

// A leader short of processor time makes five plans a second and observes the end of each load
// late. The estimates of the store and of cached copies must not fall, or it would load less
// and less while demand grows, and continue so once it has its time again.
func TestSlowLeaderDoesNotLowerStoreConcurrency(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 30, 8)
	store := &fakeStore{concurrency: 70}
	for _, f := range w.engines {
		f.store = store
	}
	w.advance(100 * time.Millisecond)
	request := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			for range 40 {
				adapter := name(w.random.IntN(1500))
				w.p.RecordRequests(w.now, adapter, 1)
				w.p.RequestLoad(w.now, adapter, nil, w.now.Add(time.Second))
			}
			w.advance(100 * time.Millisecond)
		}
	}
	request(5 * time.Second)
	before := w.p.Summary()
	w.planInterval = 200 * time.Millisecond
	request(15 * time.Second)
	after := w.p.Summary()
	c.Check(after.MaxComing >= before.MaxComing*3/4, qt.IsTrue, qt.Commentf("%d concurrent loads, from %d", after.MaxComing, before.MaxComing))
	c.Check(after.HostAdapters >= before.HostAdapters*3/4, qt.IsTrue, qt.Commentf("%d copies, from %d", after.HostAdapters, before.HostAdapters))
}
