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
	// minGoodput is the fraction of the possible goodput that must be reached.
	minGoodput = 0.9
	// tailFactor is the ratio of the mean work to meanWork, due to the runs that take five
	// times as long, and runsPerRequest accounts for the second runs of those that fail.
	tailFactor     = 1.04
	runsPerRequest = 1 + idempotentShare*failShare
	warmUp         = 2 * time.Second
	measured       = 6 * time.Second
)

// scenario is a load, and a change of the backend servers after the warm-up.
type scenario struct {
	// load is the demand of first attempts as a fraction of the capacity of all slots.
	load   float64
	change func(f *fleet)
	// capacity is the fraction of the capacity that is left after the change.
	capacity float64
	// settles is the time until outcomes reflect the change, which is not checked.
	settles time.Duration
}

// simulate returns the results by second, summed over several seeds.
func (x scenario) simulate(loadAge time.Duration) map[int]*result {
	sum := map[int]*result{}
	for seed := range uint64(seeds) {
		f := newFleet(sharedWorkload(), seed, gateways, servers, loadAge)
		f.load(warmUp, x.load, servers)
		if x.change != nil {
			x.change(f)
		}
		f.load(measured, x.load, servers)
		f.runUntil(f.now.Add(2 * time.Second))
		for second, r := range f.results {
			if sum[second] == nil {
				sum[second] = &result{}
			}
			for class := range r.sent {
				sum[second].sent[class] += r.sent[class]
				sum[second].onTime[class] += r.onTime[class]
			}
		}
	}
	return sum
}

// possible is the share of a second's requests that could be on time if no slot were idle and
// no work were done for late requests.
func (x scenario) possible(r *result) float64 {
	runs := float64(r.sent[0]+r.sent[1]) * tailFactor * runsPerRequest
	return min(1, x.capacity*seeds*servers*slots/meanWork.Seconds()/runs)
}

// class is an index of result: requests that may run once, or twice.
type class int

const (
	nonIdempotent class = iota
	idempotent
)

// check compares each second after the warm-up with what is possible, for a class of requests.
func (x scenario) check(t *testing.T, of class) {
	t.Parallel()
	from := int(warmUp / time.Second)
	if x.change != nil {
		from = int((warmUp + x.settles) / time.Second)
	}
	for _, loadAge := range []time.Duration{50 * ms, 250 * ms} {
		results := x.simulate(loadAge)
		for second := from; second < int((warmUp+measured)/time.Second); second++ {
			r := results[second]
			share := float64(r.onTime[of]) / float64(r.sent[of])
			qt.New(t).Check(share >= minGoodput*x.possible(r), qt.IsTrue,
				qt.Commentf("loads %v old, second %d: %.3f on time, %.3f possible", loadAge, second, share, x.possible(r)))
		}
	}
}

func removeServers(n int) func(f *fleet) {
	return func(f *fleet) {
		for _, s := range f.servers[:n] {
			s.removed = true
		}
	}
}

func slowServers(n int, slowness float64) func(f *fleet) {
	return func(f *fleet) {
		for _, s := range f.servers[:n] {
			s.slowness = slowness
		}
	}
}

func loads() map[string]scenario {
	return map[string]scenario{
		"half of the capacity":            {load: 0.5, capacity: 1},
		"where slots begin to be granted": {load: 0.55, capacity: 1},
		"three quarters":                  {load: 0.75, capacity: 1},
		"nearly all":                      {load: 0.9, capacity: 1},
		"all":                             {load: 1, capacity: 1},
		"half more than all":              {load: 1.5, capacity: 1},
	}
}

func losses() map[string]scenario {
	return map[string]scenario{
		"one of four lost":                 {load: 0.6, change: removeServers(1), capacity: 0.75, settles: time.Second},
		"two of four lost":                 {load: 0.52, change: removeServers(2), capacity: 0.5, settles: time.Second},
		"two of four lost under more load": {load: 0.7, change: removeServers(2), capacity: 0.5, settles: time.Second},
	}
}

func slowdowns() map[string]scenario {
	return map[string]scenario{
		"one of four slow":                         {load: 0.6, change: slowServers(1, 5), capacity: 0.75, settles: 2 * time.Second},
		"two of four slow":                         {load: 0.4, change: slowServers(2, 5), capacity: 0.5, settles: 2 * time.Second},
		"two of four slow at all the others' load": {load: 0.52, change: slowServers(2, 5), capacity: 0.5, settles: 2 * time.Second},
	}
}

func checkAll(t *testing.T, scenarios map[string]scenario, of class) {
	for name, x := range scenarios {
		t.Run(name, func(t *testing.T) { x.check(t, of) })
	}
}

// Work for retries of refused requests must not displace first attempts, and no slot may be
// idle while requests wait for others.
func TestGoodputIsNearTheMaximum(t *testing.T) { checkAll(t, loads(), nonIdempotent) }

// Backend servers that refuse connections cost no more than their own slots.
func TestLostBackendServersCostTheirSlotsOnly(t *testing.T) { checkAll(t, losses(), nonIdempotent) }

// Backend servers that are too slow for an answer on time leave requests to the others.
func TestSlowBackendServersCostTheirSlotsOnly(t *testing.T) { checkAll(t, slowdowns(), nonIdempotent) }

// A request that fails and may run again needs two slots within its objective.
func TestRepeatsAreInTimeToo(t *testing.T) {
	for _, scenarios := range []map[string]scenario{loads(), losses(), slowdowns()} {
		checkAll(t, scenarios, idempotent)
	}
}
