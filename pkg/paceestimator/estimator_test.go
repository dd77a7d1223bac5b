package paceestimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func id(i int) string { return fmt.Sprint("e", i) }

// site reports the intervals of engines, the given ones of which take the factor longer.
func site(e *Estimator, now time.Time, engines int, factor float64, slow ...int) {
	for i := range engines {
		length := 38 * ms
		for _, n := range slow {
			if n == i {
				length = time.Duration(float64(length) * factor)
			}
		}
		e.ObserveOthers(now, id(i), length, 40)
	}
}

// A gateway sends an engine one request in 9 s. What the others measured shows which engines are
// slow or fast. A few wrong intervals, also absurd ones, change no pace of the others.
func TestPacesAreThoseRelativeToTheMedian(t *testing.T) {
	for name, test := range map[string]struct {
		factor float64
		wrong  time.Duration
	}{
		"slow":             {2.2, 0},
		"fast":             {1 / 2.2, 0},
		"slow, one absurd": {2.2, 9 * time.Second},
		"fast, one absurd": {1 / 2.2, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var e Estimator
			site(&e, begin(), 12, test.factor, 0, 1, 2)
			if test.wrong > 0 {
				e.ObserveOthers(begin(), "wrong", test.wrong, 40)
			}
			e.ObserveOwn(begin(), id(4), 40*ms, 6)
			e.Update(begin())
			c.Check(e.Differs(), qt.IsTrue)
			for i := range 12 {
				if i < 3 {
					c.Check(math.Abs(e.Pace(id(i))/test.factor-1) < 0.1, qt.IsTrue, qt.Commentf("%d: %v", i, e.Pace(id(i))))
				} else {
					c.Check(e.Pace(id(i)), qt.Equals, 1.0)
				}
			}
			c.Check(e.Pace("wrong") <= maxRatio, qt.IsTrue)
			c.Check(e.Pace("unknown"), qt.Equals, 1.0)
			summary := e.Summary()
			c.Check(summary.Slower+summary.Faster >= 3, qt.IsTrue)
			c.Check(summary.Slowest > 1.9 || summary.Fastest < 1/1.9, qt.IsTrue)
		})
	}
}

// Where nothing differs, or too little is known, all paces are exactly those of the median, so that
// nothing changes.
func TestPacesThatDoNotDifferAreExactlyEqual(t *testing.T) {
	for name, observe := range map[string]func(e *Estimator){
		"nothing":             func(*Estimator) {},
		"two engines":         func(e *Estimator) { site(e, begin(), 2, 2.2, 0) },
		"equal":               func(e *Estimator) { site(e, begin(), 9, 1) },
		"nearly equal":        func(e *Estimator) { site(e, begin(), 9, 1.3, 0, 1) },
		"a few samples":       func(e *Estimator) { site(e, begin(), 9, 1); e.ObserveOwn(begin(), id(9), 300*ms, minSamples-1) },
		"unusable intervals":  func(e *Estimator) { site(e, begin(), 9, 1e6, 0); e.ObserveOthers(begin(), id(1), -1, 40) },
		"of no observation":   func(e *Estimator) { site(e, begin(), 9, 1); e.ObserveOthers(begin(), id(9), 300*ms, 0) },
		"it was a while ago":  func(e *Estimator) { site(e, begin().Add(-gapLease), 9, 2.2, 0) },
		"it has left":         func(e *Estimator) { site(e, begin(), 9, 2.2, 0); e.Forget(id(0)) },
		"it has become usual": recovered,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var e Estimator
			observe(&e)
			e.Update(begin())
			c.Check(e.Differs(), qt.IsFalse)
			for i := range 10 {
				c.Check(e.Pace(id(i)), qt.Equals, 1.0)
			}
		})
	}
}

// recovered was slow until 10 s ago.
func recovered(e *Estimator) {
	site(e, begin().Add(-10*time.Second), 9, 5, 0)
	for at := -10 * time.Second; at <= 0; at += 150 * ms {
		site(e, begin().Add(at), 9, 1)
	}
}

// All that a gateway sees of engines at load: prompts are read between most events, a few events
// arrive together, and the gateway itself is late at times. The slow quarter is found, and of the
// others at most a few are mistaken.
func TestPacesAreFoundAtLoad(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 7))
		const engines, slow, gateways = 90, 22, 4
		var e Estimator
		now := begin()
		for range 20 {
			now = now.Add(150 * ms)
			for i := range engines {
				factor := 1.0
				if i < slow {
					factor = 2.2
				}
				sum, samples := time.Duration(0), 0
				for range gateways {
					var w Window
					for range 12 {
						w.Observe(now, drawGap(random, factor))
					}
					interval, n := w.Interval(now)
					sum += interval * time.Duration(n)
					samples += n
				}
				e.ObserveOthers(now, id(i), sum/time.Duration(samples), samples)
			}
		}
		e.Update(now)
		mistaken := 0
		for i := range engines {
			if isSlow := e.Pace(id(i)) > 1.5; isSlow != (i < slow) {
				mistaken++
			}
		}
		c.Check(mistaken <= 2, qt.IsTrue, qt.Commentf("seed %d: %d engines are mistaken", seed, mistaken))
	}
}

// drawGap returns a gap at an engine that is reading prompts for a third of the time, or for more if
// it is slow.
func drawGap(random *rand.Rand, factor float64) time.Duration {
	length := 38 * factor
	for random.Float64() < 0.25*factor {
		length += 38 * factor
	}
	if random.Float64() < 0.05 {
		length /= 4
	}
	return time.Duration((length + 5*random.Float64()) * float64(ms))
}
