package slotgranter_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/slotgranter"
)

// Workload H of docs/design/hard-load.md: a plain service beyond the capacity of its backend
// servers, behind many gateways that are busy themselves.
const (
	hardGateways = 62
	hardServers  = 7
	hardSeeds    = 3
	// maxIdle is the part of a backend server's slot time that may be idle while more is asked
	// for.
	maxIdle = 0.05
	// flatness is the part of the goodput at the capacity that must remain beyond it.
	flatness = 0.95
	// maxRefusals is how many refusals there may be for each request that ends unserved: that of
	// its first attempt and that of its retry, and few for requests that are served when they
	// return.
	maxRefusals = 2.01
	// refusedSlack is the share of refusals that may take longer than an eighth of the objective.
	refusedSlack = 0.02
)

func hardWorkload() workload {
	return workload{
		objective: 300 * ms, timeout: 1500 * ms, work: 60 * ms, retryTime: 250 * ms, clientTimeout: 1500 * ms, clientTimeoutRange: ms,
		hop: ms, delay: 3 * ms, processing: 200 * time.Microsecond, localRefusals: true,
	}
}

// hardResult is what fleets under the hard workload did in the measured time.
type hardResult struct {
	result
	// idle is the greatest part of a server's slot time in a second in which more was asked for
	// that was not used, and idleAt where that was.
	idle   float64
	idleAt string
}

func (r *hardResult) goodput() float64 { return float64(r.onTime[0]) / measured.Seconds() / hardSeeds }

// asked reports whether more than a server's capacity was asked for in each tenth of a second.
func (f *fleet) askedTooMuch(s *server, second int) bool {
	for tenth := range 10 {
		if float64(s.asked[10*second+tenth])*f.work.Seconds() <= slots*0.1 {
			return false
		}
	}
	return true
}

// disturbance is a change of a fleet after the warm-up.
type disturbance struct {
	change func(f *fleet)
	// settles is the number of seconds after it that are not checked, and idle how much more of a
	// server's slots may be idle in the first second.
	settles int
	idle    float64
}

func disturbances() map[string]disturbance {
	return map[string]disturbance{
		"none":              {func(*fleet) {}, 0, 0},
		"two servers lost":  {removeServers(2), 1, 0},
		"two owners lost":   {func(f *fleet) { f.loseOwners(2) }, 0, 0.1},
		"ten gateways lost": {func(f *fleet) { f.removeGateways(10) }, 0, 0.15},
	}
}

// loseOwners loses the state of the owners of some backend servers: other gateways grant their
// slots, after each waiting request has noticed it.
func (f *fleet) loseOwners(n int) {
	for _, s := range f.servers[:n] {
		s.granter = slotgranter.Granter{}
		waiting := s.grant
		s.grant, s.completions, s.requests = map[string]func(bool){}, nil, nil
		for _, key := range slices.Sorted(maps.Keys(waiting)) {
			waiting[key](false)
		}
	}
}

// removeGateways removes gateways. Their calls for slots end, and the completions of their running
// requests are never reported.
func (f *fleet) removeGateways(n int) {
	for _, g := range f.gateways[:n] {
		g.removed = true
	}
	for _, s := range f.servers {
		for _, a := range s.granter.Waiting() {
			if slices.ContainsFunc(f.gateways[:n], func(g *gateway) bool { return g.id == a.Gateway }) {
				s.granter.Withdraw(a.Key)
				delete(s.grant, a.Key)
			}
		}
	}
}

