package slotgranter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	gateways = 81
	servers  = 4
	seeds    = 4
	// leastGoodput is the share of what is possible that must be in time.
	leastGoodput = 0.9
	// tailFactor is the mean of the work against meanWork, with the runs that take five times as
	// long, and runsPerRequest counts the second runs of those that fail.
	tailFactor     = 1.04
	runsPerRequest = 1 + safeShare*failShare
	calm           = 2 * time.Second
	during         = 6 * time.Second
)

// scene is a load, and what happens to the backend servers after a calm while.
type scene struct {
	// load is the demand for first tries as a share of what all slots can run.
	load    float64
	happens func(f *fleet)
	// capacity is the share of what all slots can run that is left.
	capacity float64
	// settles is the time until the change has shown in outcomes, which does not count.
	settles time.Duration
}

// play returns by second what became of requests, summed over some seeds.
func (x scene) play(newsAge time.Duration) map[int]*result {
	sum := map[int]*result{}
	for seed := range uint64(seeds) {
		f := newFleet(seed, gateways, servers, newsAge)
		f.load(calm, x.load, servers)
		if x.happens != nil {
			x.happens(f)
		}
		f.load(during, x.load, servers)
		f.runUntil(f.now.Add(2 * time.Second))
		for second, r := range f.results {
			if sum[second] == nil {
				sum[second] = &result{}
			}
			for class := range r.asked {
				sum[second].asked[class] += r.asked[class]
				sum[second].inTime[class] += r.inTime[class]
			}
		}
	}
	return sum
}

// possible is the share of a second's requests that could be in time if no slot were idle and no
// work were done for those that are late.
func (x scene) possible(r *result) float64 {
	runs := float64(r.asked[0]+r.asked[1]) * tailFactor * runsPerRequest
	return min(1, x.capacity*seeds*servers*slots/meanWork.Seconds()/runs)
}

// class is an index of result: requests that may run once, or twice.
type class int

const (
	once class = iota
	safe
)

// check compares each second that counts with what is possible, for a class of requests.
func (x scene) check(t *testing.T, of class) {
	t.Parallel()
	from := int(calm / time.Second)
	if x.happens != nil {
		from = int((calm + x.settles) / time.Second)
	}
	for _, newsAge := range []time.Duration{50 * ms, 250 * ms} {
		results := x.play(newsAge)
		for second := from; second < int((calm+during)/time.Second); second++ {
			r := results[second]
			share := float64(r.inTime[of]) / float64(r.asked[of])
			qt.New(t).Check(share >= leastGoodput*x.possible(r), qt.IsTrue,
				qt.Commentf("news %v old, second %d: %.3f in time, %.3f possible", newsAge, second, share, x.possible(r)))
		}
	}
}

func gone(n int) func(f *fleet) {
	return func(f *fleet) {
		for _, s := range f.servers[:n] {
			s.gone = true
		}
	}
}

func slow(n int, slowness float64) func(f *fleet) {
	return func(f *fleet) {
		for _, s := range f.servers[:n] {
			s.slowness = slowness
		}
	}
}

func loads() map[string]scene {
	return map[string]scene{
		"half of the capacity":            {load: 0.5, capacity: 1},
		"where slots begin to be granted": {load: 0.55, capacity: 1},
		"three quarters":                  {load: 0.75, capacity: 1},
		"nearly all":                      {load: 0.9, capacity: 1},
		"all":                             {load: 1, capacity: 1},
		"half more than all":              {load: 1.5, capacity: 1},
	}
}

func losses() map[string]scene {
	return map[string]scene{
		"one of four gone":                 {load: 0.6, happens: gone(1), capacity: 0.75, settles: time.Second},
		"two of four gone":                 {load: 0.52, happens: gone(2), capacity: 0.5, settles: time.Second},
		"two of four gone under more load": {load: 0.7, happens: gone(2), capacity: 0.5, settles: time.Second},
	}
}

func slowdowns() map[string]scene {
	return map[string]scene{
		"one of four slow":                         {load: 0.6, happens: slow(1, 5), capacity: 0.75, settles: 2 * time.Second},
		"two of four slow":                         {load: 0.4, happens: slow(2, 5), capacity: 0.5, settles: 2 * time.Second},
		"two of four slow at all the others' load": {load: 0.52, happens: slow(2, 5), capacity: 0.5, settles: 2 * time.Second},
	}
}

func checkAll(t *testing.T, scenes map[string]scene, of class) {
	for name, x := range scenes {
		t.Run(name, func(t *testing.T) { x.check(t, of) })
	}
}

// Callers that are refused retry; what is done for them must not take the place of first tries,
// and no slot is idle while requests wait for others.
func TestNearlyAllThatIsPossibleIsInTime(t *testing.T) { checkAll(t, loads(), once) }

// Backend servers that refuse connections take no more away than their own slots.
func TestLostBackendServersCostTheirSlotsOnly(t *testing.T) { checkAll(t, losses(), once) }

// Backend servers that are too slow for an answer in time leave requests to the others.
func TestSlowBackendServersCostTheirSlotsOnly(t *testing.T) { checkAll(t, slowdowns(), once) }

// A request that fails and may run again needs two slots within its objective.
func TestRepeatsAreInTimeToo(t *testing.T) {
	for _, scenes := range []map[string]scene{loads(), losses(), slowdowns()} {
		checkAll(t, scenes, safe)
	}
}
