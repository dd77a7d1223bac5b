package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// requestMany requests adapters at random for a time: half of them from a small set, which
// engines keep copies of, and half of them rare.
func requestMany(w *simulation, d time.Duration, perStep int) {
	next := w.random.IntN(1 << 40)
	for end := w.now.Add(d); w.now.Before(end); {
		for range perStep {
			adapter := name(w.random.IntN(1500))
			if next++; next%2 == 0 {
				adapter = name(10000 + next)
			}
			w.p.RecordRequests(w.now, adapter, 1)
			w.p.RequestLoad(w.now, adapter, nil, w.now.Add(time.Second))
		}
		w.advance(10 * time.Millisecond)
	}
}

// The estimate of the store's concurrency fell to 42 where the store carried 104, so that
// adapters were queued while the store was idle: loads from the store that were taken for warm,
// slow engines and late answers counted as contention. It must reach the true value within two
// seconds from either side, and stay there with such outliers.
func TestStoreConcurrencyConvergesFromEitherSide(t *testing.T) {
	for _, initial := range []float64{30, 180} {
		for label, test := range map[string]struct {
			slowEngines int
			lostShare   float64
			highest     float64
		}{
			"all alike":                 {0, 0, 165},
			"a quarter of slow engines": {22, 0, 190},
			// Ends of loads that are observed late make more loads seem to be in flight.
			"a fifth of the answers lost": {0, 0.2, 270},
		} {
			t.Run(fmt.Sprint(initial, " with ", label), func(t *testing.T) {
				c := qt.New(t)
				w := newSimulation(c, 90, 8)
				store := &fakeStore{concurrency: 104}
				for i := range 90 {
					f := w.engines[fmt.Sprintf("e%d", i)]
					f.store, f.copies = store, 46
					if i < test.slowEngines {
						f.slowdown = 3
					}
				}
				w.lostShare, w.timeout = test.lostShare, 60*time.Millisecond
				w.advance(100 * time.Millisecond)
				w.p.storeConcurrency, w.p.measured = initial, true
				requestMany(w, 2*time.Second, 12)
				lowest, highest := w.p.storeConcurrency, w.p.storeConcurrency
				for range 40 {
					requestMany(w, 100*time.Millisecond, 12)
					lowest, highest = min(lowest, w.p.storeConcurrency), max(highest, w.p.storeConcurrency)
				}
				c.Check(lowest >= 95, qt.IsTrue, qt.Commentf("from %.0f", lowest))
				c.Check(highest <= test.highest, qt.IsTrue, qt.Commentf("to %.0f", highest))
			})
		}
	}
}

// A load that ends at full speed while many others are in flight shows that the store carries
// them, and raises the estimate at once.
func TestFullSpeedLoadsRaiseStoreConcurrency(t *testing.T) {
	c := qt.New(t)
	p := placerWithout()
	p.storeConcurrency, p.measured = 30, true
	p.storeMeter.set(startTime(), 80)
	slot := &adapterSlot{state: loading, orderedAt: startTime(), reuseDistance: -1, coldLoads: 80}
	p.learnLoadTime(startTime().Add(p.coldLoad), p.engines["b"], slot)
	c.Check(p.storeConcurrency >= 80, qt.IsTrue, qt.Commentf("%.0f", p.storeConcurrency))
}

// Loads take twice the time of the policy however many are in flight. This is no contention, and
// the estimate of the store's concurrency must not follow it down.
func TestSlowStoreIsNotContended(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 30, 8)
	store := &fakeStore{concurrency: 1000}
	for _, f := range w.engines {
		f.store, f.slowdown = store, 2
	}
	w.advance(100 * time.Millisecond)
	requestMany(w, 5*time.Second, 4)
	c.Check(w.p.storeConcurrency >= 50, qt.IsTrue, qt.Commentf("%.0f", w.p.storeConcurrency))
}

// A store of 8 concurrent loads gets 23 at once. The loads that end first were ordered with fewer in
// flight and are quicker than later ones. Reduced to 13 in flight, loads whose end is observed a
// little late are about as quick as those, which does not show that the store is slow.
func TestFirstLoadsDoNotHideContention(t *testing.T) {
	c := qt.New(t)
	p := placerWithout()
	p.storeConcurrency = 24
	now, ended := startTime(), 0
	end := func(ordered time.Time, delay time.Duration, fewest, most float64) {
		took := time.Duration(float64(coldLoad)*fewest/8) + delay
		now = ordered.Add(took)
		p.learnStore(fmt.Sprintf("e%d", ended%12), storeLoad{endedAt: now, took: took, fewest: fewest, most: most})
		ended++
	}
	for inFlight := 9.0; inFlight <= 23; inFlight++ {
		end(startTime(), 0, inFlight, 23)
	}
	reduced := p.storeConcurrency
	c.Assert(reduced < 14, qt.IsTrue, qt.Commentf("%.1f concurrent loads", reduced))
	for range 10 {
		end(startTime().Add(100*time.Millisecond), 0, 22, 23)
	}
	ordered := now
	for i := range 24 {
		end(ordered.Add(time.Duration(i)*30*time.Millisecond), maxObservationDelay, 13, 13.7)
	}
	c.Check(p.coldLoad, qt.Equals, coldLoad)
	c.Check(p.storeConcurrency <= reduced, qt.IsTrue, qt.Commentf("%.1f concurrent loads, %.1f before", p.storeConcurrency, reduced))
}

