package placer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

// request is one request of a replayed sequence.
type request struct {
	at       time.Duration
	adapter  string
	deadline time.Duration
}

// sequence describes a sequence of requests.
type sequence struct {
	duration time.Duration
	// rate is the requests per second. Every burstInterval it is burstFactor times that for a
	// second.
	rate          float64
	burstInterval time.Duration
	burstFactor   float64
	adapters      int
	exponent      float64
	// shiftInterval is the time after which shiftShare of the ranks get other adapters.
	shiftInterval time.Duration
	shiftShare    float64
	timeout       time.Duration
}

// zipf returns the cumulative probabilities of n ranks.
func zipf(n int, exponent float64) []float64 {
	sums, sum := make([]float64, n), 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -exponent)
		sums[i] = sum
	}
	for i := range sums {
		sums[i] /= sum
	}
	return sums
}

func (s sequence) requests(random *rand.Rand) []request {
	ranks := random.Perm(s.adapters)
	sums := zipf(s.adapters, s.exponent)
	var list []request
	nextShift := s.shiftInterval
	for at := time.Duration(0); at < s.duration; {
		rate := s.rate
		if s.burstInterval > 0 && at%s.burstInterval >= s.burstInterval-time.Second {
			rate *= s.burstFactor
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if s.shiftInterval > 0 && at >= nextShift {
			nextShift += s.shiftInterval
			for range int(s.shiftShare * float64(s.adapters)) {
				i, j := random.IntN(s.adapters), random.IntN(s.adapters)
				ranks[i], ranks[j] = ranks[j], ranks[i]
			}
		}
		rank, _ := slices.BinarySearch(sums, random.Float64())
		list = append(list, request{at: at, adapter: name(ranks[min(rank, s.adapters-1)]), deadline: at + s.timeout})
	}
	return list
}

// useHeap holds adapters by their next use, the latest first.
type useHeap []nextUse

type nextUse struct {
	adapter string
	next    int
}

func (h useHeap) Len() int           { return len(h) }
func (h useHeap) Less(i, j int) bool { return h[i].next > h[j].next }
func (h useHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *useHeap) Push(x any)        { *h = append(*h, x.(nextUse)) }
func (h *useHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// beladyLoads returns the number of loads of Belady's algorithm, which evicts the adapter that is
// requested last of all, with so many slots for all requests.
func beladyLoads(requests []request, slots int) int {
	next := make([]int, len(requests))
	upcoming := map[string]int{}
	for i := len(requests) - 1; i >= 0; i-- {
		at, ok := upcoming[requests[i].adapter]
		if !ok {
			at = len(requests)
		}
		next[i], upcoming[requests[i].adapter] = at, i
	}
	loads, held, uses := 0, map[string]int{}, &useHeap{}
	for i, r := range requests {
		if _, ok := held[r.adapter]; !ok {
			loads++
			for len(held) >= slots {
				last := heap.Pop(uses).(nextUse)
				if held[last.adapter] == last.next {
					delete(held, last.adapter)
				}
			}
		}
		held[r.adapter] = next[i]
		heap.Push(uses, nextUse{r.adapter, next[i]})
	}
	return loads
}

func TestBeladyLoads(t *testing.T) {
	for sequence, test := range map[string]struct{ slots, want int }{"abcabc": {2, 4}, "abab": {2, 2}, "abcdabcd": {3, 5}, "aaaa": {1, 1}} {
		t.Run(sequence, func(t *testing.T) {
			var requests []request
			for _, r := range sequence {
				requests = append(requests, request{adapter: string(r)})
			}
			qt.New(t).Check(beladyLoads(requests, test.slots), qt.Equals, test.want)
		})
	}
}

// replayed is the result of a replay.
type replayed struct {
	served, onTime int
	// loads are all loads: replicas those of adapters that another engine held, reloads those of
	// adapters that had been unloaded everywhere, and quickReloads those of these that followed
	// the unload within a second.
	loads, replicas, reloads, quickReloads int
}

// runTime is how long a replayed request runs at its engine.
const runTime = 400 * time.Millisecond

// replay sends requests to the engines of a simulation, as gateways do: to the least busy of those
// that hold the adapter, or they wait, and the load is requested again every 400 ms.
func replay(w *simulation, requests []request, slots int, objective time.Duration) replayed {
	type ending struct {
		at      time.Time
		engine  string
		adapter string
	}
	var result replayed
	start := w.now
	holders := map[string][]string{}
	usage := map[string]int{}
	using := map[string]map[string]int{}
	for id := range w.engines {
		using[id] = map[string]int{}
	}
	var waiting []request
	var endings []ending
	requestedAt := map[string]time.Time{}
	demand := map[string]int{}
	unloadedAt := map[string]time.Time{}
	held := map[string]map[string]bool{}
	next := 0
	lastUsage := w.now
	for next < len(requests) || len(waiting) > 0 {
		w.advance(10 * time.Millisecond)
		if w.p.TakeDeclined(); w.readyCount("") >= 0 {
			heldBefore := map[string]int{}
			for adapter, list := range holders {
				heldBefore[adapter] = len(list)
			}
			clear(holders)
			for id, h := range w.reported {
				now := map[string]bool{}
				for _, qualified := range h.GetAdapters() {
					adapter, _ := splitVersion(qualified)
					holders[adapter] = append(holders[adapter], id)
					now[adapter] = true
					if !held[id][adapter] {
						result.loads++
						at, known := unloadedAt[adapter]
						switch {
						case heldBefore[adapter] > 0:
							result.replicas++
						case known:
							result.reloads++
							if w.now.Sub(at) < time.Second {
								result.quickReloads++
							}
						}
					}
				}
				for adapter := range held[id] {
					if !now[adapter] {
						unloadedAt[adapter] = w.now
					}
				}
				held[id] = now
			}
		}
		for ; next < len(requests) && start.Add(requests[next].at).Before(w.now); next++ {
			waiting = append(waiting, requests[next])
			demand[requests[next].adapter]++
		}
		endings = slices.DeleteFunc(endings, func(e ending) bool {
			if w.now.Before(e.at) {
				return false
			}
			usage[e.engine]--
			if using[e.engine][e.adapter]--; using[e.engine][e.adapter] == 0 {
				delete(using[e.engine], e.adapter)
				delete(w.engines[e.engine].running, e.adapter)
			}
			return true
		})
		waiting = slices.DeleteFunc(waiting, func(r request) bool {
			if w.now.After(start.Add(r.deadline)) {
				return true
			}
			best := ""
			for _, id := range holders[r.adapter] {
				if usage[id] < slots && w.engines[id].unloading != r.adapter && (best == "" || usage[id] < usage[best]) {
					best = id
				}
			}
			if best == "" {
				if w.now.Sub(requestedAt[r.adapter]) >= 400*time.Millisecond {
					requestedAt[r.adapter] = w.now
					if len(holders[r.adapter]) > 0 && w.now.Sub(start.Add(r.at)) < 300*time.Millisecond {
						w.p.RequestSpare(w.now, r.adapter, holders[r.adapter])
					} else {
						w.p.RequestLoad(w.now, r.adapter, holders[r.adapter], start.Add(r.deadline))
					}
				}
				return false
			}
			usage[best]++
			using[best][r.adapter]++
			w.engines[best].running[r.adapter] = true
			endings = append(endings, ending{at: w.now.Add(runTime), engine: best, adapter: r.adapter})
			result.served++
			if w.now.Sub(start.Add(r.at)) <= objective {
				result.onTime++
			}
			return true
		})
		if w.now.Sub(lastUsage) >= 100*time.Millisecond {
			lastUsage = w.now
			for adapter, n := range demand {
				w.p.RecordRequests(w.now, adapter, n)
			}
			clear(demand)
			usages := map[string]*Usage{}
			for id, n := range usage {
				u := &Usage{Requests: float64(n), Adapters: map[string]bool{}}
				for adapter := range using[id] {
					u.Adapters[adapter] = true
				}
				usages[id] = u
			}
			w.p.SetUsage(usages)
		}
	}
	return result
}

// unevenEngines returns a simulation of 90 engines with 8 adapter slots and 12 request slots, a
// store that carries 104 loads, and 46 weight copies at each engine.
func unevenEngines(c *qt.C, off ...ablator.Mechanism) *simulation {
	w := newSimulation(c, 90, 8)
	policy := DefaultPolicy()
	policy.Disabled = ablator.Disable(off...)
	w.p.policy = policy
	store := &fakeStore{concurrency: 104}
	for i := range 90 {
		id := fmt.Sprintf("e%d", i)
		w.engines[id].store, w.engines[id].copies = store, 46
		w.p.SetEngine(&wire.Announcement{Id: id, Service: "s", Address: "a-" + id, Slots: 12})
	}
	w.advance(100 * time.Millisecond)
	return w
}

// unevenDemand is the demand for adapters of a deployment with 10,000 of them.
var unevenDemand = sequence{
	duration: 20 * time.Second, rate: 700, burstInterval: 5 * time.Second, burstFactor: 1.7, adapters: 10000, exponent: 1.2,
	shiftInterval: 2 * time.Second, shiftShare: 0.02, timeout: 5 * time.Second,
}

// Adapters were loaded three times as often as they were requested for the first time: half of
// the loads were of adapters that had been unloaded everywhere, often less than a second before.
// The bound is that of the requirement. Belady's algorithm knows all later requests, and its slots
// hold neither replicas nor adapters in use that it would evict.
func TestLoadsAreCloseToTheOptimum(t *testing.T) {
	c := qt.New(t)
	requests := unevenDemand.requests(rand.New(rand.NewPCG(5, 6)))
	w := unevenEngines(c)
	got := replay(w, requests, 12, 600*time.Millisecond)
	best := beladyLoads(requests, 90*8)
	distinct := map[string]bool{}
	for _, r := range requests {
		distinct[r.adapter] = true
	}
	t.Logf("%d requests, %d adapters, %+v, Belady %d, ratio %.2f, %+v", len(requests), len(distinct), got, best, float64(got.loads)/float64(best), w.p.Summary())
	c.Check(float64(got.served) >= 0.98*float64(len(requests)), qt.IsTrue, qt.Commentf("%d of %d served", got.served, len(requests)))
	c.Check(float64(got.onTime) >= 0.99*float64(len(requests)), qt.IsTrue, qt.Commentf("%d of %d on time", got.onTime, len(requests)))
	c.Check(float64(got.loads) <= 1.3*float64(best), qt.IsTrue, qt.Commentf("%d loads where %d are possible", got.loads, best))
}