// add simulates a fleet and adds its results.
func (r *hardResult) add(w workload, seed uint64, demand float64, d disturbance) {
	f := newFleet(w, seed, hardGateways, hardServers, 150*ms)
	f.load(warmUp, demand, hardServers)
	from, until := int(warmUp/time.Second), int((warmUp+measured)/time.Second)
	d.change(f)
	from += d.settles
	f.load(measured, demand, hardServers)
	f.runUntil(f.now.Add(2 * time.Second))
	for second := from; second < until; second++ {
		of := f.results[second]
		r.sent[0] += of.sent[0]
		r.onTime[0] += of.onTime[0]
		r.refusals += of.refusals
		r.waited += of.waited
		r.unserved += of.unserved
		r.messages += of.messages
		for _, s := range f.servers {
			if s.removed || demand <= 1 && !f.askedTooMuch(s, second) {
				continue
			}
			idle := 1 - s.busy[second].Seconds()/slots
			if second == int(warmUp/time.Second) {
				// For some time slots are held for requests that were lost with their gateways.
				idle -= d.idle
			}
			if idle > r.idle {
				r.idle, r.idleAt = idle, fmt.Sprintf("%s in second %d with seed %d", s.id, second, seed)
			}
		}
	}
}

// maxMessages is the number of messages between gateways for each request beyond twice the
// capacity.
const maxMessages = 4

// Beyond the capacity no slot is idle, no fewer requests are on time than at the capacity, and
// callers neither wait for refusals nor get more of them than their retries account for.
func TestGoodputIsFlatBeyondTheCapacity(t *testing.T) {
	for name, d := range disturbances() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			best := 0.0
			for _, demand := range []float64{0.8, 1, 1.5, 2, 3} {
				r := &hardResult{}
				for seed := range uint64(hardSeeds) {
					r.add(hardWorkload(), seed, demand, d)
				}
				report := fmt.Sprintf("demand %.1f: %.0f on time per second, best %.0f; idle %.3f at %s; %d refusals, %d after a wait, %d unserved of %d; %.1f messages each",
					demand, r.goodput(), best, r.idle, r.idleAt, r.refusals, r.waited, r.unserved, r.sent[0], float64(r.messages)/float64(r.sent[0]))
				t.Log(report)
				c.Check(r.idle <= maxIdle, qt.IsTrue, qt.Commentf("idle: %s", report))
				c.Check(r.goodput() >= flatness*best, qt.IsTrue, qt.Commentf("goodput: %s", report))
				best = max(best, r.goodput())
				if demand >= 2 {
					c.Check(float64(r.messages) <= maxMessages*float64(r.sent[0]), qt.IsTrue, qt.Commentf("messages: %s", report))
				}
				if demand > 1 {
					// At the capacity most refused requests are served when they return.
					c.Check(float64(r.refusals) <= maxRefusals*float64(r.unserved), qt.IsTrue, qt.Commentf("refusals: %s", report))
					c.Check(float64(r.waited) <= refusedSlack*float64(r.refusals), qt.IsTrue, qt.Commentf("waits: %s", report))
				}
			}
		})
	}
}

// Owners that process each message slowly must not be starved by requests that they refuse, nor must
// gateways hold back too much where all callers use a few of them, or where messages take longer than
// the work.
func TestSlotsAreUsedWithOtherMessageTimes(t *testing.T) {
	for name, test := range map[string]struct {
		change func(w *workload)
		idle   float64
	}{
		"slow owners":                 {func(w *workload) { w.processing = ms }, maxIdle},
		"callers at three gateways":   {func(w *workload) { w.callersAt = 3 }, 0.07},
		"messages as long as work":    {func(w *workload) { w.objective, w.work = 120*ms, 15*ms }, 0.1},
		"messages of more than 10 ms": {func(w *workload) { w.delay = 10 * ms }, 0.1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := hardWorkload()
			test.change(&w)
			best := 0.0
			for _, demand := range []float64{1.5, 3} {
				r := &hardResult{}
				for seed := range uint64(hardSeeds) {
					r.add(w, seed, demand, disturbance{change: func(*fleet) {}})
				}
				report := fmt.Sprintf("demand %.1f: %.0f on time per second, best %.0f; idle %.3f at %s; %.1f messages each",
					demand, r.goodput(), best, r.idle, r.idleAt, float64(r.messages)/float64(r.sent[0]))
				t.Log(report)
				qt.New(t).Check(r.idle <= test.idle, qt.IsTrue, qt.Commentf("idle: %s", report))
				qt.New(t).Check(r.goodput() >= flatness*best, qt.IsTrue, qt.Commentf("goodput: %s", report))
				best = max(best, r.goodput())
			}
		})
	}
}