// While few loads are allowed at a time, less than half of the engines may have all of them: their
// loads alone must show that the store is contended.
func TestContentionIsFoundAtAFewEngines(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 12, 8)
	w.p.storeConcurrency = 13
	for i := range 20 {
		now := w.now.Add(time.Duration(i) * 30 * time.Millisecond)
		w.p.learnStore(fmt.Sprintf("e%d", i%4), storeLoad{endedAt: now, took: coldLoad * 13 / 8, fewest: 13, most: 13})
	}
	c.Check(w.p.storeConcurrency < 10, qt.IsTrue, qt.Commentf("%.1f concurrent loads", w.p.storeConcurrency))
}

// Each load takes a quarter longer than the policy says, as messages and checks take their time, and
// the store is busy from the first moment on. The estimate fell from 180 to 7 within half a minute,
// since each reduction left too many loads in flight to show how long an uncontended one takes.
func TestStoreConcurrencyDoesNotCollapse(t *testing.T) {
	for name, slowdown := range map[string]float64{"a quarter": 1.25, "two fifths": 1.4, "twice": 2} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(c, 90, 8)
			store := &fakeStore{concurrency: 104}
			for _, f := range w.engines {
				f.store, f.copies = store, 46
			}
			w.p.policy.ColdLoad = time.Duration(float64(coldLoad) / slowdown)
			w.p.coldLoad = w.p.policy.ColdLoad
			w.advance(100 * time.Millisecond)
			requestMany(w, 2*time.Second, 12)
			for range 8 {
				requestMany(w, time.Second, 12)
				c.Check(w.p.storeConcurrency >= 0.8*104, qt.IsTrue, qt.Commentf("%.0f", w.p.storeConcurrency))
			}
		})
	}
}

// A store that carries more loads than the initial estimate, and whose loads take a little longer than
// the policy says: none is at full speed, and none shows how long an uncontended one takes. The estimate
// must rise to the 48 loads that 12 engines can have in flight nonetheless.
func TestStoreConcurrencyLeavesItsInitialValue(t *testing.T) {
	for name, ratio := range map[string]float64{"as the policy": 1, "a fifth longer": 1.2, "a third longer": 1.3} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(c, 12, 14)
			store := &fakeStore{concurrency: 104}
			for _, f := range w.engines {
				f.store, f.copies = store, 46
			}
			w.p.policy.ColdLoad = time.Duration(float64(coldLoad) / ratio)
			w.p.coldLoad = w.p.policy.ColdLoad
			w.advance(100 * time.Millisecond)
			requestMany(w, 12*time.Second, 4)
			c.Check(w.p.storeConcurrency >= 0.8*48, qt.IsTrue, qt.Commentf("%.0f", w.p.storeConcurrency))
		})
	}
}

// The estimate of the weight copies that an engine keeps fell by one with each slow load, from
// 128 to 63 in half a minute where engines kept 46, and one outlier raised it at once. It must
// be close after some dozens of loads.
func TestHostAdaptersConvergeFromEitherSide(t *testing.T) {
	for _, test := range []struct{ initial, truth int }{{128, 46}, {32, 46}, {128, 20}, {40, 200}, {128, 128}} {
		for _, outliers := range []float64{0, 0.1} {
			t.Run(fmt.Sprint(test.initial, " to ", test.truth, " with ", outliers), func(t *testing.T) {
				c := qt.New(t)
				p := placerWithout()
				random := rand.New(rand.NewPCG(1, 2))
				p.hostAdapters = test.initial
				for range 100 {
					distance := random.IntN(2 * test.truth)
					took := coldLoad
					if quick := distance < test.truth; quick != (random.Float64() < outliers) {
						took /= 10
					}
					slot := &adapterSlot{state: loading, orderedAt: startTime(), reuseDistance: distance}
					slot.checkedEarly = p.mayBeWarm(distance)
					if !slot.checkedEarly {
						took = coldLoad
					}
					p.learnLoadTime(startTime().Add(took), p.engines["a"], slot)
				}
				c.Check(float64(p.hostAdapters) >= 0.85*float64(test.truth), qt.IsTrue, qt.Commentf("%d", p.hostAdapters))
				c.Check(float64(p.hostAdapters) <= 1.2*float64(test.truth), qt.IsTrue, qt.Commentf("%d", p.hostAdapters))
			})
		}
	}
}
