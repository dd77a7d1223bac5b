package throttler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// tolerance and slack are what backend servers accept beyond their limits.
	tolerance = 1.5
	slack     = 5
	// scheduleSeeds is the number of schedules of each kind.
	scheduleSeeds = 60
	// gracePeriod is the time after the first announcement from which a limit is checked.
	gracePeriod = 3 * time.Second
	// minUsed is the share of a limit that has to be used while demand exceeds it.
	minUsed = 0.9
)

// allowed is how many requests a backend server accepts in a window.
func allowed(limit RequestRate) int { return int(tolerance*float64(limit)*Window.Seconds()) + slack }

var gatewayCounts = []int{1, 2, 3, 9, 30, 81, 300}

// Any number of gateways together keep a limit while it is announced, changes and ends, and use
// it while demand exceeds it.
func TestLimitIsKeptAndUsed(t *testing.T) {
	for seed := range uint64(scheduleSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(seed, gatewayCounts[seed%uint64(len(gatewayCounts))], ownerGrants{})
			w.lost = []float64{0, 0, 0.02}[seed%3]
			limit := RequestRate(3 + w.random.Float64()*40)
			demand := float64(limit) * (2 + 1.5*w.random.Float64())
			w.run(5*time.Second, demand)
			for range 3 {
				w.limit = LimitOf(limit)
				announcedAt := w.now
				w.run(20*time.Second, demand)
				w.check(c, limit, announcedAt.Add(gracePeriod))
				used := float64(w.sentBetween(announcedAt.Add(gracePeriod+Window), w.now))
				possible := float64(limit) * w.now.Sub(announcedAt.Add(gracePeriod+Window)).Seconds()
				c.Check(used >= minUsed*possible, qt.IsTrue, qt.Commentf("%.0f requests sent, %.0f possible", used, possible))
				limit *= RequestRate(0.8 + 0.5*w.random.Float64())
			}
			w.limit = Limit{}
			w.run(8*time.Second, demand)
			last := float64(w.sentBetween(w.now.Add(-2*time.Second), w.now))
			c.Check(last >= 0.6*2*demand, qt.IsTrue, qt.Commentf("%.0f requests in 2 s after the end of the limit, %.0f came", last, 2*demand))
		})
	}
}

// The bound holds while owners of the limit fail and restart, and gateways learn of it at
// different times.
func TestLimitIsKeptWhileOwnersFail(t *testing.T) {
	for seed := range uint64(scheduleSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(seed, gatewayCounts[2+seed%5], ownerGrants{})
			w.lost = 0.05
			limit := RequestRate(2 + w.random.Float64()*20)
			demand := float64(limit) * 3
			w.run(5*time.Second, demand)
			w.limit = LimitOf(limit)
			announcedAt := w.now
			for range 4 {
				w.run(time.Duration(1500+w.random.IntN(3000))*time.Millisecond, demand)
				owner := w.at(w.ranked(w.gateways[0])[0]).n
				w.kill(owner)
				w.run(time.Duration(500+w.random.IntN(4000))*time.Millisecond, demand)
				w.restart(owner)
			}
			w.run(6*time.Second, demand)
			w.check(c, limit, announcedAt.Add(gracePeriod))
		})
	}
}

// A limit at or near 0 is kept, and its end is still noticed.
func TestZeroLimitIsProbed(t *testing.T) {
	for name, limit := range map[string]RequestRate{"zero": 0, "next to zero": 1e-9} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(1, 9, ownerGrants{})
			w.run(2*time.Second, 5)
			w.limit = LimitOf(limit)
			announcedAt := w.now
			w.run(20*time.Second, 20)
			w.check(c, limit, announcedAt.Add(gracePeriod+Window))
			c.Check(w.sentBetween(announcedAt.Add(10*time.Second), w.now) > 0, qt.IsTrue)
			w.limit = Limit{}
			w.run(8*time.Second, 20)
			c.Check(w.sentBetween(w.now.Add(-time.Second), w.now) >= 8, qt.IsTrue)
		})
	}
}

// check checks the windows that end from a time on.
func (w *simulation) check(c *qt.C, limit RequestRate, from time.Time) {
	worst := w.worst(from, w.now)
	c.Check(worst <= allowed(limit), qt.IsTrue, qt.Commentf("%d requests in a window, allowed %d by a limit of %.2f; %d gateways",
		worst, allowed(limit), limit, len(w.gateways)))
}
