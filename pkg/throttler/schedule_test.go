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
	// contact is the time after which a limit is judged that was named first.
	contact = 3 * time.Second
	// leastUsed is the part of a limit that is to be used while more is asked for.
	leastUsed = 0.9
)

// allowed is how many requests a backend server accepts in a window.
func allowed(limit RequestRate) int { return int(tolerance*float64(limit)*Window.Seconds()) + slack }

var gatewayCounts = []int{1, 2, 3, 9, 30, 81, 300}

// Any number of gateways keeps a limit together while it is named, changes and ends, and uses
// it while more is asked for.
func TestALimitIsKeptAndUsed(t *testing.T) {
	for seed := range uint64(scheduleSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(seed, gatewayCounts[seed%uint64(len(gatewayCounts))], byOwner{})
			w.lost = []float64{0, 0, 0.02}[seed%3]
			limit := RequestRate(3 + w.random.Float64()*40)
			demand := float64(limit) * (2 + 1.5*w.random.Float64())
			w.run(5*time.Second, demand)
			for range 3 {
				w.limit = LimitOf(limit)
				named := w.now
				w.run(20*time.Second, demand)
				w.check(c, limit, named.Add(contact))
				used := float64(w.sentBetween(named.Add(contact+Window), w.now))
				could := float64(limit) * w.now.Sub(named.Add(contact+Window)).Seconds()
				c.Check(used >= leastUsed*could, qt.IsTrue, qt.Commentf("%.0f requests sent, %.0f possible", used, could))
				limit *= RequestRate(0.8 + 0.5*w.random.Float64())
			}
			w.limit = Limit{}
			w.run(8*time.Second, demand)
			last := float64(w.sentBetween(w.now.Add(-2*time.Second), w.now))
			c.Check(last >= 0.6*2*demand, qt.IsTrue, qt.Commentf("%.0f requests in 2 s after the end of the limit, %.0f came", last, 2*demand))
		})
	}
}

// The bound holds while owners of the limit are lost and start again, and gateways have heard
// of it at different times.
func TestALimitIsKeptWhileItsOwnersAreLost(t *testing.T) {
	for seed := range uint64(scheduleSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(seed, gatewayCounts[2+seed%5], byOwner{})
			w.lost = 0.05
			limit := RequestRate(2 + w.random.Float64()*20)
			demand := float64(limit) * 3
			w.run(5*time.Second, demand)
			w.limit = LimitOf(limit)
			named := w.now
			for range 4 {
				w.run(time.Duration(1500+w.random.IntN(3000))*time.Millisecond, demand)
				owner := w.at(w.ranked(w.gateways[0])[0]).n
				w.kill(owner)
				w.run(time.Duration(500+w.random.IntN(4000))*time.Millisecond, demand)
				w.restart(owner)
			}
			w.run(6*time.Second, demand)
			w.check(c, limit, named.Add(contact))
		})
	}
}

// A limit of 0, or next to it, is kept, and its end is noticed all the same.
func TestALimitOfZeroIsProbed(t *testing.T) {
	for name, limit := range map[string]RequestRate{"zero": 0, "next to zero": 1e-9} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(1, 9, byOwner{})
			w.run(2*time.Second, 5)
			w.limit = LimitOf(limit)
			named := w.now
			w.run(20*time.Second, 20)
			w.check(c, limit, named.Add(contact+Window))
			c.Check(w.sentBetween(named.Add(10*time.Second), w.now) > 0, qt.IsTrue)
			w.limit = Limit{}
			w.run(8*time.Second, 20)
			c.Check(w.sentBetween(w.now.Add(-time.Second), w.now) >= 8, qt.IsTrue)
		})
	}
}

// check checks the windows that end since a time.
func (w *world) check(c *qt.C, limit RequestRate, from time.Time) {
	worst := w.worst(from, w.now)
	c.Check(worst <= allowed(limit), qt.IsTrue, qt.Commentf("%d requests in a window, allowed %d by a limit of %.2f; %d gateways",
		worst, allowed(limit), limit, len(w.gateways)))
}
