package slotgranter_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
		hop: ms, delay: 3 * ms, processing: 200 * time.Microsecond,
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

// add simulates a fleet and adds its results.
func (r *hardResult) add(w workload, seed uint64, demand float64, change func(f *fleet)) {
	f := newFleet(w, seed, hardGateways, hardServers, 150*ms)
	f.load(warmUp, demand, hardServers)
	from, until := int(warmUp/time.Second), int((warmUp+measured)/time.Second)
	if change != nil {
		change(f)
		from++
	}
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
			if s.removed || !f.askedTooMuch(s, second) {
				continue
			}
			if idle := 1 - s.busy[second].Seconds()/slots; idle > r.idle {
				r.idle, r.idleAt = idle, fmt.Sprintf("%s in second %d with seed %d", s.id, second, seed)
			}
		}
	}
}

// Beyond the capacity no slot is idle, no fewer requests are on time than at the capacity, and
// callers neither wait for refusals nor get more of them than their retries account for.
func TestGoodputIsFlatBeyondTheCapacity(t *testing.T) {
	for name, change := range map[string]func(f *fleet){"all servers": nil, "two of seven lost": removeServers(2)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			best := 0.0
			for _, demand := range []float64{0.8, 1, 1.5, 2, 3} {
				r := &hardResult{}
				for seed := range uint64(hardSeeds) {
					r.add(hardWorkload(), seed, demand, change)
				}
				report := fmt.Sprintf("demand %.1f: %.0f on time per second, best %.0f; idle %.3f at %s; %d refusals, %d after a wait, %d unserved of %d; %.1f messages each",
					demand, r.goodput(), best, r.idle, r.idleAt, r.refusals, r.waited, r.unserved, r.sent[0], float64(r.messages)/float64(r.sent[0]))
				t.Log(report)
				c.Check(r.idle <= maxIdle, qt.IsTrue, qt.Commentf("idle: %s", report))
				c.Check(r.goodput() >= flatness*best, qt.IsTrue, qt.Commentf("goodput: %s", report))
				best = max(best, r.goodput())
				if demand > 1 {
					// At the capacity most refused requests are served when they return.
					c.Check(float64(r.refusals) <= maxRefusals*float64(r.unserved), qt.IsTrue, qt.Commentf("refusals: %s", report))
					c.Check(float64(r.waited) <= refusedSlack*float64(r.refusals), qt.IsTrue, qt.Commentf("waits: %s", report))
				}
			}
		})
	}
}
